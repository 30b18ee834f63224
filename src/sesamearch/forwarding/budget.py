"""Retry budget of a service, shared among the routers."""

from collections import deque

__all__ = ["RetryBudget"]


class RetryBudget:
    """Limits the retries of one service in a sliding window.

    Each router counts only its own requests and retries, and gets an equal part of
    the slack.

    Parameters
    ----------
    clock : twisted.internet.interfaces.IReactorTime
    ratio : float
        Retries allowed for each request.
    window_s : float
        Length of the window over which requests and retries are counted.
    slack : float
        Retries that all routers together may send beyond the ratio.
    """

    __slots__ = ("_clock", "_ratio", "_requests", "_retries", "_slack", "_window_s")

    def __init__(self, clock, ratio, window_s, slack):
        self._clock = clock
        self._ratio = ratio
        self._window_s = window_s
        self._slack = slack
        self._requests = deque()
        self._retries = deque()

    def _drop_expired(self):
        oldest_s = self._clock.seconds() - self._window_s
        for times in (self._requests, self._retries):
            while times and times[0] < oldest_s:
                times.popleft()

    def count_request(self):
        """Count a request of a caller."""
        self._requests.append(self._clock.seconds())

    def take(self, routers):
        """Take one retry from the budget, if any is left.

        Parameters
        ----------
        routers : int
            Number of routers that share the slack.

        Returns
        -------
        bool
            Whether the retry may be sent.
        """
        self._drop_expired()
        allowed = self._ratio * len(self._requests) + self._slack / max(routers, 1)
        if len(self._retries) >= allowed:
            return False
        self._retries.append(self._clock.seconds())
        return True
