"""Batching of the claims of many routers into the store writes of one router.

A router sends its claims to one router of its data centre, the writer, which batches
them with those of the other routers. The writer is chosen by rendezvous hashing of the
known routers. Correctness does not depend on all routers choosing the same writer: a
router that gets no response in time writes its claims itself, under the same claim ids.
"""

import hashlib
import itertools

import msgspec
from twisted.internet.defer import Deferred

from sesamearch.membership.message import (
    SCHEMA_VERSION,
    ClaimRequest,
    ClaimResult,
    ClaimsRequest,
    ClaimsResponse,
    SettlementRequest,
)
from sesamearch.operation.claim import NO_REPLY, ClaimOutcome, HeldClaim

__all__ = ["ClaimRelay", "choose_writer"]

BATCH_DELAY_S = 0.002
ANSWER_TIMEOUT_S = 0.4
WRITER_BACKOFF_S = 5.0
# Store writes in one batch of a ClaimWriter: one for outcomes and one for claims.
WRITES_PER_FLUSH = 2


def choose_writer(name, data_centre, members):
    """Choose the router that writes the claims of a data centre.

    Parameters
    ----------
    name, data_centre : str
        Name and data centre of the router that needs a writer.
    members : iterable of Member
        The other routers that this router knows.

    Returns
    -------
    str
        Name of the writer: `name` if no other router qualifies.
    """
    names = [m.name for m in members if m.data_centre == data_centre and not m.draining]
    return max([name, *names], key=lambda each: _hash_weight(data_centre, each))


def _hash_weight(data_centre, name):
    text = f"{data_centre}/{name}".encode()
    return hashlib.blake2b(text, digest_size=8).digest()


class _PendingRequest:
    """A request that the writer has not answered yet."""

    __slots__ = ("claims", "settlements", "timer", "writer")

    def __init__(self, writer, claims, settlements):
        self.writer = writer
        self.claims = claims
        self.settlements = settlements
        self.timer = None


class _PendingClaim(msgspec.Struct):
    """A claim to be sent, and the Deferred that gets its outcome."""

    message: ClaimRequest
    done: Deferred


class ClaimRelay:
    """Has claims written by the data centre's writer, or by this router if that fails.

    Has the interface of :class:`~sesamearch.operation.claim.ClaimWriter`.

    Parameters
    ----------
    settings : RouterSettings
    board : Blackboard
    writer : ClaimWriter
        Writes the claims that other routers send, and those of this router if it is
        the writer itself or the writer does not respond.
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
        self._requests = {}
        self._request_numbers = itertools.count(1)
        self._backoff_until_s = {}
        peers.handle(ClaimsRequest, self._on_request)
        peers.handle(ClaimsResponse, self._on_response)
        board.endpoints.listen(self._update_write_rate)

    def _update_write_rate(self, endpoints):
        """Give this data centre's writer an equal share of the store's write budget.

        Data centres with endpoints are counted, one writer for each.
        """
        count = len({endpoint.data_centre for endpoint in endpoints.values()}) or 1
        writes_per_s = self._settings.store.claim_writes_per_s / count
        self._writer.interval_s = WRITES_PER_FLUSH / writes_per_s

    # Requests to the writer

    def _choose_writer(self):
        now_s = self._clock.seconds()
        members = [
            member
            for member in self._board.members.value.values()
            if self._backoff_until_s.get(member.name, 0.0) <= now_s
        ]
        return choose_writer(self._settings.name, self._settings.data_centre, members)

    def claim(self, key, claim, retention_s):
        """Create a claim, see :meth:`ClaimWriter.claim`."""
        if self._choose_writer() == self._settings.name:
            return self._writer.claim(key, claim, retention_s)
        pending = _PendingClaim(ClaimRequest(key, claim, retention_s), Deferred())
        self._claims.append(pending)
        self._schedule()
        return pending.done

    def settle(self, held_claim, state, reply=NO_REPLY):
        """Write the outcome of a claim, see :meth:`ClaimWriter.settle`."""
        if self._choose_writer() == self._settings.name:
            self._writer.settle(held_claim, state, reply)
            return
        claim = msgspec.structs.replace(held_claim.claim, state=state, reply=reply)
        self._settlements.append(msgspec.structs.replace(held_claim, claim=claim))
        self._schedule()

    @property
    def unsettled(self):
        """Int : claims and outcomes that the store has not confirmed yet."""
        waiting = len(self._claims) + len(self._settlements)
        sent = sum(
            len(request.claims) + len(request.settlements)
            for request in self._requests.values()
        )
        return waiting + sent + self._writer.unsettled

    def _schedule(self):
        if not self._scheduled:
            self._scheduled = True
            self._clock.callLater(BATCH_DELAY_S, self._send)

    def _send(self):
        self._scheduled = False
        request = _PendingRequest(
            self._choose_writer(), self._claims, self._settlements
        )
        self._claims, self._settlements = [], []
        number = next(self._request_numbers)
        self._requests[number] = request
        request.timer = self._clock.callLater(
            ANSWER_TIMEOUT_S, self._write_directly, number
        )
        message = ClaimsRequest(
            SCHEMA_VERSION,
            self._settings.name,
            number,
            [pending.message for pending in request.claims],
            [
                SettlementRequest(held.key, held.claim, held.mod_revision, held.lease)
                for held in request.settlements
            ],
        )
        if not self._peers.send_to(request.writer, message):
            request.timer.cancel()
            self._write_directly(number)

    def _write_directly(self, number):
        """Write the contents of a request that was not sent or got no response."""
        request = self._requests.pop(number)
        self._backoff_until_s[request.writer] = self._clock.seconds() + WRITER_BACKOFF_S
        for pending in request.claims:
            message = pending.message
            done = self._writer.claim(message.key, message.claim, message.retention_s)
            done.addCallback(pending.done.callback)
        for held in request.settlements:
            self._writer.settle(held, held.claim.state, held.claim.reply)

    def _on_response(self, message):
        request = self._requests.pop(message.number, None)
        if request is None:
            return
        request.timer.cancel()
        for pending, outcome in zip(request.claims, message.outcomes, strict=True):
            held_claim = None
            if outcome.mod_revision:
                key, claim = pending.message.key, pending.message.claim
                held_claim = HeldClaim(key, claim, outcome.mod_revision, outcome.lease)
            pending.done.callback(ClaimOutcome(held_claim, outcome.existing))

    # Requests of other routers

    def _on_request(self, message):
        _RequestHandler(message, self._writer, self._peers)


class _RequestHandler:
    """Writes one request of another router and responds once all parts are decided."""

    def __init__(self, message, writer, peers):
        self._message = message
        self._peers = peers
        self._outcomes = [None] * len(message.claims)
        self._undecided = len(message.claims) + len(message.settlements)
        for index, request in enumerate(message.claims):
            done = writer.claim(request.key, request.claim, request.retention_s)
            done.addCallback(self._on_decided, index)
        for request in message.settlements:
            held_claim = HeldClaim(
                request.key, request.claim, request.mod_revision, request.lease
            )
            stored = writer.settle(held_claim, request.claim.state, request.claim.reply)
            stored.addCallback(self._on_decided, None)

    def _on_decided(self, outcome, index):
        if index is not None:
            self._outcomes[index] = _to_result(outcome)
        self._undecided -= 1
        if self._undecided == 0:
            response = ClaimsResponse(
                SCHEMA_VERSION, self._message.number, self._outcomes
            )
            self._peers.send_to(self._message.name, response)


def _to_result(outcome):
    if outcome.held_claim is None:
        return ClaimResult(0, 0, outcome.existing)
    return ClaimResult(outcome.held_claim.mod_revision, outcome.held_claim.lease)
