"""Load in which a part of some prompts ends each engine that begins to write on it."""

import random

from sesamearch.configuration.platform_settings import PlatformBounds
from tests.platform.world import World, draft_bytes

FATAL_PART = "dead"
RESTART_S = 4.0
# The store drops the entry of an engine that ended after this time.
ENTRY_LIFETIME_S = 2.0
# An engine counts as ended by a prompt; the bounds of the rules begin at the fifth.
COUNTED_ENDS = 5
CONTACT_S = 3.0
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


class PromptStorm(World):
    """A deployment whose engines end under a part of a prompt and return.

    Parameters
    ----------
    routers, engines : int
    seed : int
    fatal_parts : tuple of str
    """

    bounds = PlatformBounds()

    def __init__(self, routers, engines, seed=1, fatal_parts=(FATAL_PART,)):
        self._starts = {}
        super().__init__(routers, 0, engines)
        self.random = random.Random(seed)
        self.fatal_parts = fatal_parts
        self.sent = []
        self.ended_s = []
        self.lost_s = {}
        self.engines_ever = list(self.engines)
        for engine in self.engines:
            self._arm(engine)

    def _arm(self, engine):
        engine.events = 40
        engine.fatal_parts = frozenset(self.fatal_parts)
        engine.on_end = self.end_engine

    def end_engine(self, engine):
        """End an engine that a prompt ends; it is back later under another name."""
        self.ended_s.append(self.network.seconds())
        self.lose_engine(engine)

    def lose_engine(self, engine):
        """End an engine for no cause; it is back later under another name."""
        self.lost_s[engine.name] = self.network.seconds()
        self.crash(engine)
        self.network.reset(engine.address)
        self.engines.remove(engine)
        self.network.callLater(
            ENTRY_LIFETIME_S, self.store.remove, f"servers/{engine.name}"
        )
        self.network.callLater(RESTART_S, self._start_again, engine)

    def _start_again(self, engine):
        number = int(engine.address.split(":")[0].rpartition(".")[2]) - 1
        starts = self._starts[number] = self._starts.get(number, 0) + 1
        later = type(engine)(self.network, f"engine-{number}-{starts}")
        later.address = engine.address
        later.neighbours = self.engines_by_address
        self.engines_by_address[later.address] = later
        later.factory = self._serve(later.address, later)
        later.ends_after_head = engine.ends_after_head
        later.prefill_tokens_per_s = engine.prefill_tokens_per_s
        later.slots = engine.slots
        self._arm(later)
        self.update_entry(later, "models", number)
        self.engines.append(later)
        self.engines_ever.append(later)

    def send(self, parts, router=None):
        """Send a request with the given shared parts and a last part of its own."""
        number = len(self.sent)
        live = [n for n, each in enumerate(self.routers) if each is not None]
        router = self.random.choice(live) if router is None else router
        prompt = ",".join(f"{part}:200" for part in (*parts, f"a{number:06x}"))
        fields = {"X-Prompt-Prefix": prompt}
        client = self.connect(router)
        client.send(draft_bytes(f"q{number}", PROMPT_TOKENS, **fields))
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

    def make_harmless(self):
        """Let no part be fatal from now on."""
        self.fatal_parts = ()
        for engine in self.engines:
            engine.fatal_parts = frozenset()

    def lose_at_random(self, seconds, per_s):
        """Schedule ends of random engines for no cause."""
        for _ in range(round(seconds * per_s)):
            at_s = self.random.uniform(0.0, seconds)
            self.network.callLater(at_s, self._lose_any)

    def _lose_any(self):
        if len(self.engines) > 1:
            self.lose_engine(self.random.choice(self.engines))

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
