"""Deployment whose endpoints end, for a cause or none, and return under other names."""

import random

from sesamearch.configuration.keys import PeerKeys
from sesamearch.configuration.platform_settings import PlatformBounds
from sesamearch.membership.fleet_keys import FLEET_KEYS_KEY
from tests.platform.world import World

RESTART_S = 4.0
# The store drops the entry of an endpoint that ended after this time.
ENTRY_LIFETIME_S = 2.0
# Time within which routers that are in touch must act on what others saw.
CONTACT_S = 3.0


class EndpointStorm(World):
    """A deployment whose endpoints end and return under another name.

    Parameters
    ----------
    routers, desks, engines : int
    seed : int
    """

    bounds = PlatformBounds()
    # Fixed, so that names of requests are the same in each run.
    keys = PeerKeys("public", "secret", ["public"])

    def __init__(self, routers, desks, engines, seed=1):
        self._starts = {}
        self.random = random.Random(seed)
        self.ended_s = []
        self.lost_s = {}
        super().__init__(routers, desks, engines)
        self.workers_ever = [*self.desks, *self.engines]
        for worker in self.workers_ever:
            self.prepare(worker)
            self.arm(worker)

    def add_store_content(self):
        self.store.put(FLEET_KEYS_KEY.decode(), self.keys)

    def prepare(self, worker):
        """Set up a worker that starts, before it is armed."""
        if worker in self.engines:
            worker.events = 40

    def arm(self, worker):
        """Let requests end a worker that starts."""

    def _live(self, worker):
        return self.engines if worker in self.engines else self.desks

    def is_live(self, worker):
        return worker in self.engines or worker in self.desks

    def lose(self, worker):
        """End a worker; it is back later at its address under another name."""
        self.lost_s[worker.name] = self.network.seconds()
        self.crash(worker)
        self.network.reset(worker.address)
        live = self._live(worker)
        live.remove(worker)
        self.network.callLater(
            ENTRY_LIFETIME_S, self.store.remove, f"servers/{worker.name}"
        )
        self.network.callLater(RESTART_S, self._start_again, worker, live)

    def _start_again(self, worker, live):
        kind = worker.name.partition("-")[0]
        number = int(worker.address.split(":")[0].rpartition(".")[2]) - 1
        starts = self._starts[kind, number] = self._starts.get((kind, number), 0) + 1
        later = type(worker)(self.network, f"{kind}-{number}-{starts}")
        later.address = worker.address
        later.factory = self._serve(later.address, later)
        later.slots = worker.slots
        live.append(later)
        if live is self.engines:
            later.neighbours = self.engines_by_address
            self.engines_by_address[later.address] = later
            later.ends_after_head = worker.ends_after_head
            later.prefill_tokens_per_s = worker.prefill_tokens_per_s
        else:
            later.work_s = worker.work_s
        self.prepare(later)
        self.arm(later)
        self.update_entry(later, "models" if kind == "engine" else "desk", number)
        self.workers_ever.append(later)

    def lose_at_random(self, seconds, per_s):
        """Schedule ends of random workers for no cause."""
        for _ in range(round(seconds * per_s)):
            at_s = self.random.uniform(0.0, seconds)
            self.network.callLater(at_s, self._lose_any)

    def _lose_any(self):
        live = self.engines or self.desks
        if len(live) > 1:
            self.lose(self.random.choice(live))
