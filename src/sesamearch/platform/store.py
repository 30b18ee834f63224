"""Client of the platform's key-value service."""

import base64
from urllib.parse import quote

import msgspec
from result import Err, Ok
from twisted.internet.defer import Deferred

from sesamearch.base.errors import ErrorKind, Problem
from sesamearch.base.log import logger
from sesamearch.base.record import Dependency
from sesamearch.platform.store_message import (
    ExpectedRevision,
    LeaseRequest,
    PutItem,
    StoreLease,
    StoreRange,
    Transaction,
    TransactionConflict,
    TransactionReply,
    decode_body,
    decode_items,
)
from sesamearch.platform.watch import PlatformWatch
from sesamearch.store.store import RangeReply, Store, TxnReply
from sesamearch.wire.endpoint import OutgoingRequest, ResponseReceiver
from sesamearch.wire.head import first_value
from sesamearch.wire.pool import ConnectionPool

__all__ = ["PlatformStore"]

CALL_TIMEOUT_S = 1.5
CONNECT_TIMEOUT_S = 0.7
PING_INTERVAL_S = 0.7
# The first watch may begin some time after the read that it goes on from, so the store
# is asked at once whether it is still there.
FIRST_PING_DELAY_S = 0.05
PING_TIMEOUT_S = 0.7
# A stale read costs a tenth of a consistent one.
STALE_OPTION = b"&stale-ok=1"
PING_PATH = b"/sesamearch/kv-key?key=sesamearch/peer-keys" + STALE_OPTION
IDLE_TIMEOUT_S = 2.0
BATCH_DELAY_S = 0.2
MAX_SILENCE_S = 2.7
# The same if a watch is not urgent, or another router watches for this one.
RELAXED_SILENCE_S = 21.0
# A page of keys or a list of events is at most some MB in base64.
MAX_RESPONSE_BYTES = 16 << 20
MS_PER_S = 1000.0
MAX_ERA_DIGITS = 18
OK = 200
NOT_FOUND = 404
CONFLICT = 412
REFUSALS = (429, 503)
_CANCELLED = "cancelled"
_JSON = (b"Content-Type", b"application/json")
_ERA = b"store-era"


class _Response(msgspec.Struct):
    status: int
    body: bytes
    # Number of the store's returns from an older copy, None if it is not stated.
    era: int | None = None


def _era_of(headers):
    text = (first_value(headers, _ERA) or b"").strip()
    return int(text) if text.isdigit() and len(text) <= MAX_ERA_DIGITS else None


class _Call(ResponseReceiver):
    """Collects the response to one call."""

    __slots__ = ("_body", "_head", "done", "pending_request")

    def __init__(self):
        self.done = Deferred(self._cancel)
        self.pending_request = None
        self._head = None
        self._body = bytearray()

    def _resolve(self, result):
        done, self.done = self.done, None
        if done is not None:
            done.callback(result)

    def matches_request(self, head):
        return True

    def began(self, head):
        self._head = head

    def received(self, data):
        self._body += data
        if len(self._body) > MAX_RESPONSE_BYTES:
            self.fail("response too large")

    def ended(self):
        era = _era_of(self._head.headers)
        self._resolve(Ok(_Response(self._head.status, bytes(self._body), era)))

    def lost(self, loss):
        self.fail(loss.value)

    def _cancel(self, done):
        self.fail(_CANCELLED)

    def fail(self, detail):
        """Cancel the request if it is pending, and return an error."""
        if self.pending_request is not None:
            self.pending_request.cancel()
        self._resolve(Err(Problem(ErrorKind.STORE_UNAVAILABLE, detail)))


class PlatformStore(Store):
    """Implements ``Store`` with HTTP calls of the platform's key-value service.

    Parameters
    ----------
    reactor : twisted.internet.interfaces.IReactorTCP
    address : str
        ``ip:port``.
    batch_delay_s : float
        Time from a watch's response to its next call. The platform counts each call,
        and one response then reports all changes that occur shortly after each other.
    max_silence_s : float
        Time after which an urgent watch whose call is not answered sends it again, and
        may have missed changes until then. Each such watch costs one call in less than
        that time.

    Attributes
    ----------
    clock : twisted.internet.interfaces.IReactorTime
    is_reachable : bool
        Whether the store serves calls: false after a refusal or an unanswered ping,
        until the next call is served.
    regained_s : float
        Time of the store's last recovery from an outage, on `clock`; negative
        infinity if there was none.
    confirmed_s : float
        Time at which the last call was sent that the store served, on `clock`; negative
        infinity before the first one.
    calls : int
        Number of calls made; the platform meters each call.
    era : int
        Highest number of the store's returns from an older copy that a response
        stated; zero before the first one, and for a store that states none.
    on_restored : callable
        Called without arguments when the era rises, before the watches end.
    """

    def __init__(
        self,
        reactor,
        address,
        batch_delay_s=BATCH_DELAY_S,
        max_silence_s=MAX_SILENCE_S,
    ):
        self.clock = reactor
        self.batch_delay_s = batch_delay_s
        self.max_silence_s = max_silence_s
        self.is_reachable = True
        self.regained_s = float("-inf")
        self.confirmed_s = float("-inf")
        self.calls = 0
        self.era = 0
        self.on_restored = lambda: None
        self._has_responded = False
        self._watches = set()
        self._next_ping = None
        self._is_backed_up = False
        self._is_pinging = False
        self._has_missed_ping = False
        self._host = address.encode()
        self._pool = ConnectionPool(
            reactor, address, lambda head: IDLE_TIMEOUT_S, CONNECT_TIMEOUT_S
        )

    def call(self, method, path, content=None, timeout_s=CALL_TIMEOUT_S):
        """Send one call to the store.

        Returns
        -------
        twisted.internet.defer.Deferred of result.Result[_Response, Problem]
        """
        self.calls += 1
        headers = [(b"Host", self._host)]
        body = b""
        if content is not None:
            headers.append(_JSON)
            body = msgspec.json.encode(content)
        call = _Call()
        done = call.done
        request = OutgoingRequest(method, path, headers, body)
        call.pending_request = self._pool.send(request, call)
        timer = self.clock.callLater(timeout_s, call.fail, "response timed out")
        return done.addCallback(self._finish_call, timer, self.clock.seconds())

    def _finish_call(self, result, timer, sent_s):
        if timer.active():
            timer.cancel()
        if result.is_err() and result.unwrap_err().detail == _CANCELLED:
            return result
        if result.is_err():
            # One call without an answer says little of the store: its connection may
            # have been cut, or its answer lost.
            self._ping_now()
            return result
        is_served = result.unwrap().status not in REFUSALS
        self._set_reachable(is_served, "refused")
        if is_served:
            self.confirmed_s = max(self.confirmed_s, sent_s)
        self._note_era(result.unwrap().era)
        return result

    def _note_era(self, era):
        """Follow the era; what was read and is watched in an earlier one is void."""
        is_first, self._has_responded = not self._has_responded, True
        if era is None or era <= self.era:
            return
        self.era = era
        if is_first:
            return
        self.on_restored()
        for watch in list(self._watches):
            watch.end()

    def is_outdated(self, response):
        """Return whether a response is from before the store's last restore."""
        return response.era is not None and response.era < self.era

    def _set_reachable(self, is_reachable, cause):
        """Note whether the store serves calls; log a change, with its cause if not."""
        if is_reachable == self.is_reachable:
            return
        self.is_reachable = is_reachable
        if is_reachable:
            self.regained_s = self.clock.seconds()
            logger.info(Dependency("store", "regained"))
        else:
            logger.warning(Dependency("store", "lost", cause))

    async def _checked_call(self, method, path, content=None):
        """Send a call; return its response, or an error if the store refused it."""
        result = await self.call(method, path, content)
        if result.is_ok() and result.unwrap().status in REFUSALS:
            detail = f"status {result.unwrap().status}"
            return Err(Problem(ErrorKind.STORE_UNAVAILABLE, detail))
        if result.is_ok() and self.is_outdated(result.unwrap()):
            return Err(Problem(ErrorKind.STORE_UNAVAILABLE, "response of an older era"))
        return result

    def range(self, prefix, allow_stale=False):
        """Read all keys with a prefix, page by page; see ``Store``."""
        read = Deferred.fromCoroutine(self._range(prefix, allow_stale))
        return _with_error_kind(read)

    async def _range(self, prefix, allow_stale):
        path = b"/sesamearch/kv-range?prefix=" + quote(prefix, safe="/").encode()
        if allow_stale:
            path += STALE_OPTION
        items, revision, after = [], 0, b""
        era = None
        while True:
            page_path = path + (b"&after=" + after if after else b"")
            result = await self._checked_call(b"GET", page_path)
            if result.is_err():
                return result
            decoded = decode_body(result.unwrap().body, StoreRange)
            if decoded.is_err():
                return decoded
            page = decoded.unwrap()
            era = self.era if era is None else era
            if era != self.era:
                detail = "store restored between two pages"
                return Err(Problem(ErrorKind.STORE_UNAVAILABLE, detail))
            items += page.entries
            # The pages are read one after another and are not one snapshot. A watch
            # from the first page's revision misses no change made in between.
            revision = revision or page.store_revision
            if not page.more_pages or not page.entries:
                return Ok(RangeReply(revision, decode_items(items), era))
            after = quote(page.entries[-1].key, safe="/").encode()

    def txn(self, comparisons, puts):
        """Write if all comparisons hold; see ``Store``."""
        return _with_error_kind(Deferred.fromCoroutine(self._txn(comparisons, puts)))

    async def _txn(self, comparisons, puts):
        content = Transaction(
            [
                ExpectedRevision(each.key.decode(), each.mod_revision)
                for each in comparisons
            ],
            [_make_put_item(put) for put in puts if put.value is not None],
            [put.key.decode() for put in puts if put.value is None],
        )
        result = await self._checked_call(b"POST", b"/sesamearch/kv-txn", content)
        if result.is_err():
            return result
        response = result.unwrap()
        if response.status == OK:
            written = decode_body(response.body, TransactionReply)
            return written.map(lambda reply: TxnReply(True, reply.revision, []))
        if response.status == CONFLICT:
            return decode_body(response.body, TransactionConflict).map(
                _make_conflict_reply
            )
        return Err(_unexpected_status(response))

    def grant_lease(self, ttl_s):
        """Grant a lease; see ``Store``."""
        return _with_error_kind(Deferred.fromCoroutine(self._grant_lease(ttl_s)))

    async def _grant_lease(self, ttl_s):
        content = LeaseRequest(int(ttl_s * MS_PER_S))
        result = await self._checked_call(b"POST", b"/sesamearch/kv-lease", content)
        if result.is_err():
            return result
        response = result.unwrap()
        if response.status != OK:
            return Err(_unexpected_status(response))
        return decode_body(response.body, StoreLease).map(lambda reply: reply.lease)

    def renew_lease(self, lease):
        """Renew a lease; see ``Store``."""
        return _with_error_kind(Deferred.fromCoroutine(self._renew_lease(lease)))

    async def _renew_lease(self, lease):
        result = await self._checked_call(b"POST", b"/sesamearch/kv-keep/%d" % lease)
        if result.is_err():
            return result
        status = result.unwrap().status
        if status in (OK, NOT_FOUND):
            return Ok(status == OK)
        return Err(_unexpected_status(result.unwrap()))

    def watch(self, prefix, revision, receiver, is_urgent=True):
        """Watch a prefix; see ``Store``."""
        watch = PlatformWatch(self, prefix, revision, receiver, is_urgent)
        self._watches.add(watch)
        if self._next_ping is None:
            self._next_ping = self.clock.callLater(FIRST_PING_DELAY_S, self._ping)
        return watch

    def silence_bound_s(self, is_urgent):
        """Return the time after which an unanswered call of a watch is sent again.

        Parameters
        ----------
        is_urgent : bool
            See ``Store.watch``.
        """
        if is_urgent and not self._is_backed_up:
            return self.max_silence_s
        return RELAXED_SILENCE_S

    def set_backed_up(self, is_backed_up):
        """Say whether another router watches the same keys, and tells this one.

        Meanwhile the watches of this router are not urgent, and cost fewer calls.
        """
        if is_backed_up == self._is_backed_up:
            return
        self._is_backed_up = is_backed_up
        if not is_backed_up:
            for watch in list(self._watches):
                watch.tighten()

    @property
    def watch_silence_s(self):
        """Float : longest time since an answer to a watch, zero without watches."""
        now_s = self.clock.seconds()
        return max((now_s - watch.answered_s for watch in self._watches), default=0.0)

    def remove_watch(self, watch):
        """Remove a watch that ended; pings stop with the last watch."""
        self._watches.discard(watch)

    # After an outage of the store, pending watch calls may never get a response.
    # Periodic pings detect this sooner than the watches do: once a ping succeeds after
    # a failed one, the watches send their calls again.

    def _ping(self):
        self._next_ping = None
        if self._watches:
            self._ping_now()

    def _ping_now(self):
        """Ask whether the store is there, unless that is being asked."""
        if self._is_pinging:
            return
        self._is_pinging = True
        if self._next_ping is not None:
            self._next_ping.cancel()
            self._next_ping = None
        called = self.call(b"GET", PING_PATH, timeout_s=PING_TIMEOUT_S)
        called.addCallback(self._handle_ping)

    def _handle_ping(self, result):
        self._is_pinging = False
        is_served = result.is_ok() and result.unwrap().status not in REFUSALS
        if result.is_err():
            self._set_reachable(False, result.unwrap_err().detail)
        elif is_served and self._has_missed_ping:
            for watch in list(self._watches):
                watch.restart()
        self._has_missed_ping = not is_served
        if self._next_ping is None:
            self._next_ping = self.clock.callLater(PING_INTERVAL_S, self._ping)


def _with_error_kind(done):
    """Replace the Problem of a failed result by its kind, as ``Store`` requires."""
    return done.addCallback(lambda r: r.map_err(lambda problem: problem.kind))


def _make_put_item(put):
    value = base64.b64encode(put.value).decode()
    return PutItem(put.key.decode(), value, put.lease)


def _make_conflict_reply(reply):
    found = decode_items([item for item in reply.entries if item.revision])
    return TxnReply(False, 0, found)


def _unexpected_status(response):
    return Problem(ErrorKind.STORE_UNAVAILABLE, f"status {response.status}")
