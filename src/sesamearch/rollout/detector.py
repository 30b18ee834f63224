"""A sequential test that calls a version bad.

For each kind of bad event, route and load level the test compares, among the bad
events of a window, the new version's part with its part of the requests. If the new
version is no worse (wrong no more often, slow no more than twice as often), each
factor below has a mean of at most one, so the sum of restarted products
(Shiryaev-Roberts) grows by at most one a window on average, and the chance that it
ever passes ``windows / false_alarm_ratio`` within that many windows is at most
``false_alarm_ratio``. Restarting keeps a fault that begins late as visible as one that
is there at once.
"""

import math

import msgspec

from sesamearch.routing.evidence import BadEvent

__all__ = ["Alarm", "Detector"]

FALSE_ALARM_RATIO = 0.004
RISKS = (2.0, 5.0, 20.0, 100.0)
PAST_TOLERANCE_RATIO = 2.0
PAST_FLOOR_RATIO = 0.02
PAST_RISKS = (2.0, 5.0)
MIN_PAST_REQUESTS = 200
MAX_RATE = 0.95
# How many times as often as the old version the new one may be slow: its endpoints
# are other ones, perhaps fewer and farther away. An error has no such excuse.
SLOW_TOLERANCE_RATIO = 2.0
_SLOW = (BadEvent.SLOW_FIRST_TOKEN, BadEvent.SLOW_GAP)


class Alarm(msgspec.Struct, frozen=True):
    """Why a version was called bad.

    Parameters
    ----------
    event, route : str
        The strongest cell.
    new_requests, new_bad, old_requests, old_bad : int
        What that cell saw since the move began.
    """

    event: str
    route: str
    new_requests: int
    new_bad: int
    old_requests: int
    old_bad: int

    def show(self):
        """Return the reason as a line."""
        return (
            f"{self.event} on {self.route}: {self.new_bad} of {self.new_requests}"
            f" new, {self.old_bad} of {self.old_requests} old"
        )


class _Cell:
    """Sums of one kind of event on one route at one load level."""

    __slots__ = ("_tolerance", "beside", "counts", "past")

    def __init__(self, event):
        self._tolerance = SLOW_TOLERANCE_RATIO if event in _SLOW else 1.0
        self.beside = [0.0] * len(RISKS)
        self.past = [0.0] * len(PAST_RISKS)
        self.counts = [0, 0, 0, 0]

    def add(self, cell):
        """Take a window; both tests use what was known before it."""
        new, new_bad = cell.new_requests, cell.new_bad
        old, old_bad = cell.old_requests, cell.old_bad
        if new and old:
            allowed = new * self._tolerance
            self._compare_beside(allowed / (allowed + old), new_bad, new_bad + old_bad)
        elif new:
            self._compare_with_past(new, new_bad)
        for place, count in enumerate((new, new_bad, old, old_bad)):
            self.counts[place] += count

    def _compare_beside(self, new_part, new_bad, bad):
        for place, risk in enumerate(RISKS):
            mean = risk * new_part + 1 - new_part
            factor = _bounded_exp(new_bad * math.log(risk) - bad * math.log(mean))
            self.beside[place] = _bounded((self.beside[place] + 1) * factor)

    def _compare_with_past(self, new, new_bad):
        """Compare with the old version's past where none of it runs beside."""
        _, _, old, old_bad = self.counts
        if old < MIN_PAST_REQUESTS:
            return
        rate = max(PAST_FLOOR_RATIO, PAST_TOLERANCE_RATIO * old_bad / old)
        for place, risk in enumerate(PAST_RISKS):
            worse = min(MAX_RATE, risk * rate)
            if worse <= rate:
                continue
            log_factor = new_bad * math.log(worse / rate)
            log_factor += (new - new_bad) * math.log((1 - worse) / (1 - rate))
            factor = _bounded_exp(log_factor)
            self.past[place] = _bounded((self.past[place] + 1) * factor)

    @property
    def total(self):
        """Float : mean over the assumed risks."""
        return sum(self.beside) / len(RISKS) + sum(self.past) / len(PAST_RISKS)


def _bounded(value):
    return min(value, 1e300)


def _bounded_exp(value):
    return math.exp(min(value, 600.0))


class Detector:
    """Weigh the windows of one move.

    Parameters
    ----------
    windows : int
        Number of windows that the move will have.
    cells : int
        Number of cells that it can have at most.
    false_alarm_ratio : float
        Bound on the chance to call a good version bad in all its windows.

    Attributes
    ----------
    threshold : float
        What the weighted sum must reach for a call.
    """

    __slots__ = ("_cells", "_weight", "threshold")

    def __init__(self, windows, cells, false_alarm_ratio=FALSE_ALARM_RATIO):
        self._cells = {}
        self._weight = 1.0 / cells
        # Two sums for each cell: beside the running version, and with its past.
        self.threshold = 2 * windows / false_alarm_ratio

    @property
    def new_requests(self):
        """Int : requests of the new version that were weighed."""
        counts = [cell.counts[0] for cell in self._cells.values()]
        return max(counts, default=0)

    def add(self, window):
        """Take a window, a list of :class:`~sesamearch.routing.evidence.CellCounts`.

        Returns
        -------
        Call or None
            Set once the version is called bad.
        """
        for counts in window:
            key = (counts.event, counts.route, counts.load)
            self._cells.setdefault(key, _Cell(counts.event)).add(counts)
        total = sum(cell.total for cell in self._cells.values()) * self._weight
        return self._explain() if total >= self.threshold else None

    def _explain(self):
        (event, route, _), cell = max(self._cells.items(), key=lambda kv: kv[1].total)
        return Alarm(event.value, route, *cell.counts)
