"""Server-sent events: whole events out of a stream of bytes."""

import re

import msgspec

__all__ = ["EventSplitter", "StreamEvent"]

_EVENT_END = re.compile(rb"\r\n\r\n|\n\n|\r\r")
_EVENT_ID = re.compile(rb"(?:\A|[\r\n])id: ?(\d+)[ \t]*(?=[\r\n]|\Z)")


class StreamEvent(msgspec.Struct, frozen=True):
    """One whole event.

    Parameters
    ----------
    data : bytes
        As received, with the blank line that ends it.
    number : int or None
        Its id, if it bears a number.
    """

    data: bytes
    number: int | None


class EventSplitter:
    """Cuts a body into events; an unfinished last one is never handed on."""

    __slots__ = ("_rest",)

    def __init__(self):
        self._rest = b""

    @property
    def has_partial_event(self):
        """Bool : whether an unfinished event is held."""
        return bool(self._rest.strip())

    def feed(self, data):
        """Take bytes; return the list of :class:`StreamEvent` that are whole now."""
        data = self._rest + data
        events = []
        start = 0
        for end in _EVENT_END.finditer(data):
            events.append(_make_event(data[start : end.end()]))
            start = end.end()
        self._rest = data[start:]
        return events


def _make_event(data):
    found = _EVENT_ID.search(data)
    return StreamEvent(data, int(found.group(1)) if found else None)
