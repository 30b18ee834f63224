import unittest

from soak.__main__ import parse_seeds
from soak.plan import DeploymentSize, FaultKind, generate_plan

SECONDS = 10.0


class TestPlan(unittest.TestCase):
    def test_plan_is_deterministic_for_a_seed(self):
        first = generate_plan(5, DeploymentSize(), SECONDS)
        self.assertEqual(first, generate_plan(5, DeploymentSize(), SECONDS))
        self.assertNotEqual(
            first.faults, generate_plan(4, DeploymentSize(), SECONDS).faults
        )

    def test_every_third_seed_yields_only_planned_work(self):
        planned_only = [
            generate_plan(seed, DeploymentSize(), SECONDS).is_planned_work
            for seed in range(6)
        ]
        self.assertEqual(planned_only, [True, False, False, True, False, False])

    # Guards against kept seeds whose plans change, so that they guard nothing.
    def test_fatal_prompts_change_no_plan(self):
        plans = [generate_plan(n, DeploymentSize(), SECONDS) for n in range(1, 61)]
        fatal = [plan.seed for plan in plans if plan.fatal_from_s is not None]
        expected = [n for n in range(1, 61, 4) if n % 3]
        self.assertEqual(fatal, sorted([*expected, 12, 36, 60]))
        self.assertEqual(plans[4].faults[0].kind, FaultKind.ENDPOINT_LINK_DELAY)

    def test_fatal_requests_change_no_plan(self):
        plans = [generate_plan(n, DeploymentSize(), SECONDS) for n in range(1, 61)]
        fatal = [plan.seed for plan in plans if plan.fatal_requests_from_s is not None]
        expected = [n for n in range(3, 61, 4) if n % 3]
        self.assertEqual(fatal, sorted([*expected, 6, 30, 54]))

    def test_odd_entries_change_no_plan(self):
        plans = [generate_plan(n, DeploymentSize(), SECONDS) for n in range(1, 13)]
        odd = [plan.seed for plan in plans if plan.odd_entries_from_s is not None]
        self.assertEqual(odd, [4, 8, 12])
        self.assertEqual(plans[4].faults[0].kind, FaultKind.ENDPOINT_LINK_DELAY)

    def test_endless_answers_change_no_plan(self):
        plans = [generate_plan(n, DeploymentSize(), SECONDS) for n in range(1, 31)]
        endless = [plan.seed for plan in plans if plan.endless_from_s is not None]
        self.assertEqual(endless, [1, 11, 16, 26])
        self.assertEqual(plans[4].faults[0].kind, FaultKind.ENDPOINT_LINK_DELAY)

    def test_crowds_change_no_plan(self):
        plans = [generate_plan(n, DeploymentSize(), SECONDS) for n in range(1, 31)]
        crowds = [plan.seed for plan in plans if plan.crowd_from_s is not None]
        self.assertEqual(crowds, [2, 7, 17, 22])
        self.assertEqual(plans[4].faults[0].kind, FaultKind.ENDPOINT_LINK_DELAY)

    def test_limits_change_no_plan(self):
        plans = [generate_plan(n, DeploymentSize(), SECONDS) for n in range(1, 61)]
        limited = [plan.seed for plan in plans if plan.limits is not None]
        expected = [n for n in range(2, 61, 4) if n % 3]
        self.assertEqual(limited, sorted([*expected, 18, 42]))
        self.assertEqual(plans[1].faults[0].kind, FaultKind.CONFIGURATION)

    def test_faults_target_existing_processes_and_overlap(self):
        size = DeploymentSize(routers=2, services=1, engines=1)
        counts = {"router": 2, "endpoint": 2, "store": 1, "operator": 1}
        faults = generate_plan(7, size, 60.0).faults
        for fault in faults:
            self.assertLess(fault.number, counts[fault.kind.target])
        overlapping = [
            fault
            for fault, following in zip(faults, faults[1:], strict=False)
            if fault.at_s + fault.for_s > following.at_s
        ]
        self.assertGreater(len(overlapping), len(faults) // 3)

    def test_fifty_seeds_cover_every_fault_kind(self):
        plans = [
            generate_plan(seed, DeploymentSize(), SECONDS) for seed in range(1, 51)
        ]
        kinds = {fault.kind for plan in plans for fault in plan.faults}
        self.assertEqual(kinds, set(FaultKind))

    def test_parse_seeds_accepts_lists_ranges_and_kept(self):
        self.assertEqual(parse_seeds("1,4,9-11"), [1, 4, 9, 10, 11])
        self.assertIn(9, parse_seeds("kept"))
