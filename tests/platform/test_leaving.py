"""Endpoints that say in their answers that they leave get no new work."""

import unittest

import logbook

from sesamearch.base.record import EndpointLeaving
from sesamearch.configuration.blackboard import Incarnation
from sesamearch.membership.fleet_message import LeavingNotice
from tests.platform.world import World, draft_bytes, request_bytes

# How long a caller waits for the next event of a generation on the route of the tests.
PATIENCE_S = 18.0


def arrivals(worker):
    """Return the number of callers' requests that reached a worker."""
    own = ("/healthz", "/sesamearch/")
    return sum(not each.path.startswith(own) for each in worker.arrivals)


class TestCalls(unittest.TestCase):
    """The list does not say that the worker leaves."""

    def setUp(self):
        self.world = World()
        self.leaving, self.other = self.world.desks

    def send(self, count=12, number=0, prefix="more", status=200):
        """Send requests one after another."""
        for each in range(count):
            data = request_bytes("/look/1", f"{prefix}{each}")
            client = self.world.send_request(data, number, wait_s=0.1)
            self.assertEqual(client.status, status)

    def leave(self):
        """Have a worker say that it leaves, in an answer to a caller's request."""
        self.leaving.is_leaving = True
        data = request_bytes("/look/1", "first")
        client = self.world.send_request(data, wait_s=0.1)
        self.assertEqual(client.status, 200)
        self.assertIn(b"Server-Leaving: 1", client.received)
        self.assertEqual(arrivals(self.leaving), 1)

    def lose_store(self):
        self.world.store.refusal = 503
        for client in self.world.network.connections:
            client.abortConnection()
        self.world.run(1)

    def list_as(self, name="desk-0", **more):
        self.leaving.name = name
        self.world.update_entry(self.leaving, "desk", 0, **more)
        self.world.run(0.5)

    def test_worker_gets_no_new_requests(self):
        self.leave()
        self.send()
        self.assertEqual(arrivals(self.leaving), 1)

    def test_worker_gets_no_new_requests_while_the_store_is_away(self):
        self.lose_store()
        self.leave()
        self.send()
        self.assertEqual(arrivals(self.leaving), 1)

    def test_connections_that_are_open_already_are_not_used(self):
        clients = [self.world.connect() for _ in range(6)]
        for number, client in enumerate(clients):
            client.send(request_bytes("/look/1", f"warm{number}"))
        self.world.run(0.1)
        before = arrivals(self.leaving)
        self.assertGreater(before, 1)
        self.leaving.is_leaving = True
        clients[0].send(request_bytes("/look/1", "first"))
        self.world.run(0.1)
        for number, client in enumerate(clients):
            client.send(request_bytes("/look/1", f"more{number}"))
        self.world.run(0.1)
        self.assertEqual(arrivals(self.leaving), before + 1)
        self.assertEqual(clients[1].statuses, [200, 200])

    def test_list_that_says_ready_again_ends_nothing(self):
        self.leave()
        self.list_as(state="draining")
        self.list_as(state="ready", sequence=5)
        self.send()
        self.assertEqual(arrivals(self.leaving), 1)

    def test_entry_that_was_away_ends_nothing(self):
        self.leave()
        self.world.store.remove("servers/desk-0")
        self.world.run(20)
        self.list_as()
        self.send()
        self.assertEqual(arrivals(self.leaving), 1)

    def test_new_incarnation_of_the_name_is_used(self):
        self.list_as(born=1000)
        self.leave()
        self.leaving.is_leaving = False
        self.list_as(born=2000)
        self.send()
        self.assertGreater(arrivals(self.leaving), 1)

    def test_new_incarnation_that_leaves_too_gets_nothing(self):
        self.list_as(born=1000)
        self.leave()
        self.list_as(born=2000)
        self.send()
        self.assertEqual(arrivals(self.leaving), 2)

    def test_other_endpoint_at_the_address_is_used(self):
        self.leave()
        self.leaving.is_leaving = False
        self.list_as("desk-9")
        self.send()
        self.assertGreater(arrivals(self.leaving), 1)

    def test_request_is_refused_if_only_leaving_workers_are_left(self):
        self.other.is_leaving = True
        self.leave()
        self.send(1, prefix="second")
        before = arrivals(self.leaving), arrivals(self.other)
        self.send(3, status=503)
        self.assertEqual((arrivals(self.leaving), arrivals(self.other)), before)

    def test_refusal_may_say_it(self):
        self.leaving.slots = 0
        self.leaving.is_leaving = True
        self.send()
        self.assertEqual(arrivals(self.leaving), 1)

    def test_failure_may_say_it(self):
        self.leaving.status = 500
        self.leaving.is_leaving = True
        self.send()
        self.assertEqual(arrivals(self.leaving), 1)

    def test_answer_of_another_process_says_nothing_of_the_one_that_was_asked(self):
        """The process at the address belongs to another name, which leaves."""
        self.leaving.is_leaving = True
        self.leaving.name = "desk-9"
        self.send(1)
        endpoints = self.world.routers[0].board.endpoints.value
        self.assertFalse(endpoints["desk-0"].leaving)
        self.list_as("desk-9")
        before = arrivals(self.leaving)
        self.send()
        self.assertEqual(arrivals(self.leaving), before)

    def test_silent_worker_is_not_hedged_by_a_leaving_one(self):
        self.leave()
        self.other.fault = "mute"
        client = self.world.send_request(request_bytes("/look/1", "h"), wait_s=0.9)
        self.assertEqual(client.status, 504)
        self.assertEqual(arrivals(self.leaving), 1)

    def test_lost_answer_is_not_retried_at_a_leaving_worker(self):
        self.leave()
        self.other.fault = "reset"
        self.world.send_request(request_bytes("/look/1", "lost"), wait_s=0.9)
        self.assertEqual(arrivals(self.leaving), 1)

    def test_change_is_logged_and_counted_once(self):
        handler = logbook.TestHandler()
        with handler.applicationbound():
            self.list_as(born=1000)
            self.leave()
            self.send(3)
            self.list_as(born=2000, sequence=2)
            self.list_as(born=2000, sequence=3)
        messages = [record.msg for record in handler.records]
        states = [e.state for e in messages if isinstance(e, EndpointLeaving)]
        routers = len(self.world.routers)
        expected = [*["leaving"] * routers, *["restarted"] * routers]
        self.assertEqual(states, expected)
        counted = [router.counters.leaving_endpoints for router in self.world.routers]
        self.assertEqual(counted, [1] * routers)


class TestPeers(TestCalls):
    """A router that got no answer of the leaving worker learns it from another."""

    def setUp(self):
        # The third router is in the data centre of the leaving worker.
        self.world = World(routers=3)
        self.world.run(1)
        self.leaving, self.other = self.world.desks

    def send(self, count=12, number=2, prefix="more", status=200):
        self.world.run(0.1)
        super().send(count, number, prefix, status)

    def test_message_of_another_schema_version_is_ignored(self):
        router = self.world.routers[1]
        notice = LeavingNotice(99, Incarnation("desk-0", 0))
        router._leaving_gossip._apply(notice)
        self.assertFalse(router.board.endpoints.value["desk-0"].leaving)

    def test_restarted_router_is_bound_by_the_answers_that_it_gets(self):
        self.leave()
        self.world.routers.append(self.world.add_router(4))
        self.world.run(1.5)
        self.send(number=4)
        self.assertLessEqual(arrivals(self.leaving), 2)


class TestGenerations(unittest.TestCase):
    def setUp(self):
        self.world = World(engines=4)
        self.router = self.world.routers[0]

    def start(self, request_id="long", prompt_tokens=800, run_s=0.4):
        """Start a generation; return its caller and its engine."""
        client = self.world.connect().send(draft_bytes(request_id, prompt_tokens))
        self.world.run(run_s)
        engine = next(e for e in self.world.engines if request_id in e.served)
        return client, engine

    def backup_of(self, request_id):
        for stream in self.router.dispatcher._streams:
            if stream.request.request_id == request_id:
                address = stream.tries[0].options.backup_address
                engines = self.world.engines
                return next((e for e in engines if e.address == address), None)

    def mark(self, engine):
        """Have this router know that an engine leaves, as from another router."""
        engine.is_leaving = True
        self.router._leaving.update(Incarnation(engine.name, 0))

    def test_generation_of_a_leaving_engine_goes_on_there(self):
        for engine in self.world.engines:
            engine.is_leaving = True
        client, engine = self.start()
        self.world.run(2)
        self.assertEqual(client.event_ids, list(range(20)))
        self.assertEqual(sum(len(e.runs) for e in self.world.engines), 1)

    def test_next_generation_goes_elsewhere(self):
        self.world.engines[0].is_leaving = self.world.engines[2].is_leaving = True
        for number in range(8):
            prompt = f"5c1e:200,{number}:600"
            data = draft_bytes(f"r{number}", X_Prompt_Prefix=prompt)
            self.world.send_request(data, wait_s=1.5)
        leaving = [e for e in self.world.engines if e.is_leaving]
        self.assertTrue(all(len(e.runs) <= 1 for e in leaving))

    def test_generation_does_not_resume_at_a_backup_that_leaves(self):
        client, engine = self.start()
        backup = self.backup_of("long")
        backup.copies["long"] = 900
        self.mark(backup)
        self.world.crash(engine)
        self.world.run(3)
        self.assertEqual(client.event_ids, list(range(20)))
        self.assertEqual(arrivals(backup), 0)

    def test_copy_moves_away_from_a_backup_that_leaves(self):
        for engine in self.world.engines:
            engine.events = 200
        _, engine = self.start()
        backup = self.backup_of("long")
        self.mark(backup)
        self.world.run(1)
        self.assertEqual(backup.copies, {})
        self.assertEqual(sum(bool(e.copies) for e in self.world.engines), 1)

    def test_new_backup_is_not_at_a_leaving_engine(self):
        for engine in self.world.engines[1:]:
            self.mark(engine)
        self.start()
        self.assertIsNone(self.backup_of("long"))

    def test_cached_prompt_at_a_leaving_engine_draws_no_generation(self):
        client, engine = self.start("first", 4000, 0.8)
        client.transport.abortConnection()
        self.world.run(0.1)
        self.mark(engine)
        last = str(client.event_ids[-1])
        resumed = draft_bytes("second", 4000, Last_Event_Id=last)
        other = self.world.send_request(resumed, wait_s=2)
        self.assertTrue(other.is_complete)
        self.assertEqual(engine.served, ["first"])

    def test_broken_generation_is_never_sent_to_a_leaving_engine(self):
        client, engine = self.start()
        others = [e for e in self.world.engines if e is not engine]
        for each in others:
            self.mark(each)
        self.world.crash(engine)
        self.world.run(PATIENCE_S + 1)
        self.assertFalse(client.is_complete)
        self.assertTrue(client.is_closed)
        self.assertEqual(sum(map(arrivals, others)), 0)

    def test_answer_of_a_probe_may_say_it(self):
        _, engine = self.start("read", 12_000)
        engine.is_leaving = True
        self.world.run(0.6)
        self.assertEqual(len(engine.arrivals), 2)
        self.assertTrue(self.router.board.endpoints.value[engine.name].leaving)

    def test_answer_to_a_copy_may_say_it(self):
        for engine in self.world.engines:
            engine.events = 200
        _, engine = self.start()
        engine.is_leaving = True
        self.mark(self.backup_of("long"))
        self.world.run(0.5)
        self.assertTrue(self.router.board.endpoints.value[engine.name].leaving)

    def test_data_centre_is_not_probed_at_a_leaving_engine(self):
        """Only the leaving engine of an unreachable data centre would answer."""
        leaving, silent = self.world.engines[1], self.world.engines[3]
        self.mark(leaving)
        for worker in (self.world.desks[1], silent):
            self.world.network.blackholed.add(worker.address)
        for endpoint in list(self.router.board.endpoints.value.values()):
            if endpoint.data_centre == "west":
                self.router._outages.note_unreachable(endpoint)
        self.world.run(5)
        self.assertTrue(self.router._outages.is_unreachable("west"))
        self.assertEqual(leaving.arrivals, [])
