"""One connection from a caller, whose requests are served in order."""

import traceback

import h11
from twisted.internet.protocol import Protocol

from sesamearch.base.log import logger
from sesamearch.wire.account import CallerHolding
from sesamearch.wire.ahead import BytesAhead
from sesamearch.wire.body import BodyBuffer
from sesamearch.wire.caller_limits import larger_limits
from sesamearch.wire.framing import check_framing, content_length, has_chunks
from sesamearch.wire.head import HeadError, HeadReader, RequestHead
from sesamearch.wire.outlet import Outlet, OutletListener
from sesamearch.wire.read_budget import BudgetedReader, ReadShare
from sesamearch.wire.reply import Reply
from sesamearch.wire.timer import MovableTimer
from sesamearch.wire.upload import UPLOAD_PIECE_BYTES

__all__ = ["CallerConnection"]

LINGER_S = 1.0
BODY_STALL_TIMEOUT_S = 10.0
# A caller that takes no byte of its answers for so long is disconnected.
UNREAD_TIMEOUT_S = 30.0
# An answer that holds more on its way may be cut off for want of memory.
LARGE_ANSWER_BYTES = 64 << 10
# Bytes of a body that are taken as they are, for one step of the read budget.
STEP_BYTES = 16 << 10
CONTINUE = 100


class CallerConnection(Protocol, CallerHolding, OutletListener, BudgetedReader):
    """One connection from a caller.

    Parameters
    ----------
    factory : CallerFactory
    """

    def __init__(self, factory):
        self.factory = factory
        self.has_asked = False
        self.held_bytes = 0
        self.progress_s = factory.clock.seconds()
        self._clock = factory.clock
        self._codec = None
        self._head = None
        self._body = BodyBuffer()
        self._is_body_due = False
        self._is_head_only = False
        self._reply = None
        self._reader = HeadReader()
        self._outlet = None
        # Estimate for the body of the request that is handled.
        self._handled_bytes = 0
        self._ahead = BytesAhead()
        self._is_reading = True
        # Whether the rest of what was read waits for the read budget.
        self._is_waiting = False
        # Size of what the codec was given and may not have handled yet.
        self._unhandled_bytes = 0
        self.read_share = ReadShare(self.progress_s)
        self._body_by_s = 0.0
        self._unread_bytes = 0
        self._is_aborted = False
        # Arrival of the bytes that are read, and of the first byte of the present
        # request, each with the limits in force then.
        self._read_s = 0.0
        self._read_limits = factory.limits()
        self._begun_s = 0.0
        self._begun_limits = self._read_limits
        self._is_resuming = False
        self._is_noting = False
        self._timer = MovableTimer(self._clock, self._timed_out)
        # Resets the connection some time after it was refused.
        self._linger = None
        self._idle_since_s = self._clock.seconds()
        self._head_since_s = self._idle_since_s
        self._is_closing = False

    @property
    def _limits(self):
        """CallerLimits : what holds for the present request.

        Limits that change while it arrives refuse nothing that was allowed when it
        began, or is allowed now.
        """
        return larger_limits(self._begun_limits, self.factory.limits())

    def connectionMade(self):
        """Register the connection and wait for the first request."""
        self.transport.setTcpNoDelay(True)
        # The account measures the connection as soon as it is open.
        self._outlet = Outlet(self.transport, self)
        if not self.factory.account.open(self):
            self._abort()
            return
        self.factory.connections.add(self)
        self._wait_idle()

    def connectionLost(self, reason):
        """Notify the handler of a pending request that the caller disconnected."""
        self.factory.connections.discard(self)
        self.factory.account.close(self)
        self._timer.close()
        if self._linger is not None and self._linger.active():
            self._linger.cancel()
        reply, self._reply = self._reply, None
        self._is_closing = True
        if reply is not None:
            reply.caller_left()
        self._report_unread()
        self._forget_request()
        self._outlet.disconnect()

    def _report_unread(self):
        """Report bytes of a further request that are lost with the connection."""
        codec, rest = self._codec, b""
        if codec is not None and codec.their_state in (h11.DONE, h11.MUST_CLOSE):
            rest = bytes(codec.trailing_data[0])
        unread = rest + self._ahead.peek()
        if unread:
            self.factory.unread(unread)

    # Timeouts.

    def _wait_idle(self):
        self._idle_since_s = self._clock.seconds()
        self._timer.arm(self.factory.limits().idle_timeout_s)

    def _timed_out(self):
        if self._reply is not None and not self._outlet.is_blocked:
            return
        if self._is_closing or self._outlet.is_blocked:
            self._check_unread()
            return
        if self._is_waiting and self._clock.seconds() < self._body_by_s:
            # It is not the caller that is slow.
            self._timer.arm(BODY_STALL_TIMEOUT_S)
            return
        # The limit may have been raised since the timer was set.
        until_s = max(self._timer.deadline_s, self._deadline_by_present_limits_s())
        remaining_s = until_s - self._clock.seconds()
        if remaining_s > 0:
            self._timer.wait(remaining_s)
        elif self.is_idle:
            self.close_if_idle()
        else:
            self._refuse(408, "request sent too slowly")

    def _deadline_by_present_limits_s(self):
        limits = self.factory.limits()
        if self.is_idle:
            return self._idle_since_s + limits.idle_timeout_s
        if self._codec is None:
            return self._head_since_s + limits.header_timeout_s
        return self._timer.deadline_s

    def _check_unread(self):
        """Disconnect a caller that has not read anything since the last check."""
        unread_bytes = self._outlet.unsent_bytes
        if unread_bytes and unread_bytes == self._unread_bytes:
            self._abort()
        elif unread_bytes or not self._is_closing:
            self._unread_bytes = unread_bytes
            self._timer.arm(UNREAD_TIMEOUT_S)

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
            or self._outlet.is_blocked
        )

    @property
    def is_settled(self):
        """Bool : whether the connection loses nothing if the process ends now.

        An idle connection may still have the end of its last answer to send.
        """
        return self.is_idle and not self._outlet.unsent_bytes

    # Room for the callers of the whole process.

    @property
    def is_closing(self):
        """Bool : whether the connection only waits until its answer has arrived."""
        return self._is_closing

    @property
    def may_be_shed(self):
        """Bool : whether no request is handled whose caller still needs its answer.

        An answer that its caller does not read may be cut off, and so may a large one.
        """
        if self._is_aborted:
            return False
        if self._reply is None or self._outlet.is_blocked:
            return True
        answer_bytes = self.held_bytes - self._handled_bytes
        return self._reply.has_begun and answer_bytes > LARGE_ANSWER_BYTES

    def measure(self):
        """Return the memory that the connection holds now, in bytes."""
        if self._is_aborted:
            return 0
        received_bytes = self._reader.size_bytes + self._body.size_bytes
        received_bytes += self._unhandled_bytes
        handled_bytes = self._handled_bytes
        if self._reply is not None:
            handled_bytes = self._reply.held_bytes
        waiting_bytes = self._ahead.size_bytes + self._outlet.unsent_bytes
        return received_bytes + handled_bytes + waiting_bytes

    def shed(self):
        """Refuse what is being received, or close the connection."""
        if self.is_idle:
            self.close_if_idle()
        elif (
            self._is_closing
            or self._reply is not None
            or self._outlet.is_blocked
            or self._is_resuming
        ):
            self._abort()
        else:
            self._refuse_for_room()

    def note_held(self):
        """Count what the connection holds now."""
        if not self._is_aborted:
            self.factory.account.note(self, self.measure())

    def _note_soon(self):
        """Count what the connection holds, but after what is being done for it.

        It may be shed then, and with it the request that is being answered.
        """
        if not self._is_noting:
            self._is_noting = True
            self._clock.callLater(0, self._note_now)

    def _note_now(self):
        self._is_noting = False
        self.note_held()

    @property
    def untaken_bytes(self):
        """Int : size of what waits for a caller that does not read; zero otherwise."""
        return self._outlet.unsent_bytes if self._outlet.is_blocked else 0

    # Reading.

    def dataReceived(self, data):
        """Read bytes from the caller, or buffer them while a request is answered."""
        if self._is_closing:
            return
        self.progress_s = self._clock.seconds()
        if self._reply is not None or self._is_resuming or self._outlet.is_blocked:
            self._buffer_pipelined(data)
        else:
            self._read_s = self.progress_s
            self._read_limits = self.factory.limits()
            self._advance(data)
        self.note_held()

    def _buffer_pipelined(self, data):
        self._ahead.add(data, self._clock.seconds(), self.factory.limits())
        self._update_reading()

    def _update_reading(self):
        """Read on unless too much was sent ahead, or the read budget is used up."""
        is_short = self._ahead.size_bytes <= self.factory.limits().header_bytes
        may_read = is_short and not self._is_waiting
        if may_read == self._is_reading or self._is_closing:
            return
        self._is_reading = may_read
        if may_read:
            self.transport.resumeProducing()
        else:
            self.transport.pauseProducing()

    def outlet_changed(self):
        """Go on with the next request once the caller reads its answers."""
        self.progress_s = self._clock.seconds()
        if self._is_closing:
            return
        self._note_soon()
        if self._outlet.is_blocked:
            self._unread_bytes = 0
            self._timer.arm(UNREAD_TIMEOUT_S)
        elif self._reply is None:
            self._unread_bytes = 0
            self._wait_idle()
            self._schedule_pending()

    def _advance(self, data):
        try:
            if self._codec is None:
                self._read_head(data)
            elif data:
                self._unhandled_bytes += len(data)
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
            self._begun_limits = self._read_limits
            self._head_since_s = self._clock.seconds()
            self._timer.arm(self.factory.limits().header_timeout_s)
        complete = self._reader.feed(data, self._limits.header_bytes)
        if complete is None:
            return
        head, rest = complete
        self._codec = h11.Connection(
            h11.SERVER, max_incomplete_event_size=self._limits.header_bytes
        )
        self._codec.receive_data(head)
        self._unhandled_bytes = len(rest)
        if rest:
            self._codec.receive_data(rest)
        body_timeout_s = self.factory.body_timeout_s
        self._body_by_s = self._clock.seconds() + body_timeout_s
        self._timer.arm(min(BODY_STALL_TIMEOUT_S, body_timeout_s))

    def _read_events(self):
        budget = self.factory.account.read_budget
        budget.refresh()
        while True:
            if self._has_body and budget.is_spent:
                self._wait(budget)
                return
            event = self._codec.next_event()
            if event is h11.NEED_DATA:
                self._unhandled_bytes = 0
                self._send_continue()
                return
            if isinstance(event, h11.Request):
                self._handle_head(event)
            elif isinstance(event, h11.Data):
                budget.take(self, 1.0 + len(event.data) / STEP_BYTES)
                self._handle_data(event.data)
            elif isinstance(event, h11.EndOfMessage):
                self._unhandled_bytes = 0
                self._handle_request()
                return
            elif isinstance(event, h11.ConnectionClosed):
                return

    @property
    def _has_body(self):
        """Bool : whether the codec has read a head that a body follows."""
        return self._head is not None and self._is_body_due

    def _wait(self, budget):
        """Leave the rest of what was read for a later turn.

        A body in pieces of a byte would otherwise take all of the processor.
        """
        self._is_waiting = True
        self._update_reading()
        budget.wait(self)

    @property
    def pending_steps(self):
        """Float : least work for the rest of what was read."""
        return 1.0 + self._unhandled_bytes / STEP_BYTES

    def read_on(self):
        """Read on after a wait for the read budget."""
        self._is_waiting = False
        if self._is_closing or self._codec is None:
            return
        self._advance(b"")
        self._update_reading()
        self.note_held()

    def _send_continue(self):
        if self._codec.they_are_waiting_for_100_continue:
            response = h11.InformationalResponse(status_code=CONTINUE, headers=[])
            self.transport.write(self._codec.send(response))

    def _handle_head(self, event):
        headers = list(event.headers.raw_items())
        check_framing(event)
        self._head = RequestHead(event.method, event.target, headers)
        size_bytes = int(content_length(event))
        self._is_body_due = size_bytes > 0 or has_chunks(event)
        self._check_size(size_bytes)

    def _check_size(self, size_bytes):
        limit_bytes = self._limits.body_bytes
        if size_bytes > limit_bytes:
            raise HeadError(413, f"body larger than {limit_bytes} bytes")

    def _handle_data(self, data):
        self._body.add(data)
        self._check_size(self._body.size_bytes)
        remaining_s = self._body_by_s - self._clock.seconds()
        if remaining_s <= 0:
            raise HeadError(408, "request sent too slowly")
        self._timer.arm(min(BODY_STALL_TIMEOUT_S, remaining_s))

    def _handle_request(self):
        head, self._head = self._head, None
        body = self._body.take()
        self.has_asked = True
        self._handled_bytes = len(body) + UPLOAD_PIECE_BYTES * (len(body) > 0)
        self._ahead.trailing_bytes = len(self._codec.trailing_data[0])
        if not self.factory.account.admits(self, self.measure(), len(body)):
            self._refuse_for_room()
            return
        self._is_head_only = head.method == b"HEAD"
        self._reply = reply = Reply(self, self._begun_s)
        self._update_reading()
        try:
            self.factory.handler(head, body, reply)
        except Exception:
            # Without an answer, the caller would wait until its deadline.
            logger.error("handler of a request failed: {}", traceback.format_exc())
            reply.fail()

    # Writing.

    def _refuse_for_room(self):
        self._refuse(self.factory.no_room_status, "no room for further requests")

    def _refuse(self, status, detail):
        """Answer a request that is not handled with an error status, and close."""
        self._is_closing = True
        self._report_unread()
        self._forget_request()
        self.factory.refused(status, detail)
        headers, body = self.factory.refusal(status)
        lines = [b"HTTP/1.1 %d " % status]
        lines += [name + b": " + value for name, value in headers]
        lines += [b"Connection: close", b"Content-Length: %d" % len(body)]
        self.transport.write(b"\r\n".join(lines) + b"\r\n\r\n" + body)
        self._close_gracefully()

    def _forget_request(self):
        """Drop all that was read, since no more of it will be used."""
        self.factory.account.read_budget.leave(self)
        self._unhandled_bytes = 0
        self._codec = None
        self._reader = HeadReader()
        self._body.clear()
        self._ahead.take()
        self._handled_bytes = 0

    def _close_gracefully(self):
        """Close the write side first, and reset the connection after a delay.

        An immediate close while the caller is still sending would reset the
        connection, and the caller could lose the response.
        """
        self._outlet.close()
        self.transport.loseWriteConnection()
        self._linger = self._clock.callLater(LINGER_S, self._abort)

    def _close_when_sent(self):
        self._is_closing = True
        self._outlet.close()
        self.transport.loseConnection()
        self._unread_bytes = self._outlet.unsent_bytes
        if self._unread_bytes:
            self._timer.arm(UNREAD_TIMEOUT_S)

    def _abort(self):
        self._is_closing = True
        self._is_aborted = True
        reply, self._reply = self._reply, None
        if reply is not None:
            reply.caller_left()
        self.transport.abortConnection()

    def send_head(self, status, reason, headers):
        """Write the head of the response."""
        if self.factory.is_draining and not self._has_next:
            headers = [*headers, (b"Connection", b"close")]
        self._send(h11.Response, status_code=status, reason=reason, headers=headers)

    @property
    def _has_next(self):
        """Bool : whether bytes of a next request were read with the present one."""
        return bool(self._ahead or self._codec.trailing_data[0])

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
            if self._outlet.unsent_bytes:
                self._note_soon()
            else:
                self.progress_s = self._clock.seconds()

    def finish(self):
        """End the response and process the requests buffered in the meantime."""
        self._send(h11.EndOfMessage)
        if self._is_closing:
            return
        self._reply = None
        self._outlet.set_source(None)
        self._handled_bytes = 0
        if self._codec.our_state is not h11.DONE or (
            self._codec.their_state is not h11.DONE
        ):
            self._close_when_sent()
            return
        self._next_request()
        self.note_held()

    def _next_request(self):
        rest, _ = self._codec.trailing_data
        self._codec = None
        self._ahead.put_back(bytes(rest), self._read_s, self._read_limits)
        self._reader = HeadReader()
        self._wait_idle()
        self._schedule_pending()
        self._update_reading()

    def _schedule_pending(self):
        """Process the buffered bytes soon, unless the caller has to read first."""
        if self._ahead and not self._is_resuming and not self._outlet.is_blocked:
            # Bytes that arrive until then are buffered behind these.
            self._is_resuming = True
            self._clock.callLater(0, self._feed_pending)

    def _feed_pending(self):
        self._is_resuming = False
        if self._is_closing or self._outlet.is_blocked:
            return
        self._read_s, self._read_limits = self._ahead.since_s, self._ahead.limits
        self._advance(self._ahead.take())
        if not self._is_closing:
            self._update_reading()

    def abort(self):
        """Reset the connection."""
        self._reply = None
        self._abort()

    def set_producer(self, source):
        """Register the push producer that is paused while the caller reads slowly.

        It replaces the previous one; None only unregisters.
        """
        if not self._is_closing:
            self._outlet.set_source(source)

    def close_if_idle(self):
        """Close the connection unless a request is being received or answered."""
        if self.is_idle:
            self._close_when_sent()
