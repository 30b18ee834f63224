"""Rollout orders and states in the platform's store: decoding and writing."""

import msgspec
from result import Err, Ok
from twisted.internet.defer import Deferred

from sesamearch.base.decode import decode_foreign
from sesamearch.base.errors import ErrorKind
from sesamearch.platform.standings import read_standings, write_standings
from sesamearch.rollout.order import RolloutOrder, RolloutOutcome, RolloutState
from sesamearch.rollout.register import RolloutRegister
from sesamearch.store.store import Comparison, Put, RangeReply, StoreRevision

__all__ = [
    "ORDER_PREFIX",
    "STATUS_PREFIX",
    "PlatformRolloutRegister",
    "decode_order",
    "decode_outcome",
]

ORDER_PREFIX = b"op/rollout/"
STATUS_PREFIX = b"status/rollout/"
MAX_WRITE_ATTEMPTS = 3


class _Order(msgspec.Struct, rename="kebab"):
    service: str
    # Version to move the service to.
    target: str
    duration_s: float


class _Status(msgspec.Struct):
    state: str
    target: str


_decode_order = msgspec.json.Decoder(_Order, strict=False).decode
_decode_status = msgspec.json.Decoder(_Status).decode


def decode_order(value, revision):
    """Decode a rollout order.

    Parameters
    ----------
    value : bytes
    revision : StoreRevision
        Revision of the entry.

    Returns
    -------
    result.Result[RolloutOrder, str]
    """
    return decode_foreign(_decode_order, value).map(
        lambda order: RolloutOrder(
            order.service, order.target, order.duration_s, revision
        )
    )


def decode_outcome(key, value, revision):
    """Decode a rollout state; `key` ends in the name of the service."""

    def decode(data):
        service = key.removeprefix(STATUS_PREFIX).decode()
        status = _decode_status(data)
        state = RolloutState(status.state)
        return RolloutOutcome(service, status.target, state, revision)

    return decode_foreign(decode, value)


class PlatformRolloutRegister(RolloutRegister):
    """Stores rollout states by conditional writes, so that an order ends only once.

    Parameters
    ----------
    store : Store
    """

    def __init__(self, store):
        self._store = store

    def begin(self, order):
        """Record that an order is in progress; see ``RolloutRegister``."""
        write = self._write(order, RolloutState.IN_PROGRESS, _is_any)
        return Deferred.fromCoroutine(write)

    def end(self, order, state):
        """Record a final state; see ``RolloutRegister``."""
        return Deferred.fromCoroutine(self._write(order, state, _is_final))

    def restore(self, order, state):
        """Record again a state that was acted on; see ``RolloutRegister``."""
        write = self._write(order, state, lambda outcome: outcome.state is state)
        return Deferred.fromCoroutine(write)

    def read_standings(self):
        """Read the standings of all versions; see ``RolloutRegister``."""
        return Deferred.fromCoroutine(read_standings(self._store))

    def write_standings(self, service, standings):
        """Add standings to those that are stored; see ``RolloutRegister``."""
        return Deferred.fromCoroutine(write_standings(self._store, service, standings))

    async def _write(self, order, state, is_sufficient):
        """Write `state` unless the stored outcome of the order is sufficient."""
        key = STATUS_PREFIX + order.service.encode()
        value = msgspec.json.encode(_Status(state.value, order.target))
        # A later order of the service must not get the state of this one. In another
        # era the stored order has another revision.
        check = Comparison(_order_key(order), order.revision.number)
        is_withdrawn = False
        for _ in range(MAX_WRITE_ATTEMPTS):
            read = await self._read(key)
            if read.is_err():
                return read
            reply = read.unwrap()
            item = reply.items[0] if reply.items else None
            outcome = _outcome_of(item, reply.era, order)
            if outcome is not None and is_sufficient(outcome):
                return Ok(outcome)
            known_revision = item.mod_revision if item else 0
            # The next read shows whether the write took effect, even if the response
            # was lost.
            checks = [Comparison(key, known_revision)]
            if reply.era == order.revision.era and not is_withdrawn:
                checks.append(check)
            written = await self._store.txn(checks, [Put(key, value)])
            is_withdrawn |= _is_withdrawn(written, order)
        return Err(ErrorKind.STORE_UNAVAILABLE)

    async def _read(self, key):
        result = await self._store.range(key)
        if result.is_err():
            return result
        reply = result.unwrap()
        items = [item for item in reply.items if item.key == key]
        return Ok(RangeReply(reply.revision, items, reply.era))


def _order_key(order):
    return ORDER_PREFIX + order.service.encode()


def _is_withdrawn(written, order):
    """Return whether a write was refused though there is no later order."""
    if written.is_err() or written.unwrap().succeeded:
        return False
    return all(item.key != _order_key(order) for item in written.unwrap().found)


def _outcome_of(item, era, order):
    """Return the outcome that an entry states for this order, or None.

    An entry that is older than the order belongs to an earlier order. In a later era
    than the order's it may be from either, and it is not decided anew.
    """
    if item is None:
        return None
    revision = StoreRevision(era, item.mod_revision)
    if revision < order.revision:
        return None
    decoded = decode_outcome(item.key, item.value, revision)
    if decoded.is_err() or decoded.unwrap().target != order.target:
        return None
    return decoded.unwrap()


def _is_any(outcome):
    return True


def _is_final(outcome):
    return outcome.state is not RolloutState.IN_PROGRESS
