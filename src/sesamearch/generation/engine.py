"""Protocol-independent interface between a generation and its engines."""

import abc
import enum

import msgspec

__all__ = [
    "EngineClient",
    "EngineRequest",
    "EngineStream",
    "StreamEnd",
    "StreamEvent",
    "StreamReceiver",
]


class EngineRequest(msgspec.Struct, frozen=True):
    """Request to an engine for one attempt.

    Parameters
    ----------
    request_id, stream_id : str
        Identifiers of the request and of this attempt.
    parameters : dict from str to msgspec.Raw
        Members of the caller's request body, passed through.
    seed, max_tokens : int
        Sampling seed, and limit on the whole answer including the prefix.
    prefix : str
        Text already delivered to the caller, which the engine continues.
    prefix_tokens : int
        Number of tokens in `prefix`.
    traceparent : str
        W3C trace context header, passed through.
    """

    request_id: str
    stream_id: str
    parameters: dict[str, msgspec.Raw]
    seed: int
    max_tokens: int
    prefix: str = ""
    prefix_tokens: int = 0
    traceparent: str = ""


class StreamEvent(msgspec.Struct, frozen=True, gc=False):
    """One event in the stream of an attempt.

    Parameters
    ----------
    index : int
        Number of tokens of the answer before this event.
    tokens : int
        Number of tokens in this event; zero for the final event.
    text : str
    version : str
        Version of the model that generated the event.
    finish_reason : str or None
        Set on the final event only.
    """

    index: int
    tokens: int
    text: str
    version: str
    finish_reason: str | None = None


class StreamEnd(enum.Enum):
    """Why an attempt ended without a final event.

    After ``LOST`` the attempt may still run, because only its connection may have
    failed. The same holds after ``BROKEN_OFF``, but the engine had received the
    request, so that it may have ended under it. After ``REFUSED`` it has not run,
    because the engine accepts no more work. After ``GONE`` the engine does not know the
    attempt. After ``INVALID`` the engine rejected the request, as any other engine
    would.
    """

    LOST = "lost"
    BROKEN_OFF = "broken_off"
    REFUSED = "refused"
    GONE = "gone"
    INVALID = "invalid"


class StreamReceiver(abc.ABC):
    """Receives the events of one attempt."""

    @abc.abstractmethod
    def events(self, events):
        """Handle a list of :class:`StreamEvent` objects that arrived together."""

    @abc.abstractmethod
    def ended(self, reason, detail):
        """Handle the :class:`StreamEnd`; no further call follows."""


class EngineStream(abc.ABC):
    """Handle of the event stream of a running attempt."""

    @abc.abstractmethod
    def pause(self):
        """Stop reading until :meth:`resume`."""

    @abc.abstractmethod
    def resume(self):
        """Continue reading."""

    @abc.abstractmethod
    def detach(self):
        """Stop calling the receiver, and leave the attempt running at the engine."""


class EngineClient(abc.ABC):
    """Starts, re-attaches and cancels attempts.

    A receiver is never called before the method that it was passed to returns.
    """

    @abc.abstractmethod
    def open(self, endpoint, engine_request, receiver):
        """Start an attempt and return its :class:`EngineStream`."""

    @abc.abstractmethod
    def attach(self, endpoint, stream_id, index, receiver):
        """Re-attach to a running attempt, and stream it from token `index` on."""

    @abc.abstractmethod
    def cancel(self, endpoint, stream_id):
        """Ask the engine to stop an attempt, without waiting for its response."""
