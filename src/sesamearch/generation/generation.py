"""One generation: numbered attempts that together produce one complete answer."""

import enum
from typing import Protocol

from automat import TypeMachineBuilder

from sesamearch.base.errors import ErrorKind, Problem
from sesamearch.generation.attempt import Attempt
from sesamearch.generation.cursor import checksum
from sesamearch.generation.engine import StreamEnd

__all__ = ["AttemptFailure", "Generation"]

RETRY_INTERVAL_S = 0.1
MAX_STANDBYS = 2
# Engines that may break off a generation before its first token: they may all have
# ended under it.
MAX_ENGINES_LOST = 5
# Weight of the newest gap in the moving average of token gaps.
_GAP_WEIGHT_RATIO = 0.1
_NEVER_S = float("inf")


class AttemptFailure(enum.Enum):
    """Why an attempt failed and is replaced.

    ``STALL`` means that no event arrived in time, ``MISMATCH`` that an event had
    another version or skipped tokens. ``CONNECTION``, ``REFUSED`` and ``GONE``
    correspond to ``LOST``, ``REFUSED`` and ``GONE`` of :class:`StreamEnd`.
    """

    CONNECTION = "connection"
    STALL = "stall"
    REFUSED = "refused"
    GONE = "gone"
    MISMATCH = "mismatch"


class _Inputs(Protocol):
    def opened(self) -> None:
        """Record that an attempt was started."""

    def delivered(self) -> None:
        """Record the first token of an attempt."""

    def failed(self) -> None:
        """Record that the current attempt failed."""

    def ended(self) -> None:
        """Record that the generation is over."""


def _build_state_machine():
    builder = TypeMachineBuilder(_Inputs, Generation)
    recovering = builder.state("recovering")
    starting = builder.state("starting")
    streaming = builder.state("streaming")
    ended = builder.state("ended")
    recovering.upon(_Inputs.opened).to(starting).returns(None)
    recovering.upon(_Inputs.delivered).to(streaming).returns(None)
    recovering.upon(_Inputs.failed).loop().returns(None)
    starting.upon(_Inputs.delivered).to(streaming).returns(None)
    starting.upon(_Inputs.failed).to(recovering).returns(None)
    streaming.upon(_Inputs.delivered).loop().returns(None)
    streaming.upon(_Inputs.failed).to(recovering).returns(None)
    for state in (recovering, starting, streaming):

        @state.upon(_Inputs.ended).to(ended)
        def release(inputs, generation):
            generation._release()

    for ignored in (_Inputs.opened, _Inputs.delivered, _Inputs.failed, _Inputs.ended):
        ended.upon(ignored).loop().returns(None)
    return builder.build()


class Generation:
    """Deliver one complete answer over as many attempts as it takes.

    Call :meth:`start` for a new answer, or :meth:`resume_from_cursor` for a caller
    that sent a cursor.
    The owner calls :meth:`check` regularly to detect stalls and passed deadlines.

    A stalled attempt is kept until another one delivers; while it is open, only the
    deadline of the request ends the answer. It stays on standby while the next one
    starts. Both continue the same delivered prefix, with the same seed and, after the
    first token, the same version; the first of them to deliver the next token becomes
    the current attempt, and the others are cancelled.

    Parameters
    ----------
    request : GenerationRequest
    tools : GenerationTools
    sink : AnswerSink
    on_end : callable or None
        Called with the generation when it is over.
    """

    __slots__ = (
        "_clock",
        "_current",
        "_cursor_stream_id",
        "_engines_lost",
        "_event_deadline_s",
        "_gap_s",
        "_has_begun",
        "_interrupted_at_s",
        "_last_event_s",
        "_on_end",
        "_paused",
        "_policy",
        "_reattached",
        "_resume_deadline_s",
        "_retry",
        "_sink",
        "_standbys",
        "_state",
        "_text",
        "_tools",
        "_tried",
        "_unrefused_attempts",
        "attempts",
        "crc",
        "is_over",
        "offset_tokens",
        "request",
        "resume_latency_s",
        "version",
    )

    def __init__(self, request, tools, sink, on_end=None):
        self.request = request
        self.version = request.version
        self.attempts = 0
        self.offset_tokens = 0
        self.crc = 0
        self.is_over = False
        self.resume_latency_s = []
        self._clock = tools.clock
        self._policy = request.service.resume
        self._tools = tools
        self._sink = sink
        self._on_end = on_end
        self._state = _state_machine(self)
        self._text = []
        self._current = None
        # The attempt that the caller's last cursor names.
        self._cursor_stream_id = ""
        self._standbys = []
        self._tried = set()
        # Number of attempts that were not refused by their endpoint, so may have run.
        self._unrefused_attempts = 0
        self._engines_lost = 0
        self._has_begun = False
        self._paused = False
        self._reattached = False
        self._retry = None
        self._gap_s = 0.0
        self._last_event_s = 0.0
        self._event_deadline_s = _NEVER_S
        self._resume_deadline_s = None
        self._interrupted_at_s = None

    # Start

    def start(self):
        """Start a new answer; fail at once if no endpoint can be chosen."""
        if not self._open_next():
            self._fail(ErrorKind.NO_ENDPOINT, "no endpoint serves this model")

    def resume_from_cursor(self, position, delivered):
        """Resume an answer that another router, or this one, began.

        Parameters
        ----------
        position : Position
            Decoded from the caller's cursor.
        delivered : str or None
            The text that the caller has received, if the caller sent that text.
            Without it only an attempt that is still running can be continued.
        """
        cursor = position.cursor
        self.version = cursor.version
        self.attempts = cursor.attempt
        self.offset_tokens = position.offset_tokens
        self.crc = position.crc
        if delivered is None:
            self._text = [] if position.offset_tokens == 0 else None
        elif checksum(delivered) != position.crc:
            self._fail(ErrorKind.BAD_CURSOR, "delivered text does not match the cursor")
            return
        else:
            self._text = [delivered]
        self._cursor_stream_id = cursor.stream_id
        self._unrefused_attempts = 1
        self._interrupted_at_s = self._clock.seconds()
        self._resume_deadline_s = self._interrupted_at_s + self._policy.resume_timeout_s
        endpoint = self._tools.placement.find(cursor.endpoint)
        if endpoint is None:
            self._recover()
        else:
            self._attach(endpoint, cursor.stream_id)

    # Events of attempts

    def handle_events(self, attempt, events):
        """Handle :class:`StreamEvent` objects of an :class:`Attempt`, as a list."""
        if attempt is not self._current and not self._promote(attempt, events):
            self._tools.counters.tokens_late += sum(event.tokens for event in events)
            return
        start_tokens = self.offset_tokens
        for event in events:
            if attempt is not self._current or self.is_over:
                self._tools.counters.tokens_late += event.tokens
            elif event.version != self.version or event.index > self.offset_tokens:
                attempt.close(cancel=True)
                self._handle_failure(AttemptFailure.MISMATCH)
            elif event.finish_reason is not None:
                self._handle_final_event(event)
            elif event.index == self.offset_tokens:
                self._deliver(event)
        if self.offset_tokens > start_tokens:
            self._tools.counters.tokens_delivered += self.offset_tokens - start_tokens
            if not self.is_over:
                self._update_stall_deadline()
                self._sink.flush()

    def _promote(self, attempt, events):
        """Make a stalled attempt current if it has the next token.

        Returns
        -------
        bool
            Whether the attempt is now the current one.
        """
        if attempt not in self._standbys or not events:
            return False
        first = events[0]
        if first.index > self.offset_tokens or first.version != attempt.version:
            # It skipped tokens or changed its version, so it cannot go on.
            self._standbys.remove(attempt)
            attempt.close(cancel=True)
            return False
        if first.index < self.offset_tokens:
            return False
        self._standbys.remove(attempt)
        if self._current is not None:
            self._current.close(cancel=True)
        self._current = attempt
        self.version = attempt.version
        return True

    def _deliver(self, event):
        if not self._has_begun:
            self._begin_answer()
        self.offset_tokens += event.tokens
        self.crc = checksum(event.text, self.crc)
        if self._text is not None:
            self._text.append(event.text)
        self._sink.token(self._event_id(), event.text)

    def _begin_answer(self):
        self._has_begun = True
        self._sink.begin(self.version)

    def _event_id(self):
        prefix = self._current.cursor_prefix
        return b"%s.%d.%08x" % (prefix, self.offset_tokens, self.crc)

    def _update_stall_deadline(self):
        now_s = self._clock.seconds()
        if self._interrupted_at_s is not None or not self._last_event_s:
            self._record_progress(now_s)
        else:
            gap_s = now_s - self._last_event_s
            self._gap_s += _GAP_WEIGHT_RATIO * (gap_s - self._gap_s)
        self._last_event_s = now_s
        if not self._paused:
            policy = self._policy
            stall_s = max(policy.stall_floor_s, policy.stall_gap_ratio * self._gap_s)
            self._event_deadline_s = now_s + stall_s

    def _record_progress(self, now_s):
        if self._interrupted_at_s is not None:
            self.resume_latency_s.append(now_s - self._interrupted_at_s)
            self._interrupted_at_s = None
        self._state.delivered()
        self._current.note_answer()
        self._cursor_stream_id = self._current.stream_id
        self._tools.placement.succeeded(self._current.endpoint)
        self._resume_deadline_s = None
        self._reattached = False
        self._tried.clear()
        self._stop_retry()
        self._drop_standbys()

    def _handle_final_event(self, event):
        if event.index != self.offset_tokens:
            return
        self._update_stall_deadline()
        self._current.report(is_complete=True, gap_s=self._gap_s)
        self._current.close(cancel=False)
        self._end()
        if not self._has_begun:
            self._begin_answer()
        self._sink.finish(self._event_id(), event.finish_reason, self.offset_tokens)

    def handle_end(self, attempt, reason, detail):
        """Handle the :class:`StreamEnd` of an :class:`Attempt`."""
        attempt.close(cancel=False)
        if attempt in self._standbys:
            self._standbys.remove(attempt)
        elif attempt is not self._current or self.is_over:
            return
        elif reason is StreamEnd.INVALID and not self._open_attempts():
            self._fail(ErrorKind.BAD_REQUEST, detail)
        else:
            if reason is StreamEnd.BROKEN_OFF and not self.offset_tokens:
                self._engines_lost += 1
            self._handle_failure(_FAILURE_BY_END[reason])

    # Failures and the next attempt

    def check(self, now_s):
        """Fail the current attempt on a stall, or the generation at its deadline.

        Parameters
        ----------
        now_s : float
            Current time on the clock of the generation.
        """
        if self.is_over:
            return
        if now_s >= self.request.deadline_s:
            self._fail(ErrorKind.DEADLINE_PASSED, "generation exceeded its timeout")
        elif now_s >= self._event_deadline_s:
            self._handle_failure(AttemptFailure.STALL)

    def _handle_failure(self, failure):
        now_s = self._clock.seconds()
        self._state.failed()
        self._event_deadline_s = _NEVER_S
        if self._interrupted_at_s is None:
            self._interrupted_at_s = self._last_event_s or now_s
        if self._resume_deadline_s is None:
            self._resume_deadline_s = now_s + self._policy.resume_timeout_s
        if failure is AttemptFailure.REFUSED:
            self._unrefused_attempts -= 1
        elif failure is AttemptFailure.STALL:
            self._current.note_silent(self._gap_s)
        elif failure is not AttemptFailure.GONE:
            self._current.report(is_complete=False, gap_s=self._gap_s)
        endpoint = self._current.endpoint
        # Only the connection may have failed: re-attach once to the attempt, which may
        # still run, before another one is started.
        if (
            failure is AttemptFailure.CONNECTION
            and self.offset_tokens
            and not self._reattached
        ):
            self._attach(endpoint, self._current.stream_id)
            return
        if failure is not AttemptFailure.GONE:
            self._tools.placement.failed(endpoint)
        self._tried.add(endpoint.name)
        self._recover()

    def _recover(self):
        self._stop_retry()
        lacks_text = self.offset_tokens and self._text is None
        now_s = self._clock.seconds()
        if self._open_attempts():
            # A silent attempt may go on, and the time to resume begins at its loss.
            self._resume_deadline_s = now_s + self._policy.resume_timeout_s
        elif self._engines_lost >= MAX_ENGINES_LOST and not self.offset_tokens:
            self._fail(ErrorKind.GENERATION_LOST, "engines end under this request")
            return
        elif lacks_text:
            self._fail(ErrorKind.GENERATION_LOST, "engine lost, caller sent no text")
            return
        elif now_s >= self._resume_deadline_s:
            self._fail(ErrorKind.GENERATION_LOST, "no endpoint of this version in time")
            return
        if lacks_text or not self._open_next():
            self._reset_tried()
            self._retry = self._clock.callLater(RETRY_INTERVAL_S, self._recover)

    def _open_attempts(self):
        attempts = [*self._standbys, self._current]
        return [a for a in attempts if a is not None and a.is_open]

    def _reset_tried(self):
        # All endpoints may be tried again, except those that still have an open
        # stalled attempt: they would stall a second one as well.
        self._tried = {attempt.endpoint.name for attempt in self._open_attempts()}

    def _open_next(self):
        endpoint = self._choose()
        if endpoint is None:
            return False
        self._put_on_standby()
        prefix = "".join(self._text)
        self._text = [prefix] if prefix else []
        timeout_s = self._policy.first_token_timeout_s
        if self.offset_tokens:
            self._tools.counters.resumes += 1
            self._tools.counters.prefill_extra_tokens += self.offset_tokens
            timeout_s = self._policy.resume_first_token_timeout_s
        self._begin_attempt(endpoint, timeout_s)
        self._current.open(prefix, self.offset_tokens)
        if self._paused:
            self.pause()
        return True

    def _put_on_standby(self):
        stalled = self._current
        if stalled is None or not stalled.is_open:
            return
        self._standbys.append(stalled)
        if len(self._standbys) > MAX_STANDBYS:
            # The oldest attempt is kept: only it can have delivered.
            self._standbys.pop(1).close(cancel=True)

    def _drop_standbys(self):
        standbys, self._standbys = self._standbys, []
        for attempt in standbys:
            attempt.close(cancel=True)

    def _choose(self):
        placement, service = self._tools.placement, self.request.service
        endpoint = placement.choose(service.service, self.version, self._tried)
        if endpoint is not None or self.offset_tokens:
            return endpoint
        for version in service.versions:
            if version.share_ratio > 0:
                endpoint = placement.choose(service.service, version.name, self._tried)
                if endpoint is not None:
                    self.version = version.name
                    return endpoint
        return None

    def _attach(self, endpoint, stream_id):
        self._reattached = True
        self._tools.counters.reattaches += 1
        self._begin_attempt(endpoint, self._policy.reattach_timeout_s, stream_id)
        self._current.attach(self.offset_tokens)
        if self._paused:
            self.pause()

    def _begin_attempt(self, endpoint, timeout_s, stream_id=None):
        self._stop_retry()
        self.attempts += 1
        self._unrefused_attempts += 1
        self._event_deadline_s = self._clock.seconds() + timeout_s
        self._last_event_s = 0.0
        self._state.opened()
        self._current = Attempt(
            self.attempts,
            endpoint,
            self.version,
            self.request,
            self._tools,
            self,
            stream_id,
        )

    def _stop_retry(self):
        retry, self._retry = self._retry, None
        if retry is not None and retry.active():
            retry.cancel()

    # Events of the caller's connection, and the end

    def pause(self):
        """Stop reading from the engine while the caller's connection is full."""
        self._paused = True
        self._event_deadline_s = _NEVER_S
        for attempt in self._open_attempts():
            attempt.pause()

    def resume(self):
        """Continue reading; the pause does not count as a stall."""
        self._paused = False
        self._last_event_s = 0.0
        for attempt in self._open_attempts():
            attempt.resume()
        if self._current is not None and self._current.is_open:
            now_s = self._clock.seconds()
            self._event_deadline_s = now_s + self._policy.first_token_timeout_s

    def caller_left(self):
        """Cancel the generation because its caller disconnected."""
        if not self.is_over:
            self._tools.counters.callers_left += 1
            self._end()

    def hand_over(self):
        """End without stopping the engine, so that another router can resume.

        Attempts that no cursor names are cancelled, since no router can find them.
        """
        if self.is_over:
            return
        for attempt in self._open_attempts():
            if attempt.stream_id == self._cursor_stream_id:
                attempt.close(cancel=False)
        self._end()
        self._sink.fail(Problem(ErrorKind.HAND_OVER, "this router is shutting down"))

    def _fail(self, kind, detail):
        if self._unrefused_attempts and kind is not ErrorKind.BAD_REQUEST:
            kind = ErrorKind.GENERATION_LOST
            self._tools.counters.generations_lost += 1
        elif kind is ErrorKind.GENERATION_LOST:
            # Every attempt was refused by its endpoint, so nothing has run.
            kind = ErrorKind.NO_ENDPOINT
        self._end()
        self._sink.fail(Problem(kind, detail))

    def _end(self):
        self._state.ended()

    def _release(self):
        self.is_over = True
        self._event_deadline_s = _NEVER_S
        self._stop_retry()
        self._drop_standbys()
        if self._current is not None:
            self._current.close(cancel=True)
        if self._on_end is not None:
            self._on_end(self)


_FAILURE_BY_END = {
    StreamEnd.LOST: AttemptFailure.CONNECTION,
    StreamEnd.BROKEN_OFF: AttemptFailure.CONNECTION,
    StreamEnd.GONE: AttemptFailure.GONE,
    StreamEnd.REFUSED: AttemptFailure.REFUSED,
    StreamEnd.INVALID: AttemptFailure.REFUSED,
}
_state_machine = _build_state_machine()
