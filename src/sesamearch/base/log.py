"""Logging: one JSON object a line, from typed records, never blocking."""

import os
import sys
from collections import deque

import logbook
import msgspec

from sesamearch.base.record import Record

__all__ = ["LineQueue", "RecordHandler", "logger", "set_up_logging", "set_up_records"]

_FORMAT = "{record.time:%Y-%m-%dT%H:%M:%S.%fZ} {record.level_name} {record.message}"
QUEUE_BYTES = 1 << 20
FLUSH_INTERVAL_S = 0.15
# Between two flushes: some 4,000 lines a second.
QUEUE_LINES = 600
# Of both bounds, for lines of what went well: the rest is kept for failures.
ROUTINE_RATIO = 0.5

logger = logbook.Logger("sesamearch")
_encode = msgspec.json.Encoder().encode


def set_up_logging(level="INFO"):
    """Send log lines of `level` and above to standard error."""
    logbook.set_datetime_format("utc")
    handler = logbook.StreamHandler(sys.stderr, level=level, format_string=_FORMAT)
    handler.push_application()


class LineQueue:
    """Lines on their way to a descriptor that may not take them.

    Parameters
    ----------
    descriptor : int
        Put into non-blocking mode.
    limit_bytes, limit_lines : int
        What is held at most, and taken at most between two flushes; lines beyond
        are dropped and counted.

    Attributes
    ----------
    dropped : int
        Lines dropped so far.
    """

    __slots__ = (
        "_bytes",
        "_descriptor",
        "_limit_bytes",
        "_limit_lines",
        "_lines",
        "_taken",
        "_told",
        "dropped",
    )

    def __init__(self, descriptor, limit_bytes=QUEUE_BYTES, limit_lines=QUEUE_LINES):
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._limit_bytes = limit_bytes
        self._limit_lines = limit_lines
        self._taken = 0
        self._lines = deque()
        self._bytes = 0
        self._told = 0
        self.dropped = 0

    def put(self, line, is_routine=False):
        """Queue a line, as bytes without its end.

        Parameters
        ----------
        line : bytes
        is_routine : bool
            Whether it tells of something that went well, which is dropped first.
        """
        ratio = ROUTINE_RATIO if is_routine else 1.0
        is_full = self._bytes + len(line) > self._limit_bytes * ratio
        if is_full or self._taken >= self._limit_lines * ratio:
            self.dropped += 1
            return
        self._taken += 1
        self._lines.append(line + b"\n")
        self._bytes += len(line) + 1

    def flush(self):
        """Write what the descriptor takes now."""
        self._taken = 0
        if self.dropped > self._told and not self._lines:
            self.put(b'{"event":"lines_dropped","count":%d}' % self.dropped)
            self._told = self.dropped
        if not self._lines:
            return
        data = b"".join(self._lines)
        self._lines.clear()
        try:
            written = os.write(self._descriptor, data)
        except BlockingIOError:
            written = 0
        except OSError:
            # Nobody reads any more: there is no place left to say so.
            self.dropped += data.count(b"\n")
            written = len(data)
        rest = data[written:]
        if rest:
            self._lines.append(rest)
        self._bytes = len(rest)


class _Line(msgspec.Struct):
    at: float
    node: str
    level: str
    record: object


class _Message(msgspec.Struct, tag="message", tag_field="event"):
    text: str


class RecordHandler(logbook.Handler):
    """Writes each record as a JSON object.

    Parameters
    ----------
    queue : LineQueue
    node : str
        Name of this router, on each line.
    clock : callable
        Gives the Unix time in seconds.
    """

    def __init__(self, queue, node, clock, level="INFO"):
        super().__init__(level=level)
        self._queue = queue
        self._node = node
        self._now_s = clock

    def emit(self, record):
        """Queue one line."""
        content = record.msg
        is_routine = isinstance(content, Record) and content.is_routine
        if not isinstance(content, msgspec.Struct):
            content = _Message(record.message)
        line = _Line(round(self._now_s(), 4), self._node, record.level_name, content)
        self._queue.put(_encode(line), is_routine)


def set_up_records(node, clock, descriptor=1):
    """Send all records as JSON lines to a descriptor.

    Returns
    -------
    LineQueue
        To be flushed at intervals of ``FLUSH_INTERVAL_S``.
    """
    queue = LineQueue(descriptor)
    RecordHandler(queue, node, clock).push_application()
    return queue
