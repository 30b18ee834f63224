import unittest
from unittest import mock

from twisted.internet.task import Clock, LoopingCall

from sesamearch.base import guard
from sesamearch.base.guard import LOG_INTERVAL_S, Guard


class TestGuard(unittest.TestCase):
    def setUp(self):
        self.clock = Clock()
        self.calls = 0

    def raise_error(self):
        self.calls += 1
        raise OverflowError("too large")

    # Guards against: one exception stops a loop for good.
    def test_loop_goes_on_after_an_exception(self):
        loop = LoopingCall(Guard(self.clock, self.raise_error))
        loop.clock = self.clock
        with mock.patch.object(guard.logger, "error"):
            loop.start(1.0)
            self.clock.pump([1.0] * 3)
        self.assertEqual(self.calls, 4)

    def test_exceptions_are_logged_once_a_minute(self):
        guarded = Guard(self.clock, self.raise_error)
        with mock.patch.object(guard.logger, "error") as error:
            for _ in range(100):
                guarded()
            self.clock.advance(LOG_INTERVAL_S)
            guarded()
        self.assertEqual(error.call_count, 2)
        self.assertEqual(error.call_args.args[1], 99)

    def test_result_is_returned(self):
        self.assertEqual(Guard(self.clock, max)(3, 7), 7)
