"""Tests of the client of the platform's store against the stand-in."""

import unittest

from twisted.internet.defer import Deferred

from sesamearch.base.errors import ErrorKind
from sesamearch.membership.fleet_keys import (
    FLEET_KEYS_KEY,
    obtain_fleet_keys,
    restore_fleet_keys,
)
from sesamearch.platform.store import PlatformStore
from sesamearch.standin.network import MemoryNetwork
from sesamearch.standin.platform_store import PlatformStoreStandin
from sesamearch.store.store import Comparison, Put, WatchReceiver
from sesamearch.wire.caller import CallerFactory, CallerLimits

ADDRESS = "10.9.0.1:80"


class Recorder(WatchReceiver):
    def __init__(self):
        self.puts = []
        self.has_ended = False

    def changed(self, puts, revision):
        self.puts += puts
        self.revision = revision

    def ended(self):
        self.has_ended = True


class StoreTestCase(unittest.TestCase):
    def setUp(self):
        self.network = MemoryNetwork()
        self.standin = PlatformStoreStandin(self.network)
        factory = CallerFactory(
            self.network, self.standin, CallerLimits, lambda status, detail: None
        )
        self.network.listen(ADDRESS, factory)
        self.store = PlatformStore(self.network, ADDRESS)

    def result(self, done, wait_s=0.05):
        results = []
        done.addCallback(results.append)
        self.network.run(wait_s)
        return results[0]


class TestCalls(StoreTestCase):
    def test_range(self):
        self.standin.put("a/1", b"\x00\xff")
        self.standin.put("b/1", b"other")
        reply = self.result(self.store.range(b"a/")).unwrap()
        ((key, value),) = [(item.key, item.value) for item in reply.items]
        self.assertEqual((key, value), (b"a/1", b"\x00\xff"))
        self.assertEqual(reply.revision, self.standin.state.revision)

    def test_range_of_many_pages(self):
        self.standin.page_items = 2
        for number in range(5):
            self.standin.put(f"a/{number}", b"x")
        reply = self.result(self.store.range(b"a/")).unwrap()
        self.assertEqual(len(reply.items), 5)

    def test_condition_that_holds(self):
        put = Put(b"k", b"v")
        reply = self.result(self.store.txn([Comparison(b"k", 0)], [put])).unwrap()
        self.assertTrue(reply.succeeded)
        self.assertEqual(self.standin.state.items[b"k"].value, b"v")

    def test_failed_condition_returns_the_existing_values(self):
        self.standin.put("k", b"first")
        put = Put(b"k", b"second")
        reply = self.result(self.store.txn([Comparison(b"k", 0)], [put])).unwrap()
        self.assertFalse(reply.succeeded)
        self.assertEqual([item.value for item in reply.found], [b"first"])

    def test_delete(self):
        self.standin.put("k", b"v")
        self.result(self.store.txn([], [Put(b"k", None)]))
        self.assertNotIn(b"k", self.standin.state.items)

    def test_lost_response_to_a_write_is_an_error_though_it_took_effect(self):
        self.standin.lost_answers = 1
        result = self.result(self.store.txn([], [Put(b"k", b"v")]))
        self.assertIs(result.unwrap_err(), ErrorKind.STORE_UNAVAILABLE)
        self.assertIn(b"k", self.standin.state.items)

    def test_leases(self):
        lease = self.result(self.store.grant_lease(2)).unwrap()
        self.assertTrue(self.result(self.store.renew_lease(lease)).unwrap())
        self.network.run(3)
        self.assertFalse(self.result(self.store.renew_lease(lease)).unwrap())

    def test_refusals_are_errors(self):
        for status in (429, 503):
            self.standin.refusal = status
            result = self.result(self.store.range(b""))
            self.assertIs(result.unwrap_err(), ErrorKind.STORE_UNAVAILABLE)
            self.assertFalse(self.store.is_reachable)

    def test_silent_store_causes_an_error(self):
        self.standin.is_silent = True
        result = self.result(self.store.range(b""), wait_s=2)
        self.assertTrue(result.is_err())

    def test_recovery_is_recorded(self):
        self.standin.refusal = 503
        self.result(self.store.range(b""))
        self.standin.refusal = 0
        self.result(self.store.range(b""))
        self.assertTrue(self.store.is_reachable)
        self.assertGreater(self.store.regained_s, 0)


class TestWatches(StoreTestCase):
    def setUp(self):
        super().setUp()
        self.recorder = Recorder()
        self.standin.put("a/0", b"before")
        revision = self.standin.state.revision
        self.watch = self.store.watch(b"a/", revision, self.recorder)
        self.network.run(0.05)

    def test_changes_arrive_at_once_and_in_order(self):
        self.standin.put("a/1", b"x")
        self.network.run(0.02)
        self.assertEqual(len(self.recorder.puts), 1)
        self.standin.remove("a/1")
        self.standin.put("b/1", b"elsewhere")
        self.network.run(0.25)
        found = [(put.key, put.value) for put in self.recorder.puts]
        self.assertEqual(found, [(b"a/1", b"x"), (b"a/1", None)])

    def test_changes_between_two_calls_are_not_missed(self):
        for number in range(5):
            self.standin.put(f"a/{number}", b"x")
        self.network.run(0.5)
        self.assertEqual(len(self.recorder.puts), 5)

    def test_changes_close_together_share_a_call(self):
        calls = self.standin.calls["kv-watch"]
        for number in range(40):
            self.standin.put(f"a/{number}", b"x")
            self.network.run(0.02)
        self.network.run(0.3)
        self.assertEqual(len(self.recorder.puts), 40)
        self.assertLessEqual(self.standin.calls["kv-watch"] - calls, 8)

    def test_history_that_is_gone_ends_the_watch(self):
        self.standin.discard_history()
        self.network.run(0.05)
        self.assertTrue(self.recorder.has_ended)

    def test_watch_continues_after_a_lost_connection(self):
        self.network.connections[-1].abortConnection()
        self.standin.put("a/1", b"x")
        self.network.run(0.5)
        self.assertEqual(len(self.recorder.puts), 1)
        self.assertFalse(self.recorder.has_ended)

    def test_refused_watch_retries_with_backoff(self):
        self.standin.refusal = 503
        self.network.connections[-1].abortConnection()
        calls = self.standin.calls["kv-watch"]
        self.network.run(4)
        self.assertLess(self.standin.calls["kv-watch"] - calls, 8)
        self.standin.refusal = 0
        self.standin.put("a/1", b"x")
        self.network.run(1.2)
        self.assertEqual(len(self.recorder.puts), 1)

    def check_calls_of_an_idle_watch(self, max_calls):
        self.network.run(45)
        self.assertLessEqual(self.standin.calls["kv-watch"], max_calls)
        self.assertEqual(self.standin.calls["kv-range"], 0)
        # Pings are stale reads, which cost a tenth of a consistent read.
        self.assertLessEqual(self.standin.calls["kv-key"], 45 / 0.7)
        self.standin.put("a/1", b"x")
        self.network.run(0.1)
        self.assertEqual(len(self.recorder.puts), 1)

    def test_idle_watch_is_renewed_with_few_calls(self):
        # Another router watches more closely.
        self.store.set_backed_up(True)
        self.check_calls_of_an_idle_watch(5)

    def test_idle_urgent_watch_costs_one_call_in_each_wait(self):
        self.check_calls_of_an_idle_watch(45 / (self.store.max_silence_s - 0.7) + 1)

    def test_idle_watch_that_is_not_urgent_is_renewed_with_few_calls(self):
        self.watch.cancel()
        revision = self.standin.state.revision
        self.store.watch(b"a/", revision, self.recorder, is_urgent=False)
        self.check_calls_of_an_idle_watch(5)

    def test_watch_is_urgent_again_once_no_other_router_watches(self):
        self.store.set_backed_up(True)
        self.network.run(10)
        self.standin.lose_watch_answers()
        self.standin.put("a/1", b"x")
        self.network.run(5)
        self.assertEqual(self.recorder.puts, [])
        self.store.set_backed_up(False)
        self.network.run(0.25)
        self.assertEqual(len(self.recorder.puts), 1)

    def test_watch_is_never_silent_for_longer_than_its_bound(self):
        for _ in range(450):
            self.network.run(0.1)
            self.assertLessEqual(self.store.watch_silence_s, self.store.max_silence_s)

    def test_lost_answer_is_noticed_within_the_bound(self):
        self.standin.lose_watch_answers()
        self.standin.put("a/1", b"x")
        self.network.run(self.store.max_silence_s + 0.05)
        self.assertEqual(len(self.recorder.puts), 1)

    def test_watch_is_incomplete_from_a_lost_answer_to_the_next_one(self):
        serve, self.standin._kv_watch = self.standin._kv_watch, lambda *call: None
        self.standin.lose_watch_answers()
        self.network.run(self.store.max_silence_s + 0.05)
        self.assertFalse(self.watch.is_complete)
        self.standin._kv_watch = serve
        self.network.run(self.store.max_silence_s + 0.05)
        self.assertTrue(self.watch.is_complete)

    def test_slow_store_reports_changes(self):
        # Each answer takes longer than the margin that a wait leaves for it.
        serve = self.standin._kv_watch
        self.standin._kv_watch = lambda *call: self.network.callLater(1.4, serve, *call)
        self.network.run(5)
        self.standin.put("a/1", b"x")
        self.network.run(2 * self.store.max_silence_s)
        self.assertEqual(len(self.recorder.puts), 1)

    def run_silent_outage(self, seconds):
        """Run an outage whose pending calls get no response even after its end."""
        self.standin.is_silent = True
        for pending in list(self.standin.pending):
            pending.drop()
        self.network.run(seconds)
        self.standin.is_silent = False

    def test_changes_after_a_silent_outage_arrive_soon(self):
        self.run_silent_outage(6)
        self.standin.put("a/1", b"x")
        self.network.run(1.5)
        self.assertEqual(len(self.recorder.puts), 1)

    def test_silent_connections_are_detected(self):
        for connection in self.network.connections:
            connection.go_silent()
        self.standin.put("a/1", b"x")
        self.network.run(3.5)
        self.assertEqual(len(self.recorder.puts), 1)

    def test_silent_outage_is_detected(self):
        self.run_silent_outage(3)
        self.assertFalse(self.store.is_reachable)
        self.network.run(2)
        self.assertTrue(self.store.is_reachable)

    def test_cancelled_watch_ends_its_call_and_is_no_outage(self):
        self.watch.cancel()
        self.network.run(0.05)
        self.assertEqual(self.standin.pending, set())
        self.assertTrue(self.store.is_reachable)

    def test_cancelled_watch_reports_no_changes(self):
        self.watch.cancel()
        self.standin.put("a/1", b"x")
        self.network.run(0.1)
        self.assertEqual(self.recorder.puts, [])


class TestStandinRestore(StoreTestCase):
    # Guards against a stand-in that keeps what a store loses with an older copy.

    def setUp(self):
        super().setUp()
        self.standin.put("servers/a", b"old")
        self.network.run(5)
        self.standin.put("servers/a", b"new")
        self.standin.put("servers/b", b"new")
        self.standin.put("status/c", b"new")

    def content(self):
        return {key: kv.value for key, kv in self.standin.state.items.items()}

    def test_writes_since_the_copy_are_gone_and_revisions_go_back(self):
        revision = self.standin.state.revision
        self.standin.restore(3.0)
        self.assertEqual(self.content(), {b"servers/a": b"old"})
        self.assertLess(self.standin.state.revision, revision)
        self.assertEqual(self.standin.era, 2)

    def test_only_operators_and_endpoints_write_again(self):
        self.standin.restore(3.0)
        self.standin.write_again()
        self.assertEqual(self.content(), {b"servers/a": b"new", b"servers/b": b"new"})

    def test_leases_since_the_copy_are_gone(self):
        lease = self.standin.state.grant_lease(30)
        self.standin.restore(3.0)
        self.assertFalse(self.standin.state.renew_lease(lease))

    def test_store_is_away_until_it_comes_back(self):
        self.standin.restore(3.0, away_s=1.0)
        self.assertTrue(self.result(self.store.range(b"")).is_err())
        self.network.run(1)
        self.assertEqual(len(self.result(self.store.range(b"")).unwrap().items), 1)

    def test_watch_from_a_revision_that_is_gone_ends(self):
        recorder = Recorder()
        revision = self.standin.state.revision
        self.standin.restore(3.0)
        self.store.watch(b"", revision, recorder)
        self.network.run(0.1)
        self.assertTrue(recorder.has_ended)


class TestEra(StoreTestCase):
    def setUp(self):
        super().setUp()
        self.restored = []
        self.store.on_restored = lambda: self.restored.append(self.store.era)
        for number in range(9):
            self.standin.put(f"a/{number}", b"x")

    def range(self):
        return self.result(self.store.range(b"a/"))

    def test_first_response_is_no_restore(self):
        # Guards against a restore that is noticed at each start.
        self.standin.era = 7
        self.assertEqual(self.range().unwrap().era, 7)
        self.assertEqual(self.restored, [])

    def test_rise_is_noticed_and_ends_the_watches(self):
        # Guards against a watch that waits for revisions that are given out again.
        recorder = Recorder()
        self.network.run(5)
        self.store.watch(b"a/", self.range().unwrap().revision, recorder)
        self.network.run(0.1)
        self.standin.restore(1.0)
        self.standin.put("a/0", b"y")
        self.network.run(1.5)
        self.assertEqual(self.restored, [2])
        self.assertTrue(recorder.has_ended)
        self.assertEqual(recorder.puts, [])

    def test_response_of_an_older_era_is_an_error(self):
        # Guards against a late response from before the restore.
        self.range()
        self.standin.era = 3
        self.range()
        self.standin.era = 2
        self.assertTrue(self.range().is_err())
        self.assertEqual(self.restored, [3])

    def test_pages_of_two_eras_are_an_error(self):
        # Guards against a list that is half of the copy.
        self.range()
        self.standin.page_items = 4
        done = self.store.range(b"a/")
        self.network.callLater(0.002, setattr, self.standin, "era", 2)
        self.assertTrue(self.result(done).is_err())
        self.assertEqual(self.range().unwrap().era, 2)

    def test_store_that_states_none(self):
        # Guards against a client that needs the header.
        self.standin.era = None
        self.assertEqual(self.range().unwrap().era, 0)
        self.assertEqual(self.restored, [])


class TestFleetKeys(StoreTestCase):
    def obtain(self):
        return self.result(Deferred.fromCoroutine(obtain_fleet_keys(self.store)))

    def test_all_routers_get_the_keys_that_the_first_one_created(self):
        first = self.obtain().unwrap()
        self.assertEqual(self.obtain().unwrap(), first)

    def test_lost_response_to_the_creation(self):
        self.standin.lost_answers = 1
        keys = self.obtain().unwrap()
        self.assertEqual(self.obtain().unwrap(), keys)

    def test_outage_is_an_error(self):
        self.standin.refusal = 503
        self.assertTrue(self.obtain().is_err())

    def restore(self, keys, may_replace):
        restored = restore_fleet_keys(self.store, keys, may_replace)
        return self.result(Deferred.fromCoroutine(restored))

    def test_lost_keys_are_written_again(self):
        # Guards against a fleet whose later routers agree on other keys.
        keys = self.obtain().unwrap()
        self.standin.remove(FLEET_KEYS_KEY.decode())
        self.assertEqual(self.restore(keys, False).unwrap(), keys)
        self.assertEqual(self.obtain().unwrap(), keys)

    def test_other_keys_are_replaced_only_if_allowed(self):
        # Guards against a router without others that replaces the fleet's keys.
        keys = self.obtain().unwrap()
        self.standin.remove(FLEET_KEYS_KEY.decode())
        other = self.obtain().unwrap()
        self.assertEqual(self.restore(keys, False).unwrap(), other)
        self.assertEqual(self.obtain().unwrap(), other)
        self.assertEqual(self.restore(keys, True).unwrap(), keys)
        self.assertEqual(self.obtain().unwrap(), keys)

    def test_lost_response_to_the_writing_again(self):
        # Guards against keys that are taken for written before they are read.
        keys = self.obtain().unwrap()
        self.standin.remove(FLEET_KEYS_KEY.decode())
        self.standin.lost_answers = 1
        self.assertTrue(self.restore(keys, True).is_err())
        self.assertEqual(self.restore(keys, True).unwrap(), keys)

    def test_invalid_keys_are_an_error(self):
        self.standin.put(FLEET_KEYS_KEY.decode(), b"?")
        self.assertTrue(self.obtain().is_err())
