"""Checks of how the body of a request is framed."""

from sesamearch.wire.head import HeadError

__all__ = ["check_framing", "content_length", "has_chunks"]


def check_framing(event):
    """Check the framing of a request, which parsers must not interpret differently.

    Raises
    ------
    HeadError
        If the body length is ambiguous or there is not exactly one ``Host``.
    """
    names = [name for name, _ in event.headers]
    is_chunked = has_chunks(event)
    if is_chunked and b"content-length" in names:
        raise HeadError(400, "both Content-Length and Transfer-Encoding")
    if is_chunked and event.http_version < b"1.1":
        raise HeadError(400, "Transfer-Encoding in an HTTP/1.0 request")
    if names.count(b"host") != 1:
        raise HeadError(400, "not exactly one Host header")


def content_length(event):
    """Return the value of ``Content-Length``, or zero without one."""
    for name, value in event.headers:
        if name == b"content-length":
            return value
    return 0


def has_chunks(event):
    """Return whether the body of a request arrives in chunks."""
    return any(name == b"transfer-encoding" for name, _ in event.headers)
