import random
import unittest
from collections import Counter

from twisted.internet.task import Clock

from sesamearch.membership.member_list import MemberList, RouterInfo
from sesamearch.proxy.admission import MAX_IN_FLIGHT, MAX_LAG_S, ProxyAdmission
from sesamearch.proxy.peers import AVOID_S, PeerChooser, PeerWork

PORT = 7201


def make_router(number, data_centre="east"):
    address = f"10.0.0.{number}:8748"
    proxy = f"10.0.0.{number}:{PORT}"
    return RouterInfo(f"router-{number}", address, data_centre, 1000, 1, proxy)


class TestPeerChooser(unittest.TestCase):
    def setUp(self):
        self.clock = Clock()
        self.members = MemberList(make_router(0))
        self.cut = set()
        self.chooser = PeerChooser(
            self.clock,
            lambda: self.members,
            lambda name, service: (name, service) in self.cut,
            random.Random(1),
        )

    def add(self, *routers):
        for router in routers:
            self.members.merge(router, self.clock.seconds())

    def choose_often(self, excluded=frozenset()):
        chosen = [self.chooser.choose("desk", excluded) for _ in range(200)]
        return Counter(peer.name for peer in chosen if peer is not None)

    def test_nobody_is_chosen_before_peers_are_known(self):
        self.members = None
        self.assertIsNone(self.chooser.choose("desk", set()))

    def test_address_is_that_of_the_port_for_routers(self):
        self.add(make_router(3))
        peer = self.chooser.choose("desk", set())
        self.assertEqual((peer.name, peer.address), ("router-3", "10.0.0.3:7201"))

    def test_own_data_centre_goes_first(self):
        self.add(make_router(1), make_router(2), make_router(3, "west"))
        self.assertEqual(set(self.choose_often()), {"router-1", "router-2"})

    def test_other_data_centres_help_where_the_own_one_is_cut_off(self):
        self.add(make_router(1), make_router(3, "west"), make_router(4, "west"))
        self.cut = {("router-1", "desk")}
        self.assertEqual(set(self.choose_often()), {"router-3", "router-4"})

    def test_cut_concerns_one_service(self):
        self.add(make_router(1))
        self.cut = {("router-1", "models")}
        self.assertIsNotNone(self.chooser.choose("desk", set()))
        self.assertIsNone(self.chooser.choose("models", set()))

    def test_excluded_and_failed_routers_are_left_out(self):
        self.add(make_router(1), make_router(2))
        self.assertEqual(set(self.choose_often({"router-1"})), {"router-2"})
        self.chooser.note_failed("router-2")
        self.assertEqual(set(self.choose_often()), {"router-1"})
        self.clock.advance(AVOID_S)
        self.assertEqual(set(self.choose_often()), {"router-1", "router-2"})

    def test_router_that_nobody_hears_is_left_out(self):
        self.add(make_router(1))
        self.clock.advance(5.0)
        self.assertIsNone(self.chooser.choose("desk", set()))

    # Guards against: all that routers without a path send goes to one of the others.
    def test_load_is_spread(self):
        self.add(*(make_router(number) for number in range(1, 9)))
        works = []
        for _ in range(160):
            peer = self.chooser.choose("desk", set())
            works.append(PeerWork(self.chooser, peer.name))
        loads = Counter(work._name for work in works)
        self.assertLessEqual(max(loads.values()), 25)
        self.assertEqual(len(loads), 8)
        for work in works:
            work.end()
            work.end()
        self.assertEqual(self.chooser._load, {})

    def test_busy_router_gets_less(self):
        self.add(make_router(1), make_router(2))
        self.chooser.note_load("router-1", 100)
        self.assertEqual(set(self.choose_often()), {"router-2"})


class TestProxyAdmission(unittest.TestCase):
    def setUp(self):
        self.clock = Clock()
        self.in_flight = 0
        self.admission = ProxyAdmission(self.clock, lambda: self.in_flight, 0.25)

    def test_low_priority_is_refused_first(self):
        self.in_flight = round(0.8 * MAX_IN_FLIGHT)
        self.assertTrue(self.admission.admits(0))
        self.assertFalse(self.admission.admits(9))
        self.in_flight = MAX_IN_FLIGHT
        self.assertFalse(self.admission.admits(0))

    def test_router_that_lags_takes_nothing_until_it_has_recovered(self):
        for delay_s in (0.25, 1.5, 1.5):
            self.admission.measure()
            self.clock.advance(delay_s)
        self.admission.measure()
        self.assertFalse(self.admission.admits(0))
        for _ in range(6):
            self.clock.advance(0.25)
            self.admission.measure()
        self.assertTrue(self.admission.admits(0))
        self.assertLess(self.admission._lag_s, MAX_LAG_S)
