"""Endpoints that were lost are asked for their name until it is known."""

import unittest

import msgspec
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from sesamearch.configuration.blackboard import Endpoint
from sesamearch.forwarding.restarts import RestartDetector


class NameClient:
    """Records the questions, which the test answers."""

    def __init__(self):
        self.asked = []

    def identify(self, endpoint, path, timeout_s):
        answered = Deferred()
        self.asked.append(answered)
        return answered


class TestRestartDetector(unittest.TestCase):
    def setUp(self):
        self.clock = Clock()
        self.clock.advance(10)
        self.client = NameClient()
        self.alive, self.restarted = [], []
        self.detector = RestartDetector(
            self.client,
            self.clock,
            2.0,
            lambda service: "/healthz",
            lambda endpoint, name: self.restarted.append(name),
            self.alive.append,
        )
        self.engine = Endpoint("e1", "10.0.0.1:1", "east", "models", "v1")
        self.answer()
        self.clock.advance(0.4)
        self.detector.note_lost(self.engine)

    def answer(self, endpoint=None, sent_s=None):
        sent_s = self.clock.seconds() if sent_s is None else sent_s
        self.detector.note_answer(endpoint or self.engine, sent_s)

    # Guards against a restart that is not found while the store is down.
    def test_new_name_is_reported_as_a_restart(self):
        self.clock.advance(0.7)
        self.client.asked[0].callback("e2")
        self.assertEqual((self.restarted, self.alive), (["e2"], []))

    # Guards against an engine that is avoided although it answers again.
    def test_own_name_is_reported_as_alive(self):
        self.clock.advance(0.7)
        self.client.asked[0].callback("e1")
        self.assertEqual((self.restarted, self.alive), ([], [self.engine]))
        self.clock.advance(2)
        self.assertEqual(len(self.client.asked), 1)

    # Guards against questions to an engine that is known to be alive.
    def test_engine_is_not_asked_once_data_arrived_again(self):
        self.detector.note_data(self.engine)
        self.clock.advance(2)
        self.assertEqual(self.client.asked, [])

    # Guards against an engine that is never asked again after it answered once.
    def test_engine_is_asked_again_after_the_next_loss(self):
        self.answer()
        self.clock.advance(2)
        self.answer()
        self.detector.note_lost(self.engine)
        self.clock.advance(1.1)
        self.assertEqual(len(self.client.asked), 1)

    # Guards against requests to the next owner of an address: a router that stood
    # still reads the last answers of an ended endpoint long after they were sent.
    def test_reading_an_old_answer_late_proves_no_life(self):
        sent_s = self.clock.seconds()
        self.clock.advance(2.6)
        self.answer(sent_s=sent_s)
        self.detector.note_data(self.engine)
        self.detector.note_new_name(self.engine, "stranger")
        self.assertEqual(self.restarted, [])

    # Guards against requests to the next owner of an address: an event of a stream may
    # have waited on the way for longer than its engine lived.
    def test_events_of_an_old_generation_prove_no_life(self):
        for _ in range(10):
            self.clock.advance(0.3)
            self.detector.note_data(self.engine)
        self.detector.note_new_name(self.engine, "stranger")
        self.assertEqual(self.restarted, [])

    # Guards against requests to the next owner of an address whose former endpoint
    # lives on elsewhere under its name.
    def test_answer_at_another_address_vouches_for_that_address_only(self):
        self.clock.advance(2.0)
        moved = msgspec.structs.replace(self.engine, address="10.0.0.2:1")
        self.answer(moved)
        self.detector.note_new_name(self.engine, "stranger")
        self.assertEqual(self.restarted, [])
        self.detector.note_new_name(moved, "e2")
        self.assertEqual(self.restarted, ["e2"])
