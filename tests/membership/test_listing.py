"""Lists of endpoints from the store and from other routers."""

import unittest

import logbook
import msgspec
from twisted.internet.task import Clock

from sesamearch.base.record import StoreRestored
from sesamearch.configuration.blackboard import Blackboard, Endpoint
from sesamearch.membership.listing import EndpointListing
from sesamearch.store.store import StoreRevision


def endpoint(name, leaving=False):
    return Endpoint(name, f"10.0.0.1:{name[1:]}", "east", "desk", "v1", leaving)


def at(number, era=1):
    return StoreRevision(era, number)


def listed(*endpoints):
    return {each.name: each for each in endpoints}


class TestEndpointListing(unittest.TestCase):
    def setUp(self):
        self.clock = Clock()
        self.board = Blackboard()
        self.regained_s = float("-inf")
        self.listing = EndpointListing(self.board, self.clock, lambda: self.regained_s)
        self.listing.apply_snapshot(listed(endpoint("e1"), endpoint("e2")), at(10))

    @property
    def names(self):
        return sorted(self.board.endpoints.value)

    def test_older_list_is_ignored(self):
        self.listing.apply_snapshot(listed(endpoint("e1")), at(9))
        self.assertEqual(self.names, ["e1", "e2"])

    def test_removed_endpoint_is_dropped(self):
        self.listing.apply_snapshot(listed(endpoint("e1")), at(11))
        self.assertEqual(self.names, ["e1"])

    def test_endpoint_that_expired_in_an_outage_is_kept_for_a_grace_time(self):
        self.clock.advance(100)
        self.regained_s = 100.0
        self.listing.apply_snapshot(listed(endpoint("e1")), at(11))
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
        self.listing.apply_snapshot(listed(endpoint("e1"), endpoint("e2")), at(10))
        self.clock.advance(100)
        self.regained_s = 100.0
        self.listing.apply_snapshot(listed(endpoint("e1")), at(11))
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
            listed(endpoint("e1"), endpoint("e2", leaving=True)), at(11)
        )
        self.listing.apply_snapshot(listed(endpoint("e1")), at(12))
        self.assertEqual(self.names, ["e1"])

    def test_endpoint_that_came_back_and_left_later_is_dropped(self):
        self.clock.advance(100)
        self.regained_s = 100.0
        self.listing.apply_snapshot(listed(endpoint("e1")), at(11))
        self.listing.apply_snapshot(listed(endpoint("e1"), endpoint("e2")), at(12))
        self.clock.advance(3)
        self.listing.apply_snapshot(listed(endpoint("e1")), at(13))
        self.assertEqual(self.names, ["e1"])

    def test_listener_gets_changes_with_the_digest_of_their_base(self):
        notified = []
        self.listing.on_change = lambda *change: notified.append(change)
        _, digest = self.listing.state()
        self.listing.apply_snapshot(
            listed(endpoint("e1", leaving=True), endpoint("e3")), at(11)
        )
        ((base_digest, revision, changed, removed),) = notified
        self.assertEqual((base_digest, revision), (digest, at(11)))
        self.assertEqual(sorted(each.name for each in changed), ["e1", "e3"])
        self.assertEqual(removed, ["e2"])

    def test_changes_based_on_the_same_list_are_applied(self):
        _, digest = self.listing.state()
        self.assertTrue(
            self.listing.apply_changes(digest, at(11), [endpoint("e3")], ["e1"])
        )
        self.assertEqual(self.names, ["e2", "e3"])

    def test_changes_based_on_another_list_are_rejected(self):
        self.assertFalse(self.listing.apply_changes("other", at(11), [], ["e1"]))
        _, digest = self.listing.state()
        self.assertFalse(self.listing.apply_changes(digest, at(10), [], ["e1"]))
        self.assertEqual(self.names, ["e1", "e2"])

    def test_equal_lists_have_equal_digests_at_any_revision(self):
        _, digest = self.listing.state()
        self.listing.apply_snapshot(listed(endpoint("e2"), endpoint("e1")), at(12))
        self.assertEqual(self.listing.state(), (at(12), digest))


class TestRestoredList(unittest.TestCase):
    def setUp(self):
        self.clock = Clock()
        self.board = Blackboard()
        self.listing = EndpointListing(
            self.board, self.clock, lambda: float("-inf"), lambda: True
        )
        self.apply(100, endpoint("e1"), endpoint("e2"))

    def apply(self, number, *endpoints, era=1):
        self.listing.apply_snapshot(listed(*endpoints), at(number, era))

    @property
    def found(self):
        return {name: each.leaving for name, each in self.board.endpoints.value.items()}

    def test_list_of_a_new_era_replaces_one_with_a_higher_revision(self):
        # Guards against a list that stays as it was when revisions went back.
        self.apply(50, endpoint("e1"), endpoint("e2"), endpoint("e3"), era=2)
        self.assertEqual(sorted(self.found), ["e1", "e2", "e3"])
        self.assertEqual(self.listing.state()[0], at(50, 2))

    def test_list_of_an_earlier_era_is_ignored(self):
        # Guards against a router that was cut off and passes on its old list.
        self.apply(50, endpoint("e1"), endpoint("e2"), era=2)
        self.apply(120, endpoint("e1"))
        _, digest = self.listing.state()
        self.assertFalse(self.listing.apply_changes(digest, at(130), [], ["e1"]))
        self.assertEqual(sorted(self.found), ["e1", "e2"])

    def test_endpoint_that_the_copy_lacks_has_time_to_be_written_again(self):
        # Guards against a live endpoint that is dropped with the copy.
        self.apply(50, endpoint("e1"), era=2)
        self.clock.advance(2.0)
        self.assertEqual(sorted(self.found), ["e1", "e2"])
        self.clock.advance(0.5)
        self.assertEqual(sorted(self.found), ["e1"])

    def test_leaving_endpoint_stays_leaving(self):
        # Guards against new work for an endpoint that is ready in the copy only.
        self.apply(101, endpoint("e1", leaving=True), endpoint("e2"))
        self.apply(50, endpoint("e1"), endpoint("e2"), era=2)
        self.assertEqual(self.found, {"e1": True, "e2": False})
        self.apply(50, endpoint("e1"), endpoint("e2"), era=3)
        self.assertEqual(self.found, {"e1": True, "e2": False})

    def test_leaving_endpoint_whose_restored_entry_ends_is_gone(self):
        # Guards against a leaving endpoint that is kept as one that has to write again.
        self.apply(101, endpoint("e1", leaving=True), endpoint("e2"))
        self.apply(50, endpoint("e1"), endpoint("e2"), era=2)
        self.apply(51, endpoint("e2"), era=2)
        self.assertEqual(self.found, {"e2": False})

    def test_gone_endpoint_whose_restored_entry_ends_stays_gone(self):
        # Guards against an ended endpoint that is kept as one that has to write again.
        self.apply(101, endpoint("e2"))
        self.apply(50, endpoint("e1"), endpoint("e2"), era=2)
        self.apply(51, endpoint("e2"), era=2)
        self.assertEqual(self.found, {"e2": False})

    def test_restarted_endpoint_is_ready(self):
        # Guards against a new process that inherits the end of the previous one.
        self.apply(101, endpoint("e1", leaving=True), endpoint("e2"))
        self.apply(50, endpoint("e1"), endpoint("e2"), era=2)
        born = msgspec.structs.replace(endpoint("e1"), born_ms=8)
        self.apply(51, born, endpoint("e2"), era=2)
        self.assertEqual(self.found, {"e1": False, "e2": False})

    def test_removed_endpoint_stays_gone_when_another_one_changes(self):
        # Guards against a change elsewhere that brings an ended endpoint back.
        self.apply(101, endpoint("e2"))
        self.apply(50, endpoint("e1"), endpoint("e2"), era=2)
        self.apply(51, endpoint("e1"), endpoint("e2"), endpoint("e3"), era=2)
        self.assertEqual(sorted(self.found), ["e2", "e3"])

    def test_process_that_another_replaced_is_gone(self):
        # Guards against work for an ended process whose name has a new one.
        second = msgspec.structs.replace(endpoint("e1"), born_ms=8)
        self.apply(101, endpoint("e1", leaving=True), endpoint("e2"))
        self.apply(102, second, endpoint("e2"))
        self.apply(50, endpoint("e1"), endpoint("e2"), era=2)
        self.assertEqual(self.board.endpoints.value["e1"], second)
        self.clock.advance(3)
        self.assertEqual(self.found, {"e2": False})
        self.apply(51, second, endpoint("e2"), era=2)
        self.assertEqual(self.board.endpoints.value["e1"], second)

    def test_earlier_process_in_the_copy_is_gone_though_it_was_never_listed(self):
        # Guards against a router that started after the earlier process had ended.
        second = msgspec.structs.replace(endpoint("e1"), born_ms=8)
        first = msgspec.structs.replace(endpoint("e1"), born_ms=7)
        listing = EndpointListing(self.board, self.clock, lambda: float("-inf"))
        listing.apply_snapshot(listed(second), at(100))
        listing.apply_snapshot(listed(first), at(50, 2))
        self.assertEqual(self.board.endpoints.value, listed(second))

    def test_removed_endpoint_stays_gone_until_its_entry_proves_to_be_live(self):
        # Guards against new work for an ended endpoint, and against a lost live one.
        self.apply(101, endpoint("e2"))
        self.apply(50, endpoint("e1"), endpoint("e2"), era=2)
        self.assertEqual(sorted(self.found), ["e2"])
        self.clock.advance(29)
        self.assertEqual(sorted(self.found), ["e2"])
        self.clock.advance(2)
        self.assertEqual(sorted(self.found), ["e1", "e2"])

    def test_endpoint_that_was_listed_again_before_the_restore_is_used(self):
        # Guards against an endpoint that is barred for an end that it survived.
        self.apply(101, endpoint("e2"))
        self.apply(102, endpoint("e1"), endpoint("e2"))
        self.apply(50, endpoint("e1"), endpoint("e2"), era=2)
        self.assertEqual(sorted(self.found), ["e1", "e2"])

    def test_first_list_is_no_restore(self):
        # Guards against a restore that is reported at each start.
        handler = logbook.TestHandler()
        with handler.applicationbound():
            listing = EndpointListing(self.board, self.clock, lambda: float("-inf"))
            listing.apply_snapshot(listed(endpoint("e1")), at(10, 7))
        found = [r.msg for r in handler.records if isinstance(r.msg, StoreRestored)]
        self.assertEqual(found, [])
