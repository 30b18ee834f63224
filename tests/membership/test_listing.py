"""Lists of endpoints from the store and from other routers."""

import unittest

from twisted.internet.task import Clock

from sesamearch.configuration.blackboard import Blackboard, Endpoint
from sesamearch.membership.listing import EndpointListing


def endpoint(name, leaving=False):
    return Endpoint(name, f"10.0.0.1:{name[1:]}", "east", "desk", "v1", leaving)


def listed(*endpoints):
    return {each.name: each for each in endpoints}


class TestEndpointListing(unittest.TestCase):
    def setUp(self):
        self.clock = Clock()
        self.board = Blackboard()
        self.regained_s = float("-inf")
        self.listing = EndpointListing(self.board, self.clock, lambda: self.regained_s)
        self.listing.apply_snapshot(listed(endpoint("e1"), endpoint("e2")), 10)

    @property
    def names(self):
        return sorted(self.board.endpoints.value)

    def test_older_list_is_ignored(self):
        self.listing.apply_snapshot(listed(endpoint("e1")), 9)
        self.assertEqual(self.names, ["e1", "e2"])

    def test_removed_endpoint_is_dropped(self):
        self.listing.apply_snapshot(listed(endpoint("e1")), 11)
        self.assertEqual(self.names, ["e1"])

    def test_endpoint_that_expired_in_an_outage_is_kept_for_a_grace_time(self):
        self.clock.advance(100)
        self.regained_s = 100.0
        self.listing.apply_snapshot(listed(endpoint("e1")), 11)
        self.assertEqual(self.names, ["e1", "e2"])
        self.clock.advance(2.0)
        self.assertEqual(self.names, ["e1", "e2"])
        self.clock.advance(0.5)
        self.assertEqual(self.names, ["e1"])

    def lapse(self):
        self.is_reachable = True
        self.listing = EndpointListing(
            self.board, self.clock, lambda: self.regained_s, lambda: self.is_reachable
        )
        self.listing.apply_snapshot(listed(endpoint("e1"), endpoint("e2")), 10)
        self.clock.advance(100)
        self.regained_s = 100.0
        self.listing.apply_snapshot(listed(endpoint("e1")), 11)
        self.clock.advance(1.0)
        self.is_reachable = False

    def test_second_outage_within_the_grace_time_extends_it(self):
        self.lapse()
        self.clock.pump([0.1] * 30)
        self.assertEqual(self.names, ["e1", "e2"])
        self.is_reachable = True
        self.regained_s = self.clock.seconds()
        self.clock.pump([0.1] * 20)
        self.assertEqual(self.names, ["e1", "e2"])
        self.clock.pump([0.1] * 30)
        self.assertEqual(self.names, ["e1"])

    def test_lapsed_endpoint_is_dropped_in_a_long_outage(self):
        self.lapse()
        self.clock.pump([0.1] * 115)
        self.assertEqual(self.names, ["e1"])

    def test_leaving_endpoint_is_not_kept(self):
        self.clock.advance(100)
        self.regained_s = 100.0
        self.listing.apply_snapshot(
            listed(endpoint("e1"), endpoint("e2", leaving=True)), 11
        )
        self.listing.apply_snapshot(listed(endpoint("e1")), 12)
        self.assertEqual(self.names, ["e1"])

    def test_endpoint_that_came_back_and_left_later_is_dropped(self):
        self.clock.advance(100)
        self.regained_s = 100.0
        self.listing.apply_snapshot(listed(endpoint("e1")), 11)
        self.listing.apply_snapshot(listed(endpoint("e1"), endpoint("e2")), 12)
        self.clock.advance(3)
        self.listing.apply_snapshot(listed(endpoint("e1")), 13)
        self.assertEqual(self.names, ["e1"])

    def test_listener_gets_changes_with_the_digest_of_their_base(self):
        notified = []
        self.listing.on_change = lambda *change: notified.append(change)
        _, digest = self.listing.state()
        self.listing.apply_snapshot(
            listed(endpoint("e1", leaving=True), endpoint("e3")), 11
        )
        ((base_digest, revision, changed, removed),) = notified
        self.assertEqual((base_digest, revision), (digest, 11))
        self.assertEqual(sorted(each.name for each in changed), ["e1", "e3"])
        self.assertEqual(removed, ["e2"])

    def test_changes_based_on_the_same_list_are_applied(self):
        _, digest = self.listing.state()
        self.assertTrue(
            self.listing.apply_changes(digest, 11, [endpoint("e3")], ["e1"])
        )
        self.assertEqual(self.names, ["e2", "e3"])

    def test_changes_based_on_another_list_are_rejected(self):
        self.assertFalse(self.listing.apply_changes("other", 11, [], ["e1"]))
        _, digest = self.listing.state()
        self.assertFalse(self.listing.apply_changes(digest, 10, [], ["e1"]))
        self.assertEqual(self.names, ["e1", "e2"])

    def test_equal_lists_have_equal_digests_at_any_revision(self):
        _, digest = self.listing.state()
        self.listing.apply_snapshot(listed(endpoint("e2"), endpoint("e1")), 12)
        self.assertEqual(self.listing.state(), (12, digest))
