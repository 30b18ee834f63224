"""Study of version moves: ``python -m bench.moves [GOOD_MOVES] [BAD_MOVES]``.

Requests are drawn at both deployments' sizes; the evidence, the test and the plan are
the real ones. Beside them a canary with the same steps that takes back when, in a
minute, the new version fails more than twice as often as the old one.
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
MOVE_S = 1800.0
LEAVE_S = 0.5
WATCH_S = 300.0
PROCESSES = 5
CELLS = 16
ERROR_RATIO = 0.005
ROUTES = (("POST /a", 0.6), ("POST /b", 0.25), ("GET /c", 0.1), ("POST /d", 0.05))
SIZES = {"sen-mitra": 10.0, "kanalis": 5.0}
FAULTS = (
    "errors-at-once",
    "slow-at-once",
    "cut-off-at-once",
    "errors-later",
    "errors-under-load",
    "errors-on-one-route",
    "slower-and-slower",
)
LATER_PART = 0.55


class World:
    """Draws the outcome of requests of a good or bad version."""

    def __init__(self, fault, rng):
        self._fault = fault
        self._rng = rng

    def is_faulty(self, part, share_ratio):
        """Return whether the fault shows at this time and share."""
        if self._fault is None:
            return False
        if self._fault == "errors-later":
            return part >= LATER_PART
        if self._fault == "errors-under-load":
            return share_ratio >= 0.25
        return True

    def draw(self, version, part, share_ratio):
        """Return an :class:`Outcome` and whether it met the fault."""
        rng, fault = self._rng, self._fault
        names, weights = zip(*ROUTES, strict=True)
        route = rng.choices(names, weights)[0]
        bad = version == "new" and self.is_faulty(part, share_ratio)
        if fault == "errors-on-one-route":
            bad = bad and route == "POST /b"
        error_ratio, first_s, gap_s, is_cut_off = ERROR_RATIO, 0.3, 0.035, False
        if bad and fault.startswith("errors"):
            error_ratio = 0.2
        elif bad and fault == "slow-at-once":
            first_s *= 2
        elif bad and fault == "cut-off-at-once":
            is_cut_off = rng.random() < 0.1
        elif bad:
            gap_s *= 1 + part
        is_error = rng.random() < error_ratio
        outcome = Outcome(
            "s",
            version,
            route,
            0,
            is_error,
            is_cut_off,
            None if is_error else first_s * rng.lognormvariate(0, 0.4),
            None if is_error else gap_s * rng.lognormvariate(0, 0.15),
        )
        return outcome, bad


class SequentialPolicy:
    """The system's own: the detector and the plan."""

    def __init__(self):
        self._collector = EvidenceCollector("new", "old")
        self._detector = Detector(int((MOVE_S + WATCH_S) / WINDOW_S), CELLS)

    def note(self, outcome):
        """Take an outcome."""
        self._collector.note(outcome)

    def weigh(self, now_s):
        """Return the call, if any, at the end of a window."""
        return self._detector.add(self._collector.close_window())

    @property
    def new_requests(self):
        """Requests of the new version."""
        return self._detector.new_requests


class FixedPolicy:
    """The baseline: error ratios of a minute."""

    PERIOD_S = 60.0

    def __init__(self):
        self._counts = {"new": [0, 0], "old": [0, 0]}
        self._next_s = self.PERIOD_S
        self.new_requests = 0

    def note(self, outcome):
        """Take an outcome."""
        counts = self._counts[outcome.version]
        counts[0] += 1
        counts[1] += outcome.is_error or outcome.is_cut_off
        self.new_requests += outcome.version == "new"

    def weigh(self, now_s):
        """Return a call if the last minute was bad."""
        if now_s < self._next_s:
            return None
        self._next_s += self.PERIOD_S
        (new, new_bad), (old, old_bad) = self._counts["new"], self._counts["old"]
        self._counts = {"new": [0, 0], "old": [0, 0]}
        old_ratio = old_bad / old if old else ERROR_RATIO
        is_bad = new_bad >= 2 and new_bad / new > 2 * old_ratio
        return _FixedCall() if is_bad else None


class _FixedCall:
    @staticmethod
    def to_text():
        """Return the reason."""
        return "error ratio"


def run(arguments):
    """Run one move; return what became of it."""
    policy_name, size, fault, seed = arguments
    rng = random.Random(f"{size}/{fault}/{seed}")
    world = World(fault, rng)
    policy = SequentialPolicy() if policy_name == "default" else FixedPolicy()
    plan = MovePlan(
        MoveRecord("m", "s", "old", "new", "x", MoveState.PROPOSED, 0.0, 0.0, MOVE_S)
    )
    total = met = 0
    shown_s = called_s = finished_s = None
    for number in range(int((MOVE_S + WATCH_S) / WINDOW_S)):
        now_s = number * WINDOW_S
        part, share_ratio = now_s / MOVE_S, plan.record.share_ratio
        if shown_s is None and share_ratio and world.is_faulty(part, share_ratio):
            shown_s = now_s
        for _ in range(round(SIZES[size] * WINDOW_S)):
            version = "new" if rng.random() < share_ratio else "old"
            outcome, is_met = world.draw(version, part, share_ratio)
            policy.note(outcome)
            total += 1
            met += is_met
        call = policy.weigh(now_s)
        if plan.record.state is MoveState.FINISHED and call is not None:
            called_s = now_s
            break
        decision = plan.decide(now_s, policy.new_requests, call)
        if decision is not None:
            plan = MovePlan(plan.apply(decision))
        if plan.record.state is MoveState.TAKEN_BACK:
            called_s = now_s
            break
        if plan.record.state is MoveState.FINISHED and finished_s is None:
            finished_s = now_s
    return {
        "taken_back": called_s is not None,
        "in_time": finished_s is not None and finished_s <= MOVE_S,
        "met_ratio": met / total,
        "to_no_traffic_s": None if None in (called_s, shown_s) else called_s - shown_s,
    }


def study(policy, size, fault, count, pool):
    """Run many moves and print one line."""
    moves = pool.map(run, [(policy, size, fault, seed) for seed in range(count)])
    back = sum(move["taken_back"] for move in moves)
    line = {"policy": policy, "size": size, "fault": fault or "none", "moves": count}
    line["taken_back_ratio"] = round(back / count, 4)
    if fault is None:
        finished = sum(move["in_time"] and not move["taken_back"] for move in moves)
        line["in_time_ratio"] = round(finished / count, 4)
    else:
        met = sorted(move["met_ratio"] for move in moves)
        line["met_bad_p50_ratio"] = round(statistics.median(met), 4)
        line["met_bad_max_ratio"] = round(met[-1], 4)
        times = [
            m["to_no_traffic_s"] for m in moves if m["to_no_traffic_s"] is not None
        ]
        if times:
            line["fault_to_no_traffic_p50_s"] = statistics.median(times) + LEAVE_S
    print(json.dumps(line), flush=True)


def main(good_moves="300", bad_moves="40"):
    with multiprocessing.Pool(PROCESSES) as pool:
        for policy in ("default", "fixed-step"):
            for size in SIZES:
                study(policy, size, None, int(good_moves), pool)
                for fault in FAULTS:
                    study(policy, size, fault, int(bad_moves), pool)


if __name__ == "__main__":
    main(*sys.argv[1:])
