"""A small deployment of real processes on loopback, for failure tests."""

import os
import resource
import signal
import socket
import subprocess
import sys
import tempfile
from pathlib import Path

import msgspec
import treq
import yaml
from twisted.internet import reactor
from twisted.internet.task import deferLater

from sesamearch.callers.client import CompletionClient
from sesamearch.configuration.configuration import collect
from sesamearch.configuration.keys import new_cursor_key
from sesamearch.configuration.publisher import publish
from sesamearch.configuration.settings import StoreSettings
from sesamearch.standin.engine import expected_token, prompt_digest
from sesamearch.store.etcd import EtcdStore

SERVICES_FOLDER = Path(__file__).parent.parent / "demo" / "services"
MESSAGES = [{"role": "user", "content": "Assess watch 4711."}]
MAX_TRIES = 300
TRY_INTERVAL_S = 0.1
API_KEY = "demo-key"
FIRST_PORT = 10_000
FIRST_EPHEMERAL_PORT = 32_768
PORTS_PER_BLOCK = 256


def reserve_ports():
    """Yield free ports that this function yields to no other running process.

    The ports lie below the ephemeral range, because the kernel may assign an ephemeral
    port to a connection before the process that is to listen on it has started.
    While the generator exists, it stays bound to the first port of each block, which
    reserves the rest of the block.
    """
    reservations = []
    for first in range(
        FIRST_PORT, FIRST_EPHEMERAL_PORT - PORTS_PER_BLOCK, PORTS_PER_BLOCK
    ):
        reservation = socket.socket()
        try:
            reservation.bind(("127.0.0.1", first))
        except OSError:
            reservation.close()
            continue
        reservations.append(reservation)
        yield from filter(_is_free, range(first + 1, first + PORTS_PER_BLOCK))


def _is_free(port):
    with socket.socket() as probe:
        try:
            probe.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True


_ports = reserve_ports()


def free_addresses(count):
    """Return unused loopback addresses; see :func:`reserve_ports`."""
    return [f"127.0.0.1:{next(_ports)}" for _ in range(count)]


class RouterAddresses(msgspec.Struct, frozen=True):
    """Listening addresses of a router on the platform, as ``ip:port``."""

    listen: str
    readiness: str
    control: str
    metrics: str
    proxy: str


def platform_settings(number, addresses, seeds, store, more=None):
    """Return the text of the platform's settings file for a router on loopback.

    Entries of `more` are added to it.
    """
    metrics, proxy = (
        address.rpartition(":")[2] for address in (addresses.metrics, addresses.proxy)
    )
    settings = {
        "node-name": f"edge-{number}",
        "zone": "east" if number % 2 == 0 else "west",
        "ip": "127.0.0.1",
        "listen.frontend": addresses.listen,
        "listen.readiness": addresses.readiness,
        "listen.control-plane": addresses.control,
        "internal-ports": f"{metrics},{proxy}",
        "seeds": ",".join(seeds),
        "limits.link-mbps": "1000.0",
        "platform.address": store,
        **(more or {}),
    }
    return "".join(f"{key}={value}\n" for key, value in settings.items())


async def responds(url):
    try:
        response = await treq.get(url, timeout=2, persistent=False)
        await response.content()
    except Exception:
        return False
    return response.code == 200


async def wait_until(condition):
    for _ in range(MAX_TRIES):
        if await condition():
            return
        await deferLater(reactor, TRY_INTERVAL_S)
    raise AssertionError("condition not met in time")


class Deployment:
    """Two routers, two engines, a service and the store, as processes.

    Parameters
    ----------
    router_fds : int or None
        Descriptors that each router may open; None for as many as this process.
    router_memory_mb : int or None
        Memory that each router may use, None for the default.
    """

    def __init__(self, router_fds=None, router_memory_mb=None):
        self._router_fds = router_fds
        self._router_memory_mb = router_memory_mb
        self._folder = tempfile.TemporaryDirectory()
        self.folder = Path(self._folder.name)
        self.processes = {}
        names = ["store", "e1", "e2", "s1", "r1", "r2", "r1-ops", "r2-ops"]
        self.addresses = dict(zip(names, free_addresses(len(names)), strict=True))
        self.routers = [self.addresses["r1"], self.addresses["r2"]]

    async def start(self):
        new_cursor_key(self.folder / "cursor.key")
        self._write_vms()
        store = self.addresses["store"]
        vms = str(self.folder / "vms.yaml")
        self._spawn("store", "standin", "store", "--listen", store, "--vms", vms)
        for name, kind in (("e1", "engine"), ("e2", "engine"), ("s1", "service")):
            self._spawn(name, "standin", kind, "--listen", self.addresses[name])
        for name in ("r1", "r2"):
            path = self._write_settings(name)
            self._spawn(name, "router", "--settings", path, max_fds=self._router_fds)
        await wait_until(lambda: responds(f"http://{self.addresses['e1']}/v1/load"))
        await wait_until(lambda: responds(f"http://{self.addresses['e2']}/v1/load"))
        await wait_until(
            lambda: responds(f"http://{self.addresses['s1']}/standin/runs")
        )
        await wait_until(self._publish)
        for name in ("r1", "r2"):
            url = f"http://{self.addresses[name + '-ops']}/readyz"
            await wait_until(lambda url=url: responds(url))

    async def _publish(self):
        store = EtcdStore(reactor, StoreSettings([self.addresses["store"]]))
        result = await publish(store, collect(SERVICES_FOLDER).unwrap(), "test")
        await store.close()
        return result.is_ok()

    def _write_vms(self):
        vms = [
            {
                "name": name,
                "address": self.addresses[name],
                "data_centre": "a",
                "service": service,
                "version": "v1",
            }
            for name, service in (
                ("e1", "drafting"),
                ("e2", "drafting"),
                ("s1", "ticketing"),
            )
        ]
        (self.folder / "vms.yaml").write_text(yaml.safe_dump({"vms": vms}))

    def _write_settings(self, name):
        settings = {
            "name": name,
            "data_centre": "a",
            "listen": self.addresses[name],
            "operators_listen": self.addresses[name + "-ops"],
            "store": {"addresses": [self.addresses["store"]], "timeout_s": 1},
            "cursor_key_file": "cursor.key",
            "drain": {"balancer_grace_s": 0.3, "timeout_s": 60},
        }
        if self._router_memory_mb is not None:
            settings["limits"] = {"memory_mb": self._router_memory_mb}
        path = self.folder / f"{name}.yaml"
        path.write_text(yaml.safe_dump(settings))
        return str(path)

    def _spawn(self, name, *arguments, max_fds=None):
        def limit_fds():
            if max_fds is not None:
                resource.setrlimit(resource.RLIMIT_NOFILE, (max_fds, max_fds))

        log = open(self.folder / f"{name}.log", "wb")
        self.processes[name] = subprocess.Popen(
            [sys.executable, "-m", "sesamearch", *arguments],
            stdout=log,
            stderr=log,
            preexec_fn=limit_fds,
        )
        log.close()

    def signal(self, name, number):
        os.kill(self.processes[name].pid, number)

    def stop(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
            process.wait()
        self._folder.cleanup()

    async def busy_engine(self):
        for name in ("e1", "e2"):
            if self.processes[name].poll() is not None:
                continue
            url = f"http://{self.addresses[name]}/v1/load"
            response = await treq.get(url, timeout=2, persistent=False)
            if (await response.json())["running"]:
                return name
        raise AssertionError("no engine is busy")

    def ask(self, tokens, at=None, act=None):
        """Request a completion; call `act` when token number `at` arrives."""

        def on_token(text, answer):
            if answer.tokens == at:
                act()

        completion_client = CompletionClient(reactor, self.routers, API_KEY, on_token)
        return completion_client.ask("bench-draft", MESSAGES, tokens, 7)

    async def post_receipt(self, router, key):
        url = f"http://{self.addresses[router]}/services/ticketing/receipts"
        headers = {"Authorization": f"Bearer {API_KEY}", "Idempotency-Key": key}
        response = await treq.post(
            url, data=b"{}", headers=headers, timeout=15, persistent=False
        )
        return response.code, await response.text()

    async def executed_keys(self):
        url = f"http://{self.addresses['s1']}/standin/runs"
        response = await treq.get(url, timeout=5, persistent=False)
        return await response.json()

    async def post_to_standin(self, name, path, value):
        url = f"http://{self.addresses[name]}/standin/{path}"
        await treq.post(url, json=value, timeout=5, persistent=False)


def expected_answer(tokens):
    """Return the text of a complete answer."""
    digest = prompt_digest(MESSAGES)
    return "".join(expected_token("v1", 7, digest, index) for index in range(tokens))
