"""In-process benchmarks: claims, placement, requests and the peer link."""

import contextlib
import json
import time

from tests.callers.test_gateway import GatewayTestCase
from tests.membership.test_claim_relay import RelayWorld
from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectionDone
from twisted.internet.task import Clock, react
from twisted.python.failure import Failure

from bench import peers
from sesamearch.configuration.blackboard import Blackboard, Counters, Endpoint
from sesamearch.operation.claim import (
    Claim,
    ClaimState,
    ClaimWriter,
    claim_key,
    new_claim_id,
)
from sesamearch.replay.process import Process
from sesamearch.replay.store import FakeStore, StoreFaults
from sesamearch.routing.placement import Placement

STORE_LATENCY_S = 0.004
STEP_S = 0.001


def print_figure(name, value, unit, target="", **more):
    """Print one figure as a line of JSON."""
    line = {"figure": name, "value": value, "unit": unit, "target": target, **more}
    print(json.dumps(line), flush=True)


def bench_claims():
    """Measure claim writes per operation and claim latency at several request rates."""
    for rate in (1, 10, 100, 1000, 5000):
        clock = Clock()
        counters = Counters()
        store = FakeStore(Process(clock, "r1"), StoreFaults(clock), STORE_LATENCY_S)
        writer = ClaimWriter(store, clock, counters)
        count = max(5, rate)
        latencies_s = []

        def add_claim(number, clock=clock, writer=writer, latencies_s=latencies_s):
            begun_s = clock.seconds()
            claim = Claim(new_claim_id(), "r1", "f", ClaimState.CLAIMED, 0)

            def settle_claim(outcome):
                latencies_s.append(clock.seconds() - begun_s)
                writer.settle(outcome.held_claim, ClaimState.DONE)

            key = claim_key("s", "o", str(number))
            writer.claim(key, claim, 3600.0).addCallback(settle_claim)

        for number in range(count):
            clock.callLater(number / rate, add_claim, number)
        begun_s = time.process_time()
        clock.pump([STEP_S] * int((count / rate + 1) / STEP_S))
        cpu_us = (time.process_time() - begun_s) / count * 1e6
        latencies_s.sort()
        print_figure(
            "claim_writes_per_operation",
            round(counters.claim_writes / count, 3),
            "writes/operation",
            rate_per_s=rate,
            latency_p95_ms=round(latencies_s[int(count * 0.95)] * 1000, 1),
            cpu_us_with_fake_store=round(cpu_us),
        )


def bench_claim_relay():
    """Measure a data centre's claim writes by number of routers, at a fixed rate."""
    rate, seconds = 330, 3
    for routers in (1, 9, 40, 160):
        world = RelayWorld(routers, data_centres=8)
        for number in range(rate * seconds):
            name = world.names[number % routers]
            world.clock.callLater(number / rate, world.claim, name, str(number))
        world.advance(seconds + 1)
        print_figure(
            "claim_writes_of_a_data_centre",
            round(world.writes / seconds, 1),
            "writes/s",
            "<= 25",
            routers=routers,
            operations_per_s=rate,
        )


def bench_placement():
    """Measure the time of one placement choice by number of endpoints."""
    for workers in (7, 700, 6900):
        board = Blackboard()
        placement = Placement(board, "dc0", Clock())
        board.endpoints.write(
            {
                f"e{n}": Endpoint(f"e{n}", "a", f"dc{n % 8}", f"m{n % 4}", "v1")
                for n in range(workers)
            }
        )
        rounds = 200
        begun_s = time.perf_counter()
        for _ in range(rounds):
            placement.choose("m1", "v1", set())
        us = (time.perf_counter() - begun_s) / rounds * 1e6
        print_figure("placement", round(us, 1), "us/choice", "flat", workers=workers)


def bench_requests():
    """Measure the CPU time of a complete one-token request, without sockets."""
    case = GatewayTestCase()
    case.setUp()
    rounds = 500
    begun_s = time.process_time()
    for number in range(rounds):
        connection = case.post_completion(stream=True)
        case.engines.opened[number].send(0)
        case.engines.opened[number].finish(1)
        connection.protocol.connectionLost(Failure(ConnectionDone()))
    us = (time.process_time() - begun_s) / rounds * 1e6
    print_figure("request_without_sockets", round(us), "us/request")


def bench_peers():
    """Measure CPU use and sent bytes of the peer link by number of routers."""

    async def run(reactor):
        for count in (4, 8, 16, 32):
            known, cpu_ratio, bytes_per_s = await peers.measure(count)
            print_figure(
                "peer_link_cpu",
                round(cpu_ratio * 100, 3),
                "% of a core",
                "<= 4.6 for all control traffic",
                routers=count,
                members_known=known,
                sent_bytes_per_s=round(bytes_per_s),
            )

    # ``react`` ends by raising SystemExit.
    with contextlib.suppress(SystemExit):
        react(lambda reactor: Deferred.fromCoroutine(run(reactor)))


BENCHES = {
    "claims": bench_claims,
    "claim-relay": bench_claim_relay,
    "placement": bench_placement,
    "requests": bench_requests,
    "peers": bench_peers,
}
