"""Messages between routers, each with the version of its layout."""

import msgspec

from sesamearch.operation.claim import Claim
from sesamearch.routing.evidence import CellCounts

__all__ = [
    "SCHEMA_VERSION",
    "ClaimsResponse",
    "ClaimsRequest",
    "ConfigurationResponse",
    "ConfigurationRequest",
    "EvidenceReport",
    "Heartbeat",
    "Message",
    "ClaimResult",
    "BadVersionNotice",
    "ClaimRequest",
    "SettlementRequest",
]

SCHEMA_VERSION = 1


class Heartbeat(msgspec.Struct, tag=True, frozen=True, array_like=True):
    """A router's own state, sent at each interval and at each change.

    Parameters
    ----------
    schema_version : int
        Version of the message layout; others are dropped.
    name, data_centre, address : str
    incarnation : int
        Start time of the process in ns: a restarted VM is not its predecessor.
    configuration_revision : int
    draining : bool
    known : list of str
        Some of the peer addresses that the sender knows.
    """

    schema_version: int
    name: str
    data_centre: str
    address: str
    incarnation: int
    configuration_revision: int
    draining: bool
    known: list[str]


class ConfigurationRequest(
    msgspec.Struct, tag="ConfigurationWanted", frozen=True, array_like=True
):
    """Asks for a configuration newer than `revision`."""

    schema_version: int
    address: str
    revision: int


class ConfigurationResponse(
    msgspec.Struct, tag="ConfigurationNews", frozen=True, array_like=True
):
    """Carries a configuration in its stored form."""

    schema_version: int
    value: bytes


class ClaimRequest(msgspec.Struct, frozen=True, array_like=True):
    """A claim that another router is to write."""

    key: bytes
    claim: Claim
    retention_s: float


class SettlementRequest(msgspec.Struct, frozen=True, array_like=True):
    """An outcome that another router is to write."""

    key: bytes
    claim: Claim
    mod_revision: int
    lease: int


class ClaimResult(msgspec.Struct, frozen=True, array_like=True):
    """What became of a wanted claim; a revision of zero means that it was not won."""

    mod_revision: int
    lease: int
    existing: Claim | None = None


class ClaimsRequest(msgspec.Struct, tag="ClaimsWanted", frozen=True, array_like=True):
    """Asks the data centre's writer to write claims and outcomes.

    Parameters
    ----------
    schema_version : int
    name : str
        Who asks.
    number : int
        Given back in the answer.
    claims : list of ClaimRequest
    settlements : list of SettlementRequest
    """

    schema_version: int
    name: str
    number: int
    claims: list[ClaimRequest]
    settlements: list[SettlementRequest]


class ClaimsResponse(msgspec.Struct, tag="ClaimsTaken", frozen=True, array_like=True):
    """Answers :class:`ClaimsRequest`; outcomes are in the order of its claims."""

    schema_version: int
    number: int
    outcomes: list[ClaimResult]


class EvidenceReport(msgspec.Struct, tag=True, frozen=True, array_like=True):
    """Tells the leader what a router saw of a move in one window."""

    schema_version: int
    move_id: str
    cells: list[CellCounts]


class BadVersionNotice(msgspec.Struct, tag="Veto", frozen=True, array_like=True):
    """Tells that a router has called the new version of a move bad."""

    schema_version: int
    move_id: str
    reason: str


Message = (
    Heartbeat
    | ConfigurationRequest
    | ConfigurationResponse
    | ClaimsRequest
    | ClaimsResponse
    | EvidenceReport
    | BadVersionNotice
)
