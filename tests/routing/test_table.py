"""Routing table: order of requests whose organisations have priorities."""

import unittest

from sesamearch.routing.table import (
    LOWEST_URGENCY,
    Organisation,
    Route,
    RouteKind,
    RoutingTable,
    ServiceWeight,
)


def make_route(name, priority, service="models"):
    return Route(
        name=name,
        host="h",
        prefix=f"/{name}/",
        kind=RouteKind.GENERATION,
        timeout_s=25.0,
        latency_goal_s=4.0,
        priority=priority,
        services=[ServiceWeight(service, 1.0)],
        max_attempts=5,
    )


DESK, READER = make_route("desk", 0), make_route("reader", 2)
LARGE, SMALL = Organisation("large", ["a"], 0), Organisation("small", ["b"], 1)


class TestUrgency(unittest.TestCase):
    def setUp(self):
        self.table = RoutingTable(1, [DESK, READER], [], [LARGE, SMALL])

    def urgency(self, route, organisation, service="models"):
        return self.table.urgency_of(route, organisation, service)

    def test_routes_differ_where_organisations_have_the_same_priority(self):
        # Two kinds compete for the same engines, and each organisation has a priority.
        self.assertLess(self.urgency(DESK, SMALL), self.urgency(READER, SMALL))
        self.assertLess(self.urgency(DESK, LARGE), self.urgency(READER, LARGE))

    def test_priority_of_an_organisation_goes_before_that_of_a_route(self):
        self.assertLess(self.urgency(READER, LARGE), self.urgency(DESK, SMALL))

    def test_route_decides_without_organisations(self):
        self.table = RoutingTable(1, [DESK, READER], [])
        self.assertEqual(self.urgency(DESK, None), 0)
        self.assertEqual(self.urgency(READER, None), 1)

    def test_routes_of_other_services_do_not_count(self):
        others = [make_route(f"other-{n}", n, "other") for n in range(12)]
        self.table = RoutingTable(1, [DESK, READER, *others], [], [LARGE, SMALL])
        self.assertEqual(self.urgency(READER, SMALL), 3)

    def test_unknown_pair_is_least_urgent(self):
        unknown = Organisation("unknown", ["c"], 7)
        self.assertEqual(self.urgency(READER, unknown), LOWEST_URGENCY)


if __name__ == "__main__":
    unittest.main()
