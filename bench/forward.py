"""In-process benchmarks of endpoint choice and of the fleet's control messages."""

import random
import time

from tests.forwarding.test_choice import NEED
from tests.membership.test_fleet import FleetWorld

from bench.micro import print_figure
from sesamearch.configuration.blackboard import Blackboard, Endpoint
from sesamearch.forwarding.choice import Chooser
from sesamearch.forwarding.dispatcher import ForwardCounters
from sesamearch.forwarding.endpoint_index import EndpointIndex
from sesamearch.forwarding.gate import OpenGate
from sesamearch.forwarding.health import HealthTracker
from sesamearch.forwarding.limits import LimitTracker
from sesamearch.forwarding.load import EndpointLoad, LoadTracker
from sesamearch.forwarding.outage import OutageDetector
from sesamearch.forwarding.pauses import PauseTracker
from sesamearch.forwarding.permits import NoPermits
from sesamearch.routing.table import EngineTraits

ENGINE = EngineTraits(12, 88_000, 8, supports_backups=True)
ROUNDS = 2000
MEASURED_DURATION_S = 4
DATA_CENTRES = 4


class _Clock:
    def seconds(self):
        return 1.0


def _make_chooser(engines, routers):
    clock = _Clock()
    board, health, loads = Blackboard(), HealthTracker(clock), LoadTracker(clock)
    chooser = Chooser(
        EndpointIndex(board, health),
        loads,
        health,
        "dc-0",
        OpenGate(),
        OutageDetector(None, clock, lambda: board.endpoints.value, random.Random(1)),
        PauseTracker(clock, ForwardCounters(), random.Random(1)),
        LimitTracker(clock, ForwardCounters()),
        NoPermits(),
        random.Random(1),
    )
    endpoints = [
        Endpoint(
            f"e{n}", f"10.0.0.{n}:1", f"dc-{n % DATA_CENTRES}", "m", "v1", slots=12
        )
        for n in range(engines)
    ]
    board.endpoints.write({each.name: each for each in endpoints})
    for router in range(routers):
        names = [f"e{(router * 7 + n) % engines}" for n in range(2)]
        loads.update(f"r{router}", {name: EndpointLoad(1, 0, 9000) for name in names})
    return chooser, endpoints, loads


def _time_us(function):
    begun_s = time.process_time()
    for _ in range(ROUNDS):
        function()
    return (time.process_time() - begun_s) / ROUNDS * 1e6


def bench_decisions():
    """Measure the CPU time of endpoint choices and of the update of a peer's load."""
    for engines, routers in ((18, 8), (60, 83), (690, 162)):
        chooser, endpoints, loads = _make_chooser(engines, routers)
        size = {"engines": engines, "routers": routers}
        functions = {
            "choose_engine": lambda c=chooser: c.for_generation("m", ENGINE, NEED, "r"),
            "choose_keeper": lambda c=chooser, e=endpoints: c.for_backup(
                e[0], ENGINE, NEED, "r"
            ),
            "choose_call": lambda c=chooser: c.for_call("m", "r"),
            "hear_news": lambda x=loads: x.update(
                "r1", {"e1": EndpointLoad(1, 0, 9000)}
            ),
        }
        for name, function in functions.items():
            target = "<= 200" if name.startswith("choose") else ""
            print_figure(name, round(_time_us(function), 1), "us", target, **size)


def bench_fleet():
    """Measure the control traffic of idle routers, relays apart from the others."""
    for routers in (9, 30, 83):
        world = FleetWorld(routers)
        world.run(6)
        before = _count_traffic(world)
        world.run(MEASURED_DURATION_S)
        after = _count_traffic(world)
        for is_relay in (False, True):
            names = [n for n in after if after[n][0] is is_relay and n in before]
            if names:
                _print_rates(routers, is_relay, [(before[n], after[n]) for n in names])


def _count_traffic(world):
    """Return by router whether it is a relay, its messages and its sent bytes."""
    counts = {}
    for link in world.links():
        sockets = world.sockets[link.member_list.own.address]
        messages = sockets.sent_messages + sockets.received_messages
        counts[link.member_list.own.name] = (
            link.is_relay,
            messages,
            sockets.sent_bytes,
        )
    return counts


def _print_rates(routers, is_relay, pairs):
    role = "relay" if is_relay else "router"
    size = {"routers": routers, "role": role}
    messages = [(b[1] - a[1]) / MEASURED_DURATION_S for a, b in pairs]
    sent_bytes = [(b[2] - a[2]) / MEASURED_DURATION_S for a, b in pairs]
    print_figure(
        "control_messages", round(sum(messages) / len(messages), 1), "1/s", **size
    )
    print_figure(
        "control_sent", round(sum(sent_bytes) / len(sent_bytes)), "bytes/s", **size
    )


BENCHES = {"decisions": bench_decisions, "fleet": bench_fleet}
