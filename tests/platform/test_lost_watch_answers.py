"""The store loses its answers to waiting watches, and answers all other calls."""

import unittest

from sesamearch.standin.network import PathFault
from tests.platform.test_leaving import arrivals
from tests.platform.world import World, make_configuration, request_bytes

# The platform takes routers for undisturbed so long after a connection fell silent.
CONTACT_S = World.bounds.contact_s
# A change is in force so long after the store acknowledged it.
APPLY_S = 2.0
DRAIN_S = World.bounds.drain_s
REMOVED_KEY = "key-to-remove"
KEYS = ("key-of-bench", REMOVED_KEY)


class LostAnswersTestCase(unittest.TestCase):
    routers = 3

    def setUp(self):
        self.world = World(self.routers, 2, 1)
        self.store = self.world.store
        self.world.run(3)

    def configure(self, version, **more):
        self.store.put("op/config", make_configuration(version, **more))

    def versions(self):
        return [each.board.configuration.value.revision for each in self.world.routers]

    def lose_change(self, version):
        """Lose the answers of the watches that report a version to the routers."""
        self.store.lose_watch_answers("op/")
        self.configure(version)


class TestConfiguration(LostAnswersTestCase):
    # Guards against: a watch whose answer was lost waits on while pings are answered,
    # and no router reads the store; all stay on the old version.

    def test_lost_version_is_in_force_once_the_routers_are_undisturbed(self):
        self.lose_change(8)
        self.world.run(CONTACT_S)
        self.assertEqual(self.versions(), [8, 8, 8])

    def test_next_version_after_a_loss_is_in_force_in_time(self):
        for pause_s in (0.5, 1.5, 2.5, CONTACT_S, 8.0):
            with self.subTest(pause_s=pause_s):
                self.setUp()
                self.lose_change(8)
                self.world.run(pause_s)
                self.configure(11)
                self.world.run(max(APPLY_S, CONTACT_S - pause_s))
                self.assertEqual(self.versions(), [11, 11, 11])

    def test_each_of_many_losses_is_noticed(self):
        for version in range(8, 14):
            self.lose_change(version)
            self.world.run(CONTACT_S)
            self.assertEqual(self.versions(), [version] * 3)

    def test_losses_in_quick_succession(self):
        for version in range(8, 20):
            self.lose_change(version)
            self.world.run(0.4)
        self.world.run(CONTACT_S)
        self.assertEqual(self.versions(), [19, 19, 19])

    def test_answers_lost_at_the_end_of_their_wait(self):
        # Nothing changes while the answers are lost.
        for _ in range(20):
            self.store.lose_watch_answers()
            self.world.run(0.3)
        self.world.run(CONTACT_S)
        self.configure(8)
        self.world.run(APPLY_S)
        self.assertEqual(self.versions(), [8, 8, 8])

    def test_router_that_starts_after_the_loss_knows_the_version(self):
        self.lose_change(8)
        self.world.run(0.5)
        self.world.routers.append(self.world.add_router(3))
        self.world.run(CONTACT_S)
        self.assertEqual(self.versions(), [8, 8, 8, 8])

    def test_removed_key_is_refused(self):
        self.configure(8, keys=KEYS)
        self.world.run(APPLY_S)
        self.store.lose_watch_answers("op/")
        self.configure(9)
        self.world.run(CONTACT_S)
        for number in range(3):
            data = request_bytes(
                "/post/1", f"r{number}", "POST", Authorization=f"Token {REMOVED_KEY}"
            )
            client = self.world.send_request(data, number, wait_s=0.1)
            self.assertEqual(client.status, 401)

    def test_lost_rollout_order_is_known(self):
        self.store.lose_watch_answers("op/")
        order = {"service": "desk", "target": "v2", "duration-s": 30}
        self.store.put("op/rollout/desk", order)
        self.world.run(CONTACT_S)
        for router in self.world.routers:
            self.assertIn("desk", router._rollout_controller.rollouts)

    def test_silent_connections_to_the_store_are_noticed(self):
        for connection in self.world.network.connections:
            if connection.address.startswith("10.9."):
                connection.go_silent()
        self.configure(8)
        self.world.run(CONTACT_S)
        self.assertEqual(self.versions(), [8, 8, 8])


class TestRelays(LostAnswersTestCase):
    # Guards against: a relay relies on the watch of another one that is gone, while its
    # own answers nothing.
    routers = 6

    def setUp(self):
        super().setUp()
        self.firsts = [
            router
            for router in self.world.routers
            if router._peers.is_relay and not router._peers.has_follower_before
        ]
        self.others = [each for each in self.world.routers if each not in self.firsts]

    def check_others(self):
        versions = [each.board.configuration.value.revision for each in self.others]
        self.assertEqual(versions, [8] * len(self.others))

    def test_one_router_of_each_data_centre_watches_closely(self):
        self.assertEqual(len(self.firsts), 2)

    def test_first_relays_lost_after_the_answers(self):
        for pause_s in (0.1, 0.5, 0.9):
            with self.subTest(pause_s=pause_s):
                self.setUp()
                self.lose_change(8)
                self.world.run(pause_s)
                for router in self.firsts:
                    self.world.stop_router(router)
                self.world.run(CONTACT_S)
                self.check_others()

    def test_first_relays_without_store_after_the_answers_are_lost(self):
        for fault in (PathFault.RESET, PathFault.SILENT):
            with self.subTest(fault=fault):
                self.setUp()
                self.lose_change(8)
                for router in self.firsts:
                    self.world.cut_store(self.world.routers.index(router), fault)
                self.world.run(CONTACT_S)
                self.check_others()

    def test_answers_lost_while_first_relays_have_no_store(self):
        for router in self.firsts:
            number = self.world.routers.index(router)
            self.world.cut_store(number, PathFault.SILENT)
        self.world.run(4)
        self.lose_change(8)
        self.world.run(CONTACT_S)
        self.check_others()


class TestOneRouter(LostAnswersTestCase):
    # Guards against: only the other routers help one whose watch answers nothing.
    routers = 1

    def test_lost_version_is_in_force_once_the_router_is_undisturbed(self):
        self.lose_change(8)
        self.world.run(CONTACT_S)
        self.assertEqual(self.versions(), [8])

    def test_knowledge_is_not_fresh_while_the_watch_has_no_answer(self):
        # The loss lasts, so that the watch is sent again and again.
        self.lose_change(8)
        self.store._kv_watch = lambda query, body, reply: None
        self.world.run(2 * CONTACT_S)
        (router,) = self.world.routers
        self.assertFalse(router._follows_store())
        self.assertGreater(router._peers.knowledge.age_s, CONTACT_S)


class TestEndpoints(LostAnswersTestCase):
    # Guards against: an endpoint that has left gets requests, and a new one none, since
    # the watch of the list is silent.

    def test_removed_endpoint_gets_no_requests(self):
        left = self.world.desks[0]
        self.store.lose_watch_answers("servers/")
        self.store.remove(f"servers/{left.name}")
        self.world.run(max(DRAIN_S, CONTACT_S))
        before = arrivals(left)
        for look in range(20):
            for number in range(3):
                data = request_bytes("/post/1", f"r{look}-{number}", "POST")
                self.world.send_request(data, number, wait_s=0.06)
        self.assertEqual(arrivals(left), before)

    def test_new_endpoint_is_listed(self):
        self.store.lose_watch_answers("servers/")
        new = self.world.add_desk(7)
        self.world.run(CONTACT_S)
        for router in self.world.routers:
            self.assertIn(new.name, router.board.endpoints.value)

    def test_lost_answers_are_no_outage(self):
        for _ in range(4):
            self.store.lose_watch_answers()
            self.world.run(CONTACT_S)
        for router in self.world.routers:
            self.assertTrue(router._store.is_reachable)
            self.assertEqual(router._store.regained_s, float("-inf"))
