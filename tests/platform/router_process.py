"""Router processes on loopback, started as on the platform."""

import os
import socket
import subprocess
import sys
import time
import unittest
from pathlib import Path

from tests.deployment import platform_settings

ROOT = Path(__file__).parents[2]
# Generous, so that a loaded machine causes no false failures; no test checks speed.
TIMEOUT_S = 20.0


class Router:
    """One router process."""

    def __init__(self, number, folder, addresses, seeds, store, more=None):
        self.listen = addresses.listen
        self.readiness = addresses.readiness
        self.metrics = addresses.metrics
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


class ProcessTestCase(unittest.TestCase):
    """Starts processes, and ends them by their ids."""

    @staticmethod
    def end(process):
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

    def start_standins(self, *arguments):
        """Start the store and the workers, and wait until they listen."""
        process = subprocess.Popen(
            [sys.executable, "-m", "tests.platform.standins", *arguments],
            cwd=ROOT,
            stdout=subprocess.PIPE,
        )
        self.addCleanup(self.end, process)
        process.stdout.readline()
