"""The platform's key-value service, behind the product's ``Store``."""

import base64
from urllib.parse import quote

import msgspec
from result import Err, Ok
from twisted.internet.defer import Deferred

from sesamearch.base.errors import ErrorKind, Problem
from sesamearch.base.log import logger
from sesamearch.base.record import Dependency
from sesamearch.platform.store_message import (
    Conflict,
    Expected,
    NewItem,
    StoreLease,
    StoreRange,
    StoreTtl,
    Transaction,
    Written,
    decode_body,
    key_values,
)
from sesamearch.platform.watch import PlatformWatch
from sesamearch.store.store import RangeReply, Store, TxnReply
from sesamearch.wire.endpoint import OutgoingRequest, ResponseReceiver
from sesamearch.wire.pool import ConnectionPool

__all__ = ["PlatformStore"]

CALL_TIMEOUT_S = 1.5
CONNECT_TIMEOUT_S = 0.7
PING_INTERVAL_S = 0.7
PING_TIMEOUT_S = 0.7
# A stale copy will do, at a tenth of the price.
PING_PATH = b"/sesamearch/kv-key?key=sesamearch/peer-keys&stale-ok=1"
IDLE_REUSE_S = 2.0
MS_PER_S = 1000.0
OK = 200
NOT_FOUND = 404
CONFLICT = 412
REFUSALS = (429, 503)
_CANCELLED = "cancelled"
_JSON = (b"Content-Type", b"application/json")


class _Response(msgspec.Struct):
    status: int
    body: bytes


class _Call(ResponseReceiver):
    """Collects one answer of the store."""

    __slots__ = ("_body", "_head", "done", "pending_request")

    def __init__(self):
        self.done = Deferred(self._cancelled)
        self.pending_request = None
        self._head = None
        self._body = []

    def _settle(self, result):
        done, self.done = self.done, None
        if done is not None:
            done.callback(result)

    def matches_request(self, head):
        return True

    def began(self, head):
        self._head = head

    def received(self, data):
        self._body.append(data)

    def ended(self):
        self._settle(Ok(_Response(self._head.status, b"".join(self._body))))

    def lost(self, loss):
        self.fail(loss.value)

    def _cancelled(self, done):
        self.fail(_CANCELLED)

    def fail(self, detail):
        """Close the call, if it still runs, and give an error."""
        if self.pending_request is not None:
            self.pending_request.cancel()
        self._settle(Err(Problem(ErrorKind.STORE_UNAVAILABLE, detail)))


class PlatformStore(Store):
    """Calls of the platform's key-value service.

    Parameters
    ----------
    reactor : twisted.internet.interfaces.IReactorTCP
    address : str
        ``ip:port``.

    Attributes
    ----------
    clock : twisted.internet.interfaces.IReactorTime
    is_reachable : bool
        Whether the last call was served.
    regained_s : float
        When the store last came back after a failure, on this process's clock.
    calls : int
        Calls made, each of which the platform counts.
    """

    def __init__(self, reactor, address):
        self.clock = reactor
        self.is_reachable = True
        self.regained_s = float("-inf")
        self.calls = 0
        self._watches = set()
        self._next_ping = None
        self._has_missed_ping = False
        self._host = address.encode()
        self._pool = ConnectionPool(
            reactor, address, lambda head: IDLE_REUSE_S, CONNECT_TIMEOUT_S
        )

    def call(self, method, path, content=None, timeout_s=CALL_TIMEOUT_S):
        """Make one call.

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
        timer = self.clock.callLater(timeout_s, call.fail, "no answer in time")
        return done.addCallback(self._settle, timer)

    def _settle(self, result, timer):
        if timer.active():
            timer.cancel()
        if result.is_err() and result.unwrap_err().detail == _CANCELLED:
            return result
        is_served = result.is_ok() and result.unwrap().status not in REFUSALS
        if is_served != self.is_reachable:
            self._note_change(is_served, result)
        return result

    def _note_change(self, is_served, result):
        self.is_reachable = is_served
        if is_served:
            self.regained_s = self.clock.seconds()
            logger.info(Dependency("store", "regained"))
            return
        cause = result.unwrap_err().detail if result.is_err() else "refused"
        logger.warning(Dependency("store", "lost", cause))

    async def _served(self, method, path, content=None):
        """Return the response, or an error for one that says that nothing was done."""
        result = await self.call(method, path, content)
        if result.is_ok() and result.unwrap().status in REFUSALS:
            detail = f"status {result.unwrap().status}"
            return Err(Problem(ErrorKind.STORE_UNAVAILABLE, detail))
        return result

    def range(self, prefix):
        """Read all keys with a prefix; see ``Store``."""
        return _with_kind(Deferred.fromCoroutine(self._range(prefix)))

    async def _range(self, prefix):
        path = b"/sesamearch/kv-range?prefix=" + quote(prefix, safe="/").encode()
        items, revision, after = [], 0, b""
        while True:
            page_path = path + (b"&after=" + after if after else b"")
            result = await self._served(b"GET", page_path)
            if result.is_err():
                return result
            decoded = decode_body(result.unwrap().body, StoreRange)
            if decoded.is_err():
                return decoded
            page = decoded.unwrap()
            items += page.entries
            # Pages are no snapshot: a watch from the first one misses nothing.
            revision = revision or page.store_revision
            if not page.more_pages or not page.entries:
                return Ok(RangeReply(revision, key_values(items)))
            after = quote(page.entries[-1].key, safe="/").encode()

    def txn(self, comparisons, puts):
        """Write if all comparisons hold; see ``Store``."""
        return _with_kind(Deferred.fromCoroutine(self._txn(comparisons, puts)))

    async def _txn(self, comparisons, puts):
        content = Transaction(
            [Expected(each.key.decode(), each.mod_revision) for each in comparisons],
            [_new_item(put) for put in puts if put.value is not None],
            [put.key.decode() for put in puts if put.value is None],
        )
        result = await self._served(b"POST", b"/sesamearch/kv-txn", content)
        if result.is_err():
            return result
        response = result.unwrap()
        if response.status == OK:
            written = decode_body(response.body, Written)
            return written.map(lambda reply: TxnReply(True, reply.revision, []))
        if response.status == CONFLICT:
            return decode_body(response.body, Conflict).map(_conflict)
        return Err(_unexpected(response))

    def grant_lease(self, ttl_s):
        """Make a lease; see ``Store``."""
        return _with_kind(Deferred.fromCoroutine(self._grant_lease(ttl_s)))

    async def _grant_lease(self, ttl_s):
        content = StoreTtl(int(ttl_s * MS_PER_S))
        result = await self._served(b"POST", b"/sesamearch/kv-lease", content)
        if result.is_err():
            return result
        response = result.unwrap()
        if response.status != OK:
            return Err(_unexpected(response))
        return decode_body(response.body, StoreLease).map(lambda reply: reply.lease)

    def renew_lease(self, lease):
        """Renew a lease; see ``Store``."""
        return _with_kind(Deferred.fromCoroutine(self._keep_lease(lease)))

    async def _keep_lease(self, lease):
        result = await self._served(b"POST", b"/sesamearch/kv-keep/%d" % lease)
        if result.is_err():
            return result
        status = result.unwrap().status
        if status in (OK, NOT_FOUND):
            return Ok(status == OK)
        return Err(_unexpected(result.unwrap()))

    def watch(self, prefix, revision, receiver):
        """Watch a prefix; see ``Store``."""
        watch = PlatformWatch(self, prefix, revision, receiver)
        self._watches.add(watch)
        if self._next_ping is None:
            self._next_ping = self.clock.callLater(PING_INTERVAL_S, self._ping)
        return watch

    def forget(self, watch):
        """Take note that a watch ended."""
        self._watches.discard(watch)

    # A store that is silent, or a connection that is, answers no waiting call even
    # after its return: only a call that is answered at once tells.

    def _ping(self):
        self._next_ping = None
        if self._watches:
            called = self.call(b"GET", PING_PATH, timeout_s=PING_TIMEOUT_S)
            called.addCallback(self._take_ping)

    def _take_ping(self, result):
        is_served = result.is_ok() and result.unwrap().status not in REFUSALS
        if is_served and self._has_missed_ping:
            for watch in list(self._watches):
                watch.renew()
        self._has_missed_ping = not is_served
        if self._next_ping is None:
            self._next_ping = self.clock.callLater(PING_INTERVAL_S, self._ping)


def _with_kind(done):
    """Reduce the error of a Deferred result to its kind, as ``Store`` has it."""
    return done.addCallback(lambda r: r.map_err(lambda problem: problem.kind))


def _new_item(put):
    value = base64.b64encode(put.value).decode()
    return NewItem(put.key.decode(), value, put.lease)


def _conflict(reply):
    found = key_values([item for item in reply.entries if item.revision])
    return TxnReply(False, 0, found)


def _unexpected(response):
    return Problem(ErrorKind.STORE_UNAVAILABLE, f"status {response.status}")
