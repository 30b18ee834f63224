"""Plain services as a call sees them, whatever protocol they speak."""

import abc
import enum

import msgspec

__all__ = ["CallFailure", "PlainClient", "PlainReply", "PlainRequest"]


class PlainRequest(msgspec.Struct, frozen=True):
    """One call of a plain service.

    Parameters
    ----------
    method, path : str
        The path includes the query.
    headers : list of tuple of str
        End-to-end headers, name and value.
    body : bytes
    route : str
        Method and path of the published call that it matched.
    """

    method: str
    path: str
    headers: list[tuple[str, str]]
    body: bytes
    route: str = ""


class PlainReply(msgspec.Struct, frozen=True):
    """What the endpoint answered."""

    status: int
    headers: list[tuple[str, str]]
    body: bytes


class CallFailure(enum.Enum):
    """Why there is no answer, and what that proves.

    After ``NOT_SENT`` and ``REFUSED`` the call has not run: no connection was
    made, or the endpoint itself said so. After ``LOST`` it may have.
    """

    NOT_SENT = "not-sent"
    REFUSED = "refused"
    LOST = "lost"


class PlainClient(abc.ABC):
    """Sends calls, each exactly as often as it is told."""

    @abc.abstractmethod
    def call(self, endpoint, request, timeout_s):
        """Send once, giving a Deferred ``Result[PlainReply, CallFailure]``."""
