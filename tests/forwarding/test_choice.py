"""Endpoint choice under different load patterns and faults."""

import random
import unittest

from twisted.internet.task import Clock

from sesamearch.configuration.blackboard import Blackboard, Endpoint
from sesamearch.forwarding.choice import Chooser, GenerationNeed
from sesamearch.forwarding.dispatcher import ForwardCounters
from sesamearch.forwarding.endpoint_index import EndpointIndex
from sesamearch.forwarding.gate import OpenGate
from sesamearch.forwarding.health import HealthTracker
from sesamearch.forwarding.limits import LimitTracker
from sesamearch.forwarding.load import EndpointLoad, LoadTracker
from sesamearch.forwarding.pauses import PauseTracker
from sesamearch.forwarding.permits import NoPermits
from sesamearch.forwarding.request import EndpointAnswer
from sesamearch.routing.table import EngineTraits
from tests.forwarding.test_outage import make_outages

ENGINE = EngineTraits(slots=12, memory_tokens=88_000, event_tokens=8)
NEED = GenerationNeed(8000, 9000)


class World:
    """Endpoints e0, e1, ... that alternate between two data centres."""

    def __init__(self, count=4, service="models", seed=1):
        self.clock = Clock()
        self.board = Blackboard()
        self.health = HealthTracker(self.clock)
        self.loads = LoadTracker(self.clock)
        self.outages = make_outages(self.clock, self.board)
        self.pauses = PauseTracker(self.clock, ForwardCounters(), random.Random(1))
        self.limits = LimitTracker(self.clock, ForwardCounters())
        self.permits = NoPermits()
        endpoint_index = EndpointIndex(self.board, self.health)
        self.chooser = Chooser(
            endpoint_index,
            self.loads,
            self.health,
            "east",
            OpenGate(),
            self.outages,
            self.pauses,
            self.limits,
            self.permits,
            random.Random(seed),
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
    """A long prompt delays the generations that run on the same engine."""

    def test_idle_engine_is_preferred(self):
        world = World(2)
        world.begin("e0").prompt_was_read()
        self.assertEqual(world.choose(), "e1")

    def test_engine_reading_a_prompt_is_avoided(self):
        world = World(2)
        world.begin("e0")
        world.begin("e1").prompt_was_read()
        self.assertEqual(world.choose(), "e1")

    def test_short_unread_prompt_is_preferred_to_delaying_many_generations(self):
        world = World(2)
        world.begin("e0", unread_tokens=1000)
        world.begin("e1").prompt_was_read()
        world.begin("e1").prompt_was_read()
        world.begin("e1").prompt_was_read()
        self.assertEqual(world.choose(), "e0")

    def test_load_of_other_routers_counts(self):
        world = World(2)
        world.loads.update("other", {"e0": EndpointLoad(1, 8000, 9000)})
        self.assertEqual(world.choose(), "e1")

    def test_load_of_a_silent_router_is_dropped(self):
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

    def test_engine_with_full_memory_is_avoided(self):
        world = World(2)
        world.begin("e0", 0, 85_000)
        for _ in range(5):
            world.begin("e1", 0, 9000)
        self.assertEqual(world.choose(), "e1")

    def test_engine_that_is_down_is_avoided(self):
        world = World(2)
        world.health.note_unreachable("e0")
        world.begin("e1")
        self.assertEqual(world.choose(), "e1")

    def test_engine_that_is_down_is_chosen_if_all_are_down(self):
        world = World(1)
        world.health.note_unreachable("e0")
        self.assertEqual(world.choose(), "e0")

    def test_slow_engine_is_avoided(self):
        world = World(2)
        for _ in range(20):
            world.health.note_gap("e0", 0.060)
            world.health.note_gap("e1", 0.030)
        self.assertEqual({world.choose() for _ in range(10)}, {"e1"})

    def test_engine_without_measurement_counts_as_median(self):
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


class TestPartitionBetweenDataCentres(unittest.TestCase):
    """A partition breaks requests that run in another data centre."""

    def test_own_data_centre_is_preferred(self):
        world = World(4)
        self.assertEqual({world.choose() for _ in range(20)}, {"e0", "e2"})

    def test_local_engine_with_a_short_unread_prompt_beats_an_idle_remote_one(self):
        world = World(2)
        world.loads.update("other", {"e0": EndpointLoad(0, 1500, 0)})
        self.assertEqual(world.choose(), "e0")

    def test_remote_engine_is_preferred_to_delaying_local_generations(self):
        world = World(2)
        world.begin("e0").prompt_was_read()
        self.assertEqual(world.choose(), "e1")


class TestDataCentreCutOff(unittest.TestCase):
    """The engines of another data centre do not answer; the near ones are loaded."""

    def setUp(self):
        self.world = World(8)
        for name in ("e0", "e2", "e4", "e6"):
            for _ in range(8):
                self.world.begin(name)
        endpoints = self.world.board.endpoints.value
        for name in ("e1", "e3"):
            self.world.outages.note_unreachable(endpoints[name])

    def test_loaded_engine_that_can_be_reached_is_chosen(self):
        self.assertIn(self.world.choose(), {"e0", "e2", "e4", "e6"})

    def test_cut_off_engine_is_chosen_if_there_is_no_other(self):
        near = {"e0", "e2", "e4", "e6"}
        self.assertIn(self.world.choose(near), {"e1", "e3", "e5", "e7"})

    def test_answer_from_the_data_centre_ends_the_avoidance(self):
        endpoint = self.world.board.endpoints.value["e5"]
        self.world.outages.note_alive(endpoint)
        self.assertIn(self.world.choose(), {"e1", "e3", "e5", "e7"})


class TestBackups(unittest.TestCase):
    """Backups must survive the crash of a whole data centre."""

    def test_backup_is_in_another_data_centre(self):
        world = World(4)
        primary = world.board.endpoints.value["e0"]
        backup = world.chooser.for_backup(primary, ENGINE, NEED, "r")
        self.assertEqual(backup.data_centre, "west")

    def test_backup_of_a_remote_primary_is_local(self):
        world = World(4)
        primary = world.board.endpoints.value["e1"]
        backup = world.chooser.for_backup(primary, ENGINE, NEED, "r")
        self.assertEqual(backup.data_centre, "east")

    def test_backup_of_a_remote_primary_is_local_despite_an_idle_third_data_centre(
        self,
    ):
        world = World(4)
        south = Endpoint("s1", "10.0.1.1:1", "south", "models", "v1", slots=12)
        world.board.endpoints.write({**world.board.endpoints.value, "s1": south})
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
    """The engines of a data centre fail one after another.

    The engines that still seem reachable must be avoided before they fail, too.
    """

    def test_data_centre_with_unreachable_engines_is_avoided(self):
        world = World(8)
        for name in ("e0", "e2"):
            world.health.note_unreachable(name)
        for name in ("e1", "e3", "e5", "e7"):
            world.begin(name).prompt_was_read()
        self.assertIn(world.choose(), {"e1", "e3", "e5", "e7"})

    def test_replaced_engines_do_not_count_as_unreachable(self):
        world = World(8)
        for name in ("e0", "e2"):
            world.health.note_replaced(name)
        for name in ("e1", "e3", "e5", "e7"):
            world.begin(name).prompt_was_read()
        self.assertIn(world.choose(), {"e4", "e6"})

    def test_backup_avoids_a_data_centre_with_an_unreachable_engine(self):
        world = World(6)
        south = Endpoint("s1", "10.0.1.1:1", "south", "models", "v1", slots=12)
        endpoints = {**world.board.endpoints.value, "s1": south}
        world.board.endpoints.write(endpoints)
        world.begin("s1", 0, 20_000)
        world.health.note_unreachable("e1")
        primary = endpoints["e0"]
        backup = world.chooser.for_backup(primary, ENGINE, NEED, "r")
        self.assertEqual(backup.name, "s1")


class TestCalls(unittest.TestCase):
    """Calls are spread by the number of running calls and by failure ratio."""

    def test_idle_local_worker_is_preferred(self):
        self.assertEqual(World(2).call(), "e0")

    def test_remote_worker_is_chosen_if_the_local_one_is_busy(self):
        world = World(2)
        for _ in range(6):
            world.loads.begin("e0")
        self.assertEqual(world.call(), "e1")

    def test_worker_that_fails_more_often_than_others_is_avoided(self):
        world = World(4)
        for number in range(12):
            for name in ("e1", "e2", "e3"):
                world.health.note_answer(name, number % 7 == 0)
            world.health.note_answer("e0", number % 2 == 0)
        self.assertNotEqual(world.call(), "e0")


class TestManyEngines(unittest.TestCase):
    """The cost of a choice does not grow with the number of engines."""

    def test_number_of_compared_engines_is_bounded_and_an_idle_one_is_found(self):
        world = World(200)
        queried = []
        total = world.loads.total

        def count(name):
            queried.append(name)
            return total(name)

        world.loads = type("Loads", (), {"total": staticmethod(count)})()
        world.chooser._loads = world.loads
        chosen = world.chooser.for_generation("models", ENGINE, NEED, "r")
        self.assertLessEqual(len(queried), 24)
        self.assertTrue(total(chosen.name).is_empty)


class TestReusedAddress(unittest.TestCase):
    """Two listed endpoints have one address, since the process of one has ended."""

    def test_leaving_endpoint_yields_to_its_successor_in_any_order(self):
        world = World(1)
        leaving = Endpoint("old", "10.0.0.9:1", "east", "models", "v1", leaving=True)
        ready = Endpoint("new", "10.0.0.9:1", "east", "models", "v1")
        for listed in ((leaving, ready), (ready, leaving)):
            world.board.endpoints.write({each.name: each for each in listed})
            found = world.chooser._endpoint_index.at_address("10.0.0.9:1")
            self.assertEqual(found.name, "new")


class TestPausedEndpoints(unittest.TestCase):
    """An endpoint that asked for a pause gets nothing, whatever the others are like."""

    def setUp(self):
        self.world = World(2)
        self.endpoints = self.world.board.endpoints.value

    def pause(self, name, pause_s=3.0):
        answer = EndpointAnswer(503, b"", [], pause_s=pause_s)
        self.world.pauses.note_answer(self.endpoints[name], answer)

    def test_busy_endpoint_is_chosen_instead(self):
        self.pause("e0")
        for _ in range(11):
            self.world.begin("e1")
        self.assertEqual({self.world.choose() for _ in range(5)}, {"e1"})
        self.assertEqual(self.world.call(), "e1")

    def test_endpoint_that_is_down_is_chosen_instead(self):
        self.pause("e0")
        self.world.health.note_unreachable("e1")
        self.assertEqual(self.world.choose(), "e1")

    def test_none_is_chosen_if_all_are_paused(self):
        for name in ("e0", "e1"):
            self.pause(name)
            self.world.health.note_unreachable(name)
        self.assertIsNone(self.world.choose())
        self.assertIsNone(self.world.chooser.for_call("models", "r"))

    def test_paused_endpoint_gets_no_backup(self):
        self.pause("e1")
        backup = self.world.chooser.for_backup(self.endpoints["e0"], ENGINE, NEED, "r")
        self.assertIsNone(backup)

    def test_endpoint_is_chosen_after_its_pause(self):
        self.pause("e0", 0.5)
        self.world.clock.advance(0.6)
        self.assertEqual(self.world.call(), "e0")

    def test_sample_of_many_endpoints_holds_no_paused_one(self):
        self.world = World(200)
        self.endpoints = self.world.board.endpoints.value
        for name in list(self.endpoints)[:199]:
            self.pause(name)
        self.assertEqual({self.world.choose() for _ in range(9)}, {"e199"})
