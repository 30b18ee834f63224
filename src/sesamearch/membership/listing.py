"""The list of endpoints, as received from the store or from another router."""

import hashlib

import msgspec

from sesamearch.base.log import logger
from sesamearch.base.record import EndpointChanged, StoreRestored
from sesamearch.configuration.blackboard import Endpoint
from sesamearch.membership.departures import Departures
from sesamearch.store.store import StoreRevision

__all__ = ["EndpointListing"]

# Endpoints whose entries expired during a store outage write them again within this
# time after the outage.
REREGISTRATION_GRACE_S = 2.3
# Endpoints whose entries expired are kept no longer than this, however many outages
# follow each other.
MAX_LAPSE_S = 10.0
# A restarted endpoint appears in the store's list within this time, unless there is an
# outage. After this time an endpoint that is still unlisted is dropped, but not during
# a store outage or within REREGISTRATION_GRACE_S after it.
UNLISTED_TIMEOUT_S = 4.0
EXPIRY_INTERVAL_S = 1.0


class _Unlisted(msgspec.Struct):
    endpoint: Endpoint
    until_s: float


class _Lapsed(msgspec.Struct):
    endpoint: Endpoint
    until_s: float


class EndpointListing:
    """Keeps the endpoints on the blackboard equal to the newest known list.

    Parameters
    ----------
    board : Blackboard
    clock : twisted.internet.interfaces.IReactorTime
    store_regained_s : callable
        Returns the time at which the store last became reachable again, on this
        process's clock.
    is_store_reachable : callable, optional
        Returns whether the store answered the last call.
    leaving : LeavingTracker, optional
        Endpoints that said that they leave, which the list may not say.

    Attributes
    ----------
    on_change : callable or None
        Called with the digest of the previous list, the new revision, the added or
        changed endpoints and the names of the removed ones.
    """

    def __init__(
        self,
        board,
        clock,
        store_regained_s,
        is_store_reachable=lambda: True,
        leaving=None,
    ):
        self._is_store_reachable = is_store_reachable
        self._leaving = leaving
        if leaving is not None:
            leaving.on_change = self._write
        self._board = board
        self._clock = clock
        self._store_regained_s = store_regained_s
        self.on_change = None
        self._listed = {}
        self._lapsed = {}
        self._unlisted = {}
        self._revision = StoreRevision()
        self._restored_s = float("-inf")
        self._departures = Departures(clock)
        self._departures_expiry = None
        self._digest = ""
        self._expiry = None

    def apply_snapshot(self, endpoints, revision):
        """Replace the list with a newer one.

        Parameters
        ----------
        endpoints : dict from str to Endpoint
        revision : StoreRevision
            Revision of the list. A list older than the current one is ignored.
        """
        if revision < self._revision:
            return
        if revision.era > self._revision.era and self._revision.number:
            self._note_restored(endpoints, revision)
        self._revision = revision
        if endpoints == self._listed:
            return
        self._log_changes(endpoints)
        self._keep_lapsed(endpoints)
        self._departures.note_listed(endpoints)
        before, base_digest = self._listed, self._digest
        self._listed = endpoints
        self._digest = _digest(endpoints)
        self._drop_unlisted()
        self._write()
        if self.on_change is not None:
            changed = [e for n, e in endpoints.items() if before.get(n) != e]
            removed = list(before.keys() - endpoints.keys())
            self.on_change(base_digest, revision, changed, removed)

    def _note_restored(self, endpoints, revision):
        """Begin a new era: endpoints have time to write again what the copy lacks."""
        before = self._revision.number
        logger.warning(StoreRestored(revision.era, revision.number, before))
        self._restored_s = self._clock.seconds()
        self._departures.note_restored(self._listed, endpoints)
        # Even an equal list has to be corrected.
        self._write()
        if self._departures_expiry is None:
            self._schedule_departures_expiry()

    def _expire_departures(self):
        """Write the list again, since a correction may have ended by itself."""
        self._departures_expiry = None
        self._write()
        self._schedule_departures_expiry()

    def _schedule_departures_expiry(self):
        delay_s = self._departures.deadline_s - self._clock.seconds()
        if 0 < delay_s < float("inf"):
            self._departures_expiry = self._clock.callLater(
                delay_s, self._expire_departures
            )

    @property
    def _grace_end_s(self):
        """Float : until when endpoints may write entries that the store lost."""
        return max(self._store_regained_s(), self._restored_s) + REREGISTRATION_GRACE_S

    def add_unlisted(self, endpoint):
        """Add a restarted endpoint before the store lists it under its new name.

        The endpoint is kept until the store lists it, or has not listed it in time.
        """
        if endpoint.name in self._listed:
            return
        until_s = self._clock.seconds() + UNLISTED_TIMEOUT_S
        if not self._unlisted:
            self._clock.callLater(UNLISTED_TIMEOUT_S, self._expire_unlisted)
        self._unlisted[endpoint.name] = _Unlisted(endpoint, until_s)
        self._log(endpoint, "unlisted")
        self._write()

    def _expire_unlisted(self):
        known = len(self._unlisted)
        self._drop_unlisted()
        if len(self._unlisted) < known:
            self._write()
        if self._unlisted:
            self._clock.callLater(EXPIRY_INTERVAL_S, self._expire_unlisted)

    def _drop_unlisted(self):
        """Drop added endpoints that the store now lists, or has not listed in time."""
        now_s = self._clock.seconds()
        is_late = self._is_store_reachable() and now_s >= self._grace_end_s
        self._unlisted = {
            name: each
            for name, each in self._unlisted.items()
            if name not in self._listed and not (is_late and now_s >= each.until_s)
        }

    def _log_changes(self, endpoints):
        for name, endpoint in endpoints.items():
            known = self._listed.get(name)
            if known is None or known.leaving != endpoint.leaving:
                self._log(endpoint, "leaving" if endpoint.leaving else "ready")
        for name in self._listed.keys() - endpoints.keys():
            self._log(self._listed[name], "gone")

    def _log(self, endpoint, state):
        logger.info(
            EndpointChanged(
                endpoint.name, endpoint.service, state, self._revision.number
            )
        )

    def _keep_lapsed(self, endpoints):
        """Keep endpoints that expired in a store outage, to let them re-register."""
        before = self._departures.correct(self._listed)
        now = self._departures.correct(endpoints)
        for name in now.keys() & self._lapsed.keys():
            del self._lapsed[name]
        is_in_grace = self._clock.seconds() < self._grace_end_s
        until_s = self._clock.seconds() + MAX_LAPSE_S
        for name, endpoint in self._listed.items():
            listed = endpoints.get(name)
            if listed is not None and _is_same_process(listed, endpoint):
                continue
            has_left = name not in before or before[name].leaving
            if name in now or has_left or not is_in_grace:
                self._departures.note_gone(endpoint)
            else:
                self._lapsed[name] = _Lapsed(endpoint, until_s)
                self._log(endpoint, "lapsed")
        if self._lapsed and self._expiry is None:
            delay_s = max(0.0, self._grace_end_s - self._clock.seconds())
            self._expiry = self._clock.callLater(delay_s, self._drop_lapsed)

    def _drop_lapsed(self):
        """Drop the endpoints that had time to re-register since the last outage."""
        self._expiry = None
        now_s = self._clock.seconds()
        grace_s = self._grace_end_s - now_s
        if not self._is_store_reachable():
            grace_s = REREGISTRATION_GRACE_S
        kept = {}
        for name, lapsed in self._lapsed.items():
            if grace_s > 0 and now_s < lapsed.until_s:
                kept[name] = lapsed
            else:
                self._departures.note_gone(lapsed.endpoint)
                self._log(lapsed.endpoint, "gone")
        if len(kept) < len(self._lapsed):
            self._lapsed = kept
            self._write()
        if kept:
            self._expiry = self._clock.callLater(grace_s, self._drop_lapsed)

    def _write(self):
        unlisted = {name: each.endpoint for name, each in self._unlisted.items()}
        lapsed = {name: each.endpoint for name, each in self._lapsed.items()}
        listed = self._departures.correct(self._listed)
        endpoints = {**unlisted, **lapsed, **listed}
        if self._leaving is not None:
            endpoints = self._leaving.apply(endpoints)
        self._board.endpoints.write(endpoints)

    # Exchange with other routers.

    def state(self):
        """Return the :class:`StoreRevision` and the digest of the list."""
        return self._revision, self._digest

    def listed(self):
        """Return the endpoints as the store listed them."""
        return list(self._listed.values())

    def apply_changes(self, base_digest, revision, changed, removed):
        """Apply another router's changes if they are based on the same list.

        Parameters
        ----------
        base_digest : str
            Digest of the list that the changes are based on.
        revision : StoreRevision
            Revision of the changed list.
        changed : list of Endpoint
        removed : list of str

        Returns
        -------
        bool
            False if this router has another list or a newer revision. A router that
            lags behind requests the complete list after one of the next heartbeats.
        """
        if base_digest != self._digest or revision <= self._revision:
            return False
        endpoints = {n: e for n, e in self._listed.items() if n not in removed}
        endpoints.update((endpoint.name, endpoint) for endpoint in changed)
        self.apply_snapshot(endpoints, revision)
        return True


def _is_same_process(one, other):
    return one.address == other.address and one.born_ms == other.born_ms


def _digest(endpoints):
    content = msgspec.json.encode([endpoints[name] for name in sorted(endpoints)])
    return hashlib.blake2b(content, digest_size=8).hexdigest()
