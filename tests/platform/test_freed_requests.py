"""What is left of a request after its end, until garbage is collected."""

import gc
import unittest

from tests.platform.world import World, draft_bytes, request_bytes

BODY = b"body" * 10_000


def kept_bodies():
    """Return how many objects refer to a copy of the body."""
    count = 0
    for each in gc.get_objects():
        for name in ("body", "_body", "_rest"):
            try:
                value = getattr(each, name, b"")
            except Exception:
                continue
            if isinstance(value, bytes | bytearray | memoryview):
                count += len(value) >= len(BODY)
    return count


class TestFreedRequests(unittest.TestCase):
    def setUp(self):
        self.world = World(desks=2, engines=2)
        gc.collect()
        gc.disable()
        self.addCleanup(gc.enable)

    def assert_freed(self, data, wait_s):
        client = self.world.send_request(data, wait_s=wait_s)
        self.assertEqual(client.status, 200)
        client.transport.abortConnection()
        self.world.run(1)
        for worker in (*self.world.desks, *self.world.engines):
            worker.runs.clear()
            worker.arrivals.clear()
            worker.processors.clear()
        self.assertEqual(kept_bodies(), 0)

    # Guards against large bodies of requests that have ended, which nothing counts.
    def test_body_of_a_call_is_freed_at_its_end(self):
        for method, path in (("POST", "/post/1"), ("GET", "/look/1")):
            with self.subTest(path=path):
                self.assert_freed(request_bytes(path, method=method, body=BODY), 1)

    def test_body_of_a_generation_is_freed_at_its_end(self):
        self.assert_freed(draft_bytes(body=BODY), 4)


if __name__ == "__main__":
    unittest.main()
