"""Tests of router processes that are started as on the platform, stopped and killed."""

import json
import os
import signal
import socket
import subprocess
import sys
import tempfile
from pathlib import Path

from tests.deployment import RouterAddresses, free_addresses
from tests.platform.router_process import (
    ROOT,
    TIMEOUT_S,
    ProcessTestCase,
    Router,
    exchange,
    is_complete,
)
from tests.platform.world import HOST, draft_bytes, request_bytes

ROUTERS = 3
WORKERS = 5
EVENTS = 20


def event_ids(received):
    lines = received.split(b"\n")
    return [int(line[4:]) for line in lines if line.startswith(b"id: ")]


class TestRouters(ProcessTestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        addresses = free_addresses(1 + WORKERS + 5 * ROUTERS)
        store, workers = addresses[0], addresses[1 : 1 + WORKERS]
        router_addresses = addresses[1 + WORKERS :]
        self.start_standins(store, *workers)
        groups = [
            RouterAddresses(*router_addresses[5 * n : 5 * n + 5])
            for n in range(ROUTERS)
        ]
        seeds = [group.control for group in groups]
        self.routers = []
        for number, group in enumerate(groups):
            router = Router(number, Path(folder.name), group, seeds, store)
            self.routers.append(router)
            self.addCleanup(lambda r=router: self.end(r.process))
        for router in self.routers:
            self.wait_for(router.is_ready)

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

    def test_command_tells_where_a_request_would_go_at_several_routers(self):
        metrics = [router.metrics for router in self.routers]
        request = ["--host", HOST, "--path", "/draft/1", "--format", "json"]
        command = [sys.executable, "-m", "sesamearch", "where", *metrics, *request]
        answers = []

        def answered():
            # Routers serve metrics some seconds after their start.
            result = subprocess.run(command, cwd=ROOT, capture_output=True)
            if result.returncode == 0:
                answers.extend(json.loads(result.stdout))
            return bool(answers)

        self.wait_for(answered)
        names = [answer["router"] for answer in answers]
        self.assertEqual(names, ["edge-0", "edge-1", "edge-2"])
        self.assertTrue(all(answer["chosen"] for answer in answers))
        self.assertEqual(self.events(self.routers[0], "try_sent"), [])

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
