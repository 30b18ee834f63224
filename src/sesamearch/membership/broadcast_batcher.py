"""Rate limiting of the broadcasts that a relay forwards."""

__all__ = ["BATCH_INTERVAL_S", "BroadcastBatcher"]

# Bounds the message rate that a router receives, however large the fleet is.
BATCH_INTERVAL_S = 0.04


class BroadcastBatcher:
    """Collects broadcasts that arrive faster than batches may be sent.

    The first broadcast after a pause of one interval is sent at once.

    Parameters
    ----------
    clock : twisted.internet.interfaces.IReactorTime
    send : callable
        Called with a list of broadcasts.
    """

    __slots__ = ("_clock", "_next_s", "_pending", "_send", "_timer")

    def __init__(self, clock, send):
        self._clock = clock
        self._send = send
        self._pending = []
        self._next_s = 0.0
        self._timer = None

    def add(self, broadcast):
        """Send a broadcast, now or with the next batch."""
        self._pending.append(broadcast)
        if self._timer is not None:
            return
        wait_s = self._next_s - self._clock.seconds()
        if wait_s <= 0:
            self._flush()
        else:
            self._timer = self._clock.callLater(wait_s, self._flush)

    def _flush(self):
        self._timer = None
        self._next_s = self._clock.seconds() + BATCH_INTERVAL_S
        pending, self._pending = self._pending, []
        self._send(pending)

    def stop(self):
        """Cancel the timer and drop the pending broadcasts."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self._pending = []
