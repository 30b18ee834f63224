"""Crowds of callers at the product's own interface, against real processes.

The descriptors and the memory of the routers are lowered, so that a small crowd is
enough. Nothing checked here depends on the speed of the machine.
"""

from twisted.trial import unittest

from tests.daemon.test_processes import new_key
from tests.deployment import Deployment, responds
from tests.platform.crowd import AHEAD_BYTES, Crowd, count_fds, peak_mb

MEMORY_MB = 96
MAX_FDS = 700
CROWD = 60
HALF_OPEN_CROWD = 900
BODY_BYTES = 1 << 20


def requests_ahead(request):
    return request * (AHEAD_BYTES // len(request))


def get(path):
    return f"GET {path} HTTP/1.1\r\nHost: r\r\n\r\n".encode()


def post(path, size_bytes):
    framing = f"Host: r\r\nContent-Length: {size_bytes}\r\n\r\n"
    return f"POST {path} HTTP/1.1\r\n{framing}".encode()


class HostileCallersTest(unittest.TestCase):
    timeout = 110

    async def setUp(self):
        self.deployment = Deployment(MAX_FDS, MEMORY_MB)
        self.addCleanup(self.deployment.stop)
        await self.deployment.start()
        self.router = self.deployment.processes["r1"]
        self.crowd = Crowd()
        self.addCleanup(self.crowd.close)

    def is_over_memory(self):
        return self.router.poll() is not None or peak_mb(self.router) > MEMORY_MB

    def push(self, name, data, count=CROWD):
        """Have a crowd send `data` to an address of the router."""
        for _ in range(count):
            self.crowd.join(self.deployment.addresses[name], data)
        self.crowd.push(self.is_over_memory)
        self.crowd.linger(self.is_over_memory)

    def check_process(self):
        self.assertIsNone(self.router.poll())
        self.assertLessEqual(peak_mb(self.router), MEMORY_MB)
        self.assertLessEqual(count_fds(self.router), MAX_FDS)

    async def check(self):
        """Check the process, and that it serves others, beside the crowd and after."""
        for number in range(2):
            self.check_process()
            status, _ = await self.deployment.post_receipt("r1", new_key(number))
            self.assertEqual(status, 200)
            operators = self.deployment.addresses["r1-ops"]
            self.assertTrue(await responds(f"http://{operators}/readyz"))
            self.check_process()
            self.crowd.close()

    # Guards against answers to requests ahead that are kept for who reads none of them.
    async def test_requests_ahead_at_a_path_without_a_route(self):
        self.push("r1", requests_ahead(get("/nowhere")))
        await self.check()

    async def test_requests_ahead_without_a_key(self):
        self.push("r1", requests_ahead(post("/services/ticketing/receipts", 0)))
        await self.check()

    async def test_requests_ahead_at_the_port_for_operators(self):
        self.push("r1-ops", requests_ahead(get("/status")))
        await self.check()

    async def test_bodies_that_stop_short_of_their_end(self):
        body = post("/v1/chat/completions", BODY_BYTES) + b"x" * (BODY_BYTES - 1)
        self.push("r1", body)
        await self.check()

    # Guards against connections without a request that take all descriptors.
    async def test_half_heads(self):
        self.push("r1", get("/v1/models")[:-2], HALF_OPEN_CROWD)
        await self.check()

    async def test_half_heads_at_the_port_for_operators(self):
        self.push("r1-ops", get("/healthz")[:-2], HALF_OPEN_CROWD)
        await self.check()
