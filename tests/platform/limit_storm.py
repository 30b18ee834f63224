"""Load on endpoints that name a limit for the requests of all routers together."""

import random

from tests.platform.world import World, draft_bytes, request_bytes

# The bounds of the rule: a window, and what may arrive in it beyond the limit.
WINDOW_S = 4.0
SLACK_RATIO = 1.5
SLACK_REQUESTS = 5
CONTACT_S = 3.0
# A lower limit is heard with the next answer.
HEARING_S = 0.5


class NamedLimit:
    """A limit that an endpoint named from some time on; None for no limit."""

    def __init__(self, from_s, limit_per_s):
        self.from_s = from_s
        self.limit_per_s = limit_per_s


class LimitStorm(World):
    """A deployment whose endpoints name limits while requests come at all routers.

    Parameters
    ----------
    routers, desks, engines : int
    seed : int
    """

    def __init__(self, routers, desks, engines=0, seed=1):
        super().__init__(routers, desks, engines)
        self.random = random.Random(seed)
        self.began_s = self.network.seconds()
        self.named = {}
        self.clients = []

    @property
    def now_s(self):
        """Float : time since the start of the load."""
        return self.network.seconds() - self.began_s

    def name_limit(self, worker, at_s, limit_per_s):
        """Have a worker name a limit from a time on; None to name none any more."""
        text = "" if limit_per_s is None else str(limit_per_s)
        named = self.named.setdefault(worker.name, [])
        named.append(NamedLimit(at_s, limit_per_s))
        delay_s = max(0.0, at_s - self.now_s)
        self.network.callLater(delay_s, setattr, worker, "limit", text)

    def send(self, router=None, path=None, **fields):
        """Send a request of a caller that does not repeat it; None if no router is."""
        number = len(self.clients)
        live = [n for n, each in enumerate(self.routers) if each is not None]
        if not live:
            return None
        router = self.random.choice(live) if router is None else router
        path = path or self.random.choice(("/post/1", "/look/1"))
        if path.startswith("/draft/"):
            data = draft_bytes(f"q{number}", **fields)
        else:
            method = "POST" if path.startswith("/post/") else "GET"
            data = request_bytes(path, f"q{number}", method, **fields)
        client = self.connect(router)
        if client.transport is None:
            # The router has just ended.
            return client
        client.send(data)
        client.sent_s = self.now_s
        client.path = path
        client.took_s = 0.0
        client.on_data = self._note_answer
        self.clients.append(client)
        return client

    def _note_answer(self, client):
        client.took_s = client.took_s or self.now_s - client.sent_s

    def send_for(self, seconds, rate, router=None, path=None):
        """Send requests at random times, at random routers or at one of them."""
        until_s = self.now_s + seconds
        while self.now_s < until_s:
            self.send(router, path)
            self.run(max(0.0, self.random.expovariate(rate) - 0.01))

    def arrivals(self, worker):
        """Return the times at which requests reached a worker."""
        return [each.at_s - self.began_s for each in worker.arrivals]

    def _limit_at(self, worker, at_s):
        """Return the limit at a time; None without one, or while it becomes known."""
        named = self.named.get(worker.name, [])
        first_s = min((e.from_s for e in named), default=float("inf"))
        if at_s < first_s + CONTACT_S:
            return None
        heard = [e for e in named if e.from_s <= at_s - HEARING_S]
        latest = [e for e in named if e.from_s <= at_s]
        limits = (heard[-1].limit_per_s, latest[-1].limit_per_s)
        return None if None in limits else max(limits)

    def excess(self, worker):
        """Return how far the worst window of a worker is above what is allowed.

        Every arrival counts, whichever router it comes from.
        """
        times = self.arrivals(worker)
        worst = -float("inf")
        for index, begin_s in enumerate(times):
            window = [t for t in times[index:] if t <= begin_s + WINDOW_S]
            allowed = self._allowed(worker, begin_s)
            if allowed is not None:
                worst = max(worst, len(window) - allowed)
        return worst

    def _allowed(self, worker, begin_s, steps=40):
        """Return what a window allows; None if there is no limit in a part of it."""
        step_s = WINDOW_S / steps
        times = [begin_s + (number + 0.5) * step_s for number in range(steps)]
        limits = [self._limit_at(worker, at_s) for at_s in times]
        if None in limits:
            return None
        return SLACK_RATIO * sum(limits) * step_s + SLACK_REQUESTS

    @property
    def statuses(self):
        """Dict from int to int : number of callers by the status that they got."""
        counts = {}
        for client in self.clients:
            counts[client.status] = counts.get(client.status, 0) + 1
        return counts
