import unittest

from twisted.internet.task import Clock

from sesamearch.forwarding.pace import GenerationPace
from sesamearch.forwarding.prompts import PromptLocations


class TestGenerationPace(unittest.TestCase):
    def test_nothing_is_impossible_before_something_was_seen(self):
        self.assertEqual(GenerationPace().shortest_s(8000), 0)

    def test_time_that_no_prompt_was_read_in(self):
        pace = GenerationPace()
        for took_s in [1.0, 2.0, 1.2] * 4:
            pace.note_first_event(8000, took_s)
        self.assertLess(pace.shortest_s(8000), 1.0)
        self.assertGreater(pace.shortest_s(8000), 0.3)


class TestPromptPlaces(unittest.TestCase):
    def setUp(self):
        self.clock = Clock()
        self.places = PromptLocations(self.clock)

    def test_running_generations_are_told_and_ended_ones_are_not(self):
        self.places.begin("part", "e1")
        self.assertEqual(self.places.running(), {"part": "e1"})
        self.places.end("part")
        self.assertEqual(self.places.running(), {})
        self.assertEqual(self.places.find("part"), "e1")

    def test_place_is_forgotten_after_a_while(self):
        self.places.update("part", "e1")
        self.clock.advance(11)
        self.assertEqual(self.places.find("part"), "")
        self.places.drop_expired()
        self.assertEqual(self.places._locations, {})
