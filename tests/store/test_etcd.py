"""Tests of the etcd client against the stand-in, over loopback connections."""

import msgspec
from twisted.internet import reactor
from twisted.internet.defer import Deferred
from twisted.internet.task import deferLater
from twisted.trial import unittest
from twisted.web.server import Site

from sesamearch.base.errors import ErrorKind
from sesamearch.configuration.configuration import Configuration
from sesamearch.configuration.follower import CONFIGURATION_KEY
from sesamearch.configuration.publisher import (
    HISTORY_ENTRIES,
    diff_configurations,
    publish,
    read_configuration,
    read_history,
)
from sesamearch.configuration.settings import StoreSettings
from sesamearch.standin.store import StandinStore
from sesamearch.store.etcd import EtcdStore
from sesamearch.store.store import Comparison, Put, WatchReceiver
from tests.support import TICKETING


class FirstChange(WatchReceiver):
    def __init__(self):
        self.puts = Deferred()

    def changed(self, puts, revision):
        self.puts.callback(puts)

    def ended(self):
        pass


class AllChanges(WatchReceiver):
    def __init__(self):
        self.keys = []

    def changed(self, puts, revision):
        self.keys += [put.key for put in puts]

    def ended(self):
        pass


class StoreCase:
    def setUp(self):
        self.standin = StandinStore(reactor, {b"/a/1": b"one"})
        self.port = reactor.listenTCP(
            0, Site(self.standin.app.resource()), interface="127.0.0.1"
        )
        address = f"127.0.0.1:{self.port.getHost().port}"
        self.settings = StoreSettings([address])
        self.store = EtcdStore(reactor, self.settings)
        self.addCleanup(self.port.stopListening)
        self.addCleanup(self.store.close)


class EtcdStoreTest(StoreCase, unittest.TestCase):
    async def test_range_txn_and_comparison(self):
        reply = (await self.store.range(b"/a/")).unwrap()
        self.assertEqual([item.value for item in reply.items], [b"one"])
        stale = [Comparison(b"/a/1", 0)]
        refused = (await self.store.txn(stale, [Put(b"/a/1", b"two")])).unwrap()
        self.assertFalse(refused.succeeded)
        self.assertEqual(refused.found[0].value, b"one")
        fresh = [Comparison(b"/a/1", refused.found[0].mod_revision)]
        done = (await self.store.txn(fresh, [Put(b"/a/1", None)])).unwrap()
        self.assertTrue(done.succeeded)
        self.assertEqual((await self.store.range(b"/a/")).unwrap().items, [])

    async def test_lease(self):
        lease = (await self.store.grant_lease(60)).unwrap()
        self.assertTrue((await self.store.renew_lease(lease)).unwrap())
        self.assertFalse((await self.store.renew_lease(lease + 1)).unwrap())

    async def test_watch_reports_changes_after_its_revision(self):
        reply = (await self.store.range(b"/a/")).unwrap()
        receiver = FirstChange()
        watch = self.store.watch(b"/a/", reply.revision, receiver)
        await self.store.txn([], [Put(b"/b/1", b"x"), Put(b"/a/2", b"two")])
        puts = await receiver.puts
        self.assertEqual([(put.key, put.value) for put in puts], [(b"/a/2", b"two")])
        watch.cancel()

    # Guards against: a watch whose connection fell silent is never begun again.
    async def test_change_is_reported_though_the_watch_fell_silent(self):
        store = EtcdStore(reactor, self.settings, watch_renewal_s=0.2)
        self.addCleanup(store.close)
        reply = (await store.range(b"/a/")).unwrap()
        receiver = FirstChange()
        watch = store.watch(b"/a/", reply.revision, receiver)
        while not self.standin.state.watches:
            await deferLater(reactor, 0.01)
        self.standin.silence_watches()
        await store.txn([], [Put(b"/a/2", b"two")])
        puts = await receiver.puts
        self.assertEqual([(put.key, put.value) for put in puts], [(b"/a/2", b"two")])
        watch.cancel()

    async def test_renewed_watch_reports_each_change_once(self):
        store = EtcdStore(reactor, self.settings, watch_renewal_s=0.02)
        self.addCleanup(store.close)
        reply = (await store.range(b"/a/")).unwrap()
        receiver = AllChanges()
        watch = store.watch(b"/a/", reply.revision, receiver)
        keys = [b"/a/%d" % number for number in range(2, 40)]
        for key in keys:
            await store.txn([], [Put(key, b"x")])
            await deferLater(reactor, 0.005)
        while keys[-1] not in receiver.keys:
            await deferLater(reactor, 0.01)
        self.assertEqual(receiver.keys, keys)
        watch.cancel()

    async def test_outage_gives_store_unavailable(self):
        self.standin.set_outage(True)
        result = await self.store.range(b"/a/")
        self.assertIs(result.unwrap_err(), ErrorKind.STORE_UNAVAILABLE)


class PublishTest(StoreCase, unittest.TestCase):
    async def test_each_publish_increments_the_revision(self):
        for revision in (1, 2):
            accepted = await publish(self.store, Configuration(), "ana")
            self.assertEqual(accepted.unwrap().revision, revision)

    async def test_unexpected_revision_is_a_conflict(self):
        await publish(self.store, Configuration(), "ana")
        refused = await publish(self.store, Configuration(), "ben", 0)
        problem = refused.unwrap_err()
        self.assertIs(problem.kind, ErrorKind.CONFIGURATION_CONFLICT)
        self.assertIn("revision 1 by ana", problem.detail)

    async def test_outcome_is_read_back_after_a_lost_response(self):
        self.standin.lose_answers(1)
        accepted = await publish(self.store, Configuration(), "ana")
        self.assertEqual(accepted.unwrap().revision, 1)
        stored = (await read_configuration(self.store)).unwrap()
        self.assertEqual(stored.configuration.published_by, "ana")

    async def test_history_names_operators_and_is_bounded(self):
        for number in range(HISTORY_ENTRIES + 5):
            await publish(self.store, Configuration(), f"operator-{number}")
        history = (await read_history(self.store)).unwrap()
        self.assertEqual(len(history), HISTORY_ENTRIES)
        self.assertEqual(history[-1].operator, f"operator-{HISTORY_ENTRIES + 4}")

    def test_diff_shows_what_would_change(self):
        current = Configuration(3, "ana", [TICKETING])
        changed = msgspec.structs.replace(TICKETING, timeout_s=3.0)
        proposed = Configuration(0, "", [changed])
        lines = diff_configurations(current, proposed)
        self.assertIn("-  timeout_s: 10.0", lines)
        self.assertIn("+  timeout_s: 3.0", lines)
        self.assertEqual(diff_configurations(current, current), [])

    async def test_concurrent_publishers_learn_their_outcome(self):
        results = [
            publish(self.store, Configuration(), operator)
            for operator in ("ana", "ben")
        ]
        accepted = [(await result).is_ok() for result in results]
        self.assertIn(True, accepted)
        value = self.standin.state.items[CONFIGURATION_KEY].value
        revision = Configuration.from_json(value).revision
        self.assertEqual(revision, accepted.count(True))
