"""Endpoints whose answers never end: bounded buffers, and retries where allowed."""

import unittest

from twisted.internet.protocol import Factory, Protocol

from sesamearch.forwarding.attempt import MAX_BUFFERED_BODY_BYTES
from sesamearch.wire.endpoint import MAX_UNMATCHED_BYTES
from sesamearch.wire.events import MAX_EVENT_BYTES
from sesamearch.wire.read_budget import MAX_STEPS, STEPS_PER_S
from tests.platform.world import World, draft_bytes, request_bytes

PART_BYTES = 16 << 10
PART_INTERVAL_S = 0.001


class EndlessWorker(Protocol):
    """Answers with a head and then with the same bytes until the peer closes."""

    def connectionMade(self):
        self.sent_bytes = 0
        self.is_closed = False

    def dataReceived(self, data):
        if b"X-Attempt-Id: " not in data:
            # A probe, or a request for a copy.
            self.transport.write(b"HTTP/1.1 404 No\r\nContent-Length: 0\r\n\r\n")
            return
        self.factory.protocols.append(self)
        request_id = data.split(b"X-Attempt-Id: ")[1].split(b"\r\n")[0]
        self.transport.write(self.factory.head % request_id)
        self._send()

    def _send(self):
        if not self.is_closed:
            self.sent_bytes += len(self.factory.part)
            self.transport.write(self.factory.part)
            self.factory.network.callLater(PART_INTERVAL_S, self._send)

    def connectionLost(self, reason):
        self.is_closed = True


def make_endless(world, worker, head, part):
    """Replace a worker by one that never ends its answers; return its factory."""
    factory = Factory.forProtocol(EndlessWorker)
    factory.network, factory.protocols = world.network, []
    factory.head, factory.part = head, part
    world.network.close(worker.address)
    world.network.listen(worker.address, factory)
    return factory


def head(status, framing=b""):
    """Return the head of an answer, with a place for the request's id."""
    return (
        b"HTTP/1.1 " + status + b"\r\nX-Attempt-Id: %s\r\n"
        b"X-Response-Signature: s\r\n" + framing + b"\r\n"
    )


class TestCalls(unittest.TestCase):
    def setUp(self):
        self.world = World(desks=2)

    def call(self, answer_head, part, path="/look/1", method="GET", desks=1):
        factories = [
            make_endless(self.world, desk, answer_head, part)
            for desk in self.world.desks[:desks]
        ]
        client = self.world.send_request(request_bytes(path, method=method), wait_s=0.5)
        self.protocols = [p for factory in factories for p in factory.protocols]
        self.world.run(1)
        return client

    def assert_closed_within(self, limit_bytes):
        self.assertTrue(self.protocols)
        for protocol in self.protocols:
            self.assertTrue(protocol.is_closed)
            self.assertLess(protocol.sent_bytes, 2 * limit_bytes + 4 * PART_BYTES)

    def test_failure_without_end_is_replaced_by_another_worker_s_answer(self):
        client = self.call(head(b"500 Failed"), b"x" * PART_BYTES)
        self.assertEqual(client.status, 200)
        self.assert_closed_within(MAX_BUFFERED_BODY_BYTES)

    def test_operation_that_failed_without_end_is_not_sent_again(self):
        client = self.call(
            head(b"500 Failed"), b"x" * PART_BYTES, "/post/1", "POST", desks=2
        )
        self.assertEqual(client.status, 502)
        self.assertEqual(len(self.protocols), 1)
        self.assert_closed_within(MAX_BUFFERED_BODY_BYTES)

    def test_refusal_without_end_still_states_that_nothing_ran(self):
        refusal = head(b"503 Busy", b"X-Not-Executed: 1\r\n")
        client = self.call(refusal, b"x" * PART_BYTES, "/post/1", "POST", desks=2)
        self.assertEqual(client.status, 429)
        self.assert_closed_within(MAX_BUFFERED_BODY_BYTES)

    def test_head_without_end(self):
        client = self.call(b"HTTP/1.1 200 OK\r\nX-A%s: 1\r\n", b"X-B: 1\r\n" * 2048)
        self.assertEqual(client.status, 200)
        self.assert_closed_within(MAX_UNMATCHED_BYTES)

    def test_interim_responses_without_end(self):
        interim = b"HTTP/1.1 102 Wait\r\n\r\n"
        client = self.call(interim + b"HTTP/1.1 102 %s\r\n\r\n", interim * 512)
        self.assertEqual(client.status, 200)
        self.assert_closed_within(MAX_UNMATCHED_BYTES)

    def test_answer_to_another_request_without_end(self):
        other = head(b"200 OK").replace(b"%s", b"other%.0s")
        client = self.call(other, b"x" * PART_BYTES)
        self.assertEqual(client.status, 200)
        self.assert_closed_within(MAX_UNMATCHED_BYTES)

    def test_chunk_size_line_without_end(self):
        chunked = head(b"500 Failed", b"Transfer-Encoding: chunked\r\n")
        client = self.call(chunked + b"5;", b"x" * PART_BYTES)
        self.assertEqual(client.status, 200)
        self.assert_closed_within(MAX_BUFFERED_BODY_BYTES)

    def test_success_without_end_is_cut_off_at_the_timeout(self):
        client = self.call(head(b"200 OK"), b"x" * PART_BYTES, desks=2)
        self.assertTrue(client.was_reset)
        self.assertFalse(client.is_complete)
        self.assertTrue(all(protocol.is_closed for protocol in self.protocols))


class TestGenerations(unittest.TestCase):
    def setUp(self):
        self.world = World(engines=4)

    def generate(self, answer_head, part, wait_s=2):
        # The first request shows which engine the next one goes to.
        self.world.send_request(draft_bytes("r0"), wait_s=2)
        engine = next(each for each in self.world.engines if each.runs)
        factory = make_endless(self.world, engine, answer_head, part)
        client = self.world.send_request(draft_bytes("r1"), wait_s=wait_s)
        (self.protocol,) = factory.protocols
        return client

    def assert_served_elsewhere(self, client, limit_bytes):
        self.assertEqual(client.event_ids, list(range(20)))
        self.assertTrue(client.is_complete)
        self.assertTrue(self.protocol.is_closed)
        self.assertLess(self.protocol.sent_bytes, 2 * limit_bytes + 4 * PART_BYTES)

    def test_failure_without_end(self):
        client = self.generate(head(b"500 Failed"), b"x" * PART_BYTES)
        self.assert_served_elsewhere(client, MAX_BUFFERED_BODY_BYTES)

    def test_event_without_end(self):
        client = self.generate(head(b"200 OK"), b"data: x\n" * 2048)
        self.assert_served_elsewhere(client, MAX_EVENT_BYTES)

    def test_comments_without_end(self):
        client = self.generate(head(b"200 OK"), b": ping\n\n" * 2048)
        self.assert_served_elsewhere(client, MAX_EVENT_BYTES)

    # Guards against an engine that takes the whole processor with events of some bytes,
    # so that requests of other callers time out.
    def test_events_without_end_are_passed_on_at_a_bounded_rate(self):
        event = b"data: x\n\n"
        client = self.generate(head(b"200 OK"), event * (PART_BYTES // len(event)))
        events = client.received.count(event)
        self.assertLessEqual(
            events, MAX_STEPS + 2 * STEPS_PER_S + PART_BYTES // len(event)
        )

    def test_comments_after_an_event_do_not_hide_a_stall(self):
        first = head(b"200 OK") + b"id: 0\ndata: piece 0\n\n"
        client = self.generate(first, b": ping\n\n", wait_s=2)
        self.assert_served_elsewhere(client, MAX_EVENT_BYTES)

    def test_half_an_event_does_not_hide_a_stall(self):
        first = head(b"200 OK") + b"id: 0\ndata: piece 0\n\nid: 1\ndata: "
        client = self.generate(first, b"x")
        self.assert_served_elsewhere(client, MAX_EVENT_BYTES)
