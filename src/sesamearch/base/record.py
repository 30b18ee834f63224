"""Log records: decisions about requests, and changes in a router's state.

Each record type has a stable event name. docs/OPERATIONS.md lists them.
"""

from sesamearch.base.request_record import (
    GenerationResumed,
    PermitDecided,
    ProxyRefused,
    Record,
    RequestEnded,
    RequestProxied,
    RequestRefused,
    RequestUnread,
    RequestUnreadable,
    RetryDenied,
    TryLost,
    TrySent,
    TrySuspected,
)

__all__ = [
    "RECORDS",
    "CallersShed",
    "ConfigurationInForce",
    "DataCentreReachability",
    "Dependency",
    "EndpointChanged",
    "EndpointLeaving",
    "EndpointLimited",
    "EndpointNameIgnored",
    "EndpointPaused",
    "EndpointReturned",
    "EndpointSuspected",
    "GenerationResumed",
    "Lifecycle",
    "MemberChanged",
    "PermitDecided",
    "ProxyRefused",
    "QuarantineChanged",
    "Record",
    "RequestEnded",
    "RequestProxied",
    "RequestRefused",
    "RequestUnread",
    "RequestUnreadable",
    "RetryDenied",
    "RolloutChanged",
    "ServicePathChanged",
    "StoreKnowledgeChanged",
    "StoreRestored",
    "StoreWatchChanged",
    "TryLost",
    "TrySent",
    "TrySuspected",
    "VersionStandingChanged",
]


class ConfigurationInForce(Record, frozen=True, tag="configuration_in_force"):
    """A newer configuration is in force.

    Parameters
    ----------
    revision : int
    source : str
        ``store`` or ``peer``.
    routes, organisations : int
        Number of routes and organisations; zero if received from a peer.
    """

    revision: int
    source: str
    routes: int = 0
    organisations: int = 0


class EndpointChanged(Record, frozen=True, tag="endpoint_changed"):
    """An endpoint was added to the list, changed its state or was removed.

    Parameters
    ----------
    endpoint, service : str
    state : str
        ``ready``, ``leaving``, ``gone``, ``lapsed`` (expired during a store outage and
        kept until it had time to register again) or ``unlisted`` (restarted under
        another name that the store does not list yet).
    revision : int
        Revision of the list.
    """

    endpoint: str
    service: str
    state: str
    revision: int


class EndpointLeaving(Record, frozen=True, tag="endpoint_leaving"):
    """An endpoint said that it leaves, or started again after that.

    Parameters
    ----------
    endpoint : str
    state : str
        ``leaving`` (gets no new work) or ``restarted`` (a new process of its name is
        listed and used).
    source : str
        How this router learned it: ``answer``, ``peer`` or ``list``.
    born_ms : int
        Start of the process that the state is about, zero if unknown.
    """

    endpoint: str
    state: str
    source: str
    born_ms: int


class EndpointLimited(Record, frozen=True, tag="endpoint_limited"):
    """An endpoint named the rate of requests that it takes from all routers.

    Parameters
    ----------
    endpoint : str
    state : str
        ``limited``, ``changed`` or ``ended``.
    limit_per_s : float or None
        The limit in force; None once it has ended.
    source : str
        ``answer`` (to this router), ``peer`` (another router heard it) or ``list``
        (another process of the name is listed).
    age_ms : int
        Time since the answer that says so.
    brittle_per_s : int or None
        Refusals a second that the endpoint bears; None if it bears any number.
    """

    endpoint: str
    state: str
    limit_per_s: float | None
    source: str
    age_ms: int = 0
    brittle_per_s: int | None = None


class EndpointPaused(Record, frozen=True, tag="endpoint_paused"):
    """An endpoint asked this router to send it nothing for some time.

    Parameters
    ----------
    endpoint : str
    state : str
        ``paused`` or ``ended``.
    for_ms : int
        Time for which it is paused at first; a later answer may extend it.
    """

    endpoint: str
    state: str
    for_ms: int = 0


class EndpointSuspected(Record, frozen=True, tag="endpoint_suspected"):
    """An endpoint is suspected to be down, and is avoided for a limited time.

    Parameters
    ----------
    endpoint : str
    cause : str
        ``unreachable`` or ``replaced`` (another process answered at its address).
    for_ms : int
        Time for which the endpoint is avoided.
    """

    endpoint: str
    cause: str
    for_ms: int


class EndpointReturned(Record, frozen=True, tag="endpoint_returned"):
    """A lost endpoint restarted and answers under a new name.

    Parameters
    ----------
    endpoint, name : str
        Name before and after the restart.
    silent_ms : int
        Time from the sending of the last request that the endpoint answered to this
        answer.
    """

    endpoint: str
    name: str
    silent_ms: int


class EndpointNameIgnored(Record, frozen=True, tag="endpoint_name_ignored"):
    """Another process answers at an endpoint's address, perhaps of another service.

    Parameters
    ----------
    endpoint, name : str
        Name of the endpoint and of the process.
    silent_ms : int
        As in :class:`EndpointReturned`.
    """

    endpoint: str
    name: str
    silent_ms: int


class MemberChanged(Record, frozen=True, tag="member_changed"):
    """Another router joined, stopped sending heartbeats or was removed.

    Parameters
    ----------
    member : str
        Name of the router.
    state : str
        ``joined``, ``silent`` (no heartbeats) or ``forgotten`` (removed).
    """

    member: str
    state: str


class Dependency(Record, frozen=True, tag="dependency"):
    """The connection to a dependency was lost or regained.

    Parameters
    ----------
    name : str
        ``store``, ``peers``, or the key prefix that is watched in the store.
    state : str
        ``lost`` or ``regained``.
    cause : str
        Reason for the loss, if known.
    """

    name: str
    state: str
    cause: str = ""


class RolloutChanged(Record, frozen=True, tag="rollout_changed"):
    """A rollout began or ended on this router.

    Parameters
    ----------
    service, target : str
        Name of the service and its target version.
    state : str
        ``in_progress``, ``complete`` or ``reverted``.
    revision : int
        Revision of the operator's order for the rollout.
    cause : str
        ``order`` (begun by the operator's order), ``evidence`` (the target version is
        bad), ``peer`` (reverted by another router), ``written`` (the store contains
        the outcome) or ``repeated`` (the order has another revision since the store was
        restored). A rollout for whose target version there is too little evidence when
        it is due, or no endpoint that runs it, is reverted as ``written``.
    score : float
        Strength of the evidence against the target version.
    to_new : int
        Requests that all routers sent to the target version.
    support : float
        Strength of the evidence for the target version, by its weakest measure.
    weakest : str
        That measure: ``failure``, ``first`` (time to the first event or answer) or
        ``pace`` (time between events); empty without evidence.
    new_answers, new_bad, old_answers, old_bad : int
        Answers of both versions by that measure, and the bad ones among them.
    """

    service: str
    target: str
    state: str
    revision: int
    cause: str
    score: float = 0.0
    to_new: int = 0
    support: float = 0.0
    weakest: str = ""
    new_answers: int = 0
    new_bad: int = 0
    old_answers: int = 0
    old_bad: int = 0


class VersionStandingChanged(Record, frozen=True, tag="version_standing"):
    """An order showed something of its version, or another router says so.

    Parameters
    ----------
    service, version : str
    standing : str
        ``ordered`` (again), ``replaced`` (a later order came first), ``rejected`` (it
        gets no requests until it is ordered again) or ``completed``.
    source : str
        ``own``, ``peer`` or ``store``.
    revision : int
        Revision of the order.
    """

    service: str
    version: str
    standing: str
    source: str
    revision: int


class StoreRestored(Record, frozen=True, tag="store_restored"):
    """The store came back from an older copy, and may lack what it had acknowledged.

    Parameters
    ----------
    era : int
        Number of the store's returns from a copy, as the store states it.
    revision, revision_before : int
        Store revisions of the first list of endpoints since, and of the one before.
    """

    era: int
    revision: int
    revision_before: int


class StoreKnowledgeChanged(Record, frozen=True, tag="store_knowledge_changed"):
    """What this router knows of the store became too old, or is fresh again.

    Parameters
    ----------
    state : str
        ``stale`` or ``fresh``.
    age_ms : int or None
        How old the knowledge is; None if there is none.
    followers : int
        Routers heard of that follow the store.
    is_relay, is_watching : bool
        Whether this router relays for its data centre, and whether it watches the
        store itself.
    """

    state: str
    age_ms: int | None
    followers: int
    is_relay: bool
    is_watching: bool


class StoreWatchChanged(Record, frozen=True, tag="store_watch_changed"):
    """A call that waits for changes in the store ended without an answer, or has one.

    Parameters
    ----------
    prefix : str
        Prefix of the keys that are watched.
    state : str
        ``lost`` or ``regained``.
    revision : int
        Store revision up to which changes are known.
    silent_ms : int
        Time since the last answer to this watch.
    cause : str
        Why there was no answer.
    """

    prefix: str
    state: str
    revision: int
    silent_ms: int
    cause: str = ""


class ServicePathChanged(Record, frozen=True, tag="service_path_changed"):
    """The path to all endpoints of a service was lost, or there is one again.

    Parameters
    ----------
    service : str
    state : str
        ``cut`` or ``open``.
    failed : int
        Endpoints that failed since the last answer on a new connection.
    """

    service: str
    state: str
    failed: int


class DataCentreReachability(Record, frozen=True, tag="data_centre_reachability"):
    """A data centre's endpoints stopped to answer this router, or answer again.

    Parameters
    ----------
    data_centre : str
    state : str
        ``unreachable`` or ``reachable``.
    """

    data_centre: str
    state: str


class QuarantineChanged(Record, frozen=True, tag="prompt_quarantine"):
    """Requests with some parts are refused from now on, or no longer.

    Parameters
    ----------
    parts : list of str
        Names of the parts; a request that has all of them is refused.
    state : str
        ``active`` or ``lifted``.
    source : str
        ``own`` (this router decided), ``peer`` or ``store``.
    trials : int
        Number of requests that were let through so far.
    score : float or None
        Weight of the losses that this router decided on.
    ends, requests : int or None
        Numbers of endpoints and requests among them.
    """

    parts: list[str]
    state: str
    source: str
    trials: int = 0
    score: float | None = None
    ends: int | None = None
    requests: int | None = None


class CallersShed(Record, frozen=True, tag="callers_shed"):
    """Connections of callers were closed to make room; at most one line a second.

    Parameters
    ----------
    reason : str
        ``memory`` or ``connections``: the bound that was reached.
    count : int
        Number of connections closed since the line before.
    held_bytes, connections : int
        What all callers' connections hold, and their number.
    """

    reason: str
    count: int
    held_bytes: int
    connections: int


class Lifecycle(Record, frozen=True, tag="lifecycle"):
    """The process started, opened its port, reloaded its settings or stopped.

    Parameters
    ----------
    state : str
        ``started``, ``open``, ``reloaded``, ``reload_failed`` or ``stopped``.
    detail : str
        Address or other detail of the state.
    """

    state: str
    detail: str = ""


RECORDS = (
    TrySent,
    TryLost,
    TrySuspected,
    RetryDenied,
    GenerationResumed,
    PermitDecided,
    ProxyRefused,
    RequestRefused,
    RequestEnded,
    RequestProxied,
    RequestUnread,
    RequestUnreadable,
    ConfigurationInForce,
    EndpointChanged,
    EndpointLeaving,
    EndpointLimited,
    EndpointPaused,
    EndpointSuspected,
    EndpointReturned,
    EndpointNameIgnored,
    MemberChanged,
    DataCentreReachability,
    ServicePathChanged,
    Dependency,
    RolloutChanged,
    VersionStandingChanged,
    QuarantineChanged,
    StoreKnowledgeChanged,
    StoreWatchChanged,
    StoreRestored,
    CallersShed,
    Lifecycle,
)
