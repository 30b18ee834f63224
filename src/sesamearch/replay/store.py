"""Fake of the platform's store on a virtual clock, with injected faults."""

from result import Err, Ok
from twisted.internet.defer import Deferred

from sesamearch.base.errors import ErrorKind
from sesamearch.store.store import MemoryStore, Store, Watch, WatchReceiver

__all__ = ["FakeStore", "StoreFaults"]


class StoreFaults:
    """State and faults of the fake store, shared by all routers.

    Parameters
    ----------
    clock : twisted.internet.task.Clock

    Attributes
    ----------
    state : MemoryStore
    is_unavailable : bool
        Whether every call fails, as in an outage.
    lost_answers : int
        How many of the next writes take effect although their answer is lost.
    calls : int
        Number of calls so far.
    """

    def __init__(self, clock):
        self.clock = clock
        self.state = MemoryStore(clock)
        self.is_unavailable = False
        self.lost_answers = 0
        self.calls = 0

    def set_outage(self, is_unavailable):
        """Begin or end an outage; all watches end when it begins."""
        self.is_unavailable = is_unavailable
        if is_unavailable:
            watches, self.state.watches = list(self.state.watches), []
            for watch in watches:
                watch.receiver.ended()


class FakeStore(Store):
    """Client of one router for the fake store.

    Parameters
    ----------
    process : Process
    faults : StoreFaults
    latency_s : float
        Round-trip time of a call.
    """

    def __init__(self, process, faults, latency_s):
        self._process = process
        self._faults = faults
        self._latency_s = latency_s

    def _call(self, function, *arguments):
        done = Deferred()
        faults = self._faults

        def work():
            faults.calls += 1
            if faults.is_unavailable:
                outcome = Err(ErrorKind.STORE_UNAVAILABLE)
            else:
                outcome = Ok(function(*arguments))
                if faults.lost_answers and function == faults.state.txn:
                    faults.lost_answers -= 1
                    outcome = Err(ErrorKind.STORE_UNAVAILABLE)
            self._process.callLater(self._latency_s / 2, done.callback, outcome)

        # A sent request reaches the store even if its sender has been paused.
        faults.clock.callLater(self._latency_s / 2, work)
        return done

    def range(self, prefix, allow_stale=False):
        """Read all keys with a prefix."""
        return self._call(self._faults.state.range, prefix)

    def txn(self, comparisons, puts):
        """Write `puts` if all comparisons hold."""
        return self._call(self._faults.state.txn, comparisons, puts)

    def grant_lease(self, ttl_s):
        """Grant a lease."""
        return self._call(self._faults.state.grant_lease, ttl_s)

    def renew_lease(self, lease):
        """Renew a lease."""
        return self._call(self._faults.state.renew_lease, lease)

    def watch(self, prefix, revision, receiver, is_urgent=True):
        """Watch the keys with a prefix."""
        relay = _WatchRelay(self._process, receiver, self._latency_s)
        if self._faults.is_unavailable:
            self._process.callLater(self._latency_s, receiver.ended)
            return relay
        relay.watch = self._faults.state.watch(prefix, revision, relay)
        return relay


class _WatchRelay(WatchReceiver, Watch):
    """Delivers the changes of a watch to a process after the latency."""

    def __init__(self, process, receiver, latency_s):
        self._process = process
        self._receiver = receiver
        self._latency_s = latency_s
        self.watch = None

    def changed(self, puts, revision):
        self._process.callLater(self._latency_s, self._changed, puts, revision)

    def _changed(self, puts, revision):
        if self._receiver is not None:
            self._receiver.changed(puts, revision)

    def ended(self):
        self._process.callLater(self._latency_s, self._ended)

    def _ended(self):
        receiver, self._receiver = self._receiver, None
        if receiver is not None:
            receiver.ended()

    def cancel(self):
        self._receiver = None
        if self.watch is not None:
            self.watch.cancel()
