"""Bound of the work that reading what peers send may take, and who waits for it."""

import abc
import heapq
import itertools

__all__ = ["BudgetedReader", "ReadBudget", "ReadShare"]

# One step is the work for one chunk of a body, or for one event of a stream; it takes
# some ten microseconds. A sound engine writes fewer events a second for one router.
STEPS_PER_S = 5000.0
# Work that may be done at once, so that other connections are read soon.
MAX_STEPS = 1000.0
# Readers that wait go on once so many steps have come up.
MIN_RESUME_STEPS = 50.0
# Work that one reader may cause without waiting longer for it later.
FORGIVEN_STEPS_PER_S = 100.0


class ReadShare:
    """Work that one reader caused lately.

    Parameters
    ----------
    now_s : float
    """

    __slots__ = ("_steps", "_updated_s")

    def __init__(self, now_s):
        self._steps = 0.0
        self._updated_s = now_s

    def steps(self, now_s):
        """Return the steps that are not forgiven yet."""
        forgiven = (now_s - self._updated_s) * FORGIVEN_STEPS_PER_S
        return max(0.0, self._steps - forgiven)

    def add(self, steps, now_s):
        """Count work."""
        self._steps = self.steps(now_s) + steps
        self._updated_s = now_s


class BudgetedReader(abc.ABC):
    """Reads what a peer sent, in turns.

    Attributes
    ----------
    read_share : ReadShare
    """

    @property
    @abc.abstractmethod
    def pending_steps(self):
        """Float : least work for what has been received and not been handled."""

    @abc.abstractmethod
    def read_on(self):
        """Go on to read; called at most once for each :meth:`ReadBudget.wait`."""


class ReadBudget:
    """Bounds the work for what all connections that share it bring.

    A peer that writes without end, in pieces of some bytes, could otherwise take all of
    the processor, whatever bound there is on the bytes that are kept. While the budget
    is used up, readers wait, and what they do not read stays in the sockets. Those go
    on first that have caused least work lately and have least to do.

    Parameters
    ----------
    clock : twisted.internet.interfaces.IReactorTime
    """

    __slots__ = (
        "_clock",
        "_numbers",
        "_queue",
        "_steps",
        "_timer",
        "_turns",
        "_updated_s",
    )

    def __init__(self, clock):
        self._clock = clock
        self._steps = MAX_STEPS
        self._updated_s = clock.seconds()
        # Heap of [steps, number, reader], and the entry of each reader that waits. The
        # entry of a reader that left stays in the heap, without the reader.
        self._queue = []
        self._turns = {}
        self._numbers = itertools.count()
        self._timer = None

    @property
    def is_spent(self):
        """Bool : whether a reader has to wait, as of the last :meth:`refresh`."""
        return self._steps <= 0

    @property
    def waiting_count(self):
        """Int : number of readers that wait."""
        return len(self._turns)

    def refresh(self):
        """Add the steps that have come up since the last call."""
        now_s = self._clock.seconds()
        gathered = self._steps + (now_s - self._updated_s) * STEPS_PER_S
        self._steps = min(gathered, MAX_STEPS)
        self._updated_s = now_s

    def take(self, reader, steps):
        """Count work that was done; the budget may be overdrawn by one piece of it."""
        self._steps -= steps
        reader.read_share.add(steps, self._clock.seconds())

    def wait(self, reader):
        """Call ``reader.read_on()`` when it is its turn."""
        steps = reader.read_share.steps(self._clock.seconds()) + reader.pending_steps
        entry = self._turns[reader] = [steps, next(self._numbers), reader]
        heapq.heappush(self._queue, entry)
        self._schedule()

    def leave(self, reader):
        """Forget a reader that has nothing to read any more, if it waits."""
        entry = self._turns.pop(reader, None)
        if entry is None:
            return
        entry[-1] = None
        if len(self._queue) > 2 * len(self._turns):
            self._queue = list(self._turns.values())
            heapq.heapify(self._queue)

    def _schedule(self):
        if self._turns and self._timer is None:
            delay_s = max(0.0, MIN_RESUME_STEPS - self._steps) / STEPS_PER_S
            self._timer = self._clock.callLater(delay_s, self._resume)

    def _resume(self):
        self._timer = None
        self.refresh()
        due = len(self._turns)
        while due and self._turns and not self.is_spent:
            reader = heapq.heappop(self._queue)[-1]
            if reader is not None:
                due -= 1
                del self._turns[reader]
                reader.read_on()
        self._schedule()
