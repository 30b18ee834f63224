"""The list of endpoints, from the store or from another router."""

import hashlib

import msgspec

from sesamearch.base.log import logger
from sesamearch.base.record import EndpointChanged
from sesamearch.membership.message import (
    SCHEMA_VERSION,
    EndpointsNews,
    EndpointsState,
    EndpointsWanted,
)

__all__ = ["EndpointListing"]

# Entries that lapse in an outage of the store are written anew after its return.
RETURN_GRACE_S = 2.3
# Watches tell all routers nearly at once: only one that stays behind asks.
BEHIND_S = 0.4


class EndpointListing:
    """Keeps the blackboard's endpoints at the newest list that is known.

    Parameters
    ----------
    board : Blackboard
    clock : twisted.internet.interfaces.IReactorTime
    store_regained_s : callable
        Gives when the store last came back, on this process's clock.
    address : str
        Of this router's peer link.
    """

    def __init__(self, board, clock, store_regained_s, address):
        self._board = board
        self._clock = clock
        self._store_regained_s = store_regained_s
        self._address = address
        self._peers = None
        self._listed = {}
        self._kept = {}
        self._revision = 0
        self._digest = ""
        self._behind_since_s = None
        self._expiry = None

    def join(self, peers):
        """Exchange lists through a :class:`PeerLink`."""
        self._peers = peers
        peers.handle(EndpointsState, self._take_state)
        peers.handle(EndpointsWanted, self._take_wanted)
        peers.handle(EndpointsNews, self._take_news)

    def take(self, endpoints, revision):
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
        self._behind_since_s = None
        if endpoints == self._listed:
            return
        self._note_changes(endpoints)
        self._keep_lapsed(endpoints)
        self._listed = endpoints
        self._digest = _digest(endpoints)
        self._write()

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
        self._board.endpoints.write({**self._kept, **self._listed})

    # Among routers.

    def tell(self):
        """Tell the other routers which list this one has."""
        if self._peers is not None and self._revision:
            state = EndpointsState(
                SCHEMA_VERSION, self._address, self._revision, self._digest
            )
            self._peers.send_to_all(state)

    def _take_state(self, message):
        if message.digest == self._digest or message.revision <= self._revision:
            return
        now_s = self._clock.seconds()
        if self._behind_since_s is None:
            self._behind_since_s = now_s
        elif now_s - self._behind_since_s >= BEHIND_S:
            self._behind_since_s = now_s
            wanted = EndpointsWanted(SCHEMA_VERSION, self._address, self._revision)
            self._peers.send_to_address(message.address, wanted)

    def _take_wanted(self, message):
        if self._revision > message.revision:
            news = EndpointsNews(
                SCHEMA_VERSION, self._revision, list(self._listed.values())
            )
            self._peers.send_to_address(message.address, news)

    def _take_news(self, message):
        endpoints = {endpoint.name: endpoint for endpoint in message.endpoints}
        self.take(endpoints, message.revision)


def _digest(endpoints):
    content = msgspec.json.encode([endpoints[name] for name in sorted(endpoints)])
    return hashlib.blake2b(content, digest_size=8).hexdigest()
