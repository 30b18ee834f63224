"""Outcomes of requests to two versions of a service, counted by route and load."""

import collections
import enum
import statistics

import msgspec

__all__ = ["BadEvent", "CellCounts", "EvidenceCollector", "Outcome", "load_level"]

MAX_TIME_SAMPLES = 400
MIN_TIME_SAMPLES = 30
SLOW_PERCENTILE = 90
# A request is slow above the limit times this ratio, since times of equal versions
# differ by noise.
SLOW_TOLERANCE_RATIO = 1.1
LOAD_BOUNDS = (4, 16)


class BadEvent(enum.Enum):
    """Ways in which a request can go wrong."""

    ERROR = "error"
    CUT_OFF = "cut-off"
    SLOW_FIRST_TOKEN = "slow-first-token"
    SLOW_GAP = "slow-gap"


class Outcome(msgspec.Struct, frozen=True):
    """How one request ended.

    Parameters
    ----------
    service, version, route : str
        The route is a model, or the method and path of a plain call.
    load : int
        Load level of the endpoint when the request began, see :func:`load_level`.
    is_error : bool
        Whether it failed before any output.
    is_cut_off : bool
        Whether it failed after some output.
    first_token_s, gap_s : float or None
        Time to the first token or to the reply, and mean time between tokens.
    """

    service: str
    version: str
    route: str
    load: int = 0
    is_error: bool = False
    is_cut_off: bool = False
    first_token_s: float | None = None
    gap_s: float | None = None


class CellCounts(msgspec.Struct, frozen=True, array_like=True):
    """Requests and bad events of both versions in one window, for one route and load.

    Parameters
    ----------
    route : str
    load : int
        Load level, see :func:`load_level`.
    event : BadEvent
    new_requests, new_bad, old_requests, old_bad : int
        Requests for which the event was checked, and those with the event, of each
        version.
    """

    route: str
    load: int
    event: BadEvent
    new_requests: int
    new_bad: int
    old_requests: int
    old_bad: int

    def plus(self, other):
        """Return the sum with the counts of the same route, load and event."""
        return CellCounts(
            self.route,
            self.load,
            self.event,
            self.new_requests + other.new_requests,
            self.new_bad + other.new_bad,
            self.old_requests + other.old_requests,
            self.old_bad + other.old_bad,
        )


def load_level(in_flight):
    """Return the load level, 0 to 2, for a number of requests in flight."""
    return sum(in_flight >= bound for bound in LOAD_BOUNDS)


class _SlowLimit:
    """The limit above which a time is slow, from recent times of the old version."""

    __slots__ = ("_samples_s", "limit_s")

    def __init__(self):
        self._samples_s = collections.deque(maxlen=MAX_TIME_SAMPLES)
        self.limit_s = None

    def add(self, value_s):
        self._samples_s.append(value_s)

    def refresh(self):
        """Set the limit for the next window."""
        if len(self._samples_s) >= MIN_TIME_SAMPLES:
            cuts = statistics.quantiles(self._samples_s, n=100)
            self.limit_s = cuts[SLOW_PERCENTILE - 1]


class EvidenceCollector:
    """Counts the outcomes of one version move in one router, window by window.

    Limits for slow requests come from earlier windows, so that both versions are
    compared with the same limit, whatever their times in the current window.

    Parameters
    ----------
    new_version, old_version : str
    """

    __slots__ = ("_cells", "_slow_limits", "new_version", "old_version")

    def __init__(self, new_version, old_version):
        self.new_version = new_version
        self.old_version = old_version
        self._cells = collections.defaultdict(lambda: [0, 0, 0, 0])
        self._slow_limits = collections.defaultdict(_SlowLimit)

    def note(self, outcome):
        """Count an :class:`Outcome` of either version."""
        if outcome.version not in (self.new_version, self.old_version):
            return
        is_old = outcome.version == self.old_version
        offset = 2 if is_old else 0
        for event, is_bad in self._check_events(outcome, is_old):
            counts = self._cells[outcome.route, outcome.load, event]
            counts[offset] += 1
            counts[offset + 1] += is_bad

    def _check_events(self, outcome, is_old):
        yield BadEvent.ERROR, outcome.is_error
        yield BadEvent.CUT_OFF, outcome.is_cut_off
        times = (
            (BadEvent.SLOW_FIRST_TOKEN, outcome.first_token_s),
            (BadEvent.SLOW_GAP, outcome.gap_s),
        )
        for event, value_s in times:
            if value_s is None:
                continue
            slow_limit = self._slow_limits[outcome.route, outcome.load, event]
            if is_old:
                slow_limit.add(value_s)
            if slow_limit.limit_s is not None:
                yield event, value_s > slow_limit.limit_s * SLOW_TOLERANCE_RATIO

    def close_window(self):
        """Return the window's list of :class:`CellCounts` and start the next window."""
        cells = [
            CellCounts(route, load, event, *counts)
            for (route, load, event), counts in self._cells.items()
        ]
        self._cells.clear()
        for slow_limit in self._slow_limits.values():
            slow_limit.refresh()
        return cells
