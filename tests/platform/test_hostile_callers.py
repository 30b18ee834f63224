"""Crowds of callers that take a router's memory, against one real router process.

The limits of the VM are lowered, so that a small crowd is enough. Nothing checked here
depends on the speed of the machine.
"""

import json
import selectors
import socket
import tempfile
import time
import unittest
from pathlib import Path

from tests.deployment import RouterAddresses, free_addresses
from tests.platform.router_process import (
    TIMEOUT_S,
    ProcessTestCase,
    Router,
    exchange,
)
from tests.platform.world import HOST, KEY, ROUTES, make_configuration

MEMORY_MB = 96
MAX_FDS = 700
CROWD = 24
HALF_OPEN_CROWD = 900
BODY_BYTES = 4 << 20
HEADER_BYTES = 16 << 10
CHUNK_BYTES = 64 << 10
# Requests that one caller of a crowd sends ahead, without reading an answer.
AHEAD_BYTES = 4 << 20
# A crowd sends until all is sent or this time is over; nothing is checked against it.
PUSH_S = 10.0
RECEIVE_BUFFER_BYTES = 4096
KB = 1024


def make_crowd_configuration():
    """Return a configuration whose timeouts no test meets on a slow machine."""
    routes = [dict(route, **{"timeout-ms": 60_000}) for route in ROUTES]
    limits = {
        "max-header-bytes": HEADER_BYTES,
        "max-body-bytes": BODY_BYTES,
        "header-timeout-ms": 60_000,
        "idle-timeout-ms": 60_000,
    }
    return make_configuration(routes=routes, limits=limits)


def head_of(name, framing, path="/post/1"):
    return (
        f"POST {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {name}\r\n"
        f"X-Deadline-Ms: 60000\r\nAuthorization: Token {KEY}\r\n{framing}\r\n\r\n"
    ).encode()


def whole_body(name, size=BODY_BYTES):
    return head_of(name, f"Content-Length: {size}") + b"x" * size


def unended_body(name):
    return whole_body(name)[:-1]


def chunked_body(name):
    chunk = b"%x\r\n%s\r\n" % (CHUNK_BYTES, b"x" * CHUNK_BYTES)
    chunks = chunk * (BODY_BYTES // CHUNK_BYTES)
    return head_of(name, "Transfer-Encoding: chunked") + chunks


def expecting_body(name):
    framing = f"Expect: 100-continue\r\nContent-Length: {BODY_BYTES}"
    return head_of(name, framing) + b"x" * (BODY_BYTES - 1)


def half_head(name):
    return head_of(name, "X-Long: " + "x" * (HEADER_BYTES // 2))[:-4]


def requests_ahead(path, count=None):
    request = f"GET {path} HTTP/1.1\r\nHost: {HOST}\r\n\r\n".encode()
    return request * (count or AHEAD_BYTES // len(request))


class Crowd:
    """Callers that send what they have, and read nothing."""

    def __init__(self):
        self.clients = []
        self._selector = selectors.DefaultSelector()

    def join(self, address, data):
        """Connect one more caller, which is to send `data`."""
        host, _, port = address.rpartition(":")
        client = socket.socket()
        client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        client.settimeout(TIMEOUT_S)
        self.clients.append(client)
        try:
            client.connect((host, int(port)))
        except OSError:
            return
        client.setblocking(False)
        self._selector.register(client, selectors.EVENT_WRITE, memoryview(data))

    def push(self, must_stop, piece_bytes=CHUNK_BYTES):
        """Send in turns until all is sent, ``PUSH_S`` is over or `must_stop` is true.

        Callers whose connection is closed stay away.
        """
        deadline_s = time.monotonic() + PUSH_S
        while self._selector.get_map() and time.monotonic() < deadline_s:
            for key, _ in self._selector.select(0.1):
                self._send_piece(key, piece_bytes)
            if must_stop():
                return

    def _send_piece(self, key, piece_bytes):
        try:
            sent = key.fileobj.send(key.data[:piece_bytes])
        except BlockingIOError:
            return
        except OSError:
            self._selector.unregister(key.fileobj)
            return
        rest = key.data[sent:]
        if rest:
            self._selector.modify(key.fileobj, selectors.EVENT_WRITE, rest)
        else:
            self._selector.unregister(key.fileobj)

    def close(self):
        self._selector.close()
        for client in self.clients:
            client.close()


class TestCrowds(ProcessTestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        configuration = Path(folder.name) / "configuration.json"
        configuration.write_text(json.dumps(make_crowd_configuration()))
        addresses = free_addresses(9)
        store, workers, own = addresses[0], addresses[1:4], addresses[4:]
        self.addresses = RouterAddresses(*own)
        self.start_standins("--configuration", str(configuration), store, *workers)
        limits = {"limits.memory-mb": MEMORY_MB, "limits.max-fds": MAX_FDS}
        seeds = [self.addresses.control]
        self.router = Router(0, Path(folder.name), self.addresses, seeds, store, limits)
        self.addCleanup(self.end, self.router.process)
        self.crowd = Crowd()
        self.addCleanup(self.crowd.close)
        self.wait_for(self.router.is_ready)

    def has_metrics(self):
        try:
            answer = exchange(self.addresses.metrics, requests_ahead("/metrics", 1))
        except OSError:
            return False
        return answer.startswith(b"HTTP/1.1 200")

    def peak_mb(self):
        """Return the largest resident memory of the router so far."""
        status = Path(f"/proc/{self.router.process.pid}/status").read_text()
        line = next(each for each in status.splitlines() if each.startswith("VmHWM"))
        return int(line.split()[1]) / KB

    def is_over_memory(self):
        return self.router.process.poll() is not None or self.peak_mb() > MEMORY_MB

    def push(self, count, address, make_data, piece_bytes=CHUNK_BYTES):
        for number in range(count):
            self.crowd.join(address, make_data(f"crowd-{number}"))
        self.crowd.push(self.is_over_memory, piece_bytes)

    def check(self):
        """Check the process while the crowd stays, and that it serves others."""
        self.check_process()
        answer = exchange(self.router.listen, whole_body("ordinary", 100))
        self.assertTrue(answer.startswith(b"HTTP/1.1 200"), answer[:200])
        self.assertTrue(self.router.is_ready())
        self.check_process()

    def check_process(self):
        self.assertIsNone(self.router.process.poll())
        self.assertLessEqual(self.peak_mb(), MEMORY_MB)
        folder = Path(f"/proc/{self.router.process.pid}/fd")
        self.assertLessEqual(len(list(folder.iterdir())), MAX_FDS)

    def test_whole_bodies_at_once(self):
        self.push(CROWD, self.router.listen, whole_body)
        self.check()

    def test_bodies_piece_by_piece(self):
        self.push(CROWD, self.router.listen, chunked_body, CHUNK_BYTES // 8)
        self.check()

    def test_bodies_that_stop_short_of_their_end(self):
        self.push(CROWD, self.router.listen, unended_body)
        self.check()

    def test_bodies_that_stop_short_after_a_continue(self):
        self.push(CROWD, self.router.listen, expecting_body)
        self.check()

    def test_bodies_on_the_port_of_other_routers(self):
        self.push(CROWD, self.addresses.proxy, unended_body)
        self.check()

    def test_requests_ahead_at_a_path_without_a_route(self):
        data = requests_ahead("/nowhere")
        self.push(CROWD, self.router.listen, lambda name: data)
        self.check()

    def test_requests_ahead_at_the_readiness_path(self):
        data = requests_ahead("/sesamearch/readyz")
        self.push(CROWD, self.router.readiness, lambda name: data)
        self.check()

    def test_requests_ahead_at_the_metrics_path(self):
        self.wait_for(self.has_metrics)
        data = requests_ahead("/metrics")
        self.push(CROWD, self.addresses.metrics, lambda name: data)
        self.check()

    def test_half_heads(self):
        self.push(HALF_OPEN_CROWD, self.router.listen, half_head)
        self.check()

    def test_large_body_is_served_in_calm(self):
        answer = exchange(self.router.listen, whole_body("large"))
        self.assertTrue(answer.startswith(b"HTTP/1.1 200"), answer[:200])
        self.check()


if __name__ == "__main__":
    unittest.main()
