import random
import unittest
from unittest import mock

from sesamearch.membership import member_list
from sesamearch.membership.fleet import HEARTBEAT_INTERVAL_S, ROUTERS_PER_HEARTBEAT
from sesamearch.membership.member_list import MemberList, RouterCycle, RouterInfo


def router(name, data_centre="east", link_mbps=10, incarnation=1):
    return RouterInfo(name, f"{name}:1", data_centre, link_mbps, incarnation)


class TestMemberList(unittest.TestCase):
    def setUp(self):
        self.member_list = MemberList(router("own"))

    def add(self, *names, link_mbps=10, now_s=0.0):
        for name in names:
            self.member_list.record_message(router(name, link_mbps=link_mbps), now_s)

    def relays(self, now_s=0.0, data_centre="east"):
        return [each.name for each in self.member_list.relays(data_centre, now_s)]

    def test_single_router_relays(self):
        self.assertTrue(self.member_list.is_relay(0.0))
        self.assertFalse(self.member_list.has_live_relay(0.0))

    def test_all_routers_choose_the_same_two_relays(self):
        names = ["own", *(f"r{number}" for number in range(10))]
        choices = set()
        for own in names:
            member_list = MemberList(router(own))
            for name in names:
                member_list.record_message(router(name), 0.0)
            choices.add(tuple(each.name for each in member_list.relays("east", 0.0)))
        self.assertEqual(len(choices), 1)
        self.assertEqual(len(choices.pop()), 2)

    def test_routers_with_the_fastest_links_relay(self):
        self.add("big-1", "big-2", link_mbps=200)
        self.add(*(f"r{number}" for number in range(5)))
        self.assertEqual(set(self.relays()), {"big-1", "big-2"})
        self.assertFalse(self.member_list.is_relay(0.0))

    def test_relays_of_a_large_fleet_are_looked_up_without_ranking_it(self):
        self.add(*(f"r{number}" for number in range(200)))
        with mock.patch.object(member_list, "_rank") as rank:
            for number in range(100):
                self.relays(0.01 * number)
        rank.assert_not_called()

    def test_router_that_moves_is_ranked_in_its_new_data_centre(self):
        self.add("r1", "r2", "r3", link_mbps=200)
        moved = router("r2", "west", incarnation=2)
        self.member_list.record_message(moved, 1.0)
        self.assertEqual(set(self.relays()), {"r1", "r3"})
        self.assertEqual(self.relays(data_centre="west"), ["r2"])
        self.assertEqual(self.member_list.find("r2"), moved)
        self.assertEqual(self.member_list.data_centres, {"east", "west"})

    def test_data_centre_without_routers_is_forgotten(self):
        self.member_list.record_message(router("r1", "west"), 0.0)
        self.member_list.remove_expired(30.0)
        self.assertEqual(self.member_list.data_centres, {"east"})
        self.assertIsNone(self.member_list.find("r1"))

    def test_silent_relay_is_replaced(self):
        self.add("big-1", "big-2", link_mbps=200)
        self.relays(1.0)
        self.add("big-2", link_mbps=200, now_s=1.0)
        self.assertIn("big-1", self.relays(1.2))
        self.add("big-2", link_mbps=200, now_s=2.0)
        self.relays(2.0)
        self.add("big-2", link_mbps=200, now_s=3.4)
        self.assertEqual(set(self.relays(3.4)), {"big-2", "own"})

    def test_relay_that_is_live_again_relays_again(self):
        self.add("big-1", "big-2", link_mbps=200)
        self.relays(5.0)
        self.assertEqual(self.relays(7.0), ["own"])
        self.add("big-1", link_mbps=200, now_s=7.5)
        self.assertIn("big-1", self.relays(7.5))

    def test_silent_relays_are_not_live(self):
        self.add("big-1", "big-2", link_mbps=200)
        self.assertTrue(self.member_list.has_live_relay(1.0))
        self.assertFalse(self.member_list.has_live_relay(2.0))

    def test_later_incarnation_replaces_an_earlier_one(self):
        self.member_list.record_message(router("r1", incarnation=2), 0.0)
        self.assertFalse(
            self.member_list.record_message(router("r1", incarnation=1), 1.0)
        )
        self.assertTrue(
            self.member_list.record_message(router("r1", incarnation=3), 1.0)
        )
        self.assertEqual(self.member_list.routers[0].incarnation, 3)

    def test_process_started_after_the_time_of_day_was_set_back(self):
        self.member_list.record_message(router("r1", incarnation=5), 0.0)
        restarted = router("r1", incarnation=3)
        self.assertTrue(self.member_list.record_message(restarted, 2.0))
        # Routers that have not heard of the restart still pass the old process on.
        self.member_list.merge(router("r1", incarnation=5), 2.5, age_s=2.5)
        self.assertEqual(self.member_list.find("r1"), restarted)

    def test_router_that_nobody_hears_from_is_removed(self):
        self.add("r1")
        self.assertEqual(self.member_list.remove_expired(19.0), [])
        self.assertEqual(self.member_list.remove_expired(21.0), ["r1"])

    def test_router_that_others_hear_from_is_kept(self):
        self.add("r1", now_s=0.0)
        self.member_list.merge(router("r1"), 15.0, age_s=1.0)
        self.assertEqual(self.member_list.remove_expired(30.0), [])
        self.assertEqual(self.member_list.remove_expired(35.0), ["r1"])

    def test_dead_router_is_removed_while_others_still_pass_it_on(self):
        other = MemberList(router("other"))
        other.record_message(router("r1"), 0.0)
        self.member_list.record_message(router("r1"), 0.0)
        for second in range(1, 25):
            for aged in other.aged_routers(second):
                self.member_list.merge(aged.router, second, aged.age_s)
            for aged in self.member_list.aged_routers(second):
                other.merge(aged.router, second, aged.age_s)
            self.member_list.remove_expired(second)
            other.remove_expired(second)
        self.assertEqual((self.member_list.size, other.size), (1, 1))

    def test_router_known_only_through_others_is_kept(self):
        for second in range(60):
            self.member_list.merge(router("far", "west"), second, age_s=0.5)
            self.member_list.relays("west", second)
            self.member_list.remove_expired(second)
        self.assertEqual([each.name for each in self.member_list.routers], ["far"])


class TestLargeFleet(unittest.TestCase):
    """A fleet of hundreds of routers, which hear of most others at second hand."""

    ROUTERS, DATA_CENTRES, SECONDS = 195, 6, 60

    def setUp(self):
        self.lists = [
            MemberList(router(f"r{n}", f"dc{n % self.DATA_CENTRES}", 200 - n))
            for n in range(self.ROUTERS)
        ]
        self.by_name = {each.own.name: each for each in self.lists}
        self.cycles = {
            each.own.name: (
                RouterCycle(each, random.Random(each.own.name)),
                RouterCycle(each, random.Random(each.own.name), each.own.data_centre),
            )
            for each in self.lists
        }
        for each in self.lists:
            for other in self.lists:
                each.merge(other.own, 0.0)

    def beat(self, sender, now_s):
        everyone, local = self.cycles[sender.own.name]
        remote = sender.remote_relays(now_s) if sender.is_relay(now_s) else []
        near = [r for r in sender.direct_peers(now_s) if r not in remote]
        for targets, cycle in ((near, everyone), (remote, local)):
            routers = cycle.take(ROUTERS_PER_HEARTBEAT, now_s) if targets else []
            for target in targets:
                receiver = self.by_name[target.name]
                receiver.record_message(sender.own, now_s)
                for aged in routers:
                    receiver.merge(aged.router, now_s, aged.age_s)

    def test_live_routers_are_not_forgotten(self):
        for step in range(round(self.SECONDS / HEARTBEAT_INTERVAL_S)):
            now_s = step * HEARTBEAT_INTERVAL_S
            for sender in self.lists:
                self.beat(sender, now_s)
                self.assertEqual(sender.remove_expired(now_s), [])
        self.assertEqual({each.size for each in self.lists}, {self.ROUTERS})
