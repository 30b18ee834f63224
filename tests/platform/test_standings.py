"""Standings of versions in the platform's store."""

from sesamearch.base.errors import ErrorKind
from sesamearch.platform.standings import (
    STANDING_PREFIX,
    read_standings,
    write_standings,
)
from sesamearch.routing.version_standing import Standing, VersionStanding
from sesamearch.store.store import Put, StoreRevision
from tests.platform.test_quarantine import StoreTestCase

REJECTED = VersionStanding("desk", "v2", Standing.REJECTED, StoreRevision(0, 5))
REPLACED = VersionStanding("desk", "v3", Standing.REPLACED, StoreRevision(0, 9))


class TestStoredStandings(StoreTestCase):
    def write(self, *standings):
        return self.wait(write_standings(self.store, "desk", list(standings)))

    def read(self):
        return self.wait(read_standings(self.store)).unwrap()

    def put_raw(self, value):
        self.world.store.state.txn([], [Put(STANDING_PREFIX + b"desk", value)])

    def test_standings_are_read_as_they_were_written(self):
        self.write(REJECTED, REPLACED)
        self.assertEqual(self.read(), [REJECTED, REPLACED])

    # Guards against a router that erases what another one wrote.
    def test_standings_are_added_to_those_of_others(self):
        self.write(REJECTED)
        self.assertEqual(self.write(REPLACED).unwrap(), [REJECTED, REPLACED])
        self.assertEqual(self.read(), [REJECTED, REPLACED])

    # Guards against writes of all routers where one is enough.
    def test_known_standings_are_not_written_again(self):
        self.write(REJECTED)
        self.write(REJECTED)
        self.assertEqual(self.world.store.calls["kv-txn"], 1)

    # Guards against a router that fails over what another writer left under the key.
    def test_entries_that_cannot_be_read_are_replaced(self):
        for value in (b"\xff", b"[]]", b'[{"version":"v2","standing":"odd"}]', b"{}"):
            with self.subTest(value=value):
                self.put_raw(value)
                self.assertEqual(self.read(), [])
                self.assertEqual(self.write(REJECTED).unwrap(), [REJECTED])
                self.assertEqual(self.read(), [REJECTED])

    def test_refusal_of_the_store_is_an_error(self):
        self.world.store.refusal = 503
        self.assertEqual(self.write(REJECTED).unwrap_err(), ErrorKind.STORE_UNAVAILABLE)
