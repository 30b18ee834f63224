import unittest

from twisted.internet.task import Clock

from sesamearch.membership.broadcast_batcher import BATCH_INTERVAL_S, BroadcastBatcher


class TestNewsBundle(unittest.TestCase):
    """News of a large fleet: many routers' in every moment."""

    def setUp(self):
        self.clock = Clock()
        self.sent = []
        self.bundle = BroadcastBatcher(self.clock, self.sent.append)

    def test_rare_news_leave_at_once(self):
        self.bundle.add("a")
        self.clock.advance(BATCH_INTERVAL_S)
        self.bundle.add("b")
        self.assertEqual(self.sent, [["a"], ["b"]])

    def test_frequent_news_leave_together_and_in_order(self):
        for number in range(200):
            self.bundle.add(number)
            self.clock.advance(0.001)
        self.clock.advance(BATCH_INTERVAL_S)
        self.assertLessEqual(len(self.sent), 0.2 / BATCH_INTERVAL_S + 2)
        self.assertEqual(sum(self.sent, []), list(range(200)))

    def test_nothing_is_held_longer_than_the_interval(self):
        self.bundle.add("a")
        self.bundle.add("b")
        self.clock.advance(BATCH_INTERVAL_S)
        self.assertEqual(self.sent, [["a"], ["b"]])
