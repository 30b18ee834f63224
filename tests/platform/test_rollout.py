"""Tests of rollouts: good and bad versions, store outages and races."""

import unittest

import msgspec

from tests.platform.world import World, request_bytes

DURATION_S = 12


class RolloutTestCase(unittest.TestCase):
    def setUp(self):
        self.world = World(routers=3, desks=2)
        self.new = [
            self.world.add_desk(2, version="v2"),
            self.world.add_desk(3, version="v2"),
        ]
        self.request_count = 0

    def order_rollout(self, target="v2"):
        order = {"service": "desk", "target": target, "duration-s": DURATION_S}
        self.world.store.put("op/rollout/desk", order)

    def status(self):
        item = self.world.store.state.items.get(b"status/rollout/desk")
        return msgspec.json.decode(item.value) if item else None

    def send_requests(self, seconds, per_s=40, path="/look/1", routers=3):
        clients = []
        for _ in range(int(seconds * per_s)):
            self.request_count += 1
            client = self.world.connect(self.request_count % routers)
            client.send(request_bytes(path, f"q{self.request_count}"))
            clients.append(client)
            self.world.run(max(0.0, 1 / per_s - 0.01))
        self.world.run(0.3)
        return clients

    @property
    def requests_to_new(self):
        return sum(len(desk.runs) for desk in self.new)


class TestGoodVersion(RolloutTestCase):
    def test_order_is_acknowledged(self):
        self.order_rollout()
        self.world.run(0.2)
        self.assertEqual(self.status(), {"state": "in_progress", "target": "v2"})

    def test_rollout_completes_by_its_deadline_within_the_exposure(self):
        self.order_rollout()
        self.send_requests(DURATION_S - 1.2)
        self.assertLessEqual(self.requests_to_new, 0.1 * self.request_count + 50)
        self.assertGreater(self.requests_to_new, 10)
        self.world.run(1.0)
        self.assertEqual(self.status(), {"state": "complete", "target": "v2"})

    def test_all_requests_go_to_the_new_version_after_completion(self):
        self.order_rollout()
        self.send_requests(DURATION_S - 1.2)
        self.world.run(1.0)
        old = sum(len(desk.runs) for desk in self.world.desks)
        self.send_requests(0.5)
        self.assertEqual(sum(len(desk.runs) for desk in self.world.desks), old)

    def test_version_without_evidence_is_reverted(self):
        self.order_rollout()
        self.world.run(DURATION_S + 0.5)
        self.assertEqual(self.status()["state"], "reverted")

    def test_version_without_endpoints_is_reverted_and_requests_are_served(self):
        for number, desk in enumerate(self.new):
            self.world.store.remove(f"servers/{desk.name}")
            self.world.network.close(desk.address)
            self.assertEqual(number, self.new.index(desk))
        self.order_rollout()
        clients = self.send_requests(2, per_s=20)
        self.assertEqual({client.status for client in clients}, {200})
        self.world.run(DURATION_S)
        self.assertEqual(self.status()["state"], "reverted")


class TestBadVersion(RolloutTestCase):
    def break_new(self):
        for desk in self.new:
            desk.status = 500

    def test_bad_version_is_reverted_and_gets_no_more_requests(self):
        self.break_new()
        self.order_rollout()
        self.send_requests(4)
        self.assertEqual(self.status(), {"state": "reverted", "target": "v2"})
        self.assertLess(self.requests_to_new, 50)
        before = self.requests_to_new
        self.send_requests(2)
        self.assertEqual(self.requests_to_new, before)

    def test_failed_requests_are_retried_at_the_old_version(self):
        self.break_new()
        self.order_rollout()
        clients = self.send_requests(4)
        self.assertEqual({client.status for client in clients}, {200})

    def test_version_that_fails_late_is_reverted(self):
        self.order_rollout()
        self.send_requests(6)
        self.break_new()
        before = self.requests_to_new
        self.send_requests(3)
        self.assertEqual(self.status()["state"], "reverted")
        self.assertLess(self.requests_to_new - before, 50)

    def test_slow_version_is_reverted(self):
        for desk in self.new:
            desk.work_s = 0.12
        self.order_rollout()
        self.send_requests(6)
        self.assertEqual(self.status()["state"], "reverted")

    def test_router_that_cannot_read_the_store_reverts_too(self):
        router = self.world.routers[2]
        for follower in router._followers:
            follower.stop()
        self.break_new()
        self.order_rollout()
        self.send_requests(4)
        state = router._rollout_controller.rollouts["desk"].state.value
        self.assertEqual(state, "reverted")

    def test_bad_version_is_reverted_during_a_store_outage(self):
        self.order_rollout()
        self.send_requests(2)
        self.break_new()
        self.world.store.refusal = 503
        self.send_requests(3)
        states = {
            router._rollout_controller.rollouts["desk"].state.value
            for router in self.world.routers
        }
        self.assertEqual(states, {"reverted"})
        self.world.store.refusal = 0
        self.world.run(1)
        self.assertEqual(self.status()["state"], "reverted")

    def test_router_that_starts_later_sends_no_request_to_a_bad_version(self):
        self.break_new()
        self.order_rollout()
        self.send_requests(4)
        self.world.routers.append(self.world.add_router(3))
        self.world.run(0.5)
        before = self.requests_to_new
        for number in range(20):
            data = request_bytes("/look/1", f"late{number}")
            self.world.send_request(data, number=3, wait_s=0.1)
        self.assertEqual(self.requests_to_new, before)


class TestRaces(RolloutTestCase):
    # Guards against a router that reverts alone what the others have completed.
    def test_router_without_the_others_evidence_uses_the_completed_version(self):
        self.world.sockets["10.0.0.3:8748"].is_cut = True
        self.order_rollout()
        self.send_requests(DURATION_S - 1.2, routers=2)
        self.world.run(1.5)
        self.assertEqual(self.status()["state"], "complete")
        for desk in self.world.desks:
            self.world.store.remove(f"servers/{desk.name}")
        self.world.run(1.0)
        clients = self.send_requests(1)
        self.assertEqual({client.status for client in clients}, {200})

    def test_lost_responses_to_writes(self):
        self.world.store.lost_answers = 3
        self.order_rollout()
        self.world.run(1)
        self.assertEqual(self.status()["state"], "in_progress")

    def test_new_order_for_a_reverted_version_starts_again(self):
        for desk in self.new:
            desk.status = 500
        self.order_rollout()
        self.send_requests(4)
        for desk in self.new:
            desk.status = 200
        self.order_rollout()
        self.world.run(0.2)
        self.assertEqual(self.status()["state"], "in_progress")
        self.send_requests(DURATION_S - 1)
        self.world.run(0.6)
        self.assertEqual(self.status()["state"], "complete")

    def test_final_state_is_written_once(self):
        self.order_rollout()
        self.send_requests(DURATION_S - 1.2)
        self.world.run(2)
        revision = self.world.store.state.items[b"status/rollout/desk"].mod_revision
        self.world.run(3)
        later = self.world.store.state.items[b"status/rollout/desk"].mod_revision
        self.assertEqual(revision, later)

    def test_completion_is_written_again_after_an_unexpected_error(self):
        registers = [each._rollout_controller._register for each in self.world.routers]
        writes = [register.end for register in registers]

        def fail(order, state):
            raise ValueError("unexpected")

        self.order_rollout()
        self.send_requests(DURATION_S - 2.5)
        for register in registers:
            register.end = fail
        self.send_requests(1.5)
        for register, write in zip(registers, writes, strict=True):
            register.end = write
        self.send_requests(1.5)
        self.assertEqual(self.status()["state"], "complete")
