"""Run one stand-in process: ``python -m soak.standin store|desk|models ...``."""

import os
import sys

from sesamearch.base.reactor import install_steady_reactor

# Must precede all imports of ``twisted.internet.reactor``. Times from all processes
# of a run are compared, so each uses the time since the boot.
reactor = install_steady_reactor()

import msgspec  # noqa: E402
from twisted.internet.stdio import StandardIO  # noqa: E402
from twisted.internet.task import LoopingCall  # noqa: E402
from twisted.protocols.basic import LineOnlyReceiver  # noqa: E402

from sesamearch.base.listener import listen_tcp  # noqa: E402
from sesamearch.platform.store import PlatformStore  # noqa: E402
from sesamearch.standin.platform_store import PlatformStoreStandin  # noqa: E402
from sesamearch.standin.platform_worker import (  # noqa: E402
    PlatformEngineStandin,
    PlatformServiceStandin,
)
from sesamearch.store.store import Put  # noqa: E402
from sesamearch.wire.caller import CallerFactory, CallerLimits  # noqa: E402
from sesamearch.wire.head import first_value  # noqa: E402
from soak.note import (  # noqa: E402
    Acknowledged,
    Command,
    LimitedArrival,
    LimitNamed,
    RunBegan,
    RunEnded,
    encode,
)
from soak.plan import EVENTS_PER_GENERATION, FATAL_BODY, FATAL_PART  # noqa: E402

LEASE_TTL_S = 2.5
HEARTBEAT_INTERVAL_S = 0.8
SLOTS = 8


def send_note(note):
    """Write a note to standard output, from which the soak reads it."""
    sys.stdout.buffer.write(encode(note) + b"\n")
    sys.stdout.buffer.flush()


class _CommandReceiver(LineOnlyReceiver):
    """Receives commands of the soak; stops the process when its input closes."""

    delimiter = b"\n"

    def __init__(self, apply_command):
        self._apply_command = apply_command

    def lineReceived(self, line):
        self._apply_command(msgspec.json.decode(line, type=Command))

    def connectionLost(self, reason):
        if reactor.running:
            reactor.stop()


class _RunReporter:
    """Mixin of stand-in workers that sends a note at the start and end of each run.

    While it names a limit, it also sends one for each request that reaches it.
    """

    service = ""

    def name_limit(self, limit):
        self.limit = limit
        if limit:
            send_note(LimitNamed(self.name, float(limit), self.clock.seconds()))

    def handle(self, head, body, reply):
        if self.limit:
            request_id = (first_value(head.headers, b"x-attempt-id") or b"").decode()
            send_note(LimitedArrival(self.name, request_id, self.clock.seconds()))
        super().handle(head, body, reply)

    def make_processor(self, run, head, reply, headers):
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
        send_note(began)
        return super().make_processor(run, head, reply, headers)

    def ended(self, run, how):
        if not run.ended:
            send_note(RunEnded(self.name, run.number, how, self.clock.seconds()))
        super().ended(run, how)

    def end(self):
        """End the process, as a fatal prompt or request does."""
        self.crash()
        os._exit(1)


class _DeskService(_RunReporter, PlatformServiceStandin):
    service = "desk"


class _Engine(_RunReporter, PlatformEngineStandin):
    service = "models"


class _Registration:
    """Registers an endpoint in the store under a lease, which heartbeats renew."""

    def __init__(self, endpoint, address, zone, store_address):
        self._endpoint = endpoint
        self._address = address
        self._zone = zone
        self._store = PlatformStore(reactor, store_address)
        self._lease = 0
        self.state = "ready"
        self._acknowledged_state = ""
        self._loop = LoopingCall(self._send_heartbeat)
        self._loop.clock = reactor

    def start(self):
        self._loop.start(HEARTBEAT_INTERVAL_S)

    def set_state(self, state):
        """Change the registered state."""
        self.state = state
        if not self._loop.running:
            self._loop.start(HEARTBEAT_INTERVAL_S)

    async def _ensure_lease(self):
        if self._lease:
            renewed = await self._store.renew_lease(self._lease)
            if renewed.is_err() or not renewed.unwrap():
                self._lease = 0
                self._acknowledged_state = ""
        if not self._lease:
            granted = await self._store.grant_lease(LEASE_TTL_S)
            self._lease = granted.unwrap_or(0)

    async def _send_heartbeat(self):
        await self._ensure_lease()
        if not self._lease or self._acknowledged_state == self.state:
            return
        state = self.state
        entry = {
            "service": self._endpoint.service,
            "address": self._address,
            "zone": self._zone,
            "version": "v1",
            "slots": SLOTS,
            "state": state,
            "cold-left-ms": 0,
            "sequence": 1,
        }
        key = f"servers/{self._endpoint.name}".encode()
        put = Put(key, msgspec.json.encode(entry), self._lease)
        written = await self._store.txn([], [put])
        if written.is_ok() and written.unwrap().succeeded:
            self._acknowledged_state = state
            send_note(Acknowledged(self._endpoint.name, state, reactor.seconds()))


def listen(address, handler):
    """Accept HTTP connections for a stand-in."""
    factory = CallerFactory(reactor, handler, CallerLimits, lambda status, detail: None)
    listen_tcp(reactor, address, factory)


def run_store(address):
    """Start a stand-in store; return the function that applies commands to it."""
    store = PlatformStoreStandin(reactor)

    def apply_command(command):
        if command.refusal is not None:
            store.refusal = command.refusal
        if command.is_silent is not None:
            store.is_silent = command.is_silent
        if command.lost_answers is not None:
            store.lost_answers += command.lost_answers
            store.lose_watch_answers()
        if command.forgets:
            store.discard_history()

    listen(address, store)
    return apply_command


def run_endpoint(kind, name, address, public_address, zone, store_address):
    """Start a stand-in endpoint, registered under the address of its proxy.

    Parameters
    ----------
    kind : str
        ``desk`` for a plain service, ``models`` for an engine.
    name : str
        Instance id.
    address, public_address : str
        Address to listen on, and that of the proxy.
    zone, store_address : str

    Returns
    -------
    callable
        Applies commands to the endpoint.
    """
    if kind == "desk":
        endpoint = _DeskService(reactor, name, SLOTS)
    else:
        endpoint = _Engine(reactor, name, SLOTS, EVENTS_PER_GENERATION)
        endpoint.fatal_parts = frozenset([FATAL_PART])
    endpoint.fatal_bodies = frozenset([FATAL_BODY])
    endpoint.on_end = _RunReporter.end
    registration = _Registration(endpoint, public_address, zone, store_address)

    def apply_command(command):
        if command.fault is not None:
            endpoint.fault = command.fault
        if command.status is not None:
            endpoint.status = command.status
        if command.limit is not None:
            endpoint.name_limit(command.limit)
        if command.state is not None:
            registration.set_state(command.state)

    listen(address, endpoint)
    reactor.callWhenRunning(registration.start)
    return apply_command


def main(arguments):
    """Run one stand-in until the soak closes its standard input."""
    kind, *rest = arguments
    apply_command = run_store(*rest) if kind == "store" else run_endpoint(kind, *rest)
    StandardIO(_CommandReceiver(apply_command), reactor=reactor)
    reactor.run()


if __name__ == "__main__":
    main(sys.argv[1:])
