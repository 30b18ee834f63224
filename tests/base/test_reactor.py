"""The reactor of a process that stood still."""

import socket
import time
import unittest
from unittest import mock

from twisted.internet.abstract import FileDescriptor

from sesamearch.base.reactor import SteadyReactor

STANDSTILL_S = 3.0


class SocketReader(FileDescriptor):
    def __init__(self, reactor, end, seen):
        super().__init__(reactor)
        self._end = end
        self._seen = seen

    def fileno(self):
        return self._end.fileno()

    def doRead(self):
        self._end.recv(100)
        self._seen.append("data")


class FrozenReactor(SteadyReactor):
    """Stands still in its first wait; a signal then ends it without any event."""

    def __init__(self, on_freeze):
        self.frozen_s = 0.0
        self.on_freeze = on_freeze
        super().__init__()

    def seconds(self):
        return super().seconds() + self.frozen_s

    def doPoll(self, timeout):
        if not self.frozen_s and timeout:
            self.frozen_s = STANDSTILL_S
            self.on_freeze()
            return
        super().doPoll(timeout)


class CountingReactor(SteadyReactor):
    def __init__(self, polls):
        self._polls = polls
        super().__init__()

    def doPoll(self, timeout):
        self._polls.append(timeout)
        super().doPoll(timeout)


class TestStandstill(unittest.TestCase):
    def setUp(self):
        self.near, self.far = socket.socketpair()
        self.addCleanup(self.near.close)
        self.addCleanup(self.far.close)
        self.seen = []

    def turn(self, reactor):
        """Run one turn of the reactor's loop."""
        reactor.runUntilCurrent()
        reactor.doIteration(reactor.timeout())
        reactor.runUntilCurrent()

    # Guards against sound endpoints that are taken for silent, because the timer that
    # judges them runs before what came during a freeze is read.
    def test_data_of_a_freeze_is_read_before_the_timers_that_it_made_late(self):
        reactor = FrozenReactor(lambda: self.far.send(b"x"))
        reactor.addReader(SocketReader(reactor, self.near, self.seen))
        reactor.callLater(0.5, self.seen.append, "timer")
        self.turn(reactor)
        self.assertEqual(self.seen, ["data", "timer"])

    # Guards against reads that delay the timers of a reactor that is on time.
    def test_timer_that_is_on_time_waits_for_no_further_poll(self):
        polls = []
        reactor = CountingReactor(polls)
        reactor.callLater(0.01, self.seen.append, "timer")
        self.turn(reactor)
        self.assertEqual((self.seen, len(polls)), (["timer"], 1))


class TestClock(unittest.TestCase):
    # Guards against leases, windows and ages that a suspended VM takes for shorter
    # than they are.
    def test_time_of_a_suspension_counts(self):
        times_s = {time.CLOCK_MONOTONIC: 40.0, time.CLOCK_BOOTTIME: 43.0}
        with mock.patch("time.clock_gettime", times_s.get):
            self.assertEqual(SteadyReactor().seconds(), 43.0)
