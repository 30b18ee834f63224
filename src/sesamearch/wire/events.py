"""Parser for server-sent events that arrive as a stream of bytes."""

import re

import msgspec

__all__ = ["EventSplitter", "StreamEvent"]

_EVENT_END = re.compile(rb"\r\n\r\n|\n\n|\r\r")
_EVENT_ID = re.compile(rb"(?:\A|[\r\n])id: ?(\d+)[ \t]*(?=[\r\n]|\Z)")


class StreamEvent(msgspec.Struct, frozen=True):
    """One complete event.

    Parameters
    ----------
    data : bytes
        The event as received, with the blank line that ends it.
    number : int or None
        The event's id, if that is a number.
    """

    data: bytes
    number: int | None


class EventSplitter:
    """Splits a body into events; an incomplete last event is never returned."""

    __slots__ = ("_partial",)

    def __init__(self):
        self._partial = b""

    @property
    def has_partial_event(self):
        """Bool : whether an incomplete event is buffered."""
        return bool(self._partial.strip())

    def feed(self, data):
        """Add bytes; return the list of :class:`StreamEvent` that they complete."""
        data = self._partial + data
        events = []
        start = 0
        for end in _EVENT_END.finditer(data):
            events.append(_make_event(data[start : end.end()]))
            start = end.end()
        self._partial = data[start:]
        return events


def _make_event(data):
    found = _EVENT_ID.search(data)
    return StreamEvent(data, int(found.group(1)) if found else None)
