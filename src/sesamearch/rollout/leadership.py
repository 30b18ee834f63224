"""One leader for the moves, by a lease in the platform's store."""

import secrets
from typing import Protocol

from automat import TypeMachineBuilder
from twisted.internet.defer import Deferred

from sesamearch.base.log import logger
from sesamearch.store.store import Comparison, Put

__all__ = ["LEADER_KEY", "Leadership"]

LEADER_KEY = b"/sesamearch/moves/leader"
TTL_S = 10
RENEW_INTERVAL_S = 3.0
MARGIN_S = 1.0
_TOKEN_BYTES = 8


class _Inputs(Protocol):
    def won(self) -> None:
        """Note that the key was created."""

    def lost(self) -> None:
        """Note that the lease lapsed or cannot be renewed in time."""


def _build_machine():
    builder = TypeMachineBuilder(_Inputs, Leadership)
    following = builder.state("following")
    leading = builder.state("leading")
    following.upon(_Inputs.lost).loop().returns(None)
    leading.upon(_Inputs.won).loop().returns(None)

    @following.upon(_Inputs.won).to(leading)
    def lead(inputs, leadership):
        logger.info("leading moves epoch={}", leadership.epoch)

    @leading.upon(_Inputs.lost).to(following)
    def follow(inputs, leadership):
        logger.info("no longer leading moves epoch={}", leadership.epoch)
        leadership.epoch = 0

    return builder.build()


class Leadership:
    """Hold the leader's key while this router is a candidate.

    Every write of a leader compares the key's revision, its epoch: what a paused
    leader sends after its lease has lapsed is refused by the store itself.

    Parameters
    ----------
    store : Store
    name : str
    clock : twisted.internet.interfaces.IReactorTime

    Attributes
    ----------
    epoch : int
        Fencing number, zero while not leading.
    """

    __slots__ = ("_clock", "_lease", "_life", "_name", "_store", "_until_s", "epoch")

    def __init__(self, store, name, clock):
        self._store = store
        self._name = name
        self._clock = clock
        self._lease = 0
        self._until_s = 0.0
        self.epoch = 0
        self._life = _machine(self)

    @property
    def is_leading(self):
        """Bool : whether the lease still holds by this process's clock."""
        if self.epoch and self._clock.seconds() >= self._until_s - MARGIN_S:
            self._life.lost()
        return self.epoch != 0

    def renew(self, is_candidate):
        """Renew the lease, or try to win it if `is_candidate`; call regularly."""
        return Deferred.fromCoroutine(self._renew(is_candidate))

    async def _renew(self, is_candidate):
        begun_s = self._clock.seconds()
        if self.is_leading:
            kept = await self._store.renew_lease(self._lease)
            if kept.is_ok() and kept.unwrap():
                self._until_s = begun_s + TTL_S
            elif kept.is_ok():
                self._life.lost()
        elif is_candidate:
            await self._campaign(begun_s)

    async def _campaign(self, begun_s):
        read = await self._store.range(LEADER_KEY)
        if read.is_err() or read.unwrap().items:
            return
        granted = await self._store.grant_lease(TTL_S)
        if granted.is_err():
            return
        value = f"{self._name} {secrets.token_hex(_TOKEN_BYTES)}".encode()
        put = Put(LEADER_KEY, value, granted.unwrap())
        await self._store.txn([Comparison(LEADER_KEY, 0)], [put])
        # Read back whatever the answer was: it may have been lost.
        read = await self._store.range(LEADER_KEY)
        for item in read.unwrap().items if read.is_ok() else ():
            if item.value == value:
                self._lease = granted.unwrap()
                self._until_s = begun_s + TTL_S
                self.epoch = item.mod_revision
                self._life.won()


_machine = _build_machine()
