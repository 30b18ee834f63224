"""The store loses its answers to the waiting watches once; a later change is missed."""

import os
import sys
from pathlib import Path

CASE = Path(__file__).resolve().parent
# With TROUBLE=0 the script does the same without the disruption.
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
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

from sesamearch.standin.platform_store import PlatformStoreStandin  # noqa: E402
from sesamearch.standin.platform_worker import PlatformServiceStandin  # noqa: E402

# Bounds of the settings, in seconds.
CONTACT_S = 3.0
APPLY_S = 2.0
REVOKE_S = 5.0
OUTER_S = 5.0
# Largest dose of platform_lost on the pages: share of the answers, and for how long.
LOST_SHARE = 0.35
LOST_FOR_S = 4.5
KEPT_KEY = "wsjnbanfqasnmgkcuyj8"
REMOVED_KEY = "xd9dnn2ctnfzs989anu6"
ROUNDS = 8


class LosingStore(PlatformStoreStandin):
    """A store that loses answers; a connection with a lost one returns nothing more."""

    lost = 0
    answered = 0

    def answer(self, reply, status, content):
        """Send a response, and count it."""
        self.answered += 1
        super().answer(reply, status, content)

    def lose_waiting_answers(self, prefix):
        """Lose the answers to the watches that wait for a change below a prefix."""
        for pending in list(self.pending):
            if pending.prefix == prefix:
                pending.drop()
                self.lost += 1

    def _kv_watch(self, query, body, reply):
        before = set(self.pending)
        super()._kv_watch(query, body, reply)
        for pending in self.pending - before:
            pending.prefix = query.get("prefix", "")


def make_configuration(version, service, keys):
    """Return a version in which a service gets the bookings."""
    routes = [route("book", "unsafe", service), route("read", "safe", "duct-app")]
    return configuration(version, routes, ("duct-app", "duct-app-2"), (), keys)


async def main(world):
    """Play the case; return its exit code."""
    store = world.store
    workers = {}
    for service, name, zone in (
        ("duct-app", "i-7f3a91c2", "ba-north"),
        ("duct-app-2", "i-02d9e6b4", "ba-south"),
    ):
        address = free_address()
        workers[service] = PlatformServiceStandin(reactor, name)
        serve(address, workers[service])
        world.put_worker(name, service, address, zone, born=unix_ms())
    keys = (KEPT_KEY, REMOVED_KEY)
    store.put("op/config", make_configuration(7, "duct-app", keys))
    world.add_routers(["ba-north", "ba-south", "trnava"])
    await world.wait_ready()
    await sleep(CONTACT_S)

    # The store loses its answer to each call that waits for the operator's changes.
    answered = store.answered
    if world.trouble:
        store.lose_waiting_answers("op/")
    store.put("op/config", make_configuration(8, "duct-app", keys))
    world.note(f"version 8 is acknowledged; {store.lost} answers to watches are lost")
    await sleep(LOST_FOR_S)
    answered = store.answered - answered
    share = store.lost / (store.lost + answered)
    world.note(f"{share:.2f} of the store's answers in {LOST_FOR_S} s were lost")
    if share > LOST_SHARE:
        return CANNOT_RUN

    # Long after the store is stable again, it acknowledges a further version.
    await sleep(CONTACT_S + OUTER_S - LOST_FOR_S)
    store.put("op/config", make_configuration(11, "duct-app-2", (KEPT_KEY,)))
    acknowledged_s = now_s()
    world.note(
        "version 11 is acknowledged: /book/ goes to duct-app-2, a key is removed"
    )
    await sleep(APPLY_S + 0.2)
    broken = 0
    for _ in range(ROUNDS):
        for router in world.routers:
            broken += await check(world, router, workers, acknowledged_s)
        await sleep(1.0)
    world.note(f"{broken} requests were handled as only an older version allows")
    return BROKEN if broken else HELD


async def check(world, router, workers, acknowledged_s):
    """Return how many of a router's answers only an older version allows."""
    broken = 0
    age_s = now_s() - acknowledged_s
    for key, name, from_s in (
        (KEPT_KEY, "the kept key", APPLY_S),
        (REMOVED_KEY, "the removed key", REVOKE_S),
    ):
        answer = await send(router.frontend, "POST", "/book/1", b"x", key=key)
        ran = [s for s, w in workers.items() if answer.request_id in w.served]
        right = ["duct-app-2"] if key == KEPT_KEY else []
        is_broken = age_s > from_s and ran != right
        broken += is_broken
        world.note(
            f"{router.name}, {age_s:.1f} s after the acknowledgement, {name}:"
            f" status {answer.status}, run by {ran}{' - BROKEN' if is_broken else ''}"
        )
    return broken


if __name__ == "__main__":
    run(World(CASE, TROUBLE, LosingStore(reactor)), main)
