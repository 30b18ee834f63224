"""Claims in the platform's store, which let only one router run an operation.

A claim is created only if its key is absent, and is never taken over while its holder
may have sent the operation. Therefore no expired lease, clock error or membership
change can make an operation run twice. If a holder fails, the outcome of its operation
remains unknown.
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

BATCH_DELAY_S = 0.005
CLAIM_TIMEOUT_S = 2.0
RETRY_INTERVAL_S = 0.2
MAX_CLAIMS_PER_WRITE = 100
MAX_UNSETTLED = 20_000
# Claims with the same retention time share a lease that is granted once in this time.
LEASE_REUSE_S = 3600.0
LEASE_MARGIN_S = 900.0
_CLAIM_PREFIX = "/sesamearch/claims"
_CLAIM_ID_BYTES = 12
NO_REPLY = msgspec.Raw(b"null")


class ClaimState(enum.Enum):
    """Progress of a claimed operation.

    Only a claim in the state ``NOT_RUN`` may be replaced by another one.
    """

    CLAIMED = "claimed"
    NOT_RUN = "not_run"
    DONE = "done"


class Claim(StoredValue, frozen=True):
    """Stored record of an operation.

    Parameters
    ----------
    claim_id : str
        Lets a router recognise its own write if the store's answer was lost.
    router : str
        Name of the router that holds the claim.
    fingerprint : str
        Digest of the request; the key is refused for any other request.
    state : ClaimState
    expires_ms : int
        Unix time after which the holder no longer waits for the outcome.
    reply : msgspec.Raw
        The endpoint's reply in the state ``DONE``, otherwise null.
    """

    claim_id: str
    router: str
    fingerprint: str
    state: ClaimState
    expires_ms: int
    reply: msgspec.Raw = NO_REPLY


class ClaimOutcome(msgspec.Struct, frozen=True):
    """Result of an attempt to claim an operation.

    Parameters
    ----------
    held_claim : HeldClaim or None
        Set if this router got the claim.
    existing : Claim or None
        The stored claim that prevented it; None if the store did not answer.
    """

    held_claim: "HeldClaim | None" = None
    existing: Claim | None = None


class HeldClaim(msgspec.Struct, frozen=True):
    """A claim that this router holds, with what it needs to write the outcome.

    Parameters
    ----------
    key : bytes
    claim : Claim
    mod_revision : int
        Store revision of the claim. The outcome is written only if the revision is
        unchanged, so that a late retry of the write cannot overwrite a newer claim.
    lease : int
        Lease that the claim is stored under.
    """

    key: bytes
    claim: Claim
    mod_revision: int
    lease: int


def claim_key(service, organisation, idempotency_key):
    """Return the store key of an operation."""
    text = f"{organisation}\0{idempotency_key}".encode()
    digest = hashlib.blake2b(text, digest_size=16).hexdigest()
    return f"{_CLAIM_PREFIX}/{service}/{digest}".encode()


def new_claim_id():
    """Return a new random claim ID."""
    return secrets.token_hex(_CLAIM_ID_BYTES)


class _Pending:
    """A claim that the store has not confirmed yet.

    `replaces` is the store revision of the claim to overwrite; zero if the key must be
    absent.
    """

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
        """Fire `done` with the outcome, unless it has fired already."""
        if not self.done.called:
            if self.timer is not None and self.timer.active():
                self.timer.cancel()
            self.done.callback(outcome)


class _Settlement(msgspec.Struct, eq=False):
    """An outcome to write that the store has not confirmed yet."""

    held_claim: HeldClaim
    stored: Deferred


class ClaimWriter:
    """Writes claims and outcomes to the store in batches.

    Claims and outcomes that arrive during a write form the next batch, so the number of
    writes per operation falls as load rises. If the answer to a write is lost, the
    claim is written again; the retry recognises the first write by its claim ID.

    Parameters
    ----------
    store : Store
    clock : twisted.internet.interfaces.IReactorTime
    counters : Counters
    batch_delay_s : float
        Time from the first claim or outcome of a batch to its write.

    Attributes
    ----------
    interval_s : float
        Minimum time between two batches, which limits the rate of store writes.
    """

    __slots__ = (
        "_batch_delay_s",
        "_clock",
        "_counters",
        "_failing",
        "_is_writing",
        "_last_write_s",
        "_leases",
        "_pending",
        "_scheduled",
        "_settlements",
        "_store",
        "interval_s",
    )

    def __init__(self, store, clock, counters, batch_delay_s=BATCH_DELAY_S):
        self._store = store
        self._clock = clock
        self._counters = counters
        self._batch_delay_s = batch_delay_s
        self._last_write_s = float("-inf")
        self.interval_s = 0.0
        self._pending = []
        self._settlements = {}
        self._leases = {}
        self._is_writing = False
        self._failing = False
        self._scheduled = None

    @property
    def unsettled(self):
        """Int : number of claims and outcomes that the store has not confirmed."""
        return len(self._settlements) + len(self._pending)

    def claim(self, key, claim, retention_s):
        """Create a claim if its key is absent, or its stored claim is ``NOT_RUN``.

        Parameters
        ----------
        key : bytes
            Store key, from :func:`claim_key`.
        claim : Claim
        retention_s : float
            Minimum time for which the claim is stored.

        Returns
        -------
        Deferred of ClaimOutcome
            Empty if the store did not answer in time. Fires at once with an empty
            outcome if the store is failing and another claim already probes it, or
            if too many writes are pending.
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
        self._schedule(self._batch_delay_s)
        return pending.done

    def settle(self, held_claim, state, reply=NO_REPLY):
        """Write the outcome of a held claim; retry until the store confirms it.

        Parameters
        ----------
        held_claim : HeldClaim
        state : ClaimState
        reply : msgspec.Raw
            The endpoint's reply, if any.

        Returns
        -------
        Deferred of None
            Fires when the outcome, or a newer claim, is in the store.
        """
        claim = msgspec.structs.replace(held_claim.claim, state=state, reply=reply)
        settled = msgspec.structs.replace(held_claim, claim=claim)
        settlement = self._settlements[held_claim.key] = _Settlement(
            settled, Deferred()
        )
        self._schedule(self._batch_delay_s)
        return settlement.stored

    def _schedule(self, delay_s):
        if self._scheduled is None and not self._is_writing:
            next_s = self._last_write_s + self.interval_s
            delay_s = max(delay_s, next_s - self._clock.seconds())
            self._scheduled = self._clock.callLater(delay_s, self._flush)

    def _flush(self):
        self._scheduled = None
        self._is_writing = True
        self._last_write_s = self._clock.seconds()
        Deferred.fromCoroutine(self._write()).addBoth(self._written)

    def _written(self, outcome):
        self._is_writing = False
        if self.unsettled:
            self._schedule(RETRY_INTERVAL_S if self._failing else self._batch_delay_s)
        return outcome

    async def _write(self):
        await self._write_settlements()
        await self._write_claims()

    async def _write_settlements(self):
        batch = list(self._settlements.values())[:MAX_CLAIMS_PER_WRITE]
        if not batch:
            return
        held_claims = [settlement.held_claim for settlement in batch]
        reply = await self._transact(
            [Comparison(held.key, held.mod_revision) for held in held_claims],
            [Put(held.key, held.claim.to_json(), held.lease) for held in held_claims],
        )
        if reply is None:
            return
        unwritten = set()
        if not reply.succeeded:
            current = {item.key: item.mod_revision for item in reply.found}
            unwritten = {
                held.key
                for held in held_claims
                if current.get(held.key) == held.mod_revision
            }
        for settlement in batch:
            key = settlement.held_claim.key
            if key not in unwritten and self._settlements.get(key) is settlement:
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
        reply = await self._transact(
            [Comparison(pending.key, pending.replaces) for pending in batch],
            [Put(p.key, p.claim.to_json(), p.lease) for p in batch],
        )
        if reply is None:
            return
        found = {item.key: item for item in reply.found}
        for pending in batch:
            if reply.succeeded:
                self._grant(pending, reply.revision)
            else:
                self._handle_conflict(pending, found.get(pending.key))

    def _next_batch(self):
        """Return the oldest claims, one per key: a transaction may write a key once."""
        batch = {}
        for pending in self._pending:
            if len(batch) == MAX_CLAIMS_PER_WRITE:
                break
            batch.setdefault(pending.key, pending)
        return list(batch.values())

    async def _transact(self, comparisons, puts):
        """Return the :class:`TxnReply` of a transaction; None without an answer."""
        self._counters.claim_writes += 1
        result = await self._store.txn(comparisons, puts)
        self._failing = result.is_err()
        return result.ok()

    async def _lease(self, retention_s):
        """Return a lease that outlasts the retention time; zero without an answer."""
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

    def _grant(self, pending, revision):
        self._pending.remove(pending)
        held_claim = HeldClaim(pending.key, pending.claim, revision, pending.lease)
        if pending.done.called:
            # The claim timed out before the store confirmed it, and the caller was told
            # that the operation has not run.
            self.settle(held_claim, ClaimState.NOT_RUN)
        else:
            pending.resolve(ClaimOutcome(held_claim))

    def _handle_conflict(self, pending, item):
        """Decide on a claim after a condition of its batch failed.

        A claim whose key is absent or may be replaced stays pending for the next batch.
        """
        if item is None:
            pending.replaces = 0
            return
        existing = _decode_claim(item.value)
        if existing.claim_id == pending.claim.claim_id:
            self._grant(pending, item.mod_revision)
        elif existing.state is ClaimState.NOT_RUN and not pending.done.called:
            pending.replaces = item.mod_revision
        else:
            self._pending.remove(pending)
            pending.resolve(ClaimOutcome(existing=existing))


def _decode_claim(value):
    try:
        return Claim.from_json(value)
    except msgspec.DecodeError:
        # Treat a claim that cannot be decoded as held by an unknown router, so that
        # its operation is never sent again.
        return Claim("", "", "", ClaimState.CLAIMED, 0)
