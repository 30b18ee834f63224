"""The list of endpoints, from the store or from another router."""

import hashlib

import msgspec

from sesamearch.base.log import logger
from sesamearch.base.record import EndpointChanged
from sesamearch.configuration.blackboard import Endpoint

__all__ = ["EndpointListing"]

# Entries that lapse in an outage of the store are written anew after its return.
RETURN_GRACE_S = 2.3
# While the store works, an endpoint that is back is listed sooner than this.
UNLISTED_S = 4.0
EXPIRY_INTERVAL_S = 1.0


class _Unlisted(msgspec.Struct):
    endpoint: Endpoint
    until_s: float


class EndpointListing:
    """Keeps the blackboard's endpoints at the newest list that is known.

    Parameters
    ----------
    board : Blackboard
    clock : twisted.internet.interfaces.IReactorTime
    store_regained_s : callable
        Gives when the store last came back, on this process's clock.
    is_store_reachable : callable, optional
        Gives whether the store answered the last call.

    Attributes
    ----------
    on_change : callable or None
        Called with the digest of the list before, the revision, the changed
        endpoints and the names that are gone.
    """

    def __init__(self, board, clock, store_regained_s, is_store_reachable=lambda: True):
        self._is_store_reachable = is_store_reachable
        self._board = board
        self._clock = clock
        self._store_regained_s = store_regained_s
        self.on_change = None
        self._listed = {}
        self._kept = {}
        self._unlisted = {}
        self._revision = 0
        self._digest = ""
        self._expiry = None

    def apply_snapshot(self, endpoints, revision):
        """Take a list.

        Parameters
        ----------
        endpoints : dict from str to Endpoint
        revision : int
            Store revision of the list; an older one than is known is left out.
        """
        if revision < self._revision:
            return
        self._revision = revision
        if endpoints == self._listed:
            return
        self._note_changes(endpoints)
        self._keep_lapsed(endpoints)
        before, base_digest = self._listed, self._digest
        self._listed = endpoints
        self._digest = _digest(endpoints)
        self._drop_unlisted()
        self._write()
        if self.on_change is not None:
            changed = [e for n, e in endpoints.items() if before.get(n) != e]
            gone = list(before.keys() - endpoints.keys())
            self.on_change(base_digest, revision, changed, gone)

    def add_unlisted(self, endpoint):
        """Add an endpoint that is back before the store lists it.

        It stays until the store had time to list it.
        """
        if endpoint.name in self._listed:
            return
        until_s = self._clock.seconds() + UNLISTED_S
        if not self._unlisted:
            self._clock.callLater(UNLISTED_S, self._expire_unlisted)
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
        """Drop what is listed now, and what the store should have listed."""
        now_s = self._clock.seconds()
        return_s = self._store_regained_s() + RETURN_GRACE_S
        is_late = self._is_store_reachable() and now_s >= return_s
        self._unlisted = {
            name: each
            for name, each in self._unlisted.items()
            if name not in self._listed and not (is_late and now_s >= each.until_s)
        }

    def _note_changes(self, endpoints):
        for name, endpoint in endpoints.items():
            known = self._listed.get(name)
            if known is None or known.leaving != endpoint.leaving:
                self._log(endpoint, "leaving" if endpoint.leaving else "ready")
        for name in self._listed.keys() - endpoints.keys():
            self._log(self._listed[name], "gone")

    def _log(self, endpoint, state):
        logger.info(
            EndpointChanged(endpoint.name, endpoint.service, state, self._revision)
        )

    def _keep_lapsed(self, endpoints):
        """Keep what lapsed just after an outage until it had time to return."""
        until_s = self._store_regained_s() + RETURN_GRACE_S
        for name in endpoints.keys() & self._kept.keys():
            del self._kept[name]
        if self._clock.seconds() >= until_s:
            return
        for name in self._listed.keys() - endpoints.keys():
            if not self._listed[name].leaving:
                self._kept[name] = self._listed[name]
                self._log(self._listed[name], "lapsed")
        if self._kept and self._expiry is None:
            delay_s = until_s - self._clock.seconds()
            self._expiry = self._clock.callLater(delay_s, self._drop_lapsed)

    def _drop_lapsed(self):
        self._expiry = None
        for endpoint in self._kept.values():
            self._log(endpoint, "gone")
        self._kept = {}
        self._write()

    def _write(self):
        unlisted = {name: each.endpoint for name, each in self._unlisted.items()}
        self._board.endpoints.write({**unlisted, **self._kept, **self._listed})

    # Among routers.

    def state(self):
        """Return the store revision and the digest of the list."""
        return self._revision, self._digest

    def listed(self):
        """Return the list of endpoints as the store had it."""
        return list(self._listed.values())

    def apply(self, base_digest, revision, changed, gone):
        """Take what changed in a list that this router has too.

        Parameters
        ----------
        base_digest : str
            Of the list before.
        revision : int
        changed : list of Endpoint
        gone : list of str

        Returns
        -------
        bool
            False if this router has another list: the beats will tell.
        """
        if base_digest != self._digest or revision <= self._revision:
            return False
        endpoints = {n: e for n, e in self._listed.items() if n not in gone}
        endpoints.update((endpoint.name, endpoint) for endpoint in changed)
        self.apply_snapshot(endpoints, revision)
        return True


def _digest(endpoints):
    content = msgspec.json.encode([endpoints[name] for name in sorted(endpoints)])
    return hashlib.blake2b(content, digest_size=8).hexdigest()
