"""Endpoints that were lost are asked for their name until it is known."""

import unittest

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
        self.detector.note_alive("e1")
        self.clock.advance(0.4)
        self.detector.note_lost(self.engine)

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
        self.detector.note_alive("e1")
        self.clock.advance(2)
        self.assertEqual(self.client.asked, [])

    # Guards against an engine that is never asked again after it answered once.
    def test_engine_is_asked_again_after_the_next_loss(self):
        self.detector.note_alive("e1")
        self.clock.advance(2)
        self.detector.note_alive("e1")
        self.detector.note_lost(self.engine)
        self.clock.advance(1.1)
        self.assertEqual(len(self.client.asked), 1)
