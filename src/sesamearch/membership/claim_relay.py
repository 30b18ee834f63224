"""Claims of many routers in the writes of one.

A router hands its claims to one member of its data centre, which gathers them with
those of the others. That member is chosen by hashing the known members; nothing
depends on all routers choosing the same one, and whoever gets no answer in time
writes its claims itself, under the same claim ids.
"""

import hashlib
import itertools

import msgspec
from twisted.internet.defer import Deferred

from sesamearch.membership.message import (
    SCHEMA_VERSION,
    ClaimsTaken,
    ClaimsWanted,
    TakenClaim,
    WantedClaim,
    WantedSettlement,
)
from sesamearch.operation.claim import NO_REPLY, ClaimOutcome, HeldClaim

__all__ = ["ClaimRelay", "choose_writer"]

GATHER_S = 0.002
ANSWER_TIMEOUT_S = 0.4
AVOID_S = 5.0
WRITES_PER_FLUSH = 2


def choose_writer(name, data_centre, members):
    """Choose the router that writes the claims of a data centre.

    Parameters
    ----------
    name, data_centre : str
        The router that asks.
    members : iterable of Member
        The other routers that it knows.

    Returns
    -------
    str
        Name of a router, `name` itself if it is alone.
    """
    names = [m.name for m in members if m.data_centre == data_centre and not m.draining]
    return max([name, *names], key=lambda one: _weight(data_centre, one))


def _weight(data_centre, name):
    text = f"{data_centre}/{name}".encode()
    return hashlib.blake2b(text, digest_size=8).digest()


class _Sent:
    """What was handed to the writer and is not answered yet."""

    __slots__ = ("claims", "settlements", "timer", "writer")

    def __init__(self, writer, claims, settlements):
        self.writer = writer
        self.claims = claims
        self.settlements = settlements
        self.timer = None


class _Wanted(msgspec.Struct):
    """A claim on its way, and who waits for it."""

    message: WantedClaim
    done: Deferred


class ClaimRelay:
    """Claim through the data centre's writer, or alone without one.

    It has the interface of :class:`~sesamearch.operation.claim.ClaimWriter`.

    Parameters
    ----------
    settings : RouterSettings
    board : Blackboard
    writer : ClaimWriter
        This router's own.
    peers : object with ``send_to(name, message)`` and ``handle(type, function)``
    clock : twisted.internet.interfaces.IReactorTime
    """

    def __init__(self, settings, board, writer, peers, clock):
        self._settings = settings
        self._board = board
        self._writer = writer
        self._peers = peers
        self._clock = clock
        self._claims = []
        self._settlements = []
        self._scheduled = False
        self._sent = {}
        self._numbers = itertools.count(1)
        self._avoid_until_s = {}
        peers.handle(ClaimsWanted, self._take_wanted)
        peers.handle(ClaimsTaken, self._take_taken)
        board.endpoints.listen(self._pace)

    def _pace(self, endpoints):
        """Share the store's writes among the data centres that can be seen."""
        count = len({endpoint.data_centre for endpoint in endpoints.values()}) or 1
        writes_per_s = self._settings.store.claim_writes_per_s / count
        self._writer.interval_s = WRITES_PER_FLUSH / writes_per_s

    # Asking

    def _choose(self):
        now_s = self._clock.seconds()
        members = [
            member
            for member in self._board.members.value.values()
            if self._avoid_until_s.get(member.name, 0.0) <= now_s
        ]
        return choose_writer(self._settings.name, self._settings.data_centre, members)

    def claim(self, key, claim, retention_s):
        """Create a claim; as :meth:`ClaimWriter.claim`."""
        if self._choose() == self._settings.name:
            return self._writer.claim(key, claim, retention_s)
        wanted = _Wanted(WantedClaim(key, claim, retention_s), Deferred())
        self._claims.append(wanted)
        self._schedule()
        return wanted.done

    def settle(self, hold, state, reply=NO_REPLY):
        """Write an outcome; as :meth:`ClaimWriter.settle`."""
        if self._choose() == self._settings.name:
            self._writer.settle(hold, state, reply)
            return
        claim = msgspec.structs.replace(hold.claim, state=state, reply=reply)
        self._settlements.append(msgspec.structs.replace(hold, claim=claim))
        self._schedule()

    @property
    def unsettled(self):
        """Int : claims and outcomes that the store has not taken yet."""
        waiting = len(self._claims) + len(self._settlements)
        sent = sum(len(s.claims) + len(s.settlements) for s in self._sent.values())
        return waiting + sent + self._writer.unsettled

    def _schedule(self):
        if not self._scheduled:
            self._scheduled = True
            self._clock.callLater(GATHER_S, self._send)

    def _send(self):
        self._scheduled = False
        sent = _Sent(self._choose(), self._claims, self._settlements)
        self._claims, self._settlements = [], []
        number = next(self._numbers)
        self._sent[number] = sent
        sent.timer = self._clock.callLater(ANSWER_TIMEOUT_S, self._give_up, number)
        message = ClaimsWanted(
            SCHEMA_VERSION,
            self._settings.name,
            number,
            [wanted.message for wanted in sent.claims],
            [
                WantedSettlement(hold.key, hold.claim, hold.mod_revision, hold.lease)
                for hold in sent.settlements
            ],
        )
        if not self._peers.send_to(sent.writer, message):
            sent.timer.cancel()
            self._give_up(number)

    def _give_up(self, number):
        """Write alone what the writer did not answer."""
        sent = self._sent.pop(number)
        self._avoid_until_s[sent.writer] = self._clock.seconds() + AVOID_S
        for wanted in sent.claims:
            message = wanted.message
            alone = self._writer.claim(message.key, message.claim, message.retention_s)
            alone.addCallback(wanted.done.callback)
        for hold in sent.settlements:
            self._writer.settle(hold, hold.claim.state, hold.claim.reply)

    def _take_taken(self, message):
        sent = self._sent.pop(message.number, None)
        if sent is None:
            return
        sent.timer.cancel()
        for wanted, outcome in zip(sent.claims, message.outcomes, strict=True):
            hold = None
            if outcome.mod_revision:
                key, claim = wanted.message.key, wanted.message.claim
                hold = HeldClaim(key, claim, outcome.mod_revision, outcome.lease)
            wanted.done.callback(ClaimOutcome(hold, outcome.existing))

    # Writing for others

    def _take_wanted(self, message):
        _Batch(message, self._writer, self._peers)


class _Batch:
    """One message of another router, answered when all of it is decided."""

    def __init__(self, message, writer, peers):
        self._message = message
        self._peers = peers
        self._outcomes = [None] * len(message.claims)
        self._open = len(message.claims) + len(message.settlements)
        for place, wanted in enumerate(message.claims):
            done = writer.claim(wanted.key, wanted.claim, wanted.retention_s)
            done.addCallback(self._decided, place)
        for wanted in message.settlements:
            hold = HeldClaim(
                wanted.key, wanted.claim, wanted.mod_revision, wanted.lease
            )
            stored = writer.settle(hold, wanted.claim.state, wanted.claim.reply)
            stored.addCallback(self._decided, None)

    def _decided(self, outcome, place):
        if place is not None:
            self._outcomes[place] = _to_taken(outcome)
        self._open -= 1
        if self._open == 0:
            taken = ClaimsTaken(SCHEMA_VERSION, self._message.number, self._outcomes)
            self._peers.send_to(self._message.name, taken)


def _to_taken(outcome):
    if outcome.hold is None:
        return TakenClaim(0, 0, outcome.existing)
    return TakenClaim(outcome.hold.mod_revision, outcome.hold.lease)
