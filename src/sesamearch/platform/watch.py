"""Watches of the platform's store by long polling."""

from urllib.parse import quote

from sesamearch.base.log import logger
from sesamearch.base.record import StoreWatchChanged
from sesamearch.platform.store_message import StoreEvents, decode_body, decode_events
from sesamearch.store.store import Watch

__all__ = ["PlatformWatch"]

# Time within which the store must respond after the wait has ended.
MAX_ANSWER_MARGIN_S = 0.7
# After a call without an answer, the next one waits no longer, so that its answer tells
# at once what was missed. Some stores may take zero for no wait stated.
MIN_WAIT_MS = 1
INITIAL_RETRY_DELAY_S = 0.2
MAX_RETRY_DELAY_S = 1.0
MS_PER_S = 1000.0
OK = 200
HISTORY_GONE = 410


class PlatformWatch(Watch):
    """Sends a call that waits for changes, and a new one after each response.

    Answers to other calls do not show that this one still will be answered: its
    connection may have fallen silent, or the answer may be lost. So a call without an
    answer is sent again after ``store.silence_bound_s``, and waits no longer than that.

    Parameters
    ----------
    store : PlatformStore
    prefix : bytes
    revision : int
        Store revision after which changes are reported.
    receiver : WatchReceiver
    is_urgent : bool
        See ``Store.watch``.

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
        "_is_urgent",
        "_path",
        "_prefix",
        "_sent_s",
        "_silence_bound_s",
        "_receiver",
        "_retry",
        "_retry_delay_s",
        "_revision",
        "_store",
        "answered_s",
        "is_complete",
    )

    def __init__(self, store, prefix, revision, receiver, is_urgent=True):
        self._store = store
        self._is_urgent = is_urgent
        self._prefix = prefix
        self._path = b"/sesamearch/kv-watch?prefix=" + quote(prefix, safe="/").encode()
        self._revision = revision
        self._receiver = receiver
        self._call = None
        self._retry = None
        self._retry_delay_s = INITIAL_RETRY_DELAY_S
        self._is_stopped = False
        self._sent_s = float("-inf")
        self._silence_bound_s = 0.0
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

    def tighten(self):
        """Send the pending call again if its bound was looser than it now is."""
        if self._silence_bound_s > self._store.silence_bound_s(self._is_urgent):
            self.restart()

    def _send_call(self):
        if self._is_stopped:
            return
        self._sent_s = self._store.clock.seconds()
        bound_s = self._store.silence_bound_s(self._is_urgent)
        self._silence_bound_s = bound_s
        wait_s = bound_s - min(MAX_ANSWER_MARGIN_S, bound_s / 2)
        wait_ms = round(wait_s * MS_PER_S) if self.is_complete else MIN_WAIT_MS
        query = b"&after=%d&wait-ms=%d" % (self._revision, wait_ms)
        call = self._store.call(b"GET", self._path + query, timeout_s=bound_s)
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
        """Send the call again after the backoff, which its own duration counts for."""
        took_s = self._store.clock.seconds() - self._sent_s
        delay_s = max(0.0, self._retry_delay_s - took_s)
        self._retry = self._store.clock.callLater(delay_s, self._send_call)
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
