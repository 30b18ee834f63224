"""Watches of the store that are cut, while the store answers everything else."""

import unittest

from tests.platform.test_leaving import arrivals
from tests.platform.world import World, request_bytes

DRAIN_S = World.bounds.drain_s
CONTACT_S = World.bounds.contact_s
STORE_HOST = "10.9."
# Long enough for an endpoint that is wrongly taken for lapsed to be used again.
LOOK_S = 5.0


class TestCutWatches(unittest.TestCase):
    # Guards against: the end of one waiting call is taken for an outage of the store,
    # in which endpoints may lapse, and an endpoint that has left gets requests on.

    def setUp(self):
        self.world = World(3, 2, 1)
        self.left, self.other = self.world.desks
        self.world.run(3)

    def cut_for_ever(self, interval_s):
        self.world.store.cut_watches()
        self.world.network.callLater(interval_s, self.cut_for_ever, interval_s)

    def late_arrivals(self):
        """Remove an endpoint; return its arrivals later than the drain time."""
        self.world.store.remove(f"servers/{self.left.name}")
        self.world.run(DRAIN_S)
        before = arrivals(self.left)
        for look in range(round(LOOK_S / 0.2)):
            for number in range(3):
                data = request_bytes("/post/1", f"r{look}-{number}", "POST")
                client = self.world.send_request(data, number, wait_s=0.06)
                self.assertEqual(client.status, 200)
        return arrivals(self.left) - before

    def test_endpoint_removed_after_one_cut_gets_no_requests(self):
        self.world.store.cut_watches()
        self.world.run(0.05)
        self.assertEqual(self.late_arrivals(), 0)

    def test_endpoint_removed_between_many_cuts_gets_no_requests(self):
        for interval_s in (0.2, 1.5, 5.0):
            with self.subTest(interval_s=interval_s):
                self.setUp()
                self.cut_for_ever(interval_s)
                self.world.run(4.05)
                self.assertEqual(self.late_arrivals(), 0)

    def test_cut_watches_are_no_outage(self):
        self.cut_for_ever(1.5)
        self.world.run(10)
        for router in self.world.routers:
            self.assertTrue(router._store.is_reachable)
            self.assertEqual(router._store.regained_s, float("-inf"))


class TestSilentConnections(unittest.TestCase):
    # Guards against: a ping on a connection that fell silent is taken for an outage of
    # the store, though new connections work, and a removed endpoint for a lapsed one.

    def late_arrivals(self, pause_s):
        """Return late arrivals at an endpoint removed after the silence began."""
        world = World(3, 2, 1)
        world.run(3)
        for connection in world.network.connections:
            if connection.address.startswith(STORE_HOST):
                connection.go_silent()
        world.run(pause_s)
        left = world.desks[0]
        world.store.remove(f"servers/{left.name}")
        world.run(max(DRAIN_S, CONTACT_S - pause_s))
        before = arrivals(left)
        for look in range(20):
            for number in range(3):
                data = request_bytes("/post/1", f"r{look}-{number}", "POST")
                world.send_request(data, number, wait_s=0.02)
        return arrivals(left) - before

    def test_endpoint_removed_as_connections_fall_silent_gets_no_requests(self):
        pauses_s = (0.05, 0.9, 1.5, 2.1)
        late = [self.late_arrivals(pause_s) for pause_s in pauses_s]
        self.assertEqual(late, [0] * len(pauses_s))
