"""Messages on the peer links, each with the version of its layout."""

import msgspec

from sesamearch.operation.claim import Claim
from sesamearch.routing.evidence import CellCounts

__all__ = [
    "SCHEMA_VERSION",
    "BadVersionNotice",
    "ClaimRequest",
    "ClaimResult",
    "ClaimsRequest",
    "ClaimsResponse",
    "ConfigurationRequest",
    "ConfigurationResponse",
    "EvidenceReport",
    "Heartbeat",
    "Message",
    "SettlementRequest",
]

SCHEMA_VERSION = 1


class Heartbeat(msgspec.Struct, tag=True, frozen=True, array_like=True):
    """A router's own state, sent at regular intervals and after each change.

    Parameters
    ----------
    schema_version : int
        Version of the message layout; messages of other versions are dropped.
    name, data_centre, address : str
        Name and data centre of the sender, and the address of its peer link.
    incarnation : int
        Start time of the process in ns. It tells a restarted router from the previous
        process of the same name.
    configuration_revision : int
        Revision of the configuration in force.
    draining : bool
        Whether the sender is shutting down.
    known : list of str
        A sample of the peer addresses that the sender knows.
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
    """Request for a configuration newer than `revision`, to be sent to `address`."""

    schema_version: int
    address: str
    revision: int


class ConfigurationResponse(
    msgspec.Struct, tag="ConfigurationNews", frozen=True, array_like=True
):
    """Response with a configuration in its stored form."""

    schema_version: int
    value: bytes


class ClaimRequest(msgspec.Struct, frozen=True, array_like=True):
    """A claim that the writer is asked to write."""

    key: bytes
    claim: Claim
    retention_s: float


class SettlementRequest(msgspec.Struct, frozen=True, array_like=True):
    """The outcome of a claim that the writer is asked to write."""

    key: bytes
    claim: Claim
    mod_revision: int
    lease: int


class ClaimResult(msgspec.Struct, frozen=True, array_like=True):
    """Result of a :class:`ClaimRequest`; revision zero means the claim was not won."""

    mod_revision: int
    lease: int
    existing: Claim | None = None


class ClaimsRequest(msgspec.Struct, tag="ClaimsWanted", frozen=True, array_like=True):
    """Request to the data centre's writer to write claims and outcomes.

    Parameters
    ----------
    schema_version : int
    name : str
        Name of the sender.
    number : int
        Identifies the request; repeated in the response.
    claims : list of ClaimRequest
    settlements : list of SettlementRequest
    """

    schema_version: int
    name: str
    number: int
    claims: list[ClaimRequest]
    settlements: list[SettlementRequest]


class ClaimsResponse(msgspec.Struct, tag="ClaimsTaken", frozen=True, array_like=True):
    """Response to a :class:`ClaimsRequest`; outcomes are in the order of its claims."""

    schema_version: int
    number: int
    outcomes: list[ClaimResult]


class EvidenceReport(msgspec.Struct, tag=True, frozen=True, array_like=True):
    """What a router saw of a version move in one window, for the leader of moves."""

    schema_version: int
    move_id: str
    cells: list[CellCounts]


class BadVersionNotice(msgspec.Struct, tag="Veto", frozen=True, array_like=True):
    """Notice that a router has judged the new version of a move bad."""

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
