"""Where work goes: patterns of load and the endpoint that each one leads to."""

import random
import unittest

from twisted.internet.task import Clock

from sesamearch.configuration.blackboard import Blackboard, Endpoint
from sesamearch.forwarding.choice import Chooser, GenerationNeed
from sesamearch.forwarding.fleet import Fleet
from sesamearch.forwarding.gate import OpenGate
from sesamearch.forwarding.health import HealthTracker
from sesamearch.forwarding.load import EndpointLoad, LoadTracker
from sesamearch.routing.table import EngineTraits

ENGINE = EngineTraits(slots=12, memory_tokens=88_000, event_tokens=8)
NEED = GenerationNeed(8000, 9000)


class World:
    """Endpoints e0, e1, ... by turns in two data centres."""

    def __init__(self, count=4, service="models"):
        self.clock = Clock()
        self.board = Blackboard()
        self.health = HealthTracker(self.clock)
        self.loads = LoadTracker(self.clock)
        fleet = Fleet(self.board, self.health)
        self.chooser = Chooser(
            fleet, self.loads, self.health, "east", OpenGate(), random.Random(1)
        )
        endpoints = [
            Endpoint(
                f"e{number}",
                f"10.0.0.{number}:1",
                "east" if number % 2 == 0 else "west",
                service,
                "v1",
                slots=12,
            )
            for number in range(count)
        ]
        self.board.endpoints.write({each.name: each for each in endpoints})

    def begin(self, name, unread_tokens=8000, memory_tokens=9000):
        work = self.loads.begin(name, unread_tokens, memory_tokens)
        return work

    def choose(self, excluded=frozenset()):
        chosen = self.chooser.for_generation("models", ENGINE, NEED, "r", excluded)
        return chosen.name if chosen else None

    def call(self):
        return self.chooser.for_call("models", "r").name


class TestLongPrompts(unittest.TestCase):
    """Long prompts delay all that runs beside them."""

    def test_idle_engine_goes_first(self):
        world = World(2)
        world.begin("e0").prompt_was_read()
        self.assertEqual(world.choose(), "e1")

    def test_engine_that_reads_a_prompt_is_passed_over(self):
        world = World(2)
        world.begin("e0")
        world.begin("e1").prompt_was_read()
        self.assertEqual(world.choose(), "e1")

    def test_fewer_delayed_generations_go_before_a_prompt_that_is_nearly_read(self):
        world = World(2)
        world.begin("e0", unread_tokens=1000)
        world.begin("e1").prompt_was_read()
        world.begin("e1").prompt_was_read()
        world.begin("e1").prompt_was_read()
        self.assertEqual(world.choose(), "e0")

    def test_work_of_the_other_routers_counts(self):
        world = World(2)
        world.loads.update("other", {"e0": EndpointLoad(1, 8000, 9000)})
        self.assertEqual(world.choose(), "e1")

    def test_work_of_a_router_that_went_silent_is_forgotten(self):
        world = World(1)
        world.loads.update("other", {"e0": EndpointLoad(1, 8000, 9000)})
        world.clock.advance(4)
        world.loads.drop_silent_peers()
        self.assertTrue(world.loads.total("e0").is_empty)

    def test_burst_is_spread_over_all_engines(self):
        world = World(6)
        for _ in range(6):
            world.begin(world.choose())
        running = [world.loads.total(f"e{n}").running for n in range(6)]
        self.assertEqual(running, [1] * 6)

    def test_full_memory_is_passed_over(self):
        world = World(2)
        world.begin("e0", 0, 85_000)
        for _ in range(5):
            world.begin("e1", 0, 9000)
        self.assertEqual(world.choose(), "e1")

    def test_engine_that_is_down_is_passed_over(self):
        world = World(2)
        world.health.unreachable("e0")
        world.begin("e1")
        self.assertEqual(world.choose(), "e1")

    def test_all_down_is_better_than_none(self):
        world = World(1)
        world.health.unreachable("e0")
        self.assertEqual(world.choose(), "e0")

    def test_slow_engine_gets_less(self):
        world = World(2)
        for _ in range(20):
            world.health.note_gap("e0", 0.060)
            world.health.note_gap("e1", 0.030)
        self.assertEqual({world.choose() for _ in range(10)}, {"e1"})

    def test_unmeasured_engine_counts_as_an_ordinary_one(self):
        world = World(4)
        for _ in range(20):
            world.health.note_gap("e0", 0.060)
            world.health.note_gap("e1", 0.030)
            world.health.note_gap("e3", 0.030)
        self.assertIn("e2", {world.choose() for _ in range(30)})

    def test_excluded_engine_is_not_chosen(self):
        world = World(2)
        self.assertEqual(world.choose({"e0"}), "e1")
        self.assertIsNone(world.choose({"e0", "e1"}))


class TestCutBetweenDataCentres(unittest.TestCase):
    """A data centre is cut off from the others with what runs across the cut."""

    def test_own_data_centre_goes_first(self):
        world = World(4)
        self.assertEqual({world.choose() for _ in range(20)}, {"e0", "e2"})

    def test_prompt_that_is_nearly_read_here_goes_before_an_idle_remote_engine(self):
        world = World(2)
        world.loads.update("other", {"e0": EndpointLoad(0, 1500, 0)})
        self.assertEqual(world.choose(), "e0")

    def test_another_data_centre_is_taken_before_generations_are_delayed(self):
        world = World(2)
        world.begin("e0").prompt_was_read()
        self.assertEqual(world.choose(), "e1")


class TestBackups(unittest.TestCase):
    """A whole data centre crashes at once."""

    def test_backup_lies_in_another_data_centre(self):
        world = World(4)
        primary = world.board.endpoints.value["e0"]
        backup = world.chooser.for_backup(primary, ENGINE, NEED, "r")
        self.assertEqual(backup.data_centre, "west")

    def test_backup_of_a_remote_primary_lies_here(self):
        world = World(4)
        primary = world.board.endpoints.value["e1"]
        backup = world.chooser.for_backup(primary, ENGINE, NEED, "r")
        self.assertEqual(backup.data_centre, "east")

    def test_backup_of_a_remote_primary_lies_here_though_a_third_place_is_idle(self):
        world = World(4)
        spare = Endpoint("s1", "10.0.1.1:1", "south", "models", "v1", slots=12)
        world.board.endpoints.write({**world.board.endpoints.value, "s1": spare})
        for name in ("e0", "e2"):
            world.begin(name, 0, 9000)
        primary = world.board.endpoints.value["e1"]
        backup = world.chooser.for_backup(primary, ENGINE, NEED, "r")
        self.assertEqual(backup.data_centre, "east")

    def test_backup_needs_room(self):
        world = World(2)
        world.begin("e1", 0, 85_000)
        primary = world.board.endpoints.value["e0"]
        self.assertIsNone(world.chooser.for_backup(primary, ENGINE, NEED, "r"))


class TestCrashOfADataCentre(unittest.TestCase):
    """Engines of one data centre go down one after the other."""

    def test_engines_where_others_cannot_be_reached_come_last(self):
        world = World(8)
        for name in ("e0", "e2"):
            world.health.unreachable(name)
        for name in ("e1", "e3", "e5", "e7"):
            world.begin(name).prompt_was_read()
        self.assertIn(world.choose(), {"e1", "e3", "e5", "e7"})

    def test_engines_that_are_back_under_other_names_are_no_trouble(self):
        world = World(8)
        for name in ("e0", "e2"):
            world.health.replaced(name)
        for name in ("e1", "e3", "e5", "e7"):
            world.begin(name).prompt_was_read()
        self.assertIn(world.choose(), {"e4", "e6"})

    def test_no_copy_is_kept_where_engines_go_down(self):
        world = World(6)
        spare = Endpoint("s1", "10.0.1.1:1", "south", "models", "v1", slots=12)
        endpoints = {**world.board.endpoints.value, "s1": spare}
        world.board.endpoints.write(endpoints)
        world.begin("s1", 0, 20_000)
        world.health.unreachable("e1")
        primary = endpoints["e0"]
        backup = world.chooser.for_backup(primary, ENGINE, NEED, "r")
        self.assertEqual(backup.name, "s1")


class TestCalls(unittest.TestCase):
    """Many short calls on few workers."""

    def test_idle_own_data_centre_goes_first(self):
        self.assertEqual(World(2).call(), "e0")

    def test_busy_own_data_centre_is_left(self):
        world = World(2)
        for _ in range(6):
            world.loads.begin("e0")
        self.assertEqual(world.call(), "e1")

    def test_worker_that_fails_more_often_than_the_others_is_left(self):
        world = World(4)
        for number in range(12):
            for name in ("e1", "e2", "e3"):
                world.health.answered(name, number % 7 == 0)
            world.health.answered("e0", number % 2 == 0)
        self.assertNotEqual(world.call(), "e0")


class TestManyEngines(unittest.TestCase):
    """The cost of a choice does not grow with the fleet."""

    def test_bounded_number_is_compared_and_an_idle_one_found(self):
        world = World(200)
        asked = []
        total = world.loads.total

        def count(name):
            asked.append(name)
            return total(name)

        world.loads = type("Loads", (), {"total": staticmethod(count)})()
        world.chooser._loads = world.loads
        chosen = world.chooser.for_generation("models", ENGINE, NEED, "r")
        self.assertLessEqual(len(asked), 24)
        self.assertTrue(total(chosen.name).is_empty)
