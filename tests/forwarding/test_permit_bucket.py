"""Permits of one endpoint: how many are granted, to whom, and who is denied at once."""

import random
import unittest

from twisted.internet.task import Clock

from sesamearch.forwarding.permit_bucket import (
    MIN_RATE_PER_S,
    PERMITS_PER_OLDEST,
    PermitBucket,
    PermitRate,
)
from sesamearch.forwarding.permits import PermitClaim


class TestPermitBucket(unittest.TestCase):
    def setUp(self):
        self.clock = Clock()
        self.decided = []

    def make(self, limit_per_s, share_ratio=1.0, gather_s=0.0):
        rate = PermitRate(limit_per_s, share_ratio)
        self.bucket = PermitBucket(self.clock, rate)
        self.clock.advance(gather_s)

    def claim(self, name="", patience_s=0.0, rank=5, has_begun=False):
        claim = PermitClaim(rank, has_begun, self.clock.seconds() + patience_s)

        def decide(decision):
            at_s = round(self.clock.seconds(), 3)
            self.decided.append((name, decision.is_granted, at_s))

        return self.bucket.claim(claim, decide)

    def granted(self):
        return [name for name, is_granted, _ in self.decided if is_granted]

    def denied(self):
        return [name for name, is_granted, _ in self.decided if not is_granted]

    def test_new_bucket_has_no_permit(self):
        self.make(2.0)
        self.claim("now")
        self.claim("later", patience_s=0.6)
        self.clock.pump([0.1] * 10)
        self.assertEqual(self.decided, [("now", False, 0.0), ("later", True, 0.5)])

    # Guards against a bucket whose grants add up to more than the limit allows,
    # however the claims come.
    def test_grants_in_any_window_are_bounded(self):
        for limit_per_s in (0.0, 0.3, 1.3, 20.0, 125.0):
            rng = random.Random(1)
            self.decided = []
            self.make(limit_per_s)
            returned = set()
            while self.clock.seconds() < 300:
                for _ in range(rng.choice((0, 0, 1, 3, 40))):
                    name = str(len(self.decided) + rng.random())
                    pending = self.claim(name, patience_s=rng.choice((0, 0.5, 3)))
                    if rng.random() < 0.1:
                        pending.cancel()
                        returned.add(name)
                self.clock.pump([0.01] * rng.randrange(60))
            used_s = [
                at_s
                for name, is_granted, at_s in self.decided
                if is_granted and name not in returned
            ]
            rate_per_s = max(limit_per_s, MIN_RATE_PER_S)
            allowed = 4 * rate_per_s + 1 + 0.5 * limit_per_s
            for index, begin_s in enumerate(used_s):
                window = [s for s in used_s[index:] if s < begin_s + 3.99]
                self.assertLessEqual(len(window), allowed)
            self.clock = Clock()

    def test_all_permits_are_used_while_claims_wait(self):
        self.make(2.0)
        for number in range(30):
            self.claim(str(number), patience_s=10)
        self.clock.pump([0.1] * 101)
        self.assertEqual(len(self.granted()), 20)

    def test_claim_that_cannot_be_granted_in_time_is_denied_at_once(self):
        self.make(1.0)
        for number in range(5):
            self.claim(str(number), patience_s=3.5)
        self.assertEqual(self.denied(), ["3", "4"])

    def test_requests_that_have_begun_go_first_then_those_of_a_higher_rank(self):
        self.make(1.0)
        self.claim("low", 9, rank=7)
        self.claim("high", 9, rank=1)
        self.claim("begun", 9, rank=9, has_begun=True)
        self.clock.pump([0.5] * 8)
        self.assertEqual(self.granted(), ["begun", "high", "low"])

    def test_claim_that_is_overtaken_is_denied_once_it_is_hopeless(self):
        self.make(1.0)
        self.claim("low", 1.5, rank=7)
        self.claim("high", 9, rank=1)
        self.assertEqual(self.denied(), ["low"])

    # Guards against a rank that gets nothing while a higher one takes all permits.
    def test_no_rank_is_left_out(self):
        self.make(10.0)
        for number in range(20):
            self.claim(f"low {number}", 60, rank=7)
        for number in range(400):
            self.clock.advance(0.1)
            self.claim(f"high {number}", 60, rank=1)
        low = [name for name in self.granted() if name.startswith("low")]
        self.assertEqual(len(low), 20)
        self.assertEqual(PERMITS_PER_OLDEST, 4)

    def test_withdrawn_permit_is_granted_to_another_claim(self):
        self.make(1.0, gather_s=1)
        pending = self.claim("first")
        self.claim("second", patience_s=1.0)
        pending.cancel()
        self.assertEqual(self.granted(), ["first", "second"])
        pending.cancel()
        self.claim("third")
        self.assertEqual(self.denied(), ["third"])

    def test_withdrawn_claim_is_not_granted(self):
        self.make(1.0)
        self.claim("first", 5).cancel()
        self.claim("second", 5)
        self.clock.advance(1.0)
        self.assertEqual(self.granted(), ["second"])

    def test_lower_limit_denies_those_who_wait_in_vain(self):
        self.make(10.0)
        for number in range(5):
            self.claim(str(number), patience_s=2)
        self.bucket.set_rate(PermitRate(0.5))
        self.assertEqual(self.denied(), ["1", "2", "3", "4"])

    def test_higher_limit_grants_sooner(self):
        self.make(0.5)
        self.claim("first", patience_s=5)
        self.bucket.set_rate(PermitRate(10.0))
        self.clock.advance(0.11)
        self.assertEqual(self.granted(), ["first"])

    def test_gathered_permits_are_bounded(self):
        self.make(2.0, gather_s=1000)
        for number in range(9):
            self.claim(str(number))
        self.assertEqual(self.granted(), ["0", "1"])

    def test_limit_of_zero_leaves_a_request_now_and_then(self):
        self.make(0.0)
        for _ in range(60):
            self.clock.advance(1)
            self.claim()
        self.assertEqual(len(self.granted()), 12)

    def test_end_of_the_limit_grants_all(self):
        self.make(0.5)
        for number in range(3):
            self.claim(str(number), patience_s=9)
        self.bucket.close()
        self.assertEqual(self.granted(), ["0", "1", "2"])
