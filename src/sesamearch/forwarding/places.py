"""Places of an endpoint that must not be sent more requests than it lets in."""

__all__ = ["MAX_HELD_S", "Places"]

# One more place than known is tried at most once in this time, while all are taken and
# nothing was turned away.
GROW_INTERVAL_S = 0.25
# After a request was turned away, no more places are tried for so long.
SHRUNK_S = 5.0
# A place whose request never ended is free again after this time.
MAX_HELD_S = 60.0
HELD_SMOOTHING = 0.1
DEFAULT_HELD_S = 0.1


class Places:
    """Counts the requests under way at one endpoint, and learns how many it lets in.

    The count begins at one, rises slowly while it is used up, and falls at once below
    what was under way when a request was turned away.

    Parameters
    ----------
    clock : twisted.internet.interfaces.IReactorTime

    Attributes
    ----------
    bound : int
        Requests that may be under way.
    """

    __slots__ = (
        "_clock",
        "_grow_s",
        "_held_s",
        "_taken_s",
        "bound",
    )

    def __init__(self, clock):
        self._clock = clock
        self.bound = 1
        self._grow_s = clock.seconds() + GROW_INTERVAL_S
        self._held_s = DEFAULT_HELD_S
        # Time at which each holder took its place.
        self._taken_s = {}

    @property
    def under_way(self):
        """Int : number of places that are taken."""
        return len(self._taken_s)

    def has_free(self, share_ratio):
        """Return whether a place is free of the part that one router may give."""
        self._drop_old()
        if self.under_way >= self.bound and self._clock.seconds() >= self._grow_s:
            self.bound += 1
            self._grow_s = self._clock.seconds() + GROW_INTERVAL_S
        return self.under_way < max(1, int(self.bound * share_ratio))

    def _drop_old(self):
        oldest_s = self._clock.seconds() - MAX_HELD_S
        old = [holder for holder, at_s in self._taken_s.items() if at_s < oldest_s]
        for holder in old:
            del self._taken_s[holder]

    def take(self, holder):
        """Take a place."""
        self._taken_s[holder] = self._clock.seconds()

    def give_back(self, holder):
        """Give back a place that was not used."""
        self._taken_s.pop(holder, None)

    def note_ended(self, holder):
        """Give back a place at the end of its request."""
        taken_s = self._taken_s.pop(holder, None)
        if taken_s is not None:
            held_s = self._clock.seconds() - taken_s
            self._held_s += HELD_SMOOTHING * (held_s - self._held_s)

    def note_turned_away(self, holder):
        """Give back a place whose request the endpoint turned away for want of room."""
        if holder not in self._taken_s:
            return
        self.bound = max(1, min(self.bound, self.under_way - 1))
        self._grow_s = self._clock.seconds() + SHRUNK_S
        del self._taken_s[holder]

    def wait_s(self, position):
        """Return the estimated time until the claim at a position gets a place."""
        missing = position + 1 - (self.bound - self.under_way)
        return max(0.0, missing * self._held_s / self.bound)
