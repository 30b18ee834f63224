"""Messages of an earlier build, which states no era of the store."""

import unittest

import msgspec

from sesamearch.membership.fleet_message import (
    EndpointsDelta,
    FleetHeartbeat,
    FleetMessage,
)
from sesamearch.membership.member_list import RouterInfo
from sesamearch.membership.schema import revision_of
from sesamearch.store.store import StoreRevision

OWN = StoreRevision(3, 100)
SENDER = RouterInfo("r1", "10.0.0.1:1", "east", 1000, 5)


def decode(message, dropped):
    """Decode a message without the last `dropped` fields."""
    fields = msgspec.to_builtins(message)
    data = msgspec.msgpack.encode(fields[: len(fields) - dropped])
    return msgspec.msgpack.decode(data, type=FleetMessage)


class TestEarlierBuild(unittest.TestCase):
    # Guards against routers of two builds that ignore each other's lists.

    def test_heartbeat(self):
        beat = FleetHeartbeat(1, SENDER, False, 7, 101, "d", [], True, 3)
        found = decode(beat, 1)
        revision = revision_of(found.list_era, found.list_revision, OWN)
        self.assertGreater(revision, OWN)

    def test_changes(self):
        found = decode(EndpointsDelta("d", 101, [], [], 3), 1)
        self.assertEqual(revision_of(found.era, 101, OWN), StoreRevision(3, 101))

    def test_stated_era_decides(self):
        self.assertGreater(revision_of(4, 2, OWN), OWN)
        self.assertLess(revision_of(2, 900, OWN), OWN)


if __name__ == "__main__":
    unittest.main()
