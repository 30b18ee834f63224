"""Run the benchmarks: ``python -m bench [NAME ...]``.

Prints one line of JSON for each figure.
"""

import json
import os
import subprocess
import sys
import tempfile
import time
import urllib.request
from pathlib import Path

import yaml
from tests.deployment import SERVICES_FOLDER, free_addresses

from bench import forward, micro

FLOOD_STREAMS = 20
PACED_STREAMS = 200
TOKEN_INTERVAL_MS = 35
RUN_S = 4
ROUNDS = range(8)
START_TIMEOUT_S = 20
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def print_figure(name, value, unit, target="", **more):
    """Print one figure as a line of JSON."""
    line = {"figure": name, "value": value, "unit": unit, "target": target, **more}
    print(json.dumps(line), flush=True)


def cpu_s(pid):
    """Return the CPU time that a process has used so far."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS_PER_S


def resident_mb(pid):
    """Return the resident memory of a process in MB."""
    status = Path(f"/proc/{pid}/status").read_text()
    return int(status.partition("VmRSS:")[2].split()[0]) / 1024


class Bench:
    """Runs a benchmark engine, the bare relay, a store and a router as processes.

    Parameters
    ----------
    token_interval_ms : float
        Interval between the events of a stream; 0 to send as fast as possible.
    """

    def __init__(self, token_interval_ms):
        self._folder = tempfile.TemporaryDirectory()
        self.folder = Path(self._folder.name)
        names = ["source", "relay", "store", "router", "ops"]
        self.addresses = dict(zip(names, free_addresses(len(names)), strict=True))
        self.processes = {}
        self._start(token_interval_ms)

    def _spawn(self, name, *arguments):
        self.processes[name] = subprocess.Popen(
            [sys.executable, "-m", *arguments], stderr=subprocess.DEVNULL
        )

    def _start(self, token_interval_ms):
        at = self.addresses
        self._spawn("source", "bench.source", at["source"], str(token_interval_ms))
        self._spawn("relay", "bench.relay", at["relay"], at["source"])
        vm = {"name": "e1", "address": at["source"], "data_centre": "a"}
        vm.update(service="drafting", version="v1")
        (self.folder / "vms.yaml").write_text(yaml.safe_dump({"vms": [vm]}))
        vms = str(self.folder / "vms.yaml")
        store = ("standin", "store", "--listen", at["store"], "--vms", vms)
        self._spawn("store", "sesamearch", *store)
        (self.folder / "cursor.key").write_text("k" * 64)
        settings = {
            "name": "r1",
            "data_centre": "a",
            "listen": at["router"],
            "operators_listen": at["ops"],
            "store": {"addresses": [at["store"]]},
            "cursor_key_file": "cursor.key",
        }
        path = self.folder / "router.yaml"
        path.write_text(yaml.safe_dump(settings))
        self._spawn("router", "sesamearch", "router", "--settings", str(path))
        publish = [sys.executable, "-m", "sesamearch", "publish", str(SERVICES_FOLDER)]
        publish += ["--store", at["store"]]
        self._wait_while(
            lambda: subprocess.run(publish, capture_output=True).returncode
        )
        self._wait_while(lambda: not self._is_ready())

    @staticmethod
    def _wait_while(is_failing):
        deadline_s = time.monotonic() + START_TIMEOUT_S
        while is_failing():
            if time.monotonic() > deadline_s:
                raise SystemExit("bench: a process did not become ready in time")
            time.sleep(0.2)

    def _is_ready(self):
        try:
            url = f"http://{self.addresses['ops']}/readyz"
            return urllib.request.urlopen(url, timeout=1).status == 200
        except OSError:
            return False

    def run(self, name, streams):
        """Load a process; return the load's figures and its CPU time per event."""
        command = [sys.executable, "-m", "bench.load", self.addresses[name]]
        load = subprocess.Popen(
            [*command, str(streams), str(RUN_S)], stdout=subprocess.PIPE, text=True
        )
        pid = self.processes[name].pid
        # The load generator prints a line when the measured half of the run begins.
        load.stdout.readline()
        before_s = cpu_s(pid)
        figures = json.loads(load.stdout.readline())
        figures["cpu_us"] = (cpu_s(pid) - before_s) / figures["events"] * 1e6
        figures["rate"] = figures["events"] / figures["seconds"]
        load.wait()
        return figures

    def stop(self):
        """Terminate all processes."""
        for process in self.processes.values():
            process.terminate()
        for process in self.processes.values():
            process.wait()
        self._folder.cleanup()


def cheapest_runs(bench, streams):
    """Return the figures of the cheapest relay run and the cheapest router run.

    Relay and router runs alternate. The speed of a shared machine changes by half
    from one run to the next, so only the lowest CPU times are comparable.
    """
    runs = [(bench.run("relay", streams), bench.run("router", streams)) for _ in ROUNDS]
    relays, routers = zip(*runs, strict=True)
    return min(relays, key=_cpu_us), min(routers, key=_cpu_us)


def _cpu_us(figures):
    return figures["cpu_us"]


def print_comparison(kind, relay, router):
    """Print the CPU time per token of the relay and of the router."""
    for name, figures in (("relay", relay), ("router", router)):
        cpu_us, rate = round(figures["cpu_us"], 1), round(figures["rate"])
        print_figure(f"{kind}_{name}_cpu", cpu_us, "us/token", tokens_per_s=rate)
    ratio = relay["cpu_us"] / router["cpu_us"]
    print_figure(f"{kind}_router_to_relay", round(ratio, 3), "ratio", ">= 0.8")


def bench_flood():
    """Measure the CPU time per token if many events arrive in one read."""
    bench = Bench(0)
    try:
        memory_mb = resident_mb(bench.processes["router"].pid)
        print_figure("idle_router_resident", round(memory_mb, 1), "MB", "<= 64")
        print_comparison("flood", *cheapest_runs(bench, FLOOD_STREAMS))
    finally:
        bench.stop()


def bench_paced():
    """Measure the CPU time per token if each event arrives separately."""
    bench = Bench(TOKEN_INTERVAL_MS)
    try:
        relay, router = cheapest_runs(bench, PACED_STREAMS)
        memory_mb = resident_mb(bench.processes["router"].pid)
    finally:
        bench.stop()
    print_comparison("paced", relay, router)
    added_ms = (router["first_event_p50_s"] - relay["first_event_p50_s"]) * 1000
    print_figure("added_first_token_p50", round(added_ms, 2), "ms")
    print_figure("resident_with_200_streams", round(memory_mb, 1), "MB")


BENCHES = {
    "flood": bench_flood,
    "paced": bench_paced,
    **micro.BENCHES,
    **forward.BENCHES,
}


def main(names):
    for name in names or BENCHES:
        BENCHES[name]()


main(sys.argv[1:])
