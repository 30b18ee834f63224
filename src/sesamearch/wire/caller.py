"""Connections from callers: requests on one connection are served in order."""

import traceback

import h11
import msgspec
from twisted.internet.protocol import Factory, Protocol

from sesamearch.base.log import logger
from sesamearch.wire.framing import check_framing, content_length
from sesamearch.wire.head import HeadError, HeadReader, RequestHead
from sesamearch.wire.reply import Reply

__all__ = [
    "CallerConnection",
    "CallerFactory",
    "CallerLimits",
]

LINGER_S = 1.0
BODY_STALL_TIMEOUT_S = 10.0
CONTINUE = 100


class CallerLimits(msgspec.Struct, frozen=True):
    """Limits on the size and the duration of one caller's requests.

    Parameters
    ----------
    header_bytes, body_bytes : int
        Largest head and largest body of a request.
    header_timeout_s : float
        Time from the first byte of a request to the end of its head.
    idle_timeout_s : float
        Time that a connection may stay open without a request.
    """

    header_bytes: int = 16 << 10
    body_bytes: int = 4 << 20
    header_timeout_s: float = 5.0
    idle_timeout_s: float = 30.0


class CallerConnection(Protocol):
    """One connection from a caller.

    Parameters
    ----------
    factory : CallerFactory
    """

    def __init__(self, factory):
        self.factory = factory
        self._clock = factory.clock
        self._codec = None
        self._head = None
        self._body = bytearray()
        self._is_head_only = False
        self._reply = None
        self._reader = self._new_reader()
        self._pending = []
        # Arrival of the bytes that are read, of the oldest pending ones, and of the
        # first byte of the present request.
        self._read_s = 0.0
        self._pending_since_s = 0.0
        self._begun_s = 0.0
        self._is_resuming = False
        self._timer = None
        self._deadline_s = 0.0
        self._idle_since_s = self._clock.seconds()
        self._is_closing = False

    def _new_reader(self):
        return HeadReader(self.factory.limits().header_bytes)

    def connectionMade(self):
        """Register the connection and wait for the first request."""
        self.transport.setTcpNoDelay(True)
        self.factory.connections.add(self)
        self._wait_idle()

    def connectionLost(self, reason):
        """Notify the handler of a pending request that the caller disconnected."""
        self.factory.connections.discard(self)
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        reply, self._reply = self._reply, None
        self._is_closing = True
        if reply is not None:
            reply.caller_left()
        self._report_unread()

    def _report_unread(self):
        """Report bytes of a further request that are lost with the connection."""
        codec, rest = self._codec, b""
        if codec is not None and codec.their_state in (h11.DONE, h11.MUST_CLOSE):
            rest = bytes(codec.trailing_data[0])
        unread = b"".join([rest, *self._pending])
        if unread:
            self.factory.unread(unread)

    # Timeouts. Each connection has one timer, which is only moved to an earlier
    # time: most requests arrive long before it fires, and a timer that fires too
    # early is started again for the remaining time.

    def _arm(self, timeout_s):
        self._deadline_s = self._clock.seconds() + timeout_s
        if self._timer is None:
            self._timer = self._clock.callLater(timeout_s, self._timed_out)
        elif self._timer.getTime() > self._deadline_s:
            self._timer.reset(timeout_s)

    def _wait_idle(self):
        self._idle_since_s = self._clock.seconds()
        self._arm(self.factory.limits().idle_timeout_s)

    def _timed_out(self):
        self._timer = None
        if self._reply is not None or self._is_closing:
            return
        remaining_s = self._deadline_s - self._clock.seconds()
        if self.is_idle:
            # The limit may have been raised since this connection became idle.
            until_s = self._idle_since_s + self.factory.limits().idle_timeout_s
            remaining_s = max(remaining_s, until_s - self._clock.seconds())
        if remaining_s > 0:
            self._timer = self._clock.callLater(remaining_s, self._timed_out)
        elif self.is_idle:
            self.close_if_idle()
        else:
            self._refuse(408, "request sent too slowly")

    @property
    def is_idle(self):
        """Bool : whether no request is being received or answered, nor an answer sent.

        A connection that is being closed may still have bytes of an answer to send.
        """
        return not (
            self._is_closing
            or self._reply is not None
            or self._codec is not None
            or self._reader.has_begun
            or self._is_resuming
        )

    # Reading.

    def dataReceived(self, data):
        """Read bytes from the caller, or buffer them while a request is answered."""
        if self._is_closing:
            return
        if self._reply is not None or self._is_resuming:
            self._buffer_pipelined(data)
            return
        self._read_s = self._clock.seconds()
        self._advance(data)

    def _buffer_pipelined(self, data):
        if not self._pending:
            self._pending_since_s = self._clock.seconds()
        self._pending.append(data)
        if sum(map(len, self._pending)) > self.factory.limits().header_bytes:
            self.transport.pauseProducing()

    def _advance(self, data):
        try:
            if self._codec is None:
                self._read_head(data)
            elif data:
                self._codec.receive_data(data)
            if self._codec is not None:
                self._read_events()
        except HeadError as error:
            self._refuse(error.status, str(error))
        except h11.RemoteProtocolError as error:
            self._refuse(error.error_status_hint, str(error))

    def _read_head(self, data):
        if not self._reader.has_begun and data:
            self._begun_s = self._read_s
            self._arm(self.factory.limits().header_timeout_s)
        complete = self._reader.feed(data)
        if complete is None:
            return
        head, rest = complete
        self._codec = h11.Connection(
            h11.SERVER, max_incomplete_event_size=self.factory.limits().header_bytes
        )
        self._codec.receive_data(head)
        if rest:
            self._codec.receive_data(rest)
        self._arm(BODY_STALL_TIMEOUT_S)

    def _read_events(self):
        while True:
            event = self._codec.next_event()
            if event is h11.NEED_DATA:
                self._send_continue()
                return
            if isinstance(event, h11.Request):
                self._handle_head(event)
            elif isinstance(event, h11.Data):
                self._handle_data(event.data)
            elif isinstance(event, h11.EndOfMessage):
                self._handle_request()
                return
            elif isinstance(event, h11.ConnectionClosed):
                return

    def _send_continue(self):
        if self._codec.they_are_waiting_for_100_continue:
            response = h11.InformationalResponse(status_code=CONTINUE, headers=[])
            self.transport.write(self._codec.send(response))

    def _handle_head(self, event):
        headers = list(event.headers.raw_items())
        check_framing(event)
        self._head = RequestHead(event.method, event.target, headers)
        self._check_size(int(content_length(event)))

    def _check_size(self, size_bytes):
        if size_bytes > self.factory.limits().body_bytes:
            raise HeadError(413, "body too large")

    def _handle_data(self, data):
        self._body += data
        self._check_size(len(self._body))
        self._arm(BODY_STALL_TIMEOUT_S)

    def _handle_request(self):
        head, body = self._head, bytes(self._body)
        self._head, self._body = None, bytearray()
        self._is_head_only = head.method == b"HEAD"
        self._reply = reply = Reply(self, self._begun_s)
        try:
            self.factory.handler(head, body, reply)
        except Exception:
            # Without an answer, the caller would wait until its deadline.
            logger.error("handler of a request failed: {}", traceback.format_exc())
            reply.fail()

    # Writing.

    def _refuse(self, status, detail):
        """Answer an unreadable request with an error status, and close."""
        self._is_closing = True
        self.factory.refused(status, detail)
        lines = (
            b"HTTP/1.1 %d \r\nConnection: close\r\nContent-Length: 0\r\n\r\n" % status
        )
        self.transport.write(lines)
        self._close_gracefully()

    def _close_gracefully(self):
        """Close the write side first, and reset the connection after a delay.

        An immediate close while the caller is still sending would reset the
        connection, and the caller could lose the response.
        """
        self.transport.loseWriteConnection()
        self._clock.callLater(LINGER_S, self.transport.abortConnection)

    def send_head(self, status, reason, headers):
        """Write the head of the response."""
        if self.factory.is_draining and not self._has_next:
            headers = [*headers, (b"Connection", b"close")]
        self._send(h11.Response, status_code=status, reason=reason, headers=headers)

    @property
    def _has_next(self):
        """Bool : whether bytes of a next request were read with the present one."""
        return bool(self._pending or self._codec.trailing_data[0])

    def send_data(self, data):
        """Write a part of the response body, which a ``HEAD`` request does not get."""
        if not self._is_head_only:
            self._send(h11.Data, data=data)

    def _send(self, event_type, **fields):
        """Write a part of the response; reset the connection if it is invalid."""
        if self._is_closing:
            return
        try:
            data = self._codec.send(event_type(**fields))
        except h11.LocalProtocolError as error:
            logger.error("response that cannot be sent: {}", error)
            self.abort()
            return
        if data:
            self.transport.write(data)

    def finish(self):
        """End the response and process the requests buffered in the meantime."""
        self._send(h11.EndOfMessage)
        if self._is_closing:
            return
        self._reply = None
        self.transport.unregisterProducer()
        if self._codec.our_state is not h11.DONE or (
            self._codec.their_state is not h11.DONE
        ):
            self._is_closing = True
            self.transport.loseConnection()
            return
        self._next_request()

    def _next_request(self):
        rest, _ = self._codec.trailing_data
        self._codec = None
        if rest:
            self._pending.insert(0, bytes(rest))
        else:
            self._read_s = self._pending_since_s
        self._reader = self._new_reader()
        self._wait_idle()
        if self._pending:
            # Bytes that arrive until then are buffered behind these.
            self._is_resuming = True
            self._clock.callLater(0, self._feed_pending)
        self.transport.resumeProducing()

    def _feed_pending(self):
        self._is_resuming = False
        data, self._pending = b"".join(self._pending), []
        if not self._is_closing:
            self._advance(data)

    def abort(self):
        """Reset the connection."""
        self._is_closing = True
        self._reply = None
        self.transport.abortConnection()

    def set_producer(self, source):
        """Register the push producer that is paused while the caller reads slowly.

        It replaces the previous one; None only unregisters.
        """
        self.transport.unregisterProducer()
        if source is not None and not self._is_closing:
            self.transport.registerProducer(source, True)

    def close_if_idle(self):
        """Close the connection unless a request is being received or answered."""
        if self.is_idle:
            self._is_closing = True
            self.transport.loseConnection()


class CallerFactory(Factory):
    """Creates the connections of one listener.

    Parameters
    ----------
    clock : twisted.internet.interfaces.IReactorTime
    handler : callable
        Called with a :class:`RequestHead`, the body and a :class:`Reply`.
    limits : callable
        Returns the :class:`CallerLimits` in force.
    refused : callable
        Called with the status and the detail of each unreadable request.
    unread : callable
        Called with the bytes of further requests that were lost with a connection; by
        default they are not reported.

    Attributes
    ----------
    connections : set of CallerConnection
        Open connections.
    is_draining : bool
        Whether each response carries ``Connection: close``.
    """

    noisy = False

    def __init__(self, clock, handler, limits, refused, unread=lambda data: None):
        self.clock = clock
        self.handler = handler
        self.limits = limits
        self.refused = refused
        self.unread = unread
        self.connections = set()
        self.is_draining = False

    def buildProtocol(self, address):
        """Return the protocol for a new connection."""
        return CallerConnection(self)

    def close_idle(self):
        """Close all idle connections."""
        for connection in list(self.connections):
            connection.close_if_idle()
