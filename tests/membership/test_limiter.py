"""Which routers limit the permits of an endpoint, and for how much."""

import unittest

from twisted.internet.task import Clock

from sesamearch.membership.limiter import LimiterOrder
from sesamearch.membership.member_list import MemberList, RouterInfo


def router(number, data_centre="east"):
    name = f"router-{number}"
    return RouterInfo(name, f"10.0.0.{number}:1", data_centre, 1000, 1)


class TestLimiterOrder(unittest.TestCase):
    def setUp(self):
        self.clock = Clock()
        self.clock.advance(100)

    def make(self, own, others):
        members = MemberList(own)
        for each in others:
            members.record_message(each, self.clock.seconds())
        order = LimiterOrder(self.clock)
        order.join(members)
        return order, members

    def fleet(self, count=9):
        zones = ("east", "west", "north")
        return [router(number, zones[number % 3]) for number in range(count)]

    def orders(self, routers):
        return [
            self.make(own, [each for each in routers if each is not own])[0]
            for own in routers
        ]

    def test_all_routers_choose_the_same_ones_in_the_endpoints_data_centre(self):
        orders = self.orders(self.fleet())
        for endpoint in ("e1", "e2", "e3"):
            chosen = [order.limiters(endpoint, "west") for order in orders]
            self.assertEqual(len({each[0].name for each in chosen}), 1)
            self.assertEqual(len(chosen[0]), 2)
            self.assertEqual({each.data_centre for each in chosen[0]}, {"west"})

    # Guards against limiters whose parts add up to more than the rule allows.
    def test_parts_of_the_limit_add_up_to_little_more_than_the_limit(self):
        for count in (1, 2, 3, 9, 40):
            orders = self.orders(self.fleet(count))
            self.clock.advance(3.5)
            for order in orders:
                for each in order._member_list.routers:
                    order._member_list.record_message(each, self.clock.seconds())
            shares = [order.share_ratio("e1", "west") for order in orders]
            self.assertEqual(max(shares), 1.0)
            self.assertLessEqual(sum(shares), 1.25)

    def test_endpoints_are_spread(self):
        order = self.orders(self.fleet(30))[0]
        first = {order.limiters(f"e{n}", "east")[0].name for n in range(200)}
        self.assertEqual(len(first), 10)

    def test_another_data_centre_stands_in_for_one_without_routers(self):
        order, _ = self.make(router(1), [router(2, "west")])
        self.assertEqual(len(order.limiters("e1", "north")), 2)
        order, _ = self.make(router(1), [router(2, "west"), router(3, "west")])
        first = order.limiters("e1", "east")[0]
        self.assertEqual(first.name, "router-1")

    def test_router_that_is_gone_is_replaced(self):
        routers = self.fleet()
        order, members = self.make(routers[0], routers[1:])
        gone, second = order.limiters("e1", "west")
        self.clock.advance(5)
        for each in routers[1:]:
            if each != gone:
                members.record_message(each, self.clock.seconds())
        self.assertEqual(order.limiters("e1", "west")[0], second)

    def test_router_that_has_lost_all_others_grants_its_part_only(self):
        routers = self.fleet()
        order, _ = self.make(routers[0], routers[1:])
        self.clock.advance(5)
        self.assertAlmostEqual(order.share_ratio("e1", "east"), 1 / 9)

    def test_single_router_grants_all_but_not_at_its_start(self):
        order, _ = self.make(router(1), [])
        self.assertEqual(order.share_ratio("e1", "west"), 0.1)
        self.clock.advance(3.1)
        self.assertEqual(order.share_ratio("e1", "west"), 1.0)

    def test_router_that_has_not_joined_grants_little(self):
        order = LimiterOrder(self.clock)
        self.assertEqual(order.share_ratio("e1", "west"), 0.1)
        self.assertEqual(order.limiters("e1", "west"), [])
