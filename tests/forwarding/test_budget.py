import unittest

from twisted.internet.task import Clock

from sesamearch.forwarding.budget import RetryBudget


class TestRetryBudget(unittest.TestCase):
    def setUp(self):
        self.clock = Clock()
        self.budget = RetryBudget(self.clock, 0.5, 10.0, 20.0)

    def take(self, count, routers=1):
        return sum(self.budget.take(routers) for _ in range(count))

    def test_slack_is_shared_among_the_routers(self):
        self.assertEqual(self.take(50, routers=4), 5)

    def test_requests_add_to_the_budget(self):
        for _ in range(10):
            self.budget.count_request()
        self.assertEqual(self.take(50), 25)

    def test_window_slides(self):
        self.take(50)
        self.assertEqual(self.take(1), 0)
        self.clock.advance(10.1)
        self.assertEqual(self.take(50), 20)

    def test_old_requests_no_longer_count(self):
        for _ in range(10):
            self.budget.count_request()
        self.clock.advance(10.1)
        self.assertEqual(self.take(50), 20)
