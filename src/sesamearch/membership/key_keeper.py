"""Keeps the fleet on one peer key though the store may lose it with a restore."""

from twisted.internet.defer import Deferred

from sesamearch.base.errors import ErrorKind
from sesamearch.base.log import logger
from sesamearch.membership.fleet_keys import read_fleet_keys, restore_fleet_keys

__all__ = ["KeyKeeper"]

# Routers that follow the store write the key one after another, so that usually only
# the first one writes.
MAX_RESTORE_DELAY_S = 0.5
RETRY_DELAY_S = 1.0
# A router that started on a restored store may have created another key before the
# fleet wrote its own again. By the first time, the store has the fleet's key, and a
# stale read returns it.
MIN_CHECK_DELAY_S = 8.0
MAX_CHECK_DELAY_S = 16.0


class KeyKeeper:
    """Writes the fleet's key again after a restore, and takes the fleet's key.

    Parameters
    ----------
    store : Store
    link : FleetLink
    clock : twisted.internet.interfaces.IReactorTime
    rng : random.Random
    """

    __slots__ = ("_clock", "_link", "_random", "_store")

    def __init__(self, store, link, clock, rng):
        self._store = store
        self._link = link
        self._clock = clock
        self._random = rng

    def start(self):
        """Check once, some time after the start, that the key is the fleet's."""
        delay_s = self._random.uniform(MIN_CHECK_DELAY_S, MAX_CHECK_DELAY_S)
        self._clock.callLater(delay_s, self._run, self._check)

    def note_restored(self):
        """Write the key again, since the store may have lost it."""
        delay_s = self._random.uniform(0.0, MAX_RESTORE_DELAY_S)
        self._clock.callLater(delay_s, self._run, self._restore)

    def _run(self, work):
        Deferred.fromCoroutine(work()).addErrback(
            lambda failure: logger.error("keeping peer keys failed: {}", failure.value)
        )

    async def _check(self):
        # A store that states no era does not come back from older copies.
        if not self._store.era:
            return
        found = await read_fleet_keys(self._store, allow_stale=True)
        if found.is_ok() and found.unwrap() not in (None, self._link.keys):
            await self._keep(may_replace=False)

    async def _restore(self):
        if not self._link.must_watch_store:
            return
        # A router that hears no others cannot tell whether its key is the fleet's.
        await self._keep(may_replace=self._link.has_live_members)

    async def _keep(self, may_replace):
        kept = await restore_fleet_keys(self._store, self._link.keys, may_replace)
        while kept.is_err() and kept.unwrap_err() is ErrorKind.STORE_UNAVAILABLE:
            pause = Deferred()
            self._clock.callLater(RETRY_DELAY_S, pause.callback, None)
            await pause
            kept = await restore_fleet_keys(self._store, self._link.keys, may_replace)
        if kept.is_err():
            logger.error("cannot keep peer keys: {}", kept.unwrap_err().value)
        elif kept.unwrap() != self._link.keys:
            self._link.change_keys(kept.unwrap())
