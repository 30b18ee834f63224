"""Claims: who alone may run an operation, kept in the platform's store.

A claim is created only if its key is absent, and is never taken over while its
holder could have sent the operation. So no lease, clock or membership can make an
operation run twice; a holder that dies leaves an operation whose outcome is unknown.
"""

import enum
import hashlib
import secrets

import msgspec
from twisted.internet.defer import Deferred

from sesamearch.store.store import Comparison, Put, StoredValue

__all__ = [
    "NO_REPLY",
    "Claim",
    "ClaimOutcome",
    "ClaimState",
    "ClaimWriter",
    "HeldClaim",
    "claim_key",
    "new_claim_id",
]

GATHER_S = 0.005
CLAIM_TIMEOUT_S = 2.0
RETRY_INTERVAL_S = 0.2
MAX_CLAIMS_PER_WRITE = 100
MAX_UNSETTLED = 20_000
LEASE_REUSE_S = 3600.0
LEASE_MARGIN_S = 900.0
_CLAIM_PREFIX = "/sesamearch/claims"
_CLAIM_ID_BYTES = 12
NO_REPLY = msgspec.Raw(b"null")


class ClaimState(enum.Enum):
    """How far a claimed operation got.

    Only a ``NOT_RUN`` claim may be replaced by another one.
    """

    CLAIMED = "claimed"
    NOT_RUN = "not_run"
    DONE = "done"


class Claim(StoredValue, frozen=True):
    """Stored record of one operation.

    Parameters
    ----------
    claim_id : str
        Tells the author of a write whose answer was lost that it was its own.
    router : str
        Holder.
    fingerprint : str
        Digest of the request, to refuse a key that is used for another one.
    state : ClaimState
    expires_ms : int
        Unix time after which the holder no longer waits for the outcome.
    reply : msgspec.Raw
        The endpoint's reply once done, null before.
    """

    claim_id: str
    router: str
    fingerprint: str
    state: ClaimState
    expires_ms: int
    reply: msgspec.Raw = NO_REPLY


class ClaimOutcome(msgspec.Struct, frozen=True):
    """What became of an attempt to claim.

    Parameters
    ----------
    hold : HeldClaim or None
        Set if the claim was won.
    existing : Claim or None
        The claim that stands there otherwise; None if the store gave no answer.
    """

    hold: "HeldClaim | None" = None
    existing: Claim | None = None


class HeldClaim(msgspec.Struct, frozen=True):
    """A claim that was won, as its holder needs it to write the outcome.

    Parameters
    ----------
    key : bytes
    claim : Claim
    mod_revision : int
        The outcome is written only over this revision, so that a late repetition
        of the write cannot undo a claim that replaced this one.
    lease : int
    """

    key: bytes
    claim: Claim
    mod_revision: int
    lease: int


def claim_key(service, organisation, idempotency_key):
    """Return the store key of an operation as bytes."""
    text = f"{organisation}\0{idempotency_key}".encode()
    digest = hashlib.blake2b(text, digest_size=16).hexdigest()
    return f"{_CLAIM_PREFIX}/{service}/{digest}".encode()


def new_claim_id():
    """Return a fresh claim id."""
    return secrets.token_hex(_CLAIM_ID_BYTES)


class _Pending:
    """A claim that the store has not answered yet."""

    __slots__ = ("claim", "done", "key", "lease", "replaces", "retention_s", "timer")

    def __init__(self, key, claim, retention_s):
        self.key = key
        self.claim = claim
        self.retention_s = retention_s
        self.lease = 0
        self.replaces = 0
        self.timer = None
        self.done = Deferred()

    def resolve(self, outcome):
        """Give the outcome to whoever still waits for it."""
        if not self.done.called:
            if self.timer is not None and self.timer.active():
                self.timer.cancel()
            self.done.callback(outcome)


class _Settlement(msgspec.Struct, eq=False):
    """An outcome that the store has not taken yet."""

    hold: HeldClaim
    stored: Deferred


class ClaimWriter:
    """Write claims and outcomes, many to a store call.

    While one write is under way the next ones gather, so that writes per
    operation fall as load rises. A claim whose answer was lost is simply written
    again: the second write finds the first by its claim id.

    Parameters
    ----------
    store : Store
    clock : twisted.internet.interfaces.IReactorTime
    counters : Counters
    gather_s : float
        Time that the first of a batch waits for others.

    Attributes
    ----------
    interval_s : float
        Least time between two batches, which bounds the store's writes.
    """

    __slots__ = (
        "_clock",
        "_counters",
        "_failing",
        "_flushed_s",
        "_gather_s",
        "_is_writing",
        "_leases",
        "_pending",
        "_scheduled",
        "_settlements",
        "_store",
        "interval_s",
    )

    def __init__(self, store, clock, counters, gather_s=GATHER_S):
        self._store = store
        self._clock = clock
        self._counters = counters
        self._gather_s = gather_s
        self._flushed_s = float("-inf")
        self.interval_s = 0.0
        self._pending = []
        self._settlements = {}
        self._leases = {}
        self._is_writing = False
        self._failing = False
        self._scheduled = None

    @property
    def unsettled(self):
        """Int : claims and outcomes that the store has not taken yet."""
        return len(self._settlements) + len(self._pending)

    def claim(self, key, claim, retention_s):
        """Create a claim if its key is absent or its operation has not run.

        Parameters
        ----------
        key : bytes
            From :func:`claim_key`.
        claim : Claim
        retention_s : float
            How long it is kept at least.

        Returns
        -------
        Deferred of ClaimOutcome
            Empty if the store gave no answer in time; fires at once with that
            while the store is failing and another claim is already trying it.
        """
        pending = _Pending(key, claim, retention_s)
        is_probed = self._failing and (self._pending or self._is_writing)
        if is_probed or self.unsettled >= MAX_UNSETTLED:
            pending.resolve(ClaimOutcome())
            return pending.done
        self._counters.claims += 1
        pending.timer = self._clock.callLater(
            CLAIM_TIMEOUT_S, pending.resolve, ClaimOutcome()
        )
        self._pending.append(pending)
        self._schedule(self._gather_s)
        return pending.done

    def settle(self, hold, state, reply=NO_REPLY):
        """Write the outcome of a held claim; retried until the store takes it.

        Parameters
        ----------
        hold : Hold
        state : ClaimState
        reply : msgspec.Raw
            The endpoint's reply, if there is one.

        Returns
        -------
        Deferred of None
            Fires when the store has it, or when a newer claim stands there.
        """
        claim = msgspec.structs.replace(hold.claim, state=state, reply=reply)
        settled = msgspec.structs.replace(hold, claim=claim)
        settlement = self._settlements[hold.key] = _Settlement(settled, Deferred())
        self._schedule(self._gather_s)
        return settlement.stored

    def _schedule(self, delay_s):
        if self._scheduled is None and not self._is_writing:
            next_s = self._flushed_s + self.interval_s
            delay_s = max(delay_s, next_s - self._clock.seconds())
            self._scheduled = self._clock.callLater(delay_s, self._flush)

    def _flush(self):
        self._scheduled = None
        self._is_writing = True
        self._flushed_s = self._clock.seconds()
        Deferred.fromCoroutine(self._write()).addBoth(self._written)

    def _written(self, outcome):
        self._is_writing = False
        if self.unsettled:
            self._schedule(RETRY_INTERVAL_S if self._failing else self._gather_s)
        return outcome

    async def _write(self):
        await self._write_settlements()
        await self._write_claims()

    async def _write_settlements(self):
        batch = list(self._settlements.values())[:MAX_CLAIMS_PER_WRITE]
        if not batch:
            return
        holds = [settlement.hold for settlement in batch]
        reply = await self._txn(
            [Comparison(hold.key, hold.mod_revision) for hold in holds],
            [Put(hold.key, hold.claim.to_json(), hold.lease) for hold in holds],
        )
        if reply is None:
            return
        kept = set()
        if not reply.succeeded:
            present = {item.key: item.mod_revision for item in reply.found}
            kept = {h.key for h in holds if present.get(h.key) == h.mod_revision}
        for settlement in batch:
            key = settlement.hold.key
            if key not in kept and self._settlements.get(key) is settlement:
                del self._settlements[key]
                settlement.stored.callback(None)

    async def _write_claims(self):
        batch = self._next_batch()
        for pending in batch:
            if not pending.lease:
                pending.lease = await self._lease(pending.retention_s)
        batch = [pending for pending in batch if pending.lease]
        if not batch:
            return
        reply = await self._txn(
            [Comparison(pending.key, pending.replaces) for pending in batch],
            [Put(p.key, p.claim.to_json(), p.lease) for p in batch],
        )
        if reply is None:
            return
        found = {item.key: item for item in reply.found}
        for pending in batch:
            if reply.succeeded:
                self._win(pending, reply.revision)
            else:
                self._look_at(pending, found.get(pending.key))

    def _next_batch(self):
        """Return the oldest claims, one a key: a transaction writes a key once."""
        batch = {}
        for pending in self._pending:
            if len(batch) == MAX_CLAIMS_PER_WRITE:
                break
            batch.setdefault(pending.key, pending)
        return list(batch.values())

    async def _txn(self, comparisons, puts):
        """Return the :class:`TxnReply`, or None if no answer came."""
        self._counters.claim_writes += 1
        result = await self._store.txn(comparisons, puts)
        self._failing = result.is_err()
        return result.ok()

    async def _lease(self, retention_s):
        """Return a lease that outlasts the retention, or zero without an answer."""
        now_s = self._clock.seconds()
        lease, reusable_until_s = self._leases.get(retention_s, (0, 0.0))
        if now_s < reusable_until_s:
            return lease
        ttl_s = int(retention_s + LEASE_REUSE_S + LEASE_MARGIN_S)
        granted = await self._store.grant_lease(ttl_s)
        self._failing = granted.is_err()
        if granted.is_err():
            return 0
        self._leases[retention_s] = granted.unwrap(), now_s + LEASE_REUSE_S
        return granted.unwrap()

    def _win(self, pending, revision):
        self._pending.remove(pending)
        hold = HeldClaim(pending.key, pending.claim, revision, pending.lease)
        if pending.done.called:
            # Its owner gave up and said that the operation has not run.
            self.settle(hold, ClaimState.NOT_RUN)
        else:
            pending.resolve(ClaimOutcome(hold))

    def _look_at(self, pending, item):
        """Decide on a claim whose batch was not written."""
        if item is None:
            pending.replaces = 0
            return
        existing = _read_claim(item.value)
        if existing.claim_id == pending.claim.claim_id:
            self._win(pending, item.mod_revision)
        elif existing.state is ClaimState.NOT_RUN and not pending.done.called:
            pending.replaces = item.mod_revision
        else:
            self._pending.remove(pending)
            pending.resolve(ClaimOutcome(existing=existing))


def _read_claim(value):
    try:
        return Claim.from_json(value)
    except msgspec.DecodeError:
        # Unreadable is as good as held by somebody who never answers.
        return Claim("", "", "", ClaimState.CLAIMED, 0)
