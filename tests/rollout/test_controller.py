"""Routers that end a rollout while a later order arrives."""

import unittest

from result import Ok
from twisted.internet.defer import Deferred, succeed
from twisted.internet.task import Clock

from sesamearch.configuration.blackboard import Blackboard
from sesamearch.membership.rollout_message import RolloutVerdict
from sesamearch.rollout.controller import RolloutController
from sesamearch.rollout.order import RolloutOrder, RolloutOutcome, RolloutState
from sesamearch.rollout.register import RolloutRegister
from sesamearch.routing.canary import CanarySettings
from sesamearch.store.store import StoreRevision

LENGTH_S = 10


class _Register(RolloutRegister):
    def __init__(self):
        self.ended = Deferred()

    def begin(self, order):
        state = RolloutState.IN_PROGRESS
        return succeed(
            Ok(RolloutOutcome(order.service, order.target, state, order.revision))
        )

    def end(self, order, state):
        return self.ended

    def restore(self, order, state):
        raise NotImplementedError

    def read_standings(self):
        return succeed(Ok([]))

    def write_standings(self, service, standings):
        return succeed(Ok(standings))


class _Peers:
    is_relay = False

    def __init__(self):
        self.sent = []

    def handle(self, message_type, handler):
        pass

    def handle_message(self, message_type, handler):
        pass

    def listen_started(self, listener):
        pass

    def send_to_all(self, message):
        self.sent.append(message)


def _order(target, number):
    return RolloutOrder("desk", target, LENGTH_S, StoreRevision(0, number))


class TestLaterOrder(unittest.TestCase):
    # Guards against peers that complete a reverted version when a later order comes.
    def test_no_verdict_is_sent_of_an_order_that_a_later_one_replaced(self):
        clock, register, peers = Clock(), _Register(), _Peers()
        controller = RolloutController(
            "router-0", Blackboard(), register, CanarySettings(), clock
        )
        controller.join(peers)
        controller.apply_orders(
            [RolloutOrder("desk", "v2", LENGTH_S, StoreRevision(0, 5))]
        )
        clock.advance(LENGTH_S)
        controller.share_evidence()
        controller.apply_orders(
            [RolloutOrder("desk", "v3", LENGTH_S, StoreRevision(0, 9))]
        )
        reverted = RolloutOutcome("desk", "v2", RolloutState.REVERTED, 8)
        register.ended.callback(Ok(reverted))
        sent = [each for each in peers.sent if isinstance(each, RolloutVerdict)]
        self.assertEqual(sent, [])
