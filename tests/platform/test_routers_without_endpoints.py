import unittest

from sesamearch.standin.network import PathFault
from tests.platform.path_storm import CONTACT_S, PATHS, PathStorm

CUT_S = 8.0
# A router without a path serves at least this share of what the others serve.
MIN_RATIO = 0.9


def play(cut, faults, kinds, routers=9, seed=1):
    """Cut routers off all endpoints; return the shares served during and after it."""
    storm = PathStorm(routers, seed=seed)
    storm.send_for(2, kinds)
    began_s = storm.network.seconds()
    storm.cut_off(cut, faults)
    storm.send_for(CUT_S, kinds)
    ended_s = storm.network.seconds()
    storm.mend_all()
    storm.send_for(4, kinds)
    storm.run(3)
    during = storm.shares(began_s + CONTACT_S, ended_s)
    after = storm.shares(ended_s + 1, storm.network.seconds())
    return storm, during, after


class TestRoutersWithoutEndpoints(unittest.TestCase):
    def check(self, cut, faults, kinds, **more):
        storm, (at_cut, at_others), (after, _) = play(cut, faults, kinds, **more)
        self.assertGreaterEqual(at_others.ratio, 0.98, at_others)
        self.assertGreaterEqual(at_cut.ratio, MIN_RATIO * at_others.ratio, at_cut)
        self.assertGreaterEqual(after.ratio, 0.98, after)
        if kinds == ("unsafe",):
            self.assertEqual(storm.run_twice, [])

    # Guards against: a router whose bytes to all endpoints vanish refuses its callers.
    def test_router_whose_bytes_vanish_serves_through_others(self):
        self.check([1, 4, 7], (PathFault.SILENT,), ("safe",))

    # Guards against: a router whose connections to all endpoints are reset refuses its
    # callers, or sends a call that must not run twice again.
    def test_router_whose_connections_are_reset_serves_through_others(self):
        self.check([1, 4, 7], (PathFault.RESET,), ("unsafe",))

    # Guards against: a router that can open no connection to an engine refuses
    # generations.
    def test_router_that_can_open_no_connection_serves_through_others(self):
        self.check([1, 4, 7], (PathFault.NEW_REFUSED,), ("generation",))

    # Guards against: all routers of a data centre lose the path at once, each in
    # another way, and the others don't take over.
    def test_data_centre_whose_routers_are_cut_off_serves_through_others(self):
        self.check([0, 2, 4, 6, 8], tuple(PathFault), tuple(PATHS))
