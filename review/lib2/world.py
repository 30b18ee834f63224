"""A small deployment for the scripts: routers as processes, stand-ins in this one.

The routers are started with the command of the deploy file. The store, the workers and
the clients are stand-ins in the process of the script, on loopback.
"""

import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT / "src"))

from sesamearch.base.reactor import install_steady_reactor  # noqa: E402

reactor = install_steady_reactor()

from twisted.internet.defer import Deferred  # noqa: E402
from twisted.internet.protocol import ClientFactory, Protocol  # noqa: E402
from twisted.internet.task import deferLater  # noqa: E402

from sesamearch.base.listener import listen_tcp  # noqa: E402
from sesamearch.standin.platform_store import PlatformStoreStandin  # noqa: E402
from sesamearch.wire.caller import CallerFactory, CallerLimits  # noqa: E402

HOST = "ficu95.example"
KEY = "xd9dnn2ctnfzs989anu6"
HELD, BROKEN, CANNOT_RUN = 0, 1, 2
LIMIT_S = 115.0
FIRST_PORT, LAST_PORT = 10_000, 30_000
ENGINE = {
    "slots": 64,
    "kv-capacity": 88000,
    "kv-bytes": 18432,
    "link-mbps": 370000.0,
    "moves": True,
    "backups": True,
    "stride": 6,
    "most": 12,
    "pin-ms": 4000.0,
    "hold-ms": 2000.0,
    "handle-s": 4.0,
    "models": [{"name": "m"}],
}
# Settings of the small deployment of the pages (kanalis-duct).
SETTINGS = """\
node-name={name}
role=router
machine-class=edge
serves=edge,control
ip=127.0.0.1
zone={zone}
region=sk-west
zones.ba-north=sk-west
zones.ba-south=sk-west
zones.trnava=sk-west
listen.frontend={frontend}
listen.readiness={readiness}
listen.control-plane={control}
internal-ports={first},{last}
seeds={seeds}
bootstrap=true
loss-counts=false
limits.cpu-fraction=0.537
limits.cores=2
limits.memory-mb=150
limits.max-fds=4100
limits.link-mbps=1000.0
limits.disk-mb=0
discovery=platform
entry=vip
heartbeat-ms=1200
contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,rollout,platform
fault-tolerance.machines=2
fault-tolerance.zones=1
fault-tolerance.regions=0
bounds.seed-lag-s=3
bounds.reuse-after-s=2
bounds.contact-ms=3000
bounds.ack-ms=4000
bounds.catch-up-s=4
bounds.drain-ms=2000
bounds.grace-s=8
bounds.loss-slack-ms=200
bounds.config-apply-ms=2000
bounds.rollback-slack-ms=250
bounds.outer-ms=5000
bounds.strict-revocation=false
bounds.revoke-ms=5000
bounds.retry-budget-ratio=0.8
bounds.budget-window-s=10
bounds.budget-slack=150
bounds.exposure-share=0.1
bounds.exposure-slack=50
bounds.rollback-ms=5000
bounds.recovery-s=12
bounds.iteration-ms=120
bounds.reuse-window-s=10
platform.address={store}
platform.form=kv
platform.writes-per-s=400
platform.reads-per-s=2000
platform.history-s=20
platform.value-bytes=1048576
platform.min-ttl-ms=1000
"""
_next_port = FIRST_PORT + os.getpid() * 61 % (LAST_PORT - FIRST_PORT - 200)


def free_port():
    """Return a port below the ephemeral range on which nothing listens."""
    global _next_port
    while True:
        _next_port += 1
        if _next_port >= LAST_PORT:
            _next_port = FIRST_PORT
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", _next_port))
            except OSError:
                continue
        return _next_port


def free_address():
    """Return a loopback address on which nothing listens."""
    return f"127.0.0.1:{free_port()}"


def now_s():
    """Return the time in seconds."""
    return reactor.seconds()


def sleep(seconds):
    """Return a Deferred that fires after a time."""
    return deferLater(reactor, max(0.0, seconds))


def route(name, kind, service, **more):
    """Return a route of the operator's configuration."""
    streaming = {
        "timeout-ms": 25000,
        "latency-goal-ms": 4500,
        "priority": 1,
        "max-attempts": 5,
        "sticky": True,
        "resumable": True,
        "gap-target-ms": 700,
    }
    plain = {
        "timeout-ms": 1000,
        "latency-goal-ms": 100,
        "priority": 2,
        "max-attempts": 2 if kind == "safe" else 1,
    }
    return {
        "name": name,
        "host": HOST,
        "prefix": f"/{name}/",
        "type": kind,
        "service": service,
        "public": False,
        **(streaming if kind == "streaming" else plain),
        **more,
    }


def configuration(version, routes, services=("duct-app",), engines=(), keys=(KEY,)):
    """Return a configuration of the operator."""
    plain = [
        {"name": name, "health-path": "/healthz", "max-conns": 110, "protocol": "h1"}
        for name in services
    ]
    models = [
        {"name": name, "health-path": "/healthz", "max-conns": 370, "engine": ENGINE}
        for name in engines
    ]
    return {
        "version": version,
        "routes": routes,
        "services": plain + models,
        "limits": {
            "max-header-bytes": 16384,
            "max-body-bytes": 4194304,
            "header-timeout-ms": 3000,
            "idle-timeout-ms": 15000,
        },
        "tenants": [{"name": "huka270", "api-keys": list(keys), "priority": 1}],
    }


class Answer:
    """What a client saw of one request."""

    def __init__(self, request_id, path):
        self.request_id = request_id
        self.path = path
        self.sent_s = now_s()
        self.ended_s = None
        self.data = b""
        self.is_complete = False
        self.reason = ""

    @property
    def status(self):
        """Int : status of the answer, zero without one."""
        if not self.data.startswith(b"HTTP/1.1 "):
            return 0
        return int(self.data[9:12])

    def header(self, name):
        """Return the value of a header; empty if there is none."""
        head = self.data.partition(b"\r\n\r\n")[0]
        for line in head.split(b"\r\n")[1:]:
            key, _, value = line.partition(b":")
            if key.strip().lower() == name.lower().encode():
                return value.strip().decode()
        return ""

    @property
    def body(self):
        """Bytes : the body so far."""
        return self.data.partition(b"\r\n\r\n")[2]


class _Client(Protocol):
    """Sends one request and reads until its answer is complete."""

    def __init__(self, data, answer, done):
        self._request, self._answer, self._done = data, answer, done

    def connectionMade(self):
        self.transport.setTcpNoDelay(True)
        self.transport.write(self._request)

    def dataReceived(self, data):
        self._answer.data += data
        if _is_complete(self._answer.data):
            self._answer.is_complete = True
            self.finish("complete")

    def connectionLost(self, reason):
        self.finish(reason.type.__name__)

    def finish(self, reason):
        done, self._done = self._done, None
        if done is not None:
            self._answer.ended_s = now_s()
            self._answer.reason = reason
            self.transport.abortConnection()
            done.callback(self._answer)


def _is_complete(data):
    head, separator, body = data.partition(b"\r\n\r\n")
    if not separator:
        return False
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"content-length:"):
            return len(body) >= int(line.partition(b":")[2])
    return body.endswith(b"0\r\n\r\n")


class _ClientFactory(ClientFactory):
    noisy = False

    def __init__(self, protocol):
        self.protocol_made = protocol

    def buildProtocol(self, address):
        return self.protocol_made

    def clientConnectionFailed(self, connector, reason):
        protocol = self.protocol_made
        done, protocol._done = protocol._done, None
        if done is not None:
            protocol._answer.ended_s = now_s()
            protocol._answer.reason = "not connected"
            done.callback(protocol._answer)


_request_number = 0


def new_id():
    """Return the id of a new client attempt."""
    global _request_number
    _request_number += 1
    return f"{os.getpid():08x}{_request_number:08x}"


def send(address, method, path, body=b"", headers=(), deadline_ms=1000, key=KEY):
    """Send one request on a new connection; return a Deferred of its Answer."""
    request_id = new_id()
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {HOST}",
        f"X-Attempt-Id: {request_id}",
        f"X-Deadline-Ms: {deadline_ms}",
    ]
    if key:
        lines.append(f"Authorization: Token {key}")
    if body or method != "GET":
        lines.append(f"Content-Length: {len(body)}")
    lines += [f"{name}: {value}" for name, value in headers]
    data = "\r\n".join(lines).encode() + b"\r\n\r\n" + body
    answer, done = Answer(request_id, path), Deferred()
    client = _Client(data, answer, done)
    host, _, port = address.rpartition(":")
    reactor.connectTCP(host, int(port), _ClientFactory(client), timeout=1.0)
    # A client leaves at its deadline.
    leaves = reactor.callLater(deadline_ms / 1000 + 0.05, client_leaves, client)

    def note_end(result):
        if leaves.active():
            leaves.cancel()
        return result

    return done.addCallback(note_end)


def client_leaves(client):
    """Disconnect a client whose deadline has passed."""
    if client._done is not None and client.transport is not None:
        client.finish("client left at its deadline")


def serve(address, handler):
    """Serve a stand-in at an address; return the listening port."""
    factory = CallerFactory(reactor, handler, CallerLimits, lambda status, detail: None)
    return listen_tcp(reactor, address, factory), factory


class RouterProcess:
    """A router, started with the command of the deploy file."""

    def __init__(self, world, number, zone):
        self.zone = zone
        self.name = f"edge-{zone}-{number}"
        self.frontend, self.readiness = free_address(), free_address()
        self.control = free_address()
        first, last = free_port(), free_port()
        self.first, self.last = first, last
        self.path = world.folder / f"{self.name}.conf"
        self.log = world.folder / f"{self.name}.log"
        self.process = None

    def write_settings(self, seeds, store):
        """Write the settings file of the process."""
        self.path.write_text(
            SETTINGS.format(
                name=self.name,
                zone=self.zone,
                frontend=self.frontend,
                readiness=self.readiness,
                control=self.control,
                first=self.first,
                last=self.last,
                seeds=",".join(seeds),
                store=store,
            )
        )

    def start(self):
        """Start the process."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        command = deploy["roles"]["router"]["run"].split()
        kept = ("PATH", "HOME", "LANG")
        environment = {key: os.environ[key] for key in kept if key in os.environ}
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["SESAMEARCH_SETTINGS"] = str(self.path)
        self.process = subprocess.Popen(
            command,
            cwd=ROOT,
            env=environment,
            stdout=self.log.open("ab"),
            stderr=subprocess.STDOUT,
        )

    def end(self):
        """Kill the process."""
        if self.process is not None:
            if self.process.poll() is None:
                self.process.send_signal(signal.SIGCONT)
                self.process.kill()
            self.process.wait()


class World:
    """The store, the routers and a record of what happened."""

    def __init__(self, case, trouble, store=None):
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.record_path = Path(case) / "record.txt"
        self.lines = []
        self.trouble = trouble
        self.store = store or PlatformStoreStandin(reactor)
        self.store_address = free_address()
        self.routers = []
        self.code = CANNOT_RUN
        self.began_s = now_s()
        serve(self.store_address, self.store)

    def note(self, text):
        """Add a line to the record."""
        line = f"{now_s() - self.began_s:9.3f} {text}"
        self.lines.append(line)
        if os.environ.get("SHOW"):
            print(line, flush=True)

    def add_routers(self, zones):
        """Start a router in each of some zones."""
        self.routers = [
            RouterProcess(self, number, zone) for number, zone in enumerate(zones, 1)
        ]
        seeds = [each.control for each in self.routers[:3]]
        for each in self.routers:
            each.write_settings(seeds, self.store_address)
            each.start()

    async def wait_ready(self, timeout_s=25.0):
        """Wait until all routers say that they are ready."""
        until_s = now_s() + timeout_s
        for router in self.routers:
            while True:
                answer = await send(router.readiness, "GET", "/sesamearch/readyz")
                if answer.status == 200:
                    break
                if now_s() > until_s:
                    raise RuntimeError(f"{router.name} is not ready")
                await sleep(0.1)
        self.note("all routers are ready")

    def put_worker(self, name, service, address, zone, **more):
        """Write a worker's entry as the worker does."""
        entry = {
            "service": service,
            "address": address,
            "zone": zone,
            "version": "v1",
            "slots": 6,
            "state": "ready",
            "cold-left-ms": 0,
            "sequence": 1,
            **more,
        }
        self.store.put(f"servers/{name}", entry)

    def close(self):
        """End all processes, and write the record."""
        for router in self.routers:
            router.end()
        text = "\n".join(self.lines) + "\n"
        self.record_path.write_text(text)
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        shutil.rmtree(self.folder, ignore_errors=True)


def run(world, main):
    """Run a script and exit with its code: 0 held, 1 broken, 2 could not run."""

    async def guarded():
        try:
            world.code = await main(world)
        except Exception as error:
            world.note(f"could not run: {type(error).__name__}: {error}")
            world.code = CANNOT_RUN

    def stop(_):
        if reactor.running:
            reactor.stop()

    def begin():
        Deferred.fromCoroutine(guarded()).addBoth(stop)

    reactor.callWhenRunning(begin)
    reactor.callLater(LIMIT_S, stop, None)
    reactor.run()
    meaning = {HELD: "held", BROKEN: "BROKEN", CANNOT_RUN: "could not run"}
    world.note(f"result: {meaning[world.code]}")
    world.close()
    print(world.lines[-1])
    sys.exit(world.code)


def unix_ms():
    """Return the Unix time in ms."""
    return int(time.time() * 1000)
