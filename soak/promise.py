"""Promises: invariants checked against what callers and endpoints observed."""

from collections import Counter

import msgspec

from soak.caller import RequestKind

__all__ = [
    "TIMED_PROMISES",
    "Bounds",
    "History",
    "ObservedRun",
    "Violation",
    "find_violations",
]

# Promises with a time bound, which can break on a machine short of processors.
TIMED_PROMISES = (
    "drained",
    "few ends",
    "final answer",
    "in force",
    "limit",
    "revoked",
    "stopped",
)

# Statuses with which a router states that it did not run the request.
NOT_RUN_STATUSES = (408, 421, 429, 503)
# Statuses with which a router denies a request because of its API key or route.
DENIAL_STATUSES = (401, 403, 404)
ORGANISATION = "bench"
SERVICE_BY_KIND = {
    RequestKind.POST: "desk",
    RequestKind.LOOK: "desk",
    RequestKind.DRAFT: "models",
}


class Bounds(msgspec.Struct, frozen=True):
    """Documented time bounds.

    Parameters
    ----------
    apply_s : float
        From a configuration's acknowledgement until all routers apply it.
    drain_s : float
        From the acknowledgement of an endpoint's draining until it receives no
        more requests.
    settle_s : float
        Time without disturbances before time bounds apply.
    late_s : float
        Allowed delay of the final response beyond a route's timeout.
    stop_s : float
        From a caller's disconnect until no endpoint works on its request.
    counted_ends : dict from RequestKind to int
        Ends of endpoints under fatal requests of a kind after which few may follow.
    contact_s, late_arrivals : float, int
        How many of these requests may reach endpoints later than `contact_s` after
        that end.
    limit_window_s, limit_ratio, limit_slack : float, float, int
        From `contact_s` after an endpoint named its limit, a window holds no more than
        `limit_ratio` times what the limit allows, and `limit_slack`.
    """

    apply_s: float = 2.0
    drain_s: float = 2.0
    settle_s: float = 3.0
    late_s: float = 0.5
    stop_s: float = 0.5
    counted_ends: dict = msgspec.field(
        default_factory=lambda: {RequestKind.DRAFT: 5, RequestKind.LOOK: 3}
    )
    contact_s: float = 3.0
    late_arrivals: int = 3
    limit_window_s: float = 4.0
    limit_ratio: float = 1.5
    limit_slack: int = 5


class ObservedRun:
    """One observed run of a request at an endpoint.

    Parameters
    ----------
    began : soak.note.RunBegan

    Attributes
    ----------
    ended : soak.note.RunEnded or None
    """

    __slots__ = ("began", "ended")

    def __init__(self, began):
        self.began = began
        self.ended = None


class KeyValidity(msgspec.Struct):
    """The period in which an API key was valid.

    Parameters
    ----------
    sent_s, acknowledged_s : float
        When the configuration that added the key was sent and acknowledged; `sent_s`
        is negative for the key that all configurations contain.
    removal_sent_s, removed_s : float or None
        When the configuration that dropped the key was sent and acknowledged.
    """

    sent_s: float
    acknowledged_s: float
    removal_sent_s: float | None = None
    removed_s: float | None = None


class Disturbance(msgspec.Struct):
    """A period in which time bounds do not apply to a router or endpoint.

    Parameters
    ----------
    from_s, until_s : float
    router : int or None
        Affected router; None for all routers, unless `endpoint` is set.
    endpoint : str or None
        Instance id of the affected endpoint.
    is_planned_work : bool
        Whether only planned work caused it, during which no request may be cut.
    """

    from_s: float
    until_s: float = float("inf")
    router: int | None = None
    endpoint: str | None = None
    is_planned_work: bool = False

    def overlaps(self, from_s, until_s):
        """Return whether the disturbance overlaps a period."""
        return self.from_s <= until_s and self.until_s >= from_s


class Violation(msgspec.Struct, frozen=True):
    """A broken promise.

    Parameters
    ----------
    promise, request_id, detail : str
    """

    promise: str
    request_id: str
    detail: str


class History:
    """Everything observed in a run.

    Parameters
    ----------
    events : int
        Number of events in a complete generation.

    Attributes
    ----------
    attempts : dict from str to soak.caller.Attempt
    runs : dict from str to list of ObservedRun
        Observed runs by request id.
    keys : dict from str to KeyValidity
    drain_acknowledged_s : dict from str to float
        When the store acknowledged an endpoint's draining, by instance id.
    limits : list of soak.note.LimitNamed
    limited_arrivals : dict from str to list of soak.note.LimitedArrival
        What reached endpoints that name a limit, by instance id.
    disturbances : list of Disturbance
    checks : collections.Counter
        Number of checks by promise.
    """

    def __init__(self, events):
        self.events = events
        self.attempts = {}
        self.runs = {}
        self.keys = {}
        self.drain_acknowledged_s = {}
        self.limits = []
        self.limited_arrivals = {}
        self.disturbances = []
        self.checks = Counter()

    def is_undisturbed(self, router, from_s, until_s, bounds):
        """Return whether time bounds apply to a router."""
        since_s = from_s - bounds.settle_s
        return not any(
            each.endpoint is None
            and each.router in (None, router)
            and each.overlaps(since_s, until_s)
            for each in self.disturbances
        )

    def is_endpoint_undisturbed(self, endpoint, from_s, until_s, bounds):
        """Return whether time bounds apply to an endpoint."""
        since_s = from_s - bounds.settle_s
        return not any(
            each.endpoint == endpoint and each.overlaps(since_s, until_s)
            for each in self.disturbances
        )

    def is_planned_work(self, from_s, until_s, bounds):
        """Return whether only planned work disturbed a period.

        The period begins ``bounds.settle_s`` before `from_s`.
        """
        since_s = from_s - bounds.settle_s
        return all(
            each.is_planned_work or not each.overlaps(since_s, until_s)
            for each in self.disturbances
        )


class _HistoryChecker:
    def __init__(self, history, bounds):
        self._history = history
        self._bounds = bounds
        self.violations = []

    def _check(self, promise, holds, request_id, detail):
        self._history.checks[promise] += 1
        if not holds:
            self.violations.append(Violation(promise, request_id, detail))

    def check_all(self):
        for attempt in self._history.attempts.values():
            runs = self._history.runs.get(attempt.request_id, [])
            self._check_response(attempt, runs)
            self._check_runs(attempt, runs)
            self._check_key(attempt, runs)
            self._check_time(attempt, runs)
        for kind, counted_ends in self._bounds.counted_ends.items():
            self._check_few_ends(kind, counted_ends)
        for named in self._history.limits:
            self._check_limit(named)
        for request_id in self._history.runs:
            known = request_id in self._history.attempts
            self._check("asked", known, request_id, "no caller sent this request")

    def _check_few_ends(self, kind, counted_ends):
        """Check that requests of a kind under which endpoints end reach few of them."""
        bounds = self._bounds
        runs = [
            (attempt, run)
            for attempt in self._history.attempts.values()
            if attempt.is_fatal and attempt.kind is kind
            for run in self._history.runs.get(attempt.request_id, [])
        ]
        ends_s = {}
        for _, run in runs:
            if run.ended is not None and run.ended.how == "crashed":
                ends_s.setdefault(run.began.endpoint, run.ended.at_s)
        if len(ends_s) < counted_ends:
            return
        since_s = sorted(ends_s.values())[counted_ends - 1] + bounds.contact_s
        late = [
            run.began.endpoint
            for attempt, run in runs
            if run.began.at_s > since_s
            and self._is_undisturbed(attempt, run.began.at_s)
        ]
        detail = (
            f"{kind.value}: {len(ends_s)} endpoints ended, later arrivals at {late}"
        )
        self._check("few ends", len(late) <= bounds.late_arrivals, "", detail)

    def _check_limit(self, named):
        """Check that an endpoint got no more than it named, from sound routers."""
        bounds, history = self._bounds, self._history
        allowed = bounds.limit_window_s * named.limit_per_s * bounds.limit_ratio
        allowed += bounds.limit_slack
        times = [
            each.at_s
            for each in history.limited_arrivals.get(named.endpoint, [])
            if each.at_s >= named.at_s + bounds.contact_s and self._counts(each)
        ]
        for index, begin_s in enumerate(times):
            until_s = begin_s + bounds.limit_window_s
            if not history.is_endpoint_undisturbed(
                named.endpoint, begin_s, until_s, bounds
            ):
                continue
            arrived = sum(at_s <= until_s for at_s in times[index:])
            detail = (
                f"{named.endpoint}: {arrived} in {bounds.limit_window_s} s, "
                f"limit {named.limit_per_s} a second"
            )
            self._check("limit", arrived <= allowed, "", detail)

    def _counts(self, arrival):
        """Return whether an arrival came from a router that nothing disturbed itself.

        Disturbances of the store and of other routers excuse nothing.
        """
        attempt = self._history.attempts.get(arrival.request_id)
        if attempt is None:
            return True
        since_s = arrival.at_s - self._bounds.settle_s
        return not any(
            each.router == attempt.router and each.overlaps(since_s, arrival.at_s)
            for each in self._history.disturbances
        )

    def _check_response(self, attempt, runs):
        name = attempt.request_id
        if attempt.status == 200 and attempt.kind is RequestKind.DRAFT:
            self._check_events(attempt, runs)
        elif attempt.status == 200 and attempt.is_whole:
            # A stand-in signs a response as ``sig.ENDPOINT.REQUEST``.
            _, endpoint, echoed = attempt.signature.split(".", 2)
            expected = f"answer of {endpoint} to {name}".encode()
            is_own = echoed == name and attempt.body == expected
            self._check("own answer", is_own, name, attempt.body.decode())
        elif attempt.signature and attempt.is_whole:
            # The only status other than 200 that a stand-in sends with a signature.
            is_endpoint_status = attempt.status == 500
            self._check("same status", is_endpoint_status, name, str(attempt.status))
        if attempt.key in self._history.keys and attempt.status in DENIAL_STATUSES:
            validity = self._history.keys[attempt.key]
            is_stable = validity.sent_s < 0 and validity.removal_sent_s is None
            detail = f"{attempt.status} from router {attempt.router}"
            self._check("not denied", not is_stable, name, detail)

    def _check_events(self, attempt, runs):
        name = attempt.request_id
        event_ids = attempt.event_ids
        in_order = event_ids == list(range(len(event_ids)))
        self._check("order", in_order, name, str(event_ids))
        if attempt.is_whole:
            is_complete = len(event_ids) == self._history.events
            self._check("complete", is_complete, name, str(event_ids))

    def _check_runs(self, attempt, runs):
        name = attempt.request_id
        if attempt.kind is RequestKind.POST:
            endpoints = [run.began.endpoint for run in runs]
            self._check("at most once", len(runs) <= 1, name, str(endpoints))
            if attempt.status in NOT_RUN_STATUSES and not attempt.signature:
                detail = f"status {attempt.status}, but ran at {endpoints}"
                self._check("refused is not run", not runs, name, detail)
        for run in runs:
            began = run.began
            as_sent = began.path == attempt.kind.path
            as_sent = as_sent and began.organisation == ORGANISATION
            self._check("as sent", as_sent, name, f"{began.path} {began.organisation}")
            is_routed = began.service == SERVICE_BY_KIND[attempt.kind]
            self._check("route", is_routed, name, began.service)
            known_key = attempt.key in self._history.keys
            self._check("known key", known_key, name, attempt.key)

    def _check_key(self, attempt, runs):
        validity = self._history.keys.get(attempt.key)
        if validity is None:
            return
        name, apply_s = attempt.request_id, self._bounds.apply_s
        ended_s = attempt.ended_s or attempt.sent_s
        if not self._is_undisturbed(attempt, ended_s):
            return
        removed_s = validity.removed_s
        if removed_s is not None and attempt.sent_s > removed_s + apply_s:
            detail = f"sent {attempt.sent_s - removed_s:.2f} s after the removal"
            self._check("revoked", not runs, name, detail)
        is_still_valid = (
            validity.removal_sent_s is None or ended_s < validity.removal_sent_s
        )
        if attempt.sent_s > validity.acknowledged_s + apply_s and is_still_valid:
            is_allowed = attempt.status not in DENIAL_STATUSES
            self._check("in force", is_allowed, name, str(attempt.status))

    def _is_undisturbed(self, attempt, until_s):
        return self._history.is_undisturbed(
            attempt.router, attempt.sent_s, until_s, self._bounds
        )

    def _check_time(self, attempt, runs):
        for run in runs:
            self._check_drained(attempt, run)
        if attempt.left_s is None:
            self._check_not_cut(attempt, runs)
            self._check_final(attempt, attempt.ended_s)
            return
        self._check_final(attempt, attempt.left_s)
        for run in runs:
            self._check_stopped(attempt, run)

    def _check_drained(self, attempt, run):
        endpoint, at_s = run.began.endpoint, run.began.at_s
        acknowledged_s = self._history.drain_acknowledged_s.get(endpoint)
        if acknowledged_s is None or not self._is_undisturbed(attempt, at_s):
            return
        if not self._is_endpoint_undisturbed(run, attempt.sent_s, at_s):
            return
        late_s = at_s - acknowledged_s
        detail = f"run began {late_s:.2f} s after draining was acknowledged"
        is_in_time = late_s <= self._bounds.drain_s
        self._check("drained", is_in_time, attempt.request_id, detail)

    def _is_endpoint_undisturbed(self, run, from_s, until_s):
        return self._history.is_endpoint_undisturbed(
            run.began.endpoint, from_s, until_s, self._bounds
        )

    def _check_final(self, attempt, until_s):
        """Check that no caller waits beyond the route's timeout plus `late_s`."""
        if not self._is_undisturbed(attempt, until_s):
            return
        waited_s = until_s - attempt.sent_s
        is_answered = waited_s < attempt.kind.timeout_s + self._bounds.late_s
        detail = f"status {attempt.status} at router {attempt.router}"
        self._check("final answer", is_answered, attempt.request_id, detail)

    def _check_stopped(self, attempt, run):
        over_s = attempt.left_s + self._bounds.stop_s
        if not self._is_undisturbed(attempt, over_s):
            return
        if not self._is_endpoint_undisturbed(run, attempt.sent_s, over_s):
            return
        ended_s = run.ended.at_s if run.ended else float("inf")
        is_stopped = ended_s <= over_s and run.began.at_s <= over_s
        detail = (
            f"{run.began.endpoint}: {ended_s - attempt.left_s:.2f} s after disconnect"
        )
        self._check("stopped", is_stopped, attempt.request_id, detail)

    def _check_not_cut(self, attempt, runs):
        """Check that planned work cuts no request that reached an endpoint."""
        ended_s = attempt.ended_s
        if runs and self._history.is_planned_work(
            attempt.sent_s, ended_s, self._bounds
        ):
            detail = f"at router {attempt.router}, {len(runs)} runs"
            self._check("not cut", attempt.is_whole, attempt.request_id, detail)


def find_violations(history, bounds):
    """Check all promises against a run's history.

    Parameters
    ----------
    history : History
    bounds : Bounds

    Returns
    -------
    list of Violation
    """
    checker = _HistoryChecker(history, bounds)
    checker.check_all()
    return checker.violations
