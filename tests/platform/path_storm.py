"""Load on routers of which some lose the path to all endpoints."""

import random

from sesamearch.standin.network import PathFault
from tests.platform.world import World, draft_bytes, request_bytes

# By this time after the cut, a router must serve its callers by way of others.
CONTACT_S = 3.0
PATHS = {"safe": "/look/1", "unsafe": "/post/1", "generation": "/draft/1"}
SEND_INTERVAL_S = 0.04


class Share:
    """How many of some requests were served."""

    def __init__(self, clients):
        self.sent = len(clients)
        self.served = sum(each.status == 200 and each.is_whole() for each in clients)

    def add(self, other):
        """Add the requests of another share."""
        self.sent += other.sent
        self.served += other.served

    @property
    def ratio(self):
        """Float : share of the requests that were served."""
        return self.served / max(self.sent, 1)

    def __repr__(self):
        return f"{self.served} of {self.sent}"


class PathStorm(World):
    """A deployment some of whose routers are cut off from all endpoints.

    Parameters
    ----------
    routers, desks, engines : int
    seed : int
    """

    def __init__(self, routers=9, desks=6, engines=6, seed=1):
        super().__init__(routers, desks, engines)
        for desk in self.desks:
            desk.slots = 24
        self.random = random.Random(seed)
        self.clients = []
        self.cut = []

    def send(self, kind, router):
        """Send a request of a kind to a router; return its client."""
        number = len(self.clients)
        path = PATHS[kind]
        if kind == "generation":
            data = draft_bytes(f"q{number}", 80)
        else:
            data = request_bytes(
                path, f"q{number}", "POST" if kind == "unsafe" else "GET"
            )
        client = self.connect(router).send(data)
        client.sent_s = self.network.seconds()
        client.request_id = f"q{number}"
        client.router = router
        client.is_whole = lambda: kind != "generation" or client.is_complete
        self.clients.append(client)
        return client

    def send_for(self, seconds, kinds=tuple(PATHS)):
        """Send requests of random kinds to random routers."""
        until_s = self.network.seconds() + seconds
        while self.network.seconds() < until_s - SEND_INTERVAL_S / 2:
            router = self.random.randrange(len(self.routers))
            self.send(self.random.choice(kinds), router)
            self.run(SEND_INTERVAL_S - 0.01)

    def cut_off(self, numbers, faults=tuple(PathFault)):
        """Cut some routers off all endpoints, each in another way."""
        self.cut = list(numbers)
        for position, number in enumerate(self.cut):
            self.cut_endpoints(number, faults[position % len(faults)])

    def mend_all(self):
        for number in self.cut:
            self.mend_endpoints(number)

    def shares(self, from_s, to_s):
        """Return the :class:`Share` at routers that were cut off and at the others."""
        sent = [each for each in self.clients if from_s <= each.sent_s < to_s]
        cut = [each for each in sent if each.router in self.cut]
        others = [each for each in sent if each.router not in self.cut]
        return Share(cut), Share(others)

    @property
    def run_twice(self):
        """List of str : ids of the calls that two endpoints began to run."""
        runs = [run.request_id for desk in self.desks for run in desk.runs]
        return [each for each in set(runs) if runs.count(each) > 1]
