"""Load in which a part of some prompts ends each engine that begins to write on it."""

from tests.platform.endpoint_storm import CONTACT_S, EndpointStorm
from tests.platform.world import draft_bytes

__all__ = ["CONTACT_S", "COUNTED_ENDS", "FATAL_PART", "PromptStorm"]

FATAL_PART = "dead"
# An engine counts as ended by a prompt; the bounds of the rules begin at the fifth.
COUNTED_ENDS = 5
PROMPT_TOKENS = 4000


class SentRequest:
    """A request of the load, and the client that sent it."""

    def __init__(self, at_s, is_fatal, parts, client):
        self.at_s = at_s
        self.is_fatal = is_fatal
        self.parts = parts
        self.client = client

    @property
    def is_whole(self):
        return self.client.is_complete and self.client.status == 200

    @property
    def has_begun(self):
        return self.client.status == 200


class PromptStorm(EndpointStorm):
    """A deployment whose engines end under a part of a prompt and return.

    Parameters
    ----------
    routers, engines : int
    seed : int
    fatal_parts : tuple of str
    """

    def __init__(self, routers, engines, seed=1, fatal_parts=(FATAL_PART,)):
        self.fatal_parts = fatal_parts
        super().__init__(routers, 0, engines, seed)
        self.sent = []

    def arm(self, worker):
        worker.fatal_parts = frozenset(self.fatal_parts)
        worker.on_end = self.end_engine

    @property
    def engines_ever(self):
        return self.workers_ever

    def end_engine(self, engine):
        """End an engine that a prompt ends; it is back later under another name."""
        self.ended_s.append(self.network.seconds())
        self.lose(engine)

    def lose_engine(self, engine):
        """End an engine for no cause; it is back later under another name."""
        self.lose(engine)

    def send(self, parts, router=None):
        """Send a request with the given shared parts and a last part of its own."""
        number = len(self.sent)
        live = [n for n, each in enumerate(self.routers) if each is not None]
        router = self.random.choice(live) if router is None else router
        prompt = ",".join(f"{part}:200" for part in (*parts, f"a{number:06x}"))
        fields = {"X-Prompt-Prefix": prompt}
        client = self.connect(router)
        # No two are alike.
        body = b"prompt %d" % number
        client.send(draft_bytes(f"q{number}", PROMPT_TOKENS, body, **fields))
        is_fatal = bool(set(self.fatal_parts) & set(parts))
        request = SentRequest(self.network.seconds(), is_fatal, parts, client)
        self.sent.append(request)
        return request

    def send_mixed(self, seconds, rate=4.0, fatal_share=0.5):
        """Send requests at random routers, a share of them with a fatal part.

        They share their first part and some of the middle ones.
        """
        for _ in range(round(seconds * rate)):
            middle = f"b{self.random.randrange(12):02x}"
            if self.random.random() < fatal_share:
                self.send(("5c1e", self.random.choice(self.fatal_parts), middle))
            else:
                self.send(("5c1e", middle))
            self.run(1.0 / rate - 0.01)

    def refuses_everywhere(self, part=FATAL_PART):
        """Return whether all routers refuse prompts with a part."""
        return all(
            any(entry.is_active and part in entry.parts for entry in entries)
            for entries in (router._quarantine.entries for router in self.routers)
        )

    def make_harmless(self):
        """Let no part be fatal from now on."""
        self.fatal_parts = ()
        for engine in self.engines:
            engine.fatal_parts = frozenset()

    # What the engines and callers saw.

    def fatal_arrivals(self, part=FATAL_PART):
        """Return the times at which requests with a part reached engines."""
        return sorted(
            arrival.at_s
            for engine in self.engines_ever
            for arrival in engine.arrivals
            if part in arrival.parts
        )

    def late_arrivals(self, part=FATAL_PART):
        """Return how many requests with a part came after the fifth end was known."""
        if len(self.ended_s) < COUNTED_ENDS:
            return 0
        since_s = self.ended_s[COUNTED_ENDS - 1] + CONTACT_S
        return sum(at_s > since_s for at_s in self.fatal_arrivals(part))

    def ends_of(self, part):
        """Return the times at which engines ended that ran requests with a part."""
        ids = {f"q{n}" for n, sent in enumerate(self.sent) if part in sent.parts}
        return sorted(
            self.lost_s[engine.name]
            for engine in self.engines_ever
            if any(r.ended == "crashed" and r.request_id in ids for r in engine.runs)
        )

    def late_arrivals_of(self, part):
        """Return how many requests with a part came after its own fifth end was known.

        With several fatal parts, the ends of each say nothing about the others.
        """
        ends_s = self.ends_of(part)
        if len(ends_s) < COUNTED_ENDS:
            return 0
        since_s = ends_s[COUNTED_ENDS - 1] + CONTACT_S
        return sum(at_s > since_s for at_s in self.fatal_arrivals(part))

    def most_ended_by_one(self):
        """Return how many engines the worst request ended."""
        counts = {}
        for engine in self.engines_ever:
            for run in engine.runs:
                if run.request_id in self._fatal_ids() and run.ended == "crashed":
                    counts[run.request_id] = counts.get(run.request_id, 0) + 1
        return max(counts.values(), default=0)

    def _fatal_ids(self):
        return {f"q{n}" for n, sent in enumerate(self.sent) if sent.is_fatal}

    def sound(self, from_s=0.0, until_s=float("inf")):
        """Return the sound requests sent in a period."""
        sent = [each for each in self.sent if not each.is_fatal]
        return [each for each in sent if from_s <= each.at_s < until_s]
