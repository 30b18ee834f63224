import unittest

from twisted.internet.task import Clock

from sesamearch.configuration.blackboard import Blackboard
from sesamearch.configuration.settings import DrainSettings
from sesamearch.daemon.drain import SETTLE_TIMEOUT_S, Drain

SETTINGS = DrainSettings(balancer_grace_s=3, timeout_s=60)


class BusyGateway:
    def __init__(self):
        self.in_flight = 2
        self.unsettled = 0
        self.handed_over = 0

    def hand_over(self):
        self.handed_over += 1


class DrainTest(unittest.TestCase):
    def setUp(self):
        self.clock = Clock()
        self.board = Blackboard()
        self.gateway = BusyGateway()
        self.events = []
        self.drain = Drain(
            self.board,
            self.gateway,
            SETTINGS,
            self.clock,
            lambda: self.events.append("refuse"),
            lambda: self.events.append("stop"),
        )

    def pass_time(self, seconds):
        self.clock.pump([0.1] * int(seconds * 10 + 1))

    def test_requests_are_accepted_during_balancer_grace(self):
        self.drain.shut_down()
        self.assertTrue(self.board.drain.value.draining)
        self.pass_time(2.5)
        self.assertEqual(self.events, [])
        self.pass_time(1)
        self.assertEqual(self.events, ["refuse"])

    def test_waits_for_running_requests(self):
        self.drain.shut_down()
        self.pass_time(30)
        self.assertEqual((self.events, self.gateway.handed_over), (["refuse"], 0))
        self.gateway.in_flight = 0
        self.pass_time(1)
        self.assertEqual(self.events, ["refuse", "stop"])

    def test_second_call_hands_over_at_once(self):
        self.drain.shut_down()
        self.drain.shut_down()
        self.drain.shut_down()
        self.assertEqual((self.events, self.gateway.handed_over), (["refuse"], 1))
        self.pass_time(10)
        self.assertEqual(self.events, ["refuse"])
        self.gateway.in_flight = 0
        self.pass_time(1)
        self.assertEqual(self.events, ["refuse", "stop"])

    def test_waits_for_unsettled_outcomes_until_timeout(self):
        self.drain.shut_down()
        self.gateway.in_flight, self.gateway.unsettled = 0, 1
        self.pass_time(SETTINGS.balancer_grace_s + SETTLE_TIMEOUT_S - 1)
        self.assertEqual(self.events, ["refuse"])
        self.pass_time(2)
        self.assertEqual(self.events, ["refuse", "stop"])

    def test_timeout_hands_over(self):
        self.drain.shut_down()
        self.pass_time(SETTINGS.timeout_s + 1)
        self.assertEqual(self.gateway.handed_over, 1)
