"""Engines as a generation sees them, whatever protocol they speak."""

import abc
import enum

import msgspec

__all__ = [
    "EngineClient",
    "EngineStream",
    "EngineRequest",
    "StreamEnd",
    "StreamEvent",
    "StreamReceiver",
]


class EngineRequest(msgspec.Struct, frozen=True):
    """One attempt, as an engine is asked for it.

    Parameters
    ----------
    request_id, stream_id : str
        The request, and this attempt at it.
    parameters : dict from str to msgspec.Raw
        The caller's body, passed through.
    seed, max_tokens : int
        Sampling seed and bound on the whole answer, prefix included.
    prefix : str
        Text already delivered, to continue from.
    prefix_tokens : int
        Number of tokens in `prefix`.
    traceparent : str
        Trace context, passed through.
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
    """One event of an attempt.

    Parameters
    ----------
    index : int
        Number of tokens before this event.
    tokens : int
        Number of tokens in it; zero for the final event.
    text : str
    version : str
        What generated it.
    finish_reason : str or None
        Set on the final event only.
    """

    index: int
    tokens: int
    text: str
    version: str
    finish_reason: str | None = None


class StreamEnd(enum.Enum):
    """Why an attempt ended without a final event."""

    LOST = "lost"
    REFUSED = "refused"
    GONE = "gone"
    INVALID = "invalid"


class StreamReceiver(abc.ABC):
    """Where the events of one attempt go."""

    @abc.abstractmethod
    def events(self, events):
        """Take the :class:`StreamEvent` objects that arrived together, a list."""

    @abc.abstractmethod
    def ended(self, reason, detail):
        """Take the :class:`StreamEnd`; nothing follows."""


class EngineStream(abc.ABC):
    """A running attempt."""

    @abc.abstractmethod
    def pause(self):
        """Stop reading until :meth:`resume`."""

    @abc.abstractmethod
    def resume(self):
        """Read on."""

    @abc.abstractmethod
    def detach(self):
        """Leave the attempt running at the engine; the receiver hears no more."""


class EngineClient(abc.ABC):
    """Starts, re-attaches and cancels attempts.

    A receiver is never called before the method that was given it returns.
    """

    @abc.abstractmethod
    def open(self, endpoint, engine_request, receiver):
        """Start an attempt, returning its :class:`EngineStream`."""

    @abc.abstractmethod
    def attach(self, endpoint, stream_id, index, receiver):
        """Re-attach to a live attempt from token `index` on."""

    @abc.abstractmethod
    def cancel(self, endpoint, stream_id):
        """Ask the engine to stop an attempt; no answer is awaited."""
