"""Non-blocking logging of typed records, one JSON object per line."""

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
# Maximum number of lines between two flushes; allows about 4,000 lines per second.
QUEUE_LINES = 600
# Part of ``QUEUE_BYTES`` and ``QUEUE_LINES`` that routine lines may use; the rest is
# reserved for failures.
ROUTINE_RATIO = 0.5

logger = logbook.Logger("sesamearch")
_encode = msgspec.json.Encoder().encode


def set_up_logging(level="INFO"):
    """Write log messages of `level` and above to standard error."""
    logbook.set_datetime_format("utc")
    handler = logbook.StreamHandler(sys.stderr, level=level, format_string=_FORMAT)
    handler.push_application()


class LineQueue:
    """Buffers lines for a file descriptor that may not be writable.

    Parameters
    ----------
    descriptor : int
        File descriptor; it is set to non-blocking mode.
    limit_bytes, limit_lines : int
        Maximum size of the buffer, and maximum number of lines accepted between two
        flushes. Lines beyond a limit are dropped and counted.

    Attributes
    ----------
    dropped : int
        Number of lines dropped so far.
    """

    __slots__ = (
        "_accepted",
        "_bytes",
        "_descriptor",
        "_limit_bytes",
        "_limit_lines",
        "_lines",
        "_reported_dropped",
        "dropped",
    )

    def __init__(self, descriptor, limit_bytes=QUEUE_BYTES, limit_lines=QUEUE_LINES):
        os.set_blocking(descriptor, False)
        self._descriptor = descriptor
        self._limit_bytes = limit_bytes
        self._limit_lines = limit_lines
        self._accepted = 0
        self._lines = deque()
        self._bytes = 0
        self._reported_dropped = 0
        self.dropped = 0

    def put(self, line, is_routine=False):
        """Add a line to the queue, or drop it if the queue is full.

        Parameters
        ----------
        line : bytes
            The line without a newline.
        is_routine : bool
            Whether the line reports a success; such lines are dropped first.
        """
        ratio = ROUTINE_RATIO if is_routine else 1.0
        is_full = self._bytes + len(line) > self._limit_bytes * ratio
        if is_full or self._accepted >= self._limit_lines * ratio:
            self.dropped += 1
            return
        self._accepted += 1
        self._lines.append(line + b"\n")
        self._bytes += len(line) + 1

    def flush(self):
        """Write as much as the descriptor accepts now."""
        self._accepted = 0
        if self.dropped > self._reported_dropped and not self._lines:
            self.put(b'{"event":"lines_dropped","count":%d}' % self.dropped)
            self._reported_dropped = self.dropped
        if not self._lines:
            return
        data = b"".join(self._lines)
        self._lines.clear()
        try:
            written = os.write(self._descriptor, data)
        except BlockingIOError:
            written = 0
        except OSError:
            # The reader has closed the pipe, so the error cannot be logged either.
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
    """Log handler that writes each record as a JSON object.

    Parameters
    ----------
    queue : LineQueue
    node : str
        Name of this router, written on each line.
    clock : callable
        Returns the Unix time in seconds.
    level : str
        Lowest level that is written.
    """

    def __init__(self, queue, node, clock, level="INFO"):
        super().__init__(level=level)
        self._queue = queue
        self._node = node
        self._now_s = clock

    def emit(self, record):
        """Encode a record and add it to the queue."""
        content = record.msg
        is_routine = isinstance(content, Record) and content.is_routine
        if not isinstance(content, msgspec.Struct):
            content = _Message(record.message)
        line = _Line(round(self._now_s(), 4), self._node, record.level_name, content)
        self._queue.put(_encode(line), is_routine)


def set_up_records(node, clock, descriptor=1):
    """Write all log records as JSON lines to a file descriptor.

    Parameters
    ----------
    node : str
        Name of this router, written on each line.
    clock : callable
        Returns the Unix time in seconds.
    descriptor : int
        File descriptor, by default standard output.

    Returns
    -------
    LineQueue
        The queue, which the caller flushes every ``FLUSH_INTERVAL_S``.
    """
    queue = LineQueue(descriptor)
    RecordHandler(queue, node, clock).push_application()
    return queue
