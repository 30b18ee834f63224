"""Traffic share of a new version, and when it is judged bad."""

import random
import unittest

from sesamearch.routing.canary import (
    CanaryPlan,
    CanarySettings,
    Evidence,
    Verdict,
)

LENGTH_S = 12.0
# Required bounds on a bad version's exposure: a tenth of the requests plus fifty.
EXPOSURE_RATIO, EXPOSURE_SLACK = 0.1, 50


def simulate_plan(rate, rng):
    """Return the number of requests in all, to the new version and after completion."""
    plan = CanaryPlan(CanarySettings(EXPOSURE_RATIO, EXPOSURE_SLACK), 0.0, LENGTH_S)
    step_s = 0.01
    total = to_new = late = 0
    for step in range(int(LENGTH_S / step_s)):
        now_s = step * step_s
        for _ in range(int(rate * step_s) + (rng.random() < rate * step_s % 1)):
            total += 1
            if now_s >= plan.completion_s:
                late += 1
                continue
            is_new = rng.random() < plan.share(now_s)
            to_new += is_new
            plan.count(1, int(is_new))
    return total, to_new, late


class TestCanaryPlan(unittest.TestCase):
    def test_exposure_stays_within_bounds_up_to_the_deadline_at_every_rate(self):
        for rate in (2, 20, 45, 130, 600):
            total, to_new, late = simulate_plan(rate, random.Random(rate))
            allowed = EXPOSURE_RATIO * total + EXPOSURE_SLACK
            self.assertLessEqual(to_new, 0.8 * allowed, rate)
            if rate <= 45:
                self.assertLessEqual(to_new + late, allowed + late * 0.5, rate)

    def test_new_version_gets_enough_requests_for_a_verdict(self):
        for rate in (2, 20, 130):
            _, to_new, _ = simulate_plan(rate, random.Random(rate))
            self.assertGreaterEqual(to_new, 8, rate)

    def test_share_is_small_until_the_rate_is_known(self):
        plan = CanaryPlan(CanarySettings(), 0.0, LENGTH_S)
        self.assertLessEqual(plan.share(0.1), 0.05)


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
        took_s = 0.02 * rng.uniform(0.5, 1.5) * (slow_factor if is_new else 1.0)
        bad += is_new and (is_failure or slow_factor > 1)
        evidence.answered("r", is_new, is_failure, took_s)
        for counts in evidence.pop_counts():
            evidence.add_counts(counts)
        if evidence.verdict is Verdict.BAD:
            return bad
    return None


class TestEvidence(unittest.TestCase):
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
        for number in range(300):
            evidence.answered("r", number % 10 == 0, False, 0.02)
        for _ in range(12):
            evidence.answered("r", True, True, 0.02)
        for counts in evidence.pop_counts():
            evidence.add_counts(counts)
        self.assertIs(evidence.verdict, Verdict.BAD)

    def test_fault_on_a_single_route_is_detected(self):
        evidence = Evidence()
        for _ in range(100):
            evidence.answered("healthy", True, False, 0.02)
            evidence.answered("healthy", False, False, 0.02)
        for _ in range(10):
            evidence.answered("failing", True, True, 0.02)
        for counts in evidence.pop_counts():
            evidence.add_counts(counts)
        self.assertIs(evidence.verdict, Verdict.BAD)

    def test_evidence_of_other_routers_counts(self):
        here, there = Evidence(), Evidence()
        for _ in range(10):
            there.answered("r", True, True, 0.02)
        for counts in there.pop_counts():
            here.add_counts(counts)
        self.assertIs(here.verdict, Verdict.BAD)

    def test_verdict_is_open_without_answers(self):
        self.assertIs(Evidence().verdict, Verdict.OPEN)
