import unittest
from types import SimpleNamespace

from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from sesamearch.forwarding.stall import (
    EVENTS_TO_RECOVER,
    PROBE_INTERVAL_S,
    EventTiming,
    StallDetector,
)

GAP_GOAL_S = 0.7


class TestEventTiming(unittest.TestCase):
    def test_mean_gap_counts_events_that_arrive_together(self):
        timing = EventTiming()
        for number in range(200):
            timing.note(2, 0.1 * number)
        self.assertAlmostEqual(timing.mean_gap_s, 0.05, places=3)
        self.assertEqual(timing.events, 400)


class TestStallDetector(unittest.TestCase):
    def setUp(self):
        self.clock = Clock()
        self.clock.advance(10)
        self.probes = []
        self.abandoned = []
        self.trusted = []
        self.is_paused = False
        self.is_doubted = False
        self.timing = EventTiming()
        tools = SimpleNamespace(
            clock=self.clock,
            counters=SimpleNamespace(probes=0),
            pauses=SimpleNamespace(is_paused=lambda endpoint: self.is_paused),
            health=SimpleNamespace(is_down=lambda name: self.is_doubted),
            outages=SimpleNamespace(is_unreachable=lambda data_centre: False),
        )
        self.detector = StallDetector(
            tools,
            GAP_GOAL_S,
            self.timing,
            lambda attempt: True,
            lambda attempt, cause: self.abandoned.append(cause),
            self.trusted.append,
        )
        self.attempt = SimpleNamespace(
            sent_s=10.0,
            answer=None,
            endpoint=SimpleNamespace(name="e1", data_centre="east"),
            is_paused=False,
            probe=lambda timeout_s: self.probe("e1", timeout_s),
        )
        self.detector.schedule_probe(PROBE_INTERVAL_S)

    def probe(self, endpoint, timeout_s):
        answered = Deferred()
        self.probes.append(answered)
        return answered

    def wait(self, seconds):
        self.clock.advance(seconds)
        return self.detector.check(self.attempt)

    def run_engine(self, gap_s=0.05, events=40):
        self.attempt.answer = object()
        for _ in range(events):
            self.clock.advance(gap_s)
            self.timing.note(1, self.clock.seconds())

    def test_engine_reading_a_prompt_is_probed(self):
        self.wait(PROBE_INTERVAL_S - 0.1)
        self.assertEqual(self.probes, [])
        self.wait(0.2)
        self.probes[0].callback(True)
        self.assertEqual(self.abandoned, [])
        self.assertEqual(self.trusted, [self.attempt])
        self.wait(PROBE_INTERVAL_S)
        self.probes[1].callback(False)
        self.assertEqual(self.abandoned, ["silent"])
        self.assertEqual(self.trusted, [self.attempt])

    def answer_probes(self, seconds):
        """Check as a router does for some time; return the number of probes."""
        begun = len(self.probes)
        for _ in range(round(seconds / 0.05)):
            self.wait(0.05)
            if self.probes and not self.probes[-1].called:
                self.probes[-1].callback(True)
        return len(self.probes) - begun

    def test_engine_that_reads_for_long_is_probed_less_often(self):
        # A burst makes engines read for seconds; all of them answer.
        self.assertLessEqual(self.answer_probes(10), 7)
        self.assertEqual(self.abandoned, [])

    def test_engine_that_others_suspect_is_probed_soon(self):
        self.answer_probes(6)
        self.is_doubted = True
        self.assertEqual(self.answer_probes(PROBE_INTERVAL_S + 0.1), 1)

    def test_engine_that_asked_for_a_pause_is_probed_after_it(self):
        self.is_paused = True
        for _ in range(3):
            self.wait(PROBE_INTERVAL_S)
        self.assertEqual((self.probes, self.abandoned), ([], []))
        self.is_paused = False
        self.wait(0.05)
        self.assertEqual(len(self.probes), 1)

    def test_failed_probe_is_ignored_if_an_event_arrived_meanwhile(self):
        self.wait(PROBE_INTERVAL_S)
        self.run_engine(events=1)
        self.probes[0].callback(False)
        self.assertEqual(self.abandoned, [])

    def test_each_stall_doubles_the_limit(self):
        self.run_engine()
        for limit_s in (0.35, 0.7, 1.4, 2.0, 2.0):
            self.timing.mean_gap_s = 0.05
            self.assertTrue(self.wait(limit_s - 0.02))
            self.assertFalse(self.wait(0.04))
            self.run_engine(events=EVENTS_TO_RECOVER - 1)

    def test_stall_after_a_normal_flow_is_found_as_early_as_the_first(self):
        for _ in range(3):
            self.run_engine()
            self.assertTrue(self.wait(0.33))
            self.assertFalse(self.wait(0.04))

    def test_running_engine_is_abandoned_after_half_of_the_accepted_pause(self):
        self.run_engine()
        self.assertTrue(self.wait(0.3))
        self.assertFalse(self.wait(0.1))
        self.assertEqual((self.abandoned, self.probes), (["stalled"], []))

    def test_limit_leaves_time_to_resume_within_the_accepted_pause(self):
        self.run_engine(gap_s=0.13)
        self.assertTrue(self.wait(0.4))
        self.assertFalse(self.wait(0.04))

    # Guards against a slow caller whose engine is taken for a silent one.
    def test_engine_that_is_not_read_from_is_not_stalled(self):
        self.run_engine(events=1)
        self.attempt.is_paused = True
        for _ in range(40):
            self.clock.advance(0.05)
            self.assertTrue(self.detector.check(self.attempt))
        self.attempt.is_paused = False
        self.clock.advance(0.05)
        self.assertTrue(self.detector.check(self.attempt))
        self.clock.advance(1.0)
        self.assertFalse(self.detector.check(self.attempt))

    def test_slow_engine_is_not_taken_for_stalled(self):
        self.run_engine(gap_s=0.2)
        self.assertTrue(self.wait(0.8))
        self.assertEqual(self.abandoned, [])
