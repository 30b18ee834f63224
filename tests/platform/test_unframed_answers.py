"""Answers with neither a length nor chunks, which end with their connection."""

import unittest

from twisted.internet.protocol import Factory

from sesamearch.standin.platform_worker import DEFAULT_EVENTS
from tests.platform.raw_worker import RawWorker
from tests.platform.world import World, draft_bytes, request_bytes

HEAD = b"HTTP/1.1 200 OK\r\nX-Attempt-Id: %s\r\nX-Response-Signature: raw\r\n\r\n"
EVENTS = [b"id: %d\ndata: piece %d\n\n" % (n, n) for n in range(DEFAULT_EVENTS)]
BODY = b"the whole answer"


class UnframedWorker(RawWorker):
    """Sends an answer without framing, and ends it with its connection."""

    def answer(self, request_id):
        self.transport.write(HEAD % request_id + self.factory.body)
        self.factory.network.callLater(0.05, self._end)

    def _end(self):
        if self.factory.is_reset:
            self.transport.abortConnection()
        else:
            self.transport.loseConnection()


class UnframedTestCase(unittest.TestCase):
    def replace(self, worker, body, is_reset=False):
        """Replace a worker by one that sends `body` and ends the connection."""
        factory = Factory.forProtocol(UnframedWorker)
        factory.network, factory.requests = self.world.network, 0
        factory.body, factory.is_reset = body, is_reset
        self.world.network.close(worker.address)
        self.world.network.listen(worker.address, factory)
        return factory


class TestStreams(UnframedTestCase):
    def setUp(self):
        self.world = World(desks=0, engines=2)
        # The other engine is sent the generation only once the raw one is lost.
        self.raw, self.other = self.world.engines

    def generate(self, body, is_reset=False):
        factory = self.replace(self.raw, body, is_reset)
        self.other.running = 6
        client = self.world.send_request(draft_bytes(), wait_s=4)
        self.assertEqual(factory.requests, 1)
        return client

    def assert_whole(self, client):
        self.assertEqual(client.event_ids, list(range(DEFAULT_EVENTS)))
        self.assertEqual(client.statuses, [200])
        self.assertTrue(client.is_complete)

    def test_whole_stream_ends_with_its_connection(self):
        self.assert_whole(self.generate(b"".join(EVENTS)))
        self.assertEqual(self.other.runs, [])

    # Guards against a broken-off stream that is passed on as complete.
    def test_stream_that_ends_inside_an_event_goes_on_elsewhere(self):
        client = self.generate(b"".join(EVENTS[:7]) + EVENTS[7][:9])
        self.assert_whole(client)
        self.assertEqual([run.after_event for run in self.other.runs], [6])

    def test_stream_whose_last_event_lacks_its_blank_line_goes_on_elsewhere(self):
        self.assert_whole(self.generate(b"".join(EVENTS)[:-1]))

    # Guards against an event that is lost or repeated after a reset between events.
    def test_stream_that_is_reset_goes_on_elsewhere(self):
        client = self.generate(b"".join(EVENTS[:5]), is_reset=True)
        self.assert_whole(client)
        self.assertEqual([run.after_event for run in self.other.runs], [4])


class TestCalls(UnframedTestCase):
    def setUp(self):
        self.world = World(desks=1, engines=0)

    def call(self, is_reset, method="POST", path="/post/1"):
        factory = self.replace(self.world.desks[0], BODY, is_reset)
        client = self.world.send_request(request_bytes(path, method=method))
        self.assertEqual(factory.requests, 1)
        return client

    def test_answer_ends_with_its_connection(self):
        client = self.call(is_reset=False)
        self.assertEqual(client.status, 200)
        self.assertIn(BODY, client.received)

    # Guards against an answer that looks complete although it broke off.
    def test_answer_that_is_reset_is_an_error(self):
        for method, path in (("POST", "/post/1"), ("GET", "/look/1")):
            with self.subTest(path=path):
                client = self.call(True, method, path)
                self.assertEqual(client.status, 502)
                self.assertNotIn(BODY, client.received)
