"""Rollouts by order of the operators: good, bad, late, raced and unseen."""

import unittest

import msgspec

from tests.platform.world import World, request_bytes

LENGTH_S = 12


class RolloutCase(unittest.TestCase):
    def setUp(self):
        self.world = World(routers=3, desks=2)
        self.new = [
            self.world.add_desk(2, version="v2"),
            self.world.add_desk(3, version="v2"),
        ]
        self.asked = 0

    def order(self, target="v2"):
        order = {"service": "desk", "target": target, "duration-s": LENGTH_S}
        self.world.store.put("op/rollout/desk", order)

    def status(self):
        item = self.world.store.state.items.get(b"status/rollout/desk")
        return msgspec.json.decode(item.value) if item else None

    def traffic(self, seconds, per_s=40, path="/look/1"):
        clients = []
        for _ in range(int(seconds * per_s)):
            self.asked += 1
            client = self.world.connect(self.asked % 3)
            client.send(request_bytes(path, f"q{self.asked}"))
            clients.append(client)
            self.world.run(max(0.0, 1 / per_s - 0.01))
        self.world.run(0.3)
        return clients

    @property
    def to_new(self):
        return sum(len(desk.runs) for desk in self.new)


class TestGoodVersion(RolloutCase):
    def test_order_is_acknowledged(self):
        self.order()
        self.world.run(0.2)
        self.assertEqual(self.status(), {"state": "in_progress", "target": "v2"})

    def test_completed_by_its_deadline_and_not_beyond_the_exposure(self):
        self.order()
        self.traffic(LENGTH_S - 1.2)
        self.assertLessEqual(self.to_new, 0.1 * self.asked + 50)
        self.assertGreater(self.to_new, 10)
        self.world.run(1.0)
        self.assertEqual(self.status(), {"state": "complete", "target": "v2"})

    def test_after_completion_all_goes_to_the_new_version(self):
        self.order()
        self.traffic(LENGTH_S - 1.2)
        self.world.run(1.0)
        old = sum(len(desk.runs) for desk in self.world.desks)
        self.traffic(0.5)
        self.assertEqual(sum(len(desk.runs) for desk in self.world.desks), old)

    def test_version_that_nothing_proved_is_reverted(self):
        self.order()
        self.world.run(LENGTH_S + 0.5)
        self.assertEqual(self.status()["state"], "reverted")

    def test_version_without_endpoints_is_reverted_and_requests_served(self):
        for number, desk in enumerate(self.new):
            self.world.store.remove(f"servers/{desk.name}")
            self.world.network.close(desk.address)
            self.assertEqual(number, self.new.index(desk))
        self.order()
        clients = self.traffic(2, per_s=20)
        self.assertEqual({client.status for client in clients}, {200})
        self.world.run(LENGTH_S)
        self.assertEqual(self.status()["state"], "reverted")


class TestBadVersion(RolloutCase):
    def break_new(self):
        for desk in self.new:
            desk.status = 500

    def test_reverted_soon_and_gets_nothing_more(self):
        self.break_new()
        self.order()
        self.traffic(4)
        self.assertEqual(self.status(), {"state": "reverted", "target": "v2"})
        self.assertLess(self.to_new, 50)
        before = self.to_new
        self.traffic(2)
        self.assertEqual(self.to_new, before)

    def test_callers_are_served_by_the_old_version_meanwhile(self):
        self.break_new()
        self.order()
        clients = self.traffic(4)
        self.assertEqual({client.status for client in clients}, {200})

    def test_fault_that_begins_late(self):
        self.order()
        self.traffic(6)
        self.break_new()
        before = self.to_new
        self.traffic(3)
        self.assertEqual(self.status()["state"], "reverted")
        self.assertLess(self.to_new - before, 50)

    def test_slow_version(self):
        for desk in self.new:
            desk.work_s = 0.12
        self.order()
        self.traffic(6)
        self.assertEqual(self.status()["state"], "reverted")

    def test_router_that_the_store_refuses_stops_too(self):
        front = self.world.fronts[2]
        for follower in front._followers:
            follower.stop()
        self.break_new()
        self.order()
        self.traffic(4)
        state = front._rollout_controller.rollouts["desk"].state.value
        self.assertEqual(state, "reverted")

    def test_store_away_while_it_fails(self):
        self.order()
        self.traffic(2)
        self.break_new()
        self.world.store.refusal = 503
        self.traffic(3)
        states = {
            front._rollout_controller.rollouts["desk"].state.value
            for front in self.world.fronts
        }
        self.assertEqual(states, {"reverted"})
        self.world.store.refusal = 0
        self.world.run(1)
        self.assertEqual(self.status()["state"], "reverted")

    def test_router_that_starts_later_sends_nothing_to_it(self):
        self.break_new()
        self.order()
        self.traffic(4)
        self.world.fronts.append(self.world.add_front(3))
        self.world.run(0.5)
        before = self.to_new
        for number in range(20):
            data = request_bytes("/look/1", f"late{number}")
            self.world.send_request(data, number=3, wait_s=0.1)
        self.assertEqual(self.to_new, before)


class TestRaces(RolloutCase):
    def test_lost_answers_of_writes(self):
        self.world.store.lost_answers = 3
        self.order()
        self.world.run(1)
        self.assertEqual(self.status()["state"], "in_progress")

    def test_second_order_for_a_reverted_version_is_tried_again(self):
        for desk in self.new:
            desk.status = 500
        self.order()
        self.traffic(4)
        for desk in self.new:
            desk.status = 200
        self.order()
        self.world.run(0.2)
        self.assertEqual(self.status()["state"], "in_progress")
        self.traffic(LENGTH_S - 1)
        self.world.run(0.6)
        self.assertEqual(self.status()["state"], "complete")

    def test_final_state_is_written_once(self):
        self.order()
        self.traffic(LENGTH_S - 1.2)
        self.world.run(2)
        revision = self.world.store.state.items[b"status/rollout/desk"].mod_revision
        self.world.run(3)
        again = self.world.store.state.items[b"status/rollout/desk"].mod_revision
        self.assertEqual(revision, again)
