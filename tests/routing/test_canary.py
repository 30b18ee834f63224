"""How much a new version gets, and when it is called bad."""

import random
import unittest

from sesamearch.routing.canary import (
    CanaryPlan,
    CanarySettings,
    Evidence,
    Verdict,
)

LENGTH_S = 12.0
# The bounds that the users state: a tenth of the requests and fifty more.
EXPOSURE_RATIO, EXPOSURE_SLACK = 0.1, 50


def play_plan(rate, rng):
    """Return requests in all, those to the new version before completion and after."""
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
    def test_exposure_is_kept_at_every_rate_up_to_the_last_second(self):
        for rate in (2, 20, 45, 130, 600):
            total, to_new, late = play_plan(rate, random.Random(rate))
            allowed = EXPOSURE_RATIO * total + EXPOSURE_SLACK
            self.assertLessEqual(to_new, 0.8 * allowed, rate)
            if rate <= 45:
                self.assertLessEqual(to_new + late, allowed + late * 0.5, rate)

    def test_new_version_is_tried_enough_to_be_judged(self):
        for rate in (2, 20, 130):
            _, to_new, _ = play_plan(rate, random.Random(rate))
            self.assertGreaterEqual(to_new, 8, rate)

    def test_share_is_small_before_the_rate_is_known(self):
        plan = CanaryPlan(CanarySettings(), 0.0, LENGTH_S)
        self.assertLessEqual(plan.share(0.1), 0.05)


def play_evidence(new_risk, old_risk, seed, slow_factor=1.0, answers=1200):
    """Return after how many bad answers the version is called bad, or None."""
    rng = random.Random(seed)
    evidence = Evidence()
    bad = 0
    for number in range(answers):
        is_new = number % 10 == 0
        is_failure = rng.random() < (new_risk if is_new else old_risk)
        took_s = 0.02 * rng.uniform(0.5, 1.5) * (slow_factor if is_new else 1.0)
        bad += is_new and (is_failure or slow_factor > 1)
        evidence.answered("r", is_new, is_failure, took_s)
        for counts in evidence.pop_counts():
            evidence.add_counts(counts)
        if evidence.verdict is Verdict.BAD:
            return bad
    return None


class TestEvidence(unittest.TestCase):
    def test_failing_version_is_called_long_before_its_fiftieth_bad_answer(self):
        for risk, usual in ((0.3, 0.004), (0.5, 0.004), (0.6, 0.14)):
            for seed in range(40):
                called = play_evidence(risk, usual, seed)
                self.assertIsNotNone(called, (risk, seed))
                self.assertLess(called, 30, (risk, seed))

    def test_version_several_times_as_slow_is_called(self):
        for seed in range(20):
            called = play_evidence(0.004, 0.004, seed, slow_factor=4.0)
            self.assertIsNotNone(called)
            self.assertLess(called, 20)

    def test_good_version_is_rarely_called(self):
        for usual in (0.004, 0.14):
            calls = [play_evidence(usual, usual, seed) for seed in range(200)]
            false = sum(called is not None for called in calls)
            self.assertLessEqual(false, 6, usual)

    def test_fault_that_begins_late_is_called(self):
        evidence = Evidence()
        for number in range(300):
            evidence.answered("r", number % 10 == 0, False, 0.02)
        for _ in range(12):
            evidence.answered("r", True, True, 0.02)
        for counts in evidence.pop_counts():
            evidence.add_counts(counts)
        self.assertIs(evidence.verdict, Verdict.BAD)

    def test_fault_on_one_route_only_is_called(self):
        evidence = Evidence()
        for _ in range(100):
            evidence.answered("well", True, False, 0.02)
            evidence.answered("well", False, False, 0.02)
        for _ in range(10):
            evidence.answered("sick", True, True, 0.02)
        for counts in evidence.pop_counts():
            evidence.add_counts(counts)
        self.assertIs(evidence.verdict, Verdict.BAD)

    def test_evidence_of_others_counts(self):
        here, there = Evidence(), Evidence()
        for _ in range(10):
            there.answered("r", True, True, 0.02)
        for counts in there.pop_counts():
            here.add_counts(counts)
        self.assertIs(here.verdict, Verdict.BAD)

    def test_without_answers_nothing_is_known(self):
        self.assertIs(Evidence().verdict, Verdict.OPEN)
