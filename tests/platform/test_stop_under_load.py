"""Planned stops under load: callers keep sending until the process is gone."""

import unittest

from tests.platform.world import (
    ROUTES,
    World,
    draft_bytes,
    make_configuration,
    request_bytes,
)

GRACE_S = 8.0
CALL_INTERVAL_S = 0.05
LOOK = request_bytes("/look/1")


class TestStopUnderLoad(unittest.TestCase):
    def setUp(self):
        self.world = World(desks=2)
        self.router = self.world.routers[0]
        self.stopped_s = []
        self.world.network.stop = lambda: self.stopped_s.append(
            self.world.network.seconds()
        )

    def start_long_generation(self):
        for engine in self.world.engines:
            engine.events = 1000
        client = self.world.connect().send(draft_bytes())
        self.world.run(0.5)
        return client

    def send_calls(self, seconds, path="/look/1", method="GET"):
        """Send calls on new connections; return the clients that connected."""
        clients = []
        for number in range(round(seconds / CALL_INTERVAL_S)):
            if self.stopped_s:
                break
            client = self.world.connect()
            if client.transport is not None:
                data = request_bytes(path, f"{path}-{number}", method=method)
                clients.append(client.send(data))
            self.world.run(CALL_INTERVAL_S - 0.01)
        return clients

    def test_router_that_still_gets_calls_stops_within_the_grace(self):
        self.start_long_generation()
        started_s = self.world.network.seconds()
        self.router.shut_down()
        clients = self.send_calls(GRACE_S)
        self.world.run(1)
        self.assertEqual(len(self.stopped_s), 1)
        self.assertLess(self.stopped_s[0] - started_s, GRACE_S)
        self.assertGreater(len(clients), 100)
        self.assertEqual({client.status for client in clients}, {200, 503})

    def test_call_that_could_outlast_the_grace_is_refused_and_not_run(self):
        self.start_long_generation()
        for desk in self.world.desks:
            desk.fault = "mute"
        self.router.shut_down()
        self.world.run(6)
        clients = self.send_calls(GRACE_S - 6, "/post/1", "POST")
        self.world.run(1)
        answered = {client.status for client in clients}
        self.assertEqual(answered, {503, 504})
        runs = sum(len(desk.runs) for desk in self.world.desks)
        self.assertEqual(runs, sum(client.status == 504 for client in clients))

    # Guards against: calls that outlast the grace end with the process, unanswered.
    def test_call_that_outlasts_the_grace_is_answered_before_its_end(self):
        routes = [{**route, "timeout-ms": 20_000} for route in ROUTES]
        self.world.store.put("op/config", make_configuration(8, routes))
        self.world.run(0.5)
        clients = []
        for path, method in (("/post/1", "POST"), ("/look/1", "GET")):
            for is_kept in (False, True):
                client = self.world.connect()
                if is_kept:
                    client.send(request_bytes(path, f"{path}-kept", method))
                    self.world.run(0.2)
                clients.append(client)
        for desk in self.world.desks:
            desk.work_s = 100.0
        for number, client in enumerate(clients):
            path, method = (("/post/1", "POST"), ("/look/1", "GET"))[number // 2]
            data = request_bytes(path, f"r{number}", method, X_Deadline_Ms="30000")
            client.send(data)
        self.world.run(0.1)
        started_s = self.world.network.seconds()
        self.router.shut_down()
        self.world.run(GRACE_S)
        self.assertEqual([client.statuses[-1] for client in clients], [504] * 4)
        self.assertEqual(len(self.stopped_s), 1)
        self.assertLess(self.stopped_s[0] - started_s, GRACE_S)

    # Guards against: a request whose body ends late in the grace is passed on and cut.
    def test_request_whose_body_ends_late_in_the_grace_is_refused_unsent(self):
        for desk in self.world.desks:
            desk.work_s = 3.0
        data = request_bytes(
            "/post/1", method="POST", body=b"x" * 1000, X_Deadline_Ms="30000"
        )
        self.start_long_generation()
        client = self.world.connect().send(data[:-500])
        self.router.shut_down()
        self.world.run(7.0)
        client.send(data[-500:])
        self.world.run(0.2)
        self.assertEqual(client.status, 503)
        self.assertFalse(any(desk.runs for desk in self.world.desks))

    # Guards against: pipelined requests are lost with the end of the grace.
    def test_pipelined_requests_late_in_the_grace_are_each_answered(self):
        self.start_long_generation()
        self.router.shut_down()
        self.world.run(6.9)
        client = self.world.connect()
        client.send(*[request_bytes("/look/1", f"p{n}") for n in range(6)])
        self.world.run(1.0)
        self.assertEqual(len(client.statuses), 6)
        self.assertLessEqual(set(client.statuses), {200, 503})

    # Guards against: a router that is stopped takes an answer for sent whose end still
    # lies in its own buffer, and ends.
    def test_end_of_an_answer_that_is_read_slowly_is_not_lost(self):
        # The generation ends 3.7 s after its start: before and after the router begins
        # to refuse requests.
        for stop_s in (0.2, 2.0, 3.0):
            with self.subTest(stop_s=stop_s):
                self.setUp()
                for engine in self.world.engines:
                    engine.events = 100
                client = self.world.connect().send(draft_bytes())
                self.world.run(stop_s)
                self.router.shut_down()
                client.transport.peer.hold_writes()
                self.world.run(6)
                self.assertEqual(self.stopped_s, [])
                client.transport.peer.release_writes()
                self.world.run(0.5)
                self.assertTrue(client.is_complete)
                self.assertEqual(len(self.stopped_s), 1)

    def test_answer_of_a_call_that_is_read_slowly_is_not_lost(self):
        for desk in self.world.desks:
            desk.work_s = 0.7
        self.router.shut_down()
        self.world.run(2.3)
        client = self.world.connect()
        client.transport.peer.hold_writes()
        client.send(LOOK)
        self.world.run(3)
        self.assertEqual(self.stopped_s, [])
        client.transport.peer.release_writes()
        self.world.run(0.5)
        self.assertEqual(client.status, 200)
        self.assertEqual(len(self.stopped_s), 1)

    def test_second_signal_cuts_nothing(self):
        client = self.start_long_generation()
        self.router.shut_down()
        self.world.run(1)
        self.router.shut_down()
        self.world.run(3)
        self.assertFalse(client.is_closed)

    def test_generation_is_cut_at_the_end_and_never_looks_complete(self):
        client = self.start_long_generation()
        self.router.shut_down()
        self.world.run(GRACE_S)
        self.assertTrue(client.is_closed)
        self.assertFalse(client.is_complete)

    def test_request_whose_body_is_still_coming_is_answered(self):
        data = request_bytes("/post/1", method="POST", body=b"x" * 1000)
        client = self.world.connect().send(data[:-500])
        self.router.shut_down()
        self.world.run(2.7)
        client.send(data[-500:])
        self.world.run(0.5)
        self.assertEqual(client.status, 200)

    def test_request_around_the_signal_on_a_kept_connection_is_answered(self):
        for delay_s in (-0.001, 0.0, 0.0005, 0.001, 0.01):
            world = World(desks=2)
            kept = world.connect().send(LOOK)
            world.run(0.5)
            if delay_s < 0:
                kept.send(LOOK)
                world.run(-delay_s)
            world.routers[0].shut_down()
            if delay_s >= 0:
                world.run(delay_s)
                kept.send(LOOK)
            world.run(0.5)
            self.assertEqual(kept.statuses, [200, 200], delay_s)
