"""One generation: numbered attempts that together give one whole answer."""

import abc
import enum
import secrets
from typing import Protocol

import msgspec
from automat import TypeMachineBuilder

from sesamearch.cursor import Cursor, checksum
from sesamearch.engine import GenerationOrder, StreamEnd, StreamReceiver
from sesamearch.errors import ErrorKind, Problem

__all__ = [
    "AnswerSink",
    "Generation",
    "GenerationRequest",
    "GenerationTools",
    "Loss",
]

RETRY_INTERVAL_S = 0.1
_STREAM_ID_BYTES = 8
_GAP_WEIGHT_RATIO = 0.1
_NEVER_S = float("inf")


class GenerationRequest(msgspec.Struct, frozen=True):
    """What a caller asked for.

    Parameters
    ----------
    request_id, organisation : str
    service : EngineService
    version : str
        Chosen once; an answer keeps it after its first token.
    parameters : dict from str to msgspec.Raw
        The caller's body, passed through to the engine.
    body_digest : bytes
        Binds cursors to the body.
    seed, max_tokens : int
    deadline_s : float
        When the caller's answer is due, on the process's clock.
    traceparent : str
        Trace context, passed through.
    """

    request_id: str
    organisation: str
    service: object
    version: str
    parameters: dict[str, msgspec.Raw]
    body_digest: bytes
    seed: int
    max_tokens: int
    deadline_s: float
    traceparent: str = ""


class GenerationTools(msgspec.Struct, frozen=True):
    """What every generation of a router works with.

    Parameters
    ----------
    engines : EngineClient
    placement : Placement
    signer : CursorSigner
    clock : twisted.internet.interfaces.IReactorTime
    counters : Counters
    """

    engines: object
    placement: object
    signer: object
    clock: object
    counters: object


class AnswerSink(abc.ABC):
    """The caller's side of a generation."""

    @abc.abstractmethod
    def begin(self, version):
        """Take the version of the answer, once, before anything else of it."""

    @abc.abstractmethod
    def token(self, event_id, text):
        """Take delivered text; `event_id` is the cursor after it, as bytes."""

    @abc.abstractmethod
    def flush(self):
        """Write the tokens taken so far; more may follow."""

    @abc.abstractmethod
    def finish(self, event_id, finish_reason, tokens):
        """Take the end of a whole answer of `tokens` tokens."""

    @abc.abstractmethod
    def fail(self, problem):
        """Take the final error."""


class Loss(enum.Enum):
    """Why an attempt is replaced."""

    CONNECTION = "connection"
    STALL = "stall"
    REFUSED = "refused"
    GONE = "gone"
    MISMATCH = "mismatch"


class _AttemptReceiver(StreamReceiver):
    """Ties the events of a stream to its attempt number."""

    __slots__ = ("_attempt", "_generation")

    def __init__(self, generation, attempt):
        self._generation = generation
        self._attempt = attempt

    def events(self, events):
        self._generation.take_events(self._attempt, events)

    def ended(self, reason, detail):
        self._generation.take_end(self._attempt, reason, detail)


class _Inputs(Protocol):
    def opened(self) -> None:
        """Note that an attempt was started."""

    def delivered(self) -> None:
        """Note the first token of an attempt."""

    def lost(self) -> None:
        """Note that the attempt no longer serves."""

    def ended(self) -> None:
        """Note that the caller has its final answer."""


def _build_machine():
    builder = TypeMachineBuilder(_Inputs, Generation)
    recovering = builder.state("recovering")
    starting = builder.state("starting")
    streaming = builder.state("streaming")
    ended = builder.state("ended")
    recovering.upon(_Inputs.opened).to(starting).returns(None)
    recovering.upon(_Inputs.delivered).to(streaming).returns(None)
    recovering.upon(_Inputs.lost).loop().returns(None)
    starting.upon(_Inputs.delivered).to(streaming).returns(None)
    starting.upon(_Inputs.lost).to(recovering).returns(None)
    streaming.upon(_Inputs.delivered).loop().returns(None)
    streaming.upon(_Inputs.lost).to(recovering).returns(None)
    for state in (recovering, starting, streaming):

        @state.upon(_Inputs.ended).to(ended)
        def release(inputs, generation):
            generation._release()

    for ignored in (_Inputs.opened, _Inputs.delivered, _Inputs.lost, _Inputs.ended):
        ended.upon(ignored).loop().returns(None)
    return builder.build()


class Generation:
    """Deliver one whole answer over as many attempts as it takes.

    Call :meth:`start`, or :meth:`go_on` for a caller that brought a cursor.
    The owner calls :meth:`check` regularly; it finds stalls and deadlines.

    Parameters
    ----------
    request : GenerationRequest
    tools : GenerationTools
    sink : AnswerSink
    """

    __slots__ = (
        "_clock",
        "_cursor_prefix",
        "_deadline_s",
        "_unrefused",
        "_endpoint",
        "_gap_s",
        "_has_begun",
        "_last_event_s",
        "_life",
        "_lost_s",
        "_on_end",
        "_paused",
        "_policy",
        "_reattached",
        "_resume_deadline_s",
        "_retry",
        "_sink",
        "_stalled",
        "_stream",
        "_stream_id",
        "_text",
        "_tools",
        "_tried",
        "attempt",
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
        self.attempt = 0
        self.offset_tokens = 0
        self.crc = 0
        self.is_over = False
        self.resume_latency_s = []
        self._clock = tools.clock
        self._policy = request.service.resume
        self._tools = tools
        self._sink = sink
        self._on_end = on_end
        self._life = _machine(self)
        self._text = []
        self._stream = None
        self._stream_id = ""
        self._endpoint = None
        self._cursor_prefix = b""
        self._tried = set()
        self._unrefused = 0
        self._has_begun = False
        self._paused = False
        self._reattached = False
        self._stalled = False
        self._retry = None
        self._gap_s = 0.0
        self._last_event_s = 0.0
        self._deadline_s = _NEVER_S
        self._resume_deadline_s = None
        self._lost_s = None

    # Beginning

    def start(self):
        """Begin a new answer; refuse at once if no endpoint can take it."""
        if not self._open_next():
            self._fail(ErrorKind.NO_ENDPOINT, "none for this model")

    def go_on(self, position, delivered):
        """Go on where another router, or this one, left off.

        Parameters
        ----------
        position : Position
            From the caller's cursor.
        delivered : str or None
            The text that the caller has, if it brought it. Without it only a
            live attempt can be continued.
        """
        cursor = position.cursor
        self.version = cursor.version
        self.attempt = cursor.attempt
        self.offset_tokens = position.offset_tokens
        self.crc = position.crc
        if delivered is None:
            self._text = [] if position.offset_tokens == 0 else None
        elif checksum(delivered) != position.crc:
            self._fail(ErrorKind.BAD_CURSOR, "delivered text does not match it")
            return
        else:
            self._text = [delivered]
        self._lost_s = self._clock.seconds()
        policy = self._policy
        self._resume_deadline_s = self._lost_s + policy.resume_timeout_s
        self._stream_id = cursor.stream_id
        self._unrefused = 1
        self._endpoint = self._tools.placement.find(cursor.endpoint)
        if self._endpoint is None or cursor.stream_id == "":
            self._recover()
        else:
            self._attach()

    # Events of the current attempt

    def take_events(self, attempt, events):
        """Take events of attempt number `attempt` that arrived together."""
        begun_tokens = self.offset_tokens
        for event in events:
            if attempt != self.attempt or self.is_over:
                self._tools.counters.tokens_late += event.tokens
            elif event.version != self.version or event.index > self.offset_tokens:
                self._lose(Loss.MISMATCH)
            elif event.finish_reason is not None:
                self._take_finish(event)
            elif event.index == self.offset_tokens:
                self._deliver(event)
        if self.offset_tokens > begun_tokens:
            if not self.is_over:
                self._note_pace()
            self._tools.counters.tokens_delivered += self.offset_tokens - begun_tokens
            if not self.is_over:
                self._sink.flush()

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
        return b"%s.%d.%08x" % (self._cursor_prefix, self.offset_tokens, self.crc)

    def _note_pace(self):
        now_s = self._clock.seconds()
        if self._lost_s is not None or not self._last_event_s:
            self._note_progress(now_s)
        else:
            gap_s = now_s - self._last_event_s
            self._gap_s += _GAP_WEIGHT_RATIO * (gap_s - self._gap_s)
        self._last_event_s = now_s
        if not self._paused:
            policy = self._policy
            stall_s = max(policy.stall_floor_s, policy.stall_gap_ratio * self._gap_s)
            self._deadline_s = now_s + stall_s

    def _note_progress(self, now_s):
        if self._lost_s is not None:
            self.resume_latency_s.append(now_s - self._lost_s)
            self._lost_s = None
        self._life.delivered()
        self._tools.placement.worked(self._endpoint)
        self._resume_deadline_s = None
        self._reattached = self._stalled = False
        self._tried.clear()
        self._stop_retry()

    def _take_finish(self, event):
        if event.index != self.offset_tokens:
            return
        self._note_pace()
        self._close_stream(cancel=False)
        self._end()
        if not self._has_begun:
            self._begin_answer()
        self._sink.finish(self._event_id(), event.finish_reason, self.offset_tokens)

    def take_end(self, attempt, reason, detail):
        """Take a :class:`StreamEnd` of attempt number `attempt`."""
        if attempt != self.attempt or self.is_over:
            return
        self._close_stream(cancel=False)
        if reason is StreamEnd.INVALID:
            self._fail(ErrorKind.BAD_REQUEST, detail)
        elif reason is StreamEnd.LOST:
            self._lose(Loss.CONNECTION)
        elif reason is StreamEnd.GONE:
            self._lose(Loss.GONE)
        else:
            self._lose(Loss.REFUSED)

    # Losses and the next attempt

    def check(self, now_s):
        """Find a stall or a passed deadline.

        Parameters
        ----------
        now_s : float
            The clock's present reading.
        """
        if self.is_over:
            return
        if now_s >= self.request.deadline_s:
            self._fail(ErrorKind.DEADLINE_PASSED, "the answer took too long")
        elif now_s >= self._deadline_s:
            self._lose(Loss.STALL)

    def _lose(self, loss):
        now_s = self._clock.seconds()
        self._life.lost()
        self._deadline_s = _NEVER_S
        if self._lost_s is None:
            self._lost_s = self._last_event_s or now_s
        if self._resume_deadline_s is None:
            policy = self._policy
            self._resume_deadline_s = now_s + policy.resume_timeout_s
        self._stalled = loss is Loss.STALL
        if loss is Loss.REFUSED:
            self._unrefused -= 1
        elif loss is Loss.MISMATCH:
            self._close_stream(cancel=True)
        if loss is Loss.CONNECTION and self.offset_tokens and not self._reattached:
            self._attach()
            return
        if loss is not Loss.GONE:
            self._tools.placement.failed(self._endpoint)
        self._tried.add(self._endpoint.name)
        self._recover()

    def _recover(self):
        self._stop_retry()
        if self.offset_tokens and self._text is None:
            self._fail(ErrorKind.GENERATION_LOST, "engine lost, no text brought")
        elif self._clock.seconds() >= self._resume_deadline_s:
            self._fail(ErrorKind.GENERATION_LOST, "no endpoint of the same version")
        elif not self._open_next():
            self._forget_tried()
            self._retry = self._clock.callLater(RETRY_INTERVAL_S, self._recover)

    def _forget_tried(self):
        # A stalled attempt is kept open while nothing can replace it, and must
        # not be replaced by another one at the same endpoint.
        kept = self._stalled and self._stream is not None
        self._tried = {self._endpoint.name} if kept else set()

    def _open_next(self):
        endpoint = self._choose()
        if endpoint is None:
            return False
        self._close_stream(cancel=True)
        self._endpoint = endpoint
        self._stream_id = secrets.token_hex(_STREAM_ID_BYTES)
        prefix = "".join(self._text)
        order = GenerationOrder(
            self.request.request_id,
            self._stream_id,
            self.request.parameters,
            self.request.seed,
            self.request.max_tokens,
            prefix,
            self.offset_tokens,
            self.request.traceparent,
        )
        self._text = [prefix] if prefix else []
        if self.offset_tokens:
            self._tools.counters.resumes += 1
            self._tools.counters.prefill_extra_tokens += self.offset_tokens
        receiver = self._begin_attempt(self._policy.first_token_timeout_s)
        self._stream = self._tools.engines.open(endpoint, order, receiver)
        if self._paused:
            self.pause()
        return True

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

    def _attach(self):
        self._reattached = True
        self._tools.counters.reattaches += 1
        receiver = self._begin_attempt(self._policy.reattach_timeout_s)
        self._stream = self._tools.engines.attach(
            self._endpoint, self._stream_id, self.offset_tokens, receiver
        )
        if self._paused:
            self.pause()

    def _begin_attempt(self, timeout_s):
        self.attempt += 1
        self._unrefused += 1
        self._deadline_s = self._clock.seconds() + timeout_s
        self._tools.counters.attempts += 1
        self._tools.placement.started(self._endpoint)
        self._last_event_s = 0.0
        self._life.opened()
        cursor = Cursor(
            self.request.request_id,
            self.request.organisation,
            self.request.body_digest,
            self.request.service.service,
            self.version,
            self._endpoint.name,
            self._stream_id,
            self.attempt,
            self.request.seed,
        )
        self._cursor_prefix = self._tools.signer.sign(cursor)
        return _AttemptReceiver(self, self.attempt)

    def _close_stream(self, cancel):
        if self._stream is None:
            return
        self._stream.detach()
        self._stream = None
        self._tools.placement.ended(self._endpoint)
        if cancel:
            self._tools.engines.cancel(self._endpoint, self._stream_id)

    def _stop_retry(self):
        retry, self._retry = self._retry, None
        if retry is not None and retry.active():
            retry.cancel()

    # The caller

    def pause(self):
        """Stop reading while the caller cannot take more."""
        self._paused = True
        self._deadline_s = _NEVER_S
        if self._stream is not None:
            self._stream.pause()

    def resume(self):
        """Read on; the pause does not count as a stall."""
        self._paused = False
        self._last_event_s = 0.0
        policy = self._policy
        self._deadline_s = self._clock.seconds() + policy.first_token_timeout_s
        if self._stream is not None:
            self._stream.resume()

    def caller_left(self):
        """Stop working: the caller is gone."""
        if not self.is_over:
            self._tools.counters.callers_left += 1
            self._end()

    def hand_over(self):
        """End on a cursor without stopping the engine, for another router."""
        if self.is_over:
            return
        self._close_stream(cancel=False)
        self._end()
        self._sink.fail(Problem(ErrorKind.HAND_OVER, "this router is leaving"))

    def _fail(self, kind, detail):
        if self._unrefused and kind is not ErrorKind.BAD_REQUEST:
            kind = ErrorKind.GENERATION_LOST
            self._tools.counters.generations_lost += 1
        elif kind is ErrorKind.GENERATION_LOST:
            # Every attempt was refused by its endpoint: nothing has run.
            kind = ErrorKind.NO_ENDPOINT
        self._end()
        self._sink.fail(Problem(kind, detail))

    def _end(self):
        self._life.ended()

    def _release(self):
        self.is_over = True
        self._deadline_s = _NEVER_S
        self._stop_retry()
        self._close_stream(cancel=True)
        if self._on_end is not None:
            self._on_end(self)


_machine = _build_machine()
