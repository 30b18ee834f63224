"""What a router sees of the versions of a service."""

import unittest

from twisted.internet.task import Clock

from sesamearch.configuration.blackboard import Endpoint
from sesamearch.rollout.observer import PACE_EVENTS, ServiceObserver
from sesamearch.routing.canary_evidence import Evidence, Measure, Verdict

ROUTE = "draft"
FIRST_S = 1.0
GAP_S = 0.03


def endpoint(version, name="e1"):
    return Endpoint(name, "10.0.0.1:1", "east", "models", version)


class TestServiceObserver(unittest.TestCase):
    def setUp(self):
        self.clock = Clock()
        self.failures = []
        self.observer = ServiceObserver(self.clock, self.failures.append)
        self.evidence = Evidence()

    def send(self, version, is_resumed=False, name="e1"):
        return self.observer.observe(endpoint(version, name), ROUTE, is_resumed)

    def generate(self, version, first_s=FIRST_S, gap_s=GAP_S):
        observation = self.send(version)
        self.clock.advance(first_s)
        observation.answered(is_failure=False)
        for _ in range(PACE_EVENTS + 1):
            observation.received_events(1)
            self.clock.advance(gap_s)
        observation.ended()

    def judge(self):
        self.observer.check_open(self.evidence)
        for counts in self.observer.pop_counts():
            self.evidence.add_counts(counts)
        return self.evidence.verdict

    def begin(self, generations=8):
        for _ in range(generations):
            self.generate("v1")
        self.observer.begin("v2")
        self.judge()

    def test_slow_first_events_are_found(self):
        self.begin()
        for _ in range(8):
            self.generate("v2", first_s=5 * FIRST_S)
        self.assertIs(self.judge(), Verdict.BAD)

    # Guards against judging generations by their first event alone.
    def test_slow_events_are_found(self):
        self.begin()
        for _ in range(8):
            self.generate("v2", gap_s=5 * GAP_S)
        self.assertIs(self.judge(), Verdict.BAD)

    # Guards against judging a slow version by those answers that have come.
    def test_tries_without_an_answer_are_found_slow_while_they_run(self):
        self.begin()
        for _ in range(8):
            self.send("v2")
        self.clock.advance(3 * FIRST_S)
        self.assertIs(self.judge(), Verdict.BAD)

    def test_tries_with_few_events_are_found_slow_while_they_run(self):
        self.begin()
        open_tries = [self.send("v2") for _ in range(8)]
        self.clock.advance(FIRST_S)
        for observation in open_tries:
            observation.answered(is_failure=False)
            observation.received_events(1)
        self.clock.advance(3 * GAP_S * PACE_EVENTS)
        self.assertIs(self.judge(), Verdict.BAD)

    def test_a_slow_try_is_counted_once(self):
        self.begin()
        observation = self.send("v2")
        self.clock.advance(3 * FIRST_S)
        self.judge()
        score = self.evidence.score
        self.clock.advance(3 * FIRST_S)
        observation.answered(is_failure=False)
        self.judge()
        self.assertLessEqual(self.evidence.score, score)

    def test_ended_tries_are_not_slow(self):
        self.begin()
        for _ in range(8):
            self.send("v2").ended()
        self.clock.advance(10 * FIRST_S)
        self.assertIs(self.judge(), Verdict.OPEN)

    # Guards against a rollout that ends before the old version answered often enough.
    def test_times_of_the_old_version_before_the_order_count(self):
        self.begin(generations=8)
        self.assertIsNotNone(self.evidence.limit_bucket(ROUTE, Measure.FIRST))

    def test_earlier_outcomes_of_the_new_version_do_not_count(self):
        for _ in range(20):
            self.generate("v2", first_s=5 * FIRST_S)
        self.begin()
        self.assertIs(self.judge(), Verdict.OPEN)

    # Guards against taking the crash of one engine for many failures of its version.
    def test_answers_that_one_endpoint_breaks_off_at_once_are_one_failure(self):
        self.begin()
        for observation in [self.send("v2") for _ in range(8)]:
            observation.lost()
            observation.ended()
        self.assertEqual(len(self.failures), 1)
        self.assertIs(self.judge(), Verdict.OPEN)

    def test_losses_at_several_endpoints_and_times_count_each(self):
        self.begin()
        for number in range(8):
            self.send("v2", name=f"e{number % 2}").lost()
            self.clock.advance(0.6)
        self.assertEqual(len(self.failures), 8)
        self.assertIs(self.judge(), Verdict.BAD)

    def test_time_of_a_resumed_generation_is_not_compared(self):
        self.begin()
        for _ in range(8):
            observation = self.send("v2", is_resumed=True)
            self.clock.advance(5 * FIRST_S)
            observation.answered(is_failure=False)
            observation.ended()
        self.assertIs(self.judge(), Verdict.OPEN)
