"""When a new version is judged bad or good."""

import random
import unittest

from sesamearch.routing.canary_evidence import (
    Evidence,
    Measure,
    RouteEvidence,
    Verdict,
    time_bucket,
)

FAST_S = 0.02


def count_answer(counts, is_new, is_failure, took_s=FAST_S):
    counts.count_outcome(is_new, is_failure)
    if not is_failure:
        counts.count_time(Measure.FIRST, is_new, time_bucket(took_s))


def simulate_evidence(
    new_failure_ratio, old_failure_ratio, seed, slow_factor=1.0, answers=1200
):
    """Return the number of bad answers before the verdict is bad, or None."""
    rng = random.Random(seed)
    evidence = Evidence()
    bad = 0
    for number in range(answers):
        is_new = number % 10 == 0
        is_failure = rng.random() < (new_failure_ratio if is_new else old_failure_ratio)
        took_s = FAST_S * rng.uniform(0.5, 1.5) * (slow_factor if is_new else 1.0)
        bad += is_new and (is_failure or slow_factor > 1)
        counts = RouteEvidence("r")
        count_answer(counts, is_new, is_failure, took_s)
        evidence.add_counts(counts)
        if evidence.verdict is Verdict.BAD:
            return bad
    return None


def count_answers(route, number, is_new, is_failure=False, took_s=FAST_S):
    counts = RouteEvidence(route)
    for _ in range(number):
        count_answer(counts, is_new, is_failure, took_s)
    return counts


class TestBadVersion(unittest.TestCase):
    def test_failing_version_is_bad_long_before_its_fiftieth_bad_answer(self):
        for failure_ratio, old_ratio in ((0.3, 0.004), (0.5, 0.004), (0.6, 0.14)):
            for seed in range(40):
                bad_answers = simulate_evidence(failure_ratio, old_ratio, seed)
                self.assertIsNotNone(bad_answers, (failure_ratio, seed))
                self.assertLess(bad_answers, 30, (failure_ratio, seed))

    def test_much_slower_version_is_bad(self):
        for seed in range(20):
            bad_answers = simulate_evidence(0.004, 0.004, seed, slow_factor=4.0)
            self.assertIsNotNone(bad_answers)
            self.assertLess(bad_answers, 20)

    def test_false_alarms_are_rare(self):
        for old_ratio in (0.004, 0.14):
            results = [
                simulate_evidence(old_ratio, old_ratio, seed) for seed in range(200)
            ]
            false = sum(bad_answers is not None for bad_answers in results)
            self.assertLessEqual(false, 6, old_ratio)

    def test_fault_that_begins_late_is_detected(self):
        evidence = Evidence()
        evidence.add_counts(count_answers("r", 30, is_new=True))
        evidence.add_counts(count_answers("r", 270, is_new=False))
        evidence.add_counts(count_answers("r", 12, is_new=True, is_failure=True))
        self.assertIs(evidence.verdict, Verdict.BAD)

    def test_fault_on_a_single_route_is_detected(self):
        evidence = Evidence()
        evidence.add_counts(count_answers("healthy", 100, is_new=True))
        evidence.add_counts(count_answers("healthy", 100, is_new=False))
        evidence.add_counts(count_answers("failing", 10, is_new=True, is_failure=True))
        self.assertIs(evidence.verdict, Verdict.BAD)

    def test_failures_that_several_routers_saw_count_together(self):
        evidence = Evidence()
        for _ in range(10):
            evidence.add_counts(count_answers("r", 1, is_new=True, is_failure=True))
        self.assertIs(evidence.verdict, Verdict.BAD)

    # Guards against a version that is slow on many routes with few requests each.
    def test_slow_answers_of_many_routes_count_together(self):
        evidence = Evidence()
        for number in range(10):
            route = f"r{number}"
            evidence.add_counts(count_answers(route, 8, is_new=False))
            slow = count_answers(route, 1, is_new=True, took_s=5 * FAST_S)
            evidence.add_counts(slow)
        self.assertIs(evidence.verdict, Verdict.BAD)

    # Guards against ignoring slow answers that come before the old version's times.
    def test_times_that_come_before_a_reference_are_judged_later(self):
        evidence = Evidence()
        evidence.add_counts(count_answers("r", 2, is_new=False))
        evidence.add_counts(count_answers("r", 20, is_new=True, took_s=5 * FAST_S))
        self.assertIs(evidence.verdict, Verdict.OPEN)
        evidence.add_counts(count_answers("r", 28, is_new=False))
        self.assertIs(evidence.verdict, Verdict.BAD)


class TestWeakest(unittest.TestCase):
    # Guards against an error where tries are slow that have not ended yet.
    def test_times_without_any_outcome(self):
        evidence = Evidence()
        counts = RouteEvidence("r")
        for _ in range(8):
            counts.count_time(Measure.FIRST, False, time_bucket(FAST_S))
            counts.count_time(Measure.FIRST, True, time_bucket(5 * FAST_S))
        evidence.add_counts(counts)
        self.assertIs(evidence.weakest.measure, Measure.FIRST)
        self.assertIs(evidence.verdict, Verdict.BAD)


class TestGoodVersion(unittest.TestCase):
    def test_verdict_is_open_without_answers(self):
        self.assertIs(Evidence().verdict, Verdict.OPEN)

    # Guards against completing a rollout for want of evidence against the version.
    def test_five_good_answers_are_not_enough(self):
        evidence = Evidence()
        evidence.add_counts(count_answers("r", 100, is_new=False))
        evidence.add_counts(count_answers("r", 5, is_new=True))
        self.assertIs(evidence.verdict, Verdict.OPEN)

    def test_twenty_good_answers_are_enough_for_a_service_with_few_callers(self):
        evidence = Evidence()
        evidence.add_counts(count_answers("r", 20, is_new=False))
        evidence.add_counts(count_answers("r", 20, is_new=True))
        self.assertIs(evidence.verdict, Verdict.GOOD)

    # Guards against completing a version by chance where it would harm many callers.
    def test_more_callers_need_more_good_answers(self):
        evidence = Evidence()
        evidence.add_counts(count_answers("r", 2000, is_new=False))
        evidence.add_counts(count_answers("r", 30, is_new=True))
        self.assertIs(evidence.verdict, Verdict.OPEN)
        evidence.add_counts(count_answers("r", 10, is_new=True))
        self.assertIs(evidence.verdict, Verdict.GOOD)

    # Guards against good answers in the past that hide failures of the last moments.
    def test_recent_failures_prevent_a_good_verdict(self):
        evidence = Evidence()
        evidence.add_counts(count_answers("r", 100, is_new=False))
        evidence.add_counts(count_answers("r", 60, is_new=True))
        evidence.add_counts(count_answers("r", 2, is_new=True, is_failure=True))
        self.assertIs(evidence.verdict, Verdict.OPEN)

    # Guards against keeping a broken old version for want of times to compare with.
    def test_version_is_good_where_the_old_one_never_answers(self):
        evidence = Evidence()
        evidence.add_counts(count_answers("r", 20, is_new=False, is_failure=True))
        evidence.add_counts(count_answers("r", 20, is_new=True))
        self.assertIs(evidence.verdict, Verdict.GOOD)

    # Guards against reverting a good version for a route that few requests use.
    def test_rare_route_without_a_reference_does_not_prevent_a_good_verdict(self):
        evidence = Evidence()
        evidence.add_counts(count_answers("r", 100, is_new=False))
        evidence.add_counts(count_answers("r", 30, is_new=True))
        evidence.add_counts(count_answers("rare", 2, is_new=False))
        evidence.add_counts(count_answers("rare", 3, is_new=True))
        self.assertIs(evidence.verdict, Verdict.GOOD)

    # Guards against calling a version good whose times are not known.
    def test_answers_without_times_are_not_enough(self):
        evidence = Evidence()
        evidence.add_counts(count_answers("r", 100, is_new=False))
        counts = RouteEvidence("r")
        for _ in range(50):
            counts.count_outcome(is_new=True, is_failure=False)
        evidence.add_counts(counts)
        self.assertIs(evidence.verdict, Verdict.OPEN)
