"""An in-memory deployment on the users' platform, driven by a virtual clock."""

from twisted.internet.protocol import ClientFactory, Protocol

from sesamearch.configuration.platform_settings import (
    PlatformBounds,
    PlatformRouterSettings,
)
from sesamearch.configuration.settings import PeerSettings
from sesamearch.daemon.platform_router import PlatformRouter
from sesamearch.standin.network import MemoryNetwork
from sesamearch.standin.platform_store import PlatformStoreStandin
from sesamearch.standin.platform_worker import (
    PlatformEngineStandin,
    PlatformServiceStandin,
)
from sesamearch.wire.caller import CallerFactory, CallerLimits

STORE = "10.9.0.1:8700"
HOST = "desk.example"
KEY = "key-of-bench"
ENGINE = {
    "slots": 12,
    "kv-capacity": 88000,
    "stride": 8,
    "backups": True,
    "moves": True,
}
ROUTES = [
    {
        "name": "post",
        "host": HOST,
        "prefix": "/post/",
        "type": "unsafe",
        "timeout-ms": 800,
        "latency-goal-ms": 100,
        "priority": 2,
        "service": "desk",
        "max-attempts": 1,
    },
    {
        "name": "look",
        "host": HOST,
        "prefix": "/look/",
        "type": "safe",
        "timeout-ms": 800,
        "latency-goal-ms": 100,
        "priority": 2,
        "service": "desk",
        "max-attempts": 2,
    },
    {
        "name": "draft",
        "host": HOST,
        "prefix": "/draft/",
        "type": "streaming",
        "timeout-ms": 25000,
        "latency-goal-ms": 4500,
        "gap-target-ms": 700,
        "priority": 1,
        "service": "models",
        "max-attempts": 5,
        "resumable": True,
        "sticky": True,
    },
]


def make_configuration(version=7, routes=ROUTES, keys=(KEY,), **more):
    """Return the content of the operators' configuration."""
    return {
        "version": version,
        "routes": list(routes),
        "services": [
            {"name": "desk", "health-path": "/healthz", "max-conns": 110},
            {
                "name": "models",
                "health-path": "/healthz",
                "max-conns": 160,
                "engine": ENGINE,
            },
        ],
        "limits": {
            "max-header-bytes": 4096,
            "max-body-bytes": 100_000,
            "header-timeout-ms": 3000,
            "idle-timeout-ms": 15000,
        },
        "tenants": [{"name": "bench", "api-keys": list(keys), "priority": 1}],
        **more,
    }


class MemorySockets:
    """In-memory replacement of ``PeerSockets`` for the routers of a :class:`World`."""

    world = None

    def __init__(self, reactor, listen, keys, on_message):
        self._listen = listen
        self._keys = keys
        self._connected = set()
        self.on_message = on_message
        self.is_cut = False
        self.sent_messages = 0
        self.sent_bytes = 0
        self.received_messages = 0

    def start(self):
        self.world.sockets[self._listen] = self

    def poll(self):
        pass

    def stop(self):
        self.world.sockets.pop(self._listen, None)

    @property
    def addresses(self):
        return list(self._connected)

    def connect(self, address):
        is_new = address not in self._connected
        self._connected.add(address)
        return is_new

    def disconnect(self, address):
        self._connected.discard(address)

    def send(self, address, data):
        other = self.world.sockets.get(address)
        if other is None or self.is_cut or other.is_cut or other is self:
            return False
        if other._keys != self._keys:
            return False
        self.sent_messages += 1
        self.sent_bytes += len(data)
        self.world.network.callLater(0.001, other.receive, data)
        return True

    def receive(self, data):
        if not self.is_cut:
            self.received_messages += 1
            self.on_message(data)


class RawClient(Protocol):
    """A caller that sends raw bytes and records the bytes that it receives."""

    def __init__(self):
        self.received = b""
        self.is_closed = False
        self.was_reset = False
        self.on_data = None

    def dataReceived(self, data):
        self.received += data
        if self.on_data is not None:
            self.on_data(self)

    def connectionLost(self, reason):
        self.is_closed = True
        self.was_reset = reason.type.__name__ == "ConnectionLost"

    def send(self, *parts):
        self.transport.write(b"".join(parts))
        return self

    @property
    def status(self):
        return int(self.received.split(b" ", 2)[1]) if self.received else 0

    @property
    def statuses(self):
        heads = self.received.split(b"HTTP/1.1 ")[1:]
        return [int(head[:3]) for head in heads]

    @property
    def event_ids(self):
        """List of int : ids of the received events, in order."""
        lines = self.received.split(b"\n")
        return [int(line[4:]) for line in lines if line.startswith(b"id: ")]

    @property
    def is_complete(self):
        return self.received.endswith(b"0\r\n\r\n")


class _RawFactory(ClientFactory):
    noisy = False

    def __init__(self):
        self.client = RawClient()

    def buildProtocol(self, address):
        return self.client


def request_bytes(path, request_id="r1", method="GET", body=b"", **headers):
    """Return a request as bytes; keywords become headers, with ``-`` for ``_``."""
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {HOST}",
        f"X-Attempt-Id: {request_id}",
    ]
    named = {name.replace("_", "-"): value for name, value in headers.items()}
    fields = {"Authorization": f"Token {KEY}", "X-Deadline-Ms": "1500", **named}
    if body or method == "POST":
        fields.setdefault("Content-Length", str(len(body)))
    for name, value in fields.items():
        if value is not None:
            lines.append(f"{name}: {value}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def draft_bytes(request_id="r1", prompt_tokens=800, body=b"prompt", **headers):
    """Return a request for a generation as bytes."""
    fields = {
        "X-Model": "m",
        "X-Token-Usage": f"{prompt_tokens},160",
        "X-Prompt-Prefix": f"5c1e:200,91bd:{prompt_tokens - 200}",
        "X-Deadline-Ms": "25000",
        **headers,
    }
    return request_bytes("/draft/1", request_id, "POST", body, **fields)


class World:
    """A store, workers and routers that share one network.

    Subclasses may change ``bounds``, the platform's limits for the routers.

    Parameters
    ----------
    routers : int
    desks, engines : int
        Number of plain workers of the service ``desk`` and of model engines, placed
        alternately in two data centres.
    """

    bounds = PlatformBounds()

    def __init__(self, routers=1, desks=2, engines=3):
        self.network = MemoryNetwork()
        self.sockets = {}
        self.engines_by_address = {}
        self.store = PlatformStoreStandin(self.network)
        self._serve(STORE, self.store)
        self.store.put("op/config", make_configuration())
        self.add_store_content()
        self.desks = [self.add_desk(number) for number in range(desks)]
        self.engines = [self.add_engine(number) for number in range(engines)]
        self.routers = [self.add_router(number) for number in range(routers)]
        # Routers start to follow the store, or rely on their relays, within a second.
        self.run(1.2)

    def add_store_content(self):
        """Write what the store holds beside the configuration before a start."""

    def run(self, seconds):
        self.network.run(seconds)

    def _serve(self, address, handler):
        factory = CallerFactory(
            self.network, handler, CallerLimits, lambda status, detail: None
        )
        self.network.listen(address, factory)
        return factory

    def _write_entry(self, name, service, address, zone, slots, **more):
        entry = {
            "service": service,
            "address": address,
            "zone": zone,
            "version": "v1",
            "slots": slots,
            "state": "ready",
            "cold-left-ms": 0,
            "sequence": 1,
            **more,
        }
        self.store.put(f"servers/{name}", entry)

    def add_desk(self, number, **more):
        worker = PlatformServiceStandin(self.network, f"desk-{number}")
        worker.address = f"10.1.0.{number + 1}:8000"
        worker.factory = self._serve(worker.address, worker)
        self._write_entry(worker.name, "desk", worker.address, _zone(number), 6, **more)
        return worker

    def add_engine(self, number, **more):
        worker = PlatformEngineStandin(self.network, f"engine-{number}")
        worker.address = f"10.2.0.{number + 1}:8000"
        worker.neighbours = self.engines_by_address
        self.engines_by_address[worker.address] = worker
        worker.factory = self._serve(worker.address, worker)
        self._write_entry(
            worker.name, "models", worker.address, _zone(number), 12, **more
        )
        return worker

    def update_entry(self, worker, service, number, **more):
        """Rewrite a worker's entry in the store."""
        self._write_entry(
            worker.name, service, worker.address, _zone(number), worker.slots, **more
        )

    def add_router(self, number):
        settings = PlatformRouterSettings(
            name=f"router-{number}",
            data_centre=_zone(number),
            listen=f"10.0.0.{number + 1}:8740",
            readiness_listen=f"10.0.0.{number + 1}:8749",
            metrics_listen=f"10.0.0.{number + 1}:7200",
            store_address=STORE,
            peer=PeerSettings(f"10.0.0.{number + 1}:8748", "", ["10.0.0.1:8748"]),
            bounds=self.bounds,
        )
        sockets_type = type("Sockets", (MemorySockets,), {"world": self})
        router = PlatformRouter(
            self.network.seen_from(_host(number)),
            settings,
            listen=_listen,
            sockets_type=sockets_type,
        )
        router.start().unwrap()
        return router

    def stop_router(self, router):
        """Stop a router as if its process was killed."""
        followers = [*router._followers, router._outcome_follower]
        for follower in (*followers, router._quarantine_follower):
            if follower is not None:
                follower.stop()
        for loop, _ in router._loops:
            loop.stop()
        router._peers.stop()
        host = router._settings.listen.partition(":")[0]
        for port in (8740, 8749, 7200):
            self.network.close(f"{host}:{port}")

    def connect(self, number=0, port=8740):
        """Return a client connected to a router."""
        factory = _RawFactory()
        self.network.connectTCP(f"10.0.0.{number + 1}", port, factory)
        self.run(0.01)
        return factory.client

    def send_request(self, data, number=0, wait_s=1.0):
        """Send a request on a new connection and advance the clock."""
        client = self.connect(number).send(data)
        self.run(wait_s)
        return client

    def crash(self, worker):
        """Crash an engine: its connections are reset, and new ones are refused."""
        self.network.close(worker.address)
        worker.crash()

    def restore(self, worker):
        """Start a crashed engine again under its name and address."""
        self.network.listen(worker.address, worker.factory)

    def make_silent(self, worker, seconds):
        """Make a sound engine silent for a time; then it goes on where it was."""
        until_s = self.network.seconds() + seconds
        worker.frozen_until_s = max(worker.frozen_until_s, until_s)
        self.network.hold(worker.address, seconds)

    def cut_store(self, number, fault):
        """Break the path of a router to the store; its peers and callers reach it."""
        self.network.break_path(_host(number), STORE, fault)

    def mend_store(self, number):
        self.network.mend_path(_host(number), STORE)

    def cut_endpoints(self, number, fault, workers=None):
        """Break the path of a router to all workers, or to some of them."""
        for worker in self.desks + self.engines if workers is None else workers:
            self.network.break_path(_host(number), worker.address, fault)

    def mend_endpoints(self, number):
        for worker in self.desks + self.engines:
            self.network.mend_path(_host(number), worker.address)

    def make_unresponsive(self, worker):
        """Make an engine unresponsive: existing and new connections hang."""
        worker.is_unresponsive = True
        self.network.blackholed.add(worker.address)


class _ListeningPort:
    def __init__(self, network, address):
        self._network = network
        self._address = address

    def stopListening(self):
        self._network.close(self._address)


def _listen(reactor, address, factory, early_socket=None):
    reactor.listen(address, factory)
    return _ListeningPort(reactor, address)


def _host(number):
    return f"10.0.0.{number + 1}"


def _zone(number):
    return "east" if number % 2 == 0 else "west"
