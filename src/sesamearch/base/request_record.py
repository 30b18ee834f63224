"""Log records of decisions about requests, and the base of all records."""

import msgspec

__all__ = [
    "GenerationResumed",
    "Record",
    "PermitDecided",
    "ProxyRefused",
    "RequestEnded",
    "RequestProxied",
    "RequestRefused",
    "RequestUnread",
    "RequestUnreadable",
    "RetryDenied",
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
    limit_per_s : float or None
        Requests a second that the endpoint takes from all routers, as far as this
        router knows; None if it names no limit.
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
    limit_per_s: float | None = None

    @property
    def is_routine(self):
        """Bool : always true."""
        return True


class RequestProxied(Record, frozen=True, tag="request_proxied"):
    """A request was sent by way of another router, as no endpoint can be reached.

    Parameters
    ----------
    request, router : str
        Request ID, and name of the other router.
    number : int
        Number of the try, starting at 1.
    after_event : int or None
        Last event that the caller received, if a generation resumes.
    """

    request: str
    router: str
    number: int
    after_event: int | None = None


class ProxyRefused(Record, frozen=True, tag="proxy_refused"):
    """A request of another router, or one that pretends to be, was not taken.

    Parameters
    ----------
    router : str
        Name of the other router; empty if it is not known to be genuine.
    status : int
    detail : str
    """

    router: str
    status: int
    detail: str


class PermitDecided(Record, frozen=True, tag="permit_decided"):
    """A request waited for a permit of an endpoint that limits its requests.

    Parameters
    ----------
    request, endpoint : str
        Request ID and name of the endpoint.
    state : str
        ``granted``, ``denied`` (no permit comes up in the time that the request has) or
        ``unanswered`` (no router that limits the endpoint answered).
    waited_ms : int
        Time for which the request waited.
    limit_per_s : float or None
        The limit, as far as this router knows.
    wait_ms : int
        Time until another request could be granted a permit.
    """

    request: str
    endpoint: str
    state: str
    waited_ms: int
    limit_per_s: float | None
    wait_ms: int


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
        Names of the parts of the prompt that other requests may share, and of the
        whole request: a request that comes again, under any id, has the same name.
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
        ``no_event_numbers``, ``quarantined`` (its prompt), ``refused`` (by each engine
        that was to take over) or ``no_permit`` (its limit is used up, or not known to
        be free yet).
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
    limited : list of str
        Endpoints that limit the requests of all routers and had no permit for it.
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
    limited: list[str] = []


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
