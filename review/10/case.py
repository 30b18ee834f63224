"""A part of a prompt crashes each engine that begins to write on it."""

import random
import sys
from pathlib import Path

CASE = Path(__file__).resolve().parent
sys.path.insert(0, str(CASE.parent))

from lib2.world import (  # noqa: E402
    BROKEN,
    CANNOT_RUN,
    HELD,
    World,
    configuration,
    free_address,
    now_s,
    reactor,
    route,
    run,
    send,
    serve,
    sleep,
    unix_ms,
)
from twisted.internet.defer import Deferred  # noqa: E402

from sesamearch.standin.platform_worker import PlatformEngineStandin  # noqa: E402
from sesamearch.wire.head import first_value  # noqa: E402

ENGINES = 9
CONTACT_S = 3.0
# "The worker is back after some seconds."
DOWN_S = 3.0
EXPIRY_S = 3.6
ALLOWED_LATE = 3
FIRST_CRASHES = 5
SYSTEM_PART = "5c1e07a2"
FATAL_PART = "91bd3f06"
SOUND_PER_S = 3.0
# When requests with the fatal part come, and how many at once, each at some machine.
FATAL_REQUESTS = ((0.0, 1), (11.0, 1), (15.2, 4), (20.0, 4))


class Fleet:
    """The engines; one that crashes is back later under a new id."""

    def __init__(self, world):
        self.world = world
        self.neighbours = {}
        self.starts = 0
        self.crashes_s = []
        self.arrivals = []
        for number in range(ENGINES):
            self.start(number, free_address())

    def start(self, number, address):
        """Start an engine at an address, under a new id."""
        self.starts += 1
        name = f"i-{number}-{self.starts}"
        engine = PlatformEngineStandin(reactor, name, slots=64)
        engine.prefill_tokens_per_s = 8000.0
        engine.neighbours = self.neighbours
        engine.ends_after_head = False
        if self.world.trouble:
            engine.fatal_parts = frozenset([FATAL_PART])
        self.neighbours[address] = engine
        fleet = self

        def handle(head, body, reply):
            prompt = first_value(head.headers, b"x-prompt-prefix") or b""
            if FATAL_PART.encode() in prompt:
                fleet.arrivals.append((now_s(), name))
            engine(head, body, reply)

        port, factory = serve(address, handle)
        zone = ("ba-north", "ba-south", "trnava")[number % 3]
        self.world.put_worker(
            name, "sesame-pool", address, zone, slots=64, born=unix_ms()
        )

        def end(crashed):
            self.crashes_s.append(now_s())
            self.world.note(f"crash {len(self.crashes_s)}: {name}")
            crashed.crash()
            port.stopListening()
            for connection in list(factory.connections):
                connection.abort()
            reactor.callLater(EXPIRY_S, self.world.store.remove, f"servers/{name}")
            reactor.callLater(DOWN_S, self.start, number, address)

        engine.on_end = end


def ask(world, rng, parts, prompt_tokens):
    """Send a generation to a router at random."""
    router = rng.choice(world.routers)
    headers = [
        ("X-Model", "m"),
        ("X-Token-Usage", f"{prompt_tokens},80"),
        ("X-Prompt-Prefix", ",".join(f"{name}:{size}" for name, size in parts)),
    ]
    body = b"%032x" % rng.getrandbits(128)
    return send(router.frontend, "POST", "/brief/1", body, headers, deadline_ms=25000)


async def sound_load(world, rng, until_s, answers):
    """Send sound requests until a time; they share the first part."""
    while now_s() < until_s:
        own = f"{rng.getrandbits(32):08x}"
        done = ask(world, rng, [(SYSTEM_PART, 200), (own, 200)], 400)
        done.addCallback(answers.append)
        await sleep(rng.expovariate(SOUND_PER_S))


async def main(world):
    """Play the case; return its exit code."""
    rng = random.Random(11)
    fleet = Fleet(world)
    routes = [route("brief", "streaming", "sesame-pool")]
    world.store.put("op/config", configuration(7, routes, (), ("sesame-pool",)))
    world.add_routers(["ba-north", "ba-south", "trnava"])
    await world.wait_ready()
    await sleep(5.0)
    sound, fatal = [], []
    until_s = now_s() + 5.0 + FATAL_REQUESTS[-1][0] + 8.0
    load = Deferred.fromCoroutine(sound_load(world, rng, until_s, sound))
    await sleep(5.0)
    if sum(answer.status == 200 for answer in sound) < 8:
        return CANNOT_RUN
    first_s = now_s()
    for at_s, count in FATAL_REQUESTS:
        await sleep(first_s + at_s - now_s())
        world.note(f"{count} requests with the fatal part are sent")
        for _ in range(count):
            own = f"{rng.getrandbits(32):08x}"
            parts = [(SYSTEM_PART, 100), (FATAL_PART, 100), (own, 200)]
            ask(world, rng, parts, 400).addCallback(fatal.append)
    await load
    await sleep(1.0)
    statuses = [answer.status for answer in fatal]
    world.note(f"answers to them: {statuses}")
    served = sum(answer.status == 200 for answer in sound)
    world.note(f"{served} of {len(sound)} sound requests were answered with 200")
    if len(fleet.crashes_s) < FIRST_CRASHES:
        world.note(f"{len(fleet.crashes_s)} crashes")
        return HELD
    from_s = fleet.crashes_s[FIRST_CRASHES - 1] + CONTACT_S
    late = [at_s for at_s, _ in fleet.arrivals if at_s > from_s]
    world.note(
        f"{len(fleet.crashes_s)} crashes; {len(late)} requests with the part reached"
        f" engines later than {CONTACT_S:.0f} s after the fifth; {ALLOWED_LATE} may"
    )
    return BROKEN if len(late) > ALLOWED_LATE else HELD


if __name__ == "__main__":
    run(World(CASE), main)
