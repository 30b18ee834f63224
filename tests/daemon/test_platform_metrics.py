"""Metrics of a router on the platform."""

import unittest

from sesamearch.daemon.platform_metrics import PlatformMetrics
from sesamearch.forwarding.dispatcher import ForwardCounters
from tests.platform.world import World


class TestLoading(unittest.TestCase):
    # Guards against a reactor that stands still while the whole exporter is imported.
    def test_exporter_is_loaded_in_steps(self):
        metrics = PlatformMetrics(ForwardCounters(), {})
        metrics.request_ended("look", "answered", 0.1)
        steps = 1
        while not metrics.load_step():
            self.assertEqual(metrics.render(), b"")
            steps += 1
        self.assertGreater(steps, 5)
        self.assertIn(b"sesamearch_requests_by_outcome", metrics.render())

    def test_metrics_are_served_once_the_exporter_is_loaded(self):
        world = World()
        world.run(3.0)
        client = world.connect(port=7200)
        client.send(b"GET /metrics HTTP/1.1\r\nHost: m\r\n\r\n")
        world.run(0.1)
        self.assertEqual(client.status, 200)
        self.assertIn(b"sesamearch_permits_claimed", client.received)
