"""Calls at endpoints that are silent: no refusal and no reset tells of it."""

import unittest

from sesamearch.configuration.platform_settings import PlatformBounds
from tests.platform.world import World, request_bytes


class _WorldWithoutRetries(World):
    """A world whose services have no retry budget."""

    bounds = PlatformBounds(retry_ratio=0.0, retry_slack=0.0)


def operation(request_id="r1", deadline_ms=300):
    """Return an operation as bytes."""
    return request_bytes(
        "/post/1", request_id, method="POST", X_Deadline_Ms=str(deadline_ms)
    )


def runs(world):
    """Return how often the workers ran a request."""
    return sum(len(desk.runs) for desk in world.desks)


class TestConnectionNeverMade(unittest.TestCase):
    """No endpoint got the request, so it may go elsewhere."""

    def check_answered_elsewhere(self, make_world, lose, data):
        for lost in (0, 1):
            world = make_world()
            lose(world, world.desks[lost])
            client = world.send_request(data, wait_s=0.3)
            self.assertEqual(client.status, 200, f"desk-{lost} lost")
            self.assertEqual(runs(world), 1)

    def test_operation_with_little_time_left_goes_elsewhere(self):
        # Guards against a connection attempt that uses up the caller's time.
        self.check_answered_elsewhere(World, make_dark, operation())

    def test_call_with_little_time_left_goes_elsewhere_without_a_hedge(self):
        # Guards against the same for a call that the retry budget does not hedge.
        data = request_bytes("/look/1", X_Deadline_Ms="300")
        self.check_answered_elsewhere(_WorldWithoutRetries, make_dark, data)

    def test_operation_needs_no_retry_budget_after_a_refused_connection(self):
        # Guards against a refusal although no endpoint got the request.
        self.check_answered_elsewhere(_WorldWithoutRetries, refuse, operation())

    def test_last_live_endpoint_of_many_is_found(self):
        # Guards against a limit of sends that counts failed connections.
        world = World(desks=12)
        for desk in world.desks[:-1]:
            refuse(world, desk)
        client = world.send_request(operation(), wait_s=0.3)
        self.assertEqual(client.status, 200)

    def test_operation_is_refused_in_time_if_all_endpoints_are_dark(self):
        # Guards against a caller that hears nothing, and against a 504 that keeps it
        # from a retry although nothing ran.
        world = World(desks=6)
        for desk in world.desks:
            make_dark(world, desk)
        client = world.send_request(operation(), wait_s=0.29)
        self.assertEqual(client.status, 503)


class TestKeptConnectionGoesDark(unittest.TestCase):
    """The request was written, so an operation may have run."""

    def test_operation_gets_504_in_time_and_is_not_sent_again(self):
        # Guards against a second run, and against a caller that hears nothing.
        world = World()
        for number in range(8):
            world.send_request(operation(f"warm-{number}"), wait_s=0.05)
        before = world.routers[0].counters.tries
        for connection in world.network.connections:
            if connection.protocol.__class__.__name__ == "_FirstRequestConnection":
                connection.go_silent()
        client = world.send_request(operation(deadline_ms=500), wait_s=0.49)
        self.assertEqual(client.status, 504)
        self.assertEqual(world.routers[0].counters.tries, before + 1)
        self.assertEqual(runs(world), 8)


def make_dark(world, desk):
    """Let connection attempts at a worker hang."""
    world.network.blackholed.add(desk.address)


def refuse(world, desk):
    """Let connection attempts at a worker fail at once."""
    world.network.close(desk.address)
