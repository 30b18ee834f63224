"""Messages about endpoints that limit the requests of all routers together."""

import enum

import msgspec

from sesamearch.configuration.blackboard import Incarnation

__all__ = [
    "LIMIT_SCHEMA_VERSION",
    "PERMIT_SCHEMA_VERSION",
    "LimitNotice",
    "LimitReport",
    "PermitReply",
    "PermitRequest",
    "PermitState",
    "PermitUsed",
    "PermitWithdrawal",
]

LIMIT_SCHEMA_VERSION = 1
PERMIT_SCHEMA_VERSION = 1


class LimitNotice(msgspec.Struct, frozen=True, array_like=True):
    """What a process said of its limit in an answer to some router.

    Parameters
    ----------
    incarnation : Incarnation
    limit_per_s : float or None
        Requests a second from all routers together; None for no limit.
    asked_age_s, heard_age_s : float
        Time since the request of the answer was sent, and since the answer arrived.
    brittle_per_s : int or None
        Refusals a second that it bears; None for any number.
    """

    incarnation: Incarnation
    limit_per_s: float | None
    asked_age_s: float
    heard_age_s: float
    brittle_per_s: int | None = None


class LimitReport(msgspec.Struct, tag=True, frozen=True, array_like=True):
    """Limits of endpoints that the sender knows, those that have ended included.

    Parameters
    ----------
    schema_version : int
        Version of the message layout; messages of other versions are ignored.
    notices : list of LimitNotice
    """

    schema_version: int
    notices: list[LimitNotice]


class PermitRequest(msgspec.Struct, tag=True, frozen=True, array_like=True):
    """A claim to a permit, sent to the limiter of an endpoint.

    Parameters
    ----------
    schema_version : int
        Version of the message layout; messages of other versions are ignored.
    address : str
        Address of the sender, for the reply.
    number : int
        Identifies the claim within its sender.
    data_centre : str
        Data centre of the endpoint.
    notice : LimitNotice
        The process, and what the sender knows of its limit.
    rank : int
    has_begun : bool
        As in :class:`PermitClaim`.
    patience_s : float
        Time for which the claim may wait.
    """

    schema_version: int
    address: str
    number: int
    data_centre: str
    notice: LimitNotice
    rank: int
    has_begun: bool
    patience_s: float


class PermitState(enum.Enum):
    """What a limiter says of a claim."""

    GRANTED = "granted"
    WAITING = "waiting"
    DENIED = "denied"
    NOT_LIMITER = "not_limiter"


class PermitReply(msgspec.Struct, tag=True, frozen=True, array_like=True):
    """What became of a claim.

    Parameters
    ----------
    schema_version : int
        Version of the message layout; messages of other versions are ignored.
    name : str
        Name of the limiter.
    number : int
        Number of the claim.
    state : PermitState
    wait_s : float
        Time until another claim could be granted.
    """

    schema_version: int
    name: str
    number: int
    state: PermitState
    wait_s: float


class PermitUsed(msgspec.Struct, tag=True, frozen=True, array_like=True):
    """The end of a request for which a permit was granted.

    Parameters
    ----------
    schema_version : int
        Version of the message layout; messages of other versions are ignored.
    address : str
        Address of the sender of the claim.
    number : int
    was_turned_away : bool
        Whether the endpoint had no room for it.
    """

    schema_version: int
    address: str
    number: int
    was_turned_away: bool


class PermitWithdrawal(msgspec.Struct, tag=True, frozen=True, array_like=True):
    """A claim that is no longer needed, or a permit that was not used.

    Parameters
    ----------
    schema_version : int
        Version of the message layout; messages of other versions are ignored.
    address : str
        Address of the sender of the claim.
    number : int
    """

    schema_version: int
    address: str
    number: int
