"""Faults that the review of the incident found."""

import unittest

import msgspec

from sesamearch.configuration.platform_settings import PlatformBounds
from sesamearch.membership.rollout_message import RolloutUpdate
from sesamearch.rollout.order import RolloutOrder, RolloutState
from sesamearch.routing.canary_evidence import (
    Evidence,
    RouteEvidence,
    TimeCount,
    Verdict,
    time_bucket,
)
from sesamearch.standin.platform_worker import PREFILL_TOKENS_PER_S
from tests.platform.test_rollout import DURATION_S, RolloutTestCase
from tests.platform.world import ROUTES, World, draft_bytes, make_configuration

ROUTERS = 12
EVENTS = 60
REQUEST_INTERVAL_S = 0.1


class TestTroubleBesideRollout(unittest.TestCase):
    def setUp(self):
        self.world = World(routers=ROUTERS, engines=4)
        self.new = [self.world.add_engine(4 + n, version="v2") for n in range(2)]
        for engine in self.world.engines + self.new:
            engine.events = EVENTS
        self.request_count = 0

    def send(self, seconds):
        clients = []
        for _ in range(round(seconds / REQUEST_INTERVAL_S)):
            self.request_count += 1
            client = self.world.connect(self.request_count % ROUTERS)
            client.send(draft_bytes(f"q{self.request_count}"))
            clients.append(client)
            self.world.run(REQUEST_INTERVAL_S - 0.01)
        return clients

    def order_rollout(self):
        order = {"service": "models", "target": "v2", "duration-s": DURATION_S}
        self.world.store.put("op/rollout/models", order)

    def state(self):
        item = self.world.store.state.items[b"status/rollout/models"]
        return msgspec.json.decode(item.value)["state"]

    # Guards against a good version reverted for one crash that several routers saw.
    def test_one_crash_does_not_revert_a_good_version(self):
        self.send(3)
        self.order_rollout()
        self.send(4)
        self.world.crash(self.new[0])
        self.send(1)
        self.world.restore(self.new[0])
        self.send(1)
        self.assertEqual(self.state(), "in_progress")

    # Guards against a good version reverted for one pause of a sound engine.
    def test_silent_engine_does_not_revert_a_good_version(self):
        self.send(3)
        self.order_rollout()
        self.send(4)
        self.world.make_silent(self.new[0], 1.2)
        self.send(2)
        self.assertEqual(self.state(), "in_progress")

    # Guards against a service refused for good because its new engines crashed.
    def test_crashes_after_completion_do_not_refuse_the_service(self):
        self.send(3)
        self.order_rollout()
        self.send(DURATION_S)
        self.assertEqual(self.state(), "complete")
        for engine in self.world.engines:
            self.world.store.remove(f"servers/{engine.name}")
            self.world.crash(engine)
        self.new += [self.world.add_engine(6 + n, version="v2") for n in range(4)]
        self.send(2)
        self.slow_down_and_crash(self.new)
        self.world.run(4)
        clients = self.send(1)
        self.world.run(3)
        self.assertEqual({client.status for client in clients}, {200})

    def slow_down_and_crash(self, engines):
        """Overload engines as after a completion, crash them and start them again."""
        for engine in engines:
            engine.prefill_tokens_per_s = PREFILL_TOKENS_PER_S / 5
        self.send(2)
        for engine in engines:
            self.world.crash(engine)
        self.world.run(0.5)
        for engine in engines:
            self.world.restore(engine)
            engine.prefill_tokens_per_s = PREFILL_TOKENS_PER_S


class TestRolloutStore(RolloutTestCase):
    # Guards against completing a version that was judged bad while the store was down.
    def test_version_judged_bad_while_its_completion_is_written_is_reverted(self):
        for offset_s in (0.0, 0.05, 0.1, 0.15, 0.2, 0.25):
            with self.subTest(offset_s=offset_s):
                self.setUp()
                self.complete_without_the_store()
                self.receive_late_failures()
                self.world.run(0.5 + offset_s)
                self.assertEqual(self.local_states(), {RolloutState.REVERTED})
                self.world.store.refusal = 0
                self.world.run(1.5)
                self.assertEqual(self.status()["state"], "reverted")

    def complete_without_the_store(self):
        self.order_rollout()
        self.send_requests(DURATION_S - 1.5)
        self.world.store.refusal = 503
        self.world.run(1.5)
        self.assertEqual(self.local_states(), {RolloutState.IN_PROGRESS})

    def receive_late_failures(self):
        """Have the routers receive what another one saw that had been cut off."""
        for router in self.world.routers:
            controller = router._rollout_controller
            order = controller.rollouts["desk"].order
            seen = RouteEvidence("look", new_answers=20, new_failures=20)
            controller._receive_update(
                RolloutUpdate(
                    "router-9",
                    "desk",
                    "v2",
                    order.revision.number,
                    DURATION_S,
                    5,
                    20,
                    20,
                    [seen],
                )
            )

    def local_states(self):
        return {
            router._rollout_controller.rollouts["desk"].state
            for router in self.world.routers
        }

    # Guards against an end of an earlier order that is taken for that of a later one.
    def test_late_end_of_an_earlier_order_does_not_end_a_later_one(self):
        self.order_rollout()
        self.world.run(0.2)
        router = self.world.routers[0]
        controller = router._rollout_controller
        first = controller.rollouts["desk"].order
        self.order_rollout()
        # A router that has not seen the later order yet ends the earlier one.
        controller._register.end(first, RolloutState.COMPLETE)
        self.world.run(0.5)
        second = controller.rollouts["desk"].order
        self.assertIsInstance(second, RolloutOrder)
        self.assertGreater(second.revision, first.revision)
        self.assertEqual(self.status()["state"], "in_progress")
        self.assertEqual(self.local_states(), {RolloutState.IN_PROGRESS})

    # Guards against a rollout without an end because its order was removed.
    def test_rollout_whose_order_was_removed_is_ended(self):
        self.order_rollout()
        self.send_requests(1)
        self.world.store.remove("op/rollout/desk")
        for desk in self.new:
            desk.status = 500
        self.send_requests(4)
        self.assertEqual(self.status()["state"], "reverted")

    # Guards against a restarted router that takes an old order for a new one.
    def test_router_that_starts_later_knows_the_deadline_of_the_order(self):
        self.order_rollout()
        self.send_requests(6)
        self.world.routers.append(self.world.add_router(3))
        self.send_requests(1)
        plans = [
            router._rollout_controller.rollouts["desk"].plan
            for router in self.world.routers
        ]
        for plan in plans[1:]:
            self.assertAlmostEqual(plan.completion_s, plans[0].completion_s, delta=0.3)
            self.assertAlmostEqual(plan.to_new, plans[0].to_new, delta=5)

    # Guards against a restarted router that sends a version on trial all its requests.
    def test_router_that_starts_later_keeps_to_the_share(self):
        self.order_rollout()
        self.send_requests(6)
        self.world.routers.append(self.world.add_router(3))
        before = self.requests_to_new
        clients = self.send_requests(2, routers=4)
        share = (self.requests_to_new - before) / len(clients)
        plan = self.world.routers[0]._rollout_controller.rollouts["desk"].plan
        expected = plan.share(self.world.network.seconds())
        self.assertLessEqual(share, expected + 0.1)


class TestFewLongGenerations(unittest.TestCase):
    # Guards against a good version refused because few of its answers have a pace.
    def test_good_version_with_few_long_generations_is_good(self):
        evidence = Evidence()
        first, pace = time_bucket(0.1), time_bucket(0.03)
        for number in range(200):
            counts = RouteEvidence("chat", new_answers=1, old_answers=4)
            counts.new_first = [TimeCount(first, 1)]
            counts.old_first = [TimeCount(first, 4)]
            if number % 30 == 0:
                counts.new_pace = [TimeCount(pace, 1)]
                counts.old_pace = [TimeCount(pace, 4)]
            evidence.add_counts(counts)
        self.assertIs(evidence.verdict, Verdict.GOOD)


class _WorldWithOneRetry(World):
    bounds = msgspec.structs.replace(
        PlatformBounds(), retry_ratio=0.0, retry_slack=1.0, retry_window_s=10.0
    )


class TestSoundTry(unittest.TestCase):
    def setUp(self):
        self.world = _WorldWithOneRetry(engines=2)
        # Callers of this route wait 2 s for the next event.
        routes = [{**ROUTES[2], "latency-goal-ms": 400, "gap-target-ms": 200}]
        self.world.store.put("op/config", make_configuration(8, routes))
        for engine in self.world.engines:
            engine.events = EVENTS
        self.world.run(0.1)

    def start(self, run_s, prompt_tokens=800):
        client = self.world.connect().send(draft_bytes("r1", prompt_tokens))
        self.world.run(run_s)
        self.engine = next(each for each in self.world.engines if each.runs)
        return client

    def silence_beside_a_full_engine(self):
        for other in self.world.engines:
            if other is not self.engine:
                other.slots = 0
        self.world.make_silent(self.engine, 1.2)
        self.world.run(5)

    # Guards against a sound try that is cancelled for an engine that then refuses.
    def test_answer_goes_on_if_the_engine_that_takes_over_refuses(self):
        client = self.start(run_s=0.5)
        self.silence_beside_a_full_engine()
        self.assertEqual(client.event_ids, list(range(EVENTS)))
        self.assertTrue(client.is_complete)

    # Guards against the same before the first event.
    def test_answer_begins_if_the_engine_that_takes_over_refuses(self):
        client = self.start(run_s=0.2, prompt_tokens=8000)
        self.silence_beside_a_full_engine()
        self.assertEqual(client.statuses, [200])
        self.assertEqual(client.event_ids, list(range(EVENTS)))

    # Guards against a slow caller whose engine is taken for a silent one.
    def test_pause_of_a_slow_caller_is_no_silence_of_the_engine(self):
        client = self.start(run_s=0.5)
        (stream,) = self.world.routers[0].dispatcher._streams
        producer = stream.tries[0].pending_request.producer
        # As the transport of a caller does whose buffer is full.
        producer.pauseProducing()
        self.world.run(1.0)
        producer.resumeProducing()
        self.world.run(3)
        self.assertEqual(client.event_ids, list(range(EVENTS)))
        runs = [run for engine in self.world.engines for run in engine.runs]
        self.assertEqual([run.ended for run in runs], ["whole"])
