"""How long callers wait."""

import unittest
from types import SimpleNamespace

from sesamearch.forwarding.deadline import patience_s


class TestPatience(unittest.TestCase):
    # Guards against an answer that is cut off before its caller would leave.
    def test_longest_of_the_three_limits(self):
        for latency_goal_s, gap_goal_s, expected_s in (
            (0.1, 0.1, 2.0),
            (4.5, 0.7, 18.0),
            (1.0, 0.7, 5.6),
        ):
            route = SimpleNamespace(
                latency_goal_s=latency_goal_s, gap_goal_s=gap_goal_s
            )
            self.assertAlmostEqual(patience_s(route), expected_s)
