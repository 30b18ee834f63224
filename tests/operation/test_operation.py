"""Operations whose claim or outcome comes late."""

import unittest

from result import Ok
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from sesamearch.base.errors import ErrorKind, Ran
from sesamearch.configuration.blackboard import Blackboard, Endpoint
from sesamearch.operation.call import CallTools
from sesamearch.operation.claim import ClaimOutcome, ClaimState, HeldClaim
from sesamearch.operation.operation import (
    OperationRequest,
    OperationRunner,
    OperationTools,
)
from sesamearch.operation.plain import PlainReply, PlainRequest
from sesamearch.routing.placement import Placement
from tests.callers.test_gateway import RecordingPlainClient
from tests.generation.recorded import RecordedOutcomes
from tests.support import TICKETING

REQUEST = PlainRequest("POST", "/receipts", [], b"", "POST /receipts")
DEADLINE_S = 0.5


class SlowClaims:
    """Claims that the test grants."""

    unsettled = 0

    def __init__(self):
        self.claimed = []
        self.settled = []

    def claim(self, key, claim, retention_s):
        self.claimed.append((HeldClaim(key, claim, 1, 1), Deferred()))
        return self.claimed[-1][1]

    def grant(self):
        held_claim, done = self.claimed[-1]
        done.callback(ClaimOutcome(held_claim))

    def settle(self, held_claim, state, reply=None):
        self.settled.append(state)


class OperationTest(unittest.TestCase):
    def setUp(self):
        self.clock = Clock()
        board = Blackboard()
        placement = Placement(board, "a", self.clock)
        board.endpoints.write({"s1": Endpoint("s1", "s1", "a", "ticketing", "v1")})
        self.client, self.claims = RecordingPlainClient(), SlowClaims()
        calls = CallTools(self.client, placement, self.clock, RecordedOutcomes())
        tools = OperationTools(calls, self.claims, board.counters, "r1")
        self.runner = OperationRunner(tools, None)

    def run_operation(self, deadline_s=DEADLINE_S):
        results = []
        request = OperationRequest(
            TICKETING, "v1", "clerks", "k1", REQUEST, "f", deadline_s
        )
        self.runner.run(request).addCallback(results.append)
        return results

    def test_slow_claim_is_answered_at_the_deadline_of_the_caller(self):
        # Guards against a caller that hears nothing while the store is slow.
        results = self.run_operation()
        self.clock.advance(DEADLINE_S)
        problem = results[0].unwrap_err()
        self.assertIs(problem.kind, ErrorKind.TIMED_OUT)
        # The key may have run before, and the store did not say.
        self.assertIs(problem.answer.ran, Ran.UNKNOWN)
        self.assertEqual(problem.ask_again, "/operations/ticketing")

    def test_claim_after_the_deadline_is_released_and_nothing_is_sent(self):
        # Guards against an operation that runs after its caller was answered, and
        # against a claim that nobody releases.
        results = self.run_operation()
        self.clock.advance(DEADLINE_S)
        self.claims.grant()
        self.assertEqual(self.client.calls, [])
        self.assertEqual(self.claims.settled, [ClaimState.NOT_RUN])
        self.assertEqual(len(results), 1)

    def test_claim_in_time_leaves_no_timer(self):
        # Guards against an answer at the deadline besides the one of the call.
        results = self.run_operation()
        self.claims.grant()
        self.client.calls[0][2].callback(Ok(PlainReply(200, [], b"done")))
        self.clock.advance(DEADLINE_S)
        self.assertEqual(results[0].unwrap().body, b"done")
        self.assertEqual(self.clock.getDelayedCalls(), [])

    def test_caller_that_joins_is_answered_at_its_own_deadline(self):
        # Guards against a caller that waits for the deadline of another one.
        first = self.run_operation(deadline_s=10.0)
        self.claims.grant()
        second = self.run_operation()
        self.clock.advance(DEADLINE_S)
        self.assertIs(second[0].unwrap_err().kind, ErrorKind.OPERATION_RUNNING)
        self.client.calls[0][2].callback(Ok(PlainReply(200, [], b"done")))
        self.assertEqual(first[0].unwrap().body, b"done")
        self.assertEqual(len(second), 1)
