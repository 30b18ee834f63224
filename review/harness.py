"""Stand-ins of the platform's store, workers and clients, and router processes.

Only the standard library is used. All processes listen on loopback addresses; the
routers run as the deploy file starts them.
"""

import asyncio
import base64
import json
import os
import random
import signal
import socket
import subprocess
import tempfile
import time
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
HEARTBEAT_S = 1.2
FIRST_PORT = 10_000
LAST_PORT = 32_000
START_TIMEOUT_S = 20.0
KEEP_ALIVE_S = 5
# Bounds of the sites kanalis-duct and kanalis-duct-grown, as settings state them.
SMALL = {
    "contact-ms": 3000,
    "ack-ms": 4000,
    "catch-up-s": 4,
    "drain-ms": 2000,
    "config-apply-ms": 2000,
    "outer-ms": 5000,
    "recovery-s": 12,
    "iteration-ms": 120,
}
GROWN = {
    "contact-ms": 4000,
    "ack-ms": 6000,
    "catch-up-s": 6,
    "drain-ms": 3000,
    "config-apply-ms": 3000,
    "outer-ms": 6000,
    "recovery-s": 15,
    "iteration-ms": 200,
}
IDLE_CLOSE_S = 6.0


class CannotRunError(Exception):
    """The case could not be played."""


def free_ports(count):
    """Return ports below the ephemeral range that nobody listens on."""
    found = []
    while len(found) < count:
        port = random.randrange(FIRST_PORT, LAST_PORT)
        with socket.socket() as probe:
            try:
                probe.bind((HOST, port))
            except OSError:
                continue
        if port not in found:
            found.append(port)
    return found


class Record:
    """Writes what was sent, answered and run, one JSON object a line."""

    def __init__(self, path):
        self._file = Path(path).open("w", encoding="utf-8")
        self._begun_s = time.monotonic()

    @property
    def now_s(self):
        """Float : time since the start of the case."""
        return time.monotonic() - self._begun_s

    def write(self, event, **fields):
        """Write one line."""
        line = {"t": round(self.now_s, 4), "event": event, **fields}
        self._file.write(json.dumps(line) + "\n")

    def close(self):
        """Close the file."""
        self._file.close()


class Request:
    """One request that reached a server."""

    def __init__(self, method, target, headers, body):
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body

    def header(self, name, default=""):
        """Return the value of a header, named in lower case."""
        return self.headers.get(name, default)


async def read_head(reader):
    """Return the first line and the headers of a message; None at the end."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_body(reader, headers, until_end=False):
    """Return a whole body; raises IncompleteReadError if it breaks off."""
    if headers.get("transfer-encoding", "").lower() == "chunked":
        parts = []
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            parts.append(await reader.readexactly(size))
            await reader.readexactly(2)
            if not size:
                return b"".join(parts)
    if "content-length" in headers:
        return await reader.readexactly(int(headers["content-length"]))
    return await reader.read() if until_end else b""


def message(status, headers=(), body=b""):
    """Return a whole response as bytes."""
    lines = [f"HTTP/1.1 {status} X"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class Server:
    """An HTTP/1.1 server that hands each request to :meth:`handle`."""

    def __init__(self, port):
        self.port = port
        self._server = None
        self._writers = set()

    @property
    def address(self):
        """Str : ``ip:port``."""
        return f"{HOST}:{self.port}"

    async def listen(self):
        """Begin to accept connections."""
        self._server = await asyncio.start_server(
            self._serve, HOST, self.port, reuse_address=True, backlog=512
        )

    def crash(self):
        """Stop to listen, and reset all connections."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self._writers.add(writer)
        try:
            while True:
                line, headers = await asyncio.wait_for(read_head(reader), IDLE_CLOSE_S)
                method, target, _ = line.split(" ", 2)
                body = await read_body(reader, headers)
                await self.handle(Request(method, target, headers, body), writer)
                await writer.drain()
        except (TimeoutError, asyncio.IncompleteReadError, ConnectionError, OSError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def handle(self, request, writer):
        """Handle one request."""
        raise NotImplementedError


class Store(Server):
    """The platform's store: keys with revisions, watches and conditional writes."""

    def __init__(self, port, record):
        super().__init__(port)
        self._record = record
        self.revision = 10
        self.items = {}
        self._log = []
        self._changed = asyncio.Event()
        self._waiting = set()

    def cut_watches(self):
        """Reset the connections of all watches that wait."""
        for writer in list(self._waiting):
            writer.transport.abort()

    def put(self, key, value):
        """Write a key as the operator or a worker does; the answer is immediate."""
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        self._write(key, data)
        self._record.write("store-put", key=key, value=data.decode())

    def remove(self, key):
        """Remove a key."""
        if key in self.items:
            self._write(key, None)
            self._record.write("store-remove", key=key)

    def value(self, key):
        """Return the decoded value of a key, or None."""
        item = self.items.get(key)
        return json.loads(item[0]) if item else None

    def _write(self, key, data):
        self.revision += 1
        self._store(key, data)

    def _store(self, key, data):
        if data is None:
            self.items.pop(key, None)
        else:
            created = self.items[key][2] if key in self.items else self.revision
            self.items[key] = (data, self.revision, created)
        self._log.append((self.revision, key, data))
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    def _item(self, key):
        if key not in self.items:
            return {"key": key, "value": "", "revision": 0, "created": 0, "lease": 0}
        data, revision, created = self.items[key]
        value = base64.b64encode(data).decode()
        return {
            "key": key,
            "value": value,
            "revision": revision,
            "created": created,
            "lease": 0,
        }

    async def handle(self, request, writer):
        """Serve one call."""
        url = urlsplit(request.target)
        query = {key: values[0] for key, values in parse_qs(url.query).items()}
        name = url.path.removeprefix("/sesamearch/").partition("/")[0]
        if name == "kv-watch":
            self._waiting.add(writer)
            try:
                status, content = await self._watch(query)
            finally:
                self._waiting.discard(writer)
        elif name == "kv-range":
            status, content = self._range(query)
        elif name == "kv-key":
            found = query["key"] in self.items
            content = self._item(query["key"]) if found else {}
            content["store-revision"] = self.revision
            status = 200 if found else 404
        elif name == "kv-txn":
            status, content = self._txn(json.loads(request.body))
        else:
            status, content = 404, {}
        headers = [("Content-Type", "application/json"), ("Store-Era", "1")]
        writer.write(message(status, headers, json.dumps(content).encode()))

    def _range(self, query):
        prefix, after = query.get("prefix", ""), query.get("after", "")
        keys = [k for k in sorted(self.items) if k.startswith(prefix) and k > after]
        return 200, {
            "entries": [self._item(key) for key in keys[:500]],
            "more-pages": len(keys) > 500,
            "store-revision": self.revision,
        }

    def _events(self, prefix, after):
        events = []
        for revision, key, data in self._log:
            if revision <= after or not key.startswith(prefix):
                continue
            if data is None:
                events.append({"key": key, "revision": revision, "removed": True})
            else:
                value = base64.b64encode(data).decode()
                events.append(
                    {"key": key, "revision": revision, "value": value, "lease": 0}
                )
        return events

    async def _watch(self, query):
        prefix, after = query.get("prefix", ""), int(query["after"])
        until_s = time.monotonic() + int(query["wait-ms"]) / 1000
        while not (events := self._events(prefix, after)):
            left_s = until_s - time.monotonic()
            if left_s <= 0:
                break
            try:
                await asyncio.wait_for(self._changed.wait(), left_s)
            except TimeoutError:
                break
        return 200, {"events": events, "store-revision": self.revision}

    def _txn(self, content):
        keys = [put["key"] for put in content["puts"]] + content["deletes"]
        if any(key.startswith(("op/", "servers/")) for key in keys):
            return 403, {}
        rows = content["expected-revision"]
        if any(self._item(row["key"])["revision"] != row["revision"] for row in rows):
            return 412, {"entries": [self._item(row["key"]) for row in rows]}
        self.revision += 1
        for put in content["puts"]:
            data = base64.b64decode(put["value"])
            self._store(put["key"], data)
            if put["key"].startswith("status/"):
                self._record.write("system-put", key=put["key"], value=data.decode())
        for key in content["deletes"]:
            self._store(key, None)
        return 200, {"revision": self.revision}


def plain_answer(worker, status, headers, attempt):
    """Return the answer of a run, which names the worker and the attempt."""
    return message(status, headers, f"{worker.name} {attempt}".encode())


class Worker(Server):
    """A plain service's worker.

    `outcome` is called with the number of the run and returns the status of its
    answer; `work_s` is the time of a run.
    """

    def __init__(self, store, record, name, service, port, version="v1", zone="east"):
        super().__init__(port)
        self._store = store
        self._record = record
        self.name = name
        self.service = service
        self.version = version
        self.zone = zone
        self.slots = 6
        self.queue = 24
        self.work_s = 0.015
        self.outcome = lambda number: 200
        self.make_answer = plain_answer
        self.state = "ready"
        self.limit_per_s = None
        self.arrivals = []
        self.running = 0
        self.runs = []
        self._slots = asyncio.Semaphore(self.slots)
        self._waiting = 0
        self._born_ms = int(time.time() * 1000)

    async def start(self):
        """Listen, and register in the store."""
        await self.listen()
        self.register()
        self._record.write(
            "worker-start", id=self.name, service=self.service, address=self.address
        )

    def register(self):
        """Write the entry in the store."""
        self._store.put(
            f"servers/{self.name}",
            {
                "service": self.service,
                "address": self.address,
                "zone": self.zone,
                "version": self.version,
                "slots": self.slots,
                "state": self.state,
                "cold-left-ms": 0,
                "sequence": 1,
                "born": self._born_ms,
            },
        )

    def drain(self):
        """Report that this worker is draining."""
        self.state = "draining"
        self.register()

    def crash(self):
        """End without notice."""
        self._record.write("worker-crash", id=self.name)
        super().crash()

    async def handle(self, request, writer):
        """Run a request, or reject it."""
        if request.target == "/healthz":
            status = 200 if self.state == "ready" else 503
            writer.write(message(status, [("X-Instance-Id", self.name)]))
            return
        attempt = request.header("x-attempt-id")
        headers = [("X-Attempt-Id", attempt), ("Keep-Alive", f"timeout={KEEP_ALIVE_S}")]
        if self.limit_per_s is not None:
            headers.append(("Server-Limit", str(self.limit_per_s)))
            self.arrivals.append((self._record.now_s, attempt))
        target = request.header("x-target-instance")
        if target and target != self.name:
            headers.append(("X-Instance-Id", self.name))
            self._record.write("worker-421", id=self.name, attempt=attempt)
            writer.write(message(421, headers))
            return
        if not attempt:
            writer.write(message(400, [("X-Not-Executed", "1")]))
            return
        if self._waiting >= self.queue:
            self._record.write("worker-full", id=self.name, attempt=attempt)
            writer.write(message(503, [*headers, ("X-Not-Executed", "1")]))
            return
        await self._run(request, attempt, headers, writer)

    async def _run(self, request, attempt, headers, writer):
        self._waiting += 1
        async with self._slots:
            self._waiting -= 1
            self.running += 1
            run = {"at": self._record.now_s, "attempt": attempt, "status": 0}
            self.runs.append(run)
            status = self.outcome(len(self.runs))
            self._record.write(
                "run",
                id=self.name,
                service=self.service,
                version=self.version,
                attempt=attempt,
                path=request.target,
                tenant=request.header("x-tenant"),
            )
            await asyncio.sleep(self.work_s)
            self.running -= 1
        run["status"] = status
        signature = f"sig.{self.name}.{attempt}"
        load = f"{self.running},{self._waiting},{self.slots}"
        headers = [
            *headers,
            ("X-Response-Signature", signature),
            ("X-Server-Load", load),
        ]
        writer.write(self.make_answer(self, status, headers, attempt))


class Router:
    """One router process, started as the deploy file starts it."""

    def __init__(self, folder, store, number, zone="east", seeds=(), bounds=None):
        self._bounds = bounds or SMALL
        self.name = f"edge-{zone}-{number}"
        self.ports = free_ports(5)
        self._folder = folder
        self._zone = zone
        self._store = store
        self.process = None
        self.seeds = list(seeds)

    @property
    def control(self):
        """Str : control-plane address."""
        return f"{HOST}:{self.ports[2]}"

    @property
    def port(self):
        """Int : port for clients."""
        return self.ports[0]

    def _settings(self):
        front, ready, control, low, high = self.ports
        low, high = sorted((low, high))
        seeds = ",".join((self.seeds or [self.control])[:3])
        bounds = "\n".join(f"bounds.{k}={v}" for k, v in self._bounds.items())
        return f"""node-name={self.name}
role=router
machine-class=edge
serves=edge,control
ip={HOST}
zone={self._zone}
region=home
zones.{self._zone}=home
listen.frontend={HOST}:{front}
listen.readiness={HOST}:{ready}
listen.control-plane={HOST}:{control}
internal-ports={low},{high}
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
bounds.grace-s=8
bounds.loss-slack-ms=200
bounds.rollback-slack-ms=250
bounds.strict-revocation=false
bounds.revoke-ms=5000
bounds.retry-budget-ratio=0.8
bounds.budget-window-s=10
bounds.budget-slack=150
bounds.exposure-share=0.1
bounds.exposure-slack=50
bounds.rollback-ms=5000
bounds.reuse-window-s=10
{bounds}
platform.address={self._store.address}
platform.form=kv
platform.writes-per-s=400
platform.reads-per-s=2000
platform.history-s=20
platform.value-bytes=1048576
platform.min-ttl-ms=1000
"""

    @property
    def _path(self):
        return self._folder / f"{self.name}.conf"

    def write_settings(self):
        """Write the settings file, as the platform does whenever they change."""
        path = self._folder / f"{self.name}.new"
        path.write_text(self._settings(), encoding="utf-8")
        path.replace(self._path)

    def start(self):
        """Start the process."""
        self.write_settings()
        log = (self._folder / f"{self.name}.log").open("ab")
        environment = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", "/tmp"),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "SESAMEARCH_SETTINGS": str(self._path),
        }
        self.process = subprocess.Popen(
            ["python3", "deploy/start.py"],
            cwd=ROOT,
            env=environment,
            stdout=log,
            stderr=log,
        )
        log.close()

    async def wait_ready(self):
        """Wait until the router says that it is ready."""
        until_s = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < until_s:
            if self.process.poll() is not None:
                raise CannotRunError(f"{self.name} ended at its start")
            try:
                answer = await call(
                    self.ports[1], "GET", "/sesamearch/readyz", {"Host": HOST}, 1.0
                )
                if answer.status == 200:
                    return
            except OSError:
                pass
            await asyncio.sleep(0.1)
        raise CannotRunError(f"{self.name} is not ready")

    def signal(self, number):
        """Send a signal to the process."""
        self.process.send_signal(number)

    def stop(self):
        """End the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


class Answer:
    """What a client got: status zero if the connection ended without an answer."""

    def __init__(self, status=0, headers=None, body=b"", is_whole=False):
        self.status = status
        self.headers = headers or {}
        self.body = body
        self.is_whole = is_whole


async def call(port, method, target, headers, timeout_s, body=b""):
    """Send one request on a new connection, and return its :class:`Answer`."""

    async def exchange():
        reader, writer = await asyncio.open_connection(HOST, port)
        try:
            lines = [f"{method} {target} HTTP/1.1"]
            lines += [f"{name}: {value}" for name, value in headers.items()]
            if body or method == "POST":
                lines.append(f"Content-Length: {len(body)}")
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            line, found = await read_head(reader)
            status = int(line.split(" ")[1])
            content = await read_body(reader, found, until_end=True)
            return Answer(status, found, content, True)
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), timeout_s)
    except (TimeoutError, asyncio.IncompleteReadError, ConnectionError):
        return Answer()


class Case:
    """The processes and stand-ins of one case."""

    def __init__(self, folder):
        self.record = Record(Path(folder) / "record.txt")
        self.is_disrupted = os.environ.get("TROUBLE", "1") != "0"
        self._temporary = tempfile.TemporaryDirectory()
        self.folder = Path(self._temporary.name)
        self.store = None
        self.servers = []
        self.routers = []
        self._attempts = 0

    async def start_store(self):
        """Start the store."""
        self.store = Store(free_ports(1)[0], self.record)
        await self.store.listen()
        self.servers.append(self.store)

    async def start_worker(self, name, service, port=None, **options):
        """Start a worker and return it."""
        port = port or free_ports(1)[0]
        worker = Worker(self.store, self.record, name, service, port, **options)
        self.servers.append(worker)
        await worker.start()
        return worker

    async def start_routers(self, count=1, zone="east", bounds=None):
        """Start routers and wait until all are ready."""
        for number in range(1, count + 1):
            seeds = [router.control for router in self.routers]
            router = Router(self.folder, self.store, number, zone, seeds, bounds)
            router.start()
            self.routers.append(router)
        for router in self.routers:
            await router.wait_ready()

    async def ask(
        self,
        router,
        path,
        key,
        deadline_ms=1000,
        method="GET",
        body=b"",
        further=None,
    ):
        """Send one client attempt, record it, and return its :class:`Answer`."""
        self._attempts += 1
        attempt = f"a{self._attempts:06d}"
        headers = {
            "Host": "desk.example",
            "X-Attempt-Id": attempt,
            "X-Deadline-Ms": str(deadline_ms),
            "Authorization": f"Token {key}",
            **(further or {}),
        }
        self.record.write("sent", attempt=attempt, path=path, router=router.name)
        sent_s = self.record.now_s
        try:
            answer = await call(
                router.port, method, path, headers, deadline_ms / 1000, body
            )
        except OSError:
            answer = Answer()
        answer.sent_s, answer.attempt, answer.path = sent_s, attempt, path
        self.record.write("answered", attempt=attempt, status=answer.status)
        return answer

    async def traffic(self, paths, key, per_s, for_s, method="GET"):
        """Send requests at a steady rate to all routers in turn; return the answers."""
        tasks = []
        begun_s = time.monotonic()
        for number in range(int(per_s * for_s)):
            delay_s = begun_s + number / per_s - time.monotonic()
            if delay_s > 0:
                await asyncio.sleep(delay_s)
            router = self.routers[number % len(self.routers)]
            path = paths[number // len(self.routers) % len(paths)] + str(number)
            task = self.ask(router, path, key, method=method)
            tasks.append(asyncio.ensure_future(task))
        return await asyncio.gather(*tasks)

    def keep_logs(self, folder):
        """Copy the routers' logs, to look into a case by hand."""
        for log in self.folder.glob("*.log"):
            (Path(folder) / log.name).write_bytes(log.read_bytes())

    def stop(self):
        """End all processes and listeners."""
        for router in self.routers:
            router.stop()
        for server in self.servers:
            Server.crash(server)
        if os.environ.get("KEEP_LOGS"):
            self.keep_logs(os.environ["KEEP_LOGS"])
        self.record.close()
        self._temporary.cleanup()


def route(name, prefix, service, kind="safe", attempts=2, timeout_ms=1000):
    """Return a route of the operator's configuration."""
    return {
        "name": name,
        "host": "desk.example",
        "prefix": prefix,
        "type": kind,
        "timeout-ms": timeout_ms,
        "latency-goal-ms": 100,
        "priority": 2,
        "service": service,
        "max-attempts": attempts,
    }


def configuration(version, routes, services, keys):
    """Return the operator's configuration."""
    return {
        "version": version,
        "routes": routes,
        "services": [
            {"name": name, "health-path": "/healthz", "max-conns": 110}
            for name in services
        ],
        "limits": {
            "max-header-bytes": 16384,
            "max-body-bytes": 4194304,
            "header-timeout-ms": 5000,
            "idle-timeout-ms": 30000,
        },
        "tenants": [{"name": "crew", "api-keys": list(keys), "priority": 2}],
    }


def main(play, folder):
    """Play a case; return its exit code: 1 broken, 0 held, 2 could not run."""

    async def run():
        case = Case(folder)
        try:
            is_broken = await asyncio.wait_for(play(case), 110)
        except (TimeoutError, CannotRunError, OSError) as error:
            case.record.write("cannot-run", detail=repr(error))
            print("could not run:", repr(error))
            return 2
        finally:
            case.stop()
        return 1 if is_broken else 0

    return asyncio.run(run())
