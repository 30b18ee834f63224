"""Cost of a token that goes through two routers, against one through one.

Run ``python -m bench.proxy``.
"""

import gc
import resource
import sys
import time

from tests.platform.path_storm import PathStorm
from tests.platform.world import draft_bytes, request_bytes

from bench.micro import print_figure
from sesamearch.standin.network import PathFault

STREAMS = 20
EVENTS = 400
EVENT_INTERVAL_S = 0.01
# The virtual clock advances in steps, so each interval is up to half longer.
DURATION_S = 2 * EVENTS * EVENT_INTERVAL_S
SETTLE_S = 3.0
FLEETS = (2, 9, 40, 195)


def _make_storm(routers):
    storm = PathStorm(routers, desks=2, engines=2)
    for engine in storm.engines:
        engine.slots = 2 * STREAMS
        engine.events = EVENTS
        engine.event_interval_s = EVENT_INTERVAL_S
    storm.run(SETTLE_S)
    return storm


def _time_s(storm, seconds):
    gc.collect()
    begun_s = time.process_time()
    storm.run(seconds)
    return time.process_time() - begun_s


def _time_streams(storm, connect):
    """Return the CPU time of all streams and the bytes that their callers received."""
    clients = [
        connect(number).send(draft_bytes(f"s{number}", 80, X_Deadline_Ms="60000"))
        for number in range(STREAMS)
    ]
    spent_s = _time_s(storm, DURATION_S)
    received = sum(len(client.received) for client in clients)
    if not all(client.is_complete for client in clients):
        sys.exit("a stream was not complete")
    return spent_s, received


def bench_fleet(routers):
    """Measure streams without a router, through one and through two."""
    storm = _make_storm(routers)
    idle_s = _time_s(storm, DURATION_S)
    one_s, received = _time_streams(storm, lambda number: storm.connect(0))
    storm.cut_off([0], (PathFault.RESET,))
    for number in range(6):
        storm.connect(0).send(request_bytes("/look/1", f"w{number}"))
        storm.connect(0).send(draft_bytes(f"x{number}", 80))
        storm.run(0.2)
    storm.run(DURATION_S)
    before = storm.routers[0].counters.proxied
    two_s, _ = _time_streams(storm, lambda number: storm.connect(0))
    proxied = storm.routers[0].counters.proxied - before
    if proxied != STREAMS:
        sys.exit(f"{proxied} of {STREAMS} streams went through two routers")
    tokens = STREAMS * EVENTS
    one_us = (one_s - idle_s) / tokens * 1e6
    two_us = (two_s - idle_s) / tokens * 1e6
    print_figure(
        "proxied_event",
        round(two_us / one_us, 2),
        "times",
        "<= 2.2",
        routers=routers,
        one_us=round(one_us, 1),
        two_us=round(two_us, 1),
        bytes_per_event=round(received / tokens),
        resident_mb=resource.getrusage(resource.RUSAGE_SELF).ru_maxrss // 1024,
    )


def main():
    """Measure fleets of several sizes."""
    for routers in FLEETS:
        bench_fleet(routers)


if __name__ == "__main__":
    main()
