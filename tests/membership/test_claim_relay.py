"""Claims of many routers batched by one writer, and written without it if it fails."""

import unittest

from twisted.internet.task import Clock

from sesamearch.configuration.blackboard import Blackboard, Endpoint, Member
from sesamearch.configuration.settings import RouterSettings, StoreSettings
from sesamearch.membership.claim_relay import (
    ANSWER_TIMEOUT_S,
    ClaimRelay,
    choose_writer,
)
from sesamearch.operation.claim import (
    Claim,
    ClaimState,
    ClaimWriter,
    claim_key,
    new_claim_id,
)
from sesamearch.replay.process import Process
from sesamearch.replay.store import FakeStore, StoreFaults

LINK_DELAY_S = 0.001


class PeerBus:
    """Carries messages between claim relays in one process."""

    def __init__(self, clock):
        self._clock = clock
        self.handlers = {}
        self.silent = set()
        self.unreachable = set()

    def port(self, name):
        handlers = self.handlers[name] = {}
        return _Port(self, name, handlers)

    def send(self, source, target, message):
        if source not in self.silent:
            self._clock.callLater(LINK_DELAY_S, self._arrive, target, message)
        return target not in self.unreachable

    def _arrive(self, target, message):
        if target not in self.silent:
            self.handlers[target][type(message)](message)


class _Port:
    def __init__(self, bus, name, handlers):
        self._bus = bus
        self._name = name
        self._handlers = handlers

    def handle(self, message_type, handler):
        self._handlers[message_type] = handler

    def send_to(self, name, message):
        return self._bus.send(self._name, name, message)


class RelayWorld:
    """Routers of one data centre with a fake store and fake peer links."""

    def __init__(self, count, data_centres=1):
        self.clock = Clock()
        self.faults = StoreFaults(self.clock)
        self.bus = PeerBus(self.clock)
        self.names = [f"r{number}" for number in range(count)]
        self.boards = {name: Blackboard() for name in self.names}
        self.relays = {name: self._make(name) for name in self.names}
        endpoints = {
            f"s{n}": Endpoint(f"s{n}", "", f"dc{n}", "ticketing", "v1")
            for n in range(data_centres)
        }
        for name, board in self.boards.items():
            others = [other for other in self.names if other != name]
            members = {o: Member(o, "dc0", o, 1, 1, False, 0.0) for o in others}
            board.members.write(members)
            board.endpoints.write(endpoints)
        self.writer_name = choose_writer(
            self.names[0], "dc0", self.boards[self.names[0]].members.value.values()
        )

    def _make(self, name):
        store = FakeStore(Process(self.clock, name), self.faults, 0.004)
        board = self.boards[name]
        writer = ClaimWriter(store, self.clock, board.counters)
        settings = RouterSettings(name, "dc0", "", "", StoreSettings([""]), "")
        return ClaimRelay(settings, board, writer, self.bus.port(name), self.clock)

    def claim(self, name, key):
        outcomes = []
        claim = Claim(new_claim_id(), name, "f", ClaimState.CLAIMED, 0)
        store_key = claim_key("ticketing", "clerks", key)
        self.relays[name].claim(store_key, claim, 60.0).addCallback(outcomes.append)
        return outcomes

    def advance(self, seconds=1.0):
        self.clock.pump([0.001] * int(seconds / 0.001))

    @property
    def writes(self):
        return sum(board.counters.claim_writes for board in self.boards.values())

    def stored(self, key):
        item = self.faults.state.items[claim_key("ticketing", "clerks", key)]
        return Claim.from_json(item.value)


class ClaimRelayTest(unittest.TestCase):
    def setUp(self):
        self.world = RelayWorld(5)
        self.other = next(n for n in self.world.names if n != self.world.writer_name)

    def test_all_routers_choose_the_same_writer(self):
        chosen = {
            choose_writer(name, "dc0", board.members.value.values())
            for name, board in self.world.boards.items()
        }
        self.assertEqual(chosen, {self.world.writer_name})

    def test_claims_of_many_routers_share_a_write(self):
        outcomes = [
            self.world.claim(name, f"{name}-{n}")
            for name in self.world.names
            for n in range(10)
        ]
        self.world.advance()
        self.assertTrue(all(outcome[0].held_claim for outcome in outcomes))
        self.assertLessEqual(self.world.writes, 3)

    def test_only_one_router_wins_a_key(self):
        outcomes = [self.world.claim(name, "k") for name in self.world.names]
        self.world.advance()
        self.assertEqual(sum(o[0].held_claim is not None for o in outcomes), 1)

    def test_outcome_is_stored(self):
        outcomes = self.world.claim(self.other, "k")
        self.world.advance()
        self.world.relays[self.other].settle(outcomes[0].held_claim, ClaimState.DONE)
        self.world.advance()
        self.assertIs(self.world.stored("k").state, ClaimState.DONE)

    def test_claims_are_written_directly_if_the_writer_is_silent(self):
        self.world.bus.silent.add(self.world.writer_name)
        outcomes = self.world.claim(self.other, "k")
        self.world.advance()
        self.assertIsNotNone(outcomes[0].held_claim)
        self.world.relays[self.other].settle(outcomes[0].held_claim, ClaimState.DONE)
        self.world.advance()
        self.assertIs(self.world.stored("k").state, ClaimState.DONE)

    def test_unreachable_writer_causes_no_delay(self):
        self.world.bus.silent.add(self.world.writer_name)
        self.world.bus.unreachable.add(self.world.writer_name)
        outcomes = self.world.claim(self.other, "k")
        self.world.advance(ANSWER_TIMEOUT_S / 2)
        self.assertIsNotNone(outcomes[0].held_claim)

    def test_claim_is_won_if_the_response_of_the_writer_is_lost(self):
        # The writer stores the claim and its response is lost; the router then writes
        # the claim again under the same claim id, which must count as won.
        outcomes = self.world.claim(self.other, "k")
        self.world.clock.pump([0.001] * 6)
        self.world.bus.silent.add(self.world.writer_name)
        self.world.advance()
        self.assertIsNotNone(outcomes[0].held_claim)

    def test_write_budget_is_divided_among_data_centres(self):
        world = RelayWorld(3, data_centres=8)
        for number in range(200):
            world.clock.callLater(number / 100, world.claim, "r0", str(number))
        world.advance(3)
        budget = StoreSettings([""]).claim_writes_per_s / 8
        self.assertLessEqual(world.writes, budget * 3)
