"""Which limits of endpoints are in force."""

import unittest

import logbook
import msgspec
from twisted.internet.task import Clock

from sesamearch.base.record import EndpointLimited
from sesamearch.configuration.blackboard import Endpoint, Incarnation
from sesamearch.forwarding.dispatcher import ForwardCounters
from sesamearch.forwarding.limits import LimitStatement, LimitTracker
from sesamearch.forwarding.request import EndpointAnswer

ENDPOINT = Endpoint("e1", "10.0.0.1:1", "east", "desk", "v1", born_ms=1000)
LATER = msgspec.structs.replace(ENDPOINT, born_ms=2000)


class TestLimitTracker(unittest.TestCase):
    def setUp(self):
        self.clock = Clock()
        self.clock.advance(100)
        self.tracker = LimitTracker(self.clock, ForwardCounters())
        self.told = []
        self.tracker.on_answer = lambda *news: self.told.append(news)
        self.handler = logbook.TestHandler()
        self.handler.push_application()
        self.addCleanup(self.handler.pop_application)

    def answer(self, limit_per_s=None, took_s=0.02, endpoint=ENDPOINT, **fields):
        """Note an answer to a request that was sent `took_s` ago."""
        fields = {"is_signed": True, **fields}
        answer = EndpointAnswer(200, b"", [], limit_per_s=limit_per_s, **fields)
        asked_s = self.clock.seconds() - took_s
        self.tracker.note_answer(endpoint, answer, asked_s)

    def limit(self, endpoint=ENDPOINT):
        return self.tracker.limit_per_s(endpoint)

    def states(self):
        messages = [record.msg for record in self.handler.records]
        found = [m for m in messages if isinstance(m, EndpointLimited)]
        return [(m.state, m.limit_per_s, m.source) for m in found]

    def test_limit_holds_until_an_answer_names_another(self):
        self.answer(1.3)
        self.clock.advance(3600)
        self.tracker.drop_expired({"e1": ENDPOINT})
        self.assertEqual(self.limit(), 1.3)
        self.answer(4.0)
        self.assertEqual(self.limit(), 4.0)
        states = [("limited", 1.3, "answer"), ("changed", 4.0, "answer")]
        self.assertEqual(self.states(), states)

    def test_limit_of_zero_is_a_limit(self):
        self.answer(0.0)
        self.assertTrue(self.tracker.is_limited(ENDPOINT))

    def test_later_answer_without_one_ends_it(self):
        self.answer(1.3)
        self.clock.advance(1)
        self.answer()
        self.assertFalse(self.tracker.is_limited(ENDPOINT))
        self.assertEqual(self.tracker.active_count, 0)
        self.assertEqual(self.states()[-1], ("ended", None, "answer"))

    def test_answer_to_an_earlier_request_neither_raises_nor_ends_it(self):
        self.answer(4.0)
        self.answer(1.3)
        self.clock.advance(1)
        self.answer(4.0, took_s=1.2)
        self.answer(took_s=1.2)
        self.assertEqual(self.limit(), 1.3)

    def test_answer_to_an_earlier_request_lowers_it(self):
        self.answer(1.3)
        self.clock.advance(1)
        self.answer(0.5, took_s=1.2)
        self.assertEqual(self.limit(), 0.5)

    def test_refusals_and_probes_without_one_do_not_end_it(self):
        self.answer(1.3)
        self.clock.advance(1)
        self.answer(is_signed=False)
        self.assertEqual(self.limit(), 1.3)

    def test_malformed_one_changes_nothing_and_is_logged_once(self):
        self.answer(1.3)
        self.clock.advance(1)
        self.answer(unusable_limit="-2")
        self.answer(unusable_limit="soon")
        self.assertEqual(self.limit(), 1.3)
        warnings = [r for r in self.handler.records if r.level_name == "WARNING"]
        self.assertEqual(len(warnings), 1)

    def test_only_changes_are_told(self):
        for limit_per_s in (1.3, 1.3, 0.5, None):
            self.answer(limit_per_s)
            self.clock.advance(1)
        told = [statement.limit_per_s for _, statement in self.told]
        self.assertEqual(told, [1.3, 0.5, None])

    def test_later_process_of_the_name_has_none(self):
        self.answer(1.3)
        self.assertIsNone(self.limit(LATER))
        self.tracker.drop_expired({"e1": LATER})
        self.assertIsNone(self.limit())
        self.assertEqual(self.states()[-1], ("ended", None, "list"))

    def test_process_without_a_start_time_is_of_the_name(self):
        self.answer(1.3, instance="e2", is_other_instance=True)
        self.assertEqual(self.limit(msgspec.structs.replace(ENDPOINT, name="e2")), 1.3)
        self.assertIsNone(self.limit())

    def test_what_peers_heard_is_followed_in_its_order(self):
        incarnation = Incarnation("e1", 1000)
        self.tracker.update(incarnation, LimitStatement(1.3, 98.0, 98.1))
        self.tracker.update(incarnation, LimitStatement(9.0, 97.0, 97.1))
        self.assertEqual(self.limit(), 1.3)
        self.tracker.update(incarnation, LimitStatement(9.0, 98.5, 98.6))
        self.assertEqual(self.limit(), 9.0)
        self.assertEqual(self.told, [])

    def test_old_limit_of_a_peer_does_not_come_back_after_its_end(self):
        incarnation = Incarnation("e1", 1000)
        self.answer(1.3)
        old = self.tracker.find(ENDPOINT)
        self.clock.advance(1)
        self.answer()
        self.tracker.update(incarnation, old)
        self.assertIsNone(self.limit())

    def test_order_of_arrival_does_not_matter(self):
        statements = [
            LimitStatement(1.3, 90.0, 90.1),
            LimitStatement(None, 91.0, 91.1),
            LimitStatement(2.0, 92.0, 92.3),
            LimitStatement(5.0, 92.1, 92.2),
        ]
        incarnation = Incarnation("e1", 1000)
        for order in (statements, statements[::-1], statements[2:] + statements[:2]):
            tracker = LimitTracker(self.clock, ForwardCounters())
            for statement in order:
                tracker.update(incarnation, statement)
            self.assertEqual(tracker.limit_per_s(ENDPOINT), 2.0)

    # Guards against ended limits that are kept, and repeated to all, for good.
    def test_ended_limit_is_forgotten_while_answers_go_on(self):
        self.answer(1.3)
        for _ in range(32):
            self.clock.advance(1)
            self.answer()
        self.tracker.drop_expired({"e1": ENDPOINT})
        self.assertFalse(self.tracker.has_any)

    def test_statements_about_gone_processes_are_dropped(self):
        self.answer(1.3)
        self.clock.advance(61)
        self.tracker.drop_expired({})
        self.assertEqual(self.tracker.statements, {})
