"""Tests of one or more routers with raw callers, workers and the platform's store."""

import os
import unittest

import msgspec
from result import Err, Ok

from sesamearch.base.log import LineQueue, RecordHandler
from sesamearch.base.schema import Fault
from sesamearch.configuration.settings import PeerSettings
from sesamearch.forwarding.load import EndpointLoad
from tests.platform.world import (
    KEY,
    ROUTES,
    World,
    draft_bytes,
    make_configuration,
    request_bytes,
)


class TestNormalOperation(unittest.TestCase):
    def setUp(self):
        self.world = World()

    def test_call_is_answered_unchanged(self):
        client = self.world.send_request(request_bytes("/look/1"))
        self.assertEqual(client.status, 200)
        self.assertIn(b"X-Response-Signature: sig.desk-", client.received)
        self.assertTrue(client.received.endswith(b"to r1"))

    def test_operation_is_answered(self):
        data = request_bytes("/post/1", method="POST", body=b"payload")
        client = self.world.send_request(data)
        self.assertEqual(client.status, 200)
        (run,) = [run for desk in self.world.desks for run in desk.runs]
        self.assertEqual((run.body, run.organisation), (b"payload", "bench"))

    def test_generation_is_answered_completely(self):
        client = self.world.send_request(draft_bytes(), wait_s=2)
        self.assertEqual(client.event_ids, list(range(20)))
        self.assertTrue(client.is_complete)

    def test_generation_of_a_service_that_states_no_engine_is_answered(self):
        # The configuration may leave the key out, as for any plain service.
        configuration = make_configuration(version=8)
        for service in configuration["services"]:
            service.pop("engine", None)
        self.world.store.put("op/config", configuration)
        self.world.run(1)
        client = self.world.send_request(draft_bytes(), wait_s=2)
        self.assertEqual(client.status, 200)
        self.assertEqual(client.event_ids, list(range(20)))

    def test_pipelined_requests_are_answered_in_order(self):
        client = self.world.connect()
        client.send(request_bytes("/look/1", "a"), request_bytes("/look/2", "b"))
        self.world.run(1)
        self.assertEqual(client.statuses, [200, 200])
        self.assertLess(client.received.index(b"to a"), client.received.index(b"to b"))

    def test_endpoint_connections_are_reused(self):
        for number in range(4):
            self.world.send_request(request_bytes("/look/1", f"r{number}"), wait_s=0.1)
        desk_connections = [
            each
            for each in self.world.network.connections
            if each.protocol.__class__.__name__ == "_FirstRequestConnection"
        ]
        self.assertLessEqual(len(desk_connections), 6)

    def test_ready_once_configuration_and_endpoints_are_known(self):
        ready = self.world.connect(port=8749).send(b"GET / HTTP/1.1\r\nHost: r\r\n\r\n")
        self.world.run(0.1)
        self.assertEqual(ready.status, 200)


class TestRefusals(unittest.TestCase):
    def setUp(self):
        self.world = World()

    def test_unknown_route_gets_404(self):
        self.assertEqual(self.world.send_request(request_bytes("/other/1")).status, 404)

    def test_unknown_key_gets_401(self):
        data = request_bytes("/look/1", Authorization="Token nobody")
        client = self.world.send_request(
            data.replace(f"Token {KEY}".encode(), b"Token x", 1)
        )
        self.assertEqual(client.status, 401)

    def test_public_route_needs_no_key(self):
        routes = [{**ROUTES[1], "public": True}]
        self.world.store.put("op/config", make_configuration(8, routes))
        self.world.run(0.1)
        data = request_bytes("/look/1").replace(KEY.encode(), b"nobody")
        self.assertEqual(self.world.send_request(data).status, 200)

    def test_full_workers_cause_a_refusal_with_retry_after(self):
        for desk in self.world.desks:
            desk.slots = 0
        client = self.world.send_request(
            request_bytes("/post/1", method="POST"), wait_s=0.1
        )
        self.assertEqual(client.status, 429)
        self.assertIn(b"Retry-After: 0.", client.received)
        self.assertEqual([desk.runs for desk in self.world.desks], [[], []])

    def test_router_without_configuration_returns_503_and_is_not_ready(self):
        self.world.store.refusal = 503
        self.world.routers.append(self.world.add_router(1))
        self.world.run(0.5)
        client = self.world.send_request(request_bytes("/look/1"), number=1)
        self.assertEqual(client.status, 503)
        ready = self.world.connect(1, 8749).send(b"GET / HTTP/1.1\r\nHost: r\r\n\r\n")
        self.world.run(0.1)
        self.assertEqual(ready.status, 503)

    def test_internal_headers_of_callers_are_dropped(self):
        seen = []
        desk = self.world.desks[0]
        for worker in self.world.desks:
            worker.make_processor = _record_head(seen, worker.make_processor)
        data = request_bytes(
            "/look/1", X_Tenant="other", X_Kv_Hold="7", Connection="X-Attempt-Id"
        )
        self.world.send_request(data)
        names = {name.lower() for name, _ in seen[0].headers}
        self.assertNotIn(b"x-kv-hold", names)
        self.assertNotIn(b"authorization", names)
        self.assertIn(b"x-attempt-id", names)
        tenants = [v for k, v in seen[0].headers if k.lower() == b"x-tenant"]
        self.assertEqual(tenants, [b"bench"])
        self.assertEqual(desk.status, 200)


def _record_head(seen, make_processor):
    def make_recording_processor(run, head, reply, headers):
        seen.append(head)
        return make_processor(run, head, reply, headers)

    return make_recording_processor


class TestLostAnswers(unittest.TestCase):
    def setUp(self):
        self.world = World()

    def runs(self, request_id="r1"):
        desks = self.world.desks
        return sum(desk.served.count(request_id) for desk in desks)

    def test_operation_with_a_lost_answer_is_not_retried(self):
        for desk in self.world.desks:
            desk.fault = "reset"
        client = self.world.send_request(request_bytes("/post/1", method="POST"))
        self.assertEqual(client.status, 502)
        self.assertEqual(self.runs(), 1)

    def test_idempotent_call_is_retried_at_another_worker(self):
        self.world.desks[0].fault = "reset"
        client = self.world.send_request(request_bytes("/look/1"))
        self.assertEqual(client.status, 200)

    def test_truncated_answer_never_reaches_the_caller(self):
        for desk in self.world.desks:
            desk.fault = "truncate"
        client = self.world.send_request(request_bytes("/look/1"))
        self.assertEqual(client.status, 502)
        self.assertEqual(self.runs(), 2)

    def test_caller_of_a_silent_worker_gets_504_at_the_route_timeout(self):
        for desk in self.world.desks:
            desk.fault = "mute"
        client = self.world.connect().send(request_bytes("/post/1", method="POST"))
        self.world.run(0.78)
        self.assertEqual(client.received, b"")
        self.world.run(0.05)
        self.assertEqual(client.status, 504)

    def test_idempotent_call_to_a_silent_worker_is_hedged(self):
        self.world.desks[0].fault = "mute"
        client = self.world.send_request(request_bytes("/look/1"), wait_s=0.15)
        self.assertEqual(client.status, 200)

    def test_silent_worker_gets_fewer_requests_than_a_responsive_one(self):
        self.world.desks[0].fault = "mute"
        for number in range(20):
            self.world.send_request(request_bytes("/look/1", f"r{number}"), wait_s=0.15)
        self.assertLess(len(self.world.desks[0].runs), 10)

    def test_operation_is_retried_after_a_refused_connection(self):
        self.world.network.close(self.world.desks[0].address)
        client = self.world.send_request(request_bytes("/post/1", method="POST"))
        self.assertEqual(client.status, 200)
        self.assertEqual(self.runs(), 1)

    def test_operation_is_retried_after_a_refusal(self):
        self.world.desks[0].slots = 0
        for number in range(4):
            data = request_bytes("/post/1", f"r{number}", method="POST")
            self.assertEqual(self.world.send_request(data, wait_s=0.1).status, 200)

    def test_other_process_at_the_address_runs_no_operation(self):
        self.world.desks[0].name = "desk-new"
        for number in range(4):
            data = request_bytes("/post/1", f"r{number}", method="POST")
            self.assertEqual(self.world.send_request(data, wait_s=0.1).status, 200)
        self.assertEqual(self.world.desks[0].runs, [])

    def test_error_response_of_the_last_worker_is_forwarded_unchanged(self):
        for desk in self.world.desks:
            desk.status = 500
        client = self.world.send_request(request_bytes("/look/1"))
        self.assertEqual(client.status, 500)
        self.assertIn(b"X-Response-Signature: sig.desk-", client.received)

    def test_worker_is_freed_when_the_caller_disconnects(self):
        for desk in self.world.desks:
            desk.work_s = 5
        client = self.world.connect().send(request_bytes("/look/1"))
        self.world.run(0.02)
        client.transport.abortConnection()
        self.world.run(0.3)
        ended = [run.ended for desk in self.world.desks for run in desk.runs]
        self.assertEqual(ended, ["left"])


def is_west(worker):
    """Return whether a worker of a ``World`` is in the data centre ``west``."""
    return int(worker.name.rpartition("-")[2]) % 2 == 1


class TestInterruptedGenerations(unittest.TestCase):
    def setUp(self):
        self.world = World(engines=4)

    def start_generation(self, run_s=0.4):
        client = self.world.connect().send(draft_bytes())
        self.world.run(run_s)
        return client, next(each for each in self.world.engines if each.runs)

    def test_generation_resumes_within_the_gap_target_after_a_crash(self):
        client, engine = self.start_generation()
        self.assertGreater(len(client.event_ids), 2)
        before = len(client.event_ids)
        self.world.crash(engine)
        self.world.run(0.5)
        self.assertGreater(len(client.event_ids), before)
        self.world.run(2)
        self.assertEqual(client.event_ids, list(range(20)))
        self.assertTrue(client.is_complete)
        self.assertEqual(client.received.count(b"X-Response-Signature"), 1)
        self.assertIn(f"sig.{engine.name}".encode(), client.received)

    def test_generation_resumes_within_the_gap_target_after_a_stall(self):
        client, engine = self.start_generation()
        self.world.make_unresponsive(engine)
        before = len(client.event_ids)
        self.world.run(0.65)
        self.assertGreater(len(client.event_ids), before)
        self.world.run(2)
        self.assertEqual(client.event_ids, list(range(20)))

    def test_generation_that_is_slow_on_every_engine_is_completed(self):
        for engine in self.world.engines:
            engine.event_interval_s = 0.65
        client = self.world.send_request(draft_bytes(), wait_s=20)
        self.assertEqual(client.event_ids, list(range(20)))
        self.assertTrue(client.is_complete)
        self.assertLessEqual(sum(len(each.runs) for each in self.world.engines), 2)

    def test_generation_resumes_after_a_stall_during_prefill(self):
        client = self.world.connect().send(draft_bytes(prompt_tokens=8000))
        self.world.run(0.2)
        engine = next(each for each in self.world.engines if each.runs)
        self.world.make_unresponsive(engine)
        self.world.run(4)
        self.assertEqual(client.event_ids, list(range(20)))
        self.assertTrue(client.is_complete)

    def test_generation_resumes_from_the_backup_copy(self):
        client, engine = self.start_generation()
        options = next(iter(self.world.routers[0].dispatcher._streams)).tries[0].options
        backup = next(
            e for e in self.world.engines if e.address == options.backup_address
        )
        backup.copies["r1"] = 900
        self.world.crash(engine)
        self.world.run(2)
        self.assertEqual(client.event_ids, list(range(20)))
        self.assertEqual([run.prompt_tokens for run in backup.runs], [0])

    def test_backup_is_not_tried_after_a_crash_during_prefill(self):
        client = self.world.connect().send(draft_bytes(prompt_tokens=8000))
        self.world.run(0.6)
        self.world.crash(next(each for each in self.world.engines if each.runs))
        self.world.run(3)
        self.assertEqual(client.event_ids, list(range(20)))
        tries = self.world.routers[0].counters.tries
        self.assertEqual(tries, 2)

    def test_connection_reset_alone_does_not_mark_an_engine_down(self):
        client, engine = self.start_generation()
        engine.crash()
        self.world.run(0.1)
        self.assertFalse(self.world.routers[0]._health.is_down(engine.name))
        self.world.run(2)
        self.assertEqual(client.event_ids, list(range(20)))

    def test_backup_is_in_another_data_centre(self):
        self.start_generation()
        options = next(iter(self.world.routers[0].dispatcher._streams)).tries[0].options
        endpoints = self.world.routers[0].board.endpoints.value
        data_centres = {each.address: each.data_centre for each in endpoints.values()}
        self.assertNotEqual(
            data_centres[options.backup_address], options.endpoint.data_centre
        )

    def test_caller_resumes_after_its_last_event(self):
        client = self.world.send_request(draft_bytes(Last_Event_Id="11"), wait_s=2)
        self.assertEqual(client.event_ids, list(range(12, 20)))

    def test_last_live_engine_of_many_is_found(self):
        world = World(engines=24)
        for engine in world.engines[:-1]:
            world.crash(engine)
        client = world.send_request(draft_bytes(), wait_s=2)
        self.assertTrue(client.is_complete)

    def test_crashed_engines_cause_a_refusal_with_retry_after(self):
        for engine in self.world.engines:
            self.world.crash(engine)
        client = self.world.send_request(draft_bytes(), wait_s=0.5)
        self.assertIn(client.status, (429, 503))
        self.assertIn(b"Retry-After: 1.000", client.received)

    def test_engine_is_freed_when_the_caller_disconnects(self):
        client, engine = self.start_generation()
        client.transport.abortConnection()
        self.world.run(0.2)
        self.assertEqual([run.ended for run in engine.runs], ["left"])

    def test_non_resumable_generation_is_aborted_and_runs_once(self):
        routes = [{**ROUTES[2], "resumable": False}]
        self.world.store.put("op/config", make_configuration(8, routes))
        self.world.run(0.1)
        client, engine = self.start_generation()
        self.world.crash(engine)
        self.world.run(1)
        self.assertTrue(client.is_closed)
        self.assertFalse(client.is_complete)
        runs = sum(len(each.runs) for each in self.world.engines)
        self.assertEqual(runs, 1)


class TestDataCentreCutOff(unittest.TestCase):
    """A router in the east loses the west, without resets."""

    def setUp(self):
        self.world = World(desks=4, engines=12)
        self.west = [w for w in self.world.engines + self.world.desks if is_west(w)]
        # The near engines are busy, so that the ones in the west are preferred.
        east = [each for each in self.world.engines if each not in self.west]
        load = {each.name: EndpointLoad(9, 60_000, 70_000) for each in east}
        self.loads = load
        for worker in self.west:
            self.world.make_unresponsive(worker)

    def start(self, request_id):
        self.world.routers[0]._loads.update("other", self.loads)
        return self.world.connect().send(draft_bytes(request_id))

    def test_later_generations_wait_for_no_timeout(self):
        first = self.start("first")
        self.world.run(2.5)
        self.assertTrue(first.event_ids)
        sent = self.world.routers[0].counters.tries_lost
        clients = [self.start(f"r{number}") for number in range(5)]
        self.world.run(0.3)
        self.assertTrue(all(client.event_ids for client in clients))
        self.assertEqual(self.world.routers[0].counters.tries_lost, sent)

    def test_the_data_centre_is_used_again_soon_after_the_cut(self):
        self.start("first")
        self.world.run(2.5)
        for worker in self.west:
            worker.is_unresponsive = False
            self.world.network.blackholed.discard(worker.address)
        self.world.run(1.5)
        self.start("later")
        self.world.run(0.5)
        self.assertTrue(any("later" in worker.served for worker in self.west))


class TestLostCopies(unittest.TestCase):
    """The engine with the backup copy crashes before the one that runs the request."""

    def setUp(self):
        self.world = World(engines=6)
        self.client = self.world.connect().send(draft_bytes())
        self.world.run(0.3)
        streams = self.world.routers[0].dispatcher._streams
        self.options = next(iter(streams)).tries[0].options
        self.engine = self.engine_at(self.options.endpoint.address)

    def engine_at(self, address):
        return next(e for e in self.world.engines if e.address == address)

    def lose_backup(self):
        backup = self.engine_at(self.options.backup_address)
        self.world.crash(backup)
        self.world.routers[0]._health.note_unreachable(backup.name)
        self.world.run(0.1)
        return backup

    def test_copy_is_made_at_another_engine_and_used(self):
        backup = self.lose_backup()
        targets = [e for e in self.world.engines if e.copies]
        self.assertEqual(len(targets), 1)
        self.assertIsNot(targets[0], backup)
        self.world.crash(self.engine)
        self.world.run(2)
        self.assertEqual(self.client.event_ids, list(range(20)))
        self.assertEqual([run.prompt_tokens for run in targets[0].runs], [0])

    def test_no_copy_is_requested_while_the_backup_is_alive(self):
        self.world.run(1)
        self.assertEqual(self.world.routers[0].counters.copies, 0)

    def test_copy_is_dropped_when_the_generation_ends(self):
        self.lose_backup()
        self.world.run(2)
        self.assertTrue(self.client.is_complete)
        self.assertEqual([e.copies for e in self.world.engines], [{}] * 6)

    def test_generation_continues_if_the_engine_cannot_copy(self):
        self.engine.neighbours = {}
        self.lose_backup()
        self.world.run(2)
        self.assertEqual(self.client.event_ids, list(range(20)))


class TestEngineRestarts(unittest.TestCase):
    """Engines crash and restart under other names during a store outage."""

    def setUp(self):
        self.world = World(engines=1, routers=2)
        (self.engine,) = self.world.engines
        self.world.send_request(draft_bytes("before", 100), wait_s=1)
        self.world.store.refusal = 503

    def restart(self, after_s):
        self.world.connect().send(draft_bytes("cut", 100))
        self.world.run(0.2)
        self.world.crash(self.engine)
        self.world.run(after_s)
        self.engine.name = "engine-new"
        self.world.network.listen(self.engine.address, self.engine.factory)
        self.world.run(0.7)

    def test_engine_that_restarts_soon_gets_requests_from_all_routers(self):
        self.restart(1.2)
        for number in range(2):
            data = draft_bytes(f"after{number}", 100)
            client = self.world.send_request(data, number, wait_s=1)
            self.assertEqual(client.status, 200)
            self.assertTrue(client.is_complete)

    def test_address_that_may_belong_to_another_service_gets_no_requests(self):
        self.restart(2.1)
        runs = len(self.engine.runs)
        client = self.world.send_request(draft_bytes("after", 100), wait_s=1)
        self.assertNotEqual(client.status, 200)
        self.assertEqual(len(self.engine.runs), runs)

    def test_listed_endpoints_apply_once_the_store_has_recovered(self):
        self.restart(1.2)
        self.world.store.refusal = 0
        self.world.store.remove("servers/engine-0")
        self.world.run(7)
        self.world.store.put("servers/other", b"{}")
        self.world.run(0.5)
        names = set(self.world.routers[0].board.endpoints.value)
        self.assertEqual(names, {"desk-0", "desk-1"})


class TestConfiguration(unittest.TestCase):
    def setUp(self):
        self.world = World(routers=2)

    def test_newer_configuration_is_put_in_force(self):
        self.world.store.put("op/config", make_configuration(8, ROUTES[:1]))
        self.world.run(0.1)
        self.assertEqual(self.world.send_request(request_bytes("/look/1")).status, 404)

    def test_older_configuration_is_ignored(self):
        self.world.store.put("op/config", make_configuration(9))
        self.world.run(0.1)
        self.world.store.put("op/config", make_configuration(8, ROUTES[:1]))
        self.world.run(0.1)
        self.assertEqual(self.world.send_request(request_bytes("/look/1")).status, 200)

    def test_invalid_configuration_leaves_the_current_one_in_force(self):
        self.world.store.put("op/config", b"{")
        self.world.run(0.1)
        self.assertEqual(self.world.send_request(request_bytes("/look/1")).status, 200)

    def test_revoked_key_reaches_a_router_that_cannot_read_the_store(self):
        self.world.routers[1]._followers[0].stop()
        self.world.store.put("op/config", make_configuration(8, keys=("new",)))
        self.world.run(1.5)
        self.assertEqual(
            self.world.send_request(request_bytes("/look/1"), 1).status, 401
        )

    def test_leaving_endpoint_reaches_a_router_that_cannot_read_the_store(self):
        self.world.routers[1]._followers[1].stop()
        self.world.update_entry(self.world.desks[0], "desk", 0, state="draining")
        self.world.run(1.5)
        runs = len(self.world.desks[0].runs)
        for number in range(6):
            self.world.send_request(
                request_bytes("/look/1", f"r{number}"), 1, wait_s=0.1
            )
        self.assertEqual(len(self.world.desks[0].runs), runs)

    def test_keys_are_read_again_if_the_history_is_gone(self):
        self.world.store.discard_history()
        self.world.store.put("op/config", make_configuration(8, ROUTES[:1]))
        self.world.run(1.5)
        self.assertEqual(self.world.send_request(request_bytes("/look/1")).status, 404)

    def test_change_during_an_outage_is_in_force_after_it(self):
        self.world.store.refusal = 503
        for client in self.world.network.connections:
            client.abortConnection()
        self.world.run(3)
        self.world.store.state.txn([], [])
        self.world.store.put("op/config", make_configuration(8, ROUTES[:1]))
        self.world.store.refusal = 0
        self.world.run(1.5)
        self.assertEqual(self.world.send_request(request_bytes("/look/1")).status, 404)

    def test_invalid_entries_are_skipped(self):
        self.world.store.put("servers/odd", b"\xff")
        self.world.store.put("servers/odder", {"service": "desk", "address": 5})
        self.world.run(0.1)
        self.assertEqual(self.world.send_request(request_bytes("/look/1")).status, 200)
        self.assertEqual(self.world.routers[0]._followers[1].skipped_entries, 2)

    def test_all_routers_get_the_same_peer_keys(self):
        keys = [
            item
            for item in self.world.store.state.items
            if item.startswith(b"sesamearch/")
        ]
        self.assertEqual(keys, [b"sesamearch/peer-keys"])
        self.assertEqual(len(self.world.sockets), 2)


class TestFailingEndpoint(unittest.TestCase):
    def test_failures_are_shared_within_the_data_centre_only(self):
        world = World(routers=3, desks=3)
        world.run(2)
        world.desks[0].fault = "reset"
        for number in range(20):
            world.send_request(request_bytes("/look/1", f"r{number}"), wait_s=0.1)
        world.run(0.5)
        name = world.desks[0].name
        ratios = [router._health.baseline([name]) for router in world.routers]
        self.assertEqual(ratios, [1.0, 0.0, 1.0])


class TestBlockedOutput(unittest.TestCase):
    """The log goes to a pipe that nobody reads."""

    def setUp(self):
        self.reader, self.writer = os.pipe()
        os.set_blocking(self.reader, False)
        self.addCleanup(os.close, self.reader)
        self.addCleanup(os.close, self.writer)
        self.lines = LineQueue(self.writer, limit_bytes=20_000)
        handler = RecordHandler(self.lines, "router-0", lambda: 0.0)
        handler.push_application()
        self.addCleanup(handler.pop_application)

    def test_requests_are_not_delayed_and_dropped_lines_are_counted(self):
        world = World()
        world.routers[0]._lines = self.lines
        while fill_pipe(self.writer):
            pass
        for number in range(100):
            client = world.send_request(
                request_bytes("/look/1", f"r{number}"), wait_s=0.05
            )
            self.assertEqual(client.status, 200)
        self.assertGreater(self.lines.dropped, 50)
        received = b""
        for _ in range(10):
            received += read_pipe(self.reader)
            world.run(0.2)
        self.assertIn(b"lines_dropped", received)


def read_pipe(descriptor):
    """Return the bytes in a pipe, without blocking."""
    try:
        return os.read(descriptor, 1 << 20)
    except BlockingIOError:
        return b""


def fill_pipe(descriptor):
    """Write to a pipe without blocking; return whether it accepted any bytes."""
    try:
        return os.write(descriptor, b"x" * 4096) > 0
    except BlockingIOError:
        return False


class TestDrain(unittest.TestCase):
    def setUp(self):
        self.world = World()
        self.router = self.world.routers[0]

    def test_running_generation_is_finished(self):
        client = self.world.connect().send(draft_bytes())
        self.world.run(0.2)
        self.router.shut_down()
        self.world.run(2)
        self.assertEqual(client.event_ids, list(range(20)))
        self.assertTrue(client.is_complete)

    def test_repeated_signal_aborts_no_generation(self):
        client = self.world.connect().send(draft_bytes())
        self.world.run(0.2)
        for _ in range(3):
            self.router.shut_down()
            self.world.run(0.1)
        self.world.run(2)
        self.assertEqual(client.event_ids, list(range(20)))
        self.assertTrue(client.is_complete)

    def test_connections_are_refused_after_the_drain(self):
        self.router.shut_down()
        self.world.run(3)
        late = self.world.connect()
        self.assertIsNone(late.transport)

    def test_draining_router_is_not_ready_but_still_serves(self):
        self.router.shut_down()
        ready = self.world.connect(port=8749).send(b"GET / HTTP/1.1\r\nHost: r\r\n\r\n")
        client = self.world.send_request(request_bytes("/look/1"), wait_s=0.2)
        self.assertEqual((ready.status, client.status), (503, 200))
        self.assertIn(b"Connection: close", client.received)
        self.assertTrue(client.is_closed)


class TestDeadlines(unittest.TestCase):
    def test_remaining_time_is_forwarded(self):
        world = World(desks=1)
        seen = []
        world.desks[0].make_processor = _record_head(
            seen, world.desks[0].make_processor
        )
        world.send_request(request_bytes("/look/1", X_Deadline_Ms="300"))
        forwarded_ms = [int(v) for k, v in seen[0].headers if k == b"X-Deadline-Ms"]
        self.assertEqual(len(forwarded_ms), 1)
        # The worker stops a tenth of the time before the caller gives up.
        self.assertTrue(250 <= forwarded_ms[0] <= 270)

    def test_caller_deadline_ends_the_wait(self):
        world = World(desks=1)
        world.desks[0].fault = "mute"
        data = request_bytes("/post/1", method="POST")
        data = data.replace(b"Ms: 1500", b"Ms: 300")
        client = world.send_request(data, wait_s=0.35)
        self.assertEqual(client.status, 504)


class TestStart(unittest.TestCase):
    def test_listening_waits_for_the_first_configuration(self):
        world = World()
        world.store.is_silent = True
        world.add_router(1)
        world.run(0.1)
        self.assertNotIn("10.0.0.2:8740", world.network._factories)
        world.run(0.3)
        self.assertIn("10.0.0.2:8740", world.network._factories)

    def test_change_in_the_first_second_is_put_in_force_after_it(self):
        world = World()
        world.add_router(1)
        world.run(0.02)
        world.store.put("op/config", make_configuration(8))
        world.run(1.2)
        revision = world.routers[0].board.configuration.value.revision
        self.assertEqual(revision, 8)

    def test_router_without_peers_follows_the_store_after_the_first_second(self):
        world = World(routers=0)
        world.routers.append(world.add_router(0))
        world.run(0.02)
        world.store.put("op/config", make_configuration(8))
        world.run(1.2)
        revision = world.routers[0].board.configuration.value.revision
        self.assertEqual(revision, 8)


class TestReload(unittest.TestCase):
    def setUp(self):
        self.world = World()
        self.router = self.world.routers[0]

    def test_changed_seeds_apply_without_interrupting_requests(self):
        client = self.world.connect().send(draft_bytes())
        self.world.run(0.2)
        peer = PeerSettings("10.0.0.1:8748", "", ["10.0.0.7:8748"])
        changed = msgspec.structs.replace(self.router._settings, peer=peer)
        self.router.reload(lambda: Ok(changed))
        self.assertEqual(self.router._peers.seeds, ["10.0.0.7:8748"])
        self.world.run(2)
        self.assertTrue(client.is_complete)

    def test_invalid_settings_change_nothing(self):
        seeds = self.router._peers.seeds
        fault = Fault("settings.conf", "ip", "a value", "nothing")
        self.router.reload(lambda: Err([fault]))
        self.assertEqual(self.router._peers.seeds, seeds)
        self.assertEqual(self.world.send_request(request_bytes("/look/1")).status, 200)


class TestHandOver(unittest.TestCase):
    """A router stops while it still serves long generations."""

    def setUp(self):
        self.world = World(routers=2, engines=4)

    def test_caller_resumes_at_another_router_with_the_same_engine(self):
        client = self.world.connect().send(draft_bytes("first", 4000))
        self.world.run(0.8)
        engine = next(each for each in self.world.engines if each.runs)
        client.transport.peer.protocol.transport.abortConnection()
        self.world.run(0.05)
        last = client.event_ids[-1]
        busy = {engine.name: EndpointLoad(3, 12_000, 12_000)}
        self.world.routers[1]._loads.update("other", busy)
        resumed = draft_bytes("second", 4000, Last_Event_Id=str(last))
        other = self.world.send_request(resumed, number=1, wait_s=2)
        self.assertEqual(client.event_ids + other.event_ids, list(range(20)))
        self.assertEqual(engine.served, ["first", "second"])

    def test_generation_that_cannot_end_before_shutdown_is_refused(self):
        for engine in self.world.engines:
            engine.events = 200
        self.world.connect().send(draft_bytes("running"))
        self.world.run(0.2)
        self.world.routers[0].shut_down()
        self.world.run(3)
        client = self.world.send_request(draft_bytes("late"), wait_s=0.1)
        self.assertEqual(client.status, 503)
        self.assertIn(b"Retry-After: 0.050", client.received)
        served = [name for engine in self.world.engines for name in engine.served]
        self.assertEqual(served, ["running"])

    def test_prompt_that_cannot_be_processed_in_time_is_refused_at_once(self):
        for number in range(10):
            own = f"5c1e:200,{number}:3800"
            draft = draft_bytes(f"r{number}", 4000, X_Prompt_Prefix=own)
            self.world.send_request(draft, wait_s=1.5)
        late = draft_bytes("late", 8000, X_Deadline_Ms="300")
        client = self.world.send_request(late, wait_s=0.05)
        self.assertEqual(client.status, 503)


class TestMetrics(unittest.TestCase):
    def test_metrics_contain_outcomes_and_latencies(self):
        world = World()
        world.send_request(request_bytes("/look/1"))
        world.send_request(request_bytes("/other/1"))
        world.run(2)
        scrape = world.connect(port=7200).send(
            b"GET /metrics HTTP/1.1\r\nHost: m\r\n\r\n"
        )
        world.run(0.1)
        self.assertEqual(scrape.status, 200)
        self.assertIn(
            b'sesamearch_requests_by_outcome_total{outcome="answered",route="look"}',
            scrape.received,
        )
        self.assertIn(b'outcome="unknown-service"', scrape.received)
        self.assertIn(b"sesamearch_request_seconds_bucket", scrape.received)
        self.assertIn(b"sesamearch_configuration_revision 7", scrape.received)


class TestRetryBudget(unittest.TestCase):
    def test_router_with_many_broken_generations_uses_the_others_parts(self):
        world = World(routers=8, engines=12)
        # The routers share what all know of, once they know a whole window.
        world.run(10)
        for engine in world.engines:
            engine.events = 600
        clients = [
            world.connect().send(draft_bytes(f"r{number}")) for number in range(40)
        ]
        # News from both data centres.
        others = [world.connect(each).send(draft_bytes(f"o{each}")) for each in (1, 2)]
        # Older requests no longer add to the budget.
        world.run(12)
        slack = world.routers[0]._settings.bounds.retry_slack
        self.assertGreater(len(clients), 2 * slack / len(world.routers))
        for engine in world.engines:
            engine.crash()
        world.run(1)
        self.assertFalse(any(client.is_closed for client in clients + others))
        self.assertEqual(world.routers[0].counters.retries_denied, 0)


class TestIdleCost(unittest.TestCase):
    """At hundreds of VMs, what an idle router costs counts more than its requests."""

    def test_idle_router_wakes_up_seldom(self):
        world = World()
        world.run(5)
        calls = []
        call_later = world.network.callLater

        def count(delay_s, function, *arguments):
            calls.append(function)
            return call_later(delay_s, function, *arguments)

        world.network.callLater = count
        world.run(5)
        self.assertLess(len(calls) / 5, 40)
