"""Watches of the platform's store by long polling."""

from urllib.parse import quote

from sesamearch.base.log import logger
from sesamearch.base.record import StoreWatchChanged
from sesamearch.platform.store_message import StoreEvents, decode_body, decode_events
from sesamearch.store.store import Watch

__all__ = ["PlatformWatch"]

WAIT_MS = 20_000
# Time within which the store must respond after the wait has ended.
TIMEOUT_MARGIN_S = 2.0
INITIAL_RETRY_DELAY_S = 0.2
MAX_RETRY_DELAY_S = 1.0
MS_PER_S = 1000.0
OK = 200
HISTORY_GONE = 410


class PlatformWatch(Watch):
    """Sends a call that waits for changes, and a new one after each response.

    Parameters
    ----------
    store : PlatformStore
    prefix : bytes
    revision : int
        Store revision after which changes are reported.
    receiver : WatchReceiver

    Attributes
    ----------
    is_complete : bool
        Whether the store answered the last call that ended. After a call without an
        answer, changes may have been missed.
    answered_s : float
        Time of the last answer, on the store's clock; that of the start before it.
    """

    __slots__ = (
        "_call",
        "_is_stopped",
        "_path",
        "_prefix",
        "_receiver",
        "_retry",
        "_retry_delay_s",
        "_revision",
        "_store",
        "answered_s",
        "is_complete",
    )

    def __init__(self, store, prefix, revision, receiver):
        self._store = store
        self._prefix = prefix
        self._path = b"/sesamearch/kv-watch?prefix=" + quote(prefix, safe="/").encode()
        self._revision = revision
        self._receiver = receiver
        self._call = None
        self._retry = None
        self._retry_delay_s = INITIAL_RETRY_DELAY_S
        self._is_stopped = False
        self.is_complete = True
        self.answered_s = store.clock.seconds()
        self._send_call()

    def cancel(self):
        """Stop without calling the receiver again."""
        self._is_stopped = True
        self._store.remove_watch(self)
        if self._call is not None:
            self._call.cancel()
        if self._retry is not None and self._retry.active():
            self._retry.cancel()

    def end(self):
        """Stop, because the changes after its revision may never be reported."""
        self.cancel()
        self._receiver.ended()

    def restart(self):
        """Cancel the pending call, which may never get a response, and retry soon."""
        self._retry_delay_s = INITIAL_RETRY_DELAY_S
        if self._call is not None:
            self._call.cancel()

    def _send_call(self):
        if self._is_stopped:
            return
        query = b"&after=%d&wait-ms=%d" % (self._revision, WAIT_MS)
        timeout_s = WAIT_MS / MS_PER_S + TIMEOUT_MARGIN_S
        call = self._store.call(b"GET", self._path + query, timeout_s=timeout_s)
        self._call = call
        call.addCallback(self._handle_result)

    def _handle_result(self, result):
        if self._is_stopped:
            return
        status = result.unwrap().status if result.is_ok() else 0
        if status == HISTORY_GONE:
            self._is_stopped = True
            self._store.remove_watch(self)
            self._receiver.ended()
        elif status == OK and not self._store.is_outdated(result.unwrap()):
            self._handle_events(decode_body(result.unwrap().body, StoreEvents))
        else:
            failed = result.is_err()
            cause = result.unwrap_err().detail if failed else f"status {status}"
            self._set_complete(False, cause)
            self._retry_later()

    def _set_complete(self, is_complete, cause=""):
        """Note whether a call was answered; log a change."""
        now_s = self._store.clock.seconds()
        if is_complete != self.is_complete:
            self.is_complete = is_complete
            state = "regained" if is_complete else "lost"
            prefix = self._prefix.decode()
            silent_ms = round((now_s - self.answered_s) * MS_PER_S)
            changed = StoreWatchChanged(prefix, state, self._revision, silent_ms, cause)
            logger.info(changed)
        if is_complete:
            self.answered_s = now_s

    def _retry_later(self):
        self._retry = self._store.clock.callLater(self._retry_delay_s, self._send_call)
        self._retry_delay_s = min(self._retry_delay_s * 2, MAX_RETRY_DELAY_S)

    def _handle_events(self, decoded):
        if decoded.is_err():
            logger.error(
                "cannot decode watch response: {}", decoded.unwrap_err().detail
            )
            self._set_complete(False, "cannot decode")
            self._retry_later()
            return
        reply = decoded.unwrap()
        self._set_complete(True)
        self._retry_delay_s = INITIAL_RETRY_DELAY_S
        self._revision = reply.store_revision
        if not reply.events:
            self._send_call()
            return
        self._receiver.changed(decode_events(reply.events), reply.store_revision)
        if not self._is_stopped:
            delay_s = self._store.batch_delay_s
            self._retry = self._store.clock.callLater(delay_s, self._send_call)
