"""Traffic share of a new version."""

import random
import unittest

from sesamearch.routing.canary import CanaryPlan, CanarySettings

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
