"""Versions that were reverted or replaced get no requests from later orders on."""

from sesamearch.standin.network import PathFault
from tests.platform.test_rollout import DURATION_S, RolloutTestCase
from tests.platform.world import request_bytes

VERSIONS_KEY = b"sesamearch/versions/desk"


class WithheldTestCase(RolloutTestCase):
    """Three routers; ``v2`` fails, and its workers stay after it was reverted."""

    def setUp(self):
        super().setUp()
        for desk in self.new:
            desk.status = 500
        self.third = []

    def revert(self):
        self.order_rollout()
        self.send_requests(4)
        self.assertEqual(self.status(), {"state": "reverted", "target": "v2"})

    def order_third(self):
        self.third = [
            self.world.add_desk(4, version="v3"),
            self.world.add_desk(5, version="v3"),
        ]
        self.world.run(0.3)
        self.order_rollout("v3")
        self.world.run(0.1)

    def restart(self, *numbers):
        """Kill routers at the same moment, and start them again."""
        for number in numbers:
            self.world.stop_router(self.world.routers[number])
        self.world.run(0.3)
        for number in numbers:
            self.world.routers[number] = self.world.add_router(number)
        self.world.run(0.5)

    def assert_withheld(self, seconds=3, routers=3, per_s=40):
        """Check that ``v2`` gets nothing, and that all requests are served."""
        before = self.requests_to_new
        clients = self.send_requests(seconds, routers=routers, per_s=per_s)
        self.assertEqual(self.requests_to_new, before)
        self.assertEqual({client.status for client in clients}, {200})


class TestNextOrder(WithheldTestCase):
    # Guards against a version found bad that gets requests again, because the next
    # order takes the place of its own.
    def test_next_order_sends_nothing_to_the_reverted_version(self):
        self.revert()
        self.order_third()
        self.assert_withheld(DURATION_S)

    # Guards against two bad versions that take turns as the sound old one.
    def test_both_of_two_reverted_versions_get_nothing(self):
        self.revert()
        self.order_third()
        for desk in self.third:
            desk.status = 500
        self.send_requests(4)
        self.assertEqual(self.status(), {"state": "reverted", "target": "v3"})
        before = sum(len(desk.runs) for desk in self.third)
        self.assert_withheld()
        self.assertEqual(sum(len(desk.runs) for desk in self.third), before)

    # Guards against retries at a version found bad, once the next one has taken over.
    def test_retries_after_the_completion_leave_the_reverted_version_out(self):
        self.revert()
        self.order_third()
        self.send_requests(DURATION_S - 1)
        self.assertEqual(self.status()["state"], "complete")
        for desk in self.third:
            desk.status = 500
        before = self.requests_to_new
        self.send_requests(1, per_s=20)
        self.assertEqual(self.requests_to_new, before)

    # Guards against a rejection that outlives its end: the operator orders it again.
    def test_version_that_is_ordered_again_gets_its_share(self):
        self.revert()
        self.order_third()
        self.send_requests(1)
        for desk in self.new:
            desk.status = 200
        self.order_rollout()
        self.send_requests(DURATION_S - 1.2)
        self.world.run(1)
        self.assertEqual(self.status(), {"state": "complete", "target": "v2"})


class TestLaterRouters(WithheldTestCase):
    # Guards against a router that forgets with its process which versions are bad.
    def test_routers_that_restart_one_after_another_know_it(self):
        self.revert()
        self.order_third()
        self.restart(0)
        self.assert_withheld(1)
        self.restart(1)
        self.restart(2)
        self.assert_withheld(5)

    # Guards against a fleet that forgets at once which versions are bad.
    def test_routers_that_all_lose_power_know_it(self):
        self.revert()
        self.order_third()
        self.restart(0, 1, 2)
        self.assert_withheld(5)

    # Guards against the first requests of a router, before its peers tell it.
    def test_first_request_of_a_restarted_router_goes_elsewhere(self):
        self.revert()
        self.order_third()
        for number in range(3):
            self.world.stop_router(self.world.routers[number])
        self.world.run(0.3)
        before = self.requests_to_new
        for number in range(3):
            self.world.routers[number] = self.world.add_router(number)
        clients = [self.world.connect(each % 3) for each in range(60)]
        clients = [each for each in clients if each.transport is not None]
        for number, client in enumerate(clients):
            client.send(request_bytes("/look/1", f"first{number}"))
        self.world.run(1)
        self.assertGreater(len(clients), 30)
        self.assertEqual(self.requests_to_new, before)

    # Guards against a router that joins and takes every version for a sound one.
    def test_router_that_joins_knows_it(self):
        self.revert()
        self.order_third()
        self.world.routers.append(self.world.add_router(3))
        self.world.run(0.5)
        self.assert_withheld(5, routers=4)

    # Guards against a router that the store refuses and that knows the last order only.
    def test_router_without_the_store_knows_it_from_its_peers(self):
        for fault in (PathFault.RESET, PathFault.SILENT):
            with self.subTest(fault=fault):
                self.setUp()
                self.world.cut_store(2, fault)
                self.revert()
                self.order_third()
                self.assert_withheld(5)

    # Guards against a router that was cut off while a version was found bad.
    def test_router_that_was_cut_off_meanwhile_knows_it_soon(self):
        router = self.world.routers[2]
        router._peers._sockets.is_cut = True
        self.world.cut_store(2, PathFault.RESET)
        self.order_rollout()
        self.send_requests(4, routers=2)
        self.order_third()
        router._peers._sockets.is_cut = False
        self.world.mend_store(2)
        self.world.run(3)
        self.assert_withheld(5)

    # Guards against a restored store that lacks what later routers are to read.
    def test_restored_store_gets_it_again(self):
        self.world.run(6)
        self.revert()
        self.order_third()
        self.world.store.restore(8.0, 0.3)
        self.world.run(0.5)
        self.world.store.write_again()
        self.world.run(4)
        self.assertIn(VERSIONS_KEY, self.world.store.state.items)
        self.restart(0, 1, 2)
        self.assert_withheld(5)


class TestReplacedOrder(WithheldTestCase):
    # Guards against a version that nobody has judged and that gets the requests of a
    # sound one, because a later order came.
    def test_version_whose_order_was_replaced_gets_nothing_more(self):
        self.order_rollout()
        self.world.run(0.2)
        self.order_third()
        self.assert_withheld(5)

    # Guards against a service that is refused because an end was missed: the version
    # may have taken over before the later order came.
    def test_version_whose_order_was_replaced_serves_if_no_other_is_left(self):
        for desk in self.new:
            desk.status = 200
        self.order_rollout()
        self.world.run(0.2)
        for desk in self.world.desks:
            self.world.store.remove(f"servers/{desk.name}")
            self.world.network.close(desk.address)
        self.order_third()
        self.world.run(1)
        clients = self.send_requests(2)
        self.assertEqual({client.status for client in clients}, {200})
        self.assertGreater(self.requests_to_new, 0)

    # Guards against an old version that is withheld because its completion was missed.
    def test_completed_version_serves_beside_the_next_order(self):
        for desk in self.new:
            desk.status = 200
        self.order_rollout()
        self.send_requests(DURATION_S - 1)
        self.assertEqual(self.status(), {"state": "complete", "target": "v2"})
        for desk in self.world.desks:
            self.world.store.remove(f"servers/{desk.name}")
        self.order_third()
        before = self.requests_to_new
        clients = self.send_requests(3)
        self.assertEqual({client.status for client in clients}, {200})
        self.assertGreater(self.requests_to_new - before, 60)
