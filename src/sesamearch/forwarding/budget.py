"""The budget of repeated sends, shared among the routers."""

from collections import deque

__all__ = ["RetryBudget"]


class RetryBudget:
    """A router's part of the sliding window of repeated sends of one service.

    Parameters
    ----------
    clock : twisted.internet.interfaces.IReactorTime
    ratio : float
        Repeated sends for each request.
    window_s : float
    slack : float
        Repeated sends of all routers together beyond the ratio.
    """

    __slots__ = ("_clock", "_ratio", "_repeats", "_requests", "_slack", "_window_s")

    def __init__(self, clock, ratio, window_s, slack):
        self._clock = clock
        self._ratio = ratio
        self._window_s = window_s
        self._slack = slack
        self._requests = deque()
        self._repeats = deque()

    def _drop_expired(self):
        oldest_s = self._clock.seconds() - self._window_s
        for times in (self._requests, self._repeats):
            while times and times[0] < oldest_s:
                times.popleft()

    def count_request(self):
        """Count a caller's request."""
        self._requests.append(self._clock.seconds())

    def take(self, routers):
        """Take one repeated send if there is one.

        Parameters
        ----------
        routers : int
            Routers that share the slack.

        Returns
        -------
        bool
        """
        self._drop_expired()
        allowed = self._ratio * len(self._requests) + self._slack / max(routers, 1)
        if len(self._repeats) >= allowed:
            return False
        self._repeats.append(self._clock.seconds())
        return True
