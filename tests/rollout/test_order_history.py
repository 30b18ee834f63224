"""Orders of a service across restores of the store."""

import unittest

from sesamearch.rollout.order import RolloutOrder
from sesamearch.rollout.order_history import (
    REPETITION_TIMEOUT_S,
    OrderHistory,
    OrderNews,
)
from sesamearch.store.store import StoreRevision

NEW, REPEATED, OLD = OrderNews.NEW, OrderNews.REPEATED, OrderNews.OLD
LATER_S = REPETITION_TIMEOUT_S + 1


class TestOrderHistory(unittest.TestCase):
    def setUp(self):
        self.history = OrderHistory()

    def judge(self, target, era, number, now_s=0.0, is_distinct=False):
        order = RolloutOrder("desk", target, 12.0, StoreRevision(era, number))
        return self.history.judge(order, now_s, is_distinct)

    def test_later_orders_of_an_era_are_new(self):
        # Guards against an operator's second order for a version that is ignored.
        self.assertIs(self.judge("v2", 1, 50), NEW)
        self.assertIs(self.judge("v2", 1, 50), OLD)
        self.assertIs(self.judge("v3", 1, 60), NEW)
        self.assertIs(self.judge("v3", 1, 70), NEW)
        self.assertIs(self.judge("v2", 1, 60), OLD)

    def test_order_in_the_copy_is_the_known_one(self):
        # Guards against a rollout that starts again with its copy.
        self.judge("v2", 1, 50)
        self.assertIs(self.judge("v2", 2, 50), REPEATED)
        self.assertIs(self.judge("v2", 2, 50), OLD)
        self.assertEqual(self.history.current.revision, StoreRevision(2, 50))

    def test_order_that_is_written_again_is_the_known_one(self):
        # Guards against a rollout that starts again under a lower revision.
        self.judge("v2", 1, 50)
        self.assertIs(self.judge("v2", 2, 40), REPEATED)

    def test_order_that_is_in_the_copy_and_written_again_is_the_known_one(self):
        # Guards against a rollout that starts again under a higher revision.
        self.judge("v2", 1, 50)
        self.judge("v2", 2, 50)
        self.assertIs(self.judge("v2", 2, 55, REPETITION_TIMEOUT_S - 1), REPEATED)

    def test_equal_order_long_after_the_restore_is_new(self):
        # Guards against a version that can never be ordered again.
        self.judge("v2", 1, 50)
        self.judge("v2", 2, 40)
        self.assertIs(self.judge("v2", 2, 90, LATER_S), NEW)

    def test_other_order_after_the_restore_is_new(self):
        # Guards against an order that is ignored because revisions went back.
        self.judge("v2", 1, 50)
        self.assertIs(self.judge("v3", 2, 40), NEW)

    def test_replaced_order_in_the_copy_is_old(self):
        # Guards against an old order that replaces its successor.
        self.judge("v2", 1, 50)
        self.judge("v3", 1, 60)
        self.assertIs(self.judge("v2", 2, 50), OLD)
        self.assertIs(self.judge("v2", 2, 50, LATER_S), OLD)
        self.assertEqual(self.history.current.target, "v3")
        self.assertIs(self.judge("v3", 2, 58), REPEATED)

    def test_earlier_one_of_two_equal_orders_is_old(self):
        # Guards against the state of an earlier order that ends a later one.
        self.judge("v2", 1, 50)
        self.judge("v2", 1, 60)
        self.assertIs(self.judge("v2", 2, 50), OLD)
        self.assertIs(self.judge("v2", 2, 58), REPEATED)

    def test_order_of_an_earlier_era_is_old(self):
        # Guards against a router that was cut off and passes on what it knew.
        self.judge("v2", 2, 50)
        self.assertIs(self.judge("v3", 1, 90), OLD)

    def test_order_that_its_sender_knows_to_be_new(self):
        # Guards against a router that missed a repetition and bars a new order.
        self.judge("v2", 1, 50)
        self.assertIs(self.judge("v2", 2, 90, LATER_S, is_distinct=True), NEW)


if __name__ == "__main__":
    unittest.main()
