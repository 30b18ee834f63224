"""Log records: decisions about requests, and changes in a router's state.

Each record type has a stable event name. docs/OPERATIONS.md lists them.
"""

import msgspec

__all__ = [
    "RECORDS",
    "ConfigurationInForce",
    "DataCentreReachability",
    "Dependency",
    "EndpointChanged",
    "EndpointLeaving",
    "EndpointPaused",
    "EndpointReturned",
    "EndpointSuspected",
    "GenerationResumed",
    "Lifecycle",
    "MemberChanged",
    "PromptQuarantineChanged",
    "Record",
    "RequestEnded",
    "RequestRefused",
    "RequestUnread",
    "RequestUnreadable",
    "RetryDenied",
    "RolloutChanged",
    "StoreRestored",
    "TryLost",
    "TrySent",
    "TrySuspected",
]


class Record(msgspec.Struct, frozen=True, omit_defaults=True, tag_field="event"):
    """Base of the log records: a stable event name and typed fields."""

    @property
    def is_routine(self):
        """Bool : whether the record reports a success, as most do under normal load."""
        return False


class TrySent(Record, frozen=True, tag="try_sent"):
    """A request was sent to an endpoint.

    Parameters
    ----------
    request : str
        Request ID.
    endpoint : str
        Name of the endpoint.
    number : int
        Number of the try, starting at 1.
    running, unread_tokens : int
        Load of the endpoint as known to this router: running requests, and prompt
        tokens still to be processed.
    news_age_ms : int
        Age of the oldest load report of another router that this load includes.
    revision : int
        Revision of the configuration that routed the request.
    backup, copy : str
        Address of the engine that keeps a copy of the KV cache, and address of the
        engine from whose copy the generation resumes; empty if none.
    after_event : int or None
        Last event that the caller received, if the generation resumes.
    """

    request: str
    endpoint: str
    number: int
    running: int
    unread_tokens: int
    news_age_ms: int
    revision: int
    backup: str = ""
    copy: str = ""
    after_event: int | None = None

    @property
    def is_routine(self):
        """Bool : always true."""
        return True


class TryLost(Record, frozen=True, tag="try_lost"):
    """A try ended without a usable answer from the endpoint.

    Parameters
    ----------
    request, endpoint : str
        Request ID and name of the endpoint.
    number : int
        Number of the try, starting at 1.
    cause : str
        Why there is no usable answer, such as ``closed_midway``.
    status : int
        HTTP status of the answer, zero if there was none.
    after_ms : int
        Time since the request was sent.
    answering_ms : int or None
        Time since the head of the answer arrived; None if it did not.
    events : int
        Number of events that arrived of this try.
    parts : list of str
        The parts of the prompt that other requests may share; empty for a call.
    """

    request: str
    endpoint: str
    number: int
    cause: str
    status: int
    after_ms: int
    answering_ms: int | None = None
    events: int = 0
    parts: list[str] = []


class TrySuspected(Record, frozen=True, tag="try_suspected"):
    """A try whose engine is silent was kept or replaced, or its engine answered again.

    A try whose engine is known to be lost is reported by :class:`TryLost` alone.

    Parameters
    ----------
    request, endpoint : str
        Request ID and name of the endpoint.
    number : int
        Number of the try, starting at 1.
    cause : str
        ``stalled`` (no event for too long) or ``silent`` (no answer to a probe).
    state : str
        ``kept`` (no other engine could take over; the try goes on), ``replaced``
        (sent to another engine; a :class:`TryLost` follows once that one has begun, or
        ``kept`` if it refuses) or ``answered``.
    after_ms : int
        Time since the try was first suspected.
    obstacle : str
        Why a kept try was not replaced: ``no_engine``, ``no_budget``, ``no_attempts``,
        ``no_event_numbers`` or ``refused`` (by each engine that was to take over).
    """

    request: str
    endpoint: str
    number: int
    cause: str
    state: str
    after_ms: int
    obstacle: str = ""


class RetryDenied(Record, frozen=True, tag="retry_denied"):
    """A request was not sent again because the retry budget was used up.

    Parameters
    ----------
    request, service : str
        Request ID and name of the service.
    own, known : int
        Recent retries of this router, and of all routers as far as it knows.
    """

    request: str
    service: str
    own: int
    known: int


class GenerationResumed(Record, frozen=True, tag="generation_resumed"):
    """A generation resumed at another engine.

    Parameters
    ----------
    request, endpoint : str
        Request ID and name of the new engine.
    after_event : int
        Last event that the caller received.
    pause_ms : int
        Time since that event.
    """

    request: str
    endpoint: str
    after_event: int
    pause_ms: int


class RequestRefused(Record, frozen=True, tag="request_refused"):
    """A request was answered with an error from this router.

    Parameters
    ----------
    request, route : str
        Request ID and name of the route.
    cause : str
        Value of the :class:`~sesamearch.base.errors.ErrorKind`.
    status : int
        HTTP status.
    detail : str
        Description of the error.
    tries : int
        Number of tries.
    took_ms : int
        Time since the request was received.
    revision : int
        Revision of the configuration that routed the request.
    host, path : str
        Host and beginning of the path of a request that matched no route.
    routes, in_force_ms : int
        Number of routes for a request that matched none, and for how long this router
        has had that configuration.
    left_ms : int or None
        Time until the caller's deadline, negative after it.
    try_state : str
        State of the try that was still running: ``connecting`` (no endpoint can have
        got the request), ``sent`` or ``answering``; empty without one.
    parts : list of str
        Parts of its prompt under which engines end, if it was refused for them.
    """

    request: str
    route: str
    cause: str
    status: int
    detail: str
    tries: int
    took_ms: int
    revision: int
    host: str = ""
    path: str = ""
    routes: int = 0
    in_force_ms: int = 0
    left_ms: int | None = None
    try_state: str = ""
    parts: list[str] = []


class RequestEnded(Record, frozen=True, tag="request_ended"):
    """A request ended without an error response from this router.

    Parameters
    ----------
    request, route, endpoint : str
        Request ID, name of the route and name of the endpoint; the endpoint is empty
        if the end is not attributed to one.
    outcome : str
        ``answered``, ``cut`` (the response began but was not completed) or
        ``caller_left`` (the caller disconnected).
    status : int
        HTTP status; zero if the caller heard nothing or it is unknown.
    tries : int
        Number of tries.
    took_ms, first_ms : int
        Time from receiving the request to its end and to the first event.
    events : int
        Number of events sent to the caller.
    left_ms, try_state
        As in :class:`RequestRefused`.
    """

    request: str
    route: str
    endpoint: str
    outcome: str
    status: int
    tries: int
    took_ms: int
    first_ms: int = 0
    events: int = 0
    left_ms: int | None = None
    try_state: str = ""

    @property
    def is_routine(self):
        """Bool : whether the caller received a complete answer."""
        return self.outcome == "answered"


class RequestUnread(Record, frozen=True, tag="request_unread"):
    """A connection closed when bytes of a further request had arrived on it.

    Parameters
    ----------
    request : str
        Request ID, empty if it is not in those bytes.
    unread_bytes : int
    """

    request: str
    unread_bytes: int


class RequestUnreadable(Record, frozen=True, tag="request_unreadable"):
    """A request could not be parsed.

    Parameters
    ----------
    status : int
        HTTP status of the response.
    detail : str
        Description of the parse error.
    """

    status: int
    detail: str


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
        Time between its last sign of life and this answer.
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


class PromptQuarantineChanged(Record, frozen=True, tag="prompt_quarantine"):
    """Prompts with some parts are refused from now on, or no longer.

    Parameters
    ----------
    parts : list of str
        Names of the parts; a prompt that contains all of them is refused.
    state : str
        ``active`` or ``lifted``.
    source : str
        ``own`` (this router decided), ``peer`` or ``store``.
    trials : int
        Number of requests that were let through so far.
    score : float or None
        Weight of the losses that this router decided on.
    ends, requests : int or None
        Numbers of engines and requests among them.
    """

    parts: list[str]
    state: str
    source: str
    trials: int = 0
    score: float | None = None
    ends: int | None = None
    requests: int | None = None


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
    RequestRefused,
    RequestEnded,
    RequestUnread,
    RequestUnreadable,
    ConfigurationInForce,
    EndpointChanged,
    EndpointLeaving,
    EndpointPaused,
    EndpointSuspected,
    EndpointReturned,
    MemberChanged,
    DataCentreReachability,
    Dependency,
    RolloutChanged,
    PromptQuarantineChanged,
    StoreRestored,
    Lifecycle,
)
