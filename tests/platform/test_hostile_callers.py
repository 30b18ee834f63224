"""Crowds of callers that take a router's memory, against one real router process.

The limits of the VM are lowered, so that a small crowd is enough. Nothing checked here
depends on the speed of the machine.
"""

import unittest

from tests.platform.crowd import (
    BODY_BYTES,
    CHUNK_BYTES,
    CrowdTestCase,
    chunked_body,
    expecting_body,
    half_head,
    look_large,
    requests_ahead,
    single_byte_chunks,
    unended_body,
    whole_body,
)
from tests.platform.router_process import exchange

CROWD = 24
HALF_OPEN_CROWD = 900
# Callers that ask for large answers and read none of them.
UNREAD_CROWD = 160
RETURNING_CROWD = 120
SINGLE_BYTE_CROWD = 60
SINGLE_BYTES = 700_000
SEQUENTIAL_BODIES = 40


class TestCrowds(CrowdTestCase):
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

    # Guards against connections to other routers' port that never prove a key.
    def test_silent_connections_at_the_port_for_messages(self):
        self.push(HALF_OPEN_CROWD, self.addresses.control, lambda name: b"\xff")
        self.crowd.linger(self.is_over_memory)
        self.check()

    def test_large_body_is_served_in_calm(self):
        answer = exchange(self.router.listen, whole_body("large"))
        self.assertTrue(answer.startswith(b"HTTP/1.1 200"), answer[:200])
        self.check()


class TestSmallVm(CrowdTestCase):
    """The same on a VM that has room for little more than the process itself."""

    memory_mb = 88
    max_fds = 4100
    slots = 1000

    # Guards against answers that are held for callers that read nothing.
    def test_unread_answers(self):
        self.push(UNREAD_CROWD, self.router.listen, look_large)
        self.crowd.linger(self.is_over_memory)
        self.check()

    def test_request_after_unread_answers(self):
        self.push(UNREAD_CROWD, self.router.listen, look_large)
        self.crowd.linger(self.is_over_memory)
        self.crowd.close()
        self.check()

    # Guards against bodies that stay in memory after their requests have ended.
    def test_large_bodies_one_after_the_other(self):
        for number in range(SEQUENTIAL_BODIES):
            self.check_process()
            answer = exchange(self.router.listen, whole_body(f"large-{number}"))
            self.assertTrue(answer.startswith(b"HTTP/1.1 200"), answer[:200])
        self.check()

    # Guards against memory that is not free yet when the next caller brings as much.
    def test_callers_that_come_again_at_once(self):
        self.crowd.push_again(
            RETURNING_CROWD, self.router.listen, whole_body, self.is_over_memory
        )
        self.check()

    # Guards against a large body that waits behind all that a crowd has left.
    def test_bodies_in_single_bytes(self):
        self.push(
            SINGLE_BYTE_CROWD,
            self.router.listen,
            lambda name: single_byte_chunks(name, SINGLE_BYTES),
        )
        self.check()
        self.crowd.close()
        self.check(BODY_BYTES)


class TestFewSlots(CrowdTestCase):
    """Callers that keep the slots of all endpoints in use, and read no answers."""

    # More than the sockets between an endpoint and a caller hold.
    answer_bytes = 32 << 20

    # Guards against callers who read nothing and keep all others from the endpoints.
    def test_unread_answers(self):
        self.push(UNREAD_CROWD, self.router.listen, look_large)
        self.crowd.linger(self.is_over_memory)
        self.check()


if __name__ == "__main__":
    unittest.main()
