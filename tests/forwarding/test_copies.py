import unittest

from twisted.internet.defer import Deferred

from sesamearch.forwarding.copies import CopyKeeper
from sesamearch.forwarding.dispatcher import ForwardCounters
from sesamearch.forwarding.request import MemoryCopy
from sesamearch.routing.table import EngineTraits, ServiceSpec
from tests.forwarding.test_choice import NEED
from tests.forwarding.test_choice import World as ChoiceWorld

ENGINE = EngineTraits(12, 88_000, 8, supports_backups=True, supports_moves=True)


class Client:
    """Records orders; the test answers them."""

    def __init__(self):
        self.orders = []
        self.freed = []

    def copy_memory(self, endpoint, request_id, target):
        made = Deferred()
        self.orders.append((endpoint.name, target.name, made))
        return made

    def free_memory(self, endpoint, copy):
        self.freed.append(copy)


class Tools:
    def __init__(self, world):
        self.clock = world.clock
        self.loads = world.loads
        self.chooser = world.chooser
        self.fleet = world.chooser._fleet
        self.client = Client()
        self.counters = ForwardCounters()


class TestCopyKeeper(unittest.TestCase):
    def setUp(self):
        self.world = ChoiceWorld(6)
        self.tools = Tools(self.world)
        self.endpoints = self.world.board.endpoints.value
        service = ServiceSpec("models", 100, ENGINE)
        self.keeper = CopyKeeper(
            self.tools,
            service,
            NEED,
            "r1",
            lambda endpoint: not self.world.health.is_down(endpoint.name),
        )
        self.address = self.keeper.begin(self.endpoints["e0"])

    def lose_holder(self):
        holder = self.tools.fleet.at_address(self.address)
        self.world.health.unreachable(holder.name)
        self.keeper.keep(self.endpoints["e0"])

    def held_tokens(self):
        return sum(load.memory_tokens for load in self.world.loads.own.values())

    def answer(self, number=-1):
        _, target, made = self.tools.client.orders[number]
        copy = MemoryCopy(self.endpoints[target].address, "10.0.0.0:1", "h1")
        made.callback(copy)
        return copy

    def test_copy_that_is_kept_needs_no_order(self):
        self.keeper.keep(self.endpoints["e0"])
        self.assertEqual(self.tools.client.orders, [])

    def test_ordered_copy_is_renewed_and_taken(self):
        self.lose_holder()
        copy = self.answer()
        self.keeper.keep(self.endpoints["e0"])
        self.assertEqual(len(self.tools.client.orders), 1)
        self.world.clock.advance(1.3)
        self.keeper.keep(self.endpoints["e0"])
        self.assertEqual(len(self.tools.client.orders), 2)
        holder, taken = self.keeper.take()
        self.assertEqual((holder.address, taken), (copy.holder_address, copy))

    def test_memory_is_counted_while_it_is_held(self):
        self.assertEqual(self.held_tokens(), NEED.memory_tokens)
        self.lose_holder()
        self.assertEqual(self.held_tokens(), 0)
        self.answer()
        self.assertEqual(self.held_tokens(), NEED.memory_tokens)
        self.keeper.close()
        self.assertEqual(self.held_tokens(), 0)

    def test_copy_that_comes_after_the_end_is_dropped(self):
        self.lose_holder()
        self.keeper.close()
        copy = self.answer()
        self.assertEqual(self.tools.client.freed, [copy])
        self.assertEqual(self.held_tokens(), 0)

    def test_copy_that_comes_after_the_run_moved_is_dropped(self):
        self.lose_holder()
        self.keeper.take()
        self.keeper.begin(self.endpoints["e2"])
        copy = self.answer()
        self.assertEqual(self.tools.client.freed, [copy])
        self.assertEqual(self.held_tokens(), NEED.memory_tokens)

    def test_refused_order_is_tried_again_later(self):
        self.lose_holder()
        self.tools.client.orders[0][2].callback(None)
        self.keeper.keep(self.endpoints["e0"])
        self.assertEqual(len(self.tools.client.orders), 1)
        self.world.clock.advance(1.3)
        self.lose_holder()
        self.assertEqual(len(self.tools.client.orders), 2)
