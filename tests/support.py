"""Shared fixtures: a small deployment, and traces built in memory."""

from sesamearch.configuration.configuration import (
    Call,
    EngineService,
    PlainService,
    VersionShare,
)
from sesamearch.replay.trace import (
    CallArrival,
    Generate,
    Header,
    Trace,
    TraceEndpoint,
    TraceRouter,
)

V1 = VersionShare("v1", 1.0)
DRAFTING = EngineService("drafting", "draft", [V1])
TICKETING = PlainService(
    "ticketing",
    [V1],
    [Call("POST", "/receipts", "at_most_once"), Call("GET", "/*", "idempotent")],
    key_format="any",
)
ROUTERS = [TraceRouter("r1", "a"), TraceRouter("r2", "a"), TraceRouter("r3", "b")]
ENGINES = [
    TraceEndpoint("e1", "a", "drafting"),
    TraceEndpoint("e2", "a", "drafting"),
    TraceEndpoint("e3", "b", "drafting"),
]
SERVICES = [
    TraceEndpoint("s1", "a", "ticketing"),
    TraceEndpoint("s2", "b", "ticketing"),
]


def make_trace(events, duration_s=60, list_lag_s=2.0, endpoints=None):
    """Return a trace of events in the small deployment, sorted by time."""
    header = Header(
        1,
        "test",
        [DRAFTING, TICKETING],
        ROUTERS,
        ENGINES + SERVICES if endpoints is None else endpoints,
        duration_s,
        list_lag_s,
    )
    return Trace(header, sorted(events, key=lambda event: event.at_s))


def generation_arrivals(count, tokens=100, spacing_s=0.3, outcome="any"):
    """Return arrivals of generation requests, every third of them not streamed."""
    return [
        Generate(
            2 + number * spacing_s,
            f"g{number}",
            "draft",
            tokens,
            stream=number % 3 != 2,
            outcome=outcome,
        )
        for number in range(count)
    ]


def call_arrivals(count, spacing_s=0.3, outcome="any", **fields):
    """Return arrivals of calls to the plain service."""
    return [
        CallArrival(
            2 + number * spacing_s,
            f"c{number}",
            "ticketing",
            "/receipts",
            outcome=outcome,
            **fields,
        )
        for number in range(count)
    ]
