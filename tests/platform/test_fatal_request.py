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
