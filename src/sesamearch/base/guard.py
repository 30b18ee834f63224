"""Guard of functions whose exception must not end what calls them again and again."""

import traceback

from sesamearch.base.log import logger

__all__ = ["Guard"]

LOG_INTERVAL_S = 60.0


class Guard:
    """Calls a function, and logs an exception instead of raising it.

    A loop that ends with its first exception would stop what it does for good, which is
    worse than one turn without it. An exception is a bug; it is logged with its
    traceback, but no more than once a minute.

    Parameters
    ----------
    clock : twisted.internet.interfaces.IReactorTime
    function : callable
    """

    __slots__ = ("_clock", "_function", "_log_due_s", "_unlogged")

    def __init__(self, clock, function):
        self._clock = clock
        self._function = function
        self._log_due_s = float("-inf")
        self._unlogged = 0

    def __call__(self, *arguments):
        """Call the function; return its result, or None after an exception."""
        try:
            return self._function(*arguments)
        except Exception:
            self._log(traceback.format_exc())
        return None

    def _log(self, trace):
        now_s = self._clock.seconds()
        if now_s < self._log_due_s:
            self._unlogged += 1
            return
        logger.error("failed, {} times unlogged before: {}", self._unlogged, trace)
        self._log_due_s = now_s + LOG_INTERVAL_S
        self._unlogged = 0
