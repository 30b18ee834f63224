"""Tests of router processes that are started as on the platform, stopped and killed."""

import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
import time
import unittest
from pathlib import Path

from tests.deployment import RouterAddresses, free_addresses, platform_settings
from tests.platform.world import draft_bytes, request_bytes

ROOT = Path(__file__).parents[2]
# Generous, so that a loaded machine causes no false failures; no test checks speed.
TIMEOUT_S = 20.0
ROUTERS = 3
WORKERS = 5
EVENTS = 20


class Router:
    """One router process."""

    def __init__(self, number, folder, addresses, seeds, store, more=None):
        self.listen = addresses.listen
        self.readiness = addresses.readiness
        path = folder / f"settings-{number}.conf"
        path.write_text(platform_settings(number, addresses, seeds, store, more))
        self.log = folder / f"router-{number}.log"
        self.start(path)

    def start(self, path):
        self.path = path
        self.process = subprocess.Popen(
            [sys.executable, "deploy/start.py"],
            cwd=ROOT,
            env={**os.environ, "SESAMEARCH_SETTINGS": str(path)},
            stdout=self.log.open("ab"),
            stderr=subprocess.STDOUT,
        )

    def is_ready(self):
        try:
            answer = exchange(self.readiness, b"GET / HTTP/1.1\r\nHost: r\r\n\r\n")
        except OSError:
            return False
        return answer.startswith(b"HTTP/1.1 200")


def exchange(address, data):
    """Send a request and return the bytes received until the response is complete."""
    host, _, port = address.rpartition(":")
    with socket.create_connection((host, int(port)), timeout=TIMEOUT_S) as client:
        client.sendall(data)
        received = b""
        while not is_complete(received):
            part = client.recv(65536)
            if not part:
                break
            received += part
    return received


def is_complete(received):
    head, separator, body = received.partition(b"\r\n\r\n")
    if not separator:
        return False
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"content-length:"):
            return len(body) >= int(line.partition(b":")[2])
    return body.endswith(b"0\r\n\r\n")


def event_ids(received):
    lines = received.split(b"\n")
    return [int(line[4:]) for line in lines if line.startswith(b"id: ")]


class TestRouters(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        addresses = free_addresses(1 + WORKERS + 5 * ROUTERS)
        store, workers = addresses[0], addresses[1 : 1 + WORKERS]
        router_addresses = addresses[1 + WORKERS :]
        self.standins = subprocess.Popen(
            [sys.executable, "-m", "tests.platform.standins", store, *workers],
            cwd=ROOT,
            stdout=subprocess.PIPE,
        )
        self.addCleanup(self.kill, self.standins)
        self.standins.stdout.readline()
        groups = [
            RouterAddresses(*router_addresses[5 * n : 5 * n + 5])
            for n in range(ROUTERS)
        ]
        seeds = [group.control for group in groups]
        self.routers = []
        for number, group in enumerate(groups):
            router = Router(number, Path(folder.name), group, seeds, store)
            self.routers.append(router)
            self.addCleanup(lambda r=router: self.kill(r.process))
        for router in self.routers:
            self.wait_for(router.is_ready)

    @staticmethod
    def kill(process):
        if process.poll() is None:
            process.kill()
        process.wait()
        if process.stdout:
            process.stdout.close()

    def wait_for(self, condition):
        deadline_s = time.monotonic() + TIMEOUT_S
        while not condition():
            self.assertLess(time.monotonic(), deadline_s, "condition not met in time")
            time.sleep(0.05)

    def events(self, router, event):
        records = []
        for line in router.log.read_bytes().splitlines():
            record = json.loads(line)["record"]
            if record.get("event") == event:
                records.append(record)
        return records

    def test_calls_and_generations_are_served(self):
        for number, router in enumerate(self.routers):
            answer = exchange(router.listen, request_bytes("/look/1", f"c{number}"))
            self.assertTrue(answer.startswith(b"HTTP/1.1 200"), answer)
            answer = exchange(router.listen, draft_bytes(f"g{number}"))
            self.assertEqual(event_ids(answer), list(range(EVENTS)))

    def test_routers_join_each_other_over_encrypted_links(self):
        def all_joined():
            joined = [
                record["member"]
                for record in self.events(self.routers[0], "member_changed")
                if record["state"] == "joined"
            ]
            return {"edge-1", "edge-2"} <= set(joined)

        self.wait_for(all_joined)

    def test_killed_router_restarts_and_the_others_keep_serving(self):
        router = self.routers[0]
        router.process.send_signal(signal.SIGKILL)
        router.process.wait()
        answer = exchange(self.routers[1].listen, request_bytes("/look/1", "other"))
        self.assertTrue(answer.startswith(b"HTTP/1.1 200"), answer)
        router.start(router.path)
        self.wait_for(router.is_ready)
        answer = exchange(router.listen, request_bytes("/look/1", "again"))
        self.assertTrue(answer.startswith(b"HTTP/1.1 200"), answer)

    def test_terminated_router_finishes_running_requests_and_exits(self):
        router = self.routers[0]
        host, _, port = router.listen.rpartition(":")
        with socket.create_connection((host, int(port)), timeout=TIMEOUT_S) as client:
            client.sendall(draft_bytes("running", 4000))
            self.wait_for(lambda: self.events(router, "try_sent"))
            router.process.send_signal(signal.SIGTERM)
            received = b""
            while not is_complete(received):
                part = client.recv(65536)
                self.assertTrue(
                    part, "connection closed before the end of the response"
                )
                received += part
        self.assertEqual(event_ids(received), list(range(EVENTS)))
        self.assertEqual(router.process.wait(TIMEOUT_S), 0)

    def test_reload_signal_during_startup_does_not_end_the_process(self):
        with tempfile.TemporaryDirectory() as folder:
            path = os.path.join(folder, "settings.conf")
            os.mkfifo(path)
            process = subprocess.Popen(
                [sys.executable, "deploy/start.py"],
                cwd=ROOT,
                env={**os.environ, "SESAMEARCH_SETTINGS": path},
                stderr=subprocess.PIPE,
            )
            # Opening the FIFO blocks until the process opens its settings file.
            with open(path, "w") as settings:
                process.send_signal(signal.SIGHUP)
                settings.write("zone=east\n")
            error_output = process.communicate(timeout=TIMEOUT_S)[1]
        self.assertEqual(process.returncode, 2)
        self.assertIn(b"node-name", error_output)

    def test_unreadable_settings_end_the_process_with_a_reason(self):
        result = subprocess.run(
            [sys.executable, "deploy/start.py"],
            cwd=ROOT,
            env={**os.environ, "SESAMEARCH_SETTINGS": "/nonexistent"},
            capture_output=True,
            timeout=TIMEOUT_S,
            check=False,
        )
        self.assertEqual(result.returncode, 2)
        self.assertIn(b"/nonexistent", result.stderr)
