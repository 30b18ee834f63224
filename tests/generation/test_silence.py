"""Tests of engines that fall silent for a while and go on."""

import msgspec

from sesamearch.base.errors import ErrorKind
from sesamearch.configuration.blackboard import Endpoint
from sesamearch.configuration.configuration import ResumePolicy, VersionShare
from sesamearch.generation.engine import StreamEnd
from tests.generation.recorded import GenerationCase, RecordingSink
from tests.support import DRAFTING

SILENCE_S = 1.2
STEP_S = 0.05
# Each time limit of this policy passes within the silence.
POLICY = ResumePolicy(
    first_token_timeout_s=0.4,
    resume_first_token_timeout_s=0.2,
    stall_floor_s=0.2,
    reattach_timeout_s=0.2,
    resume_timeout_s=0.5,
)
SERVICE = msgspec.structs.replace(DRAFTING, resume=POLICY)
TWO_VERSIONS = msgspec.structs.replace(
    SERVICE, versions=[VersionShare("v1", 0.5), VersionShare("v2", 0.5)]
)


class SilenceTest(GenerationCase):
    def make_generation(self, deadline_s=1000.0, service=SERVICE):
        return super().make_generation(deadline_s, service)

    def stay_silent(self, seconds=SILENCE_S):
        for _ in range(round(seconds / STEP_S)):
            self.advance(STEP_S)

    def refuse_while_silent(self):
        """Let all attempts but the first be refused while the first is silent."""
        for _ in range(round(SILENCE_S / STEP_S)):
            self.advance(STEP_S)
            for stream in self.engines.opened[1:]:
                if not stream.is_detached:
                    stream.end(StreamEnd.REFUSED)

    def start(self, *names):
        self.set_endpoints(*names)
        self.generation.start()
        return self.engines.opened[0]

    def start_with_versions(self):
        self.generation = self.make_generation(service=TWO_VERSIONS)
        self.board.endpoints.write(
            {
                "e1": Endpoint("e1", "e1", "a", "drafting", "v1"),
                "e2": Endpoint("e2", "e2", "a", "drafting", "v2"),
            }
        )
        self.generation.start()
        return self.engines.opened[0]

    def assert_complete(self, tokens):
        self.assertIsNone(self.sink.problem)
        self.assertEqual(self.sink.text, "".join(f" t{i}" for i in range(tokens)))
        self.assertEqual(self.sink.finished, tokens)

    def test_only_engine_silent_in_mid_stream_completes_the_answer(self):
        # Guards against the loss of an answer whose only engine is silent for longer
        # than the time to resume.
        stream = self.start("e1")
        stream.send(0, 1)
        self.stay_silent()
        stream.send(2)
        stream.finish(3)
        self.assert_complete(3)
        self.assertEqual(len(self.engines.opened), 1)
        self.assertEqual(self.engines.cancelled, [])

    def test_only_engine_silent_before_the_first_token_completes_the_answer(self):
        # Guards against the same loss before the first token.
        stream = self.start("e1")
        self.stay_silent()
        stream.send(0)
        stream.finish(1)
        self.assert_complete(1)
        self.assertEqual(len(self.engines.opened), 1)

    def test_first_of_many_silent_engines_completes_the_answer(self):
        # Guards against cancelling the attempt that delivered, because more engines
        # are silent than attempts are kept.
        stream = self.start("e1", "e2", "e3", "e4", "e5", "e6")
        stream.send(0, 1)
        self.stay_silent()
        stream.send(2)
        others = [other for other in self.engines.opened[1:] if not other.is_detached]
        stream.finish(3)
        self.assert_complete(3)
        self.assertEqual(others, [])
        self.assertNotIn("e1", self.engines.cancelled)

    def test_last_of_many_silent_engines_completes_the_answer(self):
        # Guards against doubled tokens of engines that go on together.
        first = self.start("e1", "e2", "e3", "e4")
        first.send(0, 1)
        self.stay_silent()
        last = self.engines.opened[-1]
        last.send(2)
        first.send(2, 3)
        last.finish(3)
        self.assert_complete(3)

    def test_number_of_kept_attempts_is_bounded(self):
        # Guards against a silent data centre that holds an attempt at each engine.
        self.start(*(f"e{number}" for number in range(12))).send(0)
        self.stay_silent(6.0)
        kept = [stream for stream in self.engines.opened if not stream.is_detached]
        self.assertLessEqual(len(kept), 3)

    def test_silent_engine_completes_the_answer_while_the_others_are_full(self):
        # Guards against the loss of an answer whose engine is silent, because no other
        # one takes it.
        stream = self.start("e1", "e2", "e3")
        stream.send(0, 1)
        self.refuse_while_silent()
        stream.send(2)
        stream.finish(3)
        self.assert_complete(3)

    def test_silent_engine_begins_the_answer_while_the_others_are_full(self):
        # Guards against the same loss before the first token.
        stream = self.start("e1", "e2", "e3")
        self.refuse_while_silent()
        stream.send(0)
        stream.finish(1)
        self.assert_complete(1)

    def test_engine_of_another_version_that_refuses_takes_nothing_over(self):
        # Guards against cancelling a silent attempt for one that never delivers.
        stream = self.start_with_versions()
        self.refuse_while_silent()
        stream.send(0)
        stream.finish(1)
        self.assert_complete(1)
        self.assertEqual(self.sink.version, "v1")

    def test_versions_are_not_mixed_when_the_silent_one_goes_on_first(self):
        # Guards against an answer that mixes the versions of two kept attempts.
        first = self.start_with_versions()
        self.stay_silent()
        second = self.engines.opened[1]
        first.send(0)
        second.send(0, 1, version="v2")
        first.finish(1)
        self.assert_complete(1)
        self.assertEqual(self.sink.version, "v1")
        self.assertTrue(second.is_detached)

    def test_versions_are_not_mixed_when_the_other_one_delivers_first(self):
        # Guards against the same when the other version takes over.
        first = self.start_with_versions()
        self.stay_silent()
        second = self.engines.opened[1]
        second.send(0, version="v2")
        first.send(0, 1)
        second.finish(1, version="v2")
        self.assert_complete(1)
        self.assertEqual(self.sink.version, "v2")
        self.assertTrue(first.is_detached)

    def test_silent_attempt_that_skips_a_token_is_not_waited_for(self):
        # Guards against an answer that waits for an attempt that cannot go on.
        stream = self.start("e1", "e2")
        stream.send(0)
        self.stay_silent(0.25)
        stream.send(2)
        self.engines.opened[1].end(StreamEnd.REFUSED)
        self.set_endpoints()
        self.stay_silent()
        self.assertIs(self.sink.problem.kind, ErrorKind.GENERATION_LOST)

    def test_silent_engine_that_is_lost_after_all_ends_the_answer(self):
        # Guards against an answer that waits for an engine that is gone.
        stream = self.start("e1")
        stream.send(0)
        self.stay_silent()
        self.set_endpoints()
        stream.end(StreamEnd.GONE)
        self.stay_silent(POLICY.resume_timeout_s + 0.2)
        self.assertIs(self.sink.problem.kind, ErrorKind.GENERATION_LOST)

    def test_silent_engine_that_is_lost_after_all_is_replaced_in_time(self):
        # Guards against a time to resume that passes while the engine is only silent.
        stream = self.start("e1")
        stream.send(0)
        self.stay_silent()
        self.set_endpoints()
        stream.end(StreamEnd.GONE)
        self.set_endpoints("e2")
        self.stay_silent(0.2)
        second = self.engines.opened[1]
        second.send(1)
        second.finish(2)
        self.assert_complete(2)

    def test_silent_engine_is_waited_for_until_the_deadline(self):
        # Guards against a caller that hears nothing by its deadline.
        self.generation = self.make_generation(deadline_s=3.0)
        self.start("e1").send(0)
        self.stay_silent(2.9)
        self.assertIsNone(self.sink.problem)
        self.stay_silent(0.2)
        self.assertIs(self.sink.problem.kind, ErrorKind.GENERATION_LOST)
        self.assertEqual(self.engines.cancelled, ["e1"])

    def test_silent_re_attached_attempt_completes_without_the_text(self):
        # Guards against the loss of a running attempt because the caller sent no text.
        self.start("e1").send(0, 1)
        position = self.signer.read(self.sink.cursor, "clerks").unwrap()
        self.sink = RecordingSink()
        self.generation = self.make_generation()
        self.generation.resume_from_cursor(position, None)
        self.stay_silent()
        stream = self.engines.attached[0]
        stream.send(2)
        stream.finish(3)
        self.assertIsNone(self.sink.problem)
        self.assertEqual((self.sink.text, self.sink.finished), (" t2", 3))
        self.assertEqual(len(self.engines.opened), 1)

    def test_full_connection_pauses_and_resumes_a_silent_attempt_too(self):
        # Guards against a silent attempt that is never read again after a pause.
        stream = self.start("e1", "e2")
        stream.send(0)
        self.stay_silent(0.25)
        self.generation.pause()
        self.assertTrue(stream.is_paused)
        self.generation.resume()
        self.assertFalse(stream.is_paused)

    def test_silent_engine_that_goes_on_is_no_evidence_of_an_error(self):
        # Guards against a rollout that is judged by silence of sound engines.
        stream = self.start("e1")
        stream.send(0)
        self.stay_silent()
        stream.send(1)
        stream.finish(2)
        self.assertEqual([outcome.is_cut_off for outcome in self.outcomes], [False])

    def test_silent_engine_that_is_replaced_is_evidence_of_an_error(self):
        # Guards against a version that falls silent and is not judged for it.
        self.start("e1", "e2").send(0)
        self.stay_silent(0.25)
        second = self.engines.opened[1]
        second.send(1)
        second.finish(2)
        outcomes = [outcome.is_cut_off for outcome in self.outcomes]
        self.assertEqual(sorted(outcomes), [False, True])

    def test_hand_over_leaves_the_silent_engine_of_the_cursor_running(self):
        # Guards against the loss of the attempt that the caller's cursor names.
        self.start("e1", "e2").send(0)
        self.stay_silent(0.25)
        self.generation.hand_over()
        self.assertEqual(self.engines.cancelled, ["e2"])

    def test_lost_connection_of_a_silent_engine_starts_one_attempt(self):
        # Guards against a retry beside the attempt that was re-attached.
        stream = self.start("e1")
        stream.send(0)
        self.stay_silent(0.4)
        self.set_endpoints("e1", "e2")
        stream.end(StreamEnd.LOST)
        self.clock.advance(0.15)
        self.assertEqual(len(self.engines.attached), 1)
        self.assertEqual(len(self.engines.opened), 1)

    def test_engine_that_rejects_the_rest_takes_nothing_over(self):
        # Guards against an answer that is cut off by another engine that cannot
        # continue it, while its own is only silent.
        stream = self.start("e1", "e2")
        stream.send(0)
        self.stay_silent(0.25)
        self.engines.opened[1].end(StreamEnd.INVALID)
        stream.send(1)
        stream.finish(2)
        self.assert_complete(2)
