import unittest

from twisted.internet.task import Clock

from sesamearch.membership.broadcast_batcher import BATCH_INTERVAL_S, BroadcastBatcher


class TestBroadcastBatcher(unittest.TestCase):
    """A relay of a large fleet gets broadcasts faster than it may forward messages."""

    def setUp(self):
        self.clock = Clock()
        self.sent = []
        self.batcher = BroadcastBatcher(self.clock, self.sent.append)

    def test_rare_broadcasts_are_sent_at_once(self):
        self.batcher.add("a")
        self.clock.advance(BATCH_INTERVAL_S)
        self.batcher.add("b")
        self.assertEqual(self.sent, [["a"], ["b"]])

    def test_frequent_broadcasts_are_batched_in_order(self):
        for number in range(200):
            self.batcher.add(number)
            self.clock.advance(0.001)
        self.clock.advance(BATCH_INTERVAL_S)
        self.assertLessEqual(len(self.sent), 0.2 / BATCH_INTERVAL_S + 2)
        self.assertEqual(sum(self.sent, []), list(range(200)))

    def test_broadcast_waits_at_most_one_interval(self):
        self.batcher.add("a")
        self.batcher.add("b")
        self.clock.advance(BATCH_INTERVAL_S)
        self.assertEqual(self.sent, [["a"], ["b"]])
