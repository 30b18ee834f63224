"""Study of version moves: ``python -m bench.moves [GOOD_MOVES] [BAD_MOVES]``.

Simulates requests at the rates of two deployments, ``sen-mitra`` and ``kanalis``; the
evidence collector, the detector and the move plan are the production code. The baseline
is a canary with the same share steps that takes a move back if, within a minute, the
new version fails at least twice, and more than twice as often as the old one.
"""

import json
import multiprocessing
import random
import statistics
import sys

from sesamearch.rollout.detector import Detector
from sesamearch.rollout.move import MovePlan, MoveRecord, MoveState
from sesamearch.routing.evidence import EvidenceCollector, Outcome

WINDOW_S = 2.0
MOVE_DURATION_S = 1800.0
ROLLBACK_PROPAGATION_S = 0.5
POST_FINISH_WATCH_S = 300.0
PROCESSES = 5
# One cell for each of the four routes and four kinds of bad event, at one load level.
MAX_CELLS = 16
ERROR_RATIO = 0.005
ROUTES = (("POST /a", 0.6), ("POST /b", 0.25), ("GET /c", 0.1), ("POST /d", 0.05))
REQUESTS_PER_S = {"sen-mitra": 10.0, "kanalis": 5.0}
FAULTS = (
    "errors-at-once",
    "slow-at-once",
    "cut-off-at-once",
    "errors-later",
    "errors-under-load",
    "errors-on-one-route",
    "slower-and-slower",
)
# Part of a move's duration after which the fault "errors-later" begins.
LATE_FAULT_RATIO = 0.55


class TrafficModel:
    """Draws random outcomes of requests to a good or bad new version."""

    def __init__(self, fault, rng):
        self._fault = fault
        self._rng = rng

    def is_faulty(self, elapsed_ratio, share_ratio):
        """Return whether the fault is active at this part of the move and share."""
        if self._fault is None:
            return False
        if self._fault == "errors-later":
            return elapsed_ratio >= LATE_FAULT_RATIO
        if self._fault == "errors-under-load":
            return share_ratio >= 0.25
        return True

    def draw(self, version, elapsed_ratio, share_ratio):
        """Return an :class:`Outcome` and whether the fault applied to the request."""
        rng, fault = self._rng, self._fault
        names, weights = zip(*ROUTES, strict=True)
        route = rng.choices(names, weights)[0]
        bad = version == "new" and self.is_faulty(elapsed_ratio, share_ratio)
        if fault == "errors-on-one-route":
            bad = bad and route == "POST /b"
        error_ratio, first_token_s, gap_s, is_cut_off = ERROR_RATIO, 0.3, 0.035, False
        if bad and fault.startswith("errors"):
            error_ratio = 0.2
        elif bad and fault == "slow-at-once":
            first_token_s *= 2
        elif bad and fault == "cut-off-at-once":
            is_cut_off = rng.random() < 0.1
        elif bad:
            gap_s *= 1 + elapsed_ratio
        is_error = rng.random() < error_ratio
        outcome = Outcome(
            "s",
            version,
            route,
            0,
            is_error,
            is_cut_off,
            None if is_error else first_token_s * rng.lognormvariate(0, 0.4),
            None if is_error else gap_s * rng.lognormvariate(0, 0.15),
        )
        return outcome, bad


class SequentialPolicy:
    """The production policy: evidence collector and sequential detector."""

    def __init__(self):
        self._collector = EvidenceCollector("new", "old")
        self._detector = Detector(
            int((MOVE_DURATION_S + POST_FINISH_WATCH_S) / WINDOW_S), MAX_CELLS
        )

    def note(self, outcome):
        """Record an outcome."""
        self._collector.note(outcome)

    def evaluate(self, now_s):
        """Close a window; return an alarm, or None."""
        return self._detector.add(self._collector.close_window())

    @property
    def new_requests(self):
        """Int : requests of the new version so far."""
        return self._detector.new_requests


class ErrorRatioPolicy:
    """The baseline policy ``fixed-step``: compares the error ratios of each minute."""

    INTERVAL_S = 60.0

    def __init__(self):
        self._counts = {"new": [0, 0], "old": [0, 0]}
        self._next_s = self.INTERVAL_S
        self.new_requests = 0

    def note(self, outcome):
        """Record an outcome."""
        counts = self._counts[outcome.version]
        counts[0] += 1
        counts[1] += outcome.is_error or outcome.is_cut_off
        self.new_requests += outcome.version == "new"

    def evaluate(self, now_s):
        """Return an alarm if the last minute was bad, or None."""
        if now_s < self._next_s:
            return None
        self._next_s += self.INTERVAL_S
        (new, new_bad), (old, old_bad) = self._counts["new"], self._counts["old"]
        self._counts = {"new": [0, 0], "old": [0, 0]}
        old_ratio = old_bad / old if old else ERROR_RATIO
        is_bad = new_bad >= 2 and new_bad / new > 2 * old_ratio
        return _ErrorRatioAlarm() if is_bad else None


class _ErrorRatioAlarm:
    @staticmethod
    def to_text():
        """Return the reason as text."""
        return "error ratio"


def simulate(arguments):
    """Simulate one move; return its measures."""
    policy_name, size, fault, seed = arguments
    rng = random.Random(f"{size}/{fault}/{seed}")
    traffic = TrafficModel(fault, rng)
    policy = SequentialPolicy() if policy_name == "default" else ErrorRatioPolicy()
    plan = MovePlan(
        MoveRecord(
            "m", "s", "old", "new", "x", MoveState.PROPOSED, 0.0, 0.0, MOVE_DURATION_S
        )
    )
    total = exposed = 0
    fault_start_s = taken_back_s = finished_s = None
    for number in range(int((MOVE_DURATION_S + POST_FINISH_WATCH_S) / WINDOW_S)):
        now_s = number * WINDOW_S
        elapsed_ratio, share_ratio = now_s / MOVE_DURATION_S, plan.record.share_ratio
        if (
            fault_start_s is None
            and share_ratio
            and traffic.is_faulty(elapsed_ratio, share_ratio)
        ):
            fault_start_s = now_s
        for _ in range(round(REQUESTS_PER_S[size] * WINDOW_S)):
            version = "new" if rng.random() < share_ratio else "old"
            outcome, is_exposed = traffic.draw(version, elapsed_ratio, share_ratio)
            policy.note(outcome)
            total += 1
            exposed += is_exposed
        alarm = policy.evaluate(now_s)
        if plan.record.state is MoveState.FINISHED and alarm is not None:
            taken_back_s = now_s
            break
        decision = plan.decide(now_s, policy.new_requests, alarm)
        if decision is not None:
            plan = MovePlan(plan.apply(decision))
        if plan.record.state is MoveState.TAKEN_BACK:
            taken_back_s = now_s
            break
        if plan.record.state is MoveState.FINISHED and finished_s is None:
            finished_s = now_s
    return {
        "taken_back": taken_back_s is not None,
        "in_time": finished_s is not None and finished_s <= MOVE_DURATION_S,
        "met_ratio": exposed / total,
        "to_no_traffic_s": None
        if None in (taken_back_s, fault_start_s)
        else taken_back_s - fault_start_s,
    }


def run_study(policy, size, fault, count, pool):
    """Simulate many moves; print their summary as one line of JSON."""
    moves = pool.map(simulate, [(policy, size, fault, seed) for seed in range(count)])
    back = sum(move["taken_back"] for move in moves)
    line = {"policy": policy, "size": size, "fault": fault or "none", "moves": count}
    line["taken_back_ratio"] = round(back / count, 4)
    if fault is None:
        finished = sum(move["in_time"] and not move["taken_back"] for move in moves)
        line["in_time_ratio"] = round(finished / count, 4)
    else:
        exposed = sorted(move["met_ratio"] for move in moves)
        line["met_bad_p50_ratio"] = round(statistics.median(exposed), 4)
        line["met_bad_max_ratio"] = round(exposed[-1], 4)
        times = [
            m["to_no_traffic_s"] for m in moves if m["to_no_traffic_s"] is not None
        ]
        if times:
            line["fault_to_no_traffic_p50_s"] = (
                statistics.median(times) + ROLLBACK_PROPAGATION_S
            )
    print(json.dumps(line), flush=True)


def main(good_moves="300", bad_moves="40"):
    with multiprocessing.Pool(PROCESSES) as pool:
        for policy in ("default", "fixed-step"):
            for size in REQUESTS_PER_S:
                run_study(policy, size, None, int(good_moves), pool)
                for fault in FAULTS:
                    run_study(policy, size, fault, int(bad_moves), pool)


if __name__ == "__main__":
    main(*sys.argv[1:])
