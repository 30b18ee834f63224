import random
import unittest

from twisted.internet.task import Clock

from sesamearch.forwarding.load import EndpointLoad, LoadTracker


class TestLoadTracker(unittest.TestCase):
    def setUp(self):
        self.clock = Clock()
        self.tracker = LoadTracker(self.clock)

    def test_own_load_counts_until_the_request_ends(self):
        work = self.tracker.begin("e1", 8000, 9000)
        self.assertEqual(self.tracker.total("e1"), EndpointLoad(1, 8000, 9000))
        work.prompt_was_read()
        self.assertEqual(self.tracker.total("e1"), EndpointLoad(1, 0, 9000))
        work.end()
        work.end()
        self.assertTrue(self.tracker.total("e1").is_empty)

    def test_report_replaces_the_earlier_one(self):
        self.tracker.update("r1", {"e1": EndpointLoad(2, 100, 200)})
        self.tracker.update("r1", {"e2": EndpointLoad(1, 10, 20)})
        self.assertTrue(self.tracker.total("e1").is_empty)
        self.assertEqual(self.tracker.total("e2"), EndpointLoad(1, 10, 20))

    def test_totals_equal_the_sums_of_the_last_reports(self):
        rng = random.Random(1)
        last = {}
        for _ in range(500):
            router = f"r{rng.randrange(6)}"
            loads = {
                f"e{rng.randrange(5)}": EndpointLoad(
                    rng.randrange(1, 4), rng.randrange(9), rng.randrange(9)
                )
                for _ in range(rng.randrange(4))
            }
            last[router] = loads
            self.tracker.update(router, loads)
        for number in range(5):
            expected = EndpointLoad()
            for loads in last.values():
                expected.add(loads.get(f"e{number}", EndpointLoad()))
            self.assertEqual(self.tracker.total(f"e{number}"), expected)

    def test_age_of_the_oldest_report(self):
        self.tracker.update("r1", {})
        self.clock.advance(0.5)
        self.tracker.update("r2", {})
        self.assertEqual(self.tracker.oldest_report_age_ms(), 500)

    def test_only_changes_of_generations_need_a_report(self):
        self.tracker.begin("e1")
        self.assertFalse(self.tracker.has_unsent_changes)
        self.tracker.begin("e1", 10, 20)
        self.assertTrue(self.tracker.has_unsent_changes)
        self.assertEqual(set(self.tracker.generations()), {"e1"})
