"""Detection of data centres that cannot be reached."""

import random
import unittest

from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from sesamearch.configuration.blackboard import Blackboard, Endpoint
from sesamearch.forwarding.outage import PROBE_INTERVAL_S, OutageDetector


class ProbeClient:
    """Records the probes, whose answers the test decides."""

    def __init__(self):
        self.probes = []

    def probe(self, endpoint, timeout_s):
        answered = Deferred()
        self.probes.append((endpoint, answered))
        return answered


def make_outages(clock, board, client=None):
    return OutageDetector(
        (client or ProbeClient()).probe,
        clock,
        lambda: board.endpoints.value,
        random.Random(1),
    )


class TestOutageDetector(unittest.TestCase):
    def setUp(self):
        self.clock = Clock()
        self.board = Blackboard()
        self.client = ProbeClient()
        self.outages = make_outages(self.clock, self.board, self.client)
        self.west = [
            Endpoint(f"w{n}", f"10.2.0.{n}:1", "west", "models", "v1") for n in range(4)
        ]
        self.east = Endpoint("e0", "10.1.0.1:1", "east", "models", "v1")
        listed = [*self.west, self.east]
        self.board.endpoints.write({each.name: each for each in listed})

    def fail(self, count=2):
        for endpoint in self.west[:count]:
            self.outages.note_unreachable(endpoint)

    def is_unreachable(self):
        return self.outages.is_unreachable("west")

    def pass_time(self, seconds):
        for _ in range(round(seconds / 0.25)):
            self.clock.advance(0.25)
            self.outages.check()

    def test_one_endpoint_is_no_evidence(self):
        for _ in range(5):
            self.outages.note_unreachable(self.west[0])
        self.assertFalse(self.is_unreachable())

    def test_two_silent_endpoints_are_an_outage(self):
        self.fail()
        self.assertTrue(self.is_unreachable())
        self.assertFalse(self.outages.is_unreachable("east"))

    def test_an_answer_in_between_is_evidence_against_it(self):
        self.fail(1)
        self.outages.note_alive(self.west[3])
        self.outages.note_unreachable(self.west[1])
        self.assertFalse(self.is_unreachable())

    def test_failures_long_ago_do_not_count(self):
        self.fail(1)
        self.pass_time(4)
        self.outages.note_unreachable(self.west[1])
        self.assertFalse(self.is_unreachable())

    def test_one_endpoint_is_probed_at_intervals(self):
        self.fail()
        self.assertEqual(len(self.client.probes), 1)
        self.pass_time(4 * PROBE_INTERVAL_S)
        self.assertEqual(len(self.client.probes), 5)
        self.assertTrue(all(e.data_centre == "west" for e, _ in self.client.probes))

    def test_answered_probe_ends_the_outage(self):
        self.fail()
        _, answered = self.client.probes[0]
        answered.callback(False)
        self.assertTrue(self.is_unreachable())
        self.pass_time(PROBE_INTERVAL_S)
        _, answered = self.client.probes[1]
        answered.callback(True)
        self.assertFalse(self.is_unreachable())
        self.pass_time(2)
        self.assertEqual(len(self.client.probes), 2)

    def test_data_centre_without_endpoints_is_forgotten(self):
        self.fail()
        self.board.endpoints.write({"e0": self.east})
        self.pass_time(PROBE_INTERVAL_S)
        self.assertFalse(self.is_unreachable())
