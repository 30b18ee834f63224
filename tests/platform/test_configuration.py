import unittest

import msgspec

from sesamearch.base.errors import ErrorKind
from sesamearch.platform.configuration import decode_configuration
from sesamearch.routing.table import RouteKind
from tests.platform.world import HOST, KEY, ROUTES, make_configuration


def decode(**more):
    content = make_configuration(**more)
    return decode_configuration(msgspec.json.encode(content)).unwrap()


class TestConfiguration(unittest.TestCase):
    def setUp(self):
        self.table = decode()

    def test_kinds_of_routes(self):
        kinds = [route.kind for route in self.table.routes]
        expected = [RouteKind.AT_MOST_ONCE, RouteKind.IDEMPOTENT, RouteKind.GENERATION]
        self.assertEqual(kinds, expected)

    def test_unknown_type_is_at_most_once(self):
        table = decode(routes=[{**ROUTES[1], "type": "other"}])
        self.assertIs(table.routes[0].kind, RouteKind.AT_MOST_ONCE)

    def test_times_in_seconds(self):
        draft = self.table.routes[2]
        self.assertEqual(
            (draft.timeout_s, draft.latency_goal_s, draft.gap_goal_s), (25.0, 4.5, 0.7)
        )
        self.assertEqual(self.table.limits.idle_timeout_s, 15.0)

    def test_split_of_a_route(self):
        split = [{"service": "a", "weight": 90}, {"service": "b", "weight": 10}]
        table = decode(routes=[{**ROUTES[1], "split": split}])
        weights = [(s.service, s.weight) for s in table.routes[0].services]
        self.assertEqual(weights, [("a", 90), ("b", 10)])

    def test_engines(self):
        self.assertIsNone(self.table.services["desk"].engine)
        engine = self.table.services["models"].engine
        self.assertEqual((engine.slots, engine.memory_tokens), (12, 88000))
        self.assertTrue(engine.supports_backups)

    def test_longest_prefix_wins(self):
        longer = {**ROUTES[1], "name": "longer", "prefix": "/look/far/"}
        table = decode(routes=[*ROUTES, longer])
        self.assertEqual(table.match(HOST, "/look/far/1").name, "longer")
        self.assertEqual(table.match(HOST, "/look/fa").name, "look")
        self.assertIsNone(table.match(HOST, "/looking/1"))
        self.assertIsNone(table.match("other.example", "/look/1"))

    def test_route_at_the_root(self):
        table = decode(routes=[{**ROUTES[1], "prefix": "/"}])
        self.assertEqual(table.match(HOST, "/anything").name, "look")

    def test_keys(self):
        organisation = self.table.organisation_of(KEY)
        self.assertEqual((organisation.name, organisation.priority), ("bench", 1))
        self.assertIsNone(self.table.organisation_of("other"))

    def test_problems_of_requests(self):
        route = self.table.routes[0]
        organisation = self.table.organisation_of(KEY)
        self.assertIsNone(self.table.problem_of(route, organisation))
        problem = self.table.problem_of(route, None)
        self.assertIs(problem.kind, ErrorKind.UNKNOWN_ORGANISATION)
        problem = self.table.problem_of(None, organisation)
        self.assertIs(problem.kind, ErrorKind.UNKNOWN_SERVICE)

    def test_without_organisations_no_key_is_required(self):
        content = make_configuration()
        del content["tenants"]
        table = decode_configuration(msgspec.json.encode(content)).unwrap()
        self.assertIsNone(table.problem_of(table.routes[0], None))

    def test_unknown_fields_are_ignored(self):
        self.assertEqual(decode(surprise={"a": 1}).revision, 7)

    def test_invalid_content_is_an_error(self):
        for value in (b"", b"{", b"[]", b'{"version": "x"}', b"\xff"):
            self.assertTrue(decode_configuration(value).is_err(), value)

    def test_configuration_for_other_routers_decodes_to_the_same_table(self):
        decoded = decode_configuration(self.table.to_json()).unwrap()
        self.assertEqual(decoded.revision, self.table.revision)
        self.assertEqual(len(decoded.routes), 3)
