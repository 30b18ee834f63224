"""Evidence on two versions: what happened to requests of each, at like load."""

import collections
import enum
import statistics

import msgspec

__all__ = ["BadEvent", "CellCounts", "EvidenceCollector", "Outcome", "load_level"]

PACE_SAMPLES = 400
MIN_PACE_SAMPLES = 30
SLOW_PERCENT = 90
# How far beyond the limit counts: equal versions may differ by nothing but noise.
SLOW_TOLERANCE_RATIO = 1.1
LOAD_BOUNDS = (4, 16)


class BadEvent(enum.Enum):
    """What can be wrong with a request."""

    ERROR = "error"
    CUT_OFF = "cut-off"
    SLOW_FIRST_TOKEN = "slow-first-token"
    SLOW_GAP = "slow-gap"


class Outcome(msgspec.Struct, frozen=True):
    """How one request ended.

    Parameters
    ----------
    service, version, route : str
        The route is a model, or method and path of a plain call.
    load : int
        Level of :func:`load_level` at its endpoint when it began.
    is_error : bool
        Failed before any output.
    is_cut_off : bool
        Failed after some.
    first_token_s, gap_s : float or None
        Time to the first token, or to the reply, and mean time between tokens.
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
    """Requests and bad events of both versions in one window, at like load.

    Parameters
    ----------
    route : str
    load : int
    event : BadEvent
    new_requests, new_bad, old_requests, old_bad : int
    """

    route: str
    load: int
    event: BadEvent
    new_requests: int
    new_bad: int
    old_requests: int
    old_bad: int

    def plus(self, other):
        """Return the sum with a cell of the same kind."""
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
    """Return the level, 0 to 2, of an endpoint's requests in flight."""
    return sum(in_flight >= bound for bound in LOAD_BOUNDS)


class _Pace:
    """What is slow, by the running version's own recent times."""

    __slots__ = ("_samples_s", "limit_s")

    def __init__(self):
        self._samples_s = collections.deque(maxlen=PACE_SAMPLES)
        self.limit_s = None

    def add(self, value_s):
        self._samples_s.append(value_s)

    def refresh(self):
        """Set the limit for the next window."""
        if len(self._samples_s) >= MIN_PACE_SAMPLES:
            cuts = statistics.quantiles(self._samples_s, n=100)
            self.limit_s = cuts[SLOW_PERCENT - 1]


class EvidenceCollector:
    """Count the outcomes of one move in one router, window by window.

    What is slow is decided by limits from earlier windows, so both versions are
    measured by the same limit whatever they do in this one.

    Parameters
    ----------
    new_version, old_version : str
    """

    __slots__ = ("_cells", "_paces", "new_version", "old_version")

    def __init__(self, new_version, old_version):
        self.new_version = new_version
        self.old_version = old_version
        self._cells = collections.defaultdict(lambda: [0, 0, 0, 0])
        self._paces = collections.defaultdict(_Pace)

    def note(self, outcome):
        """Count an :class:`Outcome` of either version."""
        if outcome.version not in (self.new_version, self.old_version):
            return
        is_old = outcome.version == self.old_version
        place = 2 if is_old else 0
        for event, is_bad in self._judge(outcome, is_old):
            counts = self._cells[outcome.route, outcome.load, event]
            counts[place] += 1
            counts[place + 1] += is_bad

    def _judge(self, outcome, is_old):
        yield BadEvent.ERROR, outcome.is_error
        yield BadEvent.CUT_OFF, outcome.is_cut_off
        times = (
            (BadEvent.SLOW_FIRST_TOKEN, outcome.first_token_s),
            (BadEvent.SLOW_GAP, outcome.gap_s),
        )
        for event, value_s in times:
            if value_s is None:
                continue
            pace = self._paces[outcome.route, outcome.load, event]
            if is_old:
                pace.add(value_s)
            if pace.limit_s is not None:
                yield event, value_s > pace.limit_s * SLOW_TOLERANCE_RATIO

    def close_window(self):
        """Return the window's list of :class:`CellCounts` and begin the next."""
        cells = [
            CellCounts(route, load, event, *counts)
            for (route, load, event), counts in self._cells.items()
        ]
        self._cells.clear()
        for pace in self._paces.values():
            pace.refresh()
        return cells
