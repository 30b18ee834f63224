"""Study of canary rollouts: ``python -m bench.rollouts [SEEDS] [RATE ...]``.

Simulates generations of a service whose routers observe them with the production
code: observers, evidence, exposure plan, and the rule that ends a rollout. Each cell
has one rate of requests, one number of routers and one fault of the new version. Prints
a line of JSON for each cell.
"""

import heapq
import itertools
import json
import multiprocessing
import random
import statistics
import sys

import msgspec

from sesamearch.configuration.blackboard import Endpoint
from sesamearch.rollout.observer import PACE_EVENTS, ServiceObserver
from sesamearch.routing.canary import CanaryPlan, CanarySettings
from sesamearch.routing.canary_evidence import Evidence, Verdict

PROCESSES = 4
WARMUP_S = 10.0
LENGTH_S = 15.0
UPDATE_INTERVAL_S = 0.1
EVENTS = 100
FIRST_S = 1.2
GAP_S = 0.03
FAILURE_RATIO = 0.004
FAILURE_TIME_S = 0.1
RARE_ROUTE_RATIO = 0.1
LATE_FAULT_RATIO = 0.4
LOAD_FAULT_SHARE_RATIO = 0.25
ROUTERS = (9, 83, 195)
REQUESTS_PER_S = (2, 20, 200)
MAX_BAD_ANSWERS = 50


class Fault(msgspec.Struct, frozen=True):
    """How a new version is bad.

    Parameters
    ----------
    name : str
    slow_factor : float
        Factor of its times.
    failure_ratio : float
    begins : str
        ``at-once``, ``later``, ``under-load`` or ``one-route``.
    """

    name: str
    slow_factor: float = 1.0
    failure_ratio: float = FAILURE_RATIO
    begins: str = "at-once"

    @property
    def is_good(self):
        """Bool : whether the version is as good as the old one."""
        return self.slow_factor == 1 and self.failure_ratio == FAILURE_RATIO


FAULTS = (
    Fault("good"),
    Fault("slow-2", slow_factor=2.0),
    Fault("slow-3", slow_factor=3.0),
    Fault("slow-5", slow_factor=5.0),
    Fault("fails-5", failure_ratio=0.05),
    Fault("fails-20", failure_ratio=0.2),
    Fault("fails-50", failure_ratio=0.5),
    Fault("slow-5-later", slow_factor=5.0, begins="later"),
    Fault("fails-50-later", failure_ratio=0.5, begins="later"),
    Fault("fails-50-under-load", failure_ratio=0.5, begins="under-load"),
    Fault("fails-50-one-route", failure_ratio=0.5, begins="one-route"),
)


class Ended(msgspec.Struct, frozen=True):
    """How one rollout ended.

    Parameters
    ----------
    is_complete : bool
    requests, to_new : int
        Requests from the order to its deadline, and those to the new version.
    after_fiftieth_s : float or None
        Time from the new version's fiftieth bad answer to the end.
    """

    is_complete: bool
    requests: int
    to_new: int
    after_fiftieth_s: float | None


class Simulation:
    """One rollout of a service on a virtual clock."""

    def __init__(self, rate, routers, fault, seed):
        self._rate = rate
        self._fault = fault
        self._rng = random.Random(seed)
        self._now_s = 0.0
        self._events = []
        self._order = itertools.count()
        self._observers = [ServiceObserver(self, self._ignore) for _ in range(routers)]
        self._evidence = Evidence()
        self._plan = CanaryPlan(CanarySettings(), WARMUP_S, WARMUP_S + LENGTH_S)
        self._share_ratio = 0.0
        self._requests = self._to_new = self._bad_answers = 0
        self._fiftieth_s = None

    def seconds(self):
        """Return the current time of the virtual clock."""
        return self._now_s

    def _ignore(self, version):
        """Ignore a failure: it is shared with the next update."""

    def _at(self, delay_s, call, *arguments):
        due_s = self._now_s + delay_s
        heapq.heappush(self._events, (due_s, next(self._order), call, arguments))

    def run(self):
        """Run the rollout and return how it :class:`Ended`."""
        self._at(0.0, self._arrive)
        while self._now_s < WARMUP_S:
            self._step()
        for observer in self._observers:
            observer.begin("v2")
        verdict = Verdict.OPEN
        while verdict is not Verdict.BAD and self._now_s < self._plan.last_s:
            verdict = self._update()
            if verdict is Verdict.GOOD and self._now_s >= self._plan.completion_s:
                break
            until_s = self._now_s + UPDATE_INTERVAL_S
            while self._events[0][0] < until_s:
                self._step()
            self._now_s = until_s
        after_s = None if self._fiftieth_s is None else self._now_s - self._fiftieth_s
        return Ended(verdict is Verdict.GOOD, self._requests, self._to_new, after_s)

    def _step(self):
        self._now_s, _, call, arguments = heapq.heappop(self._events)
        call(*arguments)

    def _update(self):
        self._share_ratio = self._plan.share(self._now_s)
        for observer in self._observers:
            observer.check_open(self._evidence)
            for counts in observer.pop_counts():
                self._evidence.add_counts(counts)
        return self._evidence.verdict

    def _arrive(self):
        rng = self._rng
        self._at(rng.expovariate(self._rate), self._arrive)
        route = "rare" if rng.random() < RARE_ROUTE_RATIO else "common"
        is_new = self._now_s >= WARMUP_S and rng.random() < self._share_ratio
        if self._now_s >= WARMUP_S:
            self._requests += 1
            self._to_new += is_new
            self._plan.count(1, int(is_new))
        endpoint = Endpoint(
            f"e{rng.randrange(8)}", "10.0.0.1:1", "east", "s", "v2" if is_new else "v1"
        )
        observation = rng.choice(self._observers).observe(endpoint, route, False)
        self._serve(observation, is_new and self._is_faulty(route))

    def _is_faulty(self, route):
        begins = self._fault.begins
        if begins == "later":
            return self._now_s >= WARMUP_S + LATE_FAULT_RATIO * LENGTH_S
        if begins == "under-load":
            return self._share_ratio >= min(LOAD_FAULT_SHARE_RATIO, 20 / self._rate)
        return begins == "at-once" or route == "rare"

    def _serve(self, observation, is_faulty):
        rng = self._rng
        factor = self._fault.slow_factor if is_faulty else 1.0
        failure_ratio = self._fault.failure_ratio if is_faulty else FAILURE_RATIO
        if rng.random() < failure_ratio:
            self._at(FAILURE_TIME_S, self._fail, observation, is_faulty)
            return
        first_s = FIRST_S * factor * rng.lognormvariate(0.0, 0.4)
        gap_s = GAP_S * factor * rng.lognormvariate(0.0, 0.25)
        self._at(first_s, observation.answered, False)
        self._at(first_s, observation.received_events, 1)
        self._at(
            first_s + PACE_EVENTS * gap_s, observation.received_events, PACE_EVENTS
        )
        self._at(first_s + EVENTS * gap_s, self._end, observation, factor > 1)

    def _fail(self, observation, is_bad):
        observation.answered(True)
        self._end(observation, is_bad)

    def _end(self, observation, is_bad):
        observation.ended()
        self._bad_answers += is_bad
        if self._bad_answers == MAX_BAD_ANSWERS and self._fiftieth_s is None:
            self._fiftieth_s = self._now_s


def simulate(cell):
    """Run the rollout of one ``(rate, routers, fault, seed)``."""
    return Simulation(*cell).run()


def run_cell(rate, routers, fault, seeds, pool):
    """Simulate many rollouts; print their summary as one line of JSON."""
    cells = [(rate, routers, fault, seed) for seed in range(seeds)]
    ended = pool.map(simulate, cells)
    settings = CanarySettings()
    over = [
        each.to_new
        - settings.exposure_slack
        - settings.exposure_ratio * max(each.requests, rate * LENGTH_S)
        for each in ended
        if not each.is_complete
    ]
    after_s = [e.after_fiftieth_s for e in ended if e.after_fiftieth_s is not None]
    line = {
        "rate": rate,
        "routers": routers,
        "fault": fault.name,
        "rollouts": seeds,
        "complete": sum(each.is_complete for each in ended),
        "to_new_p50": statistics.median(each.to_new for each in ended),
        "to_new_max": max(each.to_new for each in ended),
        "over_exposure": sum(each > 0 for each in over),
        "after_fiftieth_max_s": round(max(after_s), 2) if after_s else None,
    }
    print(json.dumps(line), flush=True)


def main(seeds="200", *rates):
    chosen = [int(rate) for rate in rates] or REQUESTS_PER_S
    with multiprocessing.Pool(PROCESSES) as pool:
        for rate, routers, fault in itertools.product(chosen, ROUTERS, FAULTS):
            run_cell(rate, routers, fault, int(seeds), pool)


if __name__ == "__main__":
    main(*sys.argv[1:])
