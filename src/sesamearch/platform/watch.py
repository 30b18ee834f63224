"""A watch of the platform's store: one waiting call after the other."""

from urllib.parse import quote

from sesamearch.base.log import logger
from sesamearch.platform.store_message import StoreEvents, decode_body, puts_of
from sesamearch.store.store import Watch

__all__ = ["PlatformWatch"]

WAIT_MS = 20_000
# The answer to a watch that saw nothing may be late by so much.
MARGIN_S = 2.0
# Each answered watch is a counted call: changes that come together share one.
GATHER_S = 0.2
RETRY_FIRST_S = 0.2
RETRY_LONGEST_S = 1.0
MS_PER_S = 1000.0
OK = 200
HISTORY_GONE = 410


class PlatformWatch(Watch):
    """Asks again and again for what has changed.

    Parameters
    ----------
    store : PlatformStore
    prefix : bytes
    revision : int
        Changes after it are told.
    receiver : WatchReceiver
    """

    __slots__ = (
        "_called",
        "_is_stopped",
        "_path",
        "_receiver",
        "_retry",
        "_retry_s",
        "_revision",
        "_store",
    )

    def __init__(self, store, prefix, revision, receiver):
        self._store = store
        self._path = b"/sesamearch/kv-watch?prefix=" + quote(prefix, safe="/").encode()
        self._revision = revision
        self._receiver = receiver
        self._called = None
        self._retry = None
        self._retry_s = RETRY_FIRST_S
        self._is_stopped = False
        self._ask()

    def cancel(self):
        """Stop without calling the receiver again."""
        self._is_stopped = True
        self._store.forget(self)
        if self._called is not None:
            self._called.cancel()
        if self._retry is not None and self._retry.active():
            self._retry.cancel()

    def renew(self):
        """Ask anew: an answer to the waiting call may never come."""
        self._retry_s = RETRY_FIRST_S
        if self._called is not None:
            self._called.cancel()

    def _ask(self):
        if self._is_stopped:
            return
        query = b"&after=%d&wait-ms=%d" % (self._revision, WAIT_MS)
        timeout_s = WAIT_MS / MS_PER_S + MARGIN_S
        called = self._store.call(b"GET", self._path + query, timeout_s=timeout_s)
        self._called = called
        called.addCallback(self._take)

    def _take(self, result):
        if self._is_stopped:
            return
        status = result.unwrap().status if result.is_ok() else 0
        if status == HISTORY_GONE:
            self._is_stopped = True
            self._store.forget(self)
            self._receiver.ended()
        elif status == OK:
            self._take_events(decode_body(result.unwrap().body, StoreEvents))
        else:
            self._ask_later()

    def _ask_later(self):
        self._retry = self._store.clock.callLater(self._retry_s, self._ask)
        self._retry_s = min(self._retry_s * 2, RETRY_LONGEST_S)

    def _take_events(self, decoded):
        if decoded.is_err():
            logger.error("watch unreadable: {}", decoded.unwrap_err().detail)
            self._ask_later()
            return
        reply = decoded.unwrap()
        self._retry_s = RETRY_FIRST_S
        self._revision = reply.store_revision
        if not reply.events:
            self._ask()
            return
        self._receiver.changed(puts_of(reply.events), reply.store_revision)
        if not self._is_stopped:
            self._retry = self._store.clock.callLater(GATHER_S, self._ask)
