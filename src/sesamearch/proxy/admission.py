"""Admission of requests that other routers send on."""

__all__ = ["ProxyAdmission"]

# Requests in flight, of callers and routers together, above which none is admitted. The
# lower a request's priority, the sooner it is refused.
MAX_IN_FLIGHT = 400
RESERVED_RATIO_PER_RANK = 0.05
# A router whose reactor lags so much admits none.
MAX_LAG_S = 0.3
LAG_SMOOTHING = 0.5


class ProxyAdmission:
    """Decides whether this router has room for a request of another one.

    Parameters
    ----------
    clock : twisted.internet.interfaces.IReactorTime
    in_flight : callable
        Returns the number of requests in flight.
    interval_s : float
        Time between two calls of :meth:`measure`.
    """

    __slots__ = ("_clock", "_due_s", "_in_flight", "_interval_s", "_lag_s")

    def __init__(self, clock, in_flight, interval_s):
        self._clock = clock
        self._in_flight = in_flight
        self._interval_s = interval_s
        self._due_s = None
        self._lag_s = 0.0

    def measure(self):
        """Measure by how much a call at fixed intervals is late."""
        now_s = self._clock.seconds()
        if self._due_s is not None:
            lag_s = max(0.0, now_s - self._due_s)
            self._lag_s += LAG_SMOOTHING * (lag_s - self._lag_s)
        self._due_s = now_s + self._interval_s

    def admits(self, rank):
        """Return whether to take a request of a rank, zero for the highest priority."""
        share = max(0.0, 1.0 - RESERVED_RATIO_PER_RANK * rank)
        has_room = self._in_flight() < MAX_IN_FLIGHT * share
        return has_room and self._lag_s <= MAX_LAG_S * share
