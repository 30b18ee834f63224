"""A timer that is moved often and fires seldom."""

__all__ = ["MovableTimer"]


class MovableTimer:
    """One timer, which is only moved to an earlier time.

    Most deadlines are moved long before they pass. A timer that fires too early is
    started again for the remaining time.

    Parameters
    ----------
    clock : twisted.internet.interfaces.IReactorTime
    on_fired : callable
        Called without arguments; the deadline may not have passed yet.
    """

    __slots__ = ("_call", "_clock", "_on_fired", "deadline_s")

    def __init__(self, clock, on_fired):
        self._clock = clock
        self._on_fired = on_fired
        self._call = None
        self.deadline_s = 0.0

    @property
    def remaining_s(self):
        """Float : time until the deadline, negative after it."""
        return self.deadline_s - self._clock.seconds()

    def arm(self, timeout_s):
        """Set the deadline."""
        self.deadline_s = self._clock.seconds() + timeout_s
        if self._call is None:
            self.wait(timeout_s)
        elif self._call.getTime() > self.deadline_s:
            self._call.reset(timeout_s)

    def wait(self, delay_s):
        """Fire after a delay, without another deadline."""
        self._call = self._clock.callLater(delay_s, self._fire)

    def _fire(self):
        self._call = None
        self._on_fired()

    def cancel(self):
        """Stop the timer."""
        call, self._call = self._call, None
        if call is not None:
            call.cancel()

    def close(self):
        """Stop the timer for good, and forget who is called."""
        self.cancel()
        self._on_fired = None
