"""Bound of the work that reading what one peer sends may take."""

import abc
from collections import deque

__all__ = ["BudgetedReader", "ReadBudget"]

# One step is the work for one chunk of a body, or for one event of a stream; it takes
# some ten microseconds. A sound engine writes fewer events a second for one router.
STEPS_PER_S = 5000.0
# Work that may be done at once, so that other connections are read soon.
MAX_STEPS = 1000.0
# Readers that wait go on once so many steps have come up.
MIN_RESUME_STEPS = 50.0


class BudgetedReader(abc.ABC):
    """Reads what a peer sent, in turns."""

    @abc.abstractmethod
    def read_on(self):
        """Go on to read; called once for each call of :meth:`ReadBudget.wait`."""


class ReadBudget:
    """Bounds the work for what all connections to one peer bring.

    A peer that writes without end, in pieces of some bytes, could otherwise take all of
    the processor, whatever bound there is on the bytes that are kept. Readers wait in
    turn while the budget is used up, and what they do not read stays in the sockets.

    Parameters
    ----------
    clock : twisted.internet.interfaces.IReactorTime
    """

    __slots__ = ("_clock", "_steps", "_timer", "_updated_s", "_waiting")

    def __init__(self, clock):
        self._clock = clock
        self._steps = MAX_STEPS
        self._updated_s = clock.seconds()
        self._waiting = deque()
        self._timer = None

    @property
    def is_spent(self):
        """Bool : whether a reader has to wait, as of the last :meth:`refresh`."""
        return self._steps <= 0

    def refresh(self):
        """Add the steps that have come up since the last call."""
        now_s = self._clock.seconds()
        gathered = self._steps + (now_s - self._updated_s) * STEPS_PER_S
        self._steps = min(gathered, MAX_STEPS)
        self._updated_s = now_s

    def take(self, steps):
        """Count work that was done; the budget may be overdrawn by one piece of it."""
        self._steps -= steps

    def wait(self, reader):
        """Call ``reader.read_on()`` when it is its turn."""
        self._waiting.append(reader)
        self._schedule()

    def _schedule(self):
        if self._waiting and self._timer is None:
            delay_s = max(0.0, MIN_RESUME_STEPS - self._steps) / STEPS_PER_S
            self._timer = self._clock.callLater(delay_s, self._resume)

    def _resume(self):
        self._timer = None
        self.refresh()
        for _ in range(len(self._waiting)):
            if self.is_spent:
                break
            self._waiting.popleft().read_on()
        self._schedule()
