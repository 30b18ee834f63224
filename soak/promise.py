"""What must hold in every run, judged from what callers and endpoints saw."""

from collections import Counter

import msgspec

from soak.caller import RequestKind

__all__ = ["TIMED", "Bounds", "History", "RunSeen", "Violation", "judge"]

# Promises with a bound of time, which a machine that is short of processors breaks.
TIMED = ("drained", "final answer", "in force", "revoked", "stopped")

NOT_RUN_STATUSES = (408, 421, 429, 503)
DENIALS = (401, 403, 404)
ORGANISATION = "bench"
SERVICES = {
    RequestKind.POST: "desk",
    RequestKind.LOOK: "desk",
    RequestKind.DRAFT: "models",
}


class Bounds(msgspec.Struct, frozen=True):
    """The pages' bounds.

    Parameters
    ----------
    apply_s : float
        From a configuration's acknowledgement until it holds everywhere.
    drain_s : float
        From the acknowledgement of an endpoint's leaving until it gets nothing.
    contact_s : float
        Without faults, until a router is judged by bounds of time.
    late_s : float
        Beyond a route's timeout, for the final answer.
    stop_s : float
        From the caller's leaving until no endpoint works for it.
    """

    apply_s: float = 2.0
    drain_s: float = 2.0
    contact_s: float = 3.0
    late_s: float = 0.5
    stop_s: float = 0.5


class RunSeen:
    """One run of a request at an endpoint.

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


class KeyLife(msgspec.Struct):
    """When a key was allowed.

    Parameters
    ----------
    sent_s, acknowledged_s : float
        Of the configuration that added it.
    removal_sent_s, removed_s : float or None
        Of the one that dropped it, sent and acknowledged.
    """

    sent_s: float
    acknowledged_s: float
    removal_sent_s: float | None = None
    removed_s: float | None = None


class Disturbance(msgspec.Struct):
    """A span in which something cannot be held to bounds of time.

    Parameters
    ----------
    from_s, until_s : float
    router : int or None
        None for all of them, unless an endpoint is named.
    endpoint : str or None
        Instance id of the one that is disturbed.
    is_planned_work : bool
    """

    from_s: float
    until_s: float = float("inf")
    router: int | None = None
    endpoint: str | None = None
    is_planned_work: bool = False

    def touches(self, from_s, until_s):
        """Return whether it overlaps a span."""
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
    """All that was seen in a run.

    Attributes
    ----------
    attempts : dict from str to soak.caller.Attempt
    runs : dict from str to list of RunSeen
        By request id.
    keys : dict from str to KeyLife
    leavings : dict from str to float
        When the store acknowledged an endpoint's leaving.
    disturbances : list of Disturbance
    checks : collections.Counter
        Checks made, by promise.
    """

    def __init__(self, events):
        self.events = events
        self.attempts = {}
        self.runs = {}
        self.keys = {}
        self.leavings = {}
        self.disturbances = []
        self.checks = Counter()

    def is_calm(self, router, from_s, until_s, bounds):
        """Return whether a router may be held to bounds of time."""
        since_s = from_s - bounds.contact_s
        return not any(
            each.endpoint is None
            and each.router in (None, router)
            and each.touches(since_s, until_s)
            for each in self.disturbances
        )

    def is_endpoint_calm(self, endpoint, from_s, until_s, bounds):
        """Return whether nothing was done to an endpoint or its link."""
        since_s = from_s - bounds.contact_s
        return not any(
            each.endpoint == endpoint and each.touches(since_s, until_s)
            for each in self.disturbances
        )

    def is_planned_work(self, from_s, until_s, bounds):
        """Return whether planned work alone went on in a span and before it."""
        since_s = from_s - bounds.contact_s
        return all(
            each.is_planned_work or not each.touches(since_s, until_s)
            for each in self.disturbances
        )


class _Judge:
    def __init__(self, history, bounds):
        self._history = history
        self._bounds = bounds
        self.violations = []

    def _check(self, promise, holds, request_id, detail):
        self._history.checks[promise] += 1
        if not holds:
            self.violations.append(Violation(promise, request_id, detail))

    def judge(self):
        for attempt in self._history.attempts.values():
            runs = self._history.runs.get(attempt.request_id, [])
            self._check_answer(attempt, runs)
            self._check_runs(attempt, runs)
            self._check_key(attempt, runs)
            self._check_time(attempt, runs)
        for request_id in self._history.runs:
            known = request_id in self._history.attempts
            self._check("asked", known, request_id, "no caller sent it")

    def _check_answer(self, attempt, runs):
        name = attempt.request_id
        if attempt.status == 200 and attempt.kind is RequestKind.DRAFT:
            self._check_events(attempt, runs)
        elif attempt.status == 200 and attempt.is_whole:
            _, endpoint, echoed = attempt.signature.split(".", 2)
            wanted = f"answer of {endpoint} to {name}".encode()
            is_own = echoed == name and attempt.body == wanted
            self._check("own answer", is_own, name, attempt.body.decode())
        elif attempt.signature and attempt.is_whole:
            is_made = attempt.status == 500
            self._check("same status", is_made, name, str(attempt.status))
        if attempt.key in self._history.keys and attempt.status in DENIALS:
            life = self._history.keys[attempt.key]
            is_stable = life.sent_s < 0 and life.removal_sent_s is None
            detail = f"{attempt.status} from router {attempt.router}"
            self._check("not denied", not is_stable, name, detail)

    def _check_events(self, attempt, runs):
        name = attempt.request_id
        pieces = attempt.pieces
        in_order = pieces == list(range(len(pieces)))
        self._check("order", in_order, name, str(pieces))
        if attempt.is_whole:
            is_complete = len(pieces) == self._history.events
            self._check("complete", is_complete, name, str(pieces))

    def _check_runs(self, attempt, runs):
        name = attempt.request_id
        if attempt.kind is RequestKind.POST:
            endpoints = [run.began.endpoint for run in runs]
            self._check("at most once", len(runs) <= 1, name, str(endpoints))
            if attempt.status in NOT_RUN_STATUSES and not attempt.signature:
                detail = f"{attempt.status} and ran at {endpoints}"
                self._check("refused is not run", not runs, name, detail)
        for run in runs:
            began = run.began
            as_sent = began.path == attempt.kind.path
            as_sent = as_sent and began.organisation == ORGANISATION
            self._check("as sent", as_sent, name, f"{began.path} {began.organisation}")
            is_right = began.service == SERVICES[attempt.kind]
            self._check("route", is_right, name, began.service)
            known_key = attempt.key in self._history.keys
            self._check("known key", known_key, name, attempt.key)

    def _check_key(self, attempt, runs):
        life = self._history.keys.get(attempt.key)
        if life is None:
            return
        name, apply_s = attempt.request_id, self._bounds.apply_s
        ended_s = attempt.ended_s or attempt.sent_s
        if not self._is_calm(attempt, ended_s):
            return
        removed_s = life.removed_s
        if removed_s is not None and attempt.sent_s > removed_s + apply_s:
            detail = f"{attempt.sent_s - removed_s:.2f} s after"
            self._check("revoked", not runs, name, detail)
        is_kept = life.removal_sent_s is None or ended_s < life.removal_sent_s
        if attempt.sent_s > life.acknowledged_s + apply_s and is_kept:
            is_allowed = attempt.status not in DENIALS
            self._check("in force", is_allowed, name, str(attempt.status))

    def _is_calm(self, attempt, until_s):
        return self._history.is_calm(
            attempt.router, attempt.sent_s, until_s, self._bounds
        )

    def _check_time(self, attempt, runs):
        for run in runs:
            self._check_drained(attempt, run)
        if attempt.left_s is None:
            self._check_kept(attempt, runs)
            self._check_final(attempt, attempt.ended_s)
            return
        self._check_final(attempt, attempt.left_s)
        for run in runs:
            self._check_stopped(attempt, run)

    def _check_drained(self, attempt, run):
        endpoint, at_s = run.began.endpoint, run.began.at_s
        leaving_s = self._history.leavings.get(endpoint)
        if leaving_s is None or not self._is_calm(attempt, at_s):
            return
        if not self._is_endpoint_calm(run, attempt.sent_s, at_s):
            return
        late_s = at_s - leaving_s
        detail = f"{late_s:.2f} s after its leaving"
        is_early = late_s <= self._bounds.drain_s
        self._check("drained", is_early, attempt.request_id, detail)

    def _is_endpoint_calm(self, run, from_s, until_s):
        return self._history.is_endpoint_calm(
            run.began.endpoint, from_s, until_s, self._bounds
        )

    def _check_final(self, attempt, until_s):
        """Check that no caller waits for its answer beyond the route's timeout."""
        if not self._is_calm(attempt, until_s):
            return
        waited_s = until_s - attempt.sent_s
        is_answered = waited_s < attempt.kind.timeout_s + self._bounds.late_s
        detail = f"status {attempt.status} at router {attempt.router}"
        self._check("final answer", is_answered, attempt.request_id, detail)

    def _check_stopped(self, attempt, run):
        over_s = attempt.left_s + self._bounds.stop_s
        if not self._is_calm(attempt, over_s):
            return
        if not self._is_endpoint_calm(run, attempt.sent_s, over_s):
            return
        ended_s = run.ended.at_s if run.ended else float("inf")
        is_stopped = ended_s <= over_s and run.began.at_s <= over_s
        detail = f"{run.began.endpoint}: {ended_s - attempt.left_s:.2f} s after"
        self._check("stopped", is_stopped, attempt.request_id, detail)

    def _check_kept(self, attempt, runs):
        """Check that planned work alone cuts no request that reached an endpoint."""
        ended_s = attempt.ended_s
        if runs and self._history.is_planned_work(
            attempt.sent_s, ended_s, self._bounds
        ):
            detail = f"at router {attempt.router}, {len(runs)} runs"
            self._check("not cut", attempt.is_whole, attempt.request_id, detail)


def judge(history, bounds):
    """Return the broken promises of a run.

    Parameters
    ----------
    history : History
    bounds : Bounds

    Returns
    -------
    list of Violation
    """
    judging = _Judge(history, bounds)
    judging.judge()
    return judging.violations
