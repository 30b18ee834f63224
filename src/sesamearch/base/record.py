"""Log records: decisions about requests, and changes of what a router believes.

Each has a stable event name. docs/OPERATIONS.md has a table of them.
"""

import msgspec

__all__ = [
    "RECORDS",
    "ConfigurationInForce",
    "Dependency",
    "EndpointChanged",
    "EndpointReturned",
    "EndpointSuspected",
    "GenerationResumed",
    "Lifecycle",
    "MemberChanged",
    "Record",
    "RequestEnded",
    "RequestRefused",
    "RequestUnreadable",
    "RolloutChanged",
    "TryLost",
    "TrySent",
]


class Record(msgspec.Struct, frozen=True, omit_defaults=True, tag_field="event"):
    """Base of the records: a stable event name and typed fields."""

    @property
    def is_routine(self):
        """Bool : whether it tells of something that went well, as most do."""
        return False


class TrySent(Record, frozen=True, tag="try_sent"):
    """A request was sent to an endpoint.

    Parameters
    ----------
    request : str
        Its id.
    endpoint : str
    number : int
        Of the try, from 1.
    running, unread_tokens : int
        Work there as this router knew it.
    news_age_ms : int
        Age of the oldest news of another router in that knowledge.
    revision : int
        Of the configuration that routed it.
    backup, copy : str
        Addresses of the engine that keeps a copy, and of one to go on from.
    after_event : int or None
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
        """Bool : always."""
        return True


class TryLost(Record, frozen=True, tag="try_lost"):
    """A request got no usable answer from an endpoint.

    Parameters
    ----------
    request, endpoint : str
    number : int
    cause : str
    status : int
        Zero without one.
    after_ms : int
        Since it was sent.
    """

    request: str
    endpoint: str
    number: int
    cause: str
    status: int
    after_ms: int


class GenerationResumed(Record, frozen=True, tag="generation_resumed"):
    """A generation went on at another engine.

    Parameters
    ----------
    request, endpoint : str
    after_event : int
        Last event that the caller has.
    pause_ms : int
        Since that event.
    """

    request: str
    endpoint: str
    after_event: int
    pause_ms: int


class RequestRefused(Record, frozen=True, tag="request_refused"):
    """A request got an error of this router's own.

    Parameters
    ----------
    request, route : str
    cause : str
        The error kind.
    status : int
    detail : str
    tries : int
    took_ms : int
    revision : int
    """

    request: str
    route: str
    cause: str
    status: int
    detail: str
    tries: int
    took_ms: int
    revision: int


class RequestEnded(Record, frozen=True, tag="request_ended"):
    """A request ended with an endpoint's answer, or without its caller.

    Parameters
    ----------
    request, route, endpoint : str
    outcome : str
        ``answered``, ``cut`` or ``caller_left``.
    status : int
    tries : int
    took_ms, first_ms : int
        To the end and to the first event.
    events : int
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

    @property
    def is_routine(self):
        """Bool : whether the caller got an answer."""
        return self.outcome == "answered"


class RequestUnreadable(Record, frozen=True, tag="request_unreadable"):
    """A request could not be read.

    Parameters
    ----------
    status : int
    detail : str
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
        How many it has.
    """

    revision: int
    source: str
    routes: int = 0
    organisations: int = 0


class EndpointChanged(Record, frozen=True, tag="endpoint_changed"):
    """The list of endpoints changed.

    Parameters
    ----------
    endpoint, service : str
    state : str
        ``ready``, ``leaving``, ``gone``, ``lapsed`` (kept until it had time to
        return after an outage of the store) or ``unlisted`` (back under another
        name before the store lists it).
    revision : int
        Of the list.
    """

    endpoint: str
    service: str
    state: str
    revision: int


class EndpointSuspected(Record, frozen=True, tag="endpoint_suspected"):
    """An endpoint gets no work for a while.

    Parameters
    ----------
    endpoint : str
    cause : str
        ``unreachable`` or ``replaced``.
    for_ms : int
    """

    endpoint: str
    cause: str
    for_ms: int


class EndpointReturned(Record, frozen=True, tag="endpoint_returned"):
    """An endpoint that was lost answers under another name.

    Parameters
    ----------
    endpoint, name : str
        The old name and the new one.
    silent_ms : int
        Since its last sign of life.
    """

    endpoint: str
    name: str
    silent_ms: int


class MemberChanged(Record, frozen=True, tag="member_changed"):
    """Another router was heard first, or is silent.

    Parameters
    ----------
    member : str
    state : str
        ``joined``, ``silent`` or ``forgotten``.
    """

    member: str
    state: str


class Dependency(Record, frozen=True, tag="dependency"):
    """What a router depends on was lost or regained.

    Parameters
    ----------
    name : str
        ``store``, or the prefix that is followed there.
    state : str
        ``lost`` or ``regained``.
    cause : str
    """

    name: str
    state: str
    cause: str = ""


class RolloutChanged(Record, frozen=True, tag="rollout_changed"):
    """A rollout began or ended for this router.

    Parameters
    ----------
    service, target : str
    state : str
    revision : int
        Of the order.
    cause : str
        ``order``, ``evidence``, ``peer``, ``written`` or ``unproved``.
    score : float
        Of the evidence against the version.
    to_new : int
        Requests that it got, of all routers.
    """

    service: str
    target: str
    state: str
    revision: int
    cause: str
    score: float = 0.0
    to_new: int = 0


class Lifecycle(Record, frozen=True, tag="lifecycle"):
    """The process started, opened, reloaded, drains or stopped.

    Parameters
    ----------
    state : str
    detail : str
    """

    state: str
    detail: str = ""


RECORDS = (
    TrySent,
    TryLost,
    GenerationResumed,
    RequestRefused,
    RequestEnded,
    RequestUnreadable,
    ConfigurationInForce,
    EndpointChanged,
    EndpointSuspected,
    EndpointReturned,
    MemberChanged,
    Dependency,
    RolloutChanged,
    Lifecycle,
)
