"""Endpoints that name a limit get no more than that from all routers together."""

import random
import re
import unittest

from tests.platform.limit_storm import LimitStorm
from tests.platform.world import KEY, ROUTES, make_configuration


def retry_after_s(client):
    """Return the ``Retry-After`` that a caller got."""
    return float(re.search(rb"Retry-After: ([\d.]+)", client.received).group(1))


class _LimitTest(unittest.TestCase):
    def make(self, *limits, routers=9, at_s=4.0, **fields):
        """Make a deployment whose plain endpoints name these limits."""
        self.storm = LimitStorm(routers, len(limits), **fields)
        for desk, limit_per_s in zip(self.storm.desks, limits, strict=True):
            if limit_per_s is not None:
                self.storm.name_limit(desk, at_s, limit_per_s)
        return self.storm

    def assert_limits_hold(self, *workers):
        for worker in workers or self.storm.desks:
            if worker.name in self.storm.named:
                self.assertLessEqual(self.storm.excess(worker), 0, worker.name)
        self.assertEqual(self.total("sends_without_permit"), 0)

    def total(self, counter):
        routers = [each for each in self.storm.routers if each is not None]
        return sum(getattr(each.counters, counter) for each in routers)

    def used(self, worker, from_s, until_s):
        """Return how many requests reached a worker in a period."""
        return sum(from_s <= t < until_s for t in self.storm.arrivals(worker))


class TestAllRouters(_LimitTest):
    # Guards against routers that each send what one of them may send, or that do not
    # read the limit at all, while another endpoint could serve every request.
    def test_limits_hold_for_the_requests_of_nine_routers(self):
        storm = self.make(1.3, 2.2, None, at_s=8.0)
        storm.send_for(24.0, rate=20.0)
        storm.run(1.0)
        self.assert_limits_hold(*storm.desks[:2])
        self.assertEqual(storm.statuses, {200: len(storm.clients)})

    def test_limits_hold_where_most_requests_come_at_one_router(self):
        storm = self.make(1.3, 2.2, None)
        storm.send_for(16.0, rate=20.0, router=4)
        storm.run(1.0)
        self.assert_limits_hold()
        self.assertEqual(storm.statuses, {200: len(storm.clients)})

    def test_limits_below_one_and_of_zero_hold(self):
        storm = self.make(0.3, 0, None)
        storm.send_for(20.0, rate=6.0)
        storm.run(1.0)
        self.assert_limits_hold()
        self.assertEqual(storm.statuses, {200: len(storm.clients)})

    def test_limits_hold_at_forty_routers(self):
        storm = self.make(1.5, 1.5, 4.0, None, routers=40)
        storm.send_for(12.0, rate=30.0)
        storm.run(1.0)
        self.assert_limits_hold()
        self.assertEqual(storm.statuses, {200: len(storm.clients)})

    # Guards against routers that follow what they heard first.
    def test_limits_that_fall_rise_and_end_are_followed(self):
        storm = self.make(8.0, 8.0, 8.0)
        for desk in storm.desks:
            storm.name_limit(desk, 10.0, 2.0)
            storm.name_limit(desk, 16.0, 6.0)
            storm.name_limit(desk, 24.0, None)
        storm.send_for(30.0, rate=20.0)
        self.assert_limits_hold()
        rates = [
            sum(self.used(desk, begin_s, begin_s + 4) for desk in storm.desks) / 4
            for begin_s in (11.0, 19.0, 26.0)
        ]
        self.assertAlmostEqual(rates[0], 6.0, delta=1.0)
        self.assertAlmostEqual(rates[1], 18.0, delta=2.0)
        self.assertGreater(rates[2], 16.0)

    # Guards against an endpoint that is left out for good because nobody asks it.
    def test_end_of_a_limit_is_noticed_while_others_serve_all(self):
        storm = self.make(0.3, None)
        storm.name_limit(storm.desks[0], 10.0, None)
        storm.send_for(36.0, rate=20.0)
        self.assertGreater(self.used(storm.desks[0], 26.0, 36.0), 50)


class TestAllLimited(_LimitTest):
    # Guards against callers that wait for a permit until their deadline, and against
    # limits that are left unused while callers are refused.
    def test_limits_are_used_up_and_the_rest_is_refused_at_once(self):
        storm = self.make(2, 4, 8)
        storm.send_for(20.0, rate=20.0)
        storm.run(2.0)
        self.assert_limits_hold()
        for desk, limit_per_s in zip(storm.desks, (2, 4, 8), strict=True):
            share = self.used(desk, 8.0, 20.0) / (12 * limit_per_s)
            self.assertGreater(share, 0.85)
            self.assertLess(share, 1.1)
        self.assertEqual(set(storm.statuses), {200, 429})
        late = [c for c in storm.clients if c.took_s > 0.75]
        self.assertEqual(late, [])

    def test_refused_callers_are_told_different_times(self):
        storm = self.make(0.5, routers=3)
        storm.send_for(14.0, rate=10.0)
        refused = [c for c in storm.clients if c.status == 429 and c.sent_s > 8]
        advice_s = [round(c.sent_s + retry_after_s(c), 1) for c in refused]
        self.assertGreater(len(set(advice_s)), len(advice_s) // 4)
        self.assertGreater(min(map(retry_after_s, refused)), 0.04)

    def test_request_waits_for_a_permit_that_comes_in_time(self):
        storm = self.make(4.0, routers=3)
        storm.send_for(6.0, rate=3.0)
        storm.run(3.0)
        clients = [storm.send(router=n % 3, path="/post/1") for n in range(4)]
        storm.run(1.0)
        self.assertEqual([each.status for each in clients], [200] * 4)
        self.assert_limits_hold()

    def test_no_priority_is_left_out(self):
        storm = self.make(4.0, routers=3)
        routes = [{**ROUTES[0], "priority": 7}, {**ROUTES[1], "priority": 0}]
        tenants = [{"name": "bench", "api-keys": [KEY]}]
        storm.store.put("op/config", make_configuration(8, routes, tenants=tenants))
        storm.run(0.5)
        storm.send_for(24.0, rate=20.0)
        served = [c.path for c in storm.clients if c.status == 200 and c.sent_s > 6]
        self.assertGreater(served.count("/look/1"), 2 * served.count("/post/1"))
        self.assertGreater(served.count("/post/1"), 5)


class TestFaults(_LimitTest):
    """Limiters that are killed, cut off or restarted together."""

    def kill(self, number, restart_s=1.0):
        storm = self.storm
        if storm.routers[number] is not None:
            storm.stop_router(storm.routers[number])
            storm.routers[number] = None
            storm.network.callLater(restart_s, self._start, number)

    def _start(self, number):
        self.storm.routers[number] = self.storm.add_router(number)

    def cut_off(self, number, for_s=6.0):
        sockets = self.storm.sockets.get(f"10.0.0.{number + 1}:8748")
        if sockets is not None:
            sockets.is_cut = True
            self.storm.network.callLater(for_s, setattr, sockets, "is_cut", False)

    def schedule(self, fault, count, seed):
        rng = random.Random(seed)
        for _ in range(count):
            at_s, number = rng.uniform(5.0, 22.0), rng.randrange(9)
            self.storm.network.callLater(at_s, fault, number)

    # Guards against two limiters that each grant the whole limit, and against
    # requests that nobody grants a permit after a limiter has ended.
    def test_limits_hold_while_limiters_are_killed(self):
        storm = self.make(2, 4, 8, seed=2)
        self.schedule(self.kill, 8, seed=2)
        storm.send_for(24.0, rate=20.0)
        self.assert_limits_hold()
        used = sum(self.used(desk, 8.0, 24.0) for desk in storm.desks)
        self.assertGreater(used / (16 * 14), 0.8)

    def test_limits_hold_while_routers_are_cut_off_from_each_other(self):
        storm = self.make(2, 4, 8, seed=3)
        self.schedule(self.cut_off, 6, seed=3)
        storm.send_for(24.0, rate=20.0)
        self.assert_limits_hold()
        used = sum(self.used(desk, 8.0, 24.0) for desk in storm.desks)
        self.assertGreater(used / (16 * 14), 0.8)

    # Guards against routers that each grant a limit alone until they know each other.
    def test_limits_hold_when_all_routers_restart_at_once(self):
        storm = self.make(2, 4, 8)
        for number in range(9):
            storm.network.callLater(12.0, self.kill, number)
        storm.send_for(24.0, rate=20.0)
        self.assert_limits_hold()
        used = sum(self.used(desk, 16.0, 24.0) for desk in storm.desks)
        self.assertGreater(used / (8 * 14), 0.8)


class TestChoice(_LimitTest):
    """What else decides where a request goes holds beside the limits."""

    def test_limited_endpoint_serves_while_the_other_one_is_down(self):
        storm = self.make(4.0, None, routers=3)
        storm.send_for(6.0, rate=10.0)
        storm.network.close(storm.desks[1].address)
        storm.send_for(10.0, rate=10.0)
        self.assert_limits_hold()
        self.assertGreater(self.used(storm.desks[0], 8.0, 16.0), 25)
        self.assertNotIn(504, storm.statuses)

    def test_endpoint_without_a_limit_is_not_run_over(self):
        storm = self.make(8.0, None, routers=3)
        storm.send_for(5.0, rate=10.0)
        for desk in storm.desks:
            desk.work_s = 0.25
        storm.send_for(10.0, rate=26.0)
        self.assert_limits_hold()
        self.assertGreater(self.used(storm.desks[0], 6.0, 15.0), 20)

    # Guards against a hedge that goes to a limited endpoint beside its limit.
    def test_hedges_and_retries_keep_the_limit(self):
        storm = self.make(1.0, None, routers=3)
        storm.send_for(6.0, rate=10.0)
        storm.desks[1].fault = "mute"
        storm.send_for(10.0, rate=10.0, path="/look/1")
        self.assert_limits_hold()

    # Guards against a limit of the old version that sends its requests to a new one
    # that is on trial.
    def test_limited_old_version_does_not_expose_the_new_one(self):
        storm = self.storm = LimitStorm(routers=3, desks=3)
        for number in (3, 4):
            storm.desks.append(storm.add_desk(number, version="v2"))
        for desk in storm.desks[:3]:
            storm.name_limit(desk, 2.0, 1.0)
        storm.send_for(4.0, rate=20.0)
        order = {"service": "desk", "target": "v2", "duration-s": 12}
        storm.store.put("op/rollout/desk", order)
        for desk in storm.desks[3:]:
            desk.status = 500
        storm.run(0.3)
        begin_s = storm.now_s
        storm.send_for(12.0, rate=20.0)
        reached = sum(self.used(d, begin_s, begin_s + 12) for d in storm.desks[3:])
        self.assertLess(reached, 0.1 * 240 + 50)
        self.assert_limits_hold()


class TestGenerations(_LimitTest):
    def make_engines(self, *limits, routers=3, **fields):
        self.storm = LimitStorm(routers, 0, len(limits), **fields)
        for engine, limit_per_s in zip(self.storm.engines, limits, strict=True):
            if limit_per_s is not None:
                self.storm.name_limit(engine, 2.0, limit_per_s)
        return self.storm

    def assert_all_whole(self, clients):
        for client in clients:
            self.assertEqual((client.status, client.is_complete), (200, True))

    def test_limits_hold_while_another_engine_has_room(self):
        storm = self.make_engines(0.5, 0.5, None)
        storm.send_for(16.0, rate=4.0, path="/draft/1")
        storm.run(4.0)
        self.assert_limits_hold(*storm.engines)
        self.assert_all_whole(storm.clients)

    def test_generations_wait_for_a_permit(self):
        storm = self.make_engines(1.0, 1.0, 1.0)
        storm.send_for(4.0, rate=1.0, path="/draft/1")
        clients = [storm.send(path="/draft/1") for _ in range(6)]
        storm.run(8.0)
        self.assert_limits_hold(*storm.engines)
        self.assert_all_whole(clients)

    # Guards against a generation that is cut because others take all permits.
    def test_broken_generation_goes_before_new_ones(self):
        storm = self.make_engines(2.0, 2.0, 2.0)
        for engine in storm.engines:
            engine.events = 200
        storm.send_for(5.0, rate=2.0, path="/draft/1")
        running = [c for c in storm.clients if c.status == 200]
        storm.crash(storm.engines[0])
        storm.send_for(6.0, rate=20.0, path="/draft/1")
        storm.run(12.0)
        self.assert_limits_hold(*storm.engines)
        self.assert_all_whole(running)

    # Guards against probes of a silent engine beside its limit.
    def test_probes_of_a_silent_engine_keep_its_limit(self):
        storm = self.make_engines(0.5, None, None)
        for engine in storm.engines:
            engine.prefill_tokens_per_s = 200.0
        storm.send_for(5.0, rate=3.0, path="/draft/1")
        storm.make_unresponsive(storm.engines[0])
        storm.run(10.0)
        self.assert_limits_hold(storm.engines[0])
