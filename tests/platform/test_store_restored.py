"""The store comes back from an older copy: nothing that was acted on is undone."""

import unittest

import logbook
import msgspec
from result import Err
from twisted.internet.defer import succeed

from sesamearch.base.errors import ErrorKind, Problem
from sesamearch.base.record import StoreRestored
from sesamearch.membership.fleet_keys import FLEET_KEYS_KEY
from tests.platform.world import World, make_configuration, request_bytes

DURATION_S = 12
STATUS_KEY = b"status/rollout/desk"
# The routers notice the return, read anew and write again within this time.
SETTLED_S = 4.0


class RestoredTestCase(unittest.TestCase):
    def setUp(self):
        self.world = World(routers=6, desks=2)
        self.world.run(3)
        self.request_count = 0

    def restore(self, seconds_back, away_s=0.5, settled_s=SETTLED_S):
        self.world.store.restore(seconds_back, away_s)
        self.world.run(away_s + settled_s)

    def come_back(self, seconds_back):
        """Restore, let others write again, and wait until the routers have settled."""
        self.restore(seconds_back, settled_s=1.0)
        self.world.store.write_again()
        self.world.run(SETTLED_S)

    def cut(self, number, is_cut=True):
        address = self.world.routers[number]._settings.peer.listen
        self.world.sockets[address].is_cut = is_cut

    def cut_store(self, number):
        def fail(*arguments, **options):
            return succeed(Err(Problem(ErrorKind.STORE_UNAVAILABLE, "cut off")))

        router = self.world.routers[number]
        for follower in (*router._followers, router._outcome_follower):
            follower.stop()
        router._store.call = fail

    def send_requests(self, seconds, per_s=40, number=None):
        clients = []
        for _ in range(int(seconds * per_s)):
            self.request_count += 1
            router = self.request_count % 6 if number is None else number
            client = self.world.connect(router)
            clients.append(client)
            client.send(request_bytes("/look/1", f"q{self.request_count}"))
            self.world.run(max(0.0, 1 / per_s - 0.01))
        self.world.run(0.3)
        return clients


class TestConfiguration(RestoredTestCase):
    def versions(self):
        return {x.board.configuration.value.revision for x in self.world.routers}

    def test_older_configuration_in_the_copy_is_not_put_in_force(self):
        # Guards against a configuration that reverts because revisions went back.
        self.world.store.put("op/config", make_configuration(8))
        self.world.run(1)
        seen = []
        for router in self.world.routers:
            router.board.configuration.listen(lambda x: seen.append(x.revision))
        self.restore(3.0)
        self.assertEqual(self.versions(), {8})
        self.world.store.write_again()
        self.world.run(2)
        self.assertEqual((self.versions(), seen), ({8}, []))

    def test_configuration_after_the_copy_is_put_in_force(self):
        # Guards against a watch that waits for revisions the store gives out again.
        for version in range(8, 30):
            self.world.store.put("op/config", make_configuration(version))
        self.world.run(1)
        self.restore(3.0, away_s=0.1, settled_s=0.01)
        for version in range(30, 60):
            self.world.store.put("op/config", make_configuration(version))
        self.world.run(3)
        self.assertEqual(self.versions(), {59})

    def test_router_that_started_on_the_copy_gets_the_newer_one_from_its_peers(self):
        # Guards against a restarted router that stays at the copy's configuration.
        self.world.store.put("op/config", make_configuration(8))
        self.world.run(1)
        self.restore(3.0)
        self.world.routers.append(self.world.add_router(6))
        self.world.run(3)
        self.assertEqual(self.versions(), {8})


class TestEndpoints(RestoredTestCase):
    def names(self):
        return [sorted(x.board.endpoints.value) for x in self.world.routers]

    def leaving(self, name):
        return {
            name in x.board.endpoints.value and x.board.endpoints.value[name].leaving
            for x in self.world.routers
        }

    def knows(self, name):
        return {name in x.board.endpoints.value for x in self.world.routers}

    def test_changes_under_lower_revisions_reach_all_routers(self):
        # Guards against lists that are ignored because their revision is lower.
        for sequence in range(30):
            self.world.update_entry(self.world.desks[1], "desk", 1, sequence=sequence)
        self.world.run(1)
        self.restore(3.0)
        self.world.update_entry(self.world.desks[0], "desk", 0, state="draining")
        self.world.run(1)
        self.assertEqual(self.leaving("desk-0"), {True})

    def test_endpoint_missing_from_the_copy_is_kept_until_it_is_written_again(self):
        # Guards against work that is refused for want of an endpoint that is alive.
        self.world.add_desk(2)
        self.world.run(1)
        self.world.store.restore(2.0, 0.2)
        for _ in range(16):
            self.world.run(0.1)
            self.assertEqual(self.knows("desk-2"), {True})
        self.world.store.write_again()
        self.world.run(5)
        self.assertEqual(self.knows("desk-2"), {True})

    def test_endpoint_that_is_not_written_again_is_gone(self):
        # Guards against an endpoint that is used though it ended with the store.
        self.world.add_desk(2)
        self.world.run(1)
        self.restore(2.0, away_s=0.2, settled_s=5.0)
        self.assertEqual(self.knows("desk-2"), {False})

    def test_leaving_endpoint_stays_leaving_though_the_copy_says_ready(self):
        # Guards against new work for an endpoint that announced its end.
        self.world.update_entry(self.world.desks[0], "desk", 0, state="draining")
        self.world.run(1)
        self.world.store.put("servers/desk-9", {"unused": True})
        self.world.store.restore(3.0, 0.2)
        for _ in range(40):
            self.world.run(0.1)
            self.assertEqual(self.leaving("desk-0"), {True})

    def test_removed_endpoint_stays_gone_though_the_copy_lists_it(self):
        # Guards against new work for an endpoint that has ended.
        self.world.store.remove("servers/desk-0")
        self.world.run(1)
        self.assertEqual(self.knows("desk-0"), {False})
        self.world.store.restore(3.0, 0.2)
        for _ in range(40):
            self.world.run(0.1)
            self.assertEqual(self.knows("desk-0"), {False})

    def test_restarted_endpoint_is_used_though_its_predecessor_was_leaving(self):
        # Guards against a new process that inherits the end of the previous one.
        self.world.update_entry(self.world.desks[0], "desk", 0, state="draining")
        self.world.run(1)
        self.restore(3.0)
        self.world.update_entry(self.world.desks[0], "desk", 0, born=77)
        self.world.run(1)
        self.assertEqual(self.leaving("desk-0"), {False})
        self.assertEqual(self.knows("desk-0"), {True})

    def test_router_that_was_cut_off_catches_up_with_the_new_era(self):
        # Guards against an old list with a higher revision that overwrites, or stays.
        for sequence in range(30):
            self.world.update_entry(self.world.desks[1], "desk", 1, sequence=sequence)
        self.world.run(1)
        for number in (4, 5):
            self.cut(number)
        self.world.store.restore(3.0, 0.2)
        self.world.run(0.4)
        self.world.update_entry(self.world.desks[0], "desk", 0, state="draining")
        self.world.run(2)
        for number in (4, 5):
            self.cut(number, False)
        self.world.run(3)
        self.assertEqual(self.leaving("desk-0"), {True})

    def test_change_of_era_is_logged_once_by_each_router(self):
        # Guards against a restore that operators cannot see in the logs.
        handler = logbook.TestHandler()
        with handler.applicationbound():
            self.come_back(2.0)
            self.world.run(5)
        records = [r.msg for r in handler.records if isinstance(r.msg, StoreRestored)]
        self.assertEqual([record.era for record in records], [2] * 6)


class TestStoreThatStatesNoEra(RestoredTestCase):
    def setUp(self):
        super().setUp()
        self.world = World(routers=2)
        self.world.store.era = None
        self.world.routers = [self.world.add_router(number) for number in (2, 3)]
        self.world.run(3)

    def test_changes_are_applied_as_before(self):
        # Guards against a router that relies on the header.
        handler = logbook.TestHandler()
        with handler.applicationbound():
            self.world.store.put("op/config", make_configuration(8))
            self.world.update_entry(self.world.desks[0], "desk", 0, state="draining")
            self.world.run(3)
        for router in self.world.routers:
            self.assertEqual(router.board.configuration.value.revision, 8)
            self.assertTrue(router.board.endpoints.value["desk-0"].leaving)
        found = [r.msg for r in handler.records if isinstance(r.msg, StoreRestored)]
        self.assertEqual(found, [])


class TestRollouts(RestoredTestCase):
    def setUp(self):
        super().setUp()
        self.new = [
            self.world.add_desk(2, version="v2"),
            self.world.add_desk(3, version="v2"),
        ]
        self.world.run(5)

    def order(self, target="v2", duration_s=DURATION_S):
        order = {"service": "desk", "target": target, "duration-s": duration_s}
        self.world.store.put("op/rollout/desk", order)

    def status(self):
        item = self.world.store.state.items.get(STATUS_KEY)
        return msgspec.json.decode(item.value) if item else None

    def states(self):
        return {
            router._rollout_controller.rollouts["desk"].state.value
            for router in self.world.routers
            if "desk" in router._rollout_controller.rollouts
        }

    def targets(self):
        return {
            router._rollout_controller.rollouts["desk"].order.target
            for router in self.world.routers
        }

    @property
    def requests_to_new(self):
        return sum(len(desk.runs) for desk in self.new)

    def revert(self):
        for desk in self.new:
            desk.status = 500
        self.order()
        self.send_requests(4)
        self.assertEqual(self.status(), {"state": "reverted", "target": "v2"})

    def complete(self):
        self.order()
        self.send_requests(DURATION_S - 1.2)
        self.world.run(1.0)
        self.assertEqual(self.status(), {"state": "complete", "target": "v2"})

    def assert_reverted(self):
        self.assertEqual(self.status(), {"state": "reverted", "target": "v2"})
        self.assertEqual(self.states(), {"reverted"})
        before = self.requests_to_new
        self.send_requests(2)
        self.assertEqual(self.requests_to_new, before)

    def test_reverted_rollout_whose_order_is_lost_stays_reverted(self):
        # Guards against a bad version that gets traffic when its order is repeated.
        self.revert()
        self.come_back(8.0)
        self.assert_reverted()

    def test_reverted_rollout_whose_state_is_lost_is_written_again(self):
        # Guards against an operator who reads that a reverted rollout is in progress.
        self.revert()
        self.come_back(3.0)
        self.assert_reverted()

    def test_order_in_the_copy_that_is_also_written_again_is_no_new_one(self):
        # Guards against a repeated order under a higher revision that starts again.
        self.revert()
        self.restore(1.0, settled_s=2.0)
        self.order()
        self.world.run(SETTLED_S)
        self.assert_reverted()

    def test_completed_rollout_stays_complete(self):
        # Guards against traffic to old workers, which the platform has stopped.
        self.complete()
        self.come_back(8.0)
        self.world.run(DURATION_S)
        self.assertEqual(self.status(), {"state": "complete", "target": "v2"})
        self.assertEqual(self.states(), {"complete"})
        old = sum(len(desk.runs) for desk in self.world.desks)
        self.send_requests(1)
        self.assertEqual(sum(len(desk.runs) for desk in self.world.desks), old)

    def test_completed_rollout_whose_order_is_lost_stays_complete(self):
        # Guards against a finished rollout that begins anew with the repeated order.
        self.complete()
        self.come_back(14.0)
        self.world.run(DURATION_S)
        self.assertEqual(self.status(), {"state": "complete", "target": "v2"})
        self.assertEqual(self.states(), {"complete"})

    def test_rollout_in_progress_goes_on(self):
        # Guards against a rollout that starts its time and its evidence again.
        self.order()
        self.send_requests(4)
        self.world.store.restore(5.0, 0.3)
        self.send_requests(1)
        self.world.store.write_again()
        self.send_requests(DURATION_S - 6.2)
        self.world.run(1.2)
        self.assertEqual(self.status(), {"state": "complete", "target": "v2"})
        self.assertEqual(self.states(), {"complete"})

    def test_replaced_order_in_the_copy_does_not_begin_again(self):
        # Guards against an old order that replaces its successor by its era alone.
        self.revert()
        self.world.add_desk(4, version="v3")
        self.world.run(3)
        self.order("v3")
        self.world.run(1)
        self.world.store.restore(2.0, 0.2)
        for step in range(60):
            self.world.run(0.1)
            self.assertEqual(self.targets(), {"v3"})
            if step == 40:
                self.world.store.write_again()
        self.assertEqual(self.status()["target"], "v3")

    def test_later_order_for_the_same_version_starts_again(self):
        # Guards against a new order that is taken for the repetition of an old one.
        self.revert()
        self.come_back(8.0)
        for desk in self.new:
            desk.status = 200
        self.world.run(30)
        self.order()
        self.world.run(1)
        self.assertEqual(self.states(), {"in_progress"})
        self.send_requests(DURATION_S - 2)
        self.world.run(0.8)
        self.assertEqual(self.status()["state"], "complete")
        self.assertEqual(self.states(), {"complete"})

    def test_other_order_under_a_lower_revision_begins(self):
        # Guards against a new order that is ignored because revisions went back.
        self.revert()
        self.restore(9.0)
        self.world.add_desk(4, version="v3")
        self.order("v3")
        self.world.run(1)
        self.assertEqual(self.status(), {"state": "in_progress", "target": "v3"})

    def test_restarted_router_on_the_copy_sends_nothing_to_a_reverted_version(self):
        # Guards against a router that knows only the copy and decides anew.
        self.revert()
        self.world.store.restore(8.0, 0.1)
        self.world.run(0.2)
        self.world.store.write_again()
        self.world.routers.append(self.world.add_router(6))
        self.world.run(SETTLED_S)
        before = self.requests_to_new
        self.send_requests(2, number=6)
        self.assertEqual(self.requests_to_new, before)
        self.assert_reverted()

    def cut_off_and_revert(self):
        """Revert a rollout and restore the store while a router is cut off."""
        self.order(duration_s=60)
        self.world.run(1)
        self.cut(5)
        self.cut_store(5)
        for desk in self.new:
            desk.status = 500
        self.send_requests(3, number=0)
        self.come_back(6.0)

    def test_router_that_was_cut_off_takes_the_final_state(self):
        # Guards against a router that holds the order of the earlier era in progress.
        self.cut_off_and_revert()
        self.assertEqual(self.states(), {"in_progress", "reverted"})
        self.cut(5, False)
        self.world.run(3)
        self.assertEqual(self.states(), {"reverted"})

    def test_router_that_was_cut_off_in_a_second_rollout_takes_the_final_state(self):
        # Guards against a verdict that is ignored, as if the order were a later one.
        self.order("v9")
        self.world.run(1)
        self.cut_off_and_revert()
        self.cut(5, False)
        self.world.run(3)
        self.assertEqual(self.states(), {"reverted"})


class TestPeerKeys(RestoredTestCase):
    def key(self):
        item = self.world.store.state.items.get(FLEET_KEYS_KEY)
        return item.value if item else None

    def lose_key(self):
        """Put the store back to a copy from before the key was written."""
        self.world.store.restore(60.0, 0.2)

    def test_lost_key_is_written_again(self):
        # Guards against routers that start later and agree on other keys.
        key = self.key()
        self.lose_key()
        self.world.run(3)
        self.assertEqual(self.key(), key)

    def test_few_calls_write_it_again(self):
        # Guards against a rush of all routers at once.
        self.lose_key()
        self.world.run(0.3)
        calls = self.world.store.calls["kv-txn"]
        self.world.run(10)
        self.assertLessEqual(self.world.store.calls["kv-txn"] - calls, 4)

    def test_router_that_started_first_takes_the_fleets_key(self):
        # Guards against a fleet that a new key splits in two.
        key = self.key()
        self.lose_key()
        self.world.run(0.21)
        self.world.routers.append(self.world.add_router(6))
        self.world.run(15)
        self.assertEqual(self.key(), key)
        links = [router._peers for router in self.world.routers]
        keys = {link.keys.to_json() for link in links}
        self.assertEqual(keys, {key})
        self.assertEqual({link.member_list.size for link in links}, {7})


if __name__ == "__main__":
    unittest.main()
