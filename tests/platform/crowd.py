"""Crowds of callers that don't behave, and the processes that they press."""

import json
import selectors
import socket
import tempfile
import time
from pathlib import Path

from tests.deployment import RouterAddresses, free_addresses
from tests.platform.router_process import (
    TIMEOUT_S,
    ProcessTestCase,
    Router,
    exchange,
)
from tests.platform.world import HOST, KEY, ROUTES, make_configuration

BODY_BYTES = 4 << 20
HEADER_BYTES = 16 << 10
CHUNK_BYTES = 64 << 10
# Requests that one caller of a crowd sends ahead, without reading an answer.
AHEAD_BYTES = 4 << 20
# A crowd sends until all is sent or this time is over; nothing is checked against it.
PUSH_S = 10.0
RECEIVE_BUFFER_BYTES = 4096
KB = 1024
# A caller that comes again stays no longer than this.
STAY_S = 1.0
# A crowd that has sent all stays so long before others are served; as for ``PUSH_S``.
LINGER_S = 3.0
# The plain workers have large answers to requests for this path.
LARGE_PATH = "/look/large"


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


def single_byte_chunks(name, count):
    return head_of(name, "Transfer-Encoding: chunked") + b"1\r\nx\r\n" * count


def look_large(name):
    head = head_of(name, "Connection: keep-alive", LARGE_PATH)
    return head.replace(b"POST", b"GET", 1)


def requests_ahead(path, count=None):
    request = f"GET {path} HTTP/1.1\r\nHost: {HOST}\r\n\r\n".encode()
    return request * (count or AHEAD_BYTES // len(request))


def peak_mb(process):
    """Return the largest resident memory of a process so far."""
    status = Path(f"/proc/{process.pid}/status").read_text()
    line = next(each for each in status.splitlines() if each.startswith("VmHWM"))
    return int(line.split()[1]) / KB


def count_fds(process):
    """Return the number of descriptors that a process has open."""
    return len(list(Path(f"/proc/{process.pid}/fd").iterdir()))


class Crowd:
    """Callers that send what they have, and read nothing."""

    def __init__(self):
        self.clients = []
        self._selector = selectors.DefaultSelector()

    def join(self, address, data):
        """Connect one more caller, which is to send `data`; return it."""
        host, _, port = address.rpartition(":")
        client = socket.socket()
        client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        client.settimeout(TIMEOUT_S)
        self.clients.append(client)
        try:
            client.connect((host, int(port)))
        except OSError:
            return client
        client.setblocking(False)
        self._selector.register(client, selectors.EVENT_WRITE, memoryview(data))
        return client

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

    def linger(self, must_stop):
        """Stay for a while, so that answers to the crowd can pile up."""
        deadline_s = time.monotonic() + LINGER_S
        while time.monotonic() < deadline_s and not must_stop():
            time.sleep(0.05)

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


class ReturningCrowd(Crowd):
    """Callers that come again at once, each time with a request of its own.

    A caller leaves as soon as it has an answer or is disconnected, or after ``STAY_S``.
    """

    def push_again(self, count, address, make_data, must_stop):
        """Keep `count` callers there for ``PUSH_S``, or until `must_stop` is true."""
        deadline_s = time.monotonic() + PUSH_S
        since_s, number = {}, 0
        while time.monotonic() < deadline_s and not must_stop():
            while len(since_s) < count:
                client = self.join(address, make_data(f"crowd-{number}"))
                since_s[client] = time.monotonic()
                number += 1
            for key, _ in self._selector.select(0.01):
                self._send_piece(key, CHUNK_BYTES)
            for client in [each for each in since_s if self._leaves(each, since_s)]:
                self._leave(client)
                del since_s[client]

    def _leaves(self, client, since_s):
        if time.monotonic() - since_s[client] > STAY_S:
            return True
        try:
            client.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return False
        except OSError:
            return True
        return True

    def _leave(self, client):
        if client in self._selector.get_map():
            self._selector.unregister(client)
        self.clients.remove(client)
        client.close()


class CrowdTestCase(ProcessTestCase):
    """Starts a router whose VM has few resources, and checks it beside a crowd.

    Attributes
    ----------
    memory_mb, max_fds : int
        Memory and descriptors of the router's VM.
    slots : int
        Requests that each endpoint takes at once.
    answer_bytes : int
        Size of the endpoints' large answers.
    """

    memory_mb = 96
    max_fds = 700
    slots = 12
    answer_bytes = 4 << 20

    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        configuration = Path(folder.name) / "configuration.json"
        configuration.write_text(json.dumps(make_crowd_configuration()))
        addresses = free_addresses(9)
        store, workers, own = addresses[0], addresses[1:4], addresses[4:]
        self.addresses = RouterAddresses(*own)
        self.start_standins(
            "--configuration",
            str(configuration),
            "--slots",
            str(self.slots),
            "--large",
            f"{LARGE_PATH}={self.answer_bytes}",
            store,
            *workers,
        )
        limits = {"limits.memory-mb": self.memory_mb, "limits.max-fds": self.max_fds}
        seeds = [self.addresses.control]
        self.router = Router(0, Path(folder.name), self.addresses, seeds, store, limits)
        self.addCleanup(self.end, self.router.process)
        self.crowd = ReturningCrowd()
        self.addCleanup(self.crowd.close)
        self.wait_for(self.router.is_ready)

    def has_metrics(self):
        try:
            answer = exchange(self.addresses.metrics, requests_ahead("/metrics", 1))
        except OSError:
            return False
        return answer.startswith(b"HTTP/1.1 200")

    def is_over_memory(self):
        process = self.router.process
        return process.poll() is not None or peak_mb(process) > self.memory_mb

    def push(self, count, address, make_data, piece_bytes=CHUNK_BYTES):
        for number in range(count):
            self.crowd.join(address, make_data(f"crowd-{number}"))
        self.crowd.push(self.is_over_memory, piece_bytes)

    def check(self, size_bytes=100):
        """Check the process while the crowd stays, and that it serves others."""
        self.check_process()
        answer = exchange(self.router.listen, whole_body("ordinary", size_bytes))
        self.assertTrue(answer.startswith(b"HTTP/1.1 200"), answer[:200])
        self.assertTrue(self.router.is_ready())
        self.check_process()

    def check_process(self):
        process = self.router.process
        self.assertIsNone(process.poll())
        self.assertLessEqual(peak_mb(process), self.memory_mb)
        self.assertLessEqual(count_fds(process), self.max_fds)
