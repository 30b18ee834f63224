"""Requests that a router without a path to endpoints sends by way of another one."""

import unittest

from sesamearch.standin.network import PathFault
from sesamearch.wire.caller import CallerLimits
from tests.platform.path_storm import PathStorm
from tests.platform.world import draft_bytes, make_configuration, request_bytes

PROXY_PORT = 8750
# A caller notices a longer pause.
MAX_PAUSE_S = 0.7
TICK_S = 0.01


def make_storm(routers=3, desks=3, engines=3):
    storm = PathStorm(routers, desks, engines)
    storm.run(3)
    return storm


def cut_and_settle(storm, number=0, fault=PathFault.RESET):
    """Cut a router off all endpoints, and let it find that out by some requests."""
    storm.cut_off([number], (fault,))
    for kind in ("safe", "generation"):
        for _ in range(3):
            storm.send(kind, number)
            storm.run(0.1)
    storm.run(2)


def proxied_by(storm, number=0):
    return storm.routers[number].counters.proxied


class TestProxiedRequests(unittest.TestCase):
    def test_answer_comes_back_unchanged(self):
        storm = make_storm()
        direct = storm.send_request(request_bytes("/look/1", "same"), 0)
        cut_and_settle(storm)
        proxied = storm.send_request(request_bytes("/look/1", "same"), 0)
        self.assertEqual(proxied.status, 200)
        names = [line.split(b":")[0] for line in direct.received.split(b"\r\n")]
        again = [line.split(b":")[0] for line in proxied.received.split(b"\r\n")]
        self.assertEqual(names[:-1], again[:-1])
        self.assertIn(b"to same", proxied.received)
        self.assertNotIn(b"sesamearch-proxy", proxied.received.lower())

    def test_endpoint_gets_the_request_as_its_caller_sent_it(self):
        storm = make_storm()
        cut_and_settle(storm)
        body = b"x" * 50_000
        client = storm.send_request(request_bytes("/post/7?a=b", "long", "POST", body))
        self.assertEqual(client.status, 200)
        runs = [run for desk in storm.desks for run in desk.runs]
        (run,) = [run for run in runs if run.request_id == "long"]
        self.assertEqual((run.body, run.path), (body, "/post/7?a=b"))
        self.assertEqual(run.organisation, "bench")

    # Guards against: the other router applies a limit of its own to what the first one
    # has accepted.
    def test_head_within_a_raised_limit_is_sent_by_way_of_another_router(self):
        storm = make_storm()
        configuration = make_configuration(8)
        configuration["limits"]["max-header-bytes"] = 200_000
        storm.store.put("op/config", configuration)
        for desk in storm.desks:
            desk.factory.limits = lambda: CallerLimits(header_bytes=200_000)
        cut_and_settle(storm)
        data = request_bytes("/post/1", "long", "POST", X_Note="n" * 100_000)
        self.assertEqual(storm.send_request(data, 0).status, 200)

    def test_body_is_sent_on_while_another_router_has_an_older_limit(self):
        storm = make_storm()
        cut_and_settle(storm)
        storm.cut_store(1, PathFault.SILENT)
        storm.sockets[storm.routers[1]._settings.peer.listen].is_cut = True
        configuration = make_configuration(8)
        configuration["limits"]["max-body-bytes"] = 400_000
        storm.store.put("op/config", configuration)
        storm.run(0.3)
        body = b"x" * 200_000
        clients = [
            storm.connect(0).send(request_bytes("/post/1", f"l{n}", "POST", body))
            for n in range(4)
        ]
        storm.run(1)
        revisions = [r.board.configuration.value.revision for r in storm.routers]
        self.assertEqual(revisions, [8, 7, 8])
        self.assertEqual([client.status for client in clients], [200] * 4)

    # Guards against: a caller pretends to be a router.
    def test_request_without_a_genuine_envelope_runs_nothing(self):
        storm = make_storm()
        for headers in (
            {},
            {"Sesamearch_Proxy": "AAAA"},
            {"Sesamearch_Proxy": "A" * 4000, "Sesamearch_Proxy_Number": "1"},
            {"Sesamearch_Proxy": "\xff"},
        ):
            data = request_bytes("/post/1", "forged", "POST", b"", **headers)
            client = storm.connect(1, PROXY_PORT).send(data)
            storm.run(1)
            self.assertEqual(client.status, 403)
        runs = [run.request_id for desk in storm.desks for run in desk.runs]
        self.assertNotIn("forged", runs)

    def test_callers_port_takes_no_envelope(self):
        storm = make_storm()
        data = request_bytes("/look/1", "r1", Sesamearch_Proxy="AAAA")
        self.assertEqual(storm.send_request(data, 1).status, 200)
        self.assertEqual(storm.routers[1].counters.proxied_for_peers, 0)

    # Guards against: a request goes round among routers that are all cut off.
    def test_nobody_reaches_the_service(self):
        storm = make_storm()
        storm.cut_off([0, 1, 2], (PathFault.RESET,))
        for number in (0, 1, 2) * 4:
            storm.send("safe", number)
            storm.run(0.1)
        storm.run(3)
        before = sum(proxied_by(storm, number) for number in (0, 1, 2))
        clients = []
        for number in (0, 1, 2) * 4:
            clients.append(storm.send("safe", number))
            storm.run(0.05)
            self.assertEqual(clients[-1].status, 503)
            self.assertIn(b"Retry-After", clients[-1].received)
        after = sum(proxied_by(storm, number) for number in (0, 1, 2))
        self.assertEqual(after, before)
        storm.mend_all()
        storm.run(1)
        served = [
            storm.send_request(request_bytes("/look/1", f"s{n}"), n % 3)
            for n in range(6)
        ]
        self.assertEqual([client.status for client in served[3:]], [200] * 3)

    def test_path_is_its_own_again_within_a_second(self):
        storm = make_storm()
        cut_and_settle(storm)
        storm.mend_all()
        storm.run(1)
        before = proxied_by(storm)
        client = storm.send_request(request_bytes("/look/1", "own"), 0)
        self.assertEqual((client.status, proxied_by(storm)), (200, before))

    # Guards against: what a router without a path concludes counts against endpoints.
    def test_others_go_on_trusting_the_endpoints(self):
        for fault in PathFault:
            storm = make_storm(6, 4, 4)
            storm.cut_off([0, 3], (fault,))
            storm.send_for(2)
            suspected = {
                name
                for number in (1, 2, 4, 5)
                for name in storm.routers[number]._health.unreachable_names()
            }
            self.assertLessEqual(len(suspected), 1, fault)

    def test_request_counts_once_for_the_retry_budget(self):
        storm = make_storm()
        cut_and_settle(storm)
        services = [router._budgets for router in storm.routers]
        before = [each.use().get("desk") for each in services]
        for number in range(5):
            storm.send_request(request_bytes("/look/1", f"b{number}"), 0, 0.2)
        after = [each.use().get("desk") for each in services]
        grown = [
            (new.requests if new else 0) - (old.requests if old else 0)
            for old, new in zip(before, after, strict=True)
        ]
        self.assertEqual(grown, [5, 0, 0])

    def test_router_with_an_older_configuration_is_not_asked_twice(self):
        storm = make_storm()
        storm.cut_store(1, PathFault.RESET)
        storm.sockets["10.0.0.2:8748"].is_cut = True
        storm.store.put("op/config", make_configuration(9))
        storm.run(1)
        storm.cut_off([0], (PathFault.RESET,))
        for _ in range(12):
            storm.send("safe", 0)
            storm.run(0.15)
        self.assertEqual([c.status for c in storm.clients[4:]], [200] * 8)
        self.assertEqual(storm.routers[1].counters.proxied_for_peers, 0)


class TestGenerations(unittest.TestCase):
    def start(self, storm, request_id="g1", number=0, tokens=800):
        client = storm.connect(number).send(draft_bytes(request_id, tokens))
        client.times_s = []
        client.on_data = lambda c: c.times_s.append(storm.network.seconds())
        return client

    def longest_pause_s(self, client):
        times = client.times_s
        return max(b - a for a, b in zip(times, times[1:], strict=False))

    def check_whole(self, client, events=60):
        self.assertEqual(client.event_ids, list(range(events)))
        self.assertTrue(client.is_complete)

    # Guards against: generations that run when the path is lost are cut off.
    def test_running_generation_goes_on(self):
        for fault, is_bound in (
            (PathFault.RESET, True),
            (PathFault.SILENT, False),
            (PathFault.NEW_REFUSED, True),
        ):
            storm = make_storm()
            for engine in storm.engines:
                engine.events = 60
            client = self.start(storm)
            storm.run(0.8)
            self.assertTrue(client.event_ids)
            storm.cut_off([0], (fault,))
            storm.run(6)
            self.check_whole(client)
            limit_s = MAX_PAUSE_S if is_bound else 2 * MAX_PAUSE_S
            self.assertLessEqual(self.longest_pause_s(client), limit_s, fault)

    # Guards against: an answer is lost with the router by way of which it comes.
    def test_router_that_serves_it_dies(self):
        storm = make_storm(4)
        for engine in storm.engines:
            engine.events = 60
        cut_and_settle(storm)
        client = self.start(storm)
        storm.run(0.8)
        self.assertTrue(client.event_ids)
        (helper,) = [
            n
            for n, each in enumerate(storm.routers)
            if each.dispatcher.in_flight and n != 0
        ]
        host = f"10.0.0.{helper + 1}"
        storm.network.close(f"{host}:{PROXY_PORT}")
        storm.network.reset(f"{host}:{PROXY_PORT}")
        storm.run(6)
        self.check_whole(client)
        runs = [run for engine in storm.engines for run in engine.runs]
        mine = [run for run in runs if run.request_id == "g1"]
        self.assertEqual([run.ended for run in mine], ["left", "whole"])

    def test_caller_that_leaves_ends_it(self):
        storm = make_storm()
        for engine in storm.engines:
            engine.events = 600
        cut_and_settle(storm)
        client = self.start(storm)
        storm.run(0.8)
        client.transport.abortConnection()
        storm.run(0.5)
        runs = [run for engine in storm.engines for run in engine.runs]
        self.assertEqual([r.ended for r in runs if r.request_id == "g1"], ["left"])

    def test_call_whose_router_dies_does_not_run_twice(self):
        storm = make_storm()
        cut_and_settle(storm)
        for desk in storm.desks:
            desk.work_s = 0.5
        client = storm.connect(0).send(request_bytes("/post/1", "once", "POST"))
        storm.run(0.2)
        for host in ("10.0.0.2", "10.0.0.3"):
            storm.network.reset(f"{host}:{PROXY_PORT}")
        storm.run(2)
        self.assertEqual(client.status, 502)
        runs = [run.request_id for desk in storm.desks for run in desk.runs]
        self.assertEqual(runs.count("once"), 1)
