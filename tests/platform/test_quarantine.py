"""Quarantines in the platform's store, and what operators read and lift."""

import unittest

from twisted.internet.defer import Deferred

from sesamearch.base.errors import ErrorKind
from sesamearch.platform.quarantine import (
    QUARANTINE_PREFIX,
    PlatformQuarantineRegister,
    decode_quarantine,
    lift_quarantine,
    read_quarantines,
)
from sesamearch.platform.store import PlatformStore
from sesamearch.quarantine.entry import Quarantine
from tests.platform.prompt_storm import FATAL_PART, PromptStorm
from tests.platform.world import STORE, World


class StoreTestCase(unittest.TestCase):
    def setUp(self):
        self.world = World(routers=0, desks=0, engines=0)
        self.store = PlatformStore(self.world.network, STORE)
        self.register = PlatformQuarantineRegister(self.store)

    def wait(self, awaited):
        results = []
        if not isinstance(awaited, Deferred):
            awaited = Deferred.fromCoroutine(awaited)
        awaited.addCallback(results.append)
        self.world.run(1)
        return results[0]


class TestRegister(StoreTestCase):
    def test_entry_is_read_as_it_was_written(self):
        entry = Quarantine(["5c1e", "91bd"], 3, True, 2)
        self.assertTrue(self.wait(self.register.write(entry)).unwrap())
        self.assertEqual(self.wait(read_quarantines(self.store)).unwrap(), [entry])

    # Guards against two routers that both let a request through.
    def test_the_same_change_is_written_once(self):
        entry = Quarantine(["5c1e"], 1)
        first = self.register.write(entry)
        second = PlatformQuarantineRegister(self.store).write(entry)
        written = [self.wait(first).unwrap(), self.wait(second).unwrap()]
        self.assertEqual(sorted(written), [False, True])

    def test_earlier_change_is_not_written(self):
        self.wait(self.register.write(Quarantine(["5c1e"], 2)))
        written = self.wait(self.register.write(Quarantine(["5c1e"], 1, False)))
        self.assertFalse(written.unwrap())

    def test_unreadable_entry_is_replaced(self):
        entry = Quarantine(["5c1e"], 1)
        self.wait(self.register.write(entry))
        (key,) = self.world.store.state.items.keys() - {b"op/config"}
        self.world.store.put(key.decode(), b"{")
        self.assertTrue(self.wait(self.register.write(entry)).unwrap())

    def test_store_that_is_away_is_an_error(self):
        self.world.network.close(STORE)
        written = self.register.write(Quarantine(["5c1e"], 1))
        self.assertEqual(self.wait(written).unwrap_err(), ErrorKind.STORE_UNAVAILABLE)

    def test_key_is_bounded_for_many_parts(self):
        entry = Quarantine([f"{n:08x}" for n in range(100)], 1)
        self.wait(self.register.write(entry))
        found = [k for k in self.world.store.state.items if b"quarantine" in k]
        self.assertLess(len(found[0]), 200)

    def test_invalid_entries_are_not_decoded(self):
        for value in (b"", b"{}", b'{"parts":[],"change":1,"is-active":true}'):
            with self.subTest(value=value):
                self.assertTrue(decode_quarantine(value).is_err())


class TestLift(StoreTestCase):
    def test_unknown_parts_are_an_error(self):
        lifted = self.wait(lift_quarantine(self.store, ["5c1e"]))
        self.assertEqual(lifted.unwrap_err().kind, ErrorKind.BAD_REQUEST)

    # Guards against a quarantine that only its own trials could end.
    def test_operator_lifts_a_quarantine_for_all_routers(self):
        storm = PromptStorm(4, 12)
        storm.send_mixed(2, fatal_share=0.0)
        while not storm.refuses_everywhere():
            storm.send_mixed(1)
        storm.run(1)
        storm.make_harmless()
        self.world = storm
        store = PlatformStore(storm.network, STORE)
        lifted = self.wait(lift_quarantine(store, [FATAL_PART]))
        self.assertFalse(lifted.unwrap().is_active)
        storm.run(2)
        request = storm.send(("5c1e", FATAL_PART))
        storm.run(4)
        self.assertTrue(request.is_whole)
        stored = [
            item.value
            for key, item in storm.store.state.items.items()
            if key.startswith(QUARANTINE_PREFIX) and FATAL_PART.encode() in item.value
        ]
        self.assertEqual(len(stored), 1)

    # Guards against many engines that end if an operator lifts too early.
    def test_part_that_is_still_fatal_is_refused_again_after_one_engine(self):
        storm = PromptStorm(4, 12)
        storm.send_mixed(2, fatal_share=0.0)
        while not storm.refuses_everywhere():
            storm.send_mixed(1)
        storm.run(1)
        self.world = storm
        store = PlatformStore(storm.network, STORE)
        self.wait(lift_quarantine(store, [FATAL_PART]))
        storm.run(2)
        ended = len(storm.ended_s)
        storm.send(("5c1e", FATAL_PART))
        storm.run(4)
        self.assertEqual(len(storm.ended_s), ended + 1)
        self.assertTrue(all(r._quarantine.active_count for r in storm.routers))
