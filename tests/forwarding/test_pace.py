import unittest

from twisted.internet.task import Clock

from sesamearch.forwarding.pace import GenerationPace
from sesamearch.forwarding.prompts import PromptLocations


class TestGenerationPace(unittest.TestCase):
    def test_shortest_time_is_zero_without_samples(self):
        self.assertEqual(GenerationPace().shortest_s(8000), 0)

    def test_shortest_time_is_below_the_fastest_sample(self):
        pace = GenerationPace()
        for took_s in [1.0, 2.0, 1.2] * 4:
            pace.note_first_event(8000, took_s)
        self.assertLess(pace.shortest_s(8000), 1.0)
        self.assertGreater(pace.shortest_s(8000), 0.3)


class TestPromptLocations(unittest.TestCase):
    def setUp(self):
        self.clock = Clock()
        self.locations = PromptLocations(self.clock)

    def test_only_running_generations_are_reported(self):
        self.locations.begin("part", "e1")
        self.assertEqual(self.locations.running(), {"part": "e1"})
        self.locations.end("part")
        self.assertEqual(self.locations.running(), {})
        self.assertEqual(self.locations.find("part"), "e1")

    def test_location_expires(self):
        self.locations.update("part", "e1")
        self.clock.advance(11)
        self.assertEqual(self.locations.find("part"), "")
        self.locations.drop_expired()
        self.assertEqual(self.locations._locations, {})
