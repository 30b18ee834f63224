"""A configuration that changes while a request is under way."""

import unittest

from tests.platform.world import ROUTES, World, make_configuration, request_bytes

CHANGES = {
    "route goes": {"routes": ROUTES[2:]},
    "route moves": {"routes": [{**route, "service": "models"} for route in ROUTES[:2]]},
    "timeout shrinks": {
        "routes": [{**route, "timeout-ms": 50} for route in ROUTES[:2]]
    },
    "key goes": {"keys": ("other",)},
    "limits shrink": {
        "limits": {
            "max-header-bytes": 64,
            "max-body-bytes": 64,
            "header-timeout-ms": 50,
            "idle-timeout-ms": 50,
        }
    },
}
BODY = b"x" * 600


def operation(request_id="r1"):
    """Return an operation as bytes."""
    return request_bytes("/post/1", request_id, method="POST", body=BODY)


class TestChangeInFlight(unittest.TestCase):
    """Guards against a whole request that is dropped beside a change."""

    def test_request_that_was_passed_on_is_answered_by_its_endpoint(self):
        for name, change in CHANGES.items():
            with self.subTest(change=name):
                world = World()
                for desk in world.desks:
                    desk.work_s = 0.4
                client = world.connect().send(operation())
                world.run(0.1)
                world.store.put("op/config", make_configuration(8, **change))
                world.run(0.6)
                revision = world.routers[0].board.configuration.value.revision
                self.assertEqual((revision, client.status), (8, 200))

    def test_request_whose_body_is_still_coming_is_answered(self):
        for name, change in CHANGES.items():
            with self.subTest(change=name):
                world = World()
                data = operation()
                client = world.connect().send(data[:-300])
                world.store.put("op/config", make_configuration(8, **change))
                world.run(0.2)
                client.send(data[-300:])
                world.run(0.9)
                self.assertIn(client.status, (200, 401, 404, 413, 429, 503, 504))

    def test_next_request_on_a_kept_connection_is_answered(self):
        for name, change in CHANGES.items():
            with self.subTest(change=name):
                world = World()
                client = world.connect().send(operation("first"))
                world.run(0.1)
                world.store.put("op/config", make_configuration(8, **change))
                world.run(0.5)
                client.send(operation("second"))
                world.run(0.9)
                self.assertEqual(len(client.statuses), 2, client.statuses)
