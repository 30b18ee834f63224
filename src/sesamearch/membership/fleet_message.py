"""Messages among the routers of a large fleet, with the version of their layout."""

import msgspec

from sesamearch.configuration.blackboard import Endpoint
from sesamearch.forwarding.health import Outcomes, Suspicion
from sesamearch.forwarding.load import EndpointLoad
from sesamearch.membership.member_list import AgedRouterInfo, RouterInfo
from sesamearch.routing.canary import RouteEvidence

__all__ = [
    "FLEET_SCHEMA_VERSION",
    "FleetHeartbeat",
    "BroadcastBatch",
    "EndpointRestarted",
    "EndpointsDelta",
    "EndpointsSnapshot",
    "EndpointsRequest",
    "FleetMessage",
    "LoadUpdate",
    "RolloutUpdate",
    "RolloutVerdict",
    "Broadcast",
    "TableResponse",
    "TableRequest",
]

FLEET_SCHEMA_VERSION = 1


class FleetHeartbeat(msgspec.Struct, tag="Beat", frozen=True, array_like=True):
    """A router's heartbeat.

    Parameters
    ----------
    schema_version : int
        Of the layout; others are dropped.
    sender : Hint
    is_draining : bool
    table_revision : int
        Of the configuration in force.
    list_revision : int
        Store revision of the list of endpoints.
    list_digest : str
        Of its content: revisions rise without a change of the list.
    hints : list of AgedRouterInfo
        Some of the routers that the sender knows.
    """

    schema_version: int
    sender: RouterInfo
    is_draining: bool
    table_revision: int
    list_revision: int
    list_digest: str
    hints: list[AgedRouterInfo]


class TableRequest(msgspec.Struct, tag="TableWanted", frozen=True, array_like=True):
    """Asks for a configuration newer than `revision`."""

    address: str
    revision: int


class TableResponse(msgspec.Struct, tag="TableNews", frozen=True, array_like=True):
    """Carries a configuration as the operators wrote it."""

    value: bytes


class EndpointsRequest(
    msgspec.Struct, tag="EndpointsWanted", frozen=True, array_like=True
):
    """Asks for a list of endpoints newer than `revision`."""

    address: str
    revision: int


class EndpointsSnapshot(
    msgspec.Struct, tag="EndpointsNews", frozen=True, array_like=True
):
    """Carries a whole list of endpoints."""

    revision: int
    endpoints: list[Endpoint]


class EndpointsDelta(
    msgspec.Struct, tag="EndpointsChanges", frozen=True, array_like=True
):
    """Carries what changed from one list to the next.

    Parameters
    ----------
    base_digest : str
        Of the list before: only on that one may the changes be applied.
    revision : int
    changed : list of Endpoint
    gone : list of str
    """

    base_digest: str
    revision: int
    changed: list[Endpoint]
    gone: list[str]


class LoadUpdate(msgspec.Struct, tag="LoadNews", frozen=True, array_like=True):
    """Tells a router's work at engines and the endpoints that it holds for dead.

    Parameters
    ----------
    name : str
        Of the sender.
    loads : dict from str to EndpointLoad
        By endpoint.
    suspicions : list of Suspicion
    prompts : dict from str to str
        Endpoint that reads or has read a prompt, by the prompt's last part.
    data_centre : str
        Of the sender: an endpoint may be sick for one data centre only.
    outcomes : list of Outcomes
    """

    name: str
    loads: dict[str, EndpointLoad]
    suspicions: list[Suspicion]
    prompts: dict[str, str]
    data_centre: str = ""
    outcomes: list[Outcomes] = []


class EndpointRestarted(
    msgspec.Struct, tag="EndpointBack", frozen=True, array_like=True
):
    """Tells of an endpoint that is back under another name, unlisted yet."""

    endpoint: Endpoint


class RolloutUpdate(msgspec.Struct, tag="RolloutNews", frozen=True, array_like=True):
    """Tells of a rollout, and what a router saw of it since it last told.

    Parameters
    ----------
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
    """Tells how a rollout ended.

    Parameters
    ----------
    service : str
    revision : int
        Of the order.
    is_bad : bool
        Whether the version was called bad, or else has taken over.
    """

    service: str
    revision: int
    is_bad: bool


class Broadcast(msgspec.Struct, tag="Spread", frozen=True, array_like=True):
    """News that goes to every router, by way of the relays.

    Parameters
    ----------
    origin : str
        Name of the router that it comes from.
    incarnation, sequence : int
        Tell copies of the same news, which come by two relays.
    news : LoadUpdate, EndpointRestarted, RolloutUpdate or RolloutVerdict
    """

    origin: str
    incarnation: int
    sequence: int
    news: LoadUpdate | EndpointRestarted | RolloutUpdate | RolloutVerdict


class BroadcastBatch(msgspec.Struct, tag="Bundle", frozen=True, array_like=True):
    """Pieces of news that a relay hands on together."""

    spreads: list[Broadcast]


FleetMessage = (
    FleetHeartbeat
    | BroadcastBatch
    | TableRequest
    | TableResponse
    | EndpointsRequest
    | EndpointsSnapshot
    | EndpointsDelta
    | Broadcast
)
