import unittest

from twisted.internet.task import Clock

from sesamearch.configuration.blackboard import Blackboard, Endpoint
from sesamearch.routing.placement import BACKOFF_FIRST_S, Placement


def endpoint(name, data_centre="a", leaving=False):
    return Endpoint(name, name, data_centre, "drafting", "v1", leaving)


class PlacementTest(unittest.TestCase):
    def setUp(self):
        self.clock = Clock()
        self.board = Blackboard()
        self.placement = Placement(self.board, "a", self.clock, seed=1)

    def place(self, *endpoints):
        self.board.endpoints.write({e.name: e for e in endpoints})

    def choose(self, *excluded):
        chosen = self.placement.choose("drafting", "v1", set(excluded))
        return chosen and chosen.name

    def test_own_data_centre_is_preferred(self):
        self.place(endpoint("b1", "b"), endpoint("a1"))
        self.assertEqual(self.choose(), "a1")
        self.assertEqual(self.choose("a1"), "b1")

    def test_least_busy_endpoint_is_preferred(self):
        self.place(endpoint("a1"), endpoint("a2"))
        self.placement.started(endpoint("a1"))
        self.assertEqual(self.choose(), "a2")

    def test_leaving_endpoint_is_not_chosen(self):
        self.place(endpoint("a1", leaving=True))
        self.assertIsNone(self.choose())

    def test_failed_endpoint_is_avoided_for_a_while(self):
        self.place(endpoint("a1"), endpoint("a2"))
        self.placement.failed(endpoint("a1"))
        self.assertEqual(self.choose(), "a2")
        self.assertEqual(self.choose("a2"), "a1")
        self.clock.advance(BACKOFF_FIRST_S)
        self.assertEqual(self.choose(), "a1")

    def test_failing_data_centre_falls_back_to_another(self):
        self.place(endpoint("a1"), endpoint("b1", "b"))
        self.placement.failed(endpoint("a1"))
        self.assertEqual(self.choose(), "b1")

    def test_only_healthy_endpoint_of_many_is_found(self):
        names = [f"a{number}" for number in range(100)]
        self.place(*(endpoint(name) for name in names))
        for name in names[:-1]:
            self.placement.failed(endpoint(name))
        self.assertEqual(self.choose(), names[-1])
        self.assertIsNone(self.choose(*names))

    def test_random_samples_balance_the_load(self):
        self.place(*(endpoint(f"a{number}") for number in range(50)))
        counts = {}
        for _ in range(500):
            name = self.choose()
            self.placement.started(endpoint(name))
            counts[name] = counts.get(name, 0) + 1
        self.assertEqual(sum(counts.values()), 500)
        self.assertLessEqual(max(counts.values()), 20)
