"""Fault plans, generated from a seed."""

import json
import random
from enum import StrEnum

import msgspec

__all__ = [
    "EVENTS_PER_GENERATION",
    "FATAL_PART",
    "ODD_ENTRIES",
    "DeploymentSize",
    "FaultKind",
    "FaultPlan",
    "PlannedLimits",
    "ScheduledFault",
    "generate_plan",
]

# Shorter than most faults last, so that faults overlap.
MEAN_FAULT_INTERVAL_S = 0.45
FIRST_FAULT_S = 0.5
PLANNED_WORK_EVERY = 3
EVENTS_PER_GENERATION = 30
# Seeds that also have prompts under which engines end: some of those with faults and of
# those with planned work. This is not drawn, so that it changes no plan.
FATAL_PROMPTS_EVERY = 4
FATAL_PROMPTS_BESIDE_WORK_EVERY = 24
FATAL_PROMPTS_FROM_S = 1.0
FATAL_PART = "dead"
# Seeds in which one request comes again and again that ends each service process that
# runs it, chosen in the same way.
FATAL_REQUESTS_EVERY = 4
FATAL_REQUESTS_BESIDE_WORK_EVERY = 24
FATAL_REQUESTS_FROM_S = 1.5
FATAL_BODY = b"fatal"
# Seeds whose endpoints name limits, chosen in the same way. Together they take less
# than callers ask for.
LIMITS_EVERY = 4
LIMITS_BESIDE_WORK_EVERY = 24
LIMITS_FROM_S = 1.0
SERVICE_LIMIT_PER_S = 5.0
ENGINE_LIMIT_PER_S = 0.6
# Seeds in which the first endpoint's failures have no end, in pieces of a byte. It is a
# plain service.
ENDLESS_EVERY = 5
ENDLESS_FROM_S = 1.0
# Seeds in which callers take memory at all routers and never end their requests.
CROWD_EVERY = 5
CROWD_FROM_S = 1.0
# Seeds in which another writer leaves odd entries among those of the endpoints.
ODD_ENTRIES_EVERY = 4
ODD_ENTRIES_FROM_S = 1.0
ODD_ENTRY = {
    "service": "desk",
    "address": "127.0.0.1:9",
    "zone": "east",
    "version": "v1",
    "slots": 6,
    "state": "ready",
    "cold-left-ms": 0,
    "sequence": 1,
}
ODD_ENTRIES = (
    b'{"extra": %s%s}' % (b"[" * 100_000, b"]" * 100_000),
    msgspec.json.encode({**ODD_ENTRY, "address": "127.0.0.1:83430"}),
    json.dumps({**ODD_ENTRY, "born": 10**40}).encode(),
    b"\xff\xfe",
)


class FaultKind(StrEnum):
    """Kind of a fault, or of planned work, which the soak injects like one."""

    ROUTER_KILL = "router_kill"
    ROUTER_TERM = "router_term"
    ROUTER_PAUSE = "router_pause"
    ROUTER_HUP = "router_hup"
    ENDPOINT_CRASH = "endpoint_crash"
    ENDPOINT_PAUSE = "endpoint_pause"
    ENDPOINT_LEAVE = "endpoint_leave"
    ENDPOINT_FAILING = "endpoint_failing"
    ENDPOINT_MUTE = "endpoint_mute"
    ENDPOINT_RESET = "endpoint_reset"
    ENDPOINT_TRUNCATE = "endpoint_truncate"
    STORE_PAUSE = "store_pause"
    STORE_REFUSE = "store_refuse"
    STORE_SILENT = "store_silent"
    STORE_LOST_ANSWERS = "store_lost_answers"
    STORE_FORGET = "store_forget"
    STORE_LINK_DELAY = "store_link_delay"
    STORE_LINK_CUT = "store_link_cut"
    STORE_LINK_RESET = "store_link_reset"
    ENDPOINT_LINK_DELAY = "endpoint_link_delay"
    ENDPOINT_LINK_CUT = "endpoint_link_cut"
    ENDPOINT_LINK_CUT_BACK = "endpoint_link_cut_back"
    ENDPOINT_LINK_RESET = "endpoint_link_reset"
    ENDPOINT_LINK_DEAD = "endpoint_link_dead"
    CALLER_LINK_DELAY = "caller_link_delay"
    CALLER_LINK_RESET = "caller_link_reset"
    CALLER_LINK_DEAD = "caller_link_dead"
    CONFIGURATION = "configuration"

    @property
    def target(self):
        """Str : affected party, ``router``, ``endpoint``, ``store`` or ``operator``."""
        if self is FaultKind.CONFIGURATION:
            return "operator"
        first = self.value.partition("_")[0]
        if self.value.startswith(("store_link", "caller_link")):
            return "router"
        return first

    @property
    def is_planned_work(self):
        """Bool : whether this is planned work, which no caller may notice."""
        return self in PLANNED_WORK


PLANNED_WORK = (
    FaultKind.ROUTER_TERM,
    FaultKind.ROUTER_HUP,
    FaultKind.ENDPOINT_LEAVE,
    FaultKind.CONFIGURATION,
)
# Minimum and maximum duration; faults that are not listed have none.
DURATION_RANGES_S = {
    FaultKind.ROUTER_PAUSE: (0.2, 4.0),
    FaultKind.ENDPOINT_PAUSE: (0.2, 3.0),
    FaultKind.STORE_PAUSE: (0.2, 4.0),
    FaultKind.STORE_REFUSE: (0.5, 4.0),
    FaultKind.STORE_SILENT: (0.5, 4.0),
    FaultKind.ENDPOINT_FAILING: (0.5, 4.0),
    FaultKind.ENDPOINT_MUTE: (0.5, 3.0),
    FaultKind.ENDPOINT_RESET: (0.5, 3.0),
    FaultKind.ENDPOINT_TRUNCATE: (0.5, 3.0),
    FaultKind.STORE_LINK_DELAY: (0.5, 4.0),
    FaultKind.STORE_LINK_CUT: (0.5, 4.0),
    FaultKind.ENDPOINT_LINK_DELAY: (0.5, 3.0),
    FaultKind.ENDPOINT_LINK_CUT: (0.3, 3.0),
    FaultKind.ENDPOINT_LINK_CUT_BACK: (0.3, 3.0),
    FaultKind.CALLER_LINK_DELAY: (0.5, 3.0),
}


class DeploymentSize(msgspec.Struct, frozen=True):
    """Number of processes of a run, by kind.

    Parameters
    ----------
    routers, services, engines : int
    """

    routers: int = 4
    services: int = 3
    engines: int = 4

    @property
    def endpoints(self):
        """Int : number of services and engines together."""
        return self.services + self.engines


class ScheduledFault(msgspec.Struct, frozen=True):
    """One fault of a run, with its time.

    Parameters
    ----------
    kind : FaultKind
    number : int
        Number of the affected router or endpoint, from zero.
    at_s : float
        Start, counted from the start of the traffic.
    for_s : float
        Duration; zero for faults without one.
    """

    kind: FaultKind
    number: int
    at_s: float
    for_s: float


class PlannedLimits(msgspec.Struct, frozen=True):
    """Limits that the endpoints name until the end of the faults.

    Parameters
    ----------
    from_s : float
        Start, counted from the start of the traffic.
    service_per_s, engine_per_s : float
        Requests a second that each service and each engine takes from all routers.
    """

    from_s: float
    service_per_s: float
    engine_per_s: float


class FaultPlan(msgspec.Struct, frozen=True):
    """All faults of a run, ordered by start time.

    Parameters
    ----------
    seed : int
    size : DeploymentSize
    faults_s : float
        Time after which no more faults start.
    faults : list of ScheduledFault
    fatal_from_s : float or None
        Time from which some prompts end each engine that begins to write on them; None
        for never.
    limits : PlannedLimits or None
    fatal_requests_from_s : float or None
        Time from which one request ends each service process that runs it; None for
        never.
    odd_entries_from_s : float or None
        Time at which ``ODD_ENTRIES`` are written among the entries of endpoints; None
        for never.
    endless_from_s : float or None
        Time from which the first endpoint answers without end; None for never.
    crowd_from_s : float or None
        Time from which a crowd of callers takes memory at all routers; None for never.
    """

    seed: int
    size: DeploymentSize
    faults_s: float
    faults: list[ScheduledFault]
    fatal_from_s: float | None = None
    limits: PlannedLimits | None = None
    fatal_requests_from_s: float | None = None
    odd_entries_from_s: float | None = None
    endless_from_s: float | None = None
    crowd_from_s: float | None = None

    @property
    def is_planned_work(self):
        """Bool : whether the plan contains only planned work."""
        return all(fault.kind.is_planned_work for fault in self.faults)


def generate_plan(seed, size, faults_s):
    """Generate the fault plan of a run.

    Every third seed yields only planned work, which no caller may notice.

    Parameters
    ----------
    seed : int
    size : DeploymentSize
    faults_s : float
        Time after which no more faults start.

    Returns
    -------
    FaultPlan
    """
    rng = random.Random(seed)
    is_planned_work_only = seed % PLANNED_WORK_EVERY == 0
    kinds = list(PLANNED_WORK if is_planned_work_only else FaultKind)
    counts = {
        "router": size.routers,
        "endpoint": size.endpoints,
        "store": 1,
        "operator": 1,
    }
    faults = []
    at_s = FIRST_FAULT_S
    while at_s < faults_s:
        kind = rng.choice(kinds)
        number = rng.randrange(counts[kind.target])
        min_s, max_s = DURATION_RANGES_S.get(kind, (0.0, 0.0))
        for_s = rng.uniform(min_s, max_s)
        faults.append(ScheduledFault(kind, number, round(at_s, 3), round(for_s, 3)))
        at_s += rng.expovariate(1 / MEAN_FAULT_INTERVAL_S)
    fatal_from_s = FATAL_PROMPTS_FROM_S if _has_fatal_prompts(seed) else None
    limits = None
    if _has_limits(seed):
        limits = PlannedLimits(LIMITS_FROM_S, SERVICE_LIMIT_PER_S, ENGINE_LIMIT_PER_S)
    requests_from_s = FATAL_REQUESTS_FROM_S if _has_fatal_requests(seed) else None
    odd_entries_from_s = ODD_ENTRIES_FROM_S if _has_odd_entries(seed) else None
    return FaultPlan(
        seed,
        size,
        faults_s,
        faults,
        fatal_from_s,
        limits,
        requests_from_s,
        odd_entries_from_s,
        ENDLESS_FROM_S if _has_endless_answers(seed) else None,
        CROWD_FROM_S if _has_crowd(seed) else None,
    )


def _has_crowd(seed):
    return seed % PLANNED_WORK_EVERY != 0 and seed % CROWD_EVERY == 2


def _has_endless_answers(seed):
    return seed % PLANNED_WORK_EVERY != 0 and seed % ENDLESS_EVERY == 1


def _has_odd_entries(seed):
    return seed % ODD_ENTRIES_EVERY == 0


def _has_limits(seed):
    if seed % PLANNED_WORK_EVERY:
        return seed % LIMITS_EVERY == 2
    return seed % LIMITS_BESIDE_WORK_EVERY == 18


def _has_fatal_requests(seed):
    if seed % PLANNED_WORK_EVERY:
        return seed % FATAL_REQUESTS_EVERY == 3
    return seed % FATAL_REQUESTS_BESIDE_WORK_EVERY == 6


def _has_fatal_prompts(seed):
    if seed % PLANNED_WORK_EVERY:
        return seed % FATAL_PROMPTS_EVERY == 1
    return seed % FATAL_PROMPTS_BESIDE_WORK_EVERY == 12
