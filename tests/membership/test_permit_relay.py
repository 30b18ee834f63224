"""Permits among routers whose messages are late, lost, or never answered."""

import unittest

from twisted.internet.task import Clock

from sesamearch.configuration.blackboard import Endpoint
from sesamearch.forwarding.dispatcher import ForwardCounters
from sesamearch.forwarding.limits import LimitStatement, LimitTracker
from sesamearch.forwarding.permits import PermitClaim
from sesamearch.membership.limit_message import PermitReply, PermitRequest
from sesamearch.membership.member_list import MemberList, RouterInfo
from sesamearch.membership.permit_relay import ANSWER_TIMEOUT_S, PermitRelay

ENDPOINT = Endpoint("e1", "10.1.0.1:1", "east", "desk", "v1", born_ms=1000)
DELAY_S = 0.001
STEP_S = 0.01


class Peers:
    """The link of one router; messages arrive after ``delay_s``, or never."""

    def __init__(self, fleet, own):
        self.fleet = fleet
        self.member_list = MemberList(own)
        self.handlers = {}
        self.is_cut = False
        self.is_frozen = False
        self.unconnected_sends = 0
        self.delay_s = DELAY_S

    def handle_message(self, message_type, handler):
        self.handlers[message_type] = handler

    def send_to(self, address, message):
        if self.unconnected_sends:
            self.unconnected_sends -= 1
            return False
        if not self.is_cut:
            self.fleet.clock.callLater(self.delay_s, self._deliver, address, message)
        return True

    def _deliver(self, address, message):
        other = self.fleet.by_address[address]
        if other.is_frozen:
            self.fleet.clock.callLater(0.1, self._deliver, address, message)
        elif not other.is_cut:
            other.handlers[type(message)](message)


class Fleet:
    """Routers of one data centre that all know each other and the limit."""

    def __init__(self, count, limit_per_s):
        self.clock = Clock()
        self.clock.advance(100)
        self.infos = [
            RouterInfo(f"router-{n}", f"10.0.0.{n}:1", "east", 1000, 1)
            for n in range(count)
        ]
        self.peers = [Peers(self, info) for info in self.infos]
        self.by_address = {
            each.address: peers
            for each, peers in zip(self.infos, self.peers, strict=True)
        }
        self.relays = []
        self.trackers = []
        for peers in self.peers:
            tracker = LimitTracker(self.clock, ForwardCounters())
            relay = PermitRelay(
                tracker, {"e1": ENDPOINT}.get, self.clock, ForwardCounters()
            )
            relay.join(peers)
            self.trackers.append(tracker)
            self.relays.append(relay)
        self.live = set(range(count))
        self.hear()
        self.set_limit(limit_per_s)

    def hear(self):
        """Let the routers know which of them live."""
        for peers in self.peers:
            for number in self.live:
                info = self.infos[number]
                if info is not peers.member_list.own:
                    peers.member_list.record_message(info, self.clock.seconds())

    def set_limit(self, limit_per_s):
        now_s = self.clock.seconds()
        statement = LimitStatement(limit_per_s, now_s, now_s)
        for tracker in self.trackers:
            tracker.update(ENDPOINT.incarnation, statement)

    def run(self, seconds):
        for _ in range(round(seconds / STEP_S)):
            self.clock.advance(STEP_S)
            if round(self.clock.seconds() / STEP_S) % 25 == 0:
                self.hear()
                for relay in self.relays:
                    relay.refresh()

    @property
    def limiters(self):
        """List of int : numbers of the endpoint's limiters."""
        order = self.relays[0]._order.limiters("e1", "east")
        return [self.infos.index(each) for each in order]

    @property
    def others(self):
        """List of int : numbers of the routers that are no limiters."""
        return [n for n in range(len(self.infos)) if n not in self.limiters]


class TestPermitRelay(unittest.TestCase):
    def make(self, limit_per_s=2.0, count=5, gather_s=3.0):
        self.fleet = Fleet(count, limit_per_s)
        self.fleet.run(gather_s)
        self.decided = []
        return self.fleet

    def claim(self, number, patience_s=0.0, has_begun=False):
        now_s = self.fleet.clock.seconds()
        claim = PermitClaim(5, has_begun, now_s + patience_s)

        def decide(decision):
            took_s = round(self.fleet.clock.seconds() - now_s, 2)
            self.decided.append((decision.is_granted, decision.is_answered, took_s))

        return self.fleet.relays[number].claim(ENDPOINT, claim, decide)

    @property
    def grants(self):
        return sum(is_granted for is_granted, _, _ in self.decided)

    def counters(self, number):
        return self.fleet.relays[number]._counters

    def test_routers_share_one_limit(self):
        fleet = self.make(limit_per_s=2.0)
        for number in range(5):
            self.claim(number)
        fleet.run(0.1)
        self.assertEqual(self.grants, 2)
        self.assertEqual(len(self.decided), 5)

    def test_claim_waits_at_the_limiter(self):
        fleet = self.make()
        for _ in range(4):
            self.claim(fleet.others[0], patience_s=2.0, has_begun=True)
        fleet.run(1.5)
        self.assertEqual(self.grants, 4)

    def test_message_is_sent_again_until_the_connection_is_there(self):
        fleet = self.make()
        first, other = fleet.limiters[0], fleet.others[0]
        fleet.peers[other].unconnected_sends = 3
        fleet.peers[first].unconnected_sends = 3
        self.claim(other)
        fleet.run(0.1)
        self.assertEqual(self.grants, 1)
        self.assertLess(self.decided[0][2], ANSWER_TIMEOUT_S)

    # Guards against requests that wait for a limiter that has ended, and against a
    # second limiter that grants the whole limit while the first one still does.
    def test_second_limiter_stands_in_with_a_part(self):
        fleet = self.make(limit_per_s=20.0)
        first, _ = fleet.limiters
        fleet.peers[first].is_cut = True
        for _ in range(100):
            self.claim(fleet.others[0])
            self.claim(first)
            fleet.run(0.04)
        self.assertLessEqual(self.grants, 4 * 20 * 1.25 + 2 + 10)
        self.assertGreater(self.grants, 4 * 20)
        self.assertGreater(self.counters(fleet.others[0]).permits_granted, 10)

    def test_second_limiter_takes_over_once_the_first_is_gone(self):
        fleet = self.make(limit_per_s=20.0)
        first, _ = fleet.limiters
        fleet.peers[first].is_cut = True
        fleet.live.discard(first)
        fleet.run(5.0)
        for _ in range(100):
            self.claim(fleet.others[0])
            fleet.run(0.04)
        self.assertGreater(self.grants, 70)

    def test_claim_without_any_limiter_is_denied_soon(self):
        fleet = self.make()
        for number in fleet.limiters:
            fleet.peers[number].is_cut = True
        self.claim(fleet.others[0], patience_s=5.0)
        fleet.run(1.0)
        self.assertEqual(self.decided, [(False, False, 2 * ANSWER_TIMEOUT_S)])

    # Guards against permits that a frozen limiter grants to requests that have long
    # gone elsewhere.
    def test_late_grant_is_given_back(self):
        fleet = self.make(limit_per_s=1.0)
        first, second = fleet.limiters
        other = fleet.others[0]
        fleet.peers[first].is_frozen = fleet.peers[second].is_frozen = True
        self.claim(other)
        fleet.run(0.5)
        fleet.peers[first].is_frozen = fleet.peers[second].is_frozen = False
        fleet.run(0.2)
        self.assertEqual(self.grants, 0)
        self.claim(first)
        self.assertEqual(self.grants, 1)

    def test_permit_that_is_not_used_can_be_granted_again(self):
        fleet = self.make(limit_per_s=1.0)
        pending = self.claim(fleet.others[0])
        fleet.run(0.05)
        pending.cancel()
        fleet.run(0.05)
        self.claim(fleet.others[1])
        fleet.run(0.05)
        self.assertEqual(self.grants, 2)

    def test_waiting_claim_that_is_withdrawn_takes_no_permit(self):
        fleet = self.make(limit_per_s=1.0)
        self.claim(fleet.others[0])
        fleet.run(0.05)
        waiting = self.claim(fleet.others[0], patience_s=3.0, has_begun=True)
        fleet.run(0.05)
        waiting.cancel()
        self.claim(fleet.others[1], patience_s=1.2, has_begun=True)
        fleet.run(1.2)
        self.assertEqual(self.grants, 2)

    # Guards against a message for each request that is denied anyway.
    def test_denial_is_remembered_until_a_permit_is_due(self):
        fleet = self.make(limit_per_s=1.0)
        first, other = fleet.limiters[0], fleet.others[0]
        requests = []
        handler = fleet.peers[first].handlers[PermitRequest]
        fleet.peers[first].handlers[PermitRequest] = lambda request: (
            requests.append(request),
            handler(request),
        )
        for _ in range(200):
            self.claim(other)
            fleet.run(0.02)
        self.assertEqual(self.grants, 5)
        self.assertLess(len(requests), 20)

    # Guards against a denial that is remembered for the time at the old rate.
    def test_raised_limit_is_used_at_once(self):
        fleet = self.make(limit_per_s=0.3, gather_s=4.0)
        for _ in range(3):
            self.claim(fleet.others[0])
            fleet.run(0.05)
        self.assertEqual(self.grants, 1)
        fleet.set_limit(20.0)
        fleet.run(0.5)
        self.claim(fleet.others[0])
        fleet.run(0.05)
        self.assertTrue(self.decided[-1][0])

    def test_ended_limit_grants_all_that_wait(self):
        fleet = self.make(limit_per_s=0.3)
        for _ in range(3):
            self.claim(fleet.others[0], patience_s=20.0, has_begun=True)
        fleet.run(0.05)
        fleet.set_limit(None)
        fleet.run(0.05)
        self.assertEqual(self.grants, 3)

    # Guards against a claim to a second limiter that has no limit to name.
    def test_limit_that_ends_while_an_limiter_is_silent_grants(self):
        fleet = self.make()
        other = fleet.others[0]
        fleet.peers[fleet.limiters[0]].is_cut = True
        self.claim(other, patience_s=5.0)
        fleet.run(0.05)
        fleet.trackers[other]._statements.clear()
        fleet.run(0.2)
        self.assertEqual(self.grants, 1)

    def test_trial_is_due_at_the_limiter_alone_and_after_silence(self):
        fleet = self.make(limit_per_s=1.0, gather_s=4.0)
        first = fleet.limiters[0]
        self.assertFalse(fleet.relays[first].is_trial_due(ENDPOINT))
        fleet.run(2.0)
        due = [relay.is_trial_due(ENDPOINT) for relay in fleet.relays]
        self.assertEqual(due, [n == first for n in range(5)])
        self.claim(first)
        self.assertFalse(fleet.relays[first].is_trial_due(ENDPOINT))

    def test_messages_of_another_version_are_ignored(self):
        fleet = self.make()
        reply = PermitReply(99, "router-1", 1, None, 0.0)
        fleet.peers[0].handlers[PermitReply](reply)

    def test_router_without_peers_grants_a_small_part(self):
        clock = Clock()
        tracker = LimitTracker(clock, ForwardCounters())
        relay = PermitRelay(tracker, lambda name: None, clock, ForwardCounters())
        tracker.update(ENDPOINT.incarnation, LimitStatement(20.0, 0.0, 0.0))
        granted = []
        for _ in range(100):
            claim = PermitClaim(5, False, clock.seconds())
            relay.claim(ENDPOINT, claim, lambda each: granted.append(each.is_granted))
            clock.advance(0.04)
        self.assertLessEqual(sum(granted), 4 * 20 * 0.1 + 2)
        self.assertGreater(sum(granted), 4)
