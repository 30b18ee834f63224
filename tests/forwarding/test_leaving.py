"""Which processes leave, by name and start time."""

import unittest

import msgspec

from sesamearch.configuration.blackboard import Endpoint, Incarnation
from sesamearch.forwarding import leaving
from sesamearch.forwarding.dispatcher import ForwardCounters
from sesamearch.forwarding.leaving import LeavingTracker
from sesamearch.forwarding.request import EndpointAnswer

ENDPOINT = Endpoint("e1", "10.0.0.1:1", "east", "desk", "v1", born_ms=1000)


def answer(status=200, **fields):
    return EndpointAnswer(status, b"", [], is_leaving=True, **fields)


class TestLeavingTracker(unittest.TestCase):
    def setUp(self):
        self.counters = ForwardCounters()
        self.tracker = LeavingTracker(self.counters)
        self.told = []
        self.changes = 0
        self.tracker.on_answer = self.told.append
        self.tracker.on_change = self.count_change

    def count_change(self):
        self.changes += 1

    def is_leaving(self, **changes):
        """Return whether an endpoint that the list calls ready is known to leave."""
        listed = msgspec.structs.replace(ENDPOINT, **changes)
        return self.tracker.apply({listed.name: listed})[listed.name].leaving

    def test_endpoint_that_says_nothing_is_used(self):
        self.tracker.note_answer(ENDPOINT, EndpointAnswer(200, b"", []))
        self.assertFalse(self.is_leaving())
        self.assertEqual((self.told, self.changes), ([], 0))

    def test_mark_is_told_and_counted_once(self):
        for _ in range(3):
            self.tracker.note_answer(ENDPOINT, answer())
            self.tracker.update(ENDPOINT.incarnation)
        self.assertTrue(self.is_leaving())
        self.assertEqual(self.told, [ENDPOINT.incarnation])
        self.assertEqual((self.changes, self.counters.leaving_endpoints), (1, 1))

    def test_what_a_peer_said_is_not_told_on(self):
        self.tracker.update(ENDPOINT.incarnation)
        self.assertTrue(self.is_leaving())
        self.assertEqual(self.told, [])

    def test_mark_belongs_to_the_name_and_not_to_the_address(self):
        self.tracker.note_answer(ENDPOINT, answer())
        self.assertFalse(self.is_leaving(name="e2"))
        self.assertTrue(self.is_leaving(address="10.0.0.2:1"))

    def test_later_process_of_the_name_ends_the_mark(self):
        self.tracker.note_answer(ENDPOINT, answer())
        self.assertFalse(self.is_leaving(born_ms=2000))
        self.assertFalse(self.is_leaving(born_ms=1000))

    def test_mark_of_a_process_that_the_list_does_not_show_yet_is_kept(self):
        self.tracker.update(Incarnation("e1", 2000))
        self.assertFalse(self.is_leaving(born_ms=1000))
        self.assertTrue(self.is_leaving(born_ms=2000))

    def test_late_mark_of_an_earlier_process_does_not_harm_the_listed_one(self):
        self.assertFalse(self.is_leaving(born_ms=2000))
        self.tracker.update(ENDPOINT.incarnation)
        self.assertFalse(self.is_leaving(born_ms=2000))

    def test_process_whose_start_is_unknown_at_first_stays_marked(self):
        """An endpoint that restarted in an outage is listed with its start later."""
        unlisted = msgspec.structs.replace(ENDPOINT, born_ms=0)
        self.tracker.note_answer(unlisted, answer())
        self.assertTrue(self.is_leaving(born_ms=0))
        self.assertTrue(self.is_leaving(born_ms=1000))
        self.assertFalse(self.is_leaving(born_ms=2000))

    def test_entry_that_loses_its_start_time_stays_marked(self):
        self.tracker.note_answer(ENDPOINT, answer())
        self.assertTrue(self.is_leaving(born_ms=0))

    def test_other_process_that_answers_marks_its_own_name(self):
        self.tracker.note_answer(
            ENDPOINT, answer(421, is_other_instance=True, instance="e2")
        )
        self.assertFalse(self.is_leaving())
        self.assertTrue(self.is_leaving(name="e2"))

    def test_other_process_without_a_name_marks_nothing(self):
        self.tracker.note_answer(ENDPOINT, answer(421, is_other_instance=True))
        self.assertFalse(self.is_leaving())

    def test_number_of_kept_names_is_bounded(self):
        for number in range(leaving.MAX_KEPT_NAMES + 5):
            self.tracker.update(Incarnation(f"e{number}", 1000))
        self.assertEqual(len(self.tracker._born_ms), leaving.MAX_KEPT_NAMES)
        self.assertFalse(self.is_leaving(name="e0"))
        self.assertTrue(self.is_leaving(name=f"e{leaving.MAX_KEPT_NAMES}"))
