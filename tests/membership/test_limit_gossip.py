"""Limits that one router hears become known to all."""

import unittest

from sesamearch.configuration.blackboard import Incarnation
from sesamearch.forwarding.limits import LimitStatement
from tests.platform.world import World, request_bytes


class TestLimitGossip(unittest.TestCase):
    def setUp(self):
        self.world = World(routers=6, desks=1)
        self.desk = self.world.desks[0]

    def ask(self, number=0, wait_s=0.2):
        data = request_bytes("/look/1", f"r{self.world.network.seconds()}")
        return self.world.send_request(data, number, wait_s)

    def limits(self):
        found = [
            each._limits.limit_per_s(each.board.endpoints.value["desk-0"])
            for each in self.world.routers
            if each is not None
        ]
        return found

    def test_limit_its_change_and_its_end_are_known_to_all(self):
        for text, limit_per_s in (("1.3", 1.3), ("0", 0.0), ("7", 7.0), ("", None)):
            self.desk.limit = text
            self.ask(number=3, wait_s=6.0)
            self.assertEqual(self.limits(), [limit_per_s] * 6, text)

    def test_router_that_starts_later_is_told(self):
        self.desk.limit = "1.3"
        self.ask()
        self.world.routers.append(self.world.add_router(6))
        self.world.run(5.0)
        self.assertEqual(self.limits(), [1.3] * 7)

    # Guards against a router that follows a limit for good which has ended while it
    # was cut off.
    def test_router_that_was_cut_off_hears_what_has_changed(self):
        self.desk.limit = "1.3"
        self.ask()
        cut = self.world.sockets["10.0.0.6:8748"]
        cut.is_cut = True
        self.world.run(1.0)
        self.desk.limit = ""
        self.ask(number=2, wait_s=2.0)
        cut.is_cut = False
        self.world.run(5.0)
        self.assertEqual(self.limits(), [None] * 6)

    def test_many_limits_are_repeated_in_turn(self):
        router = self.world.routers[0]
        now_s = self.world.network.seconds()
        for number in range(40):
            statement = LimitStatement(1.0, now_s, now_s)
            router._limits.update(Incarnation(f"other-{number}", 1), statement)
        self.world.run(20.0)
        for each in self.world.routers:
            self.assertEqual(each._limits.active_count, 40)
