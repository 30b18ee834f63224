"""Endpoints byte by byte: late, double, broken and unframed answers."""

import unittest

from twisted.internet.protocol import Factory, Protocol

from sesamearch.standin.network import MemoryNetwork
from sesamearch.wire.endpoint import (
    Loss,
    OutgoingRequest,
    ResponseReceiver,
)
from sesamearch.wire.pool import ConnectionPool

ADDRESS = "10.0.0.2:80"


def answer(number, body=b"body", extra=b""):
    head = b"HTTP/1.1 200 OK\r\nX-Id: %d\r\nContent-Length: %d\r\n" % (
        number,
        len(body),
    )
    return head + extra + b"\r\n" + body


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
        self.outcome = "whole"

    def lost(self, loss):
        self.outcome = loss


class TestAnswers(unittest.TestCase):
    def setUp(self):
        self.network = MemoryNetwork()
        self.factory = Factory.forProtocol(RawServer)
        self.factory.protocols, self.factory.closed = [], []
        self.network.listen(ADDRESS, self.factory)
        self.pool = ConnectionPool(self.network, ADDRESS, lambda head: 5.0)

    def ask(self, number, body=b"", method=b"GET"):
        receiver = Receiver(number)
        request = OutgoingRequest(method, b"/", [(b"Host", b"h")], body)
        self.pending_request = self.pool.send(request, receiver)
        self.network.run(0.02)
        return receiver

    def serve(self, data, connection=-1):
        self.factory.protocols[connection].transport.write(data)
        self.network.run(0.02)

    @property
    def connections(self):
        return len(self.factory.protocols)

    def test_whole_answer_keeps_the_connection(self):
        first = self.ask(1)
        self.serve(answer(1))
        second = self.ask(2)
        self.serve(answer(2, b"other"))
        self.assertEqual((first.outcome, first.body), ("whole", b"body"))
        self.assertEqual((second.outcome, second.body), ("whole", b"other"))
        self.assertEqual(self.connections, 1)

    def test_answer_split_over_reads(self):
        receiver = self.ask(1)
        for byte in answer(1):
            self.serve(bytes([byte]))
        self.assertEqual((receiver.outcome, receiver.body), ("whole", b"body"))

    def test_second_answer_in_the_same_read_closes_the_connection(self):
        first = self.ask(1)
        self.serve(answer(1) + answer(1, b"again"))
        second = self.ask(2)
        self.serve(answer(2))
        self.assertEqual((first.body, second.body), (b"body", b"body"))
        self.assertEqual(self.connections, 2)

    def test_second_answer_on_an_idle_connection_closes_it(self):
        self.ask(1)
        self.serve(answer(1))
        self.serve(answer(1, b"again"))
        second = self.ask(2)
        self.serve(answer(2))
        self.assertEqual(second.body, b"body")
        self.assertEqual(self.connections, 2)

    def test_late_answer_is_not_taken_for_the_next(self):
        self.ask(1)
        self.serve(answer(1))
        second = self.ask(2)
        self.serve(answer(1, b"late"))
        self.assertIsNone(second.outcome)
        self.serve(answer(2, b"own"))
        self.assertEqual((second.outcome, second.body), ("whole", b"own"))

    def test_late_and_own_answer_in_one_read(self):
        self.ask(1)
        self.serve(answer(1))
        second = self.ask(2)
        self.serve(answer(1, b"late") + answer(2, b"own"))
        self.assertEqual((second.outcome, second.body), ("whole", b"own"))

    def test_answer_without_an_id_is_not_taken(self):
        receiver = self.ask(1)
        self.serve(b"HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n")
        self.assertIsNone(receiver.outcome)

    def test_unframed_answer_ends_with_its_connection(self):
        receiver = self.ask(1)
        self.serve(b"HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\nall of it")
        self.assertIsNone(receiver.outcome)
        self.factory.protocols[0].transport.loseConnection()
        self.network.run(0.02)
        self.assertEqual((receiver.outcome, receiver.body), ("whole", b"all of it"))

    def test_unframed_answer_that_is_reset_is_not_whole(self):
        receiver = self.ask(1)
        self.serve(b"HTTP/1.1 200 OK\r\nX-Id: 1\r\n\r\nsome of")
        self.factory.protocols[0].transport.abortConnection()
        self.network.run(0.02)
        self.assertEqual(receiver.outcome, Loss.CLOSED_MIDWAY)

    def test_closed_before_its_length_is_not_whole(self):
        receiver = self.ask(1)
        self.serve(answer(1)[:-1])
        self.factory.protocols[0].transport.loseConnection()
        self.network.run(0.02)
        self.assertEqual(receiver.outcome, Loss.CLOSED_MIDWAY)

    def test_closed_without_an_answer(self):
        receiver = self.ask(1)
        self.factory.protocols[0].transport.abortConnection()
        self.network.run(0.02)
        self.assertEqual(receiver.outcome, Loss.CLOSED_UNANSWERED)

    def test_kept_connection_closed_under_a_request_is_no_proof(self):
        self.ask(1)
        self.serve(answer(1))
        second = self.ask(2)
        self.factory.protocols[0].transport.abortConnection()
        self.network.run(0.02)
        self.assertEqual(second.outcome, Loss.CLOSED_UNANSWERED)

    def test_bytes_that_are_no_answer(self):
        receiver = self.ask(1)
        self.serve(b"\x00\x01garbage\r\n\r\n")
        self.assertEqual(receiver.outcome, Loss.MALFORMED)

    def test_refused_connection(self):
        self.network.close(ADDRESS)
        self.assertEqual(self.ask(1).outcome, Loss.NOT_CONNECTED)

    def test_silent_address(self):
        self.network.dark.add(ADDRESS)
        receiver = self.ask(1)
        self.network.run(0.4)
        self.assertEqual(receiver.outcome, Loss.NOT_CONNECTED)

    def test_early_answer_to_a_long_body_ends_the_connection(self):
        self.ask(1, b"x" * 100_000, b"POST")
        self.serve(answer(1))
        self.ask(2)
        self.assertEqual(self.connections, 2)

    def test_asked_to_close(self):
        self.ask(1)
        self.serve(answer(1, extra=b"Connection: close\r\n"))
        self.ask(2)
        self.assertEqual(self.connections, 2)

    def test_kept_connection_is_not_used_beyond_its_time(self):
        self.ask(1)
        self.serve(answer(1))
        self.network.run(6)
        self.ask(2)
        self.assertEqual(self.connections, 2)

    def test_cancelled_request_closes_its_connection(self):
        receiver = self.ask(1)
        self.pending_request.cancel()
        self.network.run(0.02)
        self.assertEqual(len(self.factory.closed), 1)
        self.assertIsNone(receiver.outcome)
