"""A caller hears a final answer before its own deadline."""

import unittest

from tests.platform.world import (
    ROUTES,
    World,
    draft_bytes,
    make_configuration,
    request_bytes,
)


def make_silent(workers):
    """Let all workers run requests and answer none."""
    for worker in workers:
        worker.fault = "mute"


class TestAnswerBeforeTheDeadline(unittest.TestCase):
    """Guards against an answer that is sent when its caller has left already."""

    def setUp(self):
        self.world = World()

    def leave_at_deadline(self, data, deadline_s):
        """Send a request; return the client, which left at its own deadline."""
        client = self.world.connect().send(data)
        self.world.run(deadline_s - 0.01)
        client.transport.abortConnection()
        self.world.run(0.1)
        return client

    def test_operation_at_a_silent_worker_gets_504(self):
        make_silent(self.world.desks)
        data = request_bytes("/post/1", method="POST", X_Deadline_Ms="500")
        client = self.leave_at_deadline(data, 0.5)
        self.assertEqual(client.status, 504)
        self.assertEqual(self.world.routers[0].counters.callers_left, 0)

    def test_idempotent_call_at_silent_workers_gets_504(self):
        make_silent(self.world.desks)
        data = request_bytes("/look/1", X_Deadline_Ms="500")
        client = self.leave_at_deadline(data, 0.5)
        self.assertEqual(client.status, 504)

    def test_generation_without_an_event_gets_504(self):
        data = draft_bytes(prompt_tokens=20_000, X_Deadline_Ms="1000")
        client = self.leave_at_deadline(data, 1.0)
        self.assertEqual(client.status, 504)

    def test_generation_that_hangs_gets_504_before_its_caller_loses_patience(self):
        # Guards against a caller that leaves long before its deadline, unanswered.
        for engine in self.world.engines:
            engine.prefill_tokens_per_s = 1.0
        data = draft_bytes(prompt_tokens=800, X_Deadline_Ms="25000")
        client = self.leave_at_deadline(data, 18.0)
        self.assertEqual(client.status, 504)

    def test_caller_that_sends_its_body_slowly_gets_504(self):
        # Guards against a deadline that is counted from the end of the request.
        make_silent(self.world.desks)
        body = b"x" * 10
        data = request_bytes("/post/1", method="POST", body=body, X_Deadline_Ms="750")
        client = self.world.connect().send(data[:-5])
        self.world.run(0.3)
        client.send(data[-5:])
        self.world.run(0.43)
        self.assertEqual(client.status, 504)

    def test_pipelined_request_gets_504(self):
        # Guards against a deadline that is counted from the answer before it.
        make_silent(self.world.desks)
        first = request_bytes("/post/1", "first", method="POST", X_Deadline_Ms="400")
        second = request_bytes("/post/1", "second", method="POST", X_Deadline_Ms="800")
        for parts in ([first + second], [first, second]):
            with self.subTest(parts=len(parts)):
                client = self.world.connect()
                for part in parts:
                    client.send(part)
                    self.world.run(0.01)
                self.world.run(0.77)
                self.assertEqual(client.statuses, [504, 504])

    def test_answer_is_not_earlier_than_the_margin(self):
        # Guards against a margin that costs answers which would still be in time.
        make_silent(self.world.desks)
        data = request_bytes("/post/1", method="POST", X_Deadline_Ms="500")
        client = self.world.connect().send(data)
        self.world.run(0.44)
        self.assertEqual(client.received, b"")

    def test_generation_that_has_begun_goes_on_to_the_deadline(self):
        # Guards against a cut before the deadline, which would lose ready events.
        client = self.world.connect().send(draft_bytes(X_Deadline_Ms="300"))
        self.world.run(0.28)
        before = len(client.event_ids)
        self.assertGreater(before, 0)
        self.world.run(0.015)
        self.assertFalse(client.is_closed)
        self.world.run(0.1)
        self.assertTrue(client.is_closed)

    def test_call_that_is_streamed_goes_on_to_the_deadline(self):
        # Guards against the cut of a long body whose head was sent in time.
        for desk in self.world.desks:
            desk.make_processor = _LongAnswer
        data = request_bytes("/look/1", X_Deadline_Ms="300")
        client = self.world.connect().send(data)
        self.world.run(0.285)
        self.assertEqual(client.status, 200)
        self.assertFalse(client.is_closed)
        self.world.run(0.1)
        self.assertTrue(client.is_closed)
        self.assertFalse(client.is_complete)

    def test_caller_without_time_is_refused_at_once_and_nothing_is_sent(self):
        # Guards against a try for a caller that cannot hear its answer any more.
        for path, method in (("/look/1", "GET"), ("/post/1", "POST")):
            data = request_bytes(path, method=method, X_Deadline_Ms="0")
            client = self.world.send_request(data, wait_s=0.01)
            self.assertEqual(client.status, 503)
        client = self.world.send_request(draft_bytes(X_Deadline_Ms="1"), wait_s=0.01)
        self.assertEqual(client.status, 503)
        self.assertEqual(self.world.routers[0].counters.tries, 0)

    def test_route_timeout_is_not_shortened(self):
        # Guards against a margin that is taken from the operators' own timeout.
        make_silent(self.world.desks)
        routes = [{**ROUTES[0], "timeout-ms": 400}]
        self.world.store.put("op/config", make_configuration(8, routes))
        self.world.run(0.1)
        data = request_bytes("/post/1", method="POST", X_Deadline_Ms="1500")
        client = self.world.connect().send(data)
        self.world.run(0.39)
        self.assertEqual(client.received, b"")
        self.world.run(0.03)
        self.assertEqual(client.status, 504)


class _LongAnswer:
    """Begins an answer that is too long to be buffered, and never ends it."""

    def __init__(self, run, head, reply, headers):
        self._reply = reply
        self._headers = headers

    def start(self):
        """Send the beginning of the answer."""
        self._reply.start(200, self._headers)
        self._reply.write(b"x" * 100_000)

    def caller_left(self):
        """Ignore the disconnect."""
