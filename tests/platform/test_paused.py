"""Endpoints that ask for a pause get nothing from this router until its end."""

import itertools
import re
import unittest

from tests.platform.world import World, draft_bytes, request_bytes


def retry_after_s(client):
    """Return the ``Retry-After`` that a caller got."""
    return float(re.search(rb"Retry-After: ([\d.]+)", client.received).group(1))


class PausedWorld(World):
    """A world whose workers turn requests away with a ``Retry-After``."""

    def pause(self, worker, retry_after):
        worker.slots = 0
        worker.retry_after = retry_after

    def arrivals(self, worker, since_s):
        """Return what reached a worker since a time, half a second later."""
        return [each for each in worker.arrivals if each.at_s > since_s + 0.5]


class TestCalls(unittest.TestCase):
    def setUp(self):
        self.world = PausedWorld(routers=3)
        self.paused, self.other = self.world.desks

    def send(self, count, number=0, wait_s=0.1, prefix="r"):
        """Send requests one after another; return the statuses of the answers."""
        statuses = []
        for each in range(count):
            data = request_bytes("/look/1", f"{prefix}{each}")
            client = self.world.send_request(data, number, wait_s=wait_s)
            statuses.append(client.status)
        return statuses

    def begin(self, retry_after="2.5"):
        """Have a worker turn a request away; return when it did."""
        self.world.pause(self.paused, retry_after)
        self.assertEqual(self.send(1, prefix="first"), [200])
        (arrival,) = self.paused.arrivals
        return arrival.at_s

    def test_nothing_is_sent_until_the_end(self):
        since_s = self.begin()
        self.assertEqual(self.send(18), [200] * 18)
        self.assertLess(self.world.network.seconds(), since_s + 2.5)
        self.assertEqual(len(self.paused.arrivals), 1)

    def test_worker_is_used_after_the_end(self):
        self.begin("0.75")
        self.paused.slots = 6
        self.world.run(0.8)
        self.send(4)
        self.assertGreater(len(self.paused.arrivals), 1)

    def test_requests_on_the_way_begin_one_pause(self):
        self.world.pause(self.paused, "2")
        clients = [self.world.connect() for _ in range(12)]
        for number, client in enumerate(clients):
            client.send(request_bytes("/look/1", f"r{number}"))
        self.world.run(0.6)
        self.send(12, prefix="more")
        since_s = self.paused.arrivals[0].at_s
        self.assertLess(self.world.network.seconds(), since_s + 2)
        self.assertEqual(self.world.arrivals(self.paused, since_s), [])
        self.assertEqual(self.world.routers[0].counters.pauses, 1)

    def test_later_shorter_pause_does_not_shorten_it(self):
        """Two requests are on the way; the first answer asks for the longer pause."""
        stated = itertools.chain(("2",), itertools.repeat("0.6"))
        refuse = self.paused.refuse

        def refuse_for_less(reply, headers):
            self.paused.retry_after = next(stated)
            refuse(reply, headers)

        self.paused.refuse = refuse_for_less
        self.paused.slots = 0
        clients = [self.world.connect() for _ in range(2)]
        for number, client in enumerate(clients):
            client.send(request_bytes("/look/1", f"first{number}"))
        self.world.run(0.7)
        self.assertEqual(len(self.paused.arrivals), 2)
        self.assertEqual(self.send(9), [200] * 9)
        self.assertEqual(len(self.paused.arrivals), 2)

    def test_failure_that_does_not_say_not_run_begins_one(self):
        self.paused.status = 503
        self.paused.retry_after = "2"
        self.send(15)
        self.assertEqual(len(self.paused.arrivals), 1)

    def test_malformed_value_begins_none(self):
        self.world.pause(self.paused, "soon")
        self.assertEqual(self.send(6), [200] * 6)
        self.assertEqual(len(self.paused.arrivals), 6)

    def test_other_router_is_not_paused(self):
        self.begin()
        self.paused.slots = 6
        self.send(4, number=2)
        self.assertGreater(len(self.paused.arrivals), 1)

    def test_later_process_of_the_name_is_not_paused(self):
        self.world.update_entry(self.paused, "desk", 0, born=1000)
        self.world.run(0.5)
        self.begin("30")
        self.paused.slots = 6
        self.world.update_entry(self.paused, "desk", 0, born=2000)
        self.world.run(0.5)
        self.send(4)
        self.assertGreater(len(self.paused.arrivals), 1)

    def test_silent_worker_is_not_hedged_by_a_paused_one(self):
        self.begin()
        self.other.fault = "mute"
        self.assertEqual(self.send(1, wait_s=0.9), [504])
        self.assertEqual(len(self.paused.arrivals), 1)


class TestAllPaused(unittest.TestCase):
    def setUp(self):
        self.world = PausedWorld()
        for desk in self.world.desks:
            self.world.pause(desk, "3")
        self.begin_s = self.world.network.seconds()
        self.send("first")

    def send(self, request_id, path="/look/1", **headers):
        data = request_bytes(path, request_id, **headers)
        return self.world.send_request(data, wait_s=0.05)

    def reached(self):
        return sum(len(desk.arrivals) for desk in self.world.desks)

    def test_requests_are_refused_at_once_and_true(self):
        self.assertEqual(self.reached(), 2)
        advice = []
        for number in range(20):
            client = self.send(f"r{number}")
            self.assertEqual(client.status, 503)
            back_s = self.world.network.seconds() - self.begin_s
            advice.append(retry_after_s(client) + back_s)
        self.assertGreaterEqual(min(advice), 3.0)
        self.assertLess(max(advice), 4.7)
        self.assertGreater(max(advice) - min(advice), 0.3)
        self.assertEqual(self.reached(), 2)

    def test_request_whose_try_began_the_last_pause_is_told_the_truth(self):
        world = PausedWorld(desks=1)
        world.pause(world.desks[0], "3")
        client = world.send_request(request_bytes("/look/1"), wait_s=0.05)
        self.assertEqual(client.status, 429)
        self.assertGreater(retry_after_s(client), 2.9)

    def test_retry_budget_is_not_used(self):
        router = self.world.routers[0]
        before = router._budgets.recent_retries("desk")
        for number in range(10):
            self.send(f"r{number}")
        self.assertEqual(router._budgets.recent_retries("desk"), before)

    def test_refusal_without_another_endpoint_uses_no_retry(self):
        world = PausedWorld(desks=1, engines=1)
        for worker, data in (
            (world.desks[0], request_bytes("/look/1")),
            (world.engines[0], draft_bytes()),
        ):
            world.pause(worker, "3")
            client = world.send_request(data, wait_s=0.05)
            self.assertEqual(client.status, 429)
        budgets = world.routers[0]._budgets
        used = [budgets.recent_retries(each) for each in ("desk", "models")]
        self.assertEqual(used, [(0, 0), (0, 0)])

    def test_requests_are_served_after_the_earliest_end(self):
        self.world.desks[1].slots = 6
        self.world.run(3)
        self.world.desks[0].slots = 6
        self.assertEqual(self.send("late").status, 200)


class TestGenerations(unittest.TestCase):
    def setUp(self):
        self.world = PausedWorld(engines=4)
        self.router = self.world.routers[0]

    def start(self, request_id="long", prompt_tokens=800, run_s=0.4, events=60):
        for engine in self.world.engines:
            engine.events = events
        client = self.world.connect().send(draft_bytes(request_id, prompt_tokens))
        self.world.run(run_s)
        engine = next(e for e in self.world.engines if request_id in e.served)
        return client, engine

    def refuse_at(self, engine, retry_after):
        """Have an engine turn a generation away that only it could run."""
        self.world.pause(engine, retry_after)
        others = [e for e in self.world.engines if e is not engine]
        for other in others:
            self.router._health.note_unreachable(other.name)
        prompt = "aaaa:200,bbbb:200"
        data = draft_bytes(f"at-{engine.name}", 400, X_Prompt_Prefix=prompt)
        self.world.send_request(data, wait_s=0.05)
        for other in others:
            self.router._health.note_answer(other.name, False)

    def backup_of(self, client_id="long"):
        (stream,) = [
            each
            for each in self.router.dispatcher._streams
            if each.request.request_id == client_id
        ]
        address = stream.tries[0].options.backup_address
        return next(e for e in self.world.engines if e.address == address)

    def reached(self, engine):
        return len(engine.arrivals)

    def test_generations_go_elsewhere(self):
        engine = self.world.engines[0]
        self.refuse_at(engine, "5")
        self.assertEqual(self.reached(engine), 1)
        for number in range(8):
            prompt = f"5c1e:200,{number}:600"
            data = draft_bytes(f"r{number}", X_Prompt_Prefix=prompt)
            client = self.world.send_request(data, wait_s=0.3)
        self.assertEqual(client.status, 200)
        self.assertEqual(self.reached(engine), 1)

    def test_running_generation_goes_on_at_a_paused_engine(self):
        client, engine = self.start()
        self.refuse_at(engine, "5")
        self.world.run(3)
        self.assertEqual(client.event_ids, list(range(60)))
        self.assertEqual(len(engine.runs), 1)

    def test_engine_reading_a_prompt_is_not_probed_while_paused(self):
        client, engine = self.start(prompt_tokens=16_000, run_s=0.1)
        self.refuse_at(engine, "1.5")
        before = self.reached(engine)
        self.world.run(1.3)
        self.assertEqual(self.reached(engine), before)
        self.world.run(0.8)
        self.assertGreater(self.reached(engine), before)
        self.world.run(3)
        self.assertEqual(client.event_ids, list(range(60)))
        runs = [e.served.count("long") for e in self.world.engines]
        self.assertEqual(sum(runs), 1)

    def test_generation_does_not_resume_at_a_paused_backup(self):
        client, engine = self.start()
        backup = self.backup_of()
        backup.copies["long"] = 900
        self.refuse_at(backup, "5")
        before = self.reached(backup)
        self.world.crash(engine)
        self.world.run(4)
        self.assertEqual(client.event_ids, list(range(60)))
        self.assertEqual(self.reached(backup), before)

    def test_paused_backup_keeps_its_copy(self):
        """A copy to another engine would cost more than the pause."""
        self.start()
        self.refuse_at(self.backup_of(), "5")
        self.world.run(1)
        self.assertEqual(self.router.counters.copies, 0)

    def test_paused_engine_gets_no_backup(self):
        _, engine = self.start("first")
        backup = self.backup_of("first")
        self.refuse_at(backup, "5")
        for number in range(4):
            prompt = f"5c1e:200,{number}:600"
            data = draft_bytes(f"r{number}", X_Prompt_Prefix=prompt)
            self.world.connect().send(data)
        self.world.run(0.3)
        started = [f"r{number}" for number in range(4)]
        self.assertNotIn(backup, [self.backup_of(each) for each in started])

    def test_engine_that_refuses_a_copy_with_a_pause_is_not_asked_again(self):
        _, engine = self.start(events=200)
        self.world.crash(self.backup_of())
        self.router._health.note_unreachable(self.backup_of().name)
        engine.neighbours = {}
        engine.retry_after = "4"
        self.world.run(0.2)
        before = self.reached(engine)
        self.assertEqual(engine.arrivals[-1].path, "/sesamearch/kv-move")
        self.world.run(3.5)
        self.assertEqual(self.reached(engine), before)
        self.world.run(1.6)
        self.assertGreater(self.reached(engine), before)

    def test_broken_generation_waits_for_a_pause_that_ends_soon(self):
        client, engine = self.start()
        others = [e for e in self.world.engines if e is not engine]
        for other in others:
            self.refuse_at(other, "1")
            other.slots = 12
        before = [self.reached(other) for other in others]
        self.world.crash(engine)
        self.router._health.note_unreachable(engine.name)
        self.world.run(0.6)
        self.assertEqual([self.reached(other) for other in others], before)
        self.world.run(4)
        self.assertEqual(client.event_ids, list(range(60)))
        self.assertTrue(client.is_complete)

    def test_cached_prompt_at_a_paused_engine_draws_no_generation(self):
        client, engine = self.start("first", 4000, 0.8)
        client.transport.abortConnection()
        self.world.run(0.1)
        self.refuse_at(engine, "5")
        before = self.reached(engine)
        last = str(client.event_ids[-1])
        resumed = draft_bytes("second", 4000, Last_Event_Id=last)
        other = self.world.send_request(resumed, wait_s=3)
        self.assertTrue(other.is_complete)
        self.assertEqual(self.reached(engine), before)

    def test_generation_is_refused_at_once_if_all_are_paused(self):
        for engine in self.world.engines:
            self.refuse_at(engine, "4")
        before = sum(map(self.reached, self.world.engines))
        retries = self.router._budgets.recent_retries("models")
        client = self.world.send_request(draft_bytes("late"), wait_s=0.05)
        self.assertEqual(client.status, 503)
        self.assertGreater(retry_after_s(client), 3)
        self.assertEqual(sum(map(self.reached, self.world.engines)), before)
        self.assertEqual(self.router._budgets.recent_retries("models"), retries)

    def test_caller_refused_in_a_shutdown_is_sent_to_another_router_at_once(self):
        """The other routers are not paused."""
        self.start(events=400)
        for engine in self.world.engines:
            self.refuse_at(engine, "30")
        self.router.shut_down()
        self.world.run(3)
        client = self.world.send_request(draft_bytes("late"), wait_s=0.1)
        self.assertEqual(client.status, 503)
        self.assertEqual(retry_after_s(client), 0.05)
