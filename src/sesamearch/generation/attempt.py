"""One attempt of a generation at an endpoint, and the types that attempts share."""

import abc
import secrets

import msgspec

from sesamearch.generation.cursor import Cursor
from sesamearch.generation.engine import EngineRequest, StreamReceiver
from sesamearch.routing.evidence import Outcome, load_level

__all__ = ["AnswerSink", "Attempt", "GenerationRequest", "GenerationTools"]

_STREAM_ID_BYTES = 8


class GenerationRequest(msgspec.Struct, frozen=True):
    """A generation as its caller requested it.

    Parameters
    ----------
    request_id, organisation : str
    service : EngineService
    version : str
        Version chosen for the request. The answer may move to another version
        only before its first token.
    parameters : dict from str to msgspec.Raw
        Members of the caller's request body, passed through to the engine.
    body_digest : bytes
        Digest of the body. Each cursor contains it, so that a cursor is refused
        with any other body.
    seed, max_tokens : int
        Sampling seed, and limit on the length of the answer.
    deadline_s : float
        Time on the process's clock at which the answer must be complete.
    traceparent : str
        W3C trace context header, passed through.
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
    """Dependencies shared by all generations of a router.

    Parameters
    ----------
    engines : EngineClient
    placement : Placement
    signer : CursorSigner
    clock : twisted.internet.interfaces.IReactorTime
    counters : Counters
    outcomes : object with ``note(outcome)``
        Records the :class:`~sesamearch.routing.evidence.Outcome` of each attempt.
    """

    engines: object
    placement: object
    signer: object
    clock: object
    counters: object
    outcomes: object


class AnswerSink(abc.ABC):
    """Writes the answer of a generation to its caller."""

    @abc.abstractmethod
    def begin(self, version):
        """Begin the answer; called once, before the first token or :meth:`finish`."""

    @abc.abstractmethod
    def token(self, event_id, text):
        """Accept delivered text; `event_id` is the cursor after it, as bytes."""

    @abc.abstractmethod
    def flush(self):
        """Write the tokens accepted so far; more may follow."""

    @abc.abstractmethod
    def finish(self, event_id, finish_reason, tokens):
        """End the answer after its last token.

        `event_id` is the cursor after the last token, as bytes, and `tokens` the total
        number of tokens in the answer.
        """

    @abc.abstractmethod
    def fail(self, problem):
        """End the answer with an error."""


class Attempt(StreamReceiver):
    """One numbered attempt, which passes its events and its end to its owner.

    Parameters
    ----------
    number : int
        Number of the attempt within its request, counted from one across routers.
    endpoint : Endpoint
    version : str
    request : GenerationRequest
    tools : GenerationTools
    owner : object with ``handle_events`` and ``handle_end``
    stream_id : str or None
        Identifier of an attempt that already runs at the engine; None for a new
        attempt.
    """

    __slots__ = (
        "_begun_s",
        "_first_event_s",
        "_is_reported",
        "_load",
        "_owner",
        "_request",
        "_silent_gap_s",
        "_stream",
        "_tools",
        "cursor_prefix",
        "endpoint",
        "number",
        "stream_id",
        "version",
    )

    def __init__(
        self, number, endpoint, version, request, tools, owner, stream_id=None
    ):
        self.number = number
        self.endpoint = endpoint
        self.version = version
        self.stream_id = stream_id or secrets.token_hex(_STREAM_ID_BYTES)
        self._request = request
        self._tools = tools
        self._owner = owner
        self._stream = None
        self._begun_s = 0.0
        self._first_event_s = None
        self._load = 0
        self._is_reported = False
        self._silent_gap_s = None
        self.cursor_prefix = tools.signer.sign(self._cursor())

    def _cursor(self):
        return Cursor(
            self._request.request_id,
            self._request.organisation,
            self._request.body_digest,
            self._request.service.service,
            self.version,
            self.endpoint.name,
            self.stream_id,
            self.number,
            self._request.seed,
        )

    @property
    def is_open(self):
        """Bool : whether events may still arrive."""
        return self._stream is not None

    def open(self, prefix, prefix_tokens):
        """Start the attempt at the engine, which continues the delivered `prefix`."""
        request = self._request
        engine_request = EngineRequest(
            request.request_id,
            self.stream_id,
            request.parameters,
            request.seed,
            request.max_tokens,
            prefix,
            prefix_tokens,
            request.traceparent,
        )
        self._record_start()
        self._stream = self._tools.engines.open(self.endpoint, engine_request, self)

    def attach(self, index):
        """Re-attach to the running attempt, and stream it from token `index` on."""
        self._record_start()
        self._stream = self._tools.engines.attach(
            self.endpoint, self.stream_id, index, self
        )

    def _record_start(self):
        self._begun_s = self._tools.clock.seconds()
        self._load = load_level(self._tools.placement.in_flight(self.endpoint))
        self._tools.counters.attempts += 1
        self._tools.placement.started(self.endpoint)

    def report(self, is_complete, gap_s):
        """Record the outcome of the attempt as evidence on its version, once.

        Parameters
        ----------
        is_complete : bool
            Whether the attempt completed the answer.
        gap_s : float
            Mean time between its tokens; zero if unknown.
        """
        if self._is_reported:
            return
        self._is_reported = True
        first_s = self._first_event_s
        outcome = Outcome(
            self._request.service.service,
            self.version,
            self._request.service.model,
            self._load,
            is_error=not is_complete and first_s is None,
            is_cut_off=not is_complete and first_s is not None,
            first_token_s=None if first_s is None else first_s - self._begun_s,
            gap_s=gap_s or None,
        )
        self._tools.outcomes.note(outcome)

    def note_silent(self, gap_s):
        """Report an error when the attempt is closed, unless it goes on before.

        Parameters
        ----------
        gap_s : float
            Mean time between its tokens; zero if unknown.
        """
        self._silent_gap_s = gap_s

    def note_answer(self):
        """Trust the attempt again, because it went on."""
        self._silent_gap_s = None

    def events(self, events):
        """Pass events of this attempt to the owner."""
        if self._first_event_s is None:
            self._first_event_s = self._tools.clock.seconds()
        self._owner.handle_events(self, events)

    def ended(self, reason, detail):
        """Tell the owner that the stream of this attempt ended, and why."""
        self._owner.handle_end(self, reason, detail)

    def pause(self):
        """Stop reading from the engine."""
        if self._stream is not None:
            self._stream.pause()

    def resume(self):
        """Continue reading from the engine."""
        if self._stream is not None:
            self._stream.resume()

    def close(self, cancel):
        """Stop listening to the attempt; also stop it at the engine if `cancel`."""
        if self._stream is None:
            return
        self._stream.detach()
        self._stream = None
        self._tools.placement.ended(self.endpoint)
        if self._silent_gap_s is not None:
            self.report(is_complete=False, gap_s=self._silent_gap_s)
        if cancel:
            self._tools.engines.cancel(self.endpoint, self.stream_id)
