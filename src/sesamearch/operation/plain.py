"""Interface to plain services, independent of their protocol."""

import abc
import enum

import msgspec

__all__ = ["CallFailure", "PlainClient", "PlainReply", "PlainRequest"]


class PlainRequest(msgspec.Struct, frozen=True):
    """A call of a plain service.

    Parameters
    ----------
    method, path : str
        The path includes the query string.
    headers : list of tuple of str
        Names and values of the end-to-end headers.
    body : bytes
    route : str
        Method and path of the published call that the request matches.
    """

    method: str
    path: str
    headers: list[tuple[str, str]]
    body: bytes
    route: str = ""


class PlainReply(msgspec.Struct, frozen=True):
    """The reply of an endpoint."""

    status: int
    headers: list[tuple[str, str]]
    body: bytes


class CallFailure(enum.Enum):
    """Why a call failed, which tells whether it may have run.

    After ``NOT_SENT`` the call has not run, because no connection was made. After
    ``REFUSED`` it has not run, because the endpoint's reply says so. After ``LOST`` it
    may have run, because no usable reply arrived.
    """

    NOT_SENT = "not-sent"
    REFUSED = "refused"
    LOST = "lost"


class PlainClient(abc.ABC):
    """Sends calls, without any retries of its own."""

    @abc.abstractmethod
    def call(self, endpoint, request, timeout_s):
        """Send a call once; return Deferred ``Result[PlainReply, CallFailure]``."""
