"""A stand-in as a process: ``python -m soak.standin store|desk|models ...``."""

import sys

from sesamearch.base.reactor import install_monotonic_reactor

reactor = install_monotonic_reactor()

import msgspec  # noqa: E402
from twisted.internet.stdio import StandardIO  # noqa: E402
from twisted.internet.task import LoopingCall  # noqa: E402
from twisted.protocols.basic import LineOnlyReceiver  # noqa: E402

from sesamearch.base.listener import listen_tcp  # noqa: E402
from sesamearch.platform.store import PlatformStore  # noqa: E402
from sesamearch.standin.platform_store import PlatformStoreStandin  # noqa: E402
from sesamearch.standin.platform_worker import (  # noqa: E402
    EngineStandin,
    ServiceStandin,
)
from sesamearch.store.store import Put  # noqa: E402
from sesamearch.wire.caller import CallerFactory, CallerLimits  # noqa: E402
from soak.note import Acknowledged, Order, RunBegan, RunEnded, encode  # noqa: E402
from soak.plan import EVENTS  # noqa: E402

LEASE_S = 2.5
HEARTBEAT_S = 0.8
SLOTS = 8


def tell(note):
    """Write one note to the soak."""
    sys.stdout.buffer.write(encode(note) + b"\n")
    sys.stdout.buffer.flush()


class _Orders(LineOnlyReceiver):
    """Orders of the soak, a line each; its end is the process's end."""

    delimiter = b"\n"

    def __init__(self, take):
        self._take = take

    def lineReceived(self, line):
        self._take(msgspec.json.decode(line, type=Order))

    def connectionLost(self, reason):
        if reactor.running:
            reactor.stop()


class _Telling:
    """Tells the soak of each run."""

    service = ""

    def make_work(self, run, head, reply, headers):
        began = RunBegan(
            self.name,
            self.service,
            run.number,
            run.request_id,
            run.path,
            run.organisation,
            run.body.decode(),
            run.after_event,
            self.clock.seconds(),
        )
        tell(began)
        return super().make_work(run, head, reply, headers)

    def ended(self, run, how):
        if not run.ended:
            tell(RunEnded(self.name, run.number, how, self.clock.seconds()))
        super().ended(run, how)


class _Desk(_Telling, ServiceStandin):
    service = "desk"


class _Engine(_Telling, EngineStandin):
    service = "models"


class _Registration:
    """Keeps an endpoint's entry in the store while its process runs."""

    def __init__(self, endpoint, address, zone, store_address):
        self._endpoint = endpoint
        self._address = address
        self._zone = zone
        self._store = PlatformStore(reactor, store_address)
        self._lease = 0
        self.state = "ready"
        self._told = ""
        self._loop = LoopingCall(self._beat)
        self._loop.clock = reactor

    def start(self):
        self._loop.start(HEARTBEAT_S)

    def change(self, state):
        """Write another state."""
        self.state = state
        if not self._loop.running:
            self._loop.start(HEARTBEAT_S)

    async def _renew(self):
        if self._lease:
            kept = await self._store.renew_lease(self._lease)
            if kept.is_err() or not kept.unwrap():
                self._lease = 0
                self._told = ""
        if not self._lease:
            granted = await self._store.grant_lease(LEASE_S)
            self._lease = granted.unwrap_or(0)

    async def _beat(self):
        await self._renew()
        if not self._lease or self._told == self.state:
            return
        state = self.state
        entry = {
            "service": self._endpoint.service,
            "address": self._address,
            "zone": self._zone,
            "version": "v1",
            "slots": SLOTS,
            "state": state,
        }
        key = f"servers/{self._endpoint.name}".encode()
        put = Put(key, msgspec.json.encode(entry), self._lease)
        written = await self._store.txn([], [put])
        if written.is_ok() and written.unwrap().succeeded:
            self._told = state
            tell(Acknowledged(self._endpoint.name, state, reactor.seconds()))


def listen(address, handler):
    """Serve a stand-in's interface."""
    factory = CallerFactory(reactor, handler, CallerLimits, lambda status, detail: None)
    listen_tcp(reactor, address, factory)


def run_store(address):
    """Be the store."""
    store = PlatformStoreStandin(reactor)

    def take(order):
        if order.refusal is not None:
            store.refusal = order.refusal
        if order.is_silent is not None:
            store.is_silent = order.is_silent
        if order.lost_answers is not None:
            store.lost_answers += order.lost_answers
        if order.forgets:
            store.forget_history()

    listen(address, store)
    return take


def run_endpoint(kind, name, address, public_address, zone, store_address):
    """Be an endpoint, known by the address of its proxy."""
    if kind == "desk":
        endpoint = _Desk(reactor, name, SLOTS)
    else:
        endpoint = _Engine(reactor, name, SLOTS, EVENTS)
    registration = _Registration(endpoint, public_address, zone, store_address)

    def take(order):
        if order.fault is not None:
            endpoint.fault = order.fault
        if order.status is not None:
            endpoint.status = order.status
        if order.state is not None:
            registration.change(order.state)

    listen(address, endpoint)
    reactor.callWhenRunning(registration.start)
    return take


def main(arguments):
    """Run one stand-in until the soak closes its input."""
    kind, *rest = arguments
    take = run_store(*rest) if kind == "store" else run_endpoint(kind, *rest)
    StandardIO(_Orders(take), reactor=reactor)
    reactor.run()


if __name__ == "__main__":
    main(sys.argv[1:])
