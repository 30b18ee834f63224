import unittest

from twisted.internet.defer import Deferred

from sesamearch.forwarding.copies import CopyManager
from sesamearch.forwarding.dispatcher import ForwardCounters
from sesamearch.forwarding.request import MemoryCopy
from sesamearch.routing.table import EngineTraits, ServiceSpec
from tests.forwarding.test_choice import NEED
from tests.forwarding.test_choice import World as ChoiceWorld

ENGINE = EngineTraits(12, 88_000, 8, supports_backups=True, supports_moves=True)


class Client:
    """Records the requested copies; the test answers the requests."""

    def __init__(self):
        self.requests = []
        self.freed = []

    def copy_memory(self, endpoint, request_id, target):
        copied = Deferred()
        self.requests.append((endpoint.name, target.name, copied))
        return copied

    def free_memory(self, endpoint, copy):
        self.freed.append(copy)


class Tools:
    def __init__(self, world):
        self.clock = world.clock
        self.loads = world.loads
        self.chooser = world.chooser
        self.endpoint_index = world.chooser._endpoint_index
        self.client = Client()
        self.counters = ForwardCounters()


class TestCopyManager(unittest.TestCase):
    def setUp(self):
        self.world = ChoiceWorld(6)
        self.tools = Tools(self.world)
        self.endpoints = self.world.board.endpoints.value
        service = ServiceSpec("models", 100, ENGINE)
        self.manager = CopyManager(
            self.tools,
            service,
            NEED,
            "r1",
            lambda endpoint: not self.world.health.is_down(endpoint.name),
        )
        self.address = self.manager.begin(self.endpoints["e0"])

    def lose_backup(self):
        backup = self.tools.endpoint_index.at_address(self.address)
        self.world.health.note_unreachable(backup.name)
        self.manager.refresh(self.endpoints["e0"])

    def reserved_tokens(self):
        return sum(load.memory_tokens for load in self.world.loads.own.values())

    def answer(self, number=-1):
        _, target, copied = self.tools.client.requests[number]
        copy = MemoryCopy(self.endpoints[target].address, "10.0.0.0:1", "h1")
        copied.callback(copy)
        return copy

    def test_no_copy_is_requested_while_the_backup_is_usable(self):
        self.manager.refresh(self.endpoints["e0"])
        self.assertEqual(self.tools.client.requests, [])

    def test_requested_copy_is_renewed_and_found(self):
        self.lose_backup()
        copy = self.answer()
        self.manager.refresh(self.endpoints["e0"])
        self.assertEqual(len(self.tools.client.requests), 1)
        self.world.clock.advance(1.3)
        self.manager.refresh(self.endpoints["e0"])
        self.assertEqual(len(self.tools.client.requests), 2)
        backup, found = self.manager.find()
        self.assertEqual((backup.address, found), (copy.target_address, copy))

    def test_memory_of_the_copy_counts_as_load(self):
        self.assertEqual(self.reserved_tokens(), NEED.memory_tokens)
        self.lose_backup()
        self.assertEqual(self.reserved_tokens(), 0)
        self.answer()
        self.assertEqual(self.reserved_tokens(), NEED.memory_tokens)
        self.manager.close()
        self.assertEqual(self.reserved_tokens(), 0)

    def test_copy_that_arrives_after_the_end_is_freed(self):
        self.lose_backup()
        self.manager.close()
        copy = self.answer()
        self.assertEqual(self.tools.client.freed, [copy])
        self.assertEqual(self.reserved_tokens(), 0)

    def test_copy_requested_in_an_earlier_run_is_freed(self):
        self.lose_backup()
        self.manager.begin(self.endpoints["e2"])
        copy = self.answer()
        self.assertEqual(self.tools.client.freed, [copy])
        self.assertEqual(self.reserved_tokens(), NEED.memory_tokens)

    def test_failed_copy_is_requested_again_after_the_interval(self):
        self.lose_backup()
        self.tools.client.requests[0][2].callback(None)
        self.manager.refresh(self.endpoints["e0"])
        self.assertEqual(len(self.tools.client.requests), 1)
        self.world.clock.advance(1.3)
        self.lose_backup()
        self.assertEqual(len(self.tools.client.requests), 2)
