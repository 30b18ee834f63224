"""The processes and proxied links of one run."""

import signal

import msgspec
from tests.deployment import RouterAddresses, free_addresses, platform_settings
from tests.platform.world import KEY, make_configuration
from twisted.internet.defer import Deferred
from twisted.internet.task import deferLater

from sesamearch.platform.store import PlatformStore
from sesamearch.store.store import Put
from soak.link import Link, LinkState
from soak.note import Acknowledged, Command, LimitedArrival, LimitNamed, RunBegan
from soak.plan import ODD_ENTRIES
from soak.process import RouterProcess, StandinProcess
from soak.promise import Disturbance, KeyValidity, ObservedRun

__all__ = ["Deployment", "Endpoint", "Router"]

RESTART_DELAY_S = 0.5
ENDPOINT_RESTART_DELAY_S = 1.2
# Time from the start of draining to the kill, as on the stand-in platform. It is longer
# than a run, so that the last runs can finish.
DRAIN_S = 4.0
STOP_GRACE_S = 8.0
ADDRESSES_PER_ROUTER = 7
ADDRESSES_PER_ENDPOINT = 2
SEED_ROUTERS = 3


def zone_of(number):
    """Return the data centre of the process with this number."""
    return "east" if number % 2 == 0 else "west"


class ProxiedRouterAddresses(msgspec.Struct, frozen=True):
    """Addresses of a router and its two proxies.

    Parameters
    ----------
    own : tests.deployment.RouterAddresses
        Addresses that the router itself listens on.
    public : str
        Address of the proxy between callers and the router.
    store : str
        Address of the proxy between the router and the store.
    """

    own: RouterAddresses
    public: str
    store: str


class ProxiedEndpointAddresses(msgspec.Struct, frozen=True):
    """Address of an endpoint, and of the proxy whose address is in the store."""

    own: str
    public: str


class Router:
    """One router, restarted after each exit, with its proxied links.

    Attributes
    ----------
    number : int
    listen, readiness : str
        Addresses for callers and of the readiness check, which are not proxied.
    address : str
        Address for callers, which is proxied.
    callers, store : soak.link.Link
        Proxies for the connections of callers and for those to the store.
    process : soak.process.RouterProcess
    is_expected_to_end : bool
        Whether the process was stopped or killed.
    """

    def __init__(self, deployment, number, addresses, seeds):
        self._deployment = deployment
        self.number = number
        self.listen = addresses.own.listen
        self.readiness = addresses.own.readiness
        self.address = addresses.public
        reactor = deployment.reactor
        self.callers = Link(reactor, addresses.public, addresses.own.listen)
        self.store = Link(reactor, addresses.store, deployment.store_address)
        self._path = deployment.folder / f"settings-{number}.conf"
        self._path.write_text(
            platform_settings(number, addresses.own, seeds, addresses.store)
        )
        self._log = (deployment.folder / f"router-{number}.log").open("ab")
        self.process = None
        self.is_expected_to_end = False
        self._kill_timer = None
        self.start()

    def start(self):
        """Start the router process."""
        self._deployment.add_disturbance(router=self.number, is_planned_work=True)
        self.is_expected_to_end = False
        self.process = RouterProcess(self._deployment.reactor, self._path, self._log)
        self.process.on_exit = self._on_exit
        self.process.start()

    def _on_exit(self, process):
        deployment = self._deployment
        if self._kill_timer is not None and self._kill_timer.active():
            self._kill_timer.cancel()
        if not self.is_expected_to_end and not deployment.is_over:
            deployment.unexpected_exits.append(
                f"router {self.number}: {process.exit_code}"
            )
        if not deployment.is_over:
            deployment.reactor.callLater(RESTART_DELAY_S, self._restart)

    def _restart(self):
        if not self._deployment.is_over:
            self.start()

    def kill(self):
        """Kill the process without a graceful stop."""
        self.is_expected_to_end = True
        self.process.kill()

    def stop(self):
        """Send SIGTERM, and kill the process after ``STOP_GRACE_S``."""
        if not self.process.is_alive:
            return
        self.is_expected_to_end = True
        self.process.signal(signal.SIGTERM)
        if self._kill_timer is None or not self._kill_timer.active():
            process = self.process
            self._kill_timer = self._deployment.reactor.callLater(
                STOP_GRACE_S, process.kill
            )


class Endpoint:
    """One endpoint address, with a new process and instance id after each kill."""

    def __init__(self, deployment, number, kind, addresses):
        self._deployment = deployment
        self.number = number
        self._kind = kind
        self._addresses = addresses
        self.link = Link(deployment.reactor, addresses.public, addresses.own)
        self._incarnation = 0
        self.name = ""
        self.process = None
        self.is_draining = False
        self._limit_per_s = None
        self.start()

    def start(self):
        """Start a process with a new instance id."""
        self._incarnation += 1
        self.name = f"{self._kind}-{self.number}-{self._incarnation}"
        self.is_draining = False
        deployment = self._deployment
        arguments = [self._kind, self.name, self._addresses.own, self._addresses.public]
        arguments += [zone_of(self.number), deployment.store_address]
        self.process = StandinProcess(
            deployment.reactor, arguments, deployment.handle_note, deployment.log
        )
        self.process.on_exit = self._handle_exit
        self.process.start()
        if self._limit_per_s is not None:
            self.name_limit(self._limit_per_s)

    def _handle_exit(self, process):
        """Start a new process in place of one that a prompt ended."""
        if process is self.process and not self._deployment.is_over:
            self._deployment.add_disturbance(endpoint=self.name)
            self._deployment.reactor.callLater(ENDPOINT_RESTART_DELAY_S, self._restart)

    def crash(self):
        """Kill the process and start a new one after ``ENDPOINT_RESTART_DELAY_S``."""
        self.process.kill()
        self._deployment.reactor.callLater(ENDPOINT_RESTART_DELAY_S, self._restart)

    def name_limit(self, limit_per_s):
        """Have the process name a limit in its answers from now on; None for none."""
        self._limit_per_s = limit_per_s
        text = "" if limit_per_s is None else str(limit_per_s)
        self.process.send_command(Command(limit=text))

    def drain(self):
        """Drain the endpoint; replace its process after ``DRAIN_S``."""
        self.is_draining = True
        self.process.send_command(Command(state="draining"))
        self._deployment.reactor.callLater(DRAIN_S, self._kill_drained, self.process)

    def _kill_drained(self, process):
        if process is self.process:
            self.crash()

    def _restart(self):
        if not self._deployment.is_over and not self.process.is_alive:
            self.start()


class Deployment:
    """All processes and links of one run.

    Parameters
    ----------
    reactor : twisted reactor
    size : soak.plan.DeploymentSize
    folder : pathlib.Path
        Directory for settings and logs.
    history : soak.promise.History

    Attributes
    ----------
    unexpected_exits : list of str
        Routers that exited without having been stopped or killed.
    """

    def __init__(self, reactor, size, folder, history):
        self.reactor = reactor
        self.folder = folder
        self.history = history
        self.is_over = False
        self.unexpected_exits = []
        self.log = (folder / "standins.log").open("ab")
        count = 1 + size.endpoints * ADDRESSES_PER_ENDPOINT
        addresses = free_addresses(count + size.routers * ADDRESSES_PER_ROUTER)
        self.store_address = addresses[0]
        self.store = StandinProcess(
            reactor, ["store", self.store_address], self.handle_note, self.log
        )
        self.store.start()
        self._operator = PlatformStore(reactor, self.store_address)
        self._version = 0
        self._endpoint_addresses = [
            ProxiedEndpointAddresses(*group)
            for group in _groups(addresses[1:count], ADDRESSES_PER_ENDPOINT)
        ]
        self._router_addresses = [
            ProxiedRouterAddresses(RouterAddresses(*own), public, store)
            for *own, public, store in _groups(addresses[count:], ADDRESSES_PER_ROUTER)
        ]
        self._size = size
        self.endpoints = []
        self.routers = []
        self._runs = {}

    async def begin(self):
        """Publish the first configuration and start endpoints and routers."""
        while not await self.configure():
            await deferLater(self.reactor, RESTART_DELAY_S)
        self.history.keys[KEY] = KeyValidity(-1.0, self.reactor.seconds())
        self._start_all()

    def _start_all(self):
        for number, addresses in enumerate(self._endpoint_addresses):
            kind = "desk" if number < self._size.services else "models"
            self.endpoints.append(Endpoint(self, number, kind, addresses))
        seeds = [
            addresses.own.control for addresses in self._router_addresses[:SEED_ROUTERS]
        ]
        for number, addresses in enumerate(self._router_addresses):
            self.routers.append(Router(self, number, addresses, seeds))

    def handle_note(self, note):
        """Add a note from a stand-in process to the history."""
        if isinstance(note, RunBegan):
            run = ObservedRun(note)
            self._runs[note.endpoint, note.number] = run
            self.history.runs.setdefault(note.request_id, []).append(run)
        elif isinstance(note, Acknowledged):
            if note.state == "draining":
                self.history.drain_acknowledged_s.setdefault(note.endpoint, note.at_s)
        elif isinstance(note, LimitNamed):
            self.history.limits.append(note)
        elif isinstance(note, LimitedArrival):
            arrivals = self.history.limited_arrivals
            arrivals.setdefault(note.endpoint, []).append(note)
        else:
            self._runs[note.endpoint, note.number].ended = note

    def name_limits(self, limits):
        """Have each endpoint name its limit of a :class:`PlannedLimits`."""
        for endpoint in self.endpoints:
            is_service = endpoint.number < self._size.services
            endpoint.name_limit(
                limits.service_per_s if is_service else limits.engine_per_s
            )

    def end_limits(self):
        """Have no endpoint name a limit any more."""
        for endpoint in self.endpoints:
            endpoint.name_limit(None)

    @property
    def newest_key(self):
        """Str : API key added by the latest configuration."""
        return f"key-{self._version}"

    @property
    def version(self):
        """Int : version of the latest configuration."""
        return self._version

    def configure_soon(self):
        """Publish the next configuration without waiting for the store."""
        Deferred.fromCoroutine(self.configure())

    async def configure(self):
        """Publish the next configuration, which replaces the newest API key by another.

        The API key ``KEY`` stays valid in all configurations.

        Returns
        -------
        bool
            Whether the store accepted it.
        """
        self._version += 1
        now_s = self.reactor.seconds()
        previous = self.history.keys.get(f"key-{self._version - 1}")
        if previous is not None and previous.removal_sent_s is None:
            previous.removal_sent_s = now_s
        keys = (KEY, self.newest_key)
        content = make_configuration(version=self._version, keys=keys)
        for service in content["services"]:
            if "engine" in service:
                # Stand-in engines are separate processes and cannot copy KV caches.
                service["engine"] = {
                    **service["engine"],
                    "backups": False,
                    "moves": False,
                }
        put = Put(b"op/config", msgspec.json.encode(content))
        validity = KeyValidity(now_s, float("inf"))
        self.history.keys[self.newest_key] = validity
        written = await self._operator.txn([], [put])
        if written.is_err() or not written.unwrap().succeeded:
            return False
        validity.acknowledged_s = self.reactor.seconds()
        if previous is not None:
            previous.removed_s = validity.acknowledged_s
        return True

    def begin_endless_answers(self):
        """Have the first endpoint fail all requests, with bodies that have no end."""
        endpoint = self.endpoints[0]
        self.add_disturbance(float("inf"), endpoint=endpoint.name)
        endpoint.process.send_command(Command(fault="endless", status=500))

    def end_endless_answers(self):
        """Have the first endpoint answer again, whatever it did before."""
        self.endpoints[0].process.send_command(Command(fault="", status=200))

    def write_odd_entries(self):
        """Write entries among those of the endpoints that describe none."""
        for number, value in enumerate(ODD_ENTRIES):
            put = Put(b"servers/odd-%d" % number, value)
            self._operator.txn([], [put])

    def add_disturbance(self, for_s=0.0, **where):
        """Record a disturbance that begins now and lasts `for_s` seconds."""
        now_s = self.reactor.seconds()
        self.history.disturbances.append(Disturbance(now_s, now_s + for_s, **where))

    def end(self):
        """Kill all processes and close all links."""
        self.is_over = True
        processes = [self.store]
        processes += [each.process for each in self.endpoints + self.routers]
        for process in processes:
            process.kill()
        links = [endpoint.link for endpoint in self.endpoints]
        links += [link for each in self.routers for link in (each.callers, each.store)]
        for link in links:
            link.set_state(LinkState.NORMAL)
            link.port.stopListening()


def _groups(items, size):
    return [items[n : n + size] for n in range(0, len(items), size)]
