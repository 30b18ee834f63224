"""Tests of attempts, failures and resuming, with recorded engine streams."""

from sesamearch.base.errors import ErrorKind, Ran
from sesamearch.generation.cursor import Position, checksum
from sesamearch.generation.engine import StreamEnd
from tests.generation.recorded import GenerationCase, RecordingSink
from tests.support import DRAFTING

POLICY = DRAFTING.resume


class GenerationTest(GenerationCase):
    def test_complete_answer(self):
        self.generation.start()
        stream = self.engines.opened[0]
        stream.send(0, 1, 2)
        stream.finish(3)
        self.assertEqual(self.sink.text, " t0 t1 t2")
        self.assertEqual(self.sink.finished, 3)
        self.assertEqual(self.engines.cancelled, [])

    def test_no_endpoint_is_refused_as_not_run(self):
        self.set_endpoints()
        self.generation.start()
        self.assertIs(self.sink.problem.kind, ErrorKind.NO_ENDPOINT)
        self.assertIs(self.sink.problem.answer.ran, Ran.NOT_RUN)
        self.assertIsNotNone(self.sink.problem.retry_delay_s)

    def test_stall_resumes_at_another_endpoint_from_the_delivered_prefix(self):
        self.generation.start()
        self.engines.opened[0].send(0, 1)
        self.advance(POLICY.stall_floor_s)
        second = self.engines.opened[1]
        self.assertEqual(second.endpoint.name, "e2")
        self.assertEqual(
            (second.engine_request.prefix, second.engine_request.prefix_tokens),
            (" t0 t1", 2),
        )
        self.assertEqual(
            second.engine_request.seed, self.engines.opened[0].engine_request.seed
        )
        second.send(2)
        second.finish(3)
        self.assertEqual(self.sink.text, " t0 t1 t2")

    def test_late_tokens_of_an_older_attempt_are_dropped(self):
        self.generation.start()
        first = self.engines.opened[0]
        first.send(0)
        self.advance(POLICY.stall_floor_s)
        self.engines.opened[1].send(1)
        first.send(1, 2)
        first.finish(3)
        self.assertEqual(self.sink.text, " t0 t1")
        self.assertIsNone(self.sink.finished)
        self.assertEqual(self.board.counters.tokens_late, 2)
        self.assertEqual(self.engines.cancelled, ["e1"])

    def test_stalled_attempt_that_delivers_first_continues_alone(self):
        self.generation.start()
        first = self.engines.opened[0]
        first.send(0)
        self.advance(POLICY.stall_floor_s)
        first.send(1, 2)
        second = self.engines.opened[1]
        second.send(1, 2, 3)
        second.finish(4)
        first.send(3)
        first.finish(4)
        self.assertEqual(self.sink.text, " t0 t1 t2 t3")
        self.assertEqual(self.sink.finished, 4)
        self.assertEqual(self.engines.cancelled, ["e2"])
        self.assertEqual(self.board.counters.tokens_late, 3)

    def test_recovered_attempt_that_skips_a_token_is_ignored(self):
        self.generation.start()
        first = self.engines.opened[0]
        first.send(0)
        self.advance(POLICY.stall_floor_s)
        first.send(2)
        self.assertEqual(self.sink.text, " t0")
        self.engines.opened[1].send(1)
        self.assertEqual(self.sink.text, " t0 t1")

    def test_slow_second_attempt_is_followed_by_a_third(self):
        self.set_endpoints("e1", "e2", "e3")
        self.generation.start()
        self.engines.opened[0].send(0)
        self.advance(POLICY.stall_floor_s)
        self.advance(POLICY.resume_first_token_timeout_s)
        self.assertEqual(len(self.engines.opened), 3)
        self.engines.opened[1].send(1)
        self.engines.opened[2].send(1)
        self.assertEqual(self.sink.text, " t0 t1")

    def test_lost_connection_reattaches_before_resuming_elsewhere(self):
        self.generation.start()
        self.engines.opened[0].send(0)
        self.engines.opened[0].end(StreamEnd.LOST)
        reattached = self.engines.attached[0]
        self.assertEqual((reattached.endpoint.name, reattached.index), ("e1", 1))
        reattached.end(StreamEnd.LOST)
        self.assertEqual(self.engines.opened[1].endpoint.name, "e2")

    def test_stall_without_another_endpoint_waits_for_the_same_one(self):
        self.set_endpoints("e1")
        self.generation.start()
        first = self.engines.opened[0]
        first.send(0)
        self.advance(POLICY.stall_floor_s)
        self.advance(1.0)
        first.send(1)
        first.finish(2)
        self.assertEqual(self.sink.text, " t0 t1")
        self.assertEqual(self.sink.finished, 2)
        self.assertEqual(len(self.engines.opened), 1)

    def test_stalled_stream_that_ends_starts_only_one_retry(self):
        # Guards against two concurrent retry timers, which opened two attempts.
        self.set_endpoints("e1")
        self.generation.start()
        first = self.engines.opened[0]
        first.send(0)
        self.advance(POLICY.stall_floor_s)
        first.end(StreamEnd.GONE)
        self.set_endpoints("e1", "e2")
        self.clock.pump([0.1] * 5)
        self.assertEqual(len(self.engines.opened), 2)

    def test_no_endpoint_of_the_version_is_a_lost_generation(self):
        self.set_endpoints("e1")
        self.generation.start()
        self.engines.opened[0].send(0)
        self.set_endpoints("e2", version="v2")
        self.engines.opened[0].end(StreamEnd.GONE)
        self.clock.pump([0.1] * int(POLICY.resume_timeout_s / 0.1 + 2))
        self.assertIs(self.sink.problem.kind, ErrorKind.GENERATION_LOST)
        self.assertIs(self.sink.problem.answer.ran, Ran.UNKNOWN)
        self.assertEqual(len(self.engines.opened), 1)

    def test_another_version_is_never_mixed_in(self):
        self.generation.start()
        self.engines.opened[0].send(0)
        self.engines.opened[0].send(1, version="v2")
        self.assertEqual(self.sink.text, " t0")
        self.assertEqual(self.engines.opened[1].engine_request.prefix_tokens, 1)

    def test_tokens_after_a_gap_are_not_delivered(self):
        self.generation.start()
        self.engines.opened[0].send(0, 2)
        self.assertEqual(self.sink.text, " t0")
        self.assertEqual(len(self.engines.opened), 2)

    def test_refusals_everywhere_are_reported_as_not_run(self):
        self.generation.start()
        for number in range(2):
            self.engines.opened[number].end(StreamEnd.REFUSED)
        while self.sink.problem is None:
            stream = self.engines.opened[-1]
            if not stream.is_detached:
                stream.end(StreamEnd.REFUSED)
            self.advance(0.1)
        self.assertIs(self.sink.problem.answer.ran, Ran.NOT_RUN)

    def test_disconnected_caller_cancels_the_attempt_at_the_engine(self):
        self.generation.start()
        self.generation.caller_left()
        self.assertEqual(self.engines.cancelled, ["e1"])

    def test_backpressure_pauses_the_stream_and_is_not_a_stall(self):
        self.generation.start()
        self.engines.opened[0].send(0)
        self.generation.pause()
        self.assertTrue(self.engines.opened[0].is_paused)
        self.advance(100)
        self.generation.resume()
        self.engines.opened[0].send(1)
        self.assertEqual(self.sink.text, " t0 t1")
        self.assertEqual(len(self.engines.opened), 1)

    def test_deadline_ends_the_answer(self):
        self.generation = self.make_generation(deadline_s=5)
        self.generation.start()
        self.engines.opened[0].send(0)
        self.generation.pause()
        self.advance(5)
        self.assertIs(self.sink.problem.kind, ErrorKind.GENERATION_LOST)

    def replace_router(self):
        """Replace the router in mid-stream; return the caller's position and text."""
        self.generation.start()
        self.engines.opened[0].send(0, 1)
        position = self.signer.read(self.sink.cursor, "clerks").unwrap()
        text, self.sink = self.sink.text, RecordingSink()
        self.generation = self.make_generation()
        return position, text

    def test_another_router_reattaches_to_the_running_attempt(self):
        position, text = self.replace_router()
        self.generation.resume_from_cursor(position, text)
        stream = self.engines.attached[0]
        self.assertEqual(stream.index, 2)
        stream.send(2)
        stream.finish(3)
        self.assertEqual(self.sink.text, " t2")
        self.assertEqual(self.sink.finished, 3)

    def test_another_router_resumes_when_the_attempt_is_gone(self):
        position, text = self.replace_router()
        self.generation.resume_from_cursor(position, text)
        self.engines.attached[0].end(StreamEnd.GONE)
        self.assertEqual(self.engines.opened[-1].engine_request.prefix, " t0 t1")

    def test_attempt_gone_without_delivered_text_is_a_lost_generation(self):
        position, _ = self.replace_router()
        self.generation.resume_from_cursor(position, None)
        self.engines.attached[0].end(StreamEnd.GONE)
        self.assertIs(self.sink.problem.kind, ErrorKind.GENERATION_LOST)

    def test_text_that_does_not_match_the_cursor_is_refused(self):
        position, _ = self.replace_router()
        self.generation.resume_from_cursor(position, " t0 tX")
        self.assertIs(self.sink.problem.kind, ErrorKind.BAD_CURSOR)
        self.assertEqual(self.engines.attached, [])

    def test_hand_over_leaves_the_engine_running(self):
        self.generation.start()
        self.engines.opened[0].send(0)
        self.generation.hand_over()
        self.assertIs(self.sink.problem.kind, ErrorKind.HAND_OVER)
        self.assertEqual(self.engines.cancelled, [])

    def test_cursor_contains_offset_and_checksum(self):
        self.generation.start()
        self.engines.opened[0].send(0, 1)
        position = self.signer.read(self.sink.cursor, "clerks").unwrap()
        self.assertIsInstance(position, Position)
        self.assertEqual(position.offset_tokens, 2)
        self.assertEqual(position.crc, checksum(" t0 t1"))
