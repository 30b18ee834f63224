"""The platform's key-value service, as the system uses it."""

import abc

import msgspec

__all__ = [
    "Comparison",
    "KeyValue",
    "MemoryStore",
    "Put",
    "RangeReply",
    "Store",
    "StoredValue",
    "TxnReply",
    "Watch",
    "WatchReceiver",
]


class KeyValue(msgspec.Struct, frozen=True):
    """One stored key.

    Parameters
    ----------
    key, value : bytes
    mod_revision : int
        Store revision of its last write; rises with every write of any key.
    lease : int
        Lease that it is deleted with, zero for none.
    """

    key: bytes
    value: bytes
    mod_revision: int
    lease: int = 0


class StoredValue(msgspec.Struct, frozen=True):
    """A structure that is kept in the store as JSON."""

    def to_json(self):
        """Return the stored form as bytes."""
        return msgspec.json.encode(self)

    @classmethod
    def from_json(cls, value):
        """Rebuild from the stored form.

        Raises
        ------
        msgspec.DecodeError
            If `value` is none of this kind.
        """
        return msgspec.json.decode(value, type=cls)


class Comparison(msgspec.Struct, frozen=True):
    """Condition of a transaction: the key's last write was `mod_revision`.

    Zero means that the key does not exist.
    """

    key: bytes
    mod_revision: int


class Put(msgspec.Struct, frozen=True):
    """Write of a transaction; a value of None deletes the key.

    Parameters
    ----------
    key : bytes
    value : bytes or None
    lease : int
    mod_revision : int
        Store revision of the write, where a watch tells it.
    """

    key: bytes
    value: bytes | None
    lease: int = 0
    mod_revision: int = 0


class RangeReply(msgspec.Struct, frozen=True):
    """Keys read at one store revision."""

    revision: int
    items: list[KeyValue]


class TxnReply(msgspec.Struct, frozen=True):
    """Outcome of a transaction.

    Parameters
    ----------
    succeeded : bool
        Whether the conditions held and the writes were done.
    revision : int
        Store revision after it.
    found : list of KeyValue
        Present keys among the compared ones, when the conditions did not hold.
    """

    succeeded: bool
    revision: int
    found: list[KeyValue]


class WatchReceiver(abc.ABC):
    """Where a watch delivers."""

    @abc.abstractmethod
    def changed(self, puts, revision):
        """Take the changes of one store revision, a list of :class:`Put`."""

    @abc.abstractmethod
    def ended(self):
        """Take note that the watch broke; changes may have been missed."""


class Watch(abc.ABC):
    """A running watch."""

    @abc.abstractmethod
    def cancel(self):
        """Stop without calling the receiver again."""


class Store(abc.ABC):
    """Range, transaction, lease and watch of the platform's service.

    Every method returns a Deferred of a ``result.Result`` whose error is
    ``ErrorKind.STORE_UNAVAILABLE``. After such an error a write may have taken
    effect: its author must read back.
    """

    @abc.abstractmethod
    def range(self, prefix):
        """Read all keys with a prefix, giving a :class:`RangeReply`."""

    @abc.abstractmethod
    def txn(self, comparisons, puts):
        """Write `puts` if all `comparisons` hold, giving a :class:`TxnReply`."""

    @abc.abstractmethod
    def grant_lease(self, ttl_s):
        """Make a lease of `ttl_s` whole seconds, giving its number."""

    @abc.abstractmethod
    def renew_lease(self, lease):
        """Renew a lease, giving False if it has lapsed."""

    @abc.abstractmethod
    def watch(self, prefix, revision, receiver):
        """Watch a prefix from after `revision`, returning a :class:`Watch`."""


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
    """State of a key-value service: the stand-in and the tests are built on it.

    Calls are synchronous. Used with a clock for leases.

    Parameters
    ----------
    clock : object with ``seconds()``
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
        chosen = [put for put in puts if put.key.startswith(watch.prefix)]
        if chosen:
            watch.receiver.changed(chosen, revision)

    def grant_lease(self, ttl_s):
        """Make a lease and return its number."""
        lease = len(self._leases) + 1
        self._leases[lease] = ttl_s
        self._lease_deadlines_s[lease] = self._clock.seconds() + ttl_s
        return lease

    def renew_lease(self, lease):
        """Renew a lease; return whether it still lived."""
        self.expire()
        if lease not in self._lease_deadlines_s:
            return False
        ttl_s = self._leases[lease]
        self._lease_deadlines_s[lease] = self._clock.seconds() + ttl_s
        return True

    def expire(self):
        """Delete the keys of lapsed leases."""
        now_s = self._clock.seconds()
        deadlines = self._lease_deadlines_s.items()
        lapsed = {lease for lease, deadline_s in deadlines if deadline_s <= now_s}
        if not lapsed:
            return
        for lease in lapsed:
            del self._lease_deadlines_s[lease]
        keys = [kv.key for kv in self.items.values() if kv.lease in lapsed]
        self._write([Put(key, None) for key in keys])

    def watch(self, prefix, revision, receiver):
        """Deliver changes after `revision`, then new ones; return the watch."""
        watch = _MemoryWatch(self, prefix, receiver)
        for past_revision, puts in self.log:
            if past_revision > revision:
                self._deliver(watch, past_revision, puts)
        self.watches.append(watch)
        return watch
