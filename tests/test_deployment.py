import unittest

from tests.deployment import EPHEMERAL_PORT, claim_ports

PORTS = 300


class TestClaimPorts(unittest.TestCase):
    def test_two_runs_at_once_never_get_the_same_port(self):
        runs = [claim_ports(), claim_ports()]
        first, second = ({next(run) for _ in range(PORTS)} for run in runs)
        self.assertEqual(len(first | second), 2 * PORTS)
        self.assertLess(max(first | second), EPHEMERAL_PORT)
        for run in runs:
            run.close()
