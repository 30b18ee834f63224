"""One attempt of a generation at an endpoint, and what all attempts share."""

import abc
import secrets

import msgspec

from sesamearch.generation.cursor import Cursor
from sesamearch.generation.engine import EngineRequest, StreamReceiver
from sesamearch.routing.evidence import Outcome, load_level

__all__ = ["AnswerSink", "Attempt", "GenerationRequest", "GenerationTools"]

_STREAM_ID_BYTES = 8


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
    outcomes : object with ``note(outcome)``
        Takes the :class:`~sesamearch.routing.evidence.Outcome` of each attempt.
    """

    engines: object
    placement: object
    signer: object
    clock: object
    counters: object
    outcomes: object


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


class Attempt(StreamReceiver):
    """One numbered attempt; its events go to its owner with itself.

    Parameters
    ----------
    number : int
        Rises by one from attempt to attempt of a request.
    endpoint : Endpoint
    version : str
    request : GenerationRequest
    tools : GenerationTools
    owner : object with ``handle_events`` and ``handle_end``
    stream_id : str or None
        The engine's name for an attempt that another router began.
    """

    __slots__ = (
        "_begun_s",
        "_first_event_s",
        "_load",
        "_owner",
        "_request",
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
        """Bool : whether events may still come."""
        return self._stream is not None

    def open(self, prefix, prefix_tokens):
        """Ask the engine to continue from what was delivered."""
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
        self._started()
        self._stream = self._tools.engines.open(self.endpoint, engine_request, self)

    def attach(self, index):
        """Go on with the running attempt from token `index` on."""
        self._started()
        self._stream = self._tools.engines.attach(
            self.endpoint, self.stream_id, index, self
        )

    def _started(self):
        self._begun_s = self._tools.clock.seconds()
        self._load = load_level(self._tools.placement.in_flight(self.endpoint))
        self._tools.counters.attempts += 1
        self._tools.placement.started(self.endpoint)

    def report(self, is_complete, gap_s):
        """Tell how the attempt went, for the evidence on its version.

        Parameters
        ----------
        is_complete : bool
            Whether it brought the answer to its end.
        gap_s : float
            Mean time between its tokens.
        """
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

    def events(self, events):
        """Hand on events with the attempt that they belong to."""
        if self._first_event_s is None:
            self._first_event_s = self._tools.clock.seconds()
        self._owner.handle_events(self, events)

    def ended(self, reason, detail):
        """Hand on the end."""
        self._owner.handle_end(self, reason, detail)

    def pause(self):
        """Stop reading."""
        if self._stream is not None:
            self._stream.pause()

    def resume(self):
        """Read on."""
        if self._stream is not None:
            self._stream.resume()

    def close(self, cancel):
        """Hear no more of the attempt, and stop it at the engine if `cancel`."""
        if self._stream is None:
            return
        self._stream.detach()
        self._stream = None
        self._tools.placement.ended(self.endpoint)
        if cancel:
            self._tools.engines.cancel(self.endpoint, self.stream_id)
