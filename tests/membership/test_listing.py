"""Lists of endpoints, from the store and from other routers."""

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

    def test_older_list_is_left_out(self):
        self.listing.apply_snapshot(listed(endpoint("e1")), 9)
        self.assertEqual(self.names, ["e1", "e2"])

    def test_gone_entry_gets_no_work(self):
        self.listing.apply_snapshot(listed(endpoint("e1")), 11)
        self.assertEqual(self.names, ["e1"])

    def test_entry_that_lapsed_in_an_outage_is_kept_until_it_had_time_to_return(self):
        self.clock.advance(100)
        self.regained_s = 100.0
        self.listing.apply_snapshot(listed(endpoint("e1")), 11)
        self.assertEqual(self.names, ["e1", "e2"])
        self.clock.advance(2.0)
        self.assertEqual(self.names, ["e1", "e2"])
        self.clock.advance(0.5)
        self.assertEqual(self.names, ["e1"])

    def test_leaving_entry_is_not_kept(self):
        self.clock.advance(100)
        self.regained_s = 100.0
        self.listing.apply_snapshot(
            listed(endpoint("e1"), endpoint("e2", leaving=True)), 11
        )
        self.listing.apply_snapshot(listed(endpoint("e1")), 12)
        self.assertEqual(self.names, ["e1"])

    def test_entry_that_returned_and_left_later_is_gone(self):
        self.clock.advance(100)
        self.regained_s = 100.0
        self.listing.apply_snapshot(listed(endpoint("e1")), 11)
        self.listing.apply_snapshot(listed(endpoint("e1"), endpoint("e2")), 12)
        self.clock.advance(3)
        self.listing.apply_snapshot(listed(endpoint("e1")), 13)
        self.assertEqual(self.names, ["e1"])

    def test_changes_are_told_with_the_list_that_they_belong_to(self):
        told = []
        self.listing.on_change = lambda *change: told.append(change)
        _, digest = self.listing.state()
        self.listing.apply_snapshot(
            listed(endpoint("e1", leaving=True), endpoint("e3")), 11
        )
        ((base_digest, revision, changed, gone),) = told
        self.assertEqual((base_digest, revision), (digest, 11))
        self.assertEqual(sorted(each.name for each in changed), ["e1", "e3"])
        self.assertEqual(gone, ["e2"])

    def test_changes_of_the_own_list_are_applied(self):
        _, digest = self.listing.state()
        self.assertTrue(self.listing.apply(digest, 11, [endpoint("e3")], ["e1"]))
        self.assertEqual(self.names, ["e2", "e3"])

    def test_changes_of_another_list_are_left_out(self):
        self.assertFalse(self.listing.apply("other", 11, [], ["e1"]))
        _, digest = self.listing.state()
        self.assertFalse(self.listing.apply(digest, 10, [], ["e1"]))
        self.assertEqual(self.names, ["e1", "e2"])

    def test_equal_lists_have_equal_digests_at_any_revision(self):
        _, digest = self.listing.state()
        self.listing.apply_snapshot(listed(endpoint("e2"), endpoint("e1")), 12)
        self.assertEqual(self.listing.state(), (12, digest))
