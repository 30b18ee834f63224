"""Election of the router that leads moves, by a lease in the platform's store."""

import secrets
from typing import Protocol

from automat import TypeMachineBuilder
from twisted.internet.defer import Deferred

from sesamearch.base.log import logger
from sesamearch.store.store import Comparison, Put

__all__ = ["LEADER_KEY", "Leadership"]

LEADER_KEY = b"/sesamearch/moves/leader"
LEASE_TTL_S = 10
RENEW_INTERVAL_S = 3.0
# A leader steps down this long before its lease expires.
LEASE_MARGIN_S = 1.0
_TOKEN_BYTES = 8


class _Inputs(Protocol):
    def won(self) -> None:
        """Record that this router created the leader key."""

    def lost(self) -> None:
        """Record that the lease expired or cannot be renewed in time."""


def _build_machine():
    builder = TypeMachineBuilder(_Inputs, Leadership)
    following = builder.state("following")
    leading = builder.state("leading")
    following.upon(_Inputs.lost).loop().returns(None)
    leading.upon(_Inputs.won).loop().returns(None)

    @following.upon(_Inputs.won).to(leading)
    def lead(inputs, leadership):
        logger.info("elected leader of moves epoch={}", leadership.epoch)

    @leading.upon(_Inputs.lost).to(following)
    def follow(inputs, leadership):
        logger.info("lost leadership of moves epoch={}", leadership.epoch)
        leadership.epoch = 0

    return builder.build()


class Leadership:
    """Acquires and renews the leader lease while this router is a candidate.

    The epoch of a leader is the store revision of the leader key. Every write of a
    leader is conditional on it, so the store itself rejects the writes of a leader that
    was paused until its lease expired.

    Parameters
    ----------
    store : Store
    name : str
    clock : twisted.internet.interfaces.IReactorTime

    Attributes
    ----------
    epoch : int
        Fencing token; zero while this router is not the leader.
    """

    __slots__ = (
        "_clock",
        "_expires_s",
        "_lease",
        "_name",
        "_state_machine",
        "_store",
        "epoch",
    )

    def __init__(self, store, name, clock):
        self._store = store
        self._name = name
        self._clock = clock
        self._lease = 0
        self._expires_s = 0.0
        self.epoch = 0
        self._state_machine = _machine(self)

    @property
    def is_leading(self):
        """Bool : whether the lease is still valid by this process's clock."""
        if self.epoch and self._clock.seconds() >= self._expires_s - LEASE_MARGIN_S:
            self._state_machine.lost()
        return self.epoch != 0

    def renew(self, is_candidate):
        """Renew the lease, or try to acquire it if `is_candidate`; call regularly."""
        return Deferred.fromCoroutine(self._renew(is_candidate))

    async def _renew(self, is_candidate):
        begun_s = self._clock.seconds()
        if self.is_leading:
            renewed = await self._store.renew_lease(self._lease)
            if renewed.is_ok() and renewed.unwrap():
                self._expires_s = begun_s + LEASE_TTL_S
            elif renewed.is_ok():
                self._state_machine.lost()
        elif is_candidate:
            await self._campaign(begun_s)

    async def _campaign(self, begun_s):
        read = await self._store.range(LEADER_KEY)
        if read.is_err() or read.unwrap().items:
            return
        granted = await self._store.grant_lease(LEASE_TTL_S)
        if granted.is_err():
            return
        value = f"{self._name} {secrets.token_hex(_TOKEN_BYTES)}".encode()
        put = Put(LEADER_KEY, value, granted.unwrap())
        await self._store.txn([Comparison(LEADER_KEY, 0)], [put])
        # Read the key back whatever the result was: the write may have succeeded and
        # only its answer been lost.
        read = await self._store.range(LEADER_KEY)
        for item in read.unwrap().items if read.is_ok() else ():
            if item.value == value:
                self._lease = granted.unwrap()
                self._expires_s = begun_s + LEASE_TTL_S
                self.epoch = item.mod_revision
                self._state_machine.won()


_machine = _build_machine()
