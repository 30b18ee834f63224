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
        # Heap of (steps, number, reader), and the number of each reader that waits; a
        # reader that left has no number any more.
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
        number = self._turns[reader] = next(self._numbers)
        steps = reader.read_share.steps(self._clock.seconds()) + reader.pending_steps
        heapq.heappush(self._queue, (steps, number, reader))
        self._schedule()

    def leave(self, reader):
        """Forget a reader that has nothing to read any more, if it waits."""
        if self._turns.pop(reader, None) is not None:
            if len(self._queue) > 2 * len(self._turns):
                self._queue = [each for each in self._queue if self._is_current(each)]
                heapq.heapify(self._queue)

    def _is_current(self, entry):
        _, number, reader = entry
        return self._turns.get(reader) == number

    def _schedule(self):
        if self._turns and self._timer is None:
            delay_s = max(0.0, MIN_RESUME_STEPS - self._steps) / STEPS_PER_S
            self._timer = self._clock.callLater(delay_s, self._resume)

    def _resume(self):
        self._timer = None
        self.refresh()
        due = len(self._turns)
        while due and self._turns and not self.is_spent:
            entry = heapq.heappop(self._queue)
            if self._is_current(entry):
                due -= 1
                reader = entry[-1]
                del self._turns[reader]
                reader.read_on()
        self._schedule()
