"""Load that endpoints state: its weight by age, bad figures, and what a choice does."""

import unittest

from twisted.internet.task import Clock

from sesamearch.configuration.blackboard import Endpoint
from sesamearch.forwarding.request import EndpointAnswer, LoadReport
from sesamearch.forwarding.stated_load import (
    HALF_LIFE_S,
    MAX_PACE_PERCENT,
    LoadStatements,
    StatedLoad,
)
from tests.forwarding.spread import Fleet
from tests.forwarding.test_choice import World


def endpoint(name, slots=6):
    return Endpoint(name, "10.0.0.1:1", "east", "desk", "v1", slots=slots)


def answer(running, waiting=0, slots=6, pace_percent=100, **more):
    load = LoadReport(running, waiting, slots, pace_percent)
    return EndpointAnswer(200, b"", [], load=load, **more)


class TestStatements(unittest.TestCase):
    def setUp(self):
        self.clock = Clock()
        self.clock.advance(10)
        self.statements = LoadStatements(self.clock)
        self.endpoints = [endpoint("e0"), endpoint("e1")]

    def occupancy(self, name):
        return self.statements.estimates(self.endpoints)[name].occupancy_ratio

    def test_newer_statements_weigh_more(self):
        self.statements.note_answer(self.endpoints[0], answer(6, 12))
        self.clock.advance(4 * HALF_LIFE_S)
        for _ in range(3):
            self.statements.note_answer(self.endpoints[0], answer(0))
        self.assertLess(self.occupancy("e0"), 0.2)

    def test_statement_of_another_router_counts_by_its_age(self):
        for age_ms in (0, 2000):
            statements = LoadStatements(self.clock)
            statements.update({"e0": StatedLoad(6, 0, 6, 100, age_ms)})
            statements.update({"e1": StatedLoad(0, 0, 6, 100, 0)})
            found = statements.estimates(self.endpoints)["e0"].occupancy_ratio
            self.assertEqual(found > 0.6, age_ms == 0)

    def test_old_statements_say_nothing(self):
        # All routers that used the endpoints are gone.
        self.statements.note_answer(self.endpoints[0], answer(6))
        self.clock.advance(5)
        self.assertEqual(self.statements.estimates(self.endpoints), {})

    def test_endpoint_without_statements_counts_as_the_mean(self):
        self.statements.note_answer(self.endpoints[0], answer(3))
        self.assertAlmostEqual(self.occupancy("e1"), 0.5)

    def test_own_requests_count_until_a_statement_includes_them(self):
        self.statements.note_answer(self.endpoints[0], answer(0))
        self.statements.note_sent("e0")
        self.statements.note_sent("e0")
        self.assertAlmostEqual(self.occupancy("e0"), 2 / 6)
        self.statements.note_answer(self.endpoints[0], answer(0))
        self.assertAlmostEqual(self.occupancy("e0"), 0)

    def test_statements_are_told_once_with_their_age(self):
        self.statements.note_answer(self.endpoints[0], answer(3))
        self.clock.advance(0.25)
        told = self.statements.collect_unsent()
        self.assertEqual(told, {"e0": StatedLoad(3, 0, 6, 100, 250)})
        self.assertEqual(self.statements.collect_unsent(), {})

    def test_absurd_figures_are_bounded(self):
        absurd = {
            "e0": StatedLoad(10**18, 10**18, 0, 10**18, -5),
            "e1": StatedLoad(-3, -1, -6, -100, 10**9),
        }
        self.statements.update(absurd)
        found = self.statements.estimates(self.endpoints)
        self.assertLessEqual(found["e0"].pace_ratio, MAX_PACE_PERCENT / 100)
        for each in found.values():
            self.assertGreaterEqual(each.occupancy_ratio, 0.0)
            self.assertGreater(each.pace_ratio, 0.0)

    def test_another_process_and_answers_without_pace_state_nothing(self):
        other = answer(3, is_other_instance=True)
        plain = EndpointAnswer(200, b"", [], load=LoadReport(3, 0, 6))
        for each in (other, plain):
            self.statements.note_answer(self.endpoints[0], each)
        self.assertEqual(self.statements.estimates(self.endpoints), {})

    def test_endpoints_that_are_not_listed_are_forgotten(self):
        # A router may tell of endpoints that nobody uses.
        self.statements.update({"gone": StatedLoad(1, 0, 6, 100, 0)})
        self.statements.discard_unlisted({"e0": self.endpoints[0]})
        self.assertEqual(len(self.statements._records), 0)


class TestChoice(unittest.TestCase):
    def choose(self, count, states):
        world = World(2, "desk")
        world.chooser._statements = statements = LoadStatements(world.clock)
        for name, state in states.items():
            found = world.board.endpoints.value[name]
            for _ in range(5):
                statements.note_answer(found, state)
        return [world.chooser.for_call("desk", "r").name for _ in range(count)]

    def test_slow_endpoint_gets_fewer_calls_and_not_none(self):
        chosen = self.choose(400, {"e0": answer(1, pace_percent=300), "e1": answer(1)})
        self.assertLess(chosen.count("e0"), 0.4 * 400)
        self.assertGreater(chosen.count("e0"), 0.1 * 400)

    def test_full_endpoint_of_the_own_data_centre_is_avoided(self):
        chosen = self.choose(400, {"e0": answer(6, 10), "e1": answer(1)})
        self.assertLess(chosen.count("e0"), 0.3 * 400)


class TestManyRouters(unittest.TestCase):
    """Four workers, one slowed down by its neighbours; 81 routers, news 0.5 s old."""

    def test_calls_wait_less_than_by_own_requests_alone(self):
        unaware = Fleet(81, 0.6, None, seed=1).run()
        informed = Fleet(81, 0.6, 0.5, seed=1).run()
        self.assertLess(sum(informed.waits_s), 0.3 * sum(unaware.waits_s))
        self.assertLess(informed.busiest_ratio, unaware.busiest_ratio)

    def test_nobody_is_turned_away_while_there_is_room(self):
        informed = Fleet(81, 0.8, 0.5, seed=1).run()
        self.assertLess(informed.turned_away_ratio, 0.01)


if __name__ == "__main__":
    unittest.main()
