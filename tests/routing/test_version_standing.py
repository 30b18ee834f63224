"""What orders showed of versions: merged in any order, and bounded."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from sesamearch.routing.version_standing import (
    MAX_VERSIONS,
    Standing,
    VersionStanding,
    VersionStandings,
)
from sesamearch.store.store import StoreRevision

_STANDINGS = st.builds(
    VersionStanding,
    st.just("desk"),
    st.sampled_from(("v1", "v2", "v3")),
    st.sampled_from(Standing),
    st.builds(StoreRevision, st.integers(0, 1), st.integers(1, 4)),
)


def make(standing, number, version="v2"):
    return VersionStanding("desk", version, standing, StoreRevision(0, number))


def merged(found):
    standings = VersionStandings()
    for each in found:
        standings.merge(each)
    return standings


class TestMerge(unittest.TestCase):
    # Guards against routers that end with different beliefs about a version.
    @settings(derandomize=True, deadline=None)
    @given(st.lists(_STANDINGS, max_size=12), st.randoms(use_true_random=False))
    def test_order_of_the_news_does_not_matter(self, found, rng):
        other = list(found)
        rng.shuffle(other)
        first, second = merged(found), merged(other)
        self.assertCountEqual(first.of_service("desk"), second.of_service("desk"))
        self.assertEqual(first.withheld("desk"), second.withheld("desk"))

    def test_later_order_ends_a_rejection(self):
        standings = merged([make(Standing.REJECTED, 5), make(Standing.ORDERED, 6)])
        self.assertIsNone(standings.withheld("desk"))

    # Guards against a rejection that an earlier message takes back.
    def test_news_of_an_earlier_order_changes_nothing(self):
        standings = merged([make(Standing.REJECTED, 5)])
        self.assertFalse(standings.merge(make(Standing.COMPLETED, 4)))
        self.assertEqual(standings.withheld("desk").rejected, {"v2"})

    # Guards against a version that is withheld although the store says complete.
    def test_completion_counts_more_than_a_rejection_of_the_same_order(self):
        standings = merged([make(Standing.REJECTED, 5), make(Standing.COMPLETED, 5)])
        self.assertIsNone(standings.withheld("desk"))

    # Guards against memory that grows with the age of the fleet.
    def test_standings_of_the_latest_orders_are_kept(self):
        count = MAX_VERSIONS + 3
        found = [make(Standing.REJECTED, n, f"v{n}") for n in range(count)]
        standings = merged(found)
        self.assertEqual(standings.withheld_count, MAX_VERSIONS)
        self.assertIsNone(standings.find("desk", "v0"))
        self.assertIsNotNone(standings.find("desk", f"v{count - 1}"))
