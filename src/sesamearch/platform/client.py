"""Client for endpoints that speak the platform's protocol."""

import abc

import msgspec
from twisted.internet.defer import Deferred, succeed

from sesamearch.base.decode import decode_foreign
from sesamearch.base.log import logger
from sesamearch.forwarding.permits import NoPermits, PermitClaim
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
from sesamearch.wire.read_budget import ReadBudget

__all__ = ["PlatformEndpointClient", "ProbeReceiver"]

REPORT_PATH = b"/sesamearch/report"
COPY_PATH = b"/sesamearch/kv-move"
HANDLE_PATH = b"/sesamearch/kv-handle/"
COPY_TIMEOUT_S = 1.0
MAX_COPY_RESPONSE_BYTES = 16 << 10
OK = 200
_JSON = (b"Content-Type", b"application/json")
# Endpoints close idle connections, and a request that is sent at that moment is lost.
# Connections are therefore reused for only a part of the keep-alive time.
IDLE_REUSE_RATIO = 0.6
DEFAULT_KEEP_ALIVE_S = 0.4
SWEEP_INTERVAL_S = 0.5
# Probes and the like go after all requests of callers, and wait little for a permit.
PROBE_RANK = 10
PROBE_PERMIT_WAIT_S = 0.2


def _idle_timeout_s(head):
    return keep_alive_s(head, DEFAULT_KEEP_ALIVE_S) * IDLE_REUSE_RATIO


class _ForwardReceiver(ResponseReceiver):
    """Decodes one response and passes it to a :class:`ForwardListener`."""

    __slots__ = ("_listener", "_note", "_request_id")

    def __init__(self, request_id, listener, note):
        self._request_id = request_id
        self._listener = listener
        self._note = note

    def matches_request(self, head):
        return request_id_of(head.headers) == self._request_id

    def began(self, head):
        answer = decode_answer(head)
        self._note(answer)
        self._listener.answer_began(answer)

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


class _TimedReceiver(ResponseReceiver):
    """Resolves a Deferred once; the request is cancelled after a timeout."""

    __slots__ = ("_note", "_pending_request", "_timer", "answered")

    def __init__(self, note):
        self.answered = Deferred()
        self._note = note
        self._pending_request = None
        self._timer = None

    def start(self, pending_request, clock, timeout_s):
        """Cancel the request after `timeout_s` unless its response ended."""
        self._pending_request = pending_request
        if not pending_request.is_over:
            self._timer = clock.callLater(timeout_s, self.give_up)

    def resolve(self, result):
        """Fire the Deferred; later calls have no effect."""
        answered, self.answered = self.answered, None
        if answered is not None:
            answered.callback(result)

    def give_up(self):
        """Cancel the request, and resolve without an answer."""
        self._stop_timer()
        self._pending_request.cancel()
        self.resolve(self.without_answer())

    def _stop_timer(self):
        if self._timer is not None and self._timer.active():
            self._timer.cancel()

    @abc.abstractmethod
    def without_answer(self):
        """Return the result if there is no answer."""

    def not_sent(self):
        """Return the result if the request is not sent."""
        return self.without_answer()

    @abc.abstractmethod
    def handle_head(self, head):
        """Handle the head of the answer."""

    def matches_request(self, head):
        return True

    def began(self, head):
        self._note(decode_answer(head))
        self.handle_head(head)

    def received(self, data):
        """Ignore the body."""

    def ended(self):
        self._stop_timer()
        self.resolve(self.without_answer())

    def lost(self, loss):
        self._stop_timer()
        self.resolve(self.without_answer())


class _CopyReceiver(_TimedReceiver):
    """Receives the handle of a memory copy; empty if the copy failed."""

    __slots__ = ("_body", "_status")

    def __init__(self, note):
        super().__init__(note)
        self._status = 0
        self._body = b""

    def without_answer(self):
        return ""

    def handle_head(self, head):
        self._status = head.status

    def received(self, data):
        self._body += data
        if len(self._body) > MAX_COPY_RESPONSE_BYTES:
            self.give_up()

    def ended(self):
        self.resolve(self._handle())
        super().ended()

    def _handle(self):
        if self._status != OK:
            return ""
        decoded = decode_foreign(_decode_copy_response, self._body)
        if decoded.is_err():
            fault = decoded.unwrap_err()
            logger.warning("cannot decode response to memory copy: {}", fault)
            return ""
        return decoded.unwrap().handle


class _FreeReceiver(_TimedReceiver):
    """Receives the response to a request to drop a copy, and ignores it."""

    __slots__ = ()

    def without_answer(self):
        return None

    def handle_head(self, head):
        """Ignore the status: the engine drops the copy by itself after some time."""


class ProbeReceiver(_TimedReceiver):
    """Receives the response to a probe; even a malformed one shows a live engine."""

    __slots__ = ()

    def without_answer(self):
        """Return False."""
        return False

    def not_sent(self):
        """Return None: nothing is known."""
        return None

    def handle_head(self, head):
        """Resolve, whatever the status is."""
        self.resolve(True)

    def lost(self, loss):
        """Resolve: bytes that are no answer also come from a live process."""
        self.resolve(loss is Loss.MALFORMED)
        super().lost(loss)


class _PathReceiver(ProbeReceiver):
    """Receives the response to a probe; a connection that is made is enough."""

    __slots__ = ("_clock",)

    def start(self, pending_request, clock, timeout_s):
        """See ``_TimedReceiver``."""
        self._clock = clock
        super().start(pending_request, clock, timeout_s)

    def give_up(self):
        """Decide after what has arrived by now has been read."""
        self._clock.callLater(0, super().give_up)

    def without_answer(self):
        """Return whether the probe was written to a connection."""
        return self._pending_request is not None and self._pending_request.is_sent


class _IdentityReceiver(_TimedReceiver):
    """Receives the name of the process that responds; empty if it is unknown."""

    __slots__ = ()

    def without_answer(self):
        return ""

    def handle_head(self, head):
        self.resolve(instance_of(head.headers) if head.status == OK else "")
        self.give_up()


class PlatformEndpointClient(EndpointClient):
    """Sends requests to endpoints over pooled connections.

    Parameters
    ----------
    reactor : twisted.internet.interfaces.IReactorTCP
    """

    __slots__ = (
        "_pools",
        "_reactor",
        "is_limited",
        "is_paused",
        "on_answer",
        "permits",
    )

    def __init__(self, reactor):
        self._reactor = reactor
        self._pools = {}
        self.on_answer = None
        self.is_paused = lambda endpoint: False
        self.is_limited = lambda endpoint: False
        self.permits = NoPermits()

    def _pool(self, endpoint):
        pool = self._pools.get(endpoint.name)
        if pool is not None and pool.address != endpoint.address:
            # A process that starts again under its name may have another address.
            pool.close()
            pool = None
        if pool is None:
            pool = ConnectionPool(
                self._reactor,
                endpoint.address,
                _idle_timeout_s,
                budget=ReadBudget(self._reactor),
            )
            self._pools[endpoint.name] = pool
        return pool

    def forward(self, request, options, listener):
        """Send a request to an endpoint; see ``EndpointClient``."""
        now_s = self._reactor.seconds()
        outgoing = encode_request(request, options, now_s)
        note = self._note_of(options.endpoint)
        receiver = _ForwardReceiver(request.request_id, listener, note)
        pool = self._pool(options.endpoint)
        return pool.send(
            outgoing,
            receiver,
            options.force_new_connection,
            options.deadline_s - now_s,
        )

    def copy_memory(self, endpoint, request_id, target):
        """Have an engine copy a generation's memory; see ``EndpointClient``."""
        body = msgspec.json.encode(_CopyRequest(request_id, target.address))
        headers = [(b"Host", endpoint.address.encode()), _JSON]
        outgoing = OutgoingRequest(b"POST", COPY_PATH, headers, body)
        copied = self._ask(endpoint, outgoing, _CopyReceiver, COPY_TIMEOUT_S)

        def make_copy(handle):
            if not handle:
                return None
            return MemoryCopy(target.address, endpoint.address, handle)

        return copied.addCallback(make_copy)

    def free_memory(self, endpoint, copy):
        """Have an engine drop a copy; see ``EndpointClient``."""
        headers = [(b"Host", endpoint.address.encode())]
        path = HANDLE_PATH + copy.handle.encode()
        outgoing = OutgoingRequest(b"DELETE", path, headers)
        self._ask(endpoint, outgoing, _FreeReceiver, COPY_TIMEOUT_S)

    def identify(self, endpoint, path, timeout_s):
        """Ask which process responds at an address; see ``EndpointClient``."""
        headers = [(b"Host", endpoint.address.encode())]
        outgoing = OutgoingRequest(b"GET", path.encode(), headers)
        return self._ask(endpoint, outgoing, _IdentityReceiver, timeout_s)

    def probe(self, endpoint, timeout_s, health_path=""):
        """Probe an endpoint by its health path or report; see ``EndpointClient``."""
        return self._probe(endpoint, ProbeReceiver, timeout_s, health_path)

    def probe_path(self, endpoint, timeout_s, health_path=""):
        """Probe the path to an endpoint in the same way; see ``EndpointClient``."""
        return self._probe(endpoint, _PathReceiver, timeout_s, health_path)

    def _probe(self, endpoint, receiver_type, timeout_s, health_path):
        headers = [(b"Host", endpoint.address.encode())]
        path = health_path.encode() or REPORT_PATH
        outgoing = OutgoingRequest(b"GET", path, headers)
        return self._ask(endpoint, outgoing, receiver_type, timeout_s)

    def _note_of(self, endpoint):
        """Return a callable that reports an answer to a request that is sent now."""
        sent_s = self._reactor.seconds()

        def note(answer):
            if self.on_answer is not None:
                self.on_answer(endpoint, answer, sent_s)

        return note

    def _ask(self, endpoint, outgoing, receiver_type, timeout_s):
        """Send a request on a new connection; return the Deferred of its receiver.

        A pooled connection may be broken although its endpoint is alive.
        """
        receiver = receiver_type(self._note_of(endpoint))
        if self.is_paused(endpoint):
            return succeed(receiver.not_sent())
        answered = receiver.answered

        def send():
            pending_request = self._pool(endpoint).send(
                outgoing, receiver, force_new_connection=True
            )
            receiver.start(pending_request, self._reactor, timeout_s)

        def decide(decision):
            if decision.is_granted:
                send()
            else:
                receiver.resolve(receiver.not_sent())

        def note_ended(result, permit):
            permit.note_ended()
            return result

        if self.is_limited(endpoint):
            by_s = self._reactor.seconds() + PROBE_PERMIT_WAIT_S
            claim = PermitClaim(PROBE_RANK, False, by_s)
            permit = self.permits.claim(endpoint, claim, decide)
            answered.addCallback(note_ended, permit)
        else:
            send()
        return answered

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
