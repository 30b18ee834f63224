"""Endpoint connections: late, duplicate, malformed and unframed responses."""

import unittest

from twisted.internet.protocol import Factory, Protocol

from sesamearch.standin.network import MemoryNetwork
from sesamearch.wire.endpoint import (
    MAX_FAILED_REQUESTS,
    MAX_REUSE_BODY_BYTES,
    Loss,
    OutgoingRequest,
    ResponseReceiver,
)
from sesamearch.wire.pool import ConnectionPool
from sesamearch.wire.upload import UPLOAD_PIECE_BYTES

ADDRESS = "10.0.0.2:80"


def refusal(number):
    head = b"HTTP/1.1 503 Busy\r\nX-Id: %d\r\nX-Not-Executed: 1\r\n" % number
    return head + b"Content-Length: 4\r\n\r\nbusy"


def response(number, body=b"body", extra_headers=b""):
    head = b"HTTP/1.1 200 OK\r\nX-Id: %d\r\nContent-Length: %d\r\n" % (
        number,
        len(body),
    )
    return head + extra_headers + b"\r\n" + body


class RawServer(Protocol):
    def connectionMade(self):
        self.factory.protocols.append(self)
        self.received = b""

    def dataReceived(self, data):
        self.received += data

    def connectionLost(self, reason):
        self.factory.closed.append(self)


class Receiver(ResponseReceiver):
    def __init__(self, number):
        self.number = b"%d" % number
        self.body = b""
        self.outcome = None

    def matches_request(self, head):
        return (b"X-Id", self.number) in head.headers

    def began(self, head):
        self.status = head.status

    def received(self, data):
        self.body += data

    def ended(self):
        self.outcome = "complete"

    def lost(self, loss):
        self.outcome = loss


class ResponseTestCase(unittest.TestCase):
    def setUp(self):
        self.network = MemoryNetwork()
        self.factory = Factory.forProtocol(RawServer)
        self.factory.protocols, self.factory.closed = [], []
        self.network.listen(ADDRESS, self.factory)
        self.pool = ConnectionPool(self.network, ADDRESS, lambda head: 5.0)

    def send_request(self, number, body=b"", method=b"GET"):
        receiver = Receiver(number)
        request = OutgoingRequest(method, b"/", [(b"Host", b"h")], body, f"{number}")
        self.pending_request = self.pool.send(request, receiver)
        self.network.run(0.02)
        return receiver

    def send_bytes(self, data, connection=-1):
        self.factory.protocols[connection].transport.write(data)
        self.network.run(0.02)

    @property
    def connection_count(self):
        return len(self.factory.protocols)


class TestUploads(ResponseTestCase):
    # Guards against a transport that holds a body once more while its endpoint is slow.
    def test_large_body_is_written_as_the_endpoint_takes_it(self):
        receiver = self.send_request(1)
        self.send_bytes(response(1))
        body = b"x" * (3 * UPLOAD_PIECE_BYTES + 5)
        (connection,) = self.pool._idle
        connection.transport.hold_writes()
        receiver = self.send_request(2, body, b"POST")
        most_bytes = 0
        while connection.transport.unsent_bytes:
            most_bytes = max(most_bytes, connection.transport.unsent_bytes)
            connection.transport.release_writes()
            connection.transport.hold_writes()
        self.network.run(0.02)
        self.assertLessEqual(most_bytes, UPLOAD_PIECE_BYTES)
        self.assertTrue(self.factory.protocols[0].received.endswith(body))
        self.send_bytes(response(2))
        self.assertEqual(receiver.outcome, "complete")


class TestEarlyResponses(ResponseTestCase):
    """An endpoint answers while the body of the request is still being written."""

    HEAD = b"HTTP/1.1 200 OK\r\nX-Id: 2\r\n"

    def send_held(self, body=b"x" * (4 << 20)):
        """Send a request whose body the endpoint does not take."""
        self.send_request(1)
        self.send_bytes(response(1))
        (connection,) = self.pool._idle
        connection.transport.hold_writes()
        self.held = connection.transport
        return self.send_request(2, body, b"POST")

    def close(self):
        self.factory.protocols[0].transport.loseConnection()
        self.network.run(0.02)

    # Guards against a part of an answer that is taken for all of it: the endpoint may
    # have ended, and a close proves nothing while it should still be reading.
    def test_answer_without_a_length_that_ends_before_the_request_is_lost(self):
        receiver = self.send_held()
        self.send_bytes(self.HEAD + b"\r\npart")
        self.close()
        self.assertEqual(receiver.outcome, Loss.CLOSED_MIDWAY)

    def test_answer_without_a_length_that_ends_after_the_request_is_whole(self):
        receiver = self.send_held()
        self.held.release_writes()
        self.send_bytes(self.HEAD + b"\r\nwhole")
        self.close()
        self.assertEqual((receiver.outcome, receiver.body), ("complete", b"whole"))

    # Guards against a next request that is written into the rest of a body.
    def test_connection_is_not_reused_while_the_body_is_written(self):
        self.send_held(body=b"x" * MAX_REUSE_BODY_BYTES)
        self.send_bytes(response(2))
        self.send_request(3)
        self.assertEqual(self.connection_count, 2)

    def test_framed_answer_that_ends_before_the_request_is_whole(self):
        receiver = self.send_held()
        self.send_bytes(response(2))
        self.assertEqual((receiver.outcome, receiver.body), ("complete", b"body"))


class TestResponses(ResponseTestCase):
    def test_connection_is_reused_after_a_complete_response(self):
        first = self.send_request(1)
        self.send_bytes(response(1))
        second = self.send_request(2)
        self.send_bytes(response(2, b"other"))
        self.assertEqual((first.outcome, first.body), ("complete", b"body"))
        self.assertEqual((second.outcome, second.body), ("complete", b"other"))
        self.assertEqual(self.connection_count, 1)

    def test_response_split_over_reads(self):
        receiver = self.send_request(1)
        for byte in response(1):
            self.send_bytes(bytes([byte]))
        self.assertEqual((receiver.outcome, receiver.body), ("complete", b"body"))

    def test_duplicate_response_in_the_same_read_closes_the_connection(self):
        first = self.send_request(1)
        self.send_bytes(response(1) + response(1, b"again"))
        second = self.send_request(2)
        self.send_bytes(response(2))
        self.assertEqual((first.body, second.body), (b"body", b"body"))
        self.assertEqual(self.connection_count, 2)

    def test_duplicate_response_on_an_idle_connection_closes_it(self):
        self.send_request(1)
        self.send_bytes(response(1))
        self.send_bytes(response(1, b"again"))
        second = self.send_request(2)
        self.send_bytes(response(2))
        self.assertEqual(second.body, b"body")
        self.assertEqual(self.connection_count, 2)

    def test_late_response_is_not_matched_to_the_next_request(self):
        self.send_request(1)
        self.send_bytes(response(1))
        second = self.send_request(2)
        self.send_bytes(response(1, b"late"))
        self.assertIsNone(second.outcome)
        self.send_bytes(response(2, b"own"))
        self.assertEqual((second.outcome, second.body), ("complete", b"own"))

    def test_late_duplicate_in_pieces_of_the_same_length_as_the_own_response(self):
        self.send_request(1)
        self.send_bytes(response(1))
        second = self.send_request(2)
        late = response(1, b"late")
        own = response(2, b"mine")
        self.assertEqual(len(late), len(own))
        for piece in (late[:7], late[7:-2], late[-2:] + own[:9], own[9:]):
            self.assertIsNone(second.outcome)
            self.send_bytes(piece)
        self.assertEqual((second.outcome, second.body), ("complete", b"mine"))

    def test_first_half_of_a_duplicate_on_an_idle_connection_closes_it(self):
        self.send_request(1)
        self.send_bytes(response(1))
        self.send_bytes(response(1)[:10])
        second = self.send_request(2)
        self.send_bytes(response(2, b"own"))
        self.assertEqual((second.body, self.connection_count), (b"own", 2))

    def test_duplicate_behind_an_early_response_to_a_long_body(self):
        self.send_request(1, b"x" * 100_000, b"POST")
        self.send_bytes(response(1) + response(1, b"again"))
        second = self.send_request(2)
        self.send_bytes(response(2, b"own"))
        self.assertEqual((second.body, self.connection_count), (b"own", 2))

    def test_duplicate_that_breaks_off_is_not_completed_by_the_own_response(self):
        self.send_request(1)
        self.send_bytes(response(1))
        second = self.send_request(2)
        self.send_bytes(response(1, b"a longer one")[:-6])
        self.send_bytes(response(2, b"own"))
        self.assertNotEqual(second.outcome, "complete")
        self.factory.protocols[0].transport.loseConnection()
        self.network.run(0.02)
        self.assertIsInstance(second.outcome, Loss)

    def test_late_and_matching_response_in_one_read(self):
        self.send_request(1)
        self.send_bytes(response(1))
        second = self.send_request(2)
        self.send_bytes(response(1, b"late") + response(2, b"own"))
        self.assertEqual((second.outcome, second.body), ("complete", b"own"))

    def test_response_without_an_id_is_ignored(self):
        receiver = self.send_request(1)
        self.send_bytes(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
        self.assertIsNone(receiver.outcome)

    def test_unframed_response_ends_when_the_connection_closes(self):
        receiver = self.send_request(1)
        self.send_bytes(b"HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\nall of it")
        self.assertIsNone(receiver.outcome)
        self.factory.protocols[0].transport.loseConnection()
        self.network.run(0.02)
        self.assertEqual((receiver.outcome, receiver.body), ("complete", b"all of it"))

    def test_unframed_response_that_is_reset_is_incomplete(self):
        receiver = self.send_request(1)
        self.send_bytes(b"HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\nsome of")
        self.factory.protocols[0].transport.abortConnection()
        self.network.run(0.02)
        self.assertEqual(receiver.outcome, Loss.CLOSED_MIDWAY)

    def test_response_shorter_than_its_content_length_is_incomplete(self):
        receiver = self.send_request(1)
        self.send_bytes(response(1)[:-1])
        self.factory.protocols[0].transport.loseConnection()
        self.network.run(0.02)
        self.assertEqual(receiver.outcome, Loss.CLOSED_MIDWAY)

    def test_connection_closed_without_a_response(self):
        receiver = self.send_request(1)
        self.factory.protocols[0].transport.abortConnection()
        self.network.run(0.02)
        self.assertEqual(receiver.outcome, Loss.CLOSED_UNANSWERED)

    def test_reused_connection_closed_before_the_response(self):
        # The endpoint may have run the request: this must not be NOT_CONNECTED.
        self.send_request(1)
        self.send_bytes(response(1))
        second = self.send_request(2)
        self.factory.protocols[0].transport.abortConnection()
        self.network.run(0.02)
        self.assertEqual(second.outcome, Loss.CLOSED_UNANSWERED)

    def test_malformed_response(self):
        receiver = self.send_request(1)
        self.send_bytes(b"\x00\x01garbage\r\n\r\n")
        self.assertEqual(receiver.outcome, Loss.MALFORMED)

    def test_refused_connection(self):
        self.network.close(ADDRESS)
        self.assertEqual(self.send_request(1).outcome, Loss.NOT_CONNECTED)

    def test_connect_timeout_counts_as_not_connected(self):
        self.network.blackholed.add(ADDRESS)
        receiver = self.send_request(1)
        self.network.run(0.4)
        self.assertEqual(receiver.outcome, Loss.NOT_CONNECTED)

    def test_connection_is_not_reused_after_a_long_request_body(self):
        self.send_request(1, b"x" * 100_000, b"POST")
        self.send_bytes(response(1))
        self.send_request(2)
        self.assertEqual(self.connection_count, 2)

    def test_connection_close_header_prevents_reuse(self):
        self.send_request(1)
        self.send_bytes(response(1, extra_headers=b"Connection: close\r\n"))
        self.send_request(2)
        self.assertEqual(self.connection_count, 2)

    def test_idle_connection_is_not_reused_after_its_timeout(self):
        self.send_request(1)
        self.send_bytes(response(1))
        self.network.run(6)
        self.send_request(2)
        self.assertEqual(self.connection_count, 2)

    def test_connection_that_was_paused_at_the_end_of_a_response_is_read_again(self):
        # Guards against a request whose response is never read, because the caller of
        # the request before it was slow.
        for name in ("received", "ended"):
            with self.subTest(paused_by=name):
                self.setUp()
                first = self.send_request(1)
                transport = self.pending_request.producer
                setattr(first, name, lambda *_, of=transport: of.pauseProducing())
                self.send_bytes(response(1))
                second = self.send_request(2)
                self.send_bytes(response(2, b"own"))
                self.assertEqual((second.outcome, second.body), ("complete", b"own"))
                self.assertEqual(self.connection_count, 1)

    def test_cancelled_request_closes_its_connection(self):
        receiver = self.send_request(1)
        self.pending_request.cancel()
        self.network.run(0.02)
        self.assertEqual(len(self.factory.closed), 1)
        self.assertIsNone(receiver.outcome)


class TestRepeatedRefusals(ResponseTestCase):
    """A server that writes an earlier refusal once more on a kept connection."""

    def refuse(self, number):
        self.send_request(number)
        self.send_bytes(refusal(number))

    # Guards against a refusal that is taken for the answer to the same request, which
    # is sent again on the same connection and is running (another operator's report).
    def test_request_is_not_sent_again_on_a_connection_that_refused_it(self):
        self.refuse(1)
        again = self.send_request(1)
        self.assertEqual(self.connection_count, 2)
        self.send_bytes(refusal(1), connection=0)
        self.assertIsNone(again.outcome)
        self.send_bytes(response(1))
        self.assertEqual((again.status, again.body), (200, b"body"))

    def test_other_requests_use_the_connection_that_refused_one(self):
        self.refuse(1)
        self.send_request(2)
        self.assertEqual(self.connection_count, 1)

    # Guards against refusals that are forgotten while the connection is kept.
    def test_connection_with_many_refusals_is_not_kept(self):
        for number in range(MAX_FAILED_REQUESTS + 1):
            self.refuse(number)
        self.assertEqual(self.connection_count, 1)
        self.refuse(99)
        self.assertEqual(self.connection_count, 2)

    def test_repeated_refusal_for_another_request_is_skipped_at_every_split(self):
        whole = refusal(1)
        for split in range(len(whole) + 1):
            with self.subTest(split=split):
                self.setUp()
                self.refuse(1)
                second = self.send_request(2)
                self.send_bytes(whole[:split])
                self.send_bytes(whole[split:] + response(2, b"own"))
                self.assertEqual((second.status, second.body), (200, b"own"))

    def test_repeated_refusal_on_an_idle_connection_closes_it_at_every_split(self):
        whole = refusal(1)
        for split in range(1, len(whole) + 1):
            with self.subTest(split=split):
                self.setUp()
                self.refuse(1)
                self.send_bytes(whole[:split])
                second = self.send_request(2)
                self.send_bytes(response(2, b"own"))
                self.assertEqual((second.status, second.body), (200, b"own"))
                self.assertEqual(self.connection_count, 2)


class TestHeadsThatBreakOff(ResponseTestCase):
    # Guards against a head that the close seems to complete, so that an empty or short
    # body looks whole (another operator's report).
    def test_head_cut_at_every_byte_is_a_loss(self):
        frames = (
            b"Content-Length: 120\r\n",
            b"Transfer-Encoding: chunked\r\n",
            b"Connection: close\r\n",
        )
        for frame in frames:
            head = b"HTTP/1.1 200 OK\r\nX-Id: 1\r\n" + frame + b"\r\n"
            for end in range(len(head)):
                for is_reset in (False, True):
                    with self.subTest(frame=frame, end=end, is_reset=is_reset):
                        self.assert_lost(head[:end], is_reset)

    # Guards against the same for a bare line feed, and for lines that are folded.
    def test_odd_line_ends_before_the_close_are_a_loss(self):
        start = b"HTTP/1.1 200 OK\r\nX-Id: 1\r\nContent-Length: 12"
        for rest in (b"\n", b"\r", b"\r\n", b"\r\n ", b"\r\n\r", b"\r\n folded\r\n"):
            with self.subTest(rest=rest):
                self.assert_lost(start + rest, is_reset=False)

    def assert_lost(self, data, is_reset):
        self.setUp()
        receiver = self.send_request(1)
        self.send_bytes(data)
        transport = self.factory.protocols[0].transport
        if is_reset:
            transport.abortConnection()
        else:
            transport.loseConnection()
        self.network.run(0.02)
        self.assertEqual(receiver.outcome, Loss.CLOSED_UNANSWERED)
