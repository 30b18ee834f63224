"""The processes and links of one run, and what can be done to them."""

import signal

import msgspec
from tests.deployment import RouterAddresses, free_addresses, platform_settings
from tests.platform.world import KEY, make_configuration
from twisted.internet.defer import Deferred
from twisted.internet.task import deferLater

from sesamearch.platform.store import PlatformStore
from sesamearch.store.store import Put
from soak.link import Link, LinkState
from soak.note import Acknowledged, Order, RunBegan
from soak.process import RouterProcess, StandinProcess
from soak.promise import Disturbance, KeyLife, RunSeen

__all__ = ["Deployment", "Endpoint", "Router"]

RESTART_S = 0.5
ENDPOINT_RESTART_S = 1.2
# As the stand-ins' platform does: the end of an endpoint's last run included.
LEAVE_S = 4.0
GRACE_S = 8.0
ADDRESSES_OF_ROUTER = 6
ADDRESSES_OF_ENDPOINT = 2
SEEDS = 3


def zone_of(number):
    """Return a process's data centre."""
    return "east" if number % 2 == 0 else "west"


class RouterPlaces(msgspec.Struct, frozen=True):
    """Addresses of a router, and of the proxies before it and before its store."""

    own: RouterAddresses
    public: str
    store: str


class EndpointPlaces(msgspec.Struct, frozen=True):
    """Address of an endpoint, and of the proxy that others know it by."""

    own: str
    public: str


class Router:
    """One VM with its router, its links to callers and to the store."""

    def __init__(self, deployment, number, places, seeds):
        self._deployment = deployment
        self.number = number
        self.readiness = places.own.readiness
        self.address = places.public
        reactor = deployment.reactor
        self.callers = Link(reactor, places.public, places.own.listen)
        self.store = Link(reactor, places.store, deployment.store_address)
        self._path = deployment.folder / f"settings-{number}.conf"
        self._path.write_text(
            platform_settings(number, places.own, seeds, places.store)
        )
        self._log = (deployment.folder / f"router-{number}.log").open("ab")
        self.process = None
        self.is_expected_to_end = False
        self._kill = None
        self.start()

    def start(self):
        """Start its process."""
        self._deployment.disturb(router=self.number, is_planned_work=True)
        self.is_expected_to_end = False
        self.process = RouterProcess(self._deployment.reactor, self._path, self._log)
        self.process.ended = self._ended
        self.process.start()

    def _ended(self, process):
        deployment = self._deployment
        if self._kill is not None and self._kill.active():
            self._kill.cancel()
        if not self.is_expected_to_end and not deployment.is_over:
            deployment.own_ends.append(f"router {self.number}: {process.exit_code}")
        if not deployment.is_over:
            deployment.reactor.callLater(RESTART_S, self._restart)

    def _restart(self):
        if not self._deployment.is_over:
            self.start()

    def kill(self):
        """End it without notice."""
        self.is_expected_to_end = True
        self.process.end()

    def stop(self):
        """Ask it to end, and kill it when its grace is over."""
        if not self.process.is_alive:
            return
        self.is_expected_to_end = True
        self.process.signal(signal.SIGTERM)
        if self._kill is None or not self._kill.active():
            process = self.process
            self._kill = self._deployment.reactor.callLater(GRACE_S, process.end)


class Endpoint:
    """One endpoint's place, with the incarnations that follow each other there."""

    def __init__(self, deployment, number, kind, places):
        self._deployment = deployment
        self.number = number
        self._kind = kind
        self._places = places
        self.link = Link(deployment.reactor, places.public, places.own)
        self._incarnation = 0
        self.name = ""
        self.process = None
        self.is_leaving = False
        self.start()

    def start(self):
        """Start an incarnation with a new id."""
        self._incarnation += 1
        self.name = f"{self._kind}-{self.number}-{self._incarnation}"
        self.is_leaving = False
        deployment = self._deployment
        arguments = [self._kind, self.name, self._places.own, self._places.public]
        arguments += [zone_of(self.number), deployment.store_address]
        self.process = StandinProcess(
            deployment.reactor, arguments, deployment.take, deployment.log
        )
        self.process.start()

    def crash(self):
        """Kill it; another takes its place."""
        self.process.end()
        self._deployment.reactor.callLater(ENDPOINT_RESTART_S, self._restart)

    def leave(self):
        """Have it leave in an orderly way; another takes its place."""
        self.is_leaving = True
        self.process.tell(Order(state="draining"))
        self._deployment.reactor.callLater(LEAVE_S, self._left, self.process)

    def _left(self, process):
        if process is self.process:
            self.crash()

    def _restart(self):
        if not self._deployment.is_over and not self.process.is_alive:
            self.start()


class Deployment:
    """All of one run.

    Parameters
    ----------
    reactor : twisted reactor
    size : soak.plan.Size
    folder : pathlib.Path
        For settings and logs.
    history : soak.promise.History

    Attributes
    ----------
    own_ends : list of str
        Routers that ended by themselves.
    """

    def __init__(self, reactor, size, folder, history):
        self.reactor = reactor
        self.folder = folder
        self.history = history
        self.is_over = False
        self.own_ends = []
        self.log = (folder / "standins.log").open("ab")
        count = 1 + size.endpoints * ADDRESSES_OF_ENDPOINT
        addresses = free_addresses(count + size.routers * ADDRESSES_OF_ROUTER)
        self.store_address = addresses[0]
        self.store = StandinProcess(
            reactor, ["store", self.store_address], self.take, self.log
        )
        self.store.start()
        self._operator = PlatformStore(reactor, self.store_address)
        self._version = 0
        self._endpoint_places = [
            EndpointPlaces(*group)
            for group in _groups(addresses[1:count], ADDRESSES_OF_ENDPOINT)
        ]
        self._router_places = [
            RouterPlaces(RouterAddresses(*own), public, store)
            for *own, public, store in _groups(addresses[count:], ADDRESSES_OF_ROUTER)
        ]
        self._size = size
        self.endpoints = []
        self.routers = []
        self._runs = {}

    async def begin(self):
        """Write the first configuration and start endpoints and routers."""
        while not await self.configure():
            await deferLater(self.reactor, RESTART_S)
        self.history.keys[KEY] = KeyLife(-1.0, self.reactor.seconds())
        self._start_all()

    def _start_all(self):
        for number, places in enumerate(self._endpoint_places):
            kind = "desk" if number < self._size.services else "models"
            self.endpoints.append(Endpoint(self, number, kind, places))
        seeds = [places.own.control for places in self._router_places[:SEEDS]]
        for number, places in enumerate(self._router_places):
            self.routers.append(Router(self, number, places, seeds))

    def take(self, note):
        """Take a stand-in's note."""
        if isinstance(note, RunBegan):
            run = RunSeen(note)
            self._runs[note.endpoint, note.number] = run
            self.history.runs.setdefault(note.request_id, []).append(run)
        elif isinstance(note, Acknowledged):
            if note.state == "draining":
                self.history.leavings.setdefault(note.endpoint, note.at_s)
        else:
            self._runs[note.endpoint, note.number].ended = note

    @property
    def newest_key(self):
        """Str : the key that the last configuration added."""
        return f"key-{self._version}"

    @property
    def version(self):
        """Int : of the last configuration."""
        return self._version

    def configure_soon(self):
        """Write the next configuration."""
        Deferred.fromCoroutine(self.configure())

    async def configure(self):
        """Write the next configuration: a key goes, another comes.

        Returns
        -------
        bool
            Whether the store accepted it.
        """
        self._version += 1
        now_s = self.reactor.seconds()
        old = self.history.keys.get(f"key-{self._version - 1}")
        if old is not None and old.removal_sent_s is None:
            old.removal_sent_s = now_s
        keys = (KEY, self.newest_key)
        content = make_configuration(version=self._version, keys=keys)
        for service in content["services"]:
            if "engine" in service:
                # The engines are processes apart and hand no memory to each other.
                service["engine"] = {
                    **service["engine"],
                    "backups": False,
                    "moves": False,
                }
        put = Put(b"op/config", msgspec.json.encode(content))
        life = KeyLife(now_s, float("inf"))
        self.history.keys[self.newest_key] = life
        written = await self._operator.txn([], [put])
        if written.is_err() or not written.unwrap().succeeded:
            return False
        life.acknowledged_s = self.reactor.seconds()
        if old is not None:
            old.removed_s = life.acknowledged_s
        return True

    def disturb(self, for_s=0.0, **where):
        """Note that something is disturbed from now on."""
        now_s = self.reactor.seconds()
        self.history.disturbances.append(Disturbance(now_s, now_s + for_s, **where))

    def end(self):
        """Kill all that runs."""
        self.is_over = True
        processes = [self.store]
        processes += [each.process for each in self.endpoints + self.routers]
        for process in processes:
            process.end()
        links = [endpoint.link for endpoint in self.endpoints]
        links += [link for each in self.routers for link in (each.callers, each.store)]
        for link in links:
            link.change(LinkState.CALM)
            link.port.stopListening()


def _groups(items, size):
    return [items[n : n + size] for n in range(0, len(items), size)]
