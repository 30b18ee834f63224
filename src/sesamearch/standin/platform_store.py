"""Stand-in for the platform's store, which implements the platform's HTTP protocol."""

import base64
from collections import Counter
from urllib.parse import parse_qs, urlsplit

import msgspec

from sesamearch.store.store import Comparison, MemoryStore, Put, WatchReceiver

__all__ = ["PlatformStoreStandin"]

JSON_HEADERS = [(b"Content-Type", b"application/json")]
MS_PER_S = 1000.0
# Older copies are discarded, except the newest one of them.
COPY_RETENTION_S = 60.0
# Keys that operators and endpoints write.
FOREIGN_PREFIXES = (b"op/", b"servers/")


class _Copies(WatchReceiver):
    """Keeps the recent copies of a store, each with its time."""

    def __init__(self, state, clock):
        self._state = state
        self._clock = clock
        self._copies = [(clock.seconds(), state.copy())]

    def take(self):
        """Add a copy of the present content."""
        now_s = self._clock.seconds()
        self._copies.append((now_s, self._state.copy()))
        while self._copies[1][0] < now_s - COPY_RETENTION_S:
            del self._copies[0]

    def changed(self, puts, revision):
        """Add a copy after each write."""
        self.take()

    def ended(self):
        """Do nothing; this watch never ends."""

    def go_back(self, time_s):
        """Return the content at a time, and forget what came after it."""
        kept = [entry for entry in self._copies if entry[0] <= time_s]
        self._copies = kept or self._copies[:1]
        return self._copies[-1][1]


class _PendingWatch(WatchReceiver):
    """A watch request (long poll) that waits for its first event below a prefix."""

    def __init__(self, standin, prefix, reply):
        self.prefix = prefix
        self._standin = standin
        self._reply = reply
        self.watch = None
        self.timer = None
        self.is_over = False

    def changed(self, puts, revision):
        """Respond with the events of one revision."""
        events = [_event(put, revision) for put in puts]
        self.finish({"events": events, "store-revision": revision})

    def ended(self):
        """Respond with status 410, because the history was discarded."""
        self._close()
        self._standin.answer(self._reply, 410, {})

    def time_out(self):
        """Respond without events at the end of the wait."""
        revision = self._standin.state.revision
        self.finish({"events": [], "store-revision": revision})

    def finish(self, content):
        """Respond, unless the request has ended."""
        if not self.is_over:
            self._close()
            self._standin.answer(self._reply, 200, content)

    def _close(self):
        self.is_over = True
        self._standin.pending.discard(self)
        if self.watch is not None:
            self.watch.cancel()
        if self.timer is not None and self.timer.active():
            self.timer.cancel()

    def caller_left(self):
        """Cancel the watch, because the caller closed its connection."""
        self._close()

    def drop(self):
        """End the watch without a response, as if the store never responds to it."""
        self._close()

    def cut(self):
        """Reset the connection of the request."""
        self._close()
        self._reply.abort()


def _event(put, revision):
    key = put.key.decode()
    if put.value is None:
        return {"key": key, "revision": revision, "removed": True}
    value = base64.b64encode(put.value).decode()
    return {"key": key, "value": value, "revision": revision, "lease": put.lease}


def _item(stored):
    return {
        "key": stored.key.decode(),
        "value": base64.b64encode(stored.value).decode(),
        "revision": stored.mod_revision,
        "lease": stored.lease,
    }


def _find_lost(before, after):
    """Return operators' and endpoints' writes that a copy lacks; None is a removal."""
    keys = before.keys() | after.keys()
    lost = {}
    for key in sorted(key for key in keys if key.startswith(FOREIGN_PREFIXES)):
        value = before[key].value if key in before else None
        if key not in after or after[key].value != value:
            lost[key] = value
    return lost


class PlatformStoreStandin:
    """Request handler that serves the store's calls from memory, with faults to inject.

    Parameters
    ----------
    clock : twisted.internet.interfaces.IReactorTime

    Attributes
    ----------
    state : MemoryStore
    refusal : int
        Status code that all calls get; zero serves them.
    is_silent : bool
        Whether calls get no response.
    lost_answers : int
        How many of the next writes take effect but get a connection reset instead of
        a response.
    oldest_revision : int
        Watches from an earlier revision get status 410.
    page_items : int
        Maximum number of items in a page.
    calls : collections.Counter
        Number of calls by name.
    pending : set of _PendingWatch
        Watch requests that wait for an event.
    era : int or None
        Number of the store's returns from an older copy, as all responses state it;
        None for a store that does not state it.
    is_away : bool
        Whether calls get a connection reset.
    """

    def __init__(self, clock):
        self._clock = clock
        self.state = MemoryStore(clock)
        self.era = 1
        self.is_away = False
        self._lost = {}
        self._copies = _Copies(self.state, clock)
        self.state.watch(b"", 0, self._copies)
        self.refusal = 0
        self.is_silent = False
        self.lost_answers = 0
        self.oldest_revision = 0
        self.page_items = 500
        self.calls = Counter()
        self.pending = set()

    def put(self, key, content):
        """Write a key as another client would; `content` is bytes or becomes JSON."""
        value = content if isinstance(content, bytes) else msgspec.json.encode(content)
        self.state.txn([], [Put(key.encode(), value)])

    def remove(self, key):
        """Delete a key."""
        self.state.txn([], [Put(key.encode(), None)])

    def discard_history(self):
        """Discard the history and end all watches."""
        self.oldest_revision = self.state.revision
        for pending in list(self.pending):
            pending.ended()

    def lose_watch_answers(self, prefix=""):
        """Never answer the watch requests below a prefix that wait now."""
        for pending in list(self.pending):
            if pending.prefix.startswith(prefix):
                pending.drop()

    def cut_watches(self):
        """Reset the connections of all watch requests that wait now."""
        for pending in list(self.pending):
            pending.cut()

    def restore(self, seconds_back, away_s=0.0):
        """Go away for a time, and come back with the content of `seconds_back` ago.

        Revisions and leases that were given out since are given out again.
        """
        self.is_away = True
        self.cut_watches()
        time_s = self._clock.seconds() - seconds_back
        if away_s:
            self._clock.callLater(away_s, self._come_back, time_s)
        else:
            self._come_back(time_s)

    def _come_back(self, time_s):
        before = self.state.items
        self.state.restore(self._copies.go_back(time_s))
        self.state.watch(b"", self.state.revision, self._copies)
        self._lost = _find_lost(before, self.state.items)
        self.is_away = False
        if self.era is not None:
            self.era += 1

    def write_again(self):
        """Write again what operators and endpoints had written since the copy."""
        lost, self._lost = self._lost, {}
        for key, value in lost.items():
            self.state.txn([], [Put(key, value)])

    def __call__(self, head, body, reply):
        """Handle a request."""
        target = urlsplit(head.target.decode())
        name = target.path.removeprefix("/sesamearch/").partition("/")[0]
        self.calls[name] += 1
        if self.is_silent:
            return
        if self.is_away:
            reply.abort()
            return
        if self.refusal:
            self.answer(reply, self.refusal, {})
            return
        query = {key: values[0] for key, values in parse_qs(target.query).items()}
        handler = getattr(self, "_" + name.replace("-", "_"))
        query["id"] = target.path.rpartition("/")[2]
        handler(query, body, reply)

    def answer(self, reply, status, content):
        """Send a response with JSON content."""
        headers = list(JSON_HEADERS)
        if self.era is not None:
            headers.append((b"Store-Era", b"%d" % self.era))
        reply.answer(status, headers, msgspec.json.encode(content))

    def _kv_range(self, query, body, reply):
        found = self.state.range(query.get("prefix", "").encode())
        after = query.get("after", "").encode()
        items = [item for item in found.items if item.key > after]
        page = items[: self.page_items]
        content = {
            "entries": [_item(item) for item in page],
            "more-pages": len(items) > len(page),
            "store-revision": found.revision,
        }
        self.answer(reply, 200, content)

    def _kv_key(self, query, body, reply):
        item = self.state.items.get(query["key"].encode())
        self.answer(reply, 200 if item else 404, _item(item) if item else {})

    def _kv_watch(self, query, body, reply):
        revision = int(query["after"])
        if not self.oldest_revision <= revision <= self.state.revision:
            self.answer(reply, 410, {})
            return
        prefix = query.get("prefix", "").encode()
        past = self._events_after(prefix, revision)
        if past:
            content = {"events": past, "store-revision": self.state.revision}
            self.answer(reply, 200, content)
            return
        pending = _PendingWatch(self, prefix.decode(), reply)
        reply.listener = pending
        self.pending.add(pending)
        pending.watch = self.state.watch(prefix, self.state.revision, pending)
        wait_s = int(query["wait-ms"]) / MS_PER_S
        pending.timer = self._clock.callLater(wait_s, pending.time_out)

    def _events_after(self, prefix, revision):
        return [
            _event(put, written)
            for written, puts in self.state.log
            if written > revision
            for put in puts
            if put.key.startswith(prefix)
        ]

    def _kv_txn(self, query, body, reply):
        content = msgspec.json.decode(body)
        comparisons = [
            Comparison(row["key"].encode(), row["revision"])
            for row in content["expected-revision"]
        ]
        puts = [
            Put(row["key"].encode(), base64.b64decode(row["value"]), row["lease"])
            for row in content["puts"]
        ]
        puts += [Put(key.encode(), None) for key in content["deletes"]]
        outcome = self.state.txn(comparisons, puts)
        if self.lost_answers:
            self.lost_answers -= 1
            reply.abort()
        elif outcome.succeeded:
            self.answer(reply, 200, {"revision": outcome.revision})
        else:
            found = {"entries": [_item(item) for item in outcome.found]}
            self.answer(reply, 412, found)

    def _kv_lease(self, query, body, reply):
        ttl_ms = msgspec.json.decode(body)["ttl-ms"]
        lease = self.state.grant_lease(ttl_ms / MS_PER_S)
        self._copies.take()
        self.answer(reply, 200, {"lease": lease, "ttl-ms": ttl_ms})

    def _kv_keep(self, query, body, reply):
        is_renewed = self.state.renew_lease(int(query["id"]))
        self.answer(reply, 200 if is_renewed else 404, {"ttl-ms": 0})
