"""Interface to the platform's key-value service, and an in-memory store."""

import abc

import msgspec

__all__ = [
    "Comparison",
    "KeyValue",
    "MemoryStore",
    "Put",
    "RangeReply",
    "Store",
    "StoreCopy",
    "StoreRevision",
    "StoredValue",
    "TxnReply",
    "Watch",
    "WatchReceiver",
]


class KeyValue(msgspec.Struct, frozen=True):
    """One stored key with its value.

    Parameters
    ----------
    key, value : bytes
    mod_revision : int
        Store revision of the key's last write. The store revision increases with
        every write of any key.
    lease : int
        Lease whose expiry deletes the key, zero for none.
    """

    key: bytes
    value: bytes
    mod_revision: int
    lease: int = 0


class StoreRevision(msgspec.Struct, frozen=True, order=True):
    """Place of a write among all writes of the store, comparable across its restores.

    A store that comes back from an older copy gives out some revisions again, so that
    revisions are comparable within one era only.

    Parameters
    ----------
    era : int
        Number of the store's returns from a copy; zero if it states none.
    number : int
        Store revision.
    """

    era: int = 0
    number: int = 0


class StoredValue(msgspec.Struct, frozen=True):
    """Base of structures that are stored as JSON."""

    def to_json(self):
        """Return the JSON encoding as bytes."""
        return msgspec.json.encode(self)

    @classmethod
    def from_json(cls, value):
        """Decode a stored value.

        Raises
        ------
        msgspec.DecodeError
            If `value` is not the JSON encoding of this class.
        """
        return msgspec.json.decode(value, type=cls)


class Comparison(msgspec.Struct, frozen=True):
    """Condition of a transaction: the key was last written at `mod_revision`.

    Zero means that the key must not exist.
    """

    key: bytes
    mod_revision: int


class Put(msgspec.Struct, frozen=True):
    """A write in a transaction, or a change that a watch reports.

    Parameters
    ----------
    key : bytes
    value : bytes or None
        None deletes the key.
    lease : int
        Lease whose expiry deletes the key, zero for none.
    mod_revision : int
        Store revision of the write if the watch reports one for each change, otherwise
        zero.
    """

    key: bytes
    value: bytes | None
    lease: int = 0
    mod_revision: int = 0


class RangeReply(msgspec.Struct, frozen=True):
    """Keys and values as of one store revision, and the era that it belongs to."""

    revision: int
    items: list[KeyValue]
    era: int = 0


class TxnReply(msgspec.Struct, frozen=True):
    """Outcome of a transaction.

    Parameters
    ----------
    succeeded : bool
        Whether all conditions held and the writes were applied.
    revision : int
        Store revision after the transaction.
    found : list of KeyValue
        If a condition did not hold: those of the compared keys that exist.
    """

    succeeded: bool
    revision: int
    found: list[KeyValue]


class WatchReceiver(abc.ABC):
    """Receives the changes that a watch reports."""

    @abc.abstractmethod
    def changed(self, puts, revision):
        """Handle the changes of one store revision, a list of :class:`Put`."""

    @abc.abstractmethod
    def ended(self):
        """Handle the end of a watch that failed; changes may have been missed."""


class Watch(abc.ABC):
    """A running watch.

    Attributes
    ----------
    is_complete : bool
        Whether changes are reported as they occur. False while some may have been
        missed, which are reported later.
    """

    is_complete = True

    @abc.abstractmethod
    def cancel(self):
        """Stop without calling the receiver again."""


class Store(abc.ABC):
    """Ranges, transactions, leases and watches of the platform's key-value service.

    Every method except :meth:`watch` returns a Deferred of a ``result.Result``
    whose error is ``ErrorKind.STORE_UNAVAILABLE``. After such an error a write may
    have taken effect, so the writer must read the keys to learn the outcome.

    Attributes
    ----------
    era : int
        Newest known number of the store's returns from an older copy. When it rises,
        all watches end.
    """

    era = 0

    @abc.abstractmethod
    def range(self, prefix, allow_stale=False):
        """Read all keys with a prefix; the result is a :class:`RangeReply`.

        With `allow_stale`, an older state may be returned, which may cost less.
        """

    @abc.abstractmethod
    def txn(self, comparisons, puts):
        """Write `puts` if all `comparisons` hold; the result is a :class:`TxnReply`."""

    @abc.abstractmethod
    def grant_lease(self, ttl_s):
        """Grant a lease of `ttl_s` whole seconds; the result is the lease id."""

    @abc.abstractmethod
    def renew_lease(self, lease):
        """Renew a lease; the result is False if it has expired."""

    @abc.abstractmethod
    def watch(self, prefix, revision, receiver, is_urgent=True):
        """Watch a prefix for changes after `revision`; return a :class:`Watch`.

        Parameters
        ----------
        prefix : bytes
        revision : int
        receiver : WatchReceiver
        is_urgent : bool
            Whether it must be noticed soon that changes are no longer reported, which
            may cost more calls.
        """


class StoreCopy(msgspec.Struct, frozen=True):
    """Content of a :class:`MemoryStore` at one time.

    Parameters
    ----------
    revision : int
    items : dict from bytes to KeyValue
    leases : dict from int to float
        Time to live of each lease.
    """

    revision: int
    items: dict[bytes, KeyValue]
    leases: dict[int, float]


class _MemoryWatch(Watch):
    __slots__ = ("_store", "prefix", "receiver")

    def __init__(self, store, prefix, receiver):
        self._store = store
        self.prefix = prefix
        self.receiver = receiver

    def cancel(self):
        if self in self._store.watches:
            self._store.watches.remove(self)


class MemoryStore:
    """In-memory key-value store with synchronous calls.

    Used by the stand-ins of the platform's service, by the replay and by tests.

    Parameters
    ----------
    clock : object with ``seconds()``
        Clock for the expiry of leases.

    Attributes
    ----------
    items : dict from bytes to KeyValue
    log : list of tuple of int and list of Put
        Store revision and writes of each transaction, oldest first.
    revision : int
    watches : list of Watch
    """

    __slots__ = (
        "_clock",
        "_lease_deadlines_s",
        "_leases",
        "items",
        "log",
        "revision",
        "watches",
    )

    def __init__(self, clock):
        self._clock = clock
        self._lease_deadlines_s = {}
        self._leases = {}
        self.items = {}
        self.log = []
        self.revision = 1
        self.watches = []

    def range(self, prefix):
        """Return a :class:`RangeReply` for a prefix."""
        self.expire()
        found = [kv for key, kv in sorted(self.items.items()) if key.startswith(prefix)]
        return RangeReply(self.revision, found)

    def txn(self, comparisons, puts):
        """Apply a transaction and return its :class:`TxnReply`."""
        self.expire()
        for comparison in comparisons:
            item = self.items.get(comparison.key)
            if (item.mod_revision if item else 0) != comparison.mod_revision:
                keys = [c.key for c in comparisons]
                found = [self.items[key] for key in keys if key in self.items]
                return TxnReply(False, self.revision, found)
        self._write(puts)
        return TxnReply(True, self.revision, [])

    def _write(self, puts):
        if not puts:
            return
        self.revision += 1
        for put in puts:
            if put.value is None:
                self.items.pop(put.key, None)
            else:
                item = KeyValue(put.key, put.value, self.revision, put.lease)
                self.items[put.key] = item
        self.log.append((self.revision, puts))
        for watch in list(self.watches):
            self._deliver(watch, self.revision, puts)

    def _deliver(self, watch, revision, puts):
        matching = [put for put in puts if put.key.startswith(watch.prefix)]
        if matching:
            watch.receiver.changed(matching, revision)

    def grant_lease(self, ttl_s):
        """Grant a lease and return its id."""
        lease = len(self._leases) + 1
        self._leases[lease] = ttl_s
        self._lease_deadlines_s[lease] = self._clock.seconds() + ttl_s
        return lease

    def renew_lease(self, lease):
        """Renew a lease; return False if it has expired."""
        self.expire()
        if lease not in self._lease_deadlines_s:
            return False
        ttl_s = self._leases[lease]
        self._lease_deadlines_s[lease] = self._clock.seconds() + ttl_s
        return True

    def expire(self):
        """Delete the keys of expired leases."""
        now_s = self._clock.seconds()
        deadlines = self._lease_deadlines_s.items()
        expired = {lease for lease, deadline_s in deadlines if deadline_s <= now_s}
        if not expired:
            return
        for lease in expired:
            del self._lease_deadlines_s[lease]
        keys = [kv.key for kv in self.items.values() if kv.lease in expired]
        self._write([Put(key, None) for key in keys])

    def watch(self, prefix, revision, receiver):
        """Deliver past changes after `revision`, then new ones; return the watch."""
        watch = _MemoryWatch(self, prefix, receiver)
        for past_revision, puts in self.log:
            if past_revision > revision:
                self._deliver(watch, past_revision, puts)
        self.watches.append(watch)
        return watch

    def copy(self):
        """Return the present content as a :class:`StoreCopy`."""
        self.expire()
        return StoreCopy(self.revision, dict(self.items), dict(self._leases))

    def restore(self, copy):
        """Go back to a :class:`StoreCopy`; its leases run anew, watches are dropped."""
        now_s = self._clock.seconds()
        self.revision = copy.revision
        self.items = dict(copy.items)
        self.log = [entry for entry in self.log if entry[0] <= copy.revision]
        self.watches = []
        self._leases = dict(copy.leases)
        self._lease_deadlines_s = {
            lease: now_s + ttl_s for lease, ttl_s in copy.leases.items()
        }
