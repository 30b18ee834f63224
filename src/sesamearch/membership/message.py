"""Messages between routers, each with the version of its layout."""

import msgspec

from sesamearch.configuration.blackboard import Endpoint
from sesamearch.forwarding.health import Suspicion
from sesamearch.forwarding.load import EndpointLoad
from sesamearch.operation.claim import Claim
from sesamearch.routing.canary import RouteEvidence
from sesamearch.routing.evidence import CellCounts

__all__ = [
    "SCHEMA_VERSION",
    "ClaimsTaken",
    "ClaimsWanted",
    "ConfigurationNews",
    "ConfigurationWanted",
    "EndpointsNews",
    "EndpointsState",
    "EndpointsWanted",
    "EvidenceReport",
    "Heartbeat",
    "LoadNews",
    "Message",
    "RolloutNews",
    "RolloutVerdict",
    "TakenClaim",
    "Veto",
    "WantedClaim",
    "WantedSettlement",
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


class ConfigurationWanted(msgspec.Struct, tag=True, frozen=True, array_like=True):
    """Asks for a configuration newer than `revision`."""

    schema_version: int
    address: str
    revision: int


class ConfigurationNews(msgspec.Struct, tag=True, frozen=True, array_like=True):
    """Carries a configuration in its stored form."""

    schema_version: int
    value: bytes


class WantedClaim(msgspec.Struct, frozen=True, array_like=True):
    """A claim that another router is to write."""

    key: bytes
    claim: Claim
    retention_s: float


class WantedSettlement(msgspec.Struct, frozen=True, array_like=True):
    """An outcome that another router is to write."""

    key: bytes
    claim: Claim
    mod_revision: int
    lease: int


class TakenClaim(msgspec.Struct, frozen=True, array_like=True):
    """What became of a wanted claim; a revision of zero means that it was not won."""

    mod_revision: int
    lease: int
    existing: Claim | None = None


class ClaimsWanted(msgspec.Struct, tag=True, frozen=True, array_like=True):
    """Asks the data centre's writer to write claims and outcomes.

    Parameters
    ----------
    schema_version : int
    name : str
        Who asks.
    number : int
        Given back in the answer.
    claims : list of WantedClaim
    settlements : list of WantedSettlement
    """

    schema_version: int
    name: str
    number: int
    claims: list[WantedClaim]
    settlements: list[WantedSettlement]


class ClaimsTaken(msgspec.Struct, tag=True, frozen=True, array_like=True):
    """Answers :class:`ClaimsWanted`; outcomes are in the order of its claims."""

    schema_version: int
    number: int
    outcomes: list[TakenClaim]


class EvidenceReport(msgspec.Struct, tag=True, frozen=True, array_like=True):
    """Tells the leader what a router saw of a move in one window."""

    schema_version: int
    move_id: str
    cells: list[CellCounts]


class Veto(msgspec.Struct, tag=True, frozen=True, array_like=True):
    """Tells that a router has called the new version of a move bad."""

    schema_version: int
    move_id: str
    reason: str


class LoadNews(msgspec.Struct, tag=True, frozen=True, array_like=True):
    """Tells a router's work at engines and the endpoints that it holds for dead.

    Parameters
    ----------
    schema_version : int
    name : str
        Of the sender.
    loads : dict from str to EndpointLoad
        By endpoint.
    suspicions : list of Suspicion
    prompts : dict from str to str
        Endpoint that reads or has read a prompt, by the prompt's last part.
    """

    schema_version: int
    name: str
    loads: dict[str, EndpointLoad]
    suspicions: list[Suspicion]
    prompts: dict[str, str]


class EndpointsState(msgspec.Struct, tag=True, frozen=True, array_like=True):
    """Tells which list of endpoints a router has.

    Parameters
    ----------
    schema_version : int
    address : str
        Of the sender's peer link.
    revision : int
        Store revision of the list.
    digest : str
        Of its content: revisions rise without a change of the list.
    """

    schema_version: int
    address: str
    revision: int
    digest: str


class EndpointsWanted(msgspec.Struct, tag=True, frozen=True, array_like=True):
    """Asks for a list of endpoints newer than `revision`."""

    schema_version: int
    address: str
    revision: int


class EndpointsNews(msgspec.Struct, tag=True, frozen=True, array_like=True):
    """Carries a list of endpoints."""

    schema_version: int
    revision: int
    endpoints: list[Endpoint]


class RolloutNews(msgspec.Struct, tag=True, frozen=True, array_like=True):
    """Tells of a rollout, and what a router saw of it since it last told.

    Parameters
    ----------
    schema_version : int
    name : str
        Of the sender.
    service, target : str
    revision : int
        Of the order.
    length_s, age_s : float
        Of the order; the age is that at the sender.
    requests, to_new : int
        Sent to the service, and of these to the new version.
    evidence : list of RouteEvidence
    """

    schema_version: int
    name: str
    service: str
    target: str
    revision: int
    length_s: float
    age_s: float
    requests: int
    to_new: int
    evidence: list[RouteEvidence]


class RolloutVerdict(msgspec.Struct, tag=True, frozen=True, array_like=True):
    """Tells that a router has called the version of a rollout bad."""

    schema_version: int
    service: str
    revision: int


Message = (
    Heartbeat
    | ConfigurationWanted
    | ConfigurationNews
    | ClaimsWanted
    | ClaimsTaken
    | EvidenceReport
    | Veto
    | LoadNews
    | EndpointsState
    | EndpointsWanted
    | EndpointsNews
    | RolloutNews
    | RolloutVerdict
)
