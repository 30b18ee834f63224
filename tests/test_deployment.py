import unittest

from tests.deployment import FIRST_EPHEMERAL_PORT, reserve_ports

PORTS_PER_ALLOCATOR = 300


class TestReservePorts(unittest.TestCase):
    def test_concurrent_allocators_never_yield_the_same_port(self):
        allocators = [reserve_ports(), reserve_ports()]
        first, second = (
            {next(allocator) for _ in range(PORTS_PER_ALLOCATOR)}
            for allocator in allocators
        )
        self.assertEqual(len(first | second), 2 * PORTS_PER_ALLOCATOR)
        self.assertLess(max(first | second), FIRST_EPHEMERAL_PORT)
        for allocator in allocators:
            allocator.close()
