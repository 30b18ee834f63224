"""Load in which the same request comes again and again and ends what runs it."""

import enum

from tests.platform.endpoint_storm import CONTACT_S, EndpointStorm
from tests.platform.world import request_bytes

__all__ = ["CONTACT_S", "RequestKind", "RequestStorm"]

# The bound of the rules begins at the third end.
COUNTED_ENDS = 3
QUIET_S = 2.0
STORM_S = 14.0
AFTER_S = 2.0


class RequestKind(enum.Enum):
    """Kind of all requests of a load, with the path of its route."""

    SAFE = "/look/1"
    UNSAFE = "/post/1"
    GENERATION = "/draft/1"


class SentRequest:
    """A request of the load, and the client that sent it."""

    def __init__(self, at_s, body, client):
        self.at_s = at_s
        self.body = body
        self.client = client

    @property
    def is_whole(self):
        return self.client.status == 200


class RequestStorm(EndpointStorm):
    """A deployment that gets the same fatal requests at any router.

    Parameters
    ----------
    kind : RequestKind
    routers, endpoints : int
    seed : int
    rate_per_s : float
        Requests sent.
    fatal : int
        Number of different fatal requests.
    popular_ratio : float
        Share of one sound request among the sound ones.
    """

    fatal_ratio = 0.1
    # Whether prompts of the same body share different parts with others.
    varies_prompt = True

    def __init__(
        self,
        kind,
        routers=9,
        endpoints=9,
        seed=1,
        rate_per_s=20.0,
        fatal=1,
        popular_ratio=0.0,
    ):
        self.kind = kind
        self.rate_per_s = rate_per_s
        self.fatal_bodies = tuple(b"fatal %d" % number for number in range(fatal))
        self.popular_ratio = popular_ratio
        self.sent = []
        self.ends_of = {body: [] for body in self.fatal_bodies}
        is_generation = kind is RequestKind.GENERATION
        desks, engines = (0, endpoints) if is_generation else (endpoints, 0)
        super().__init__(routers, desks, engines, seed)

    def arm(self, worker):
        worker.fatal_bodies = frozenset(self.fatal_bodies)
        worker.on_end = self.end_fatally

    def end_fatally(self, worker):
        """End a worker that runs a fatal request."""
        if not self.is_live(worker):
            return
        running = {p._run.body for p in worker.processors if not p._run.ended}
        now_s = self.network.seconds()
        for body in running & set(self.fatal_bodies):
            self.ends_of[body].append(now_s)
        self.ended_s.append(now_s)
        self.lose(worker)

    def make_harmless(self):
        """Let no request be fatal from now on."""
        self.fatal_bodies_before, self.fatal_bodies = self.fatal_bodies, ()
        for worker in (*self.desks, *self.engines):
            worker.fatal_bodies = frozenset()

    def send(self, body, router=None):
        """Send a request with its own id at a router, a random one by default."""
        live = [n for n, each in enumerate(self.routers) if each is not None]
        router = self.random.choice(live) if router is None else router
        number = len(self.sent)
        fields = {}
        if self.kind is RequestKind.GENERATION:
            parts = f"5c1e:200,{self._middle(body)}:200,{body.hex()}:200"
            fields = {
                "X-Model": "m",
                "X-Token-Usage": "600,160",
                "X-Prompt-Prefix": parts,
                "X-Deadline-Ms": "25000",
            }
        data = request_bytes(self.kind.value, f"q{number}", "POST", body, **fields)
        client = self.connect(router)
        client.send(data)
        sent = SentRequest(self.network.seconds(), body, client)
        self.sent.append(sent)
        return sent

    def _middle(self, body):
        """Return the part of a prompt that only some of the other prompts share."""
        number = self.random.randrange(12) if self.varies_prompt else len(body) % 12
        return f"b{number:02x}"

    def _next_body(self, fatal_ratio):
        if self.fatal_bodies and self.random.random() < fatal_ratio:
            return self.random.choice(self.fatal_bodies)
        if self.random.random() < self.popular_ratio:
            return b"popular"
        return b"sound %d" % len(self.sent)

    def send_mixed(self, seconds, fatal_ratio=None):
        """Send requests, a share of them fatal."""
        ratio = self.fatal_ratio if fatal_ratio is None else fatal_ratio
        for _ in range(round(seconds * self.rate_per_s)):
            self.send(self._next_body(ratio))
            self.run(1.0 / self.rate_per_s - 0.01)

    def play(self):
        """Send sound requests, then fatal ones among them, and wait for answers."""
        self.send_mixed(QUIET_S, fatal_ratio=0.0)
        self.send_mixed(STORM_S)
        self.run(AFTER_S)
        return self

    # What the workers and callers saw.

    def arrivals(self, body):
        """Return the times at which a request reached workers."""
        return sorted(
            arrival.at_s
            for worker in self.workers_ever
            for arrival in worker.arrivals
            if arrival.body == body
        )

    def late_arrivals(self, body):
        """Return how often a request came after its third end was known."""
        ends_s = self.ends_of[body]
        if len(ends_s) < COUNTED_ENDS:
            return 0
        since_s = ends_s[COUNTED_ENDS - 1] + CONTACT_S
        return sum(at_s > since_s for at_s in self.arrivals(body))

    def most_late_arrivals(self):
        return max(self.late_arrivals(body) for body in self.fatal_bodies)

    def most_ended_by_one(self):
        """Return how many workers the worst client request ended."""
        counts = {}
        for worker in self.workers_ever:
            for run in worker.runs:
                if run.body in self.ends_of and run.ended == "crashed":
                    counts[run.request_id] = counts.get(run.request_id, 0) + 1
        return max(counts.values(), default=0)

    def sound(self, from_s=0.0, until_s=float("inf")):
        """Return the sound requests sent in a period."""
        sent = [each for each in self.sent if each.body not in self.ends_of]
        return [each for each in sent if from_s <= each.at_s < until_s]

    def sound_after(self):
        """Return the sound requests sent well after the third end."""
        ends_s = max(each[:COUNTED_ENDS][-1] for each in self.ends_of.values())
        return self.sound(ends_s + 2 * CONTACT_S)
