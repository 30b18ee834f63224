"""Sound engines that fall silent for a time: their silence ends no answer."""

import random
import unittest
from collections import Counter

import msgspec

from sesamearch.configuration.platform_settings import PlatformBounds
from tests.platform.world import ROUTES, World, draft_bytes, make_configuration

SILENCE_S = 1.2
LONG_SILENCE_S = 3.0
EVENTS = 60
CHECK_STEP_S = 0.05
# Time for which a generation may run at two engines that the router reaches.
MAX_RUN_TWICE_S = 0.4
# Time in which the engines send all events, without silence and prefill.
EVENTS_S = 2.0


class _WorldWithoutRetries(World):
    bounds = msgspec.structs.replace(PlatformBounds(), retry_ratio=0.0, retry_slack=0.0)


class _WorldWithOneRetry(World):
    bounds = msgspec.structs.replace(
        PlatformBounds(), retry_ratio=0.0, retry_slack=1.0, retry_window_s=3.0
    )


class _SilenceTest(unittest.TestCase):
    def build(self, engines, world_type=World, max_attempts=None):
        self.world = world_type(engines=engines)
        for engine in self.world.engines:
            engine.events = EVENTS
        if max_attempts is not None:
            routes = [{**ROUTES[2], "max-attempts": max_attempts}]
            self.world.store.put("op/config", make_configuration(8, routes))
            self.world.run(0.1)

    def start(self, run_s=0.5, prompt_tokens=800, request_id="r1"):
        """Start a generation; return its client and its engine."""
        data = draft_bytes(request_id, prompt_tokens)
        client = self.world.connect().send(data)
        self.world.run(run_s)
        return client, next(each for each in self.world.engines if each.runs)

    def silence(self, *engines, seconds=SILENCE_S):
        for engine in engines:
            self.world.make_silent(engine, seconds)

    def assert_whole(self, client):
        self.assertEqual(client.event_ids, list(range(EVENTS)))
        self.assertTrue(client.is_complete)
        self.assertEqual(client.statuses, [200])
        self.assertEqual(self.counters.streams_cut, 0)

    def assert_ran_once(self):
        runs = [run for engine in self.world.engines for run in engine.runs]
        self.assertEqual([run.ended for run in runs], ["whole"])

    @property
    def counters(self):
        return self.world.routers[0].counters


class TestSilenceInMidStream(_SilenceTest):
    # Guards against an answer cut off because its only engine paused.
    def test_only_engine_is_silent(self):
        self.build(engines=1)
        client, engine = self.start()
        before = len(client.event_ids)
        self.assertTrue(0 < before < EVENTS)
        self.silence(engine)
        self.world.run(SILENCE_S + EVENTS_S)
        self.assert_whole(client)
        self.assert_ran_once()

    # Guards against an answer cut off because all engines paused at once.
    def test_all_engines_are_silent_together(self):
        self.build(engines=3)
        client, _ = self.start()
        self.silence(*self.world.engines)
        self.world.run(SILENCE_S + 2 * EVENTS_S)
        self.assert_whole(client)

    # Guards against an answer cut off while its caller still waits for it.
    def test_all_engines_are_silent_for_longer(self):
        self.build(engines=3)
        client, _ = self.start()
        self.silence(*self.world.engines, seconds=LONG_SILENCE_S)
        self.world.run(LONG_SILENCE_S + 2 * EVENTS_S)
        self.assert_whole(client)

    # Guards against an answer cut off after the other engines' refusals.
    def test_other_engines_are_full_while_the_engine_is_silent(self):
        self.build(engines=6)
        client, engine = self.start()
        for other in self.world.engines:
            if other is not engine:
                other.slots = 0
        self.silence(engine)
        self.world.run(SILENCE_S + 2 * EVENTS_S)
        self.assert_whole(client)

    # Guards against an answer cut off because no retry could be paid.
    def test_retry_budget_is_spent(self):
        self.build(engines=3, world_type=_WorldWithoutRetries)
        client, engine = self.start()
        self.silence(engine)
        self.world.run(SILENCE_S + EVENTS_S)
        self.assert_whole(client)
        self.assert_ran_once()

    # Guards against an answer cut off because no run was left.
    def test_attempts_are_used_up(self):
        self.build(engines=3, max_attempts=1)
        client, engine = self.start()
        self.silence(engine)
        self.world.run(SILENCE_S + EVENTS_S)
        self.assert_whole(client)
        self.assert_ran_once()

    # Guards against an answer cut off because other engines lost it before their first
    # event, while its own engine was only silent.
    def test_attempts_that_produced_nothing_do_not_use_up_the_limit(self):
        self.build(engines=6, max_attempts=2)
        client, engine = self.start()
        others = [each for each in self.world.engines if each is not engine]
        for other in others:
            other.fault = "reset"
        self.silence(engine)
        self.world.run(SILENCE_S)
        self.assertGreater(sum(len(each.runs) for each in others), 1)
        for other in others:
            other.fault = ""
        self.world.run(2 * EVENTS_S)
        self.assert_whole(client)

    # Guards against an attempt used up by an engine that was not needed after all.
    def test_engine_that_was_not_needed_uses_up_no_attempt(self):
        self.build(engines=2, max_attempts=2)
        client, engine = self.start(0.3, prompt_tokens=8000)
        self.silence(engine, seconds=0.7)
        self.world.run(0.85)
        (stream,) = self.world.routers[0].dispatcher._streams
        self.assertEqual(stream.tries[0].endpoint.name, engine.name)
        self.assertTrue(stream._allowance.has_runs_left)
        self.world.run(2 * EVENTS_S)
        self.assert_whole(client)

    # Guards against an answer cut off beside a change of the configuration.
    def test_configuration_changes_during_the_silence(self):
        self.build(engines=1)
        client, engine = self.start()
        self.silence(engine)
        self.world.run(SILENCE_S / 4)
        self.world.store.put("op/config", make_configuration(9))
        self.world.run(SILENCE_S + EVENTS_S)
        self.assert_whole(client)
        self.assert_ran_once()

    # Guards against an answer cut off by the second pause of its engine.
    def test_engine_is_silent_twice(self):
        self.build(engines=1)
        client, engine = self.start()
        self.silence(engine)
        self.world.run(SILENCE_S + 0.2)
        self.silence(engine)
        self.world.run(SILENCE_S + EVENTS_S)
        self.assert_whole(client)
        self.assert_ran_once()

    # Guards against an engine that is avoided although its events come again.
    def test_engine_that_goes_on_is_used_again_at_once(self):
        self.build(engines=2, max_attempts=1)
        _, engine = self.start()
        self.silence(engine, seconds=0.6)
        self.world.run(0.5)
        health = self.world.routers[0]._health
        self.assertTrue(health.is_down(engine.name))
        self.world.run(0.15)
        self.assertFalse(health.is_down(engine.name))

    # Guards against an engine that is avoided although it answers, once replaced.
    def test_replaced_engine_is_used_again_when_it_tells_its_name(self):
        self.build(engines=3)
        health = self.world.routers[0]._health
        _, engine = self.start()
        # It was unreachable not long ago, so that it is avoided for longer now.
        health.note_unreachable(engine.name)
        self.world.run(0.9)
        self.silence(engine, seconds=0.9)
        self.world.run(0.85)
        self.assertTrue(health.is_down(engine.name))
        self.world.run(0.35)
        self.assertFalse(health.is_down(engine.name))

    # Guards against a generation that runs at two engines.
    def test_replaced_engine_stops_when_it_is_back(self):
        self.build(engines=3)
        client, engine = self.start()
        self.silence(engine)
        self.world.run(SILENCE_S + 0.01)
        self.assertEqual([run.ended for run in engine.runs], ["left"])
        self.world.run(2 * EVENTS_S)
        self.assert_whole(client)
        runs = [run for each in self.world.engines for run in each.runs]
        self.assertEqual(sorted(run.ended for run in runs), ["left", "whole"])


class TestSilenceBeforeTheFirstEvent(_SilenceTest):
    # Guards against a 502 for a prompt that its only engine still read.
    def test_only_engine_is_silent(self):
        self.build(engines=1)
        client, engine = self.start(0.2, prompt_tokens=8000)
        self.assertEqual(client.event_ids, [])
        self.silence(engine)
        self.world.run(SILENCE_S + 1 + EVENTS_S)
        self.assert_whole(client)
        self.assert_ran_once()

    # Guards against a 502 after the silence of all engines, one after the other.
    def test_all_engines_are_silent_together(self):
        self.build(engines=3)
        client, _ = self.start(0.2, prompt_tokens=8000)
        self.silence(*self.world.engines)
        self.world.run(SILENCE_S + 2 + EVENTS_S)
        self.assert_whole(client)

    # Guards against a 502 although the caller waits and the engines are sound.
    def test_all_engines_are_silent_for_longer(self):
        self.build(engines=3)
        client, _ = self.start(0.2, prompt_tokens=8000)
        self.silence(*self.world.engines, seconds=LONG_SILENCE_S)
        self.world.run(LONG_SILENCE_S + 3 + EVENTS_S)
        self.assert_whole(client)

    # Guards against a request that is held though no engine is listed any more.
    def test_request_is_refused_once_no_engine_is_listed(self):
        self.build(engines=2)
        client, engine = self.start(0.2, prompt_tokens=8000)
        for other in self.world.engines:
            if other is not engine:
                self.world.crash(other)
        self.silence(engine, seconds=10)
        self.world.run(1.5)
        self.assertEqual((client.statuses, client.is_closed), ([], False))
        for worker in self.world.engines:
            self.world.store.remove(f"servers/{worker.name}")
        self.world.run(1.5)
        # The first engine may have run it, so that nothing is promised.
        self.assertEqual(client.status, 502)


class TestLostEngines(_SilenceTest):
    # Guards against an answer cut off long before its caller would leave.
    def test_generation_resumes_when_a_crashed_engine_is_back(self):
        self.build(engines=3)
        client, _ = self.start()
        for engine in self.world.engines:
            self.world.crash(engine)
        self.world.run(4)
        self.assertFalse(client.is_closed)
        for engine in self.world.engines:
            self.world.restore(engine)
        self.world.run(2 + EVENTS_S)
        self.assert_whole(client)

    # Guards against an answer cut off because the retry budget was spent for a while.
    def test_generation_resumes_when_the_retry_budget_allows_it_again(self):
        self.build(engines=4, world_type=_WorldWithOneRetry)
        clients = [self.start(0.1, request_id=name)[0] for name in ("a", "b")]
        self.world.run(0.4)
        for engine in self.world.engines:
            engine.crash()
        # Each resumes at its second send, since no engine made the copy it asks for.
        self.world.run(12 + EVENTS_S)
        for client in clients:
            self.assert_whole(client)
        # A denial is counted once for each retry, not at each look.
        self.assertLessEqual(self.counters.retries_denied, 4)

    # Guards against an answer that is kept after its caller cannot wait for it.
    def test_answer_ends_when_no_engine_comes_back_in_time(self):
        self.build(engines=3)
        client, _ = self.start()
        for engine in self.world.engines:
            self.world.crash(engine)
        self.world.run(17.5)
        self.assertFalse(client.is_closed)
        self.world.run(2)
        self.assertTrue(client.was_reset)
        self.assertFalse(client.is_complete)
        # The engines get few connections all the while.
        self.assertLess(self.counters.tries, 70)

    # Guards against many requests to full engines while an answer waits for one.
    def test_full_engines_get_few_requests(self):
        self.build(engines=3)
        client, engine = self.start()
        for other in self.world.engines:
            other.slots = 0
        engine.crash()
        self.world.run(10)
        self.assertLess(self.counters.tries, 40)
        engine.slots = 12
        self.world.run(3 + EVENTS_S)
        self.assert_whole(client)


class TestManySilences(_SilenceTest):
    # Guards against answers that are cut off, or run at two engines, as engines pause
    # by turns and together.
    def test_all_answers_are_whole(self):
        for seed in range(4):
            with self.subTest(seed=seed):
                self.play(random.Random(seed))

    def play(self, rng):
        self.build(engines=5)
        self.twice_s = {}
        clients = []
        for number in range(24):
            data = draft_bytes(f"r{number}", rng.choice([400, 2000, 6000]))
            clients.append(self.world.connect().send(data))
            if rng.random() < 0.4:
                count = rng.choice([1, 1, 2, 5])
                silent = rng.sample(self.world.engines, count)
                self.silence(*silent, seconds=rng.uniform(0.6, 1.6))
            self.run_checked(0.3)
        self.run_checked(12)
        for number, client in enumerate(clients):
            if client.status == 503:
                self.assert_never_ran(f"r{number}", client)
            else:
                self.assert_whole(client)

    def assert_never_ran(self, request_id, client):
        """Check that a refused request, which its caller may repeat, did not run."""
        self.assertIn(b"Retry-After: ", client.received)
        for engine in self.world.engines:
            self.assertNotIn(request_id, engine.served)

    def run_checked(self, seconds):
        for _ in range(round(seconds / CHECK_STEP_S)):
            self.world.run(CHECK_STEP_S)
            self.check_runs()

    def check_runs(self):
        """Check that no request runs at two engines that can be reached."""
        now_s = self.world.network.seconds()
        reached = [e for e in self.world.engines if e.frozen_until_s <= now_s]
        running = Counter(
            run.request_id for e in reached for run in e.runs if not run.ended
        )
        twice = [request_id for request_id, count in running.items() if count > 1]
        self.twice_s = {name: self.twice_s.get(name, now_s) for name in twice}
        for request_id, began_s in self.twice_s.items():
            self.assertLess(now_s - began_s, MAX_RUN_TWICE_S, request_id)
