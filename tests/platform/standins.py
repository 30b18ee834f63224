"""Stand-ins of the platform on loopback: the store, two plain workers, and engines.

Run as ``python -m tests.platform.standins [--configuration FILE] [--slots SLOTS]
[--large PATH=BYTES] STORE DESK DESK ENGINE ...``, where every argument is an address.
Prints a line once it listens. The file holds the operators' configuration as JSON; the
plain workers answer requests for PATH with so many bytes.
"""

import argparse
import json
from pathlib import Path

from sesamearch.base.reactor import install_steady_reactor

reactor = install_steady_reactor()

from sesamearch.base.listener import listen_tcp  # noqa: E402
from sesamearch.standin.platform_store import PlatformStoreStandin  # noqa: E402
from sesamearch.standin.platform_worker import (  # noqa: E402
    PlatformEngineStandin,
    PlatformServiceStandin,
)
from sesamearch.wire.caller import CallerFactory, CallerLimits  # noqa: E402
from tests.platform.world import make_configuration  # noqa: E402

DESKS = 2
DEFAULT_SLOTS = 12


def serve(address, handler):
    factory = CallerFactory(reactor, handler, CallerLimits, lambda status, detail: None)
    listen_tcp(reactor, address, factory)


def read_configuration(path):
    return json.loads(Path(path).read_text()) if path else make_configuration()


def read_answer_bytes(text):
    path, _, size = text.rpartition("=")
    return {path: int(size)} if path else {}


def main(addresses, configuration, slots, answer_bytes):
    store = PlatformStoreStandin(reactor)
    serve(addresses[0], store)
    store.put("op/config", configuration)
    neighbours = {}
    for number, address in enumerate(addresses[1:]):
        is_desk = number < DESKS
        kind, service = (
            (PlatformServiceStandin, "desk")
            if is_desk
            else (PlatformEngineStandin, "models")
        )
        worker = kind(reactor, f"worker-{number}", slots=slots)
        if is_desk:
            worker.answer_bytes = answer_bytes
        else:
            worker.neighbours = neighbours
            neighbours[address] = worker
        serve(address, worker)
        entry = {
            "service": service,
            "address": address,
            "zone": "east" if number % 2 == 0 else "west",
            "version": "v1",
            "slots": slots,
            "state": "ready",
            "cold-left-ms": 0,
            "sequence": 1,
        }
        store.put(f"servers/{worker.name}", entry)
    reactor.callWhenRunning(lambda: print("listening", flush=True))
    reactor.run()


if __name__ == "__main__":
    parser = argparse.ArgumentParser()
    parser.add_argument("--configuration", default="")
    parser.add_argument("--slots", type=int, default=DEFAULT_SLOTS)
    parser.add_argument("--large", default="", metavar="PATH=BYTES")
    parser.add_argument("addresses", nargs="+")
    arguments = parser.parse_args()
    main(
        arguments.addresses,
        read_configuration(arguments.configuration),
        arguments.slots,
        read_answer_bytes(arguments.large),
    )
