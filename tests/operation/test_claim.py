"""Claims: at most one holder, even if writes or their answers are lost."""

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

    def run_for(self, seconds=1.0):
        self.clock.pump([0.002] * int(seconds / 0.002))

    def stored(self):
        return Claim.from_json(self.faults.state.items[KEY].value)

    def test_one_of_two_routers_wins(self):
        mine, theirs = self.claim(self.writer), self.claim(self.other)
        self.run_for()
        won = [outcome.held_claim is not None for outcome in mine + theirs]
        self.assertEqual(sorted(won), [False, True])

    def test_claim_with_a_lost_answer_is_recognised(self):
        self.claim(self.writer, claim_key("ticketing", "clerks", "k0"))
        self.run_for()
        outcomes = self.claim(self.writer)
        self.faults.lost_answers = 1
        self.run_for()
        self.assertIsNotNone(outcomes[0].held_claim)
        self.assertEqual(self.claim(self.other), [])
        self.run_for()

    def test_outcome_is_visible_to_other_routers(self):
        outcomes = self.claim(self.writer)
        self.run_for()
        self.writer.settle(outcomes[0].held_claim, ClaimState.DONE)
        self.run_for()
        later = self.claim(self.other)
        self.run_for()
        self.assertIs(later[0].existing.state, ClaimState.DONE)

    def test_operation_that_has_not_run_can_be_claimed_again(self):
        outcomes = self.claim(self.writer)
        self.run_for()
        self.writer.settle(outcomes[0].held_claim, ClaimState.NOT_RUN)
        self.run_for()
        again = self.claim(self.other)
        self.run_for()
        self.assertIsNotNone(again[0].held_claim)

    def test_late_retry_of_an_outcome_does_not_overwrite_a_newer_claim(self):
        # The first router writes "not run", but the answer is lost. Another router
        # claims the key. Then the first router retries its write.
        outcomes = self.claim(self.writer)
        self.run_for()
        self.faults.lost_answers = 1
        self.writer.settle(outcomes[0].held_claim, ClaimState.NOT_RUN)
        self.clock.pump([0.002] * 10)
        newer = self.claim(self.other)
        self.run_for(2)
        self.assertIsNotNone(newer[0].held_claim)
        self.assertEqual(self.stored().claim_id, newer[0].held_claim.claim.claim_id)
        self.assertIs(self.stored().state, ClaimState.CLAIMED)
        self.assertEqual(self.writer.unsettled, 0)

    def test_claim_times_out_during_a_store_outage(self):
        self.faults.set_outage(True)
        outcomes = self.claim(self.writer)
        self.run_for(2.5)
        self.assertIsNone(outcomes[0].held_claim)
        self.assertIsNone(outcomes[0].existing)

    def test_claim_fails_at_once_during_a_known_outage(self):
        self.faults.set_outage(True)
        self.claim(self.writer)
        self.run_for(0.1)
        self.assertEqual(len(self.claim(self.writer)), 1)

    def test_claim_that_timed_out_in_an_outage_is_released_after_it(self):
        self.faults.set_outage(True)
        self.claim(self.writer)
        self.run_for(2.5)
        self.faults.set_outage(False)
        self.run_for()
        self.assertIs(self.stored().state, ClaimState.NOT_RUN)
        again = self.claim(self.other)
        self.run_for()
        self.assertIsNotNone(again[0].held_claim)

    def test_claims_are_written_in_batches(self):
        count = 500
        outcomes = [
            self.claim(self.writer, claim_key("ticketing", "clerks", f"k{number}"))
            for number in range(count)
        ]
        self.run_for()
        self.assertTrue(all(outcome[0].held_claim for outcome in outcomes))
        self.assertLessEqual(self.counters.claim_writes, count / 50)

    def test_existing_key_does_not_delay_the_rest_of_its_batch(self):
        self.claim(self.writer)
        self.run_for()
        known = self.claim(self.other)
        fresh = self.claim(self.other, claim_key("ticketing", "clerks", "new"))
        self.run_for()
        self.assertIsNone(known[0].held_claim)
        self.assertIsNotNone(fresh[0].held_claim)

    def test_one_of_two_claims_on_a_key_in_one_batch_wins(self):
        first, second = self.claim(self.writer), self.claim(self.writer)
        self.run_for()
        won = [outcome.held_claim is not None for outcome in first + second]
        self.assertEqual(sorted(won), [False, True])
