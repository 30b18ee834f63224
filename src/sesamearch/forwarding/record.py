"""Log records of decisions about requests."""

import msgspec

__all__ = [
    "GenerationResumed",
    "RequestEnded",
    "RequestRefused",
    "TryLost",
    "TrySent",
]


class _Record(msgspec.Struct, frozen=True, omit_defaults=True, tag_field="event"):
    """Base of the records: a stable event name and typed fields."""


class TrySent(_Record, frozen=True, tag="try_sent"):
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
    revision: int
    backup: str = ""
    copy: str = ""
    after_event: int | None = None


class TryLost(_Record, frozen=True, tag="try_lost"):
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


class GenerationResumed(_Record, frozen=True, tag="generation_resumed"):
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


class RequestRefused(_Record, frozen=True, tag="request_refused"):
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


class RequestEnded(_Record, frozen=True, tag="request_ended"):
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
