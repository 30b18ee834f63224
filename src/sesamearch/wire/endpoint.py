"""Reusable connections to endpoints, with one request at a time on each."""

import abc
import enum
import socket

import h11
import msgspec
from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import Protocol

from sesamearch.wire.head import ResponseHead, is_status
from sesamearch.wire.read_budget import BudgetedReader, ReadShare
from sesamearch.wire.upload import UPLOAD_PIECE_BYTES, Upload

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
# A response that belongs to an earlier request is skipped up to this size.
MAX_UNMATCHED_BYTES = 256 << 10
# Some peers respond before they have read a long body and go on reading it
# afterwards, so a connection that sent a longer body is not reused.
MAX_REUSE_BODY_BYTES = 32 << 10
# A new connection accepts a body of this size at once.
MAX_DIRECT_BODY_BYTES = 8 << 10
# What a socket may hold that is not read at present.
UNREAD_SOCKET_BYTES = 64 << 10
# Bytes of a body that are passed on as they are, for one step of the read budget.
STEP_BYTES = 16 << 10
# A connection that has answered more requests with a failure is not reused.
MAX_FAILED_REQUESTS = 32


class Loss(enum.Enum):
    """How a request failed without a complete response.

    Only ``NOT_CONNECTED`` proves that the endpoint did not receive the request.
    """

    NOT_CONNECTED = "not_connected"
    CLOSED_UNANSWERED = "closed_unanswered"
    CLOSED_MIDWAY = "closed_midway"
    MALFORMED = "malformed"
    TOO_LARGE = "too_large"


class OutgoingRequest(msgspec.Struct, frozen=True):
    """One request to an endpoint.

    Parameters
    ----------
    method, target : bytes
    headers : list of tuple of bytes
        Headers without those that frame the body; the connection adds
        ``Content-Length``.
    body : bytes
    request_id : str
        Names the request in its response; empty for none.
    """

    method: bytes
    target: bytes
    headers: list[tuple[bytes, bytes]]
    body: bytes = b""
    request_id: str = ""


class ResponseReceiver(abc.ABC):
    """Receives the response to one request."""

    @abc.abstractmethod
    def matches_request(self, head):
        """Return whether a :class:`ResponseHead` belongs to this request.

        An endpoint may send a response twice; the duplicate then arrives where
        the response to the next request is expected.
        """

    @abc.abstractmethod
    def began(self, head):
        """Handle the :class:`ResponseHead`."""

    @abc.abstractmethod
    def received(self, data):
        """Handle a part of the body."""

    @abc.abstractmethod
    def ended(self):
        """Handle the end of a complete response."""

    @abc.abstractmethod
    def lost(self, loss):
        """Handle a failed request; `loss` is a :class:`Loss`. No other call follows."""


class PendingRequest:
    """Handle of a request that was sent or is waiting for its connection.

    Attributes
    ----------
    is_first : bool
        Whether its connection was opened for it.
    """

    __slots__ = ("_connection", "_connector", "is_first", "is_over", "receiver")

    def __init__(self, receiver):
        self.receiver = receiver
        self.is_first = False
        self.is_over = False
        self._connection = None
        self._connector = None

    def bind(self, connection=None, connector=None):
        """Set the connection or connector that :meth:`cancel` closes."""
        self._connection = connection
        self._connector = connector

    def close(self):
        """Return the receiver, which is called once more, and forget it.

        It refers to this handle as well.
        """
        self.is_over = True
        receiver, self.receiver = self.receiver, None
        return receiver

    def cancel(self):
        """Close the connection without calling the receiver again."""
        if self.is_over:
            return
        self.close()
        if self._connection is not None:
            self._connection.abort()
        elif self._connector is not None:
            self._connector.disconnect()

    def take_steps(self, steps):
        """Count work for the response towards the read budget of its peer."""
        if self._connection is not None:
            self._connection.take_steps(steps)

    @property
    def held_bytes(self):
        """Int : memory that its connection holds for it."""
        return self._connection.held_bytes if self._connection is not None else 0

    @property
    def is_sent(self):
        """Bool : whether the request was written, so that the endpoint may get it."""
        return self._connection is not None

    @property
    def producer(self):
        """EndpointConnection or None : pauses and resumes reading the response."""
        return self._connection


def enable_keepalive(transport):
    """Set TCP keepalive, so that the kernel detects an unresponsive peer."""
    transport.setTcpNoDelay(True)
    transport.setTcpKeepAlive(True)
    handle = transport.getHandle()
    for option, value in (
        (socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
        (socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
        (socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
    ):
        handle.setsockopt(socket.IPPROTO_TCP, option, value)


class EndpointConnection(Protocol, BudgetedReader):
    """A connection that carries one request at a time.

    Parameters
    ----------
    pool : ConnectionPool
        Gets the connection back when it can be reused, and removes it once it is
        closed.
    """

    def __init__(self, pool):
        self._pool = pool
        self._codec = None
        self._request = None
        self._pending_request = None
        self._is_matching = False
        self._unmatched_bytes = 0
        self._head = None
        # What writes the body of the present request, if that is large.
        self._upload = None
        # Size of what the codec was given and may not have handled yet.
        self._unhandled_bytes = 0
        # Ids of the requests that this connection has answered with a failure.
        self._failed_ids = set()
        self.idle_until_s = 0.0
        self.is_closed = False
        self.is_paused = False
        # Whether the rest of what was read waits for the read budget.
        self._is_waiting = False
        self.read_share = ReadShare(pool.now_s)
        # Why the connection was lost, if that is to be handled after the rest.
        self._lost_reason = None

    def connectionMade(self):
        """Set the socket options."""
        enable_keepalive(self.transport)

    def may_carry(self, request):
        """Return whether the response to a request would be told from earlier ones.

        An endpoint may write an earlier failure once more, and a request that is sent
        again has the same id as it.
        """
        return not request.request_id or request.request_id not in self._failed_ids

    def send(self, request, pending_request):
        """Send a request whose response goes to ``pending_request.receiver``."""
        self._request = request
        self._pending_request = pending_request
        self._unmatched_bytes = 0
        pending_request.bind(connection=self)
        head = self._begin_codec()
        self._upload = None
        if len(request.body) <= MAX_DIRECT_BODY_BYTES:
            self.transport.write(head + request.body)
        else:
            self.transport.write(head)
            self._upload = Upload(self.transport, request.body)
            self._upload.start()

    def _begin_codec(self):
        """Start a codec for one request and response; return the request's head."""
        request = self._request
        headers = list(request.headers)
        if request.body:
            headers.append((b"Content-Length", b"%d" % len(request.body)))
        elif request.method not in (b"GET", b"HEAD"):
            headers.append((b"Content-Length", b"0"))
        self._is_matching = False
        self._codec = h11.Connection(
            h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES
        )
        head = h11.Request(
            method=request.method, target=request.target, headers=headers
        )
        head_bytes = self._codec.send(head)
        if request.body:
            self._codec.send(h11.Data(data=request.body))
        self._codec.send(h11.EndOfMessage())
        return head_bytes

    @property
    def held_bytes(self):
        """Int : memory that the connection holds, beside the body of the request."""
        upload_bytes = socket_bytes = 0
        if self._is_writing:
            upload_bytes = UPLOAD_PIECE_BYTES
        if self.is_paused or self._is_waiting:
            socket_bytes = UNREAD_SOCKET_BYTES
        return upload_bytes + self._unhandled_bytes + socket_bytes

    # Push producer of the caller's transport.

    def pauseProducing(self):
        """Stop to read, because the caller's buffer is full."""
        self.is_paused = True
        self._update_reading()

    def resumeProducing(self):
        """Read again."""
        self.is_paused = False
        self._update_reading()

    def _update_reading(self):
        if self.is_closed:
            return
        if self.is_paused or self._is_waiting:
            self.transport.pauseProducing()
        else:
            self.transport.resumeProducing()

    def stopProducing(self):
        """Close the connection, because the caller's is lost."""
        self.abort()

    # Reading.

    def dataReceived(self, data):
        """Read bytes from the endpoint."""
        if self._pending_request is None:
            # No request is pending: these bytes would be read as the response to
            # the next one.
            self.abort()
            return
        if not self._is_matching:
            self._unmatched_bytes += len(data)
        self._unhandled_bytes += len(data)
        self._codec.receive_data(data)
        if not self._is_waiting:
            self._read()
        has_waited = self._pending_request is not None and not self._is_matching
        if has_waited and self._unmatched_bytes > MAX_UNMATCHED_BYTES:
            self._fail(Loss.MALFORMED)

    def _read(self):
        try:
            self._read_events()
        except h11.RemoteProtocolError:
            self._fail(Loss.MALFORMED)

    def _read_events(self):
        budget = self._pool.budget
        if budget is not None:
            budget.refresh()
        while self._pending_request is not None and not self._pending_request.is_over:
            if budget is not None and budget.is_spent:
                self._wait()
                return
            event = self._codec.next_event()
            if event is h11.NEED_DATA or event is h11.PAUSED:
                self._unhandled_bytes = 0
                return
            self.take_steps(self._steps_of(event))
            if isinstance(event, h11.Response):
                self._handle_head(event)
            elif isinstance(event, h11.Data):
                if self._is_matching:
                    self._pending_request.receiver.received(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                self._handle_end()
            elif isinstance(event, h11.ConnectionClosed):
                return

    def take_steps(self, steps):
        """Count work towards the read budget."""
        if self._pool.budget is not None:
            self._pool.budget.take(self, steps)

    def _steps_of(self, event):
        if not isinstance(event, h11.Data):
            return 1.0
        return 1.0 + len(event.data) / STEP_BYTES

    def _wait(self):
        """Leave the rest of what was read, and what comes, for a later turn."""
        self._is_waiting = True
        self._update_reading()
        self._pool.budget.wait(self)

    @property
    def pending_steps(self):
        """Float : least work for the rest of what was read."""
        return 1.0

    def read_on(self):
        """Read on after a wait for the read budget."""
        self._is_waiting = False
        self._read()
        if self._is_waiting:
            return
        reason, self._lost_reason = self._lost_reason, None
        if reason is not None:
            self._handle_lost(reason)
        else:
            self._update_reading()

    def _handle_head(self, event):
        if not is_status(event.status_code):
            raise h11.RemoteProtocolError(f"no HTTP status: {event.status_code}")
        headers = list(event.headers.raw_items())
        self._head = ResponseHead(event.status_code, event.reason, headers)
        self._is_matching = self._pending_request.receiver.matches_request(self._head)
        if self._is_matching:
            self._pending_request.receiver.began(self._head)

    def _handle_end(self):
        if not self._is_matching:
            self._skip_response()
            return
        if self._is_cut_short():
            self._fail(Loss.CLOSED_MIDWAY)
            return
        pending_request, self._pending_request = self._pending_request, None
        if pending_request.is_over:
            return
        receiver = pending_request.close()
        self._release_or_abort()
        receiver.ended()
        if not self.is_closed:
            # A slow reader of this response may have paused the connection, and the
            # next response, or the close of the idle connection, would not be read.
            self.resumeProducing()

    def _is_cut_short(self):
        """Return whether the end of a response may be that of the endpoint itself.

        The close of the connection proves that a response without a length is whole
        only once the endpoint could read the whole request.
        """
        return self._is_writing and self._head.ends_with_connection

    @property
    def _is_writing(self):
        """Bool : whether a part of the request was not accepted by the socket."""
        return self._upload is not None and not self._upload.is_written

    def _skip_response(self):
        """Skip a response that belongs to another request, and read the next one."""
        if self._codec.their_state is not h11.DONE:
            self._fail(Loss.MALFORMED)
            return
        rest, _ = self._codec.trailing_data
        self._begin_codec()
        if rest:
            self._codec.receive_data(bytes(rest))

    def _release_or_abort(self):
        """Return the connection to the pool if it can be reused, or close it."""
        is_done = (
            self._codec.our_state is h11.DONE and self._codec.their_state is h11.DONE
        )
        has_more = bool(self._codec.trailing_data[0])
        is_short = len(self._request.body) <= MAX_REUSE_BODY_BYTES
        if not self._head.is_success:
            self._failed_ids.add(self._request.request_id)
        has_room = len(self._failed_ids) <= MAX_FAILED_REQUESTS
        is_over = is_done and not has_more and not self._is_writing
        is_usable = is_over and has_room and not self.is_closed
        self._request = self._upload = None
        if is_usable and is_short:
            self._pool.release(self, self._head)
        else:
            self.abort()

    def _fail(self, loss):
        pending_request, self._pending_request = self._pending_request, None
        self.abort()
        if pending_request is not None and not pending_request.is_over:
            pending_request.close().lost(loss)

    def connectionLost(self, reason):
        """End a response that is delimited by the close, or report the loss."""
        self.is_closed = True
        self._pool.discard(self)
        if self._is_waiting:
            self._lost_reason = reason
        else:
            self._handle_lost(reason)

    def _handle_lost(self, reason):
        if self._pending_request is None or self._pending_request.is_over:
            return
        if reason.check(ConnectionDone):
            self._handle_close()
        if self._is_waiting:
            self._lost_reason = reason
        elif self._pending_request is not None:
            self._fail(
                Loss.CLOSED_MIDWAY if self._is_matching else Loss.CLOSED_UNANSWERED
            )

    def _handle_close(self):
        """End a response without a length, which the close completes."""
        self._codec.receive_data(b"")
        try:
            self._read_events()
        except h11.RemoteProtocolError:
            # The response is incomplete; the caller of this reports the loss.
            return

    def abort(self):
        """Reset the connection."""
        if not self.is_closed:
            self.is_closed = True
            self._request = None
            self._pool.discard(self)
            self.transport.abortConnection()
