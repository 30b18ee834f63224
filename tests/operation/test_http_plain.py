"""Calls to plain services over HTTP that end without an answer."""

import unittest

from result import Err
from twisted.internet.error import ConnectionDone
from twisted.internet.testing import MemoryReactorClock, StringTransport
from twisted.python.failure import Failure

from sesamearch.configuration.blackboard import Endpoint
from sesamearch.operation.http_plain import HttpPlainClient
from sesamearch.operation.plain import CallFailure, PlainRequest

ENDPOINT = Endpoint("s1", "10.0.0.9:80", "a", "ticketing", "v1")
REQUEST = PlainRequest("POST", "/receipts", [], b"{}", "POST /receipts")


class TestAnswers(unittest.TestCase):
    def answer(self, data, request=REQUEST):
        """Have the endpoint send bytes and close; return the outcome of the call."""
        reactor, outcomes = MemoryReactorClock(), []
        called = HttpPlainClient(reactor).call(ENDPOINT, request, 0.5)
        called.addCallback(outcomes.append)
        protocol = reactor.tcpClients[0][2].buildProtocol(None)
        protocol.makeConnection(StringTransport())
        protocol.dataReceived(data)
        protocol.connectionLost(Failure(ConnectionDone()))
        reactor.advance(0.6)
        return outcomes[0]

    def test_answer_is_returned(self):
        answered = self.answer(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nhi")
        self.assertEqual(
            (answered.unwrap().status, answered.unwrap().body), (200, b"hi")
        )

    # Guards against bytes that are no answer and reach the caller as one.
    def test_status_that_is_none_is_no_answer(self):
        for status in (b"000", b"099", b"600", b"999", b"-20"):
            with self.subTest(status=status):
                data = b"HTTP/1.1 %s OK\r\nContent-Length: 2\r\n\r\nhi" % status
                self.assertEqual(self.answer(data), Err(CallFailure.LOST))

    # Guards against a part of an answer that reaches the caller as the whole.
    def test_answer_without_a_length_that_ends_before_the_request_is_lost(self):
        body = b"x" * (1 << 20)
        request = PlainRequest("POST", "/receipts", [], body, "POST /receipts")
        outcome = self.answer(b"HTTP/1.1 200 OK\r\n\r\npart", request)
        self.assertEqual(outcome, Err(CallFailure.LOST))


class TestTimeout(unittest.TestCase):
    def setUp(self):
        self.reactor = MemoryReactorClock()
        self.outcomes = []
        called = HttpPlainClient(self.reactor).call(ENDPOINT, REQUEST, 0.5)
        called.addCallback(self.outcomes.append)

    def test_call_that_was_never_connected_has_provably_not_run(self):
        # Guards against an operation that is kept as unknown although none got it.
        self.reactor.advance(0.6)
        self.assertEqual(self.outcomes, [Err(CallFailure.NOT_SENT)])

    def test_call_that_was_sent_may_have_run(self):
        # Guards against a second run.
        factory = self.reactor.tcpClients[0][2]
        factory.buildProtocol(None).makeConnection(StringTransport())
        self.reactor.advance(0.6)
        self.assertEqual(self.outcomes, [Err(CallFailure.LOST)])
