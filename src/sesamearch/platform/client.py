"""Endpoints, as the platform's protocol reaches them."""

import msgspec
from twisted.internet.defer import Deferred

from sesamearch.base.log import logger
from sesamearch.forwarding.request import EndpointClient, MemoryCopy
from sesamearch.platform.headers import (
    decode_answer,
    encode_request,
    instance_of,
    keep_alive_s,
    request_id_of,
)
from sesamearch.wire.endpoint import (
    Loss,
    OutgoingRequest,
    ResponseReceiver,
)
from sesamearch.wire.pool import ConnectionPool

__all__ = ["PlatformEndpointClient"]

REPORT_PATH = b"/sesamearch/report"
MOVE_PATH = b"/sesamearch/kv-move"
HANDLE_PATH = b"/sesamearch/kv-handle/"
COPY_TIMEOUT_S = 1.0
OK = 200
_JSON = (b"Content-Type", b"application/json")
# Endpoints close idle connections; one that is used just then is lost.
IDLE_USE_RATIO = 0.6
UNSTATED_IDLE_S = 0.4
SWEEP_INTERVAL_S = 0.5


def _reusable_s(head):
    return keep_alive_s(head, UNSTATED_IDLE_S) * IDLE_USE_RATIO


class _Forwarding(ResponseReceiver):
    """Translates one answer."""

    __slots__ = ("_listener", "_request_id")

    def __init__(self, request_id, listener):
        self._request_id = request_id
        self._listener = listener

    def matches_request(self, head):
        return request_id_of(head.headers) == self._request_id

    def began(self, head):
        self._listener.answer_began(decode_answer(head))

    def received(self, data):
        self._listener.answer_received(data)

    def ended(self):
        self._listener.answer_ended()

    def lost(self, loss):
        self._listener.answer_lost(loss)


class _Move(msgspec.Struct):
    """Content of a call to copy a run's memory.

    Parameters
    ----------
    id : str
        Of the request that runs.
    target : str
        ``ip:port`` of the engine that is to hold the copy.
    last : bool
        Whether the run is to stop.
    """

    id: str
    target: str
    last: bool = False


class _Moved(msgspec.Struct):
    handle: str


_decode_moved = msgspec.json.Decoder(_Moved).decode


class _Copying(ResponseReceiver):
    """Waits for the handle of a copy."""

    __slots__ = ("_body", "_status", "copied")

    def __init__(self):
        self.copied = Deferred()
        self._status = 0
        self._body = b""

    def tell(self, handle):
        """Give the handle, empty for none, to who waits."""
        copied, self.copied = self.copied, None
        if copied is not None:
            copied.callback(handle)

    def matches_request(self, head):
        return True

    def began(self, head):
        self._status = head.status

    def received(self, data):
        self._body += data

    def ended(self):
        handle = ""
        if self._status == OK:
            try:
                handle = _decode_moved(self._body).handle
            except msgspec.DecodeError as error:
                logger.warning("answer to a copy unreadable: {}", error)
        self.tell(handle)

    def lost(self, loss):
        self.tell("")


class _Probe(ResponseReceiver):
    """Waits for the first sign of life."""

    __slots__ = ("answered",)

    def __init__(self):
        self.answered = Deferred()

    def _tell(self, is_alive):
        answered, self.answered = self.answered, None
        if answered is not None:
            answered.callback(is_alive)

    def matches_request(self, head):
        return True

    def began(self, head):
        self._tell(True)

    def received(self, data):
        """Ignore the content: that it came is enough."""

    def ended(self):
        self._tell(True)

    def lost(self, loss):
        self._tell(loss is Loss.MALFORMED)

    def timed_out(self):
        self._tell(False)


class _Identity(ResponseReceiver):
    """Waits for the name of the process that answers."""

    __slots__ = ("told",)

    def __init__(self):
        self.told = Deferred()

    def tell(self, name):
        """Give the name, empty for none, to who waits."""
        told, self.told = self.told, None
        if told is not None:
            told.callback(name)

    def matches_request(self, head):
        return True

    def began(self, head):
        self.tell(instance_of(head.headers) if head.status == OK else "")

    def received(self, data):
        """Ignore the content."""

    def ended(self):
        self.tell("")

    def lost(self, loss):
        self.tell("")


class PlatformEndpointClient(EndpointClient):
    """Sends requests to endpoints over kept connections.

    Parameters
    ----------
    reactor : twisted.internet.interfaces.IReactorTCP
    """

    __slots__ = ("_pools", "_reactor")

    def __init__(self, reactor):
        self._reactor = reactor
        self._pools = {}

    def _pool(self, endpoint):
        pool = self._pools.get(endpoint.name)
        if pool is None:
            pool = ConnectionPool(self._reactor, endpoint.address, _reusable_s)
            self._pools[endpoint.name] = pool
        return pool

    def forward(self, request, options, listener):
        """Send a request to an endpoint."""
        outgoing = encode_request(request, options, self._reactor.seconds())
        receiver = _Forwarding(request.request_id, listener)
        pool = self._pool(options.endpoint)
        return pool.send(outgoing, receiver, options.needs_fresh_connection)

    def copy_memory(self, endpoint, request_id, target):
        """Have an engine copy a run's memory; see ``EndpointClient``."""
        body = msgspec.json.encode(_Move(request_id, target.address))
        headers = [(b"Host", endpoint.address.encode()), _JSON]
        copying = _Copying()
        copied = copying.copied
        outgoing = OutgoingRequest(b"POST", MOVE_PATH, headers, body)
        pending_request = self._pool(endpoint).send(
            outgoing, copying, force_new_connection=True
        )
        timer = self._reactor.callLater(COPY_TIMEOUT_S, copying.tell, "")

        def make_copy(handle):
            if timer.active():
                timer.cancel()
            else:
                pending_request.cancel()
            if not handle:
                return None
            return MemoryCopy(target.address, endpoint.address, handle)

        return copied.addCallback(make_copy)

    def free_memory(self, endpoint, copy):
        """Have an engine drop a copy; see ``EndpointClient``."""
        headers = [(b"Host", endpoint.address.encode())]
        path = HANDLE_PATH + copy.handle.encode()
        outgoing = OutgoingRequest(b"DELETE", path, headers)
        self._pool(endpoint).send(outgoing, _Copying(), force_new_connection=True)

    def identify(self, endpoint, path, timeout_s):
        """Ask who answers at an endpoint's address; see ``EndpointClient``."""
        headers = [(b"Host", endpoint.address.encode())]
        identity = _Identity()
        told = identity.told
        outgoing = OutgoingRequest(b"GET", path.encode(), headers)
        pending_request = self._pool(endpoint).send(
            outgoing, identity, force_new_connection=True
        )
        timer = self._reactor.callLater(timeout_s, identity.tell, "")

        def settle(name):
            if timer.active():
                timer.cancel()
            pending_request.cancel()
            return name

        return told.addCallback(settle)

    def probe(self, endpoint, timeout_s):
        """Ask an engine for its report, and whether it answers at all."""
        headers = [(b"Host", endpoint.address.encode())]
        outgoing = OutgoingRequest(b"GET", REPORT_PATH, headers)
        probe = _Probe()
        answered = probe.answered
        # A kept connection may be gone while its endpoint is well.
        pending_request = self._pool(endpoint).send(
            outgoing, probe, force_new_connection=True
        )
        timer = self._reactor.callLater(timeout_s, probe.timed_out)

        def settle(is_alive):
            if timer.active():
                timer.cancel()
            else:
                pending_request.cancel()
            return is_alive

        return answered.addCallback(settle)

    def discard_unlisted(self, endpoints):
        """Close what is kept for endpoints that are not listed any more.

        Parameters
        ----------
        endpoints : dict from str to Endpoint
        """
        for name in self._pools.keys() - endpoints.keys():
            self._pools.pop(name).close()

    def sweep(self):
        """Close connections that idled for too long."""
        for pool in self._pools.values():
            pool.sweep()

    @property
    def opened(self):
        """Int : connections opened by the pools that are kept."""
        return sum(pool.opened for pool in self._pools.values())
