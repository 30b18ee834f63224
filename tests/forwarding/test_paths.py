import random
import unittest

from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from sesamearch.configuration.blackboard import Endpoint
from sesamearch.forwarding.paths import (
    MAX_PROBES,
    PROBE_INTERVAL_S,
    PROBE_TIMEOUT_S,
    PROBES,
    SETTLE_S,
    SUSPICION_INTERVAL_S,
    TRIAL_INTERVAL_S,
    PathTracker,
)


def make_endpoint(number, data_centre="east"):
    address = f"10.1.0.{number}:8000"
    return Endpoint(f"desk-{number}", address, data_centre, "desk", "v1")


class TestPathTracker(unittest.TestCase):
    def setUp(self):
        self.clock = Clock()
        self.clock.advance(100)
        self.endpoints = [make_endpoint(number) for number in range(6)]
        self.probed = []
        self.changes = []
        self.others_reach = True
        self.paths = PathTracker(
            self.probe,
            self.clock,
            lambda service: self.endpoints,
            random.Random(1),
        )
        self.paths.on_change = lambda service: self.changes.append(
            self.paths.is_cut(service)
        )
        self.paths.is_reached_elsewhere = lambda service: self.others_reach

    def probe(self, endpoint, timeout_s):
        answered = Deferred()
        self.probed.append((endpoint, answered))
        return answered

    def answer(self, is_alive, after_s=0.0):
        self.clock.advance(after_s)
        probed, self.probed = self.probed, []
        for _, answered in probed:
            answered.callback(is_alive)

    def fail(self, *numbers):
        for number in numbers:
            self.paths.note_failed(self.endpoints[number])

    def cut(self):
        self.fail(0, 1)
        self.answer(False, PROBE_TIMEOUT_S)

    def test_one_failure_among_answers_is_not_probed(self):
        self.paths.note_heard(self.endpoints[3])
        self.fail(0)
        self.assertEqual(self.probed, [])

    def test_first_failure_is_probed_where_nothing_is_heard(self):
        self.fail(0)
        self.assertEqual(len(self.probed), PROBES)
        self.assertNotIn(self.endpoints[0], [each for each, _ in self.probed])

    # Guards against: endpoints that end are taken for a path that this router lost.
    def test_two_failures_with_an_answer_elsewhere_leave_the_path_open(self):
        self.paths.note_heard(self.endpoints[3])
        self.fail(0, 1)
        self.answer(True)
        self.assertTrue(self.paths.is_open("desk"))
        self.assertEqual(self.changes, [])

    # Guards against: endpoints that fail now and then are probed all the time.
    def test_path_that_has_just_answered_is_not_probed_again(self):
        self.paths.note_heard(self.endpoints[3])
        self.fail(0, 1)
        self.answer(True)
        self.fail(0, 1, 2)
        self.assertEqual(self.probed, [])
        self.clock.advance(SUSPICION_INTERVAL_S)
        self.paths.note_heard(self.endpoints[3])
        self.fail(0, 1)
        self.assertEqual(len(self.probed), PROBES)

    def test_unanswered_probes_confirm_the_cut(self):
        self.cut()
        self.assertTrue(self.paths.is_cut("desk"))
        self.assertEqual(self.paths.cut_services, ["desk"])
        self.assertEqual(self.changes, [True])

    def test_probes_that_were_not_sent_confirm_nothing(self):
        self.fail(0, 1)
        self.answer(None)
        self.assertFalse(self.paths.is_cut("desk"))
        self.clock.advance(PROBE_INTERVAL_S)
        self.paths.check()
        self.assertEqual(len(self.probed), PROBES)

    def test_answers_on_old_connections_end_no_cut(self):
        self.cut()
        self.paths.note_heard(self.endpoints[3])
        self.assertTrue(self.paths.is_cut("desk"))
        self.paths.note_connected(self.endpoints[3])
        self.assertFalse(self.paths.is_cut("desk"))
        self.assertEqual(self.changes, [True, False])

    def test_path_is_used_again_after_a_probe(self):
        self.cut()
        self.clock.advance(PROBE_INTERVAL_S)
        self.paths.check()
        self.answer(True)
        self.assertTrue(self.paths.is_open("desk"))

    # Guards against: all routers probe the endpoints of a service that is down.
    def test_nothing_is_probed_while_no_router_reaches_the_service(self):
        self.others_reach = False
        self.cut()
        for _ in range(10):
            self.clock.advance(PROBE_INTERVAL_S)
            self.paths.check()
        self.assertEqual(self.probed, [])
        self.others_reach = True
        self.paths.note_reached_elsewhere("desk")
        self.assertEqual(len(self.probed), PROBES)

    # Guards against: requests wait one after the other for endpoints that are all gone.
    def test_requests_are_in_vain_once_all_endpoints_failed(self):
        self.cut()
        self.assertFalse(self.paths.is_in_vain("desk"))
        self.fail(*range(6))
        tried = sum(not self.paths.is_in_vain("desk") for _ in range(50))
        self.assertEqual(tried, 1)
        self.clock.advance(TRIAL_INTERVAL_S)
        self.assertFalse(self.paths.is_in_vain("desk"))

    def test_endpoints_of_several_data_centres_are_probed(self):
        self.endpoints += [make_endpoint(7, "west"), make_endpoint(8, "north")]
        self.fail(0, 1)
        probed = {endpoint.data_centre for endpoint, _ in self.probed}
        self.assertEqual(probed, {"east", "west", "north"})

    def test_flapping_path_must_answer_more_probes(self):
        self.cut()
        self.paths.note_connected(self.endpoints[0])
        self.cut()
        self.paths.note_connected(self.endpoints[0])
        self.assertTrue(self.paths.is_cut("desk"))
        self.paths.note_connected(self.endpoints[1])
        self.assertTrue(self.paths.is_open("desk"))

    # Guards against: what a router without a path sees counts against endpoints,
    # versions and requests.
    def test_findings_are_held_back_until_the_path_is_known(self):
        found = []
        self.paths.settle("desk", lambda: found.append("before"))
        self.fail(0, 1)
        self.paths.settle("desk", lambda: found.append("dropped"))
        self.answer(False, PROBE_TIMEOUT_S)
        self.paths.settle("desk", lambda: found.append("while cut off"))
        self.clock.advance(SETTLE_S)
        self.paths.note_connected(self.endpoints[0])
        self.clock.advance(60)
        self.fail(0, 1)
        self.paths.settle("desk", lambda: found.append("after"))
        self.answer(True)
        self.assertEqual(found, ["before", "after"])

    # Guards against: ends of all endpoints of a service under one request are taken for
    # a lost path, and the request goes on ending them.
    def test_findings_are_reported_if_no_router_reaches_the_service(self):
        found = []
        self.others_reach = False
        self.fail(0, 1)
        self.paths.settle("desk", lambda: found.append("held back"))
        self.answer(False, PROBE_TIMEOUT_S)
        self.assertEqual(found, [])
        self.clock.advance(SETTLE_S)
        self.assertEqual(found, ["held back"])

    # Guards against: some endpoints that ended are taken for a lost path.
    def test_refused_probes_are_repeated_at_other_endpoints(self):
        self.endpoints += [make_endpoint(number) for number in range(6, 30)]
        self.fail(0, 1)
        probed = set()
        while self.probed:
            probed.update(endpoint.name for endpoint, _ in self.probed)
            self.assertFalse(self.paths.is_cut("desk"))
            self.answer(False)
        self.assertEqual(len(probed), MAX_PROBES)
        self.assertTrue(self.paths.is_cut("desk"))

    def test_service_without_endpoints_is_cut_off(self):
        endpoint, self.endpoints = self.endpoints[0], []
        self.paths.note_failed(endpoint)
        self.assertTrue(self.paths.is_cut("desk"))
