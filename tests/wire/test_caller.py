"""Caller connections: parsing, refusals, pipelining and timeouts."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st
from twisted.internet.protocol import ClientFactory

from sesamearch.standin.network import MemoryNetwork
from sesamearch.wire.caller import CallerFactory, CallerLimits
from tests.platform.world import RawClient

ADDRESS = "10.0.0.1:80"
LIMITS = CallerLimits(1000, 500, header_timeout_s=3, idle_timeout_s=10)
GET = b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n"
CHUNKS = b"5\r\nhello\r\n0\r\n\r\n"


class Server:
    """A listener that echoes the target and the body of each request."""

    def __init__(self, limits=LIMITS):
        self.network = MemoryNetwork()
        self.limits = limits
        self.requests = []
        self.replies = []
        self.is_answering = True
        self.factory = CallerFactory(
            self.network, self.handle, lambda: self.limits, lambda status, detail: None
        )
        self.network.listen(ADDRESS, self.factory)

    def handle(self, head, body, reply):
        self.requests.append((head.method, head.target, body))
        self.replies.append(reply)
        if self.is_answering:
            reply.answer(200, [(b"X-Target", head.target)], body)

    def connect(self):
        factory = ClientFactory()
        client = RawClient()
        factory.buildProtocol = lambda address: client
        self.network.connectTCP("10.0.0.1", 80, factory)
        self.network.run(0.01)
        return client

    def send(self, *parts, wait_s=0.1):
        client = self.connect()
        for part in parts:
            client.send(part)
            self.network.run(wait_s)
        return client


def padded(size_bytes, path=b"/a"):
    """Return a request whose head has a size."""
    head = b"GET %s HTTP/1.1\r\nHost: h\r\nX-Note: " % path
    return head + b"n" * (size_bytes - len(head) - 4) + b"\r\n\r\n"


def with_body(size_bytes):
    """Return the head and the body of a request."""
    head = b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n" % size_bytes
    return head, b"b" * size_bytes


class TestChangedLimits(unittest.TestCase):
    # Guards against: a limit that is copied when a connection opens, or when a request
    # begins, and refuses what the limits in force allow.

    def setUp(self):
        self.server = Server()
        self.client = self.server.connect()

    def change(self, header_bytes=1000, body_bytes=500, header_s=3, idle_s=10):
        self.server.limits = CallerLimits(header_bytes, body_bytes, header_s, idle_s)

    def send(self, *parts, wait_s=0.1):
        for part in parts:
            self.client.send(part)
            self.server.network.run(wait_s)

    def test_raised_head_on_a_connection_that_was_open(self):
        self.change(header_bytes=4000)
        self.send(padded(3000))
        self.assertEqual(self.client.statuses, [200])

    def test_raised_head_on_a_connection_that_had_an_answer(self):
        self.send(padded(200))
        self.change(header_bytes=4000)
        self.send(padded(3000))
        self.assertEqual(self.client.statuses, [200, 200])

    def test_raised_head_of_which_some_bytes_had_come(self):
        head = padded(3000)
        self.send(head[:500])
        self.change(header_bytes=4000)
        self.send(head[500:])
        self.assertEqual(self.client.statuses, [200])

    def test_raised_head_sent_ahead(self):
        self.server.is_answering = False
        self.send(padded(200), padded(800))
        self.change(header_bytes=4000)
        self.send(padded(3000))
        for reply in (0, 1, 2):
            self.server.replies[reply].answer(200, [], b"")
            self.server.network.run(0.1)
        self.assertEqual(self.client.statuses, [200, 200, 200])

    def test_head_above_the_raised_limit_is_refused(self):
        self.change(header_bytes=4000)
        self.send(padded(4001))
        self.assertEqual(self.client.statuses, [431])

    def test_lowered_head_holds_for_the_next_request(self):
        self.send(padded(900))
        self.change(header_bytes=300)
        self.send(padded(900))
        self.assertEqual(self.client.statuses, [200, 431])

    def test_lowered_head_of_which_some_bytes_had_come(self):
        head = padded(900)
        self.send(head[:500])
        self.change(header_bytes=300)
        self.send(head[500:])
        self.assertEqual(self.client.statuses, [200])

    def test_lowered_head_that_was_sent_ahead(self):
        self.server.is_answering = False
        self.send(padded(200), padded(900))
        self.change(header_bytes=300)
        self.server.replies[0].answer(200, [], b"")
        self.server.network.run(0.1)
        self.server.replies[1].answer(200, [], b"")
        self.server.network.run(0.1)
        self.assertEqual(self.client.statuses, [200, 200])

    def test_lowered_head_holds_for_what_is_sent_ahead_later(self):
        self.server.is_answering = False
        self.send(padded(200))
        self.change(header_bytes=300)
        self.send(padded(900))
        self.server.replies[0].answer(200, [], b"")
        self.server.network.run(0.1)
        self.assertEqual(self.client.statuses, [200, 431])

    def test_raised_body_of_which_some_bytes_had_come(self):
        head, body = with_body(900)
        self.send(head[:20])
        self.change(body_bytes=2000)
        self.send(head[20:], body)
        self.assertEqual(self.client.statuses, [200])

    def test_lowered_body_of_which_some_bytes_had_come(self):
        head, body = with_body(400)
        self.send(head, body[:200])
        self.change(body_bytes=100)
        self.send(body[200:])
        self.assertEqual(self.client.statuses, [200])

    def test_lowered_body_in_chunks_of_which_some_had_come(self):
        head = b"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
        chunk = b"c8\r\n" + b"b" * 200 + b"\r\n"
        self.send(head, chunk)
        self.change(body_bytes=100)
        self.send(chunk, b"0\r\n\r\n")
        self.assertEqual(self.client.statuses, [200])

    def test_lowered_body_holds_for_the_next_request(self):
        self.send(*with_body(400))
        self.change(body_bytes=100)
        self.send(with_body(400)[0])
        self.assertEqual(self.client.statuses, [200, 413])

    def test_raised_time_for_a_head_that_had_begun(self):
        head = padded(200)
        self.send(head[:50], wait_s=1.0)
        self.change(header_s=6)
        self.server.network.run(4)
        self.send(head[50:])
        self.assertEqual(self.client.statuses, [200])

    def test_head_that_takes_longer_than_the_raised_time_is_refused(self):
        self.send(padded(200)[:50], wait_s=1.0)
        self.change(header_s=6)
        self.server.network.run(5.1)
        self.assertEqual(self.client.statuses, [408])

    def test_lowered_time_does_not_end_what_had_begun(self):
        head = padded(200)
        self.send(head[:50], wait_s=1.0)
        self.change(header_s=0.5, idle_s=0.5)
        self.server.network.run(1)
        self.send(head[50:])
        self.assertEqual(self.client.statuses, [200])


class TestRequests(unittest.TestCase):
    def setUp(self):
        self.server = Server()

    def test_body_with_length(self):
        data = b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello"
        self.assertEqual(self.server.send(data).status, 200)
        self.assertEqual(self.server.requests, [(b"POST", b"/a", b"hello")])

    def test_body_in_chunks(self):
        head = b"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
        self.assertEqual(self.server.send(head + CHUNKS).status, 200)
        self.assertEqual(self.server.requests, [(b"POST", b"/a", b"hello")])

    @settings(derandomize=True, deadline=None, max_examples=40)
    @given(st.lists(st.integers(1, 60), max_size=8))
    def test_requests_do_not_depend_on_the_split_into_reads(self, cuts):
        server = Server()
        data = b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello" + GET
        parts, start = [], 0
        for cut in cuts:
            parts.append(data[start : start + cut])
            start += cut
        parts.append(data[start:])
        client = server.send(*[part for part in parts if part])
        self.assertEqual(
            [r[1:] for r in server.requests], [(b"/a", b"hello"), (b"/a", b"")]
        )
        self.assertEqual(client.statuses, [200, 200])

    def test_100_continue_is_sent_before_the_body(self):
        head = (
            b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n"
            b"Expect: 100-continue\r\n\r\n"
        )
        client = self.server.send(head)
        self.assertEqual(client.statuses, [100])
        client.send(b"hello")
        self.server.network.run(0.1)
        self.assertEqual(client.statuses, [100, 200])

    def test_pipelined_request_waits_for_the_previous_response(self):
        self.server.is_answering = False
        client = self.server.send(GET + GET.replace(b"/a", b"/b"))
        self.assertEqual(len(self.server.requests), 1)
        self.server.replies[0].answer(200, [], b"first")
        self.server.network.run(0.1)
        self.server.replies[1].answer(200, [], b"second")
        self.server.network.run(0.1)
        self.assertLess(
            client.received.index(b"first"), client.received.index(b"second")
        )

    def pipeline_and_answer(self, second):
        """Answer the first of two requests; return the server's connection."""
        self.server.is_answering = False
        self.client = self.server.send(GET + second)
        self.server.is_answering = True
        (connection,) = self.server.factory.connections
        self.server.replies[0].answer(200, [], b"first")
        return connection

    def test_pipelined_request_survives_the_close_of_idle_connections(self):
        self.pipeline_and_answer(GET)
        self.server.factory.close_idle()
        self.server.network.run(0.1)
        self.assertEqual(self.client.statuses, [200, 200])

    def test_bytes_that_arrive_before_pipelined_ones_are_read_stay_in_order(self):
        second = b"POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello"
        connection = self.pipeline_and_answer(second[:-4])
        connection.dataReceived(second[-4:])
        self.server.network.run(0.1)
        self.assertEqual(self.client.statuses, [200, 200])
        self.assertEqual(self.server.requests[1], (b"POST", b"/b", b"hello"))

    def test_listener_is_notified_when_the_caller_disconnects(self):
        self.server.is_answering = False
        client = self.server.send(GET)
        calls = []
        self.server.replies[0].listener = type(
            "Listener", (), {"caller_left": lambda self: calls.append(1)}
        )()
        client.transport.abortConnection()
        self.server.network.run(0.1)
        self.assertEqual(calls, [1])

    def test_aborted_response_is_reset_and_incomplete(self):
        self.server.is_answering = False
        client = self.server.send(GET)
        self.server.replies[0].start(200, [])
        self.server.replies[0].write(b"part")
        self.server.replies[0].abort()
        self.server.network.run(0.1)
        self.assertTrue(client.was_reset)
        self.assertFalse(client.is_complete)


class TestMalformed(unittest.TestCase):
    def check_refused(self, data, status=400, requests=0):
        server = Server()
        client = server.send(data)
        self.assertEqual(client.statuses[-1:], [status], data)
        self.assertEqual(len(server.requests), requests, data)
        server.network.run(2)
        self.assertTrue(client.is_closed)

    def test_content_length_and_transfer_encoding_together(self):
        head = b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n"
        self.check_refused(head + b"Transfer-Encoding: chunked\r\n\r\n" + CHUNKS)

    def test_two_content_lengths(self):
        head = b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n"
        self.check_refused(head + b"Content-Length: 6\r\n\r\nhello!")

    def test_content_lengths_that_are_not_numbers(self):
        for value in (b"+5", b"-5", b"5;", b"0x5", b"5 5", b""):
            head = b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: " + value
            self.check_refused(head + b"\r\n\r\nhello")

    def test_other_transfer_codings(self):
        for value in (b"xchunked", b"gzip, chunked", b"chunked, identity"):
            head = b"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: " + value
            self.check_refused(head + b"\r\n\r\n" + CHUNKS, 501)

    def test_space_before_the_colon(self):
        head = b"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding : chunked"
        self.check_refused(head + b"\r\n\r\n" + CHUNKS)

    def test_folded_line(self):
        head = b"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding:\r\n chunked"
        self.check_refused(head + b"\r\n\r\n" + CHUNKS)

    def test_bare_line_feed(self):
        self.check_refused(b"GET /a HTTP/1.1\r\nHost: h\nX: y\r\n\r\n")

    def test_bare_carriage_return(self):
        self.check_refused(b"GET /a HTTP/1.1\r\nHost: h\rX: y\r\n\r\n")

    def test_missing_and_duplicate_host_header(self):
        self.check_refused(b"GET /a HTTP/1.1\r\n\r\n")
        self.check_refused(b"GET /a HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n")

    def test_chunk_size_that_is_not_a_number(self):
        head = b"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
        for chunk in (
            b"0x5\r\nhello\r\n0\r\n\r\n",
            b"5 x\r\nhello\r\n0\r\n\r\n",
            b"-1\r\n\r\n",
        ):
            self.check_refused(head + chunk)

    def test_chunk_longer_than_its_size(self):
        head = b"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
        self.check_refused(head + b"5\r\nhelloGET /b HTTP/1.1\r\n\r\n")

    def test_head_above_the_limit(self):
        self.check_refused(b"GET /a HTTP/1.1\r\nX: " + b"y" * 2000, 431)

    def test_body_above_the_limit(self):
        head = b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 501\r\n\r\n"
        self.check_refused(head, 413)

    def test_chunked_body_above_the_limit(self):
        head = b"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
        chunk = b"ff\r\n" + b"x" * 255 + b"\r\n"
        self.check_refused(head + chunk * 2, 413)

    def test_data_after_a_refusal_is_ignored(self):
        self.check_refused(b"GET /a HTTP/1.1\r\n\r\n" + GET)


class TestTimeouts(unittest.TestCase):
    def setUp(self):
        self.server = Server()

    def test_slow_head_gets_408(self):
        client = self.server.send(b"GET /a HT")
        self.server.network.run(3.2)
        self.assertEqual(client.statuses, [408])

    def test_slow_body_gets_408(self):
        head = b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhe"
        client = self.server.send(head)
        self.server.network.run(10.2)
        self.assertEqual(client.statuses, [408])

    def test_idle_connection_is_closed_after_the_timeout(self):
        client = self.server.send(GET)
        self.server.network.run(9.5)
        self.assertFalse(client.is_closed)
        self.server.network.run(1)
        self.assertTrue(client.is_closed)

    def test_raised_idle_timeout_applies_to_open_connections(self):
        client = self.server.send(GET)
        self.server.limits = CallerLimits(1000, 500, 3, idle_timeout_s=30)
        self.server.network.run(20)
        self.assertFalse(client.is_closed)

    def test_connection_with_a_pending_response_is_not_idle(self):
        self.server.is_answering = False
        client = self.server.send(GET)
        self.server.network.run(20)
        self.assertFalse(client.is_closed)
