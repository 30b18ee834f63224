"""Parser for server-sent events that arrive as a stream of bytes."""

import re

import msgspec

__all__ = ["EventError", "EventSplitter", "StreamEvent"]

# Largest event, with the comments before it, that is buffered.
MAX_EVENT_BYTES = 256 << 10
_BLOCK_ENDS = (b"\r\n\r\n", b"\n\n", b"\r\r")
_BLOCK_END = re.compile(b"|".join(_BLOCK_ENDS))
# Bytes of a block end that may already be at the end of the buffer.
_BLOCK_END_OVERLAP_BYTES = 3
_EVENT_FIELD = re.compile(rb"(?:\A|[\r\n])(?:data|id)(?=[:\r\n]|\Z)")
_EVENT_ID = re.compile(rb"(?:\A|[\r\n])id: ?(\d{1,18})[ \t]*(?=[\r\n]|\Z)")


class EventError(Exception):
    """An event does not end within ``MAX_EVENT_BYTES``."""


class StreamEvent(msgspec.Struct, frozen=True):
    """One complete event.

    Parameters
    ----------
    data : bytes
        The event as received, with the comments before it and the blank line that
        ends it.
    number : int or None
        The event's id, if that is a number.
    """

    data: bytes
    number: int | None


class EventSplitter:
    """Splits a body into events; an incomplete last event is never returned.

    A block of comments or blank lines is no event, since an engine that sends nothing
    else makes no progress. It is returned together with the event that follows.
    """

    __slots__ = ("_block_start", "_buffer", "_searched")

    def __init__(self):
        self._buffer = bytearray()
        self._block_start = 0
        self._searched = 0

    @property
    def size_bytes(self):
        """Int : size of what is buffered."""
        return len(self._buffer)

    @property
    def has_partial_event(self):
        """Bool : whether an incomplete event is buffered."""
        return bool(self._buffer[self._block_start :].strip())

    @property
    def has_other_text(self):
        """Bool : whether anything but comments follows the last event."""
        lines = bytes(self._buffer).splitlines()
        return any(line.strip() and not line.startswith(b":") for line in lines)

    def feed(self, data):
        """Add bytes; return the list of :class:`StreamEvent` that they complete.

        Raises
        ------
        EventError
            If the buffered event exceeds ``MAX_EVENT_BYTES``.
        """
        self._buffer += data
        last_end = self._last_block_end()
        events = []
        start, searched = 0, self._block_start
        while True:
            # Fields begin after the line break that ends the block before.
            begin = max(0, searched - 1)
            field = _EVENT_FIELD.search(self._buffer, begin, last_end)
            if field is None:
                break
            searched = _BLOCK_END.search(self._buffer, field.end(), last_end).end()
            events.append(_make_event(bytes(self._buffer[start:searched])))
            start = searched
        self._block_start = last_end
        self._discard(start)
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise EventError(f"no event within {len(self._buffer)} bytes")
        return events

    def _last_block_end(self):
        """Return where the last complete block ends.

        Blocks without an event are many if an engine sends blank lines, and not worth
        a look each.
        """
        ends = [self._block_start]
        for separator in _BLOCK_ENDS:
            found = self._buffer.rfind(separator, self._searched)
            if found >= 0:
                ends.append(found + len(separator))
        return max(ends)

    def _discard(self, length):
        del self._buffer[:length]
        self._block_start -= length
        unsearched = len(self._buffer) - _BLOCK_END_OVERLAP_BYTES
        self._searched = max(self._block_start, unsearched)

    def take_rest(self):
        """Remove and return the comments and blank lines after the last event."""
        rest = bytes(self._buffer[: self._block_start])
        self._discard(self._block_start)
        return rest


def _make_event(data):
    found = _EVENT_ID.search(data)
    return StreamEvent(data, int(found.group(1)) if found else None)
