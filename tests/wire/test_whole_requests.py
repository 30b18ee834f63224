"""A whole request that was read is answered, or its connection is reset."""

import unittest

import logbook

from sesamearch.wire.caller import CallerLimits
from tests.wire.test_caller import GET, Server

BAD = GET.replace(b"/a", b"/bad")


class FailingServer(Server):
    """A listener whose handler raises for the target ``/bad``."""

    begins = False

    def handle(self, head, body, reply):
        if head.target != b"/bad":
            super().handle(head, body, reply)
            return
        if self.begins:
            reply.start(200, [])
        raise ZeroDivisionError


class TestHandlerThatRaises(unittest.TestCase):
    """Guards against a caller that hears nothing because of a fault of ours."""

    def setUp(self):
        self.log = logbook.TestHandler()
        self.log.push_application()
        self.addCleanup(self.log.pop_application)
        self.server = FailingServer()

    def test_request_gets_500_and_the_next_one_its_answer(self):
        client = self.server.send(BAD, GET)
        self.assertEqual(client.statuses, [500, 200])
        self.assertTrue(self.log.has_errors)

    def test_pipelined_request_gets_500(self):
        client = self.server.send(GET + BAD + GET)
        self.assertEqual(client.statuses, [200, 500, 200])

    def test_answer_that_has_begun_is_reset(self):
        self.server.begins = True
        client = self.server.send(BAD)
        self.assertTrue(client.was_reset)

    def test_work_for_the_request_is_stopped(self):
        calls = []

        def handle(head, body, reply):
            reply.listener = type(
                "Listener", (), {"caller_left": lambda self: calls.append(1)}
            )()
            raise ZeroDivisionError

        self.server.factory.handler = handle
        self.assertEqual(self.server.send(GET).statuses, [500])
        self.assertEqual(calls, [1])


class TestHead(unittest.TestCase):
    """Guards against an answer whose body the protocol does not allow."""

    def test_answer_has_no_body_and_the_next_request_is_answered(self):
        server = Server()
        server.is_answering = False
        client = server.send(GET.replace(b"GET", b"HEAD"))
        server.replies[0].answer(404, [], b"problem")
        server.network.run(0.1)
        self.assertEqual(client.statuses, [404])
        self.assertTrue(client.received.endswith(b"\r\n\r\n"))
        self.assertIn(b"Content-Length: 7", client.received)
        client.send(GET)
        server.network.run(0.1)
        server.replies[1].answer(200, [], b"body")
        server.network.run(0.1)
        self.assertEqual(client.statuses, [404, 200])

    def test_streamed_answer_has_no_body(self):
        server = Server()
        server.is_answering = False
        client = server.send(GET.replace(b"GET", b"HEAD"))
        server.replies[0].start(200, [])
        server.replies[0].write(b"part")
        server.replies[0].finish()
        server.network.run(0.1)
        self.assertTrue(client.received.endswith(b"\r\n\r\n"))

    def test_answer_that_cannot_be_sent_is_reset(self):
        # Guards against a connection that stays open without an answer.
        log = logbook.TestHandler()
        with log.applicationbound():
            server = Server()
            server.is_answering = False
            client = server.send(GET)
            server.replies[0].answer(200, [(b"X", b"a\r\nb")], b"body")
            server.network.run(0.1)
            self.assertTrue(client.was_reset)
            self.assertTrue(log.has_errors)


class TestDrain(unittest.TestCase):
    def setUp(self):
        self.server = Server()
        self.server.is_answering = False

    def answer(self, number):
        self.server.replies[number].answer(200, [], b"body")
        self.server.network.run(0.1)

    def test_request_that_was_read_before_the_last_answer_is_answered(self):
        # Guards against a close that drops a pipelined request.
        for parts in ([GET + GET], [GET, GET]):
            with self.subTest(parts=len(parts)):
                self.setUp()
                client = self.server.send(*parts)
                self.server.factory.is_draining = True
                self.answer(0)
                self.assertEqual(client.statuses, [200])
                self.assertNotIn(b"Connection: close", client.received)
                self.answer(1)
                self.assertEqual(client.statuses, [200, 200])
                self.assertIn(b"Connection: close", client.received)
                self.assertTrue(client.is_closed)

    def test_close_of_idle_connections_spares_a_head_that_has_begun(self):
        # Guards against a close between two reads of one request.
        client = self.server.send(GET[:9])
        self.server.factory.close_idle()
        client.send(GET[9:])
        self.server.network.run(0.1)
        self.answer(0)
        self.assertEqual(client.statuses, [200])

    def test_connection_is_not_idle_until_its_close_is_complete(self):
        # Guards against the exit of the process before an answer has been flushed.
        self.server.is_answering = True
        self.server.send(GET)
        (connection,) = self.server.factory.connections
        connection.transport.loseConnection = lambda: None
        self.server.factory.close_idle()
        self.assertFalse(connection.is_idle)


class TestPipelined(unittest.TestCase):
    def test_requests_beyond_the_buffer_limit_are_answered_in_order(self):
        # Guards against bytes that overtake those that were read before them.
        server = Server()
        server.is_answering = False
        requests = [
            b"POST /%d HTTP/1.1\r\nHost: h\r\nContent-Length: 300\r\n\r\n" % number
            + b"%d" % number * 300
            for number in range(8)
        ]
        client = server.send(*requests, wait_s=0.01)
        for number in range(8):
            server.replies[number].answer(200, [], b"body")
            server.network.run(0.05)
        self.assertEqual(client.statuses, [200] * 8)
        targets = [target for _, target, _ in server.requests]
        self.assertEqual(targets, [b"/%d" % number for number in range(8)])


class TestIdleTimeout(unittest.TestCase):
    def test_lowered_timeout_spares_connections_that_rely_on_the_former(self):
        # Guards against a close while a request is on its way.
        server = Server()
        client = server.send(GET)
        server.limits = CallerLimits(1000, 500, 3, idle_timeout_s=2)
        server.network.run(7.8)
        client.send(GET)
        server.network.run(0.1)
        self.assertEqual(client.statuses, [200, 200])

    def test_lowered_timeout_spares_a_request_that_has_begun(self):
        # Guards against an idle timeout that ends a request between two reads.
        server = Server()
        client = server.send(GET)
        server.limits = CallerLimits(1000, 500, 3, idle_timeout_s=0.05)
        client.send(GET[:9])
        server.network.run(2)
        client.send(GET[9:])
        server.network.run(0.01)
        self.assertEqual(client.statuses, [200, 200])


class TestUnread(unittest.TestCase):
    """Guards against reports of lost requests that no caller sent whole."""

    def close_after(self, *parts):
        """Send bytes and disconnect; return the bytes reported as unread."""
        server = Server()
        server.is_answering = False
        unread = []
        server.factory.unread = unread.append
        client = server.send(*parts)
        client.transport.abortConnection()
        server.network.run(0.1)
        return unread

    def test_request_behind_another_one_is_reported(self):
        self.assertEqual(self.close_after(GET + GET), [GET])
        self.assertEqual(self.close_after(GET, GET), [GET])

    def test_unfinished_request_is_not_reported(self):
        head = b"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
        for data in (GET, GET[:9], head + b"5\r\nhel", head + b"5"):
            self.assertEqual(self.close_after(data), [])
