import unittest

from twisted.internet.task import Clock

from sesamearch.configuration.blackboard import Blackboard, Endpoint
from sesamearch.forwarding.fleet import Fleet
from sesamearch.forwarding.health import HealthBook, Suspicion


class TestHealthBook(unittest.TestCase):
    def setUp(self):
        self.clock = Clock()
        self.health = HealthBook(self.clock)

    def test_unreachable_endpoint_is_avoided_for_a_while_and_then_longer(self):
        self.health.unreachable("e1")
        self.assertTrue(self.health.is_down("e1"))
        self.clock.advance(0.9)
        self.assertFalse(self.health.is_down("e1"))
        self.health.unreachable("e1")
        self.clock.advance(0.9)
        self.assertTrue(self.health.is_down("e1"))

    def test_answer_ends_the_avoidance(self):
        self.health.unreachable("e1")
        self.health.answered("e1", False)
        self.assertFalse(self.health.is_down("e1"))

    def test_replaced_endpoint_is_avoided_until_it_is_listed_anew(self):
        board = Blackboard()
        fleet = Fleet(board, self.health)
        old = Endpoint("e1", "10.0.0.1:1", "east", "desk", "v1", born_ms=1)
        board.endpoints.write({"e1": old})
        self.health.replaced("e1")
        self.clock.advance(10)
        self.assertTrue(self.health.is_down("e1"))
        new = Endpoint("e1", "10.0.0.1:1", "east", "desk", "v1", born_ms=2)
        board.endpoints.write({"e1": new})
        self.assertFalse(self.health.is_down("e1"))
        self.assertEqual(fleet.serving("desk"), [new])

    def test_suspicion_of_another_router_counts(self):
        self.health.hear(Suspicion("e1", 0.5))
        self.assertTrue(self.health.is_down("e1"))
        self.clock.advance(0.6)
        self.assertFalse(self.health.is_down("e1"))

    def test_own_suspicions_are_told(self):
        self.health.unreachable("e1")
        self.assertTrue(self.health.has_news)
        ((name, left_s),) = [(s.name, s.left_s) for s in self.health.suspicions()]
        self.assertEqual(name, "e1")
        self.assertGreater(left_s, 0)

    def test_endpoint_that_fails_more_often_than_the_others_stands_out(self):
        for number in range(20):
            self.health.answered("sick", number % 2 == 0)
            self.health.answered("well", number % 10 == 0)
        self.assertGreater(self.health.excess("sick", 0.1), 0)
        self.assertEqual(self.health.excess("well", 0.1), 0)

    def test_failures_that_all_share_are_no_excess(self):
        for number in range(20):
            self.health.answered("a", number % 7 == 0)
            self.health.answered("b", number % 7 == 1)
        baseline = self.health.baseline(["a", "b"])
        self.assertEqual(self.health.excess("a", baseline), 0)

    def test_past_failures_are_forgiven(self):
        for _ in range(10):
            self.health.answered("e1", True)
        self.assertGreater(self.health.excess("e1", 0), 0)
        self.clock.advance(30)
        self.assertEqual(self.health.excess("e1", 0), 0)
