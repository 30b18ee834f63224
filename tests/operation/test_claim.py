"""Claims: at most one holder, whatever becomes of writes and their answers."""

import unittest

from twisted.internet.task import Clock

from sesamearch.configuration.blackboard import Counters
from sesamearch.operation.claim import (
    Claim,
    ClaimState,
    ClaimWriter,
    claim_key,
    new_claim_id,
)
from sesamearch.replay.process import Process
from sesamearch.replay.store import FakeStore, StoreFaults

KEY = claim_key("ticketing", "clerks", "k1")
RETENTION_S = 3600.0


def make_claim(router="r1"):
    return Claim(new_claim_id(), router, "f", ClaimState.CLAIMED, 0)


class ClaimWriterTest(unittest.TestCase):
    def setUp(self):
        self.clock = Clock()
        self.faults = StoreFaults(self.clock)
        self.counters = Counters()
        self.writer = self.make_writer("r1")
        self.other = self.make_writer("r2")

    def make_writer(self, name):
        store = FakeStore(Process(self.clock, name), self.faults, 0.004)
        return ClaimWriter(store, self.clock, self.counters)

    def claim(self, writer, key=KEY):
        outcomes = []
        writer.claim(key, make_claim(), RETENTION_S).addCallback(outcomes.append)
        return outcomes

    def settle_down(self, seconds=1.0):
        self.clock.pump([0.002] * int(seconds / 0.002))

    def stored(self):
        return Claim.from_json(self.faults.state.items[KEY].value)

    def test_one_of_two_routers_wins(self):
        mine, theirs = self.claim(self.writer), self.claim(self.other)
        self.settle_down()
        won = [outcome.hold is not None for outcome in mine + theirs]
        self.assertEqual(sorted(won), [False, True])

    def test_lost_answer_is_found_to_be_ones_own(self):
        self.claim(self.writer, claim_key("ticketing", "clerks", "k0"))
        self.settle_down()
        outcomes = self.claim(self.writer)
        self.faults.lost_answers = 1
        self.settle_down()
        self.assertIsNotNone(outcomes[0].hold)
        self.assertEqual(self.claim(self.other), [])
        self.settle_down()

    def test_outcome_is_read_by_others(self):
        outcomes = self.claim(self.writer)
        self.settle_down()
        self.writer.settle(outcomes[0].hold, ClaimState.DONE)
        self.settle_down()
        later = self.claim(self.other)
        self.settle_down()
        self.assertIs(later[0].existing.state, ClaimState.DONE)

    def test_operation_that_has_not_run_can_be_claimed_again(self):
        outcomes = self.claim(self.writer)
        self.settle_down()
        self.writer.settle(outcomes[0].hold, ClaimState.NOT_RUN)
        self.settle_down()
        again = self.claim(self.other)
        self.settle_down()
        self.assertIsNotNone(again[0].hold)

    def test_late_repetition_of_an_outcome_undoes_no_newer_claim(self):
        # The first router's "not run" takes effect, its answer is lost; another
        # claims and holds; the first router writes its outcome again.
        outcomes = self.claim(self.writer)
        self.settle_down()
        self.faults.lost_answers = 1
        self.writer.settle(outcomes[0].hold, ClaimState.NOT_RUN)
        self.clock.pump([0.002] * 10)
        newer = self.claim(self.other)
        self.settle_down(2)
        self.assertIsNotNone(newer[0].hold)
        self.assertEqual(self.stored().claim_id, newer[0].hold.claim.claim_id)
        self.assertIs(self.stored().state, ClaimState.CLAIMED)
        self.assertEqual(self.writer.unsettled, 0)

    def test_outage_is_answered_without_a_claim(self):
        self.faults.set_out(True)
        outcomes = self.claim(self.writer)
        self.settle_down(2.5)
        self.assertIsNone(outcomes[0].hold)
        self.assertIsNone(outcomes[0].existing)

    def test_known_outage_is_answered_at_once(self):
        self.faults.set_out(True)
        self.claim(self.writer)
        self.settle_down(0.1)
        self.assertEqual(len(self.claim(self.writer)), 1)

    def test_claim_given_up_in_an_outage_is_released_after_it(self):
        self.faults.set_out(True)
        self.claim(self.writer)
        self.settle_down(2.5)
        self.faults.set_out(False)
        self.settle_down()
        self.assertIs(self.stored().state, ClaimState.NOT_RUN)
        again = self.claim(self.other)
        self.settle_down()
        self.assertIsNotNone(again[0].hold)

    def test_many_claims_share_a_write(self):
        count = 500
        outcomes = [
            self.claim(self.writer, claim_key("ticketing", "clerks", f"k{number}"))
            for number in range(count)
        ]
        self.settle_down()
        self.assertTrue(all(outcome[0].hold for outcome in outcomes))
        self.assertLessEqual(self.counters.claim_writes, count / 50)

    def test_repeated_key_in_a_batch_does_not_hold_up_the_others(self):
        self.claim(self.writer)
        self.settle_down()
        known = self.claim(self.other)
        fresh = self.claim(self.other, claim_key("ticketing", "clerks", "new"))
        self.settle_down()
        self.assertIsNone(known[0].hold)
        self.assertIsNotNone(fresh[0].hold)

    def test_two_claims_of_one_key_in_one_batch_give_one_holder(self):
        first, second = self.claim(self.writer), self.claim(self.writer)
        self.settle_down()
        won = [outcome.hold is not None for outcome in first + second]
        self.assertEqual(sorted(won), [False, True])
