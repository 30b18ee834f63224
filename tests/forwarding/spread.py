"""A fleet of routers that choose workers by statements of their load.

The workers are queues on a virtual clock; nothing of a router but its choice runs.
"""

import random

from twisted.internet.task import Clock

from sesamearch.forwarding.request import EndpointAnswer, LoadReport
from sesamearch.forwarding.stated_load import LoadStatements
from tests.forwarding.test_choice import World

SLOTS = 6
QUEUE = 24
WORK_S = 0.07
STEP_S = 0.002
RUN_S = 8.0
# Paces of the workers, in percent; one of them shares its VM with much else.
PACES = (100, 100, 100, 250)


class _Worker:
    """A queue with some slots, on a clock of fixed steps."""

    def __init__(self, rng, pace_percent):
        self._rng = rng
        self.pace_percent = pace_percent
        self.waiting, self.running = [], []
        self.waits_s = []
        self.arrived = self.turned_away = 0

    def take(self, now_s):
        self.arrived += 1
        if len(self.waiting) >= QUEUE:
            self.turned_away += 1
        else:
            self.waiting.append(now_s)

    def advance(self, now_s):
        """Return the number of calls that ended."""
        ended = sum(end_s <= now_s for end_s in self.running)
        self.running = [end_s for end_s in self.running if end_s > now_s]
        while self.waiting and len(self.running) < SLOTS:
            self.waits_s.append(now_s - self.waiting.pop(0))
            mean_s = WORK_S * self.pace_percent / 100
            self.running.append(now_s + self._rng.expovariate(1 / mean_s))
        return ended

    def report(self):
        load = LoadReport(
            len(self.running), len(self.waiting), SLOTS, self.pace_percent
        )
        return EndpointAnswer(200, b"", [], load=load)


class Fleet:
    """Routers that choose among the same workers.

    Parameters
    ----------
    routers : int
    use : float
        Share of the workers' places that the calls take in the mean.
    news_s : float
        Age of statements at the other routers; None for no statements at all.
    seed : int
    """

    def __init__(self, routers, use, news_s, seed):
        self.clock = Clock()
        self.clock.advance(10.0)
        self.rng = random.Random(seed)
        self.news_s = news_s
        self.workers = [_Worker(self.rng, pace) for pace in PACES]
        speed = sum(SLOTS / (WORK_S * pace / 100) for pace in PACES)
        self.calls_per_s = use * speed
        self.routers = [self._make_router(number) for number in range(routers)]

    def _make_router(self, number):
        world = World(len(PACES), "desk", seed=number)
        world.statements = LoadStatements(self.clock)
        if self.news_s is not None:
            world.chooser._statements = world.statements
        return world

    def run(self):
        """Play the load, and return this fleet."""
        due_s = self.clock.seconds()
        for _ in range(round(RUN_S / STEP_S)):
            now_s = self.clock.seconds()
            while due_s <= now_s:
                due_s += self.rng.expovariate(self.calls_per_s)
                self._call(now_s)
            for number, worker in enumerate(self.workers):
                for _ in range(worker.advance(now_s)):
                    self._tell(number)
            self.clock.advance(STEP_S)
        return self

    def _call(self, now_s):
        router = self.rng.choice(self.routers)
        chosen = router.chooser.for_call("desk", "r")
        router.statements.note_sent(chosen.name)
        self.workers[int(chosen.name[1:])].take(now_s)

    def _tell(self, number):
        """Have a router hear an answer, and the others of it later."""
        router = self.rng.choice(self.routers)
        endpoint = router.board.endpoints.value[f"e{number}"]
        router.statements.note_answer(endpoint, self.workers[number].report())
        if self.news_s is not None:
            self.clock.callLater(self.news_s, self._spread, router.statements)

    def _spread(self, statements):
        unsent = statements.collect_unsent()
        for router in self.routers:
            if router.statements is not statements:
                router.statements.update(unsent)

    @property
    def waits_s(self):
        """List of float : waits for a slot, sorted."""
        return sorted(wait for worker in self.workers for wait in worker.waits_s)

    @property
    def turned_away_ratio(self):
        """Float : share of the calls that were turned away."""
        arrived = sum(worker.arrived for worker in self.workers)
        return sum(worker.turned_away for worker in self.workers) / max(arrived, 1)

    @property
    def busiest_ratio(self):
        """Float : work at the busiest worker against the mean."""
        work = [worker.arrived * worker.pace_percent for worker in self.workers]
        return max(work) * len(work) / max(sum(work), 1)
