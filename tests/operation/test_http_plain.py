"""Calls to plain services over HTTP that end without an answer."""

import unittest

from result import Err
from twisted.internet.testing import MemoryReactorClock, StringTransport

from sesamearch.configuration.blackboard import Endpoint
from sesamearch.operation.http_plain import HttpPlainClient
from sesamearch.operation.plain import CallFailure, PlainRequest

ENDPOINT = Endpoint("s1", "10.0.0.9:80", "a", "ticketing", "v1")
REQUEST = PlainRequest("POST", "/receipts", [], b"{}", "POST /receipts")


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
