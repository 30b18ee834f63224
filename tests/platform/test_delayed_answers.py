"""Answers that are read long after they were sent, from a process that has ended."""

import unittest

from sesamearch.standin.platform_worker import PlatformServiceStandin
from tests.platform.world import ROUTES, World, make_configuration, request_bytes

TIMEOUT_MS = 4000
REUSE_AFTER_S = 2.0


class TestReusedAddress(unittest.TestCase):
    """The only worker ends; its last answer arrives when its address is another's."""

    def setUp(self):
        self.world = World(routers=2, desks=1)
        (self.desk,) = self.world.desks
        route = {**ROUTES[0], "timeout-ms": TIMEOUT_MS}
        self.world.store.put("op/config", make_configuration(8, [route]))
        self.world.run(0.5)

    def book(self, request_id, number=0, wait_s=0.1):
        data = request_bytes(
            "/post/1", request_id, "POST", b"{}", X_Deadline_Ms=str(TIMEOUT_MS)
        )
        return self.world.send_request(data, number, wait_s)

    def end_with_an_answer_under_way(self):
        self.desk.work_s = 0.2
        client = self.book("r1")
        self.world.network.hold(self.desk.address, 0.15 + REUSE_AFTER_S + 0.1)
        self.world.run(0.15)
        self.assertEqual(len(self.desk.runs), 1)
        self.world.crash(self.desk)
        self.world.network.reset(self.desk.address)
        self.world.run(REUSE_AFTER_S + 0.05)
        return client

    def reuse_address(self):
        stranger = PlatformServiceStandin(self.world.network, "archive-1")
        self.world._serve(self.desk.address, stranger)
        return stranger

    # Guards against requests that the next owner of an ended endpoint's address runs,
    # because an answer that came late was taken for a sign of life at its reading.
    def test_late_answer_does_not_vouch_for_the_next_process_at_the_address(self):
        client = self.end_with_an_answer_under_way()
        stranger = self.reuse_address()
        self.world.run(0.1)
        self.assertEqual(client.status, 200)
        for number in range(4):
            self.book(f"late{number}", number % 2)
        self.assertEqual(stranger.runs, [])
