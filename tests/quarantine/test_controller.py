import random
import unittest

import msgspec
from result import Err, Ok
from twisted.internet.defer import succeed
from twisted.internet.task import Clock

from sesamearch.base.errors import ErrorKind
from sesamearch.configuration.blackboard import Endpoint, Incarnation
from sesamearch.forwarding.dispatcher import ForwardCounters
from sesamearch.forwarding.request import CallerRequest, PromptPart
from sesamearch.quarantine.controller import (
    NEWS_LIFETIME_S,
    TRIAL_DELAYS_S,
    QuarantineController,
    retry_after_s,
)
from sesamearch.quarantine.entry import Quarantine
from sesamearch.quarantine.loss import EndpointLoss
from sesamearch.quarantine.register import QuarantineRegister


class _MemoryRegister(QuarantineRegister):
    """Keeps quarantines in memory; may be away."""

    def __init__(self):
        self.entries = {}
        self.is_away = False

    def write(self, quarantine):
        if self.is_away:
            return succeed(Err(ErrorKind.STORE_UNAVAILABLE))
        if not quarantine.supersedes(self.entries.get(quarantine.key)):
            return succeed(Ok(False))
        self.entries[quarantine.key] = quarantine
        return succeed(Ok(True))


def make_request(request_id, *parts):
    named = [PromptPart(name, 100) for name in (*parts, f"own-{request_id}")]
    return CallerRequest(
        request_id, b"POST", b"/", [], b"", "h", "/", "", 0, 9, prompt_parts=named
    )


def make_engine(number):
    return Endpoint(f"e{number}", "10.0.0.1:1", "east", "models", "v1", False)


class QuarantineTestCase(unittest.TestCase):
    def setUp(self):
        self.clock = Clock()
        self.clock.advance(100.0)
        self.register = _MemoryRegister()
        self.quarantine = self.make()
        self.decided = []
        self.quarantine.on_decision = self.decided.append

    def make(self):
        return QuarantineController(
            self.clock, self.register, ForwardCounters(), random.Random(1)
        )

    def end_engines(self, numbers, *parts):
        for number in numbers:
            self.clock.advance(0.4)
            self.quarantine.note_written(["first"])
            self.quarantine.note_lost(
                make_engine(number), f"q{number}", ["first", *parts], True
            )

    def find(self, *parts, request_id="r1"):
        return self.quarantine.find(["first", *parts], request_id)


class TestQuarantine(QuarantineTestCase):
    def test_prompts_with_a_suspect_part_are_refused(self):
        began = []
        self.quarantine.on_begin = lambda: began.append(1)
        self.end_engines(range(3), "dead")
        self.assertEqual(self.find("dead").parts, ["dead"])
        self.assertIsNone(self.find("other"))
        self.assertEqual(len(began), 1)
        self.assertEqual([each.parts for each in self.decided], [["dead"]])
        self.quarantine.refresh()
        self.assertIn(frozenset(["dead"]), self.register.entries)

    def test_part_that_is_written_is_no_longer_refused(self):
        self.end_engines(range(3), "dead")
        self.quarantine.note_written(["dead"])
        self.assertIsNone(self.find("dead"))
        self.assertEqual([each.is_active for each in self.decided], [True, False])

    def test_quarantine_of_two_parts_is_narrowed_by_what_is_written(self):
        self.quarantine.update(Quarantine(["dead", "first"], 1))
        self.assertIsNone(self.find("other"))
        self.assertIsNotNone(self.find("dead"))
        self.quarantine.note_written(["first", "other"])
        self.assertEqual(self.find("dead").parts, ["dead"])

    def test_later_change_applies_and_an_earlier_one_does_not(self):
        self.quarantine.update(Quarantine(["dead"], 2))
        self.quarantine.update(Quarantine(["dead"], 1, is_active=False))
        self.assertIsNotNone(self.find("dead"))
        self.quarantine.update(Quarantine(["dead"], 3, is_active=False))
        self.assertIsNone(self.find("dead"))

    # Guards against messages that go on for ever after a quarantine.
    def test_lifted_entry_is_news_for_a_time(self):
        self.quarantine.update(Quarantine(["dead"], 1))
        self.clock.advance(2 * NEWS_LIFETIME_S)
        self.assertEqual(len(self.quarantine.news), 1)
        self.quarantine.update(Quarantine(["dead"], 2, is_active=False))
        self.assertEqual(len(self.quarantine.news), 1)
        self.clock.advance(2 * NEWS_LIFETIME_S)
        self.assertEqual(self.quarantine.news, [])

    # Guards against ends that several routers saw one of each, so that none decided.
    def test_losses_of_other_routers_are_decided_on_after_a_delay(self):
        self.quarantine.note_written(["first"])
        for number in range(3):
            self.clock.advance(0.4)
            self.quarantine.note_written(["first"])
            loss = EndpointLoss(
                Incarnation(f"e{number}", 0), f"q{number}", ["first", "dead"], True
            )
            self.quarantine.add_loss(loss)
        self.assertEqual(self.decided, [])
        self.clock.advance(0.3)
        self.assertEqual([each.parts for each in self.decided], [["dead"]])

    def test_reported_losses_of_a_known_part_are_answered_once(self):
        told = []
        self.quarantine.on_history = told.append
        self.quarantine.note_written(["first"])
        for number in range(2):
            loss = EndpointLoss(Incarnation(f"e{number}", 0), "q1", ["first"], True)
            self.quarantine.add_loss(loss)
            self.clock.advance(0.2)
        self.assertEqual(told, [["first"]])


class TestStorage(QuarantineTestCase):
    def test_entry_is_stored_when_the_store_is_back(self):
        self.register.is_away = True
        self.end_engines(range(3), "dead")
        self.quarantine.refresh()
        self.register.is_away = False
        self.quarantine.refresh()
        self.assertTrue(self.register.entries[frozenset(["dead"])].is_active)

    # Guards against a quarantine that ends because the store lost its entry.
    def test_entry_that_a_restored_store_lacks_is_stored_again(self):
        self.end_engines(range(3), "dead")
        self.quarantine.refresh()
        self.register.entries.clear()
        self.quarantine.update_stored([])
        self.quarantine.refresh()
        self.assertIsNotNone(self.find("dead"))
        self.assertIn(frozenset(["dead"]), self.register.entries)

    def test_router_that_starts_learns_the_stored_entries(self):
        later = self.make()
        later.update_stored([Quarantine(["dead"], 1)])
        self.assertIsNotNone(later.find(["first", "dead"], "r1"))


class TestTrials(QuarantineTestCase):
    def setUp(self):
        super().setUp()
        self.end_engines(range(3), "dead")
        self.quarantine.refresh()

    def let_through(self, quarantine, request_id):
        return quarantine.find(["first", "dead"], request_id) is None

    def wait_for_trial(self, quarantine, delay_s):
        self.clock.advance(delay_s)
        self.assertFalse(self.let_through(quarantine, "asks"))

    def test_one_request_of_all_routers_is_let_through(self):
        other = self.make()
        other.update_stored(list(self.register.entries.values()))
        self.wait_for_trial(self.quarantine, TRIAL_DELAYS_S[0] + 1)
        self.assertFalse(self.let_through(other, "asks"))
        self.assertTrue(self.let_through(self.quarantine, "r1"))
        self.assertFalse(self.let_through(self.quarantine, "r2"))
        self.assertFalse(self.let_through(other, "r3"))
        self.quarantine.note_sent("r1")
        self.assertFalse(self.let_through(self.quarantine, "r1"))

    def test_trial_that_was_not_sent_is_another_requests(self):
        self.wait_for_trial(self.quarantine, TRIAL_DELAYS_S[0] + 1)
        self.assertTrue(self.let_through(self.quarantine, "r1"))
        self.quarantine.note_over("r1")
        self.assertTrue(self.let_through(self.quarantine, "r2"))

    def test_number_of_trials_is_bounded(self):
        trials = 0
        for delay_s in (*TRIAL_DELAYS_S, 1e5, 1e5):
            self.wait_for_trial(self.quarantine, delay_s + 1)
            if self.let_through(self.quarantine, "r1"):
                trials += 1
                self.quarantine.note_sent("r1")
        self.assertEqual(trials, len(TRIAL_DELAYS_S))

    def test_no_trial_without_the_store(self):
        self.register.is_away = True
        self.wait_for_trial(self.quarantine, TRIAL_DELAYS_S[0] + 1)
        self.assertFalse(self.let_through(self.quarantine, "r1"))

    def test_callers_are_told_when_the_next_trial_is(self):
        entry = self.find("dead")
        self.assertEqual(retry_after_s(entry), TRIAL_DELAYS_S[0])
        later = msgspec.structs.replace(entry, trials=9)
        self.assertEqual(retry_after_s(later), TRIAL_DELAYS_S[-1])
