"""Errors of an engine that is to go on with a stream that another one has begun."""

import unittest

from twisted.internet.protocol import Factory

from sesamearch.standin.platform_worker import DEFAULT_EVENTS
from tests.platform.raw_worker import RawWorker
from tests.platform.world import World, draft_bytes

TEXT = b"this engine failed"
IDENTITY = b"X-Attempt-Id: %s\r\nX-Response-Signature: raw\r\n"
LENGTH = b"Content-Length: %d\r\n" % len(TEXT)
CHUNKS = b"%x\r\n%s\r\n0\r\n\r\n" % (len(TEXT), TEXT)
JSON = b"Content-Type: application/json\r\n"
EVENT_STREAM = b"Content-Type: text/event-stream\r\n"


def answer(status, headers, body):
    return b"HTTP/1.1 %s\r\n" % status + IDENTITY + headers + b"\r\n" + body


FAILED = answer(b"500 Failed", LENGTH, TEXT)
ANSWERS = {
    "failure with a length": FAILED,
    "failure in chunks": answer(
        b"500 Failed", b"Transfer-Encoding: chunked\r\n", CHUNKS
    ),
    "failure until the close": answer(b"500 Failed", b"", TEXT),
    "failure as an event": answer(
        b"500 Failed", EVENT_STREAM, b"data: " + TEXT + b"\n\n"
    ),
    "refusal": answer(b"503 Busy", LENGTH, TEXT),
    "redirect": answer(b"302 Found", LENGTH, TEXT),
    "success that is no stream": answer(b"200 OK", JSON + LENGTH, TEXT),
    "success that is no stream but has blank lines": answer(
        b"200 OK", JSON, b"error: " + TEXT + b"\n\n{}\n\n"
    ),
    "empty success that is no stream": answer(
        b"200 OK", JSON + b"Content-Length: 0\r\n", b""
    ),
    "head in the body": answer(b"200 OK", JSON, FAILED),
    "head in the body of an event stream": answer(
        b"200 OK", EVENT_STREAM, FAILED + b"\n\n"
    ),
    "success without a type": answer(b"200 OK", b"", b"data: " + TEXT + b"\n\n"),
}


class SplitAnswerEngine(RawWorker):
    """Answers each generation with the same bytes, in two pieces."""

    def answer(self, request_id):
        factory, transport = self.factory, self.transport
        whole = factory.answer.replace(b"%s", request_id)
        transport.write(whole[: factory.split])
        factory.network.callLater(0.01, transport.write, whole[factory.split :])
        factory.network.callLater(0.05, transport.loseConnection)


class TestErrorsInStreams(unittest.TestCase):
    def start(self, data, split=40):
        """Begin a stream at one engine, and let another one that fails take over."""
        world = World(desks=0, engines=2)
        client = world.connect().send(draft_bytes())
        world.run(0.4)
        first = next(each for each in world.engines if each.runs)
        other = next(each for each in world.engines if each is not first)
        factory = Factory.forProtocol(SplitAnswerEngine)
        factory.network, factory.requests = world.network, 0
        factory.answer, factory.split = data, split
        world.network.close(other.address)
        world.network.listen(other.address, factory)
        world.crash(first)
        world.run(20)
        self.assertGreater(factory.requests, 0)
        return client

    # Guards against a stream that is taken for broken, as its last event has no number.
    def test_own_event_without_a_number_is_forwarded(self):
        world = World(desks=0, engines=1)
        factory = Factory.forProtocol(SplitAnswerEngine)
        factory.network, factory.requests = world.network, 0
        last = b"data: done\n\n"
        body = b"id: 0\ndata: piece 0\n\n" + last
        factory.answer, factory.split = (
            answer(b"200 OK", EVENT_STREAM, body),
            -len(last),
        )
        world.network.close(world.engines[0].address)
        world.network.listen(world.engines[0].address, factory)
        client = world.send_request(draft_bytes(), wait_s=2)
        self.assertIn(b"data: done", client.received)
        self.assertTrue(client.is_complete)
        self.assertEqual(factory.requests, 1)

    def assert_clean(self, client):
        """Check that the stream holds its own events alone, and looks broken off."""
        self.assertNotIn(TEXT, client.received)
        self.assertEqual(client.statuses, [200])
        events = client.event_ids
        self.assertEqual(events, list(range(len(events))))
        self.assertLess(len(events), DEFAULT_EVENTS)
        self.assertFalse(client.is_complete)
        self.assertTrue(client.is_closed)

    # Guards against the text of an error, or its head, in the middle of a stream, and
    # against a stream that ends as if it were complete (another operator's report).
    def test_error_of_the_next_engine_is_no_part_of_the_stream(self):
        for name, data in ANSWERS.items():
            with self.subTest(name):
                self.assert_clean(self.start(data))

    def test_error_that_is_split_at_any_byte_is_no_part_of_the_stream(self):
        for split in range(1, len(FAILED), 3):
            with self.subTest(split=split):
                self.assert_clean(self.start(FAILED, split))
