"""A request that comes again and ends each endpoint that runs it."""

import unittest

from tests.platform.request_storm import RequestKind, RequestStorm

MAX_LATE_ARRIVALS = 3


class FatalRequestTestCase(unittest.TestCase):
    def assert_few_arrivals(self, storm):
        self.assertTrue(all(len(ends) >= 3 for ends in storm.ends_of.values()))
        self.assertLessEqual(storm.most_late_arrivals(), MAX_LATE_ARRIVALS)

    def assert_served(self, requests):
        whole = sum(each.is_whole for each in requests)
        self.assertGreater(len(requests), 20)
        self.assertGreaterEqual(whole, 0.98 * len(requests))


class TestFatalRequest(FatalRequestTestCase):
    # Guards against a request that is sent on by every router, though endpoints have
    # ended under the same request at others (incident BUDGET of plain requests).
    def test_safe_request_reaches_few_endpoints_after_the_third_end(self):
        for seed in (1, 2):
            with self.subTest(seed=seed):
                storm = RequestStorm(RequestKind.SAFE, seed=seed).play()
                self.assert_few_arrivals(storm)
                self.assert_served(storm.sound_after())

    # Guards against the same for a request that is never retried by a router.
    def test_unsafe_request_reaches_few_endpoints_after_the_third_end(self):
        storm = RequestStorm(RequestKind.UNSAFE).play()
        self.assert_few_arrivals(storm)
        self.assert_served(storm.sound_after())

    # Guards against the same for a prompt whose shared parts are all sound.
    def test_generation_reaches_few_engines_after_the_third_end(self):
        storm = RequestStorm(RequestKind.GENERATION, 9, 12, rate_per_s=8.0).play()
        self.assert_few_arrivals(storm)
        self.assertLessEqual(storm.most_ended_by_one(), 3)
        self.assert_served(storm.sound_after())

    # Guards against two fatal requests of which one hides the other.
    def test_two_fatal_requests_are_both_found(self):
        storm = RequestStorm(RequestKind.SAFE, endpoints=20, fatal=2).play()
        self.assert_few_arrivals(storm)
        self.assert_served(storm.sound_after())

    # Guards against evidence that does not reach all of many routers.
    def test_request_reaches_few_endpoints_of_many_routers(self):
        storm = RequestStorm(RequestKind.SAFE, 40, 20, rate_per_s=40.0).play()
        self.assert_few_arrivals(storm)
        self.assert_served(storm.sound_after())

    # Guards against a service of three endpoints that all end within a moment, twice.
    def test_few_endpoints_that_end_together_are_counted_one_by_one(self):
        storm = RequestStorm(RequestKind.SAFE, 9, 3, rate_per_s=10.0).play()
        self.assert_few_arrivals(storm)
        self.assert_served(storm.sound_after())


class TestKnowledge(FatalRequestTestCase):
    routers = 9

    def setUp(self):
        self.storm = RequestStorm(RequestKind.SAFE, self.routers)
        self.storm.send_mixed(1, fatal_ratio=0.0)
        self.body = self.storm.fatal_bodies[0]
        for _ in range(8):
            self.storm.send(self.body)
            self.storm.run(0.5)
        counts = [router._quarantine.active_count for router in self.storm.routers]
        self.assertEqual(counts, [1] * self.routers)

    def send(self, wait_s=0.5, **options):
        sent = self.storm.send(self.body, **options)
        self.storm.run(wait_s)
        return sent.client

    # Guards against routers that restart and each send the request once more.
    def test_restarted_routers_refuse_soon_after_their_start(self):
        before = len(self.storm.arrivals(self.body))
        restarted = range(3, self.routers)
        for number in restarted:
            self.storm.stop_router(self.storm.routers[number])
            self.storm.routers[number] = self.storm.add_router(number)
        self.storm.run(0.4)
        for number in restarted:
            self.send(0.05, router=number)
        self.assertEqual(len(self.storm.arrivals(self.body)), before)

    # Guards against an untrue answer, and against callers that come back in a loop.
    def test_caller_is_told_at_once_that_nothing_ran_and_when_to_come_back(self):
        before = len(self.storm.arrivals(self.body))
        client = self.send(0.05)
        self.assertEqual(client.status, 503)
        self.assertIn(b'"ran":"not_run"', client.received)
        self.assertIn(b"endpoints end under this request: request-", client.received)
        self.assertRegex(client.received, rb"Retry-After: [0-9.]+\r\n")
        self.assertEqual(len(self.storm.arrivals(self.body)), before)

    # Guards against "not run" for a request that an endpoint had.
    def test_no_request_that_reached_an_endpoint_is_said_not_to_have_run(self):
        had = {run.request_id for w in self.storm.workers_ever for run in w.runs}
        for number, sent in enumerate(self.storm.sent):
            if sent.client.status == 503:
                self.assertNotIn(f"q{number}", had)

    # Guards against a refusal of what is only alike.
    def test_other_requests_of_the_same_path_are_served(self):
        for body in (self.body + b" ", self.body[:-1], b"sound"):
            sent = self.storm.send(body)
            self.storm.run(0.5)
            self.assertTrue(sent.is_whole)

    # Guards against a request that is refused for ever, though it harms no longer.
    def test_request_that_is_fatal_no_longer_is_served_after_one_trial(self):
        self.storm.run(10)
        self.storm.make_harmless()
        self.storm.run(60)
        for _ in range(4):
            client = self.send(4, router=1)
        self.assertEqual(client.status, 200)
        self.assertFalse(any(r._quarantine.active_count for r in self.storm.routers))

    # Guards against a trial of each router, which ends an endpoint each.
    def test_trial_of_a_request_that_is_still_fatal_reaches_one_endpoint(self):
        before = len(self.storm.arrivals(self.body))
        self.storm.run(65)
        for number in range(2 * self.routers):
            self.send(0.3, router=number % self.routers)
        self.assertEqual(len(self.storm.arrivals(self.body)) - before, 1)


class TestOtherCauses(FatalRequestTestCase):
    def play(self, losses, **options):
        storm = RequestStorm(RequestKind.SAFE, endpoints=12, **options)
        storm.lose_at_random(14, losses / 14)
        storm.send_mixed(14)
        storm.run(2)
        return storm

    # Guards against a sound request that is refused, as it is under way at every end.
    def test_popular_request_is_served_beside_ends_without_a_cause(self):
        storm = self.play(30, popular_ratio=0.5, fatal=0)
        self.assert_served(storm.sent)
        self.assertFalse(any(r._quarantine.entries for r in storm.routers))

    # Guards against the same beside a request that does end endpoints.
    def test_popular_request_is_served_beside_a_fatal_one_and_other_ends(self):
        storm = self.play(20, popular_ratio=0.5)
        self.assert_few_arrivals(storm)
        self.assert_served(storm.sound_after())
        refused = [e for r in storm.routers for e in r._quarantine.entries]
        self.assertEqual(len({each.key for each in refused}), 1)


class TestSickEndpoints(FatalRequestTestCase):
    # Guards against a sound request that is refused, as sick endpoints reset it, though
    # they answer others meanwhile and have not ended.
    def test_request_that_sick_endpoints_reset_is_served_once_they_are_well(self):
        storm = RequestStorm(RequestKind.SAFE, routers=3, endpoints=3, fatal=0)
        storm.send_mixed(1)
        for _ in range(6):
            for desk in storm.desks:
                desk.fault = "reset"
            storm.send(b"again")
            storm.run(0.15)
            for desk in storm.desks:
                desk.fault = ""
            storm.send_mixed(1)
        self.assertEqual(len(storm.ended_s), 0)
        again = storm.send(b"again")
        storm.run(1)
        self.assertTrue(again.is_whole)
