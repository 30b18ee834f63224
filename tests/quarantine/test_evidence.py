import unittest

from twisted.internet.task import Clock

from sesamearch.configuration.blackboard import Incarnation
from sesamearch.quarantine.evidence import (
    EVIDENCE_LIFETIME_S,
    MAX_ENDS,
    LossEvidence,
)
from sesamearch.quarantine.loss import EndpointLoss

GAP_S = 0.4


class EvidenceTestCase(unittest.TestCase):
    def setUp(self):
        self.clock = Clock()
        self.clock.advance(10.0)
        self.evidence = LossEvidence(self.clock)
        self.engines = 0

    def end_engine(self, *requests, gap_s=GAP_S):
        """End a new engine under requests, given as (id, parts, was writing)."""
        self.clock.advance(gap_s)
        self.engines += 1
        engine = Incarnation(f"e{self.engines}", 1)
        for request_id, parts, was_writing in requests:
            self.evidence.add(EndpointLoss(engine, request_id, parts, was_writing))
        return engine

    def suspect(self, *parts, quarantined=()):
        suspect = self.evidence.find_suspect(parts, quarantined)
        return set(suspect.parts) if suspect else None


class TestFatalPart(EvidenceTestCase):
    def setUp(self):
        super().setUp()
        self.evidence.note_history(["first"])

    def end_by(self, *numbers, writing=True):
        for number in numbers:
            parts = ["first", "dead", f"m{number}"]
            self.end_engine((f"q{number}", parts, writing))

    def test_part_is_found_by_three_ends_if_the_engines_were_writing(self):
        self.end_by(1, 2)
        self.evidence.note_written(["first"])
        self.assertIsNone(self.suspect("first", "dead", "m2"))
        self.end_by(3)
        self.assertEqual(self.suspect("first", "dead", "m3"), {"dead"})

    def test_part_is_found_by_five_ends_without_an_answer(self):
        self.end_by(1, 2, 3, 4, writing=False)
        self.evidence.note_written(["first"])
        self.assertIsNone(self.suspect("first", "dead"))
        self.end_by(5, writing=False)
        self.assertEqual(self.suspect("first", "dead"), {"dead"})

    # Guards against a prompt that is refused for the engines that one request met.
    def test_one_request_makes_nothing_suspect(self):
        self.evidence.note_written(["first"])
        for _ in range(8):
            self.end_by(1)
        self.assertIsNone(self.suspect("first", "dead", "m1"))

    def test_end_before_the_part_was_written_does_not_count(self):
        self.end_by(1, 2)
        self.evidence.note_written(["first", "dead"])
        self.end_by(3, 4)
        self.assertIsNone(self.suspect("dead"))

    # Guards against refusing the sound requests that share the first part.
    def test_parts_that_always_occur_together_are_suspect_together(self):
        self.evidence = LossEvidence(self.clock)
        self.end_by(1, 2)
        self.evidence.note_written(["other"])
        self.end_by(3)
        self.end_by(4)
        self.assertEqual(self.suspect("dead"), {"first", "dead"})
        self.evidence.note_written(["first"])
        self.assertEqual(self.suspect("dead"), {"dead"})

    def test_two_fatal_parts_are_found(self):
        self.end_by(1, 2, 3)
        self.evidence.note_written(["first"])
        quarantined = [frozenset(self.suspect("dead"))]
        for number in (4, 5, 6):
            parts = ["first", "worse", f"m{number}"]
            self.end_engine((f"q{number}", parts, True))
        self.evidence.note_written(["first"])
        self.assertEqual(self.suspect("worse", quarantined=quarantined), {"worse"})

    # Guards against parts that hide each other: the ends of one are taken for ends
    # without a cause, so that the other needs more evidence.
    def test_two_fatal_parts_at_once_are_found_as_soon_as_one_alone(self):
        self.evidence.note_written(["first"])
        for number in range(5):
            for part in ("dead", "worse"):
                parts = ["first", part, f"m{number}"]
                self.end_engine((f"{part}{number}", parts, False))
        self.evidence.note_written(["first"])
        self.assertEqual(self.suspect("dead"), {"dead"})
        self.assertEqual(self.suspect("worse"), {"worse"})

    def test_losses_of_one_request_explain_no_end(self):
        self.evidence.note_written(["first"])
        for number in range(5):
            self.end_engine((f"q{number}", ["first", "dead", f"m{number}"], False))
            self.end_engine(("s", ["first", "worse"], False))
        self.evidence.note_written(["first"])
        self.assertIsNone(self.suspect("dead"))

    # Guards against more and more refused parts, all of requests beside a fatal one.
    def test_end_that_a_quarantine_explains_does_not_count_against_others(self):
        self.evidence.note_written(["first"])
        for number in range(5):
            fatal = (f"q{number}", ["first", "dead"], True)
            beside = (f"s{number}", ["first", "rare"], True)
            self.end_engine(fatal, beside)
        self.evidence.note_written(["first"])
        quarantined = [frozenset(["dead"])]
        self.assertIsNone(self.suspect("rare", quarantined=quarantined))

    def test_part_whose_ends_another_part_explains_with_more_is_not_suspect(self):
        self.evidence.note_written(["first"])
        self.end_by(1)
        for number in range(2, 6):
            fatal = (f"q{number}", ["first", "dead"], True)
            beside = (f"s{number}", ["first", "rare"], True)
            self.end_engine(fatal, beside)
        self.evidence.note_written(["first"])
        self.assertIsNone(self.suspect("rare"))
        self.assertEqual(self.suspect("dead", "rare"), {"dead"})


class TestOtherCauses(EvidenceTestCase):
    # Guards against taking the loss of a data centre for the fault of a prompt.
    def test_engines_that_end_together_count_once(self):
        self.evidence.note_written(["other"])
        for number in range(20):
            self.end_engine((f"q{number}", ["first", f"m{number}"], False), gap_s=0.001)
        self.evidence.note_written(["other"])
        self.assertIsNone(self.suspect("first"))

    # Guards against refusing all prompts when the engines end under every one.
    def test_more_evidence_is_needed_if_nothing_is_written_at_all(self):
        for number in range(4):
            self.end_engine((f"q{number}", ["first"], True))
        self.assertIsNone(self.suspect("first"))

    def test_part_that_was_written_before_needs_more_evidence(self):
        self.evidence.note_history(["first"])
        for number in range(4):
            self.end_engine((f"q{number}", ["first"], True))
            self.evidence.note_written(["other"])
        self.assertIsNone(self.suspect("first"))
        self.end_engine(("q4", ["first"], True))
        self.assertEqual(self.suspect("first"), {"first"})

    # Guards against refusing a rare part for its bad luck in a storm of engine losses.
    def test_ends_that_a_part_does_not_explain_ask_for_more_evidence(self):
        for number in range(4):
            self.end_engine((f"q{number}", ["first", "rare"], True))
            self.end_engine((f"s{number}", ["first", f"m{number}"], False))
            self.evidence.note_written(["first"])
        self.assertIsNone(self.suspect("rare"))
        self.end_engine(("q4", ["first", "rare"], True))
        self.evidence.note_written(["first"])
        self.assertEqual(self.suspect("rare"), {"rare"})

    # Guards against taking a reset connection for the end of an engine.
    def test_engine_that_goes_on_has_not_ended(self):
        engine = self.end_engine(("q1", ["dead"], True))
        sent_s = self.clock.seconds() - 1.0
        self.assertFalse(self.evidence.disproves_end(engine, sent_s))
        self.clock.advance(0.5)
        self.assertTrue(self.evidence.disproves_end(engine, sent_s))
        self.assertTrue(self.evidence.disproves_end(engine, sent_s + 1.4))

    # Guards against a process that starts again under its name and clears its end.
    def test_engine_that_may_have_started_again_may_have_ended(self):
        engine = self.end_engine(("q1", ["dead"], True))
        ended_s = self.clock.seconds()
        self.clock.advance(2.0)
        self.assertFalse(self.evidence.disproves_end(engine, ended_s + 1.0))
        self.assertFalse(self.evidence.disproves_end(engine, self.clock.seconds()))

    def test_old_evidence_is_dropped(self):
        self.end_engine(("q1", ["dead"], True))
        self.end_engine(("q2", ["dead"], True))
        self.clock.advance(EVIDENCE_LIFETIME_S)
        self.end_engine(("q3", ["dead"], True))
        self.evidence.note_written(["other"])
        self.assertIsNone(self.suspect("dead"))

    def test_number_of_ends_is_bounded(self):
        for number in range(2 * MAX_ENDS):
            self.end_engine((f"q{number}", ["dead"], False))
        self.assertEqual(len(self.evidence._ends), MAX_ENDS)


class TestFatalRequest(EvidenceTestCase):
    """Ends under one whole request, beside others that were lost with it."""

    FATAL, OTHER = "request-fa", "request-0b"

    def end_by(self, *requests, gap_s=GAP_S):
        """End an engine under plain requests, given by their names."""
        lost = [(f"{name}.{self.engines}", [name], False) for name in requests]
        return self.end_engine(*lost, gap_s=gap_s)

    def test_three_ends_are_enough(self):
        self.end_by(self.FATAL)
        self.end_by(self.FATAL)
        self.assertIsNone(self.suspect(self.FATAL))
        self.end_by(self.FATAL)
        self.assertEqual(self.suspect(self.FATAL), {self.FATAL})

    # Guards against ends that count as one, as all endpoints of a service end at once.
    def test_ends_that_come_together_count_one_by_one(self):
        for _ in range(3):
            self.end_by(self.FATAL, gap_s=0.0)
        self.assertEqual(self.suspect(self.FATAL), {self.FATAL})

    def test_one_id_is_enough_if_nothing_else_ends(self):
        for _ in range(3):
            self.end_engine(("q1", [self.FATAL], False))
        self.assertEqual(self.suspect(self.FATAL), {self.FATAL})

    # Guards against a request that is refused for what was retried together with it.
    def test_requests_lost_at_the_same_ends_are_told_apart_by_the_next_one(self):
        for _ in range(3):
            self.end_by(self.FATAL, self.OTHER)
        self.assertIsNone(self.suspect(self.FATAL))
        self.assertIsNone(self.suspect(self.OTHER))
        self.end_by(self.FATAL)
        self.assertEqual(self.suspect(self.FATAL), {self.FATAL})
        self.assertIsNone(self.suspect(self.OTHER))

    def test_other_ends_ask_for_more_also_before_the_first_one(self):
        for number in range(4):
            self.end_by(f"request-{number}")
        for _ in range(4):
            self.end_by(self.FATAL)
        self.assertIsNone(self.suspect(self.FATAL))
        self.end_by(self.FATAL)
        self.assertEqual(self.suspect(self.FATAL), {self.FATAL})

    def test_ends_of_another_service_ask_for_no_more(self):
        for number in range(4):
            loss = EndpointLoss(
                Incarnation(f"x{number}", 1), "q", ["request-1"], False, "other"
            )
            self.evidence.add(loss)
        for _ in range(3):
            self.end_by(self.FATAL)
        self.assertEqual(self.suspect(self.FATAL), {self.FATAL})

    def test_whole_answer_clears_a_request(self):
        self.end_by(self.FATAL)
        self.end_by(self.FATAL)
        self.assertEqual(self.evidence.note_written([self.FATAL]), [self.FATAL])
        self.end_by(self.FATAL)
        self.assertIsNone(self.suspect(self.FATAL))

    # Guards against a sound request of many callers, which is under way at every end.
    def test_request_with_a_history_is_not_suspect_for_a_lost_data_centre(self):
        self.evidence.note_written([self.FATAL])
        for _ in range(5):
            self.end_by(self.FATAL, gap_s=0.0)
        self.assertIsNone(self.suspect(self.FATAL))

    # Guards against a shared part that is blamed for one of the prompts that have it.
    def test_part_that_other_prompts_share_is_not_blamed_for_one_request(self):
        self.end_engine(("q9", ["first", self.OTHER], True))
        for number in range(4):
            self.end_engine((f"q{number}", ["first", self.FATAL], True))
        self.assertEqual(self.suspect("first", self.FATAL), {self.FATAL})

    # Guards against prompts that are refused one by one, though they share the cause.
    def test_part_takes_over_from_quarantined_requests_that_share_it(self):
        names = ["request-1", "request-2"]
        for name in names:
            for _ in range(3):
                self.end_engine((name, ["dead", name], True))
        self.evidence.note_written(["first"])
        quarantined = [frozenset([name]) for name in names]
        self.end_engine(("q3", ["dead", "request-3"], True))
        suspect = self.evidence.find_suspect(["dead", "request-3"], quarantined)
        self.assertEqual(suspect.parts, {"dead"})
        self.assertEqual(suspect.cases, set(quarantined))
