"""Memory of what endpoints have run without an end."""

__all__ = ["RunHistory"]

HISTORY_LIFETIME_S = 120.0


class RunHistory:
    """Remembers the parts of requests that endpoints have run lately.

    Parameters
    ----------
    clock : twisted.internet.interfaces.IReactorTime
    max_parts : int
    """

    __slots__ = ("_clock", "_max_parts", "_ran_s")

    def __init__(self, clock, max_parts):
        self._clock = clock
        self._max_parts = max_parts
        # By part, the least recent one first.
        self._ran_s = {}

    def note(self, part):
        """Record that an endpoint has run a request with a part."""
        self._ran_s.pop(part, None)
        self._ran_s[part] = self._clock.seconds()
        if len(self._ran_s) > self._max_parts:
            del self._ran_s[next(iter(self._ran_s))]

    def has(self, part):
        """Return whether an endpoint has run a request with a part lately."""
        ran_s = self._ran_s.get(part, float("-inf"))
        return ran_s > self._clock.seconds() - HISTORY_LIFETIME_S
