"""Bound of what the connections of all callers of a process hold together."""

import abc
import enum

import msgspec

from sesamearch.base.log import logger
from sesamearch.base.record import CallersShed
from sesamearch.wire.read_budget import ReadBudget

__all__ = ["CallerAccount", "CallerBounds", "CallerHolding", "ShedReason"]

# Memory that the process needs for itself, its endpoints, its peers and the store.
PROCESS_BYTES = 64 << 20
# Share of the remaining memory that callers may fill; what is freed is not always
# available again at once.
CALLER_MEMORY_RATIO = 0.5
# Enough for one request with the largest usual body, and for its copy on the way to an
# endpoint.
MIN_CALLER_BYTES = 12 << 20
# Memory of a connection without a request.
CONNECTION_BYTES = 8 << 10
# Descriptors that are never used for callers: files, and the platform's own share.
RESERVED_DESCRIPTORS = 200
CALLER_DESCRIPTOR_RATIO = 0.5
MIN_CALLER_CONNECTIONS = 64
# Requests with a larger body leave this share of the memory to the other callers.
SMALL_BODY_BYTES = 64 << 10
SMALL_BODY_RATIO = 0.25
# Connections that hold less are closed for memory only when no others are left.
LIGHT_BYTES = 2 * CONNECTION_BYTES
# Once the bound is reached, connections are closed until so much of it is in use.
SHED_TO_RATIO = 0.9
# Progress within this time does not tell a connection from one that makes progress now.
MIN_AGE_S = 0.1
LOG_INTERVAL_S = 1.0


class ShedReason(enum.Enum):
    """Why a connection is closed although its caller is within its own limits."""

    MEMORY = "memory"
    CONNECTIONS = "connections"


class CallerBounds(msgspec.Struct, frozen=True):
    """Bounds for the connections of all callers together.

    Parameters
    ----------
    memory_bytes : int
        Memory that they may hold.
    connections : int
        Number of connections.
    """

    memory_bytes: int
    connections: int

    @classmethod
    def of_vm(cls, memory_bytes, max_descriptors):
        """Return the bounds for a process that has a VM's memory and descriptors."""
        spare_bytes = (memory_bytes - PROCESS_BYTES) * CALLER_MEMORY_RATIO
        descriptors = (max_descriptors - RESERVED_DESCRIPTORS) * CALLER_DESCRIPTOR_RATIO
        return cls(
            max(int(spare_bytes), MIN_CALLER_BYTES),
            max(int(descriptors), MIN_CALLER_CONNECTIONS),
        )


class CallerHolding(abc.ABC):
    """What one connection holds.

    Attributes
    ----------
    held_bytes : int
        Memory as last noted in the account.
    progress_s : float
        Time of the last bytes that were read from the caller or that it took.
    has_asked : bool
        Whether a complete request was received.
    """

    @property
    @abc.abstractmethod
    def may_be_shed(self):
        """Bool : whether the connection may be closed to make room."""

    @property
    @abc.abstractmethod
    def is_closing(self):
        """Bool : whether the connection only waits until its answer has arrived."""

    @abc.abstractmethod
    def measure(self):
        """Return the memory that the connection holds now, in bytes."""

    @abc.abstractmethod
    def shed(self):
        """Refuse what is being received, or close the connection."""


class CallerAccount:
    """Counts what callers hold, and sheds connections when that reaches a bound.

    At the bound of the memory, the connections go first that hold most for longest
    without progress, and last those that hold next to nothing. At the bound of the
    connections, those go first that are being closed, then those that have not sent a
    complete request, and among them those without progress for longest. A connection
    stays whose request is being handled, until its answer is large or unread.

    Parameters
    ----------
    clock : twisted.internet.interfaces.IReactorTime
    bounds : CallerBounds or None
        None for no bounds.

    Attributes
    ----------
    held_bytes : int
        Memory that all connections hold.
    shed_count : int
        Number of connections shed so far.
    read_budget : ReadBudget
        Work for the pieces of all bodies.
    """

    def __init__(self, clock, bounds=None):
        self._clock = clock
        self._bounds = bounds
        self._holdings = set()
        self._unlogged = {}
        self._is_shedding = False
        self.held_bytes = 0
        self.shed_count = 0
        self.read_budget = ReadBudget(clock)

    @property
    def connection_count(self):
        """Int : number of open connections."""
        return len(self._holdings)

    def open(self, holding):
        """Count a new connection, and make room for it.

        Returns
        -------
        bool
            Whether there is room; otherwise the connection is not counted.
        """
        if self._bounds and len(self._holdings) >= self._bounds.connections:
            if not self._shed_for_connection():
                return False
        self._holdings.add(holding)
        self.note(holding, 0)
        return True

    def close(self, holding):
        """Remove a connection that is closed."""
        if holding in self._holdings:
            self._holdings.remove(holding)
            self.held_bytes -= holding.held_bytes
            holding.held_bytes = 0

    def note(self, holding, held_bytes):
        """Record what a connection holds, and shed connections above the bound."""
        self._record(holding, held_bytes)
        if self._is_above():
            self._shed_for_memory()

    def admits(self, holding, held_bytes, body_bytes):
        """Record what a connection holds whose request is about to be handled.

        Parameters
        ----------
        holding : CallerHolding
        held_bytes : int
            Memory that it holds while the request is handled.
        body_bytes : int
            Size of the request's body.

        Returns
        -------
        bool
            Whether there is room for the request.
        """
        if self._bounds is None:
            return True
        self._record(holding, held_bytes)
        bound_bytes = self._bounds.memory_bytes
        if body_bytes > SMALL_BODY_BYTES:
            bound_bytes *= 1 - SMALL_BODY_RATIO
            if self._handled_bytes() > bound_bytes:
                return False
        if self._is_above():
            self._shed_for_memory(kept=holding)
        return not self._is_above()

    def _handled_bytes(self):
        return sum(each.held_bytes for each in self._holdings if not each.may_be_shed)

    def _record(self, holding, held_bytes):
        if holding in self._holdings:
            held_bytes += CONNECTION_BYTES
            self.held_bytes += held_bytes - holding.held_bytes
            holding.held_bytes = held_bytes

    def _is_above(self):
        return bool(self._bounds) and self.held_bytes > self._bounds.memory_bytes

    def _shed_for_memory(self, kept=None):
        if self._is_shedding:
            return
        self._is_shedding = True
        try:
            for each in self._holdings:
                self._record(each, each.measure())
            if self._is_above():
                self._shed_heaviest(kept)
        finally:
            self._is_shedding = False

    def _shed_heaviest(self, kept):
        now_s = self._clock.seconds()

        def weight(holding):
            is_heavy = holding.held_bytes > LIGHT_BYTES
            age_s = now_s - holding.progress_s + MIN_AGE_S
            return is_heavy, holding.held_bytes * age_s

        target_bytes = self._bounds.memory_bytes * SHED_TO_RATIO
        for each in sorted(self._holdings, key=weight, reverse=True):
            if self.held_bytes <= target_bytes:
                return
            if each is not kept and each.may_be_shed:
                self._shed(each, ShedReason.MEMORY)

    def _shed_for_connection(self):
        """Shed the connection that is missed least; return whether there is one."""

        def rank(holding):
            return (not holding.is_closing, holding.has_asked, holding.progress_s)

        candidates = [each for each in self._holdings if each.may_be_shed]
        if not candidates:
            return False
        self._shed(min(candidates, key=rank), ShedReason.CONNECTIONS)
        return True

    def _shed(self, holding, reason):
        self.shed_count += 1
        if not self._unlogged:
            self._clock.callLater(LOG_INTERVAL_S, self._log)
        self._unlogged[reason] = self._unlogged.get(reason, 0) + 1
        holding.shed()
        self._record(holding, holding.measure())

    def _log(self):
        unlogged, self._unlogged = self._unlogged, {}
        for reason, count in unlogged.items():
            logger.warning(
                CallersShed(reason.value, count, self.held_bytes, len(self._holdings))
            )
