"""Orders of rollouts and their states, as the platform's store holds them."""

import msgspec
from result import Err, Ok
from twisted.internet.defer import Deferred

from sesamearch.base.errors import ErrorKind
from sesamearch.rollout.controller import RolloutRegister
from sesamearch.rollout.order import RolloutOrder, RolloutOutcome, RolloutState
from sesamearch.store.store import Comparison, Put

__all__ = [
    "ORDER_PREFIX",
    "STATUS_PREFIX",
    "PlatformRolloutRegister",
    "decode_order",
    "decode_outcome",
]

ORDER_PREFIX = b"op/rollout/"
STATUS_PREFIX = b"status/rollout/"
MAX_WRITES = 3


class _Order(msgspec.Struct, rename="kebab"):
    service: str
    # A version, not an endpoint.
    target: str
    duration_s: float


class _Status(msgspec.Struct):
    state: str
    target: str


_decode_order = msgspec.json.Decoder(_Order, strict=False).decode
_decode_status = msgspec.json.Decoder(_Status).decode


def decode_order(value, revision):
    """Decode an order.

    Parameters
    ----------
    value : bytes
    revision : int
        Of the entry.

    Returns
    -------
    result.Result[RolloutOrder, str]
    """
    try:
        order = _decode_order(value)
    except msgspec.DecodeError as error:
        return Err(str(error))
    return Ok(RolloutOrder(order.service, order.target, order.duration_s, revision))


def decode_outcome(key, value, revision):
    """Decode a state; see :func:`decode_order`."""
    try:
        service = key.removeprefix(STATUS_PREFIX).decode()
        status = _decode_status(value)
        state = RolloutState(status.state)
    except (msgspec.DecodeError, ValueError) as error:
        return Err(str(error))
    return Ok(RolloutOutcome(service, status.target, state, revision))


class PlatformRolloutRegister(RolloutRegister):
    """Writes states under conditions: the store takes one end of an order only.

    Parameters
    ----------
    store : Store
    """

    def __init__(self, store):
        self._store = store

    def begin(self, order):
        """Write that an order is in progress; see ``RolloutRegister``."""
        write = self._write(order, RolloutState.IN_PROGRESS, _stands)
        return Deferred.fromCoroutine(write)

    def end(self, order, state):
        """Write a final state; see ``RolloutRegister``."""
        return Deferred.fromCoroutine(self._write(order, state, _is_final))

    async def _write(self, order, state, is_enough):
        """Write `state` unless what stands for the order is enough."""
        key = STATUS_PREFIX + order.service.encode()
        value = msgspec.json.encode(_Status(state.value, order.target))
        for _ in range(MAX_WRITES):
            read = await self._read(key)
            if read.is_err():
                return read
            item = read.unwrap()
            outcome = _outcome_of(item, order)
            if outcome is not None and is_enough(outcome):
                return Ok(outcome)
            known_revision = item.mod_revision if item else 0
            # A lost answer is settled by the next reading.
            await self._store.txn([Comparison(key, known_revision)], [Put(key, value)])
        return Err(ErrorKind.STORE_UNAVAILABLE)

    async def _read(self, key):
        result = await self._store.range(key)
        if result.is_err():
            return result
        items = [item for item in result.unwrap().items if item.key == key]
        return Ok(items[0] if items else None)


def _outcome_of(item, order):
    """Return the outcome that an entry tells of this order, or None."""
    if item is None or item.mod_revision < order.revision:
        return None
    decoded = decode_outcome(item.key, item.value, item.mod_revision)
    if decoded.is_err() or decoded.unwrap().target != order.target:
        return None
    return decoded.unwrap()


def _stands(outcome):
    return True


def _is_final(outcome):
    return outcome.state is not RolloutState.IN_PROGRESS
