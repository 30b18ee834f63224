"""Stand-ins of the platform on loopback: store, two plain workers, three engines.

Run as a process: ``python -m tests.platform.standins STORE DESK DESK ENGINE ...`` with
addresses. It prints a line when it listens.
"""

import sys

from sesamearch.base.reactor import install_monotonic_reactor

reactor = install_monotonic_reactor()

from sesamearch.base.listener import listen_tcp  # noqa: E402
from sesamearch.standin.platform_store import PlatformStoreStandin  # noqa: E402
from sesamearch.standin.platform_worker import (  # noqa: E402
    EngineStandin,
    ServiceStandin,
)
from sesamearch.wire.caller import CallerFactory, CallerLimits  # noqa: E402
from tests.platform.world import make_configuration  # noqa: E402

DESKS = 2


def serve(address, handler):
    factory = CallerFactory(reactor, handler, CallerLimits, lambda status, detail: None)
    listen_tcp(reactor, address, factory)


def main(addresses):
    store = PlatformStoreStandin(reactor)
    serve(addresses[0], store)
    store.put("op/config", make_configuration())
    neighbours = {}
    for number, address in enumerate(addresses[1:]):
        is_desk = number < DESKS
        kind, service = (
            (ServiceStandin, "desk") if is_desk else (EngineStandin, "models")
        )
        worker = kind(reactor, f"worker-{number}", slots=12)
        if not is_desk:
            worker.neighbours = neighbours
            neighbours[address] = worker
        serve(address, worker)
        entry = {
            "service": service,
            "address": address,
            "zone": "east" if number % 2 == 0 else "west",
            "version": "v1",
            "slots": 12,
            "state": "ready",
        }
        store.put(f"servers/{worker.name}", entry)
    reactor.callWhenRunning(lambda: print("listening", flush=True))
    reactor.run()


if __name__ == "__main__":
    main(sys.argv[1:])
