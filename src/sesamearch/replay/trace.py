"""Recorded traces: what arrives when, what fails when, and what must come of it."""

from typing import Annotated, Literal

import msgspec
from result import Err, Ok

from sesamearch.configuration.configuration import EngineService, PlainService

__all__ = [
    "CallArrival",
    "Generate",
    "Header",
    "Trace",
    "TraceEndpoint",
    "TraceFault",
    "TraceMove",
    "TraceRouter",
    "load_trace",
]

Seconds = Annotated[float, msgspec.Meta(ge=0)]
Count = Annotated[int, msgspec.Meta(ge=1)]


class _Record(
    msgspec.Struct, forbid_unknown_fields=True, frozen=True, tag_field="kind"
):
    """Base of every line: unknown keys are errors."""


class TraceRouter(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """A router at the start of the trace."""

    name: str
    data_centre: str


class TraceEndpoint(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """An endpoint at the start of the trace.

    Parameters
    ----------
    name, data_centre, service, version : str
    token_interval_s, prefill_s : float
        Pace of an engine.
    work_s : float
        Time of a call at a plain service.
    error_ratio : float
        Part of its attempts or calls that fail; above zero it is a bad version.
    bad_from_s : float
        When that begins.
    """

    name: str
    data_centre: str
    service: str
    version: str = "v1"
    token_interval_s: Annotated[float, msgspec.Meta(gt=0)] = 0.035
    prefill_s: Seconds = 0.05
    work_s: Seconds = 0.005
    error_ratio: Annotated[float, msgspec.Meta(ge=0, le=1)] = 0.0
    bad_from_s: Seconds = 0.0


class Header(_Record, tag="trace"):
    """First line.

    Parameters
    ----------
    format_version : int
    name : str
    services : list of EngineService or PlainService
        As in the operators' files.
    routers : list of TraceRouter
    endpoints : list of TraceEndpoint
    list_lag_s : float
        How late the platform's list tells that an endpoint leaves.
    link_latency_s, store_latency_s : float
        One way on a link; there and back at the store.
    duration_s : float
        When the replay ends.
    """

    format_version: Literal[1]
    name: str
    services: list[EngineService | PlainService]
    routers: Annotated[list[TraceRouter], msgspec.Meta(min_length=1)]
    endpoints: list[TraceEndpoint]
    duration_s: Annotated[float, msgspec.Meta(gt=0)]
    list_lag_s: Seconds = 5.0
    link_latency_s: Seconds = 0.0005
    store_latency_s: Seconds = 0.004


class Generate(_Record, tag="generate"):
    """A caller asks for a generation.

    Parameters
    ----------
    at_s : float
    id, organisation, model : str
    tokens : int
        Length of the answer.
    stream : bool
    outcome : str
        ``whole``, ``failed``, or ``any`` of the two.
    """

    at_s: Seconds
    id: str
    model: str
    tokens: Count
    organisation: str = "clerks"
    stream: bool = True
    outcome: Literal["whole", "failed", "any"] = "whole"


class CallArrival(_Record, tag="call"):
    """A caller asks for a call of a plain service.

    Parameters
    ----------
    at_s : float
    id, service, method, path, organisation : str
    key : str
        Idempotency key; the id if empty.
    repeats : int
        How often the caller asks again with the same key when it got no answer.
    again : bool
        Whether it asks once more, at another router, after a good answer.
    outcome : str
        ``ran``, ``not_run``, ``unknown``, or ``any``.
    """

    at_s: Seconds
    id: str
    service: str
    path: str
    method: str = "POST"
    organisation: str = "clerks"
    key: str = ""
    repeats: int = 3
    again: bool = False
    outcome: Literal["ran", "not_run", "unknown", "any"] = "ran"


class TraceMove(_Record, tag="move"):
    """An operator moves a service to another version.

    Parameters
    ----------
    at_s : float
    service, old_version, new_version : str
    deadline_in_s : float
    outcome : str
        ``finished``, ``taken_back`` or ``any``.
    """

    at_s: Seconds
    service: str
    old_version: str
    new_version: str
    deadline_in_s: Annotated[float, msgspec.Meta(gt=0)]
    outcome: Literal["finished", "taken_back", "any"] = "any"


class TraceFault(_Record, tag="fault"):
    """Something fails, or an operator or the platform acts.

    Parameters
    ----------
    at_s : float
    what : str
        ``kill`` (connections are reset), ``vanish`` (no sign), ``pause``,
        ``return``, ``cut`` and ``heal`` (between `target` and `other`), ``slow``
        (pace times `amount`), ``refuse``, ``leave`` (the endpoint refuses new
        work, the list follows), ``stop`` (SIGTERM), ``start`` (a new router
        process of that name), ``outage``, ``outage-end``, ``lose-answers``
        (`amount` answers of the store or a service), ``publish`` (the next
        revision), ``stale`` (the router reads revision `amount` again).
    target, other : str
        Names; ``store`` for the platform's store.
    amount : float
    """

    at_s: Seconds
    what: Literal[
        "kill",
        "vanish",
        "pause",
        "return",
        "cut",
        "heal",
        "slow",
        "refuse",
        "leave",
        "stop",
        "start",
        "outage",
        "outage-end",
        "lose-answers",
        "publish",
        "stale",
    ]
    target: str = "store"
    other: str = ""
    amount: float = 1


class Trace(msgspec.Struct, frozen=True):
    """A whole trace, its events in the order of their times."""

    header: Header
    events: list[Generate | CallArrival | TraceMove | TraceFault]


_Event = Generate | CallArrival | TraceMove | TraceFault


def load_trace(path):
    """Read a trace, one JSON object a line.

    Parameters
    ----------
    path : str or pathlib.Path

    Returns
    -------
    result.Result[Trace, str]
        The error names the line and the reason.
    """
    try:
        with open(path, "rb") as file:
            lines = [(n, line) for n, line in enumerate(file, 1) if line.strip()]
    except OSError as error:
        return Err(f"{path}: {error.strerror}")
    records = []
    for number, line in lines:
        kind = _Event if records else Header
        try:
            records.append(msgspec.json.decode(line, type=kind))
        except msgspec.DecodeError as error:
            return Err(f"{path}: line {number}: {error}")
    if not records:
        return Err(f"{path}: line 1: no header")
    header, *events = records
    fault = _check_names(header, zip((n for n, _ in lines[1:]), events, strict=True))
    if fault:
        return Err(f"{path}: {fault}")
    return Ok(Trace(header, sorted(events, key=lambda event: event.at_s)))


def _check_names(header, numbered_events):
    services = {service.service for service in header.services}
    for endpoint in header.endpoints:
        if endpoint.service not in services:
            return f"line 1: endpoint {endpoint.name}: no service {endpoint.service}"
    names = {part.name for part in [*header.routers, *header.endpoints]} | {"store"}
    models = {getattr(service, "model", None) for service in header.services}
    ids = set()
    for number, event in numbered_events:
        if isinstance(event, TraceFault):
            unknown = {event.target, event.other or "store"} - names
            if unknown:
                return f"line {number}: no router or endpoint {min(unknown)}"
            continue
        if isinstance(event, TraceMove):
            if event.service not in services:
                return f"line {number}: no service {event.service}"
            continue
        if event.id in ids:
            return f"line {number}: id {event.id} stands twice"
        ids.add(event.id)
        if isinstance(event, Generate) and event.model not in models:
            return f"line {number}: no model {event.model}"
        if isinstance(event, CallArrival) and event.service not in services:
            return f"line {number}: no service {event.service}"
    return None
