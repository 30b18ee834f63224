"""Client of the platform's store, over the etcd v3 JSON gateway."""

import base64
import itertools

import msgspec
from result import Err, Ok
from twisted.internet.defer import CancelledError, Deferred
from twisted.web.client import HTTPConnectionPool

from sesamearch.base.errors import ErrorKind
from sesamearch.base.http import FrameReceiver, make_http_client
from sesamearch.store.store import KeyValue, Put, RangeReply, Store, TxnReply, Watch

__all__ = ["EtcdStore", "prefix_end"]

_JSON_HEADERS = {"Content-Type": "application/json"}
_FRAME_DELIMITER = b"\n"
WATCH_RENEWAL_S = 10.0


class _Header(msgspec.Struct):
    revision: str = "0"


class _Item(msgspec.Struct):
    key: str = ""
    value: str = ""
    mod_revision: str = "0"
    lease: str = "0"

    def to_key_value(self):
        """Return the decoded :class:`KeyValue`."""
        return KeyValue(
            base64.b64decode(self.key),
            base64.b64decode(self.value),
            int(self.mod_revision),
            int(self.lease),
        )


class _Range(msgspec.Struct):
    header: _Header = msgspec.field(default_factory=_Header)
    kvs: list[_Item] = []


class _TxnPart(msgspec.Struct):
    response_range: _Range = msgspec.field(default_factory=_Range)


class _Txn(msgspec.Struct):
    header: _Header = msgspec.field(default_factory=_Header)
    succeeded: bool = False
    responses: list[_TxnPart] = []


class _Lease(msgspec.Struct):
    ID: str = "0"
    TTL: str = "0"


class _KeepAlive(msgspec.Struct):
    result: _Lease


class _Event(msgspec.Struct):
    kv: _Item
    type: str = "PUT"


class _WatchResult(msgspec.Struct):
    header: _Header = msgspec.field(default_factory=_Header)
    events: list[_Event] = []
    canceled: bool = False


class _WatchFrame(msgspec.Struct):
    result: _WatchResult


def _to_base64(value):
    return base64.b64encode(value).decode()


def prefix_end(prefix):
    """Return the exclusive end of the range of keys with `prefix`, as for etcd."""
    return prefix[:-1] + bytes([prefix[-1] + 1])


def _put_json(put):
    if put.value is None:
        return {"request_delete_range": {"key": _to_base64(put.key)}}
    body = {
        "key": _to_base64(put.key),
        "value": _to_base64(put.value),
        "lease": str(put.lease),
    }
    return {"request_put": body}


def _txn_json(comparisons, puts):
    compare = [
        {
            "key": _to_base64(comparison.key),
            "target": "MOD",
            "result": "EQUAL",
            "mod_revision": str(comparison.mod_revision),
        }
        for comparison in comparisons
    ]
    failure = [{"request_range": {"key": _to_base64(c.key)}} for c in comparisons]
    success = [_put_json(put) for put in puts]
    return {"compare": compare, "success": success, "failure": failure}


class _EtcdStream:
    """One response of the store that reports changes until it is closed.

    Parameters
    ----------
    request : Deferred
        Fires with the response.
    on_frames, on_end : callable
        Called with the frames that arrive, and without arguments if the response fails
        or ends by itself; neither is called after :meth:`close`.
    """

    __slots__ = ("_body", "_is_closed", "_on_end", "_on_frames", "_request")

    def __init__(self, request, on_frames, on_end):
        self._on_frames = on_frames
        self._on_end = on_end
        self._body = None
        self._is_closed = False
        self._request = request
        request.addCallback(self._handle_response)
        request.addErrback(self._handle_failure)

    def _handle_response(self, response):
        self._request = None
        if response.code != 200:
            self._end()
        elif not self._is_closed:
            self._body = FrameReceiver(_FRAME_DELIMITER, self._handle_frames, self._end)
            response.deliverBody(self._body)

    def _handle_failure(self, failure):
        self._request = None
        if not failure.check(CancelledError):
            self._end()

    def _handle_frames(self, frames):
        if not self._is_closed:
            self._on_frames(frames)

    def _end(self):
        if not self._is_closed:
            self._is_closed = True
            self._on_end()

    def close(self):
        """Close the connection; nothing is called any more."""
        self._is_closed = True
        if self._request is not None:
            request, self._request = self._request, None
            request.cancel()
        if self._body is not None and self._body.transport is not None:
            self._body.transport.loseConnection()
        self._body = None


class _EtcdWatch(Watch):
    """Streams changes, and begins a new stream at intervals.

    A stream whose connection has fallen silent looks like one without changes.

    Parameters
    ----------
    open_stream : callable
        Called with the first revision to report; returns a Deferred of the response.
    revision : int
        Store revision after which changes are reported.
    receiver : WatchReceiver
    clock : twisted.internet.interfaces.IReactorTime
    renewal_s : float
        Time after which a stream is replaced.
    """

    __slots__ = (
        "_clock",
        "_open_stream",
        "_receiver",
        "_renewal",
        "_renewal_s",
        "_revision",
        "_stream",
    )

    def __init__(self, open_stream, revision, receiver, clock, renewal_s):
        self._open_stream = open_stream
        self._revision = revision
        self._receiver = receiver
        self._clock = clock
        self._renewal_s = renewal_s
        self._stream = None
        self._begin_stream()

    def _begin_stream(self):
        self._renewal = self._clock.callLater(self._renewal_s, self._renew_stream)
        request = self._open_stream(self._revision + 1)
        self._stream = _EtcdStream(request, self._handle_frames, self._end)

    def _renew_stream(self):
        self._stream.close()
        self._begin_stream()

    def _handle_frames(self, frames):
        for frame in frames:
            self._handle_frame(frame)

    def _handle_frame(self, frame):
        if self._receiver is None:
            return
        try:
            result = msgspec.json.decode(frame, type=_WatchFrame).result
        except msgspec.DecodeError:
            self._end()
            return
        if result.canceled:
            self._end()
            return
        revision = int(result.header.revision)
        puts = [self._to_put(event) for event in result.events]
        if puts:
            # The header's revision may be beyond changes that come in a later frame.
            reported = [int(event.kv.mod_revision) for event in result.events]
            self._revision = max(self._revision, *reported)
            self._receiver.changed(puts, revision)

    @staticmethod
    def _to_put(event):
        item = event.kv.to_key_value()
        value = None if event.type == "DELETE" else item.value
        return Put(item.key, value, item.lease)

    def _end(self):
        receiver = self._receiver
        self.cancel()
        if receiver is not None:
            receiver.ended()

    def cancel(self):
        self._receiver = None
        if self._renewal.active():
            self._renewal.cancel()
        if self._stream is not None:
            self._stream.close()


class EtcdStore(Store):
    """Client of the platform's store.

    After a failed call, later calls go to the next address in the settings.

    Parameters
    ----------
    reactor : twisted.internet.interfaces.IReactorCore
    settings : StoreSettings
    watch_renewal_s : float
        Time after which a watch begins a new stream, and learns what it has missed if
        the connection of the one before had fallen silent.
    """

    __slots__ = (
        "_addresses",
        "_address",
        "_http",
        "_pool",
        "_reactor",
        "_timeout_s",
        "_watch_renewal_s",
    )

    def __init__(self, reactor, settings, watch_renewal_s=WATCH_RENEWAL_S):
        self._reactor = reactor
        self._watch_renewal_s = watch_renewal_s
        self._addresses = itertools.cycle(settings.addresses)
        self._address = next(self._addresses)
        self._timeout_s = settings.timeout_s
        self._pool = HTTPConnectionPool(reactor)
        self._http = make_http_client(reactor, settings.timeout_s, self._pool)

    def _post(self, path, body, reply_type):
        return Deferred.fromCoroutine(self._call(path, body, reply_type))

    async def _call(self, path, body, reply_type):
        url = f"http://{self._address}/v3/{path}"
        data = msgspec.json.encode(body)
        try:
            response = await self._http.post(
                url, data=data, headers=_JSON_HEADERS, timeout=self._timeout_s
            )
            content = await response.content()
            if response.code == 200:
                return Ok(msgspec.json.decode(content, type=reply_type))
        except Exception:
            # Any exception of the transport or of decoding means that there is no
            # valid response.
            pass
        self._address = next(self._addresses)
        return Err(ErrorKind.STORE_UNAVAILABLE)

    def range(self, prefix, allow_stale=False):
        """Read all keys with a prefix; see ``Store``."""
        body = {
            "key": _to_base64(prefix),
            "range_end": _to_base64(prefix_end(prefix)),
            "serializable": allow_stale,
        }
        request = self._post("kv/range", body, _Range)
        return request.addCallback(lambda result: result.map(_range_reply))

    def txn(self, comparisons, puts):
        """Write `puts` if all `comparisons` hold."""
        request = self._post("kv/txn", _txn_json(comparisons, puts), _Txn)
        return request.addCallback(lambda result: result.map(_txn_reply))

    def grant_lease(self, ttl_s):
        """Grant a lease."""
        request = self._post("lease/grant", {"TTL": str(ttl_s)}, _Lease)
        return request.addCallback(lambda result: result.map(lambda r: int(r.ID)))

    def renew_lease(self, lease):
        """Renew a lease."""
        request = self._post("lease/keepalive", {"ID": str(lease)}, _KeepAlive)
        return request.addCallback(
            lambda result: result.map(lambda reply: int(reply.result.TTL) > 0)
        )

    def close(self):
        """Close idle connections; return a Deferred that fires when they are closed."""
        return self._pool.closeCachedConnections()

    def watch(self, prefix, revision, receiver, is_urgent=True):
        """Watch a prefix for changes after `revision`; see ``Store``."""

        def open_stream(first_revision):
            create = {
                "key": _to_base64(prefix),
                "range_end": _to_base64(prefix_end(prefix)),
                "start_revision": str(first_revision),
            }
            data = msgspec.json.encode({"create_request": create})
            url = f"http://{self._address}/v3/watch"
            return self._http.post(
                url, data=data, headers=_JSON_HEADERS, unbuffered=True
            )

        return _EtcdWatch(
            open_stream, revision, receiver, self._reactor, self._watch_renewal_s
        )


def _range_reply(reply):
    items = [item.to_key_value() for item in reply.kvs]
    return RangeReply(int(reply.header.revision), items)


def _txn_reply(reply):
    found = [
        i.to_key_value() for part in reply.responses for i in part.response_range.kvs
    ]
    return TxnReply(reply.succeeded, int(reply.header.revision), found)
