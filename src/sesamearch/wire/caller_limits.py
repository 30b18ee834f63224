"""Limits on what one caller may send, and how slowly."""

import msgspec

__all__ = ["CallerLimits", "larger_limits"]


class CallerLimits(msgspec.Struct, frozen=True):
    """Limits on the size and the duration of one caller's requests.

    Parameters
    ----------
    header_bytes, body_bytes : int
        Largest head and largest body of a request.
    header_timeout_s : float
        Time from the first byte of a request to the end of its head.
    idle_timeout_s : float
        Time that a connection may stay open without a request.
    """

    header_bytes: int = 16 << 10
    body_bytes: int = 4 << 20
    header_timeout_s: float = 5.0
    idle_timeout_s: float = 30.0


def larger_limits(one, other):
    """Return the larger of each of two limits.

    Parameters
    ----------
    one, other : CallerLimits
        Or objects with the same attributes.
    """
    if one is other:
        return one
    return CallerLimits(
        max(one.header_bytes, other.header_bytes),
        max(one.body_bytes, other.body_bytes),
        max(one.header_timeout_s, other.header_timeout_s),
        max(one.idle_timeout_s, other.idle_timeout_s),
    )
