"""News on their way through a relay, handed on in bundles."""

__all__ = ["BATCH_INTERVAL_S", "BroadcastBatcher"]

# Between two bundles: what a router hears is bounded, however large the fleet is.
BATCH_INTERVAL_S = 0.04


class BroadcastBatcher:
    """Collects news while they come faster than bundles may leave.

    The first one after a pause leaves at once.

    Parameters
    ----------
    clock : twisted.internet.interfaces.IReactorTime
    send : callable
        Called with a list of news.
    """

    __slots__ = ("_clock", "_held", "_next_s", "_send", "_timer")

    def __init__(self, clock, send):
        self._clock = clock
        self._send = send
        self._held = []
        self._next_s = 0.0
        self._timer = None

    def add(self, news):
        """Send a piece of news, now or with the next bundle."""
        self._held.append(news)
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
        held, self._held = self._held, []
        self._send(held)

    def stop(self):
        """Forget what is held."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self._held = []
