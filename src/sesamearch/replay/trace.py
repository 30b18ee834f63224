"""Recorded traces: requests and faults with their times, and expected outcomes."""

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
    """Base of the lines of a trace; unknown keys are errors.

    ``at_s`` is the time of an event in seconds since the start of the trace.
    """


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
        Time between the tokens of an engine, and time to its first token.
    work_s : float
        Time that a plain service takes for a call.
    error_ratio : float
        Ratio of attempts or calls that fail. If it is above zero, the version counts
        as bad.
    bad_from_s : float
        Time since the start of the trace from which they fail.
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
    """First line of a trace.

    Parameters
    ----------
    format_version : int
    name : str
    services : list of EngineService or PlainService
        Services as in the operators' configuration files.
    routers : list of TraceRouter
    endpoints : list of TraceEndpoint
    list_lag_s : float
        Delay until the platform's list shows that an endpoint is leaving.
    link_latency_s, store_latency_s : float
        One-way latency of a link, and round-trip time of a store call.
    duration_s : float
        Time since the start of the trace at which the replay ends.
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
    """A caller requests a generation.

    Parameters
    ----------
    at_s : float
    id, organisation, model : str
    tokens : int
        Number of tokens in the answer.
    stream : bool
    outcome : str
        Expected outcome: ``whole``, ``failed`` or ``any``.
    """

    at_s: Seconds
    id: str
    model: str
    tokens: Count
    organisation: str = "clerks"
    stream: bool = True
    outcome: Literal["whole", "failed", "any"] = "whole"


class CallArrival(_Record, tag="call"):
    """A caller calls a plain service.

    Parameters
    ----------
    at_s : float
    id, service, method, path, organisation : str
    key : str
        Idempotency key; if empty, the id is the key.
    repeats : int
        Number of retries with the same key while no answer arrives.
    again : bool
        Whether the caller repeats the call at another router after a successful
        response.
    outcome : str
        Expected outcome: ``ran``, ``not_run``, ``unknown`` or ``any``.
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
    """An operator starts to move a service to another version.

    Parameters
    ----------
    at_s : float
    service, old_version, new_version : str
    deadline_in_s : float
        Time from the start of the move to its deadline.
    outcome : str
        Expected end of the move: ``finished``, ``taken_back`` or ``any``.
    """

    at_s: Seconds
    service: str
    old_version: str
    new_version: str
    deadline_in_s: Annotated[float, msgspec.Meta(gt=0)]
    outcome: Literal["finished", "taken_back", "any"] = "any"


class TraceFault(_Record, tag="fault"):
    """A fault, or an action of an operator or of the platform.

    Parameters
    ----------
    at_s : float
    what : str
        ``kill`` (end the process and reset its connections), ``vanish`` (end it
        without a reset), ``pause`` and ``return`` (pause and resume the process),
        ``cut`` and ``heal`` (the link between `target` and `other`), ``slow``
        (multiply the times that the endpoint takes by `amount`), ``refuse`` (refuse
        new work),
        ``leave`` (the platform's list shows after ``list_lag_s`` that the endpoint
        is leaving), ``stop`` (SIGTERM), ``start`` (a new router process of that
        name), ``outage`` and ``outage-end`` (of the store), ``lose-answers`` (lose
        the next `amount` answers of the store or of a service), ``publish`` (the
        next configuration revision), ``stale`` (the router reads revision `amount`
        again).
    target, other : str
        Names of routers or endpoints; ``store`` is the platform's store.
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
    """A trace, with its events ordered by time."""

    header: Header
    events: list[Generate | CallArrival | TraceMove | TraceFault]


_Event = Generate | CallArrival | TraceMove | TraceFault


def load_trace(path):
    """Read a trace, a file with one JSON object per line.

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
            return f"line {number}: id {event.id} is not unique"
        ids.add(event.id)
        if isinstance(event, Generate) and event.model not in models:
            return f"line {number}: no model {event.model}"
        if isinstance(event, CallArrival) and event.service not in services:
            return f"line {number}: no service {event.service}"
    return None
