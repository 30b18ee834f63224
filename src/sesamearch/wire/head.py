"""Heads of HTTP messages, and the check of a head's raw bytes."""

import re

import msgspec

__all__ = [
    "HOP_BY_HOP",
    "ResponseHead",
    "HeadError",
    "HeadReader",
    "RequestHead",
    "first_value",
    "strip_hop_by_hop",
]

HEAD_END = b"\r\n\r\n"
HOP_BY_HOP = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    )
)
_FOLDED_OR_BARE = re.compile(rb"\n[ \t]|(?<!\r)\n|\r(?!\n)|\0")
_LEADING_LINES = re.compile(rb"\A(?:\r\n)+")


class RequestHead(msgspec.Struct, frozen=True):
    """Request line and headers.

    Parameters
    ----------
    method, target : bytes
    headers : list of tuple of bytes
        Name as sent and value, in order.
    """

    method: bytes
    target: bytes
    headers: list[tuple[bytes, bytes]]


class ResponseHead(msgspec.Struct, frozen=True):
    """Status line and headers of an answer.

    Parameters
    ----------
    status : int
    reason : bytes
    headers : list of tuple of bytes
        Name as sent and value, in order.
    """

    status: int
    reason: bytes
    headers: list[tuple[bytes, bytes]]


class HeadError(Exception):
    """A head that is not accepted, with the status that says so."""

    def __init__(self, status, detail):
        super().__init__(detail)
        self.status = status


def first_value(headers, name):
    """Return the first value of a header, or None.

    Parameters
    ----------
    headers : list of tuple of bytes
    name : bytes
        In lower case.
    """
    for key, value in headers:
        if key.lower() == name:
            return value
    return None


def strip_hop_by_hop(headers, kept=frozenset()):
    """Return the end-to-end headers.

    Parameters
    ----------
    headers : list of tuple of bytes
    kept : frozenset of bytes
        Lower-case names that ``Connection`` cannot declare hop-by-hop: a sender
        could otherwise have them dropped on the way.
    """
    dropped = set(HOP_BY_HOP)
    for name, value in headers:
        if name.lower() == b"connection":
            dropped.update(token.strip().lower() for token in value.split(b","))
    dropped -= kept
    return [(name, value) for name, value in headers if name.lower() not in dropped]


class HeadReader:
    """Collects bytes until a head is whole, and refuses what parsers disagree on.

    Folded header lines, line ends without a carriage return and NUL bytes are read
    differently by different parsers, which is how requests are smuggled.

    Parameters
    ----------
    limit_bytes : int
        Largest head.
    """

    __slots__ = ("_buffer", "_limit_bytes")

    def __init__(self, limit_bytes):
        self._limit_bytes = limit_bytes
        self._buffer = bytearray()

    @property
    def has_begun(self):
        """Bool : whether any byte of a head has arrived."""
        return bool(self._buffer)

    def feed(self, data):
        """Take bytes; return head and the bytes after it once the head is whole.

        Returns
        -------
        tuple of bytes or None

        Raises
        ------
        HeadError
            400 for a malformed head, 431 for one above the limit.
        """
        self._buffer += data
        blank = _LEADING_LINES.match(self._buffer)
        if blank:
            del self._buffer[: blank.end()]
        end = self._buffer.find(HEAD_END)
        if end < 0:
            self._check_open()
            return None
        length = end + len(HEAD_END)
        if length > self._limit_bytes:
            raise HeadError(431, "head too large")
        head = bytes(self._buffer[:length])
        rest = bytes(self._buffer[length:])
        self._buffer.clear()
        if _FOLDED_OR_BARE.search(head):
            raise HeadError(400, "folded line or bare line end in the head")
        return head, rest

    def _check_open(self):
        if len(self._buffer) > self._limit_bytes:
            raise HeadError(431, "head too large")
        # A last carriage return may be half of a line end.
        if _FOLDED_OR_BARE.search(self._buffer.removesuffix(b"\r")):
            raise HeadError(400, "folded line or bare line end in the head")
