"""Connections to endpoints: one request at a time, kept for the next ones."""

import abc
import enum
import socket

import h11
import msgspec
from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import Protocol

from sesamearch.wire.head import ResponseHead

__all__ = [
    "ResponseReceiver",
    "Loss",
    "OutgoingRequest",
    "PendingRequest",
    "EndpointConnection",
    "enable_keepalive",
]

KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
MAX_HEAD_BYTES = 64 << 10
# Some peers answer before they have read a long body and read on later: such a
# connection is not used again.
REUSE_BODY_BYTES = 32 << 10


class Loss(enum.Enum):
    """How an exchange ended without a whole answer."""

    NOT_CONNECTED = "not_connected"
    CLOSED_UNANSWERED = "closed_unanswered"
    CLOSED_MIDWAY = "closed_midway"
    MALFORMED = "malformed"


class OutgoingRequest(msgspec.Struct, frozen=True):
    """What is sent to an endpoint.

    Parameters
    ----------
    method, target : bytes
    headers : list of tuple of bytes
        Without those that frame the body.
    body : bytes
    """

    method: bytes
    target: bytes
    headers: list[tuple[bytes, bytes]]
    body: bytes = b""


class ResponseReceiver(abc.ABC):
    """Where an answer is delivered."""

    @abc.abstractmethod
    def matches_request(self, head):
        """Return whether an :class:`ResponseHead` answers this request.

        An endpoint may send an answer twice; the second then arrives where the
        next one is expected.
        """

    @abc.abstractmethod
    def began(self, head):
        """Take the :class:`ResponseHead`."""

    @abc.abstractmethod
    def received(self, data):
        """Take a part of the body."""

    @abc.abstractmethod
    def ended(self):
        """Take note that the answer is whole."""

    @abc.abstractmethod
    def lost(self, loss):
        """Take note of the :class:`Loss`; nothing follows."""


class PendingRequest:
    """One request on its way, as its sender sees it."""

    __slots__ = ("_connection", "_connector", "is_over", "receiver")

    def __init__(self, receiver):
        self.receiver = receiver
        self.is_over = False
        self._connection = None
        self._connector = None

    def bind(self, connection=None, connector=None):
        """Remember what to close on :meth:`cancel`."""
        self._connection = connection
        self._connector = connector

    def cancel(self):
        """Close the connection; the receiver hears nothing more."""
        if self.is_over:
            return
        self.is_over = True
        if self._connection is not None:
            self._connection.abort()
        elif self._connector is not None:
            self._connector.disconnect()

    @property
    def producer(self):
        """Object or None : the transport that the answer is read from."""
        return self._connection.transport if self._connection else None


def enable_keepalive(transport):
    """Have the kernel notice a peer that went silent."""
    transport.setTcpNoDelay(True)
    transport.setTcpKeepAlive(True)
    handle = transport.getHandle()
    for option, value in (
        (socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
        (socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
        (socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
    ):
        handle.setsockopt(socket.IPPROTO_TCP, option, value)


class EndpointConnection(Protocol):
    """A connection that sends one request at a time.

    Parameters
    ----------
    pool : ConnectionPool
        Told when the connection can be kept, and when it is closed.
    """

    def __init__(self, pool):
        self._pool = pool
        self._codec = None
        self._request = None
        self._sending = None
        self._is_ours = False
        self._head = None
        self.idle_until_s = 0.0
        self.is_closed = False

    def connectionMade(self):
        """Have a silent peer noticed."""
        enable_keepalive(self.transport)

    def send(self, request, pending_request):
        """Send a request whose answer goes to ``sending.receiver``."""
        self._request = request
        self._sending = pending_request
        pending_request.bind(connection=self)
        self.transport.write(self._begin_codec())

    def _begin_codec(self):
        """Start the codec for one answer; return the request's bytes."""
        request = self._request
        headers = list(request.headers)
        if request.body:
            headers.append((b"Content-Length", b"%d" % len(request.body)))
        elif request.method not in (b"GET", b"HEAD"):
            headers.append((b"Content-Length", b"0"))
        self._is_ours = False
        self._codec = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES
        )
        head = h11.Request(
            method=request.method, target=request.target, headers=headers
        )
        parts = [self._codec.send(head)]
        if request.body:
            parts.append(self._codec.send(h11.Data(data=request.body)))
        parts.append(self._codec.send(h11.EndOfMessage()))
        return b"".join(parts)

    def dataReceived(self, data):
        """Take bytes of the endpoint."""
        if self._sending is None:
            # Nothing was asked: these bytes would be taken for the next answer.
            self.abort()
            return
        self._codec.receive_data(data)
        self._read()

    def _read(self):
        try:
            self._read_events()
        except h11.RemoteProtocolError:
            self._fail(Loss.MALFORMED)

    def _read_events(self):
        while self._sending is not None:
            event = self._codec.next_event()
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return
            if isinstance(event, h11.Response):
                self._take_head(event)
            elif isinstance(event, h11.Data):
                if self._is_ours:
                    self._sending.receiver.received(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                self._take_end()
            elif isinstance(event, h11.ConnectionClosed):
                return

    def _take_head(self, event):
        headers = list(event.headers.raw_items())
        self._head = ResponseHead(event.status_code, event.reason, headers)
        self._is_ours = self._sending.receiver.matches_request(self._head)
        if self._is_ours:
            self._sending.receiver.began(self._head)

    def _take_end(self):
        if not self._is_ours:
            self._skip_answer()
            return
        pending_request, self._sending = self._sending, None
        if pending_request.is_over:
            return
        pending_request.is_over = True
        self._settle()
        pending_request.receiver.ended()

    def _skip_answer(self):
        """Go on to the answer behind one that is not ours."""
        if self._codec.their_state is not h11.DONE:
            self._fail(Loss.MALFORMED)
            return
        rest, _ = self._codec.trailing_data
        self._begin_codec()
        if rest:
            self._codec.receive_data(bytes(rest))

    def _settle(self):
        """Keep the connection for the next request, or close it."""
        is_done = (
            self._codec.our_state is h11.DONE and self._codec.their_state is h11.DONE
        )
        has_more = bool(self._codec.trailing_data[0])
        is_short = len(self._request.body) <= REUSE_BODY_BYTES
        if is_done and not has_more and is_short and not self.is_closed:
            self._pool.keep(self, self._head)
        else:
            self.abort()

    def _fail(self, loss):
        pending_request, self._sending = self._sending, None
        self.abort()
        if pending_request is not None and not pending_request.is_over:
            pending_request.is_over = True
            pending_request.receiver.lost(loss)

    def connectionLost(self, reason):
        """End the answer, or tell that it is lost."""
        self.is_closed = True
        self._pool.forget(self)
        if self._sending is None:
            return
        if reason.check(ConnectionDone):
            self._take_close()
        if self._sending is not None:
            self._fail(Loss.CLOSED_MIDWAY if self._is_ours else Loss.CLOSED_UNANSWERED)

    def _take_close(self):
        """Let an answer without a length end with its connection."""
        self._codec.receive_data(b"")
        try:
            self._read_events()
        except h11.RemoteProtocolError:
            # It ended before its length: the caller of this tells so.
            return

    def abort(self):
        """Reset the connection."""
        if not self.is_closed:
            self.is_closed = True
            self._pool.forget(self)
            self.transport.abortConnection()
