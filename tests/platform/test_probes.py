"""Probes of endpoints: none of them may be a request to the service."""

import unittest

from tests.platform.world import World, request_bytes


class TestOutageProbes(unittest.TestCase):
    # Guards against a probe that a plain service runs as a request nobody sent.
    def test_plain_services_of_an_unreachable_data_centre_run_no_probe(self):
        world = World(desks=4, engines=0)
        east = world.desks[::2]
        for desk in east:
            world.network.blackholed.add(desk.address)
        router = world.routers[0]
        for number in range(60):
            # Which endpoints the requests go to is drawn.
            if router._outages.is_unreachable("east"):
                break
            world.send_request(request_bytes("/look/1", f"l{number}"), wait_s=0.3)
        self.assertTrue(router._outages.is_unreachable("east"))
        world.network.blackholed.clear()
        world.run(2)
        self.assertFalse(router._outages.is_unreachable("east"))
        self.assertNotIn("", [run.request_id for desk in east for run in desk.runs])
