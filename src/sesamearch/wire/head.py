"""Heads of HTTP messages, and validation of their raw bytes."""

import re

import msgspec

__all__ = [
    "HOP_BY_HOP",
    "ResponseHead",
    "HeadError",
    "HeadReader",
    "RequestHead",
    "first_value",
    "is_status",
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
_FOLDED_LINE_OR_BARE_LINE_END = re.compile(rb"\n[ \t]|(?<!\r)\n|\r(?!\n)|\0")
_LEADING_BLANK_LINES = re.compile(rb"\A(?:\r\n)+")


class RequestHead(msgspec.Struct, frozen=True):
    """Request line and headers.

    Parameters
    ----------
    method, target : bytes
    headers : list of tuple of bytes
        Names and values in the order received; the case of the names is unchanged.
    """

    method: bytes
    target: bytes
    headers: list[tuple[bytes, bytes]]


class ResponseHead(msgspec.Struct, frozen=True):
    """Status line and headers of a response.

    Parameters
    ----------
    status : int
    reason : bytes
    headers : list of tuple of bytes
        Names and values in the order received; the case of the names is unchanged.
    """

    status: int
    reason: bytes
    headers: list[tuple[bytes, bytes]]

    @property
    def is_success(self):
        """Bool : whether the status is a 2xx."""
        return 200 <= self.status < 300

    @property
    def ends_with_connection(self):
        """Bool : whether only the end of the connection ends the body."""
        names = {name.lower() for name, _ in self.headers}
        has_no_body = self.status in (204, 304)
        return not has_no_body and not names & {b"content-length", b"transfer-encoding"}


class HeadError(Exception):
    """A request that cannot be accepted, with the HTTP status to send."""

    def __init__(self, status, detail):
        super().__init__(detail)
        self.status = status


def is_status(number):
    """Return whether a number is an HTTP status (RFC 9110, section 15)."""
    return 100 <= number <= 599


def first_value(headers, name):
    """Return the first value of a header, or None.

    Parameters
    ----------
    headers : list of tuple of bytes
    name : bytes
        Name of the header in lower case.
    """
    for key, value in headers:
        if key.lower() == name:
            return value
    return None


def strip_hop_by_hop(headers, kept=frozenset()):
    """Return the headers without the hop-by-hop ones.

    Parameters
    ----------
    headers : list of tuple of bytes
    kept : frozenset of bytes
        Lower-case names that are kept even if ``Connection`` lists them, because a
        sender could otherwise make the proxy drop them.
    """
    dropped = set(HOP_BY_HOP)
    for name, value in headers:
        if name.lower() == b"connection":
            dropped.update(token.strip().lower() for token in value.split(b","))
    dropped -= kept
    return [(name, value) for name, value in headers if name.lower() not in dropped]


class HeadReader:
    """Buffers bytes until a head is complete, and refuses ambiguous ones.

    Parsers disagree on folded header lines, bare carriage returns or line feeds and
    NUL bytes, which makes request smuggling possible.
    """

    __slots__ = ("_buffer",)

    def __init__(self):
        self._buffer = bytearray()

    @property
    def has_begun(self):
        """Bool : whether any byte of a head has arrived."""
        return bool(self._buffer)

    @property
    def size_bytes(self):
        """Int : size of the incomplete head."""
        return len(self._buffer)

    def feed(self, data, limit_bytes):
        """Add bytes; return the head and the bytes after it once it is complete.

        Parameters
        ----------
        data : bytes
        limit_bytes : int
            Size of the largest accepted head, which may change between two calls.

        Returns
        -------
        tuple of bytes or None
            None while the head is incomplete.

        Raises
        ------
        HeadError
            400 for a malformed head, 431 for one above the limit.
        """
        self._buffer += data
        blank = _LEADING_BLANK_LINES.match(self._buffer)
        if blank:
            del self._buffer[: blank.end()]
        end = self._buffer.find(HEAD_END)
        if end < 0:
            self._check_partial(limit_bytes)
            return None
        length = end + len(HEAD_END)
        if length > limit_bytes:
            raise HeadError(431, f"head larger than {limit_bytes} bytes")
        head = bytes(self._buffer[:length])
        rest = bytes(self._buffer[length:])
        self._buffer.clear()
        if _FOLDED_LINE_OR_BARE_LINE_END.search(head):
            raise HeadError(400, "folded line, bare line end or NUL in the head")
        return head, rest

    def _check_partial(self, limit_bytes):
        if len(self._buffer) > limit_bytes:
            raise HeadError(431, f"head larger than {limit_bytes} bytes")
        # A trailing carriage return may be the first half of a line end.
        if _FOLDED_LINE_OR_BARE_LINE_END.search(self._buffer.removesuffix(b"\r")):
            raise HeadError(400, "folded line, bare line end or NUL in the head")
