"""Messages on the peer links of a large fleet, and the version of their layout."""

import msgspec

from sesamearch.configuration.blackboard import Endpoint, Incarnation
from sesamearch.forwarding.budget import RetryUse
from sesamearch.forwarding.health import Outcomes, Suspicion
from sesamearch.forwarding.load import EndpointLoad
from sesamearch.forwarding.stated_load import StatedLoad
from sesamearch.membership.limit_message import (
    LimitReport,
    PermitReply,
    PermitRequest,
    PermitUsed,
    PermitWithdrawal,
)
from sesamearch.membership.member_list import AgedRouterInfo, RouterInfo
from sesamearch.membership.rollout_message import (
    RolloutUpdate,
    RolloutVerdict,
    StandingUpdate,
)
from sesamearch.membership.schema import UNSTATED_ERA
from sesamearch.quarantine.entry import Quarantine
from sesamearch.quarantine.loss import EndpointLoss

__all__ = [
    "LEAVING_SCHEMA_VERSION",
    "FLEET_SCHEMA_VERSION",
    "PATH_SCHEMA_VERSION",
    "QUARANTINE_SCHEMA_VERSION",
    "Broadcast",
    "BroadcastBatch",
    "LeavingNotice",
    "EndpointRestarted",
    "EndpointsDelta",
    "EndpointsRequest",
    "EndpointsSnapshot",
    "FleetHeartbeat",
    "FleetMessage",
    "LoadUpdate",
    "LossReport",
    "PathReport",
    "QuarantineUpdate",
    "TableRequest",
    "TableResponse",
]

FLEET_SCHEMA_VERSION = 1
LEAVING_SCHEMA_VERSION = 1
PATH_SCHEMA_VERSION = 1
QUARANTINE_SCHEMA_VERSION = 1


class FleetHeartbeat(msgspec.Struct, tag="Beat", frozen=True, array_like=True):
    """A router's heartbeat.

    Parameters
    ----------
    schema_version : int
        Version of the message layout; heartbeats of other versions are dropped.
    sender : RouterInfo
    is_draining : bool
    table_revision : int
        Revision of the configuration in force.
    list_revision : int
        Store revision of the list of endpoints.
    list_digest : str
        Digest of that list, since its revision also rises without a change of content.
    routers : list of AgedRouterInfo
        A sample of the routers that the sender knows.
    follows_store : bool
        Whether the sender watches the store and reaches it.
    list_era : int
        Era of the store that `list_revision` belongs to.
    store_age_s : float
        How old the sender's knowledge of the store is; negative if it knows nothing of
        it or does not state it.
    """

    schema_version: int
    sender: RouterInfo
    is_draining: bool
    table_revision: int
    list_revision: int
    list_digest: str
    routers: list[AgedRouterInfo]
    follows_store: bool = False
    list_era: int = UNSTATED_ERA
    store_age_s: float = -1.0


class TableRequest(msgspec.Struct, tag="TableWanted", frozen=True, array_like=True):
    """Request for a configuration newer than `revision`, to be sent to `address`."""

    address: str
    revision: int


class TableResponse(msgspec.Struct, tag="TableNews", frozen=True, array_like=True):
    """Response with a configuration, encoded as the operators wrote it to the store."""

    value: bytes


class EndpointsRequest(
    msgspec.Struct, tag="EndpointsWanted", frozen=True, array_like=True
):
    """Request for a newer endpoint list than the sender's, to be sent to `address`."""

    address: str
    revision: int
    era: int = UNSTATED_ERA


class EndpointsSnapshot(
    msgspec.Struct, tag="EndpointsNews", frozen=True, array_like=True
):
    """Response with the complete list of endpoints."""

    revision: int
    endpoints: list[Endpoint]
    era: int = UNSTATED_ERA


class EndpointsDelta(
    msgspec.Struct, tag="EndpointsChanges", frozen=True, array_like=True
):
    """The difference between two successive lists of endpoints.

    Parameters
    ----------
    base_digest : str
        Digest of the only list that the difference may be applied to.
    revision : int
        Store revision of the resulting list.
    changed : list of Endpoint
        Endpoints that were added or changed.
    removed : list of str
        Names of the endpoints that were removed.
    era : int
        Era of the store that the revision belongs to.
    """

    base_digest: str
    revision: int
    changed: list[Endpoint]
    removed: list[str]
    era: int = UNSTATED_ERA


class LoadUpdate(msgspec.Struct, tag="LoadNews", frozen=True, array_like=True):
    """A router's work in flight at engines, and the endpoints that it suspects.

    Parameters
    ----------
    name : str
        Name of the sender.
    loads : dict from str to EndpointLoad
        Work in flight by endpoint name.
    suspicions : list of Suspicion
    prompts : dict from str to str
        Names of the endpoints of the sender's running generations, by the name of the
        last part of their prompts.
    data_centre : str
        Data centre of the sender. Only its routers use the outcomes, because an
        endpoint may fail for a single data centre.
    outcomes : list of Outcomes
    epoch : int
        Distinguishes processes of the sender's name.
    retry_use : dict from str to RetryUse
        Requests and retries of the sender by service.
    stated : dict from str to StatedLoad
        Load that endpoints stated to the sender since its last update, by endpoint.
    read_parts : dict from str to list of str
        Parts of prompts that engines read for the sender since then, by engine.
    """

    name: str
    loads: dict[str, EndpointLoad]
    suspicions: list[Suspicion]
    prompts: dict[str, str]
    data_centre: str = ""
    outcomes: list[Outcomes] = []
    epoch: int = 0
    retry_use: dict[str, RetryUse] = {}
    stated: dict[str, StatedLoad] = {}
    read_parts: dict[str, list[str]] = {}


class EndpointRestarted(
    msgspec.Struct, tag="EndpointBack", frozen=True, array_like=True
):
    """An endpoint that restarted under another name and is not in the store yet."""

    endpoint: Endpoint


class LeavingNotice(msgspec.Struct, tag=True, frozen=True, array_like=True):
    """An endpoint that said to the sender that it leaves.

    Parameters
    ----------
    schema_version : int
        Version of the message layout; messages of other versions are ignored.
    incarnation : Incarnation
        The process that leaves.
    """

    schema_version: int
    incarnation: Incarnation


class LossReport(msgspec.Struct, tag=True, frozen=True, array_like=True):
    """What the sender saw of endpoints that ended, and of the requests they ran.

    Parameters
    ----------
    schema_version : int
        Version of the message layout; messages of other versions are ignored.
    losses : list of EndpointLoss
        Requests that were lost with their endpoint.
    written : list of str
        Parts of requests that an endpoint has run since others ended under them.
    alive : list of Incarnation
        Endpoints that have not ended, although a request at them was lost.
    known : list of str
        Parts of requests that endpoints ran before the losses.
    """

    schema_version: int
    losses: list[EndpointLoss]
    written: list[str]
    alive: list[Incarnation]
    known: list[str] = []


class QuarantineUpdate(msgspec.Struct, tag=True, frozen=True, array_like=True):
    """Quarantines that the sender knows, those that were lifted included.

    Parameters
    ----------
    schema_version : int
        Version of the message layout; messages of other versions are ignored.
    quarantines : list of Quarantine
    """

    schema_version: int
    quarantines: list[Quarantine]


class PathReport(msgspec.Struct, tag=True, frozen=True, array_like=True):
    """Services of which the sender reaches no endpoint.

    Parameters
    ----------
    schema_version : int
        Version of the message layout; messages of other versions are ignored.
    name : str
        Name of the sender.
    services : list of str
        Empty if it reaches all of them again.
    """

    schema_version: int
    name: str
    services: list[str]


class Broadcast(msgspec.Struct, tag="Spread", frozen=True, array_like=True):
    """An update for every router, forwarded by the relays.

    Parameters
    ----------
    origin : str
        Name of the router that the update comes from.
    incarnation, sequence : int
        Identify the update within its origin, so that a second copy, which arrives
        through the other relay, is dropped.
    update : LoadUpdate, EndpointRestarted, LeavingNotice, LimitReport, RolloutUpdate
        or another update type of this module
    """

    origin: str
    incarnation: int
    sequence: int
    update: (
        LoadUpdate
        | EndpointRestarted
        | LeavingNotice
        | LimitReport
        | RolloutUpdate
        | RolloutVerdict
        | LossReport
        | PathReport
        | QuarantineUpdate
        | StandingUpdate
    )


class BroadcastBatch(msgspec.Struct, tag="Bundle", frozen=True, array_like=True):
    """Broadcasts that a relay forwards in one message."""

    broadcasts: list[Broadcast]


FleetMessage = (
    FleetHeartbeat
    | BroadcastBatch
    | TableRequest
    | TableResponse
    | EndpointsRequest
    | EndpointsSnapshot
    | EndpointsDelta
    | Broadcast
    | PermitRequest
    | PermitReply
    | PermitUsed
    | PermitWithdrawal
    | QuarantineUpdate
    | StandingUpdate
)
