"""Followers: keep parts of the blackboard in sync with keys in the store."""

import abc

import msgspec

from sesamearch.base.guard import Guard
from sesamearch.base.log import logger
from sesamearch.base.record import Dependency
from sesamearch.configuration.blackboard import Endpoint
from sesamearch.configuration.configuration import Configuration
from sesamearch.store.store import WatchReceiver

__all__ = [
    "CONFIGURATION_KEY",
    "VM_PREFIX",
    "ConfigurationFollower",
    "EndpointFollower",
    "Follower",
    "VmEntry",
]

CONFIGURATION_KEY = b"/sesamearch/configuration"
VM_PREFIX = b"/platform/vms/"
INITIAL_RETRY_DELAY_S = 0.5
MAX_RETRY_DELAY_S = 8.0


class VmEntry(msgspec.Struct, frozen=True):
    """One VM in the platform's list.

    Parameters
    ----------
    name, address, data_centre : str
    service, version : str
        What the VM runs.
    state : str
        ``live`` or ``leaving``.
    """

    name: str
    address: str
    data_centre: str
    service: str
    version: str
    state: str = "live"


class Follower(WatchReceiver):
    """Reads all keys with a prefix, then watches them; reads again if the watch ends.

    Subclasses implement :meth:`apply_snapshot`. During an outage the last known items
    stay in use.

    Parameters
    ----------
    store : Store
    prefix : bytes
    clock : twisted.internet.interfaces.IReactorTime
    max_retry_delay_s : float
        Upper bound of the backoff between two attempts to read.
    first_watch_delay_s : float
        Time between the first read and the watch. A follower that is paused meanwhile
        never watches; otherwise the watch reports what changed since the read.
    first_retry_delay_s : float
        Time from the end of a watch, or a first failed read, to the next read.
    is_urgent : bool
        See ``Store.watch``.

    Attributes
    ----------
    revision : int
        Store revision up to which changes have been applied.
    era : int
        Era of the store that the revisions belong to.
    is_current : bool
        Whether the prefix has been read and is being watched.
    read_s : float
        Time at which the last read was requested that succeeded, on `clock`; negative
        infinity before the first one.
    on_watch : callable
        Called without arguments when a watch begins.
    revisions : dict from bytes to int
        Store revision of the last write of each existing key.
    """

    def __init__(
        self,
        store,
        prefix,
        clock,
        max_retry_delay_s=MAX_RETRY_DELAY_S,
        first_watch_delay_s=0.0,
        first_retry_delay_s=INITIAL_RETRY_DELAY_S,
        is_urgent=True,
    ):
        self._is_urgent = is_urgent
        self._first_retry_delay_s = first_retry_delay_s
        self._max_retry_delay_s = max_retry_delay_s
        self._watch_delay_s = first_watch_delay_s
        self.revision = 0
        self.era = 0
        self.revisions = {}
        self._store = store
        self._prefix = prefix
        self._clock = clock
        self._items = {}
        self._watch = None
        self._timer = None
        self._retry_delay_s = self._first_retry_delay_s
        self._is_stopped = False
        self._is_paused = False
        self.is_current = False
        self.read_s = float("-inf")
        self.on_watch = lambda: None
        # What follows later must not be lost with what cannot be applied.
        self._apply = Guard(clock, self.apply_snapshot)

    @property
    def is_watching(self):
        """Bool : whether a watch reports the changes of the prefix as they occur."""
        return self._watch is not None and self._watch.is_complete

    def start(self):
        """Read the prefix and start to watch it."""
        self._timer = None
        asked_s = self._clock.seconds()
        self._store.range(self._prefix).addCallback(self._handle_range, asked_s)

    def pause(self):
        """Stop following until :meth:`resume`; the last known items stay in use."""
        if not self._is_paused:
            self._is_paused = True
            self._halt()
            self._set_current(False)

    def resume(self):
        """Follow again after :meth:`pause`."""
        if self._is_paused:
            self._is_paused = False
            self.start()

    def stop(self):
        """Stop following for good."""
        self._halt()
        self._is_stopped = True

    def _halt(self):
        if self._watch is not None:
            self._watch.cancel()
        if self._timer is not None:
            self._timer.cancel()
        self._watch = self._timer = None

    def _handle_range(self, result, asked_s):
        if self._is_stopped or self._is_paused or self._watch is not None:
            return
        if result.is_err():
            self.ended()
            return
        reply = result.unwrap()
        self._retry_delay_s = self._first_retry_delay_s
        self._set_current(True)
        self.read_s = asked_s
        self._items = {item.key: item.value for item in reply.items}
        self.revisions = {item.key: item.mod_revision for item in reply.items}
        self.revision = reply.revision
        self.era = reply.era
        self._apply(self._items)
        delay_s, self._watch_delay_s = self._watch_delay_s, 0.0
        if delay_s:
            self._timer = self._clock.callLater(delay_s, self._start_watch)
        else:
            self._start_watch()

    def _start_watch(self):
        self._timer = None
        if self._store.era != self.era:
            self.ended()
            return
        self._watch = self._store.watch(
            self._prefix, self.revision, self, self._is_urgent
        )
        self.on_watch()

    def changed(self, puts, revision):
        """Apply changes from the watch."""
        for put in puts:
            if put.value is None:
                self._items.pop(put.key, None)
                self.revisions.pop(put.key, None)
            else:
                self._items[put.key] = put.value
                self.revisions[put.key] = put.mod_revision or revision
        self.revision = revision
        self._apply(self._items)

    def ended(self):
        """Read the prefix again after the backoff."""
        self._watch = None
        if self._is_paused or self._timer is not None:
            return
        self._set_current(False)
        self._timer = self._clock.callLater(self._retry_delay_s, self.start)
        self._retry_delay_s = min(self._retry_delay_s * 2, self._max_retry_delay_s)

    def _set_current(self, is_current):
        if is_current != self.is_current:
            self.is_current = is_current
            state = "regained" if is_current else "lost"
            logger.info(Dependency(self._prefix.decode(), state))

    @abc.abstractmethod
    def apply_snapshot(self, items):
        """Apply all existing items, a dict from key to value, both bytes."""


class ConfigurationFollower(Follower):
    """Puts each newer configuration in the store in force on the blackboard."""

    def __init__(self, store, board, clock):
        super().__init__(store, CONFIGURATION_KEY, clock)
        self._board = board

    def apply_snapshot(self, items):
        """Put the configuration in force if it is newer."""
        value = items.get(CONFIGURATION_KEY)
        if value is None:
            return
        try:
            configuration = Configuration.from_json(value)
        except msgspec.DecodeError as error:
            logger.error("cannot decode configuration, keeping current: {}", error)
            return
        if self._board.accept_configuration(configuration):
            logger.info("configuration in force revision={}", configuration.revision)


class EndpointFollower(Follower):
    """Keeps the blackboard's endpoints in sync with the platform's list."""

    def __init__(self, store, board, clock):
        super().__init__(store, VM_PREFIX, clock)
        self._board = board

    def apply_snapshot(self, items):
        """Replace the endpoints; entries that cannot be decoded are skipped."""
        endpoints = {}
        for value in items.values():
            try:
                entry = msgspec.json.decode(value, type=VmEntry)
            except msgspec.DecodeError as error:
                logger.warning("cannot decode VM entry: {}", error)
                continue
            endpoints[entry.name] = Endpoint(
                entry.name,
                entry.address,
                entry.data_centre,
                entry.service,
                entry.version,
                entry.state != "live",
            )
        self._board.endpoints.write(endpoints)
