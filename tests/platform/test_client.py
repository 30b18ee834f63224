"""Connections to endpoints."""

import unittest

from tests.platform.world import World, request_bytes


class TestMovedEndpoint(unittest.TestCase):
    """A worker starts again under its name, but at another address."""

    def test_requests_reach_its_new_address(self):
        world = World(desks=1)
        (desk,) = world.desks
        before = world.send_request(request_bytes("/look/1", "before"), wait_s=0.1)
        world.network.close(desk.address)
        desk.address = "10.1.0.9:8000"
        world.network.listen(desk.address, desk.factory)
        world.update_entry(desk, "desk", 0, born=2000)
        world.run(0.5)
        after = world.send_request(request_bytes("/look/1", "after"), wait_s=0.1)
        self.assertEqual((before.status, after.status), (200, 200))
