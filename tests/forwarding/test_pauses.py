"""Until when endpoints want nothing from this router."""

import random
import unittest

import logbook
import msgspec
from twisted.internet.task import Clock

from sesamearch.base.record import EndpointPaused
from sesamearch.configuration.blackboard import Endpoint
from sesamearch.forwarding.dispatcher import ForwardCounters
from sesamearch.forwarding.pauses import PauseTracker
from sesamearch.forwarding.request import EndpointAnswer

ENDPOINT = Endpoint("e1", "10.0.0.1:1", "east", "desk", "v1", born_ms=1000)
OTHER = Endpoint("e2", "10.0.0.2:1", "east", "desk", "v1", born_ms=1000)


class TestPauseTracker(unittest.TestCase):
    def setUp(self):
        self.clock = Clock()
        self.counters = ForwardCounters()
        self.tracker = PauseTracker(self.clock, self.counters, random.Random(1))
        self.handler = logbook.TestHandler()
        self.handler.push_application()
        self.addCleanup(self.handler.pop_application)

    def answer(self, pause_s=0.0, endpoint=ENDPOINT, status=503, **fields):
        answer = EndpointAnswer(status, b"", [], pause_s=pause_s, **fields)
        self.tracker.note_answer(endpoint, answer)

    def is_paused(self, **changes):
        return self.tracker.is_paused(msgspec.structs.replace(ENDPOINT, **changes))

    def states(self):
        messages = [record.msg for record in self.handler.records]
        return [(m.state, m.for_ms) for m in messages if isinstance(m, EndpointPaused)]

    def test_pause_ends_at_its_time(self):
        self.answer(0.25)
        self.clock.advance(0.24)
        self.assertTrue(self.is_paused())
        self.clock.advance(0.02)
        self.assertFalse(self.is_paused())

    def test_answer_without_a_pause_begins_none(self):
        self.answer()
        self.assertFalse(self.is_paused())

    def test_shorter_pause_does_not_shorten_an_earlier_one(self):
        self.answer(5.0)
        self.clock.advance(1)
        self.answer(0.5)
        self.clock.advance(3.9)
        self.assertTrue(self.is_paused())
        self.clock.advance(0.2)
        self.assertFalse(self.is_paused())

    def test_longer_pause_extends_an_earlier_one(self):
        self.answer(1.0)
        self.clock.advance(0.5)
        self.answer(2.0)
        self.clock.advance(1.9)
        self.assertTrue(self.is_paused())

    def test_success_does_not_end_a_pause(self):
        """The answer is to a request that was sent before the pause."""
        self.answer(5.0)
        self.answer(status=200)
        self.assertTrue(self.is_paused())

    def test_later_process_of_the_name_has_no_pause(self):
        self.answer(5.0)
        self.assertFalse(self.is_paused(born_ms=2000))
        self.assertTrue(self.is_paused())

    def test_pause_of_an_earlier_process_does_not_harm_the_listed_one(self):
        listed = msgspec.structs.replace(ENDPOINT, born_ms=2000)
        self.answer(1.0, listed)
        self.answer(9.0)
        self.clock.advance(1.1)
        self.assertFalse(self.is_paused(born_ms=2000))

    def test_process_whose_start_is_listed_later_stays_paused(self):
        self.answer(5.0, msgspec.structs.replace(ENDPOINT, born_ms=0))
        self.assertTrue(self.is_paused())

    def test_other_process_that_answers_pauses_its_own_name(self):
        self.answer(5.0, instance="e2")
        self.assertFalse(self.is_paused())
        self.assertTrue(self.is_paused(name="e2"))

    def test_wait_is_until_the_first_pause_ends_and_a_random_part(self):
        self.answer(2.0)
        self.answer(6.0, OTHER)
        waits = [self.tracker.wait_s([ENDPOINT, OTHER]) for _ in range(200)]
        self.assertGreaterEqual(min(waits), 2.0)
        self.assertLessEqual(max(waits), 3.0)
        self.assertGreater(max(waits) - min(waits), 0.9)

    def test_random_part_is_bounded_for_short_and_long_pauses(self):
        self.answer(0.1)
        self.answer(60.0, OTHER)
        short = [self.tracker.wait_s([ENDPOINT]) for _ in range(200)]
        long = [self.tracker.wait_s([OTHER]) for _ in range(200)]
        self.assertTrue(0.1 <= min(short) and 0.2 < max(short) <= 0.35)
        self.assertTrue(60.0 <= min(long) and 61.5 < max(long) <= 62.0)

    def test_nothing_is_waited_for_if_one_is_not_paused(self):
        self.answer(2.0)
        self.assertEqual(self.tracker.wait_s([ENDPOINT, OTHER]), 0.0)
        self.assertEqual(self.tracker.wait_s([]), 0.0)

    def test_change_is_logged_and_counted_once(self):
        for _ in range(3):
            self.answer(2.0)
            self.clock.advance(0.5)
            self.tracker.drop_expired()
        self.clock.advance(2)
        for _ in range(3):
            self.tracker.drop_expired()
        self.assertEqual(self.states(), [("paused", 2000), ("ended", 0)])
        self.assertEqual(self.counters.pauses, 1)
        self.assertEqual(self.tracker._pauses, {})

    def test_unusable_pause_is_logged_once_in_a_while(self):
        for _ in range(600):
            self.answer(unusable_pause="soon")
            self.clock.advance(0.2)
            self.tracker.drop_expired()
        warnings = [r for r in self.handler.records if "soon" in r.message]
        self.assertEqual(len(warnings), 2)
        self.clock.advance(70)
        self.tracker.drop_expired()
        self.assertEqual(self.tracker._warned_s, {})
