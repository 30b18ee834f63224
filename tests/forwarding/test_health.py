import unittest

from twisted.internet.task import Clock

from sesamearch.configuration.blackboard import Blackboard, Endpoint
from sesamearch.forwarding.fleet import Fleet
from sesamearch.forwarding.health import HealthTracker, Suspicion


class TestHealthBook(unittest.TestCase):
    def setUp(self):
        self.clock = Clock()
        self.health = HealthTracker(self.clock)

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
        self.health.update(Suspicion("e1", 0.5))
        self.assertTrue(self.health.is_down("e1"))
        self.clock.advance(0.6)
        self.assertFalse(self.health.is_down("e1"))

    def test_own_suspicions_are_told(self):
        self.health.unreachable("e1")
        self.assertTrue(self.health.has_unsent_changes)
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


class TestFlappingEndpoint(unittest.TestCase):
    """An endpoint that goes down and up by turns, 1.4 s each."""

    TURN_S = 1.4

    def test_it_is_avoided_longer_each_time_though_it_answers_between(self):
        clock = Clock()
        health = HealthTracker(clock)
        avoided_s = []
        for _ in range(3):
            health.unreachable("e1")
            began_s = clock.seconds()
            while health.is_down("e1"):
                clock.advance(0.05)
            avoided_s.append(clock.seconds() - began_s)
            health.answered("e1", False)
            clock.advance(self.TURN_S)
        self.assertLess(avoided_s[0] * 1.5, avoided_s[1])
        self.assertLess(avoided_s[1] * 1.2, avoided_s[2])

    def test_its_past_is_forgotten_after_a_while(self):
        clock = Clock()
        health = HealthTracker(clock)
        for _ in range(3):
            health.unreachable("e1")
            clock.advance(6)
        clock.advance(60)
        health.unreachable("e1")
        clock.advance(0.9)
        self.assertFalse(health.is_down("e1"))


class TestSharedFailures(unittest.TestCase):
    """A large fleet, of which each router sends one endpoint few requests."""

    ROUTERS = 20

    def setUp(self):
        self.clock = Clock()
        self.books = [HealthTracker(self.clock) for _ in range(self.ROUTERS)]

    def tell_all(self):
        for book in self.books:
            untold = book.collect_unreported()
            for other in self.books:
                if other is not book:
                    for outcomes in untold:
                        other.add_outcomes(outcomes)

    def test_one_failure_each_stands_out_for_all(self):
        for book in self.books[:5]:
            book.failed("sick")
        for book in self.books:
            book.answered("well", False)
        self.tell_all()
        for book in self.books:
            self.assertGreater(book.excess("sick", 0), 0)
            self.assertEqual(book.excess("well", 0), 0)

    def test_outcomes_are_told_once_and_not_told_on(self):
        self.books[0].failed("sick")
        self.tell_all()
        self.assertEqual([book.collect_unreported() for book in self.books], [[]] * 20)

    def test_answers_of_an_endpoint_that_fails_some_are_told_too(self):
        self.books[0].failed("e1")
        self.tell_all()
        for book in self.books:
            book.answered("e1", False)
        self.tell_all()
        self.assertEqual(self.books[1].excess("e1", 0), 0)
