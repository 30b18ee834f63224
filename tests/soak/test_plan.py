import unittest

from soak.__main__ import parse_seeds
from soak.plan import FaultKind, Size, draw_plan

SECONDS = 10.0


class TestPlan(unittest.TestCase):
    def test_seed_always_gives_the_same_plan(self):
        first = draw_plan(5, Size(), SECONDS)
        self.assertEqual(first, draw_plan(5, Size(), SECONDS))
        self.assertNotEqual(first.faults, draw_plan(4, Size(), SECONDS).faults)

    def test_every_third_seed_holds_planned_work_alone(self):
        calm = [draw_plan(seed, Size(), SECONDS).is_planned_work for seed in range(6)]
        self.assertEqual(calm, [True, False, False, True, False, False])

    def test_faults_name_processes_that_exist_and_overlap(self):
        size = Size(routers=2, services=1, engines=1)
        counts = {"router": 2, "endpoint": 2, "store": 1, "operator": 1}
        faults = draw_plan(7, size, 60.0).faults
        for fault in faults:
            self.assertLess(fault.number, counts[fault.kind.target])
        overlapping = [
            fault
            for fault, following in zip(faults, faults[1:], strict=False)
            if fault.at_s + fault.for_s > following.at_s
        ]
        self.assertGreater(len(overlapping), len(faults) // 3)

    def test_fifty_seeds_hold_every_kind(self):
        plans = [draw_plan(seed, Size(), SECONDS) for seed in range(1, 51)]
        kinds = {fault.kind for plan in plans for fault in plan.faults}
        self.assertEqual(kinds, set(FaultKind))

    def test_seeds_are_read_from_lists_and_ranges(self):
        self.assertEqual(parse_seeds("1,4,9-11"), [1, 4, 9, 10, 11])
        self.assertIn(9, parse_seeds("kept"))
