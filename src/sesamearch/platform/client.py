"""Client for endpoints that speak the platform's protocol."""

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
COPY_PATH = b"/sesamearch/kv-move"
HANDLE_PATH = b"/sesamearch/kv-handle/"
COPY_TIMEOUT_S = 1.0
OK = 200
_JSON = (b"Content-Type", b"application/json")
# Endpoints close idle connections, and a request that is sent at that moment is lost.
# Connections are therefore reused for only a part of the keep-alive time.
IDLE_REUSE_RATIO = 0.6
DEFAULT_KEEP_ALIVE_S = 0.4
SWEEP_INTERVAL_S = 0.5


def _idle_timeout_s(head):
    return keep_alive_s(head, DEFAULT_KEEP_ALIVE_S) * IDLE_REUSE_RATIO


class _ForwardReceiver(ResponseReceiver):
    """Decodes one response and passes it to a :class:`ForwardListener`."""

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


class _CopyRequest(msgspec.Struct):
    """Request body of a call that copies the memory of a running generation.

    Parameters
    ----------
    id : str
        Id of the request that started the generation.
    target : str
        ``ip:port`` of the engine that receives the copy.
    last : bool
        Whether the generation stops after the copy.
    """

    id: str
    target: str
    last: bool = False


class _CopyResponse(msgspec.Struct):
    handle: str


_decode_copy_response = msgspec.json.Decoder(_CopyResponse).decode


class _CopyReceiver(ResponseReceiver):
    """Receives the handle of a memory copy."""

    __slots__ = ("_body", "_status", "copied")

    def __init__(self):
        self.copied = Deferred()
        self._status = 0
        self._body = b""

    def resolve(self, handle):
        """Fire the Deferred once with the handle; empty if the copy failed."""
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
                handle = _decode_copy_response(self._body).handle
            except msgspec.DecodeError as error:
                logger.warning("cannot decode response to memory copy: {}", error)
        self.resolve(handle)

    def lost(self, loss):
        self.resolve("")


class _ProbeReceiver(ResponseReceiver):
    """Receives the response to a probe; even a malformed one shows a live engine."""

    __slots__ = ("answered",)

    def __init__(self):
        self.answered = Deferred()

    def _resolve(self, is_alive):
        answered, self.answered = self.answered, None
        if answered is not None:
            answered.callback(is_alive)

    def matches_request(self, head):
        return True

    def began(self, head):
        self._resolve(True)

    def received(self, data):
        """Ignore the body: the head has already shown that the engine is alive."""

    def ended(self):
        self._resolve(True)

    def lost(self, loss):
        self._resolve(loss is Loss.MALFORMED)

    def timed_out(self):
        self._resolve(False)


class _IdentityReceiver(ResponseReceiver):
    """Receives the name of the process that responds."""

    __slots__ = ("identified",)

    def __init__(self):
        self.identified = Deferred()

    def resolve(self, name):
        """Fire the Deferred once with the name; empty if it is unknown."""
        identified, self.identified = self.identified, None
        if identified is not None:
            identified.callback(name)

    def matches_request(self, head):
        return True

    def began(self, head):
        self.resolve(instance_of(head.headers) if head.status == OK else "")

    def received(self, data):
        """Ignore the body."""

    def ended(self):
        self.resolve("")

    def lost(self, loss):
        self.resolve("")


class PlatformEndpointClient(EndpointClient):
    """Sends requests to endpoints over pooled connections.

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
            pool = ConnectionPool(self._reactor, endpoint.address, _idle_timeout_s)
            self._pools[endpoint.name] = pool
        return pool

    def forward(self, request, options, listener):
        """Send a request to an endpoint; see ``EndpointClient``."""
        outgoing = encode_request(request, options, self._reactor.seconds())
        receiver = _ForwardReceiver(request.request_id, listener)
        pool = self._pool(options.endpoint)
        return pool.send(outgoing, receiver, options.force_new_connection)

    def copy_memory(self, endpoint, request_id, target):
        """Have an engine copy a generation's memory; see ``EndpointClient``."""
        body = msgspec.json.encode(_CopyRequest(request_id, target.address))
        headers = [(b"Host", endpoint.address.encode()), _JSON]
        receiver = _CopyReceiver()
        copied = receiver.copied
        outgoing = OutgoingRequest(b"POST", COPY_PATH, headers, body)
        pending_request = self._pool(endpoint).send(
            outgoing, receiver, force_new_connection=True
        )
        timer = self._reactor.callLater(COPY_TIMEOUT_S, receiver.resolve, "")

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
        self._pool(endpoint).send(outgoing, _CopyReceiver(), force_new_connection=True)

    def identify(self, endpoint, path, timeout_s):
        """Ask which process responds at an address; see ``EndpointClient``."""
        headers = [(b"Host", endpoint.address.encode())]
        receiver = _IdentityReceiver()
        identified = receiver.identified
        outgoing = OutgoingRequest(b"GET", path.encode(), headers)
        pending_request = self._pool(endpoint).send(
            outgoing, receiver, force_new_connection=True
        )
        timer = self._reactor.callLater(timeout_s, receiver.resolve, "")

        def settle(name):
            if timer.active():
                timer.cancel()
            pending_request.cancel()
            return name

        return identified.addCallback(settle)

    def probe(self, endpoint, timeout_s):
        """Probe an engine by requesting its report; see ``EndpointClient``."""
        headers = [(b"Host", endpoint.address.encode())]
        outgoing = OutgoingRequest(b"GET", REPORT_PATH, headers)
        receiver = _ProbeReceiver()
        answered = receiver.answered
        # A pooled connection may be broken although its endpoint is alive.
        pending_request = self._pool(endpoint).send(
            outgoing, receiver, force_new_connection=True
        )
        timer = self._reactor.callLater(timeout_s, receiver.timed_out)

        def settle(is_alive):
            if timer.active():
                timer.cancel()
            else:
                pending_request.cancel()
            return is_alive

        return answered.addCallback(settle)

    def discard_unlisted(self, endpoints):
        """Close the pools of endpoints that are no longer listed.

        Parameters
        ----------
        endpoints : dict from str to Endpoint
            The listed endpoints by name.
        """
        for name in self._pools.keys() - endpoints.keys():
            self._pools.pop(name).close()

    def sweep(self):
        """Close connections whose idle timeout has expired."""
        for pool in self._pools.values():
            pool.sweep()

    @property
    def opened(self):
        """Int : connections opened by the pools of the listed endpoints."""
        return sum(pool.opened for pool in self._pools.values())
