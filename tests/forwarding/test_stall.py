import unittest
from types import SimpleNamespace

from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from sesamearch.forwarding.stall import (
    PROBE_INTERVAL_S,
    EventTiming,
    StallDetector,
)

GAP_GOAL_S = 0.7


class TestEventRhythm(unittest.TestCase):
    def test_mean_gap_follows_events_that_come_together_too(self):
        timing = EventTiming()
        for number in range(200):
            timing.note(2, 0.1 * number)
        self.assertAlmostEqual(timing.mean_gap_s, 0.05, places=3)
        self.assertEqual(timing.events, 400)


class TestSilenceWatch(unittest.TestCase):
    def setUp(self):
        self.clock = Clock()
        self.clock.advance(10)
        self.probes = []
        self.left = []
        self.timing = EventTiming()
        tools = SimpleNamespace(
            clock=self.clock,
            counters=SimpleNamespace(probes=0),
            client=SimpleNamespace(probe=self.probe),
        )
        self.watch = StallDetector(
            tools,
            GAP_GOAL_S,
            self.timing,
            lambda attempt: True,
            lambda attempt, cause: self.left.append(cause),
        )
        self.attempt = SimpleNamespace(sent_s=10.0, answer=None, endpoint="e1")
        self.watch.schedule_probe(PROBE_INTERVAL_S)

    def probe(self, endpoint, timeout_s):
        answered = Deferred()
        self.probes.append(answered)
        return answered

    def wait(self, seconds):
        self.clock.advance(seconds)
        return self.watch.check(self.attempt)

    def run_engine(self, gap_s=0.05, events=40):
        self.attempt.answer = object()
        for _ in range(events):
            self.clock.advance(gap_s)
            self.timing.note(1, self.clock.seconds())

    def test_engine_that_reads_a_prompt_is_asked_for_a_sign_of_life(self):
        self.wait(PROBE_INTERVAL_S - 0.1)
        self.assertEqual(self.probes, [])
        self.wait(0.2)
        self.probes[0].callback(True)
        self.assertEqual(self.left, [])
        self.wait(PROBE_INTERVAL_S)
        self.probes[1].callback(False)
        self.assertEqual(self.left, ["silent"])

    def test_event_during_a_probe_counts_more_than_its_failure(self):
        self.wait(PROBE_INTERVAL_S)
        self.run_engine(events=1)
        self.probes[0].callback(False)
        self.assertEqual(self.left, [])

    def test_running_engine_is_left_after_half_of_the_accepted_pause(self):
        self.run_engine()
        self.assertTrue(self.wait(0.3))
        self.assertFalse(self.wait(0.1))
        self.assertEqual((self.left, self.probes), (["stalled"], []))

    def test_slow_rhythm_is_not_taken_for_silence(self):
        self.run_engine(gap_s=0.2)
        self.assertTrue(self.wait(0.8))
        self.assertEqual(self.left, [])
