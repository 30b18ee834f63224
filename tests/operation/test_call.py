"""Idempotent calls: retries at other endpoints within a deadline and a budget."""

import unittest

from result import Err, Ok
from twisted.internet.task import Clock

from sesamearch.base.errors import ErrorKind, Ran
from sesamearch.configuration.blackboard import Blackboard, Endpoint
from sesamearch.operation.call import RETRY_BURST, CallRunner, CallTools, RetryBudget
from sesamearch.operation.plain import CallFailure, PlainReply, PlainRequest
from sesamearch.routing.placement import Placement
from tests.callers.test_gateway import RecordingPlainClient
from tests.generation.recorded import RecordedOutcomes
from tests.support import TICKETING

REQUEST = PlainRequest("GET", "/tickets/5", [], b"", "GET /*")


class CallRunnerTest(unittest.TestCase):
    def setUp(self):
        self.clock = Clock()
        board = Blackboard()
        placement = Placement(board, "a", self.clock)
        names = ("s1", "s2", "s3", "s4")
        board.endpoints.write(
            {name: Endpoint(name, name, "a", "ticketing", "v1") for name in names}
        )
        self.client, self.outcomes = RecordingPlainClient(), RecordedOutcomes()
        self.runner = CallRunner(
            CallTools(self.client, placement, self.clock, self.outcomes)
        )

    def run_call(self, deadline_s=10.0):
        results = []
        ran = self.runner.run(TICKETING, "v1", REQUEST, deadline_s)
        ran.addCallback(results.append)
        return results

    def answer(self, outcome):
        self.client.calls[-1][2].callback(outcome)

    def test_lost_call_is_retried_at_another_endpoint(self):
        results = self.run_call()
        self.answer(Err(CallFailure.LOST))
        self.answer(Ok(PlainReply(200, [], b"ticket")))
        self.assertEqual(results[0].unwrap().body, b"ticket")
        self.assertEqual(len({name for name, _, _ in self.client.calls}), 2)
        self.assertEqual([o.is_error for o in self.outcomes], [True, False])

    def test_tries_are_limited_and_the_outcome_is_unknown(self):
        results = self.run_call()
        for _ in range(3):
            self.answer(Err(CallFailure.LOST))
        problem = results[0].unwrap_err()
        self.assertIs(problem.kind, ErrorKind.ENDPOINT_LOST)
        self.assertIs(problem.answer.ran, Ran.UNKNOWN)
        self.assertIsNotNone(problem.retry_delay_s)

    def test_call_that_was_not_sent_has_not_run(self):
        results = self.run_call()
        for _ in range(3):
            self.answer(Err(CallFailure.NOT_SENT))
        self.assertIs(results[0].unwrap_err().answer.ran, Ran.NOT_RUN)

    def test_call_is_not_retried_after_its_deadline(self):
        results = self.run_call(deadline_s=1.0)
        self.clock.advance(1.0)
        self.answer(Err(CallFailure.LOST))
        self.assertEqual(len(self.client.calls), 1)
        self.assertTrue(results[0].is_err())

    def test_retries_stop_when_the_budget_is_used_up(self):
        for _ in range(40):
            results = self.run_call()
            while not results:
                self.answer(Err(CallFailure.LOST))
        retries = len(self.client.calls) - 40
        self.assertLessEqual(retries, RETRY_BURST + 40 * 0.1 + 1)


class RetryBudgetTest(unittest.TestCase):
    def test_retries_are_a_fraction_of_first_tries(self):
        budget = RetryBudget(ratio=0.5, burst=1)
        self.assertTrue(budget.spend())
        self.assertFalse(budget.spend())
        budget.earn()
        budget.earn()
        self.assertTrue(budget.spend())
