"""Prompts that engines still hold: what they save, weighed against the wait."""

import unittest

import msgspec
from twisted.internet.task import Clock

from sesamearch.configuration.blackboard import Endpoint
from sesamearch.forwarding.held_prompts import (
    MAX_PARTS,
    MAX_TOLD_PARTS,
    RETENTION_S,
    HeldPrompts,
)
from sesamearch.forwarding.request import PromptPart
from tests.forwarding.test_choice import ENGINE, NEED, World

SYSTEM, DOSSIER, OWN = (
    PromptPart("system", 200),
    PromptPart("dossier", 6000),
    PromptPart("own", 1800),
)
PROMPT = [SYSTEM, DOSSIER, OWN]
PLENTY = 50_000


class TestHeldPrompts(unittest.TestCase):
    def setUp(self):
        self.clock = Clock()
        self.held = HeldPrompts(self.clock)

    def saved(self, parts=PROMPT, endpoint="e0", free_tokens=PLENTY):
        return self.held.saved_tokens(parts, endpoint, free_tokens)

    def test_whole_prompt_is_saved_where_it_was_just_read(self):
        self.held.note_read(PROMPT, "e0")
        self.assertEqual(self.saved(), 8000)
        self.assertEqual(self.saved(endpoint="e1"), 0)

    def test_part_saves_only_with_all_parts_before_it(self):
        self.held.note_read([SYSTEM, OWN], "e0")
        self.assertEqual(self.saved(), 200)
        self.held.note_read([SYSTEM, DOSSIER], "e0")
        self.assertEqual(self.saved(), 8000)

    def test_engine_whose_memory_is_in_use_holds_nothing(self):
        self.held.note_read(PROMPT, "e0")
        self.assertEqual(self.saved(free_tokens=0), 0)
        self.assertEqual(self.saved(free_tokens=7000), 6200)

    def test_saving_falls_with_age(self):
        self.held.note_read(PROMPT, "e0")
        self.clock.advance(RETENTION_S / 2)
        self.assertAlmostEqual(self.saved(), 200 + 7800 / 2)
        self.clock.advance(RETENTION_S)
        self.assertEqual(self.saved(), 200)

    def test_lost_engine_holds_nothing(self):
        self.held.note_read(PROMPT, "e0")
        self.held.forget("e0")
        self.assertEqual(self.saved(), 0)

    def test_engine_that_started_again_holds_nothing(self):
        engine = Endpoint("e0", "10.0.0.1:1", "east", "models", "v1", slots=12)
        self.held.discard_unlisted({"e0": engine})
        self.held.note_read(PROMPT, "e0")
        self.held.discard_unlisted({"e0": engine})
        self.assertEqual(self.saved(), 8000)
        self.held.discard_unlisted({"e0": msgspec.structs.replace(engine, born_ms=9)})
        self.assertEqual(self.saved(), 0)

    def test_other_routers_are_told_once(self):
        self.held.note_read(PROMPT, "e0")
        told = self.held.collect_untold()
        self.assertEqual(told, {"e0": ["dossier", "own"]})
        self.assertEqual(self.held.collect_untold(), {})
        other = HeldPrompts(self.clock)
        other.update(told)
        self.assertEqual(other.saved_tokens(PROMPT, "e0", PLENTY), 8000)

    def test_memory_is_bounded(self):
        for number in range(3 * MAX_PARTS):
            self.held.note_read([PromptPart(f"p{number}", 1000)], "e0")
        self.assertEqual(len(self.held._read_s["e0"]), MAX_PARTS)
        self.assertEqual(len(self.held.collect_untold()["e0"]), MAX_TOLD_PARTS)
        self.clock.advance(RETENTION_S + 1)
        self.held.drop_expired()
        self.assertEqual(self.held._read_s, {})


class TestChoice(unittest.TestCase):
    """One dossier is asked for again and again."""

    def setUp(self):
        self.world = World(4)
        self.held = HeldPrompts(self.world.clock)
        self.world.chooser._held = self.held
        self.held.note_read(PROMPT, "e1")

    def choose(self):
        chooser = self.world.chooser
        found = chooser.for_generation("models", ENGINE, NEED, "r", parts=PROMPT)
        return found.name

    def test_engine_that_holds_the_prompt_is_chosen(self):
        self.assertEqual(self.choose(), "e1")

    def test_queue_outweighs_what_is_saved(self):
        self.world.begin("e1", unread_tokens=4000)
        self.assertEqual(self.choose(), "e1")
        self.world.begin("e1", unread_tokens=4000)
        self.assertNotEqual(self.choose(), "e1")

    def test_hot_prompt_spreads_before_it_makes_a_queue(self):
        chosen = []
        for _ in range(12):
            name = self.choose()
            chosen.append(name)
            self.world.begin(name, unread_tokens=8000)
        self.assertLessEqual(max(map(chosen.count, set(chosen))), 5)
        self.assertEqual(len(set(chosen)), 4)

    def test_full_engine_is_not_chosen_for_what_it_held(self):
        for _ in range(9):
            self.world.begin("e1", unread_tokens=0)
        self.assertNotEqual(self.choose(), "e1")


if __name__ == "__main__":
    unittest.main()
