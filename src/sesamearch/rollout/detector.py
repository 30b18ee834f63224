"""Sequential test that detects a bad new version.

For each kind of bad event, route and load level, the test compares the new version's
share of the bad events in a window with its share of the requests. If the new version
is no worse (fails no more often, is slow no more than twice as often), each factor
below has a mean of at most one. The sum of restarted products (Shiryaev-Roberts) then
grows by at most one per window on average, and the probability that it exceeds
``windows / false_alarm_ratio`` within that many windows is at most
``false_alarm_ratio``. Because of the restarts, a fault that begins late is detected as
fast as one that is present from the start.
"""

import math

import msgspec

from sesamearch.routing.evidence import BadEvent

__all__ = ["Alarm", "Detector"]

FALSE_ALARM_RATIO = 0.004
# Factors by which a bad version may have more bad events; the test averages over them.
RISK_RATIOS = (2.0, 5.0, 20.0, 100.0)
# In a window without requests of the old version, the new version is compared with the
# earlier windows. It may have twice the old version's ratio of bad events there, and
# at least `MIN_HISTORY_RATIO`.
HISTORY_TOLERANCE_RATIO = 2.0
MIN_HISTORY_RATIO = 0.02
HISTORY_RISK_RATIOS = (2.0, 5.0)
MIN_HISTORY_REQUESTS = 200
MAX_BAD_RATIO = 0.95
# The new version's ratio of slow requests may be up to this many times that of the old
# version, because it runs on other endpoints, which may be fewer and farther away. This
# tolerance does not apply to errors.
SLOW_TOLERANCE_RATIO = 2.0
_SLOW = (BadEvent.SLOW_FIRST_TOKEN, BadEvent.SLOW_GAP)


class Alarm(msgspec.Struct, frozen=True):
    """The evidence on which a version was found bad.

    Parameters
    ----------
    event, route : str
        Kind of event and route with the strongest evidence.
    new_requests, new_bad, old_requests, old_bad : int
        Requests and bad events of both versions there since the move began.
    """

    event: str
    route: str
    new_requests: int
    new_bad: int
    old_requests: int
    old_bad: int

    def to_text(self):
        """Return the evidence as one line of text."""
        return (
            f"{self.event} on {self.route}: {self.new_bad} of {self.new_requests}"
            f" new, {self.old_bad} of {self.old_requests} old"
        )


class _Cell:
    """Test statistics for one kind of event on one route at one load level."""

    __slots__ = ("_tolerance", "concurrent", "counts", "historical")

    def __init__(self, event):
        self._tolerance = SLOW_TOLERANCE_RATIO if event in _SLOW else 1.0
        self.concurrent = [0.0] * len(RISK_RATIOS)
        self.historical = [0.0] * len(HISTORY_RISK_RATIOS)
        self.counts = [0, 0, 0, 0]

    def add(self, cell):
        """Add a window's counts; history consists of the windows before it."""
        new, new_bad = cell.new_requests, cell.new_bad
        old, old_bad = cell.old_requests, cell.old_bad
        if new and old:
            allowed = new * self._tolerance
            self._compare_concurrent(
                allowed / (allowed + old), new_bad, new_bad + old_bad
            )
        elif new:
            self._compare_with_history(new, new_bad)
        for index, count in enumerate((new, new_bad, old, old_bad)):
            self.counts[index] += count

    def _compare_concurrent(self, new_ratio, new_bad, bad):
        for index, risk in enumerate(RISK_RATIOS):
            mean = risk * new_ratio + 1 - new_ratio
            factor = _capped_exp(new_bad * math.log(risk) - bad * math.log(mean))
            self.concurrent[index] = _capped((self.concurrent[index] + 1) * factor)

    def _compare_with_history(self, new, new_bad):
        """Compare with earlier windows: this one has no requests of the old version."""
        _, _, old, old_bad = self.counts
        if old < MIN_HISTORY_REQUESTS:
            return
        rate = max(MIN_HISTORY_RATIO, HISTORY_TOLERANCE_RATIO * old_bad / old)
        for index, risk in enumerate(HISTORY_RISK_RATIOS):
            worse = min(MAX_BAD_RATIO, risk * rate)
            if worse <= rate:
                continue
            log_factor = new_bad * math.log(worse / rate)
            log_factor += (new - new_bad) * math.log((1 - worse) / (1 - rate))
            factor = _capped_exp(log_factor)
            self.historical[index] = _capped((self.historical[index] + 1) * factor)

    @property
    def total(self):
        """Float : sum of both test statistics, each a mean over its risk ratios."""
        return sum(self.concurrent) / len(RISK_RATIOS) + sum(self.historical) / len(
            HISTORY_RISK_RATIOS
        )


def _capped(value):
    return min(value, 1e300)


def _capped_exp(value):
    return math.exp(min(value, 600.0))


class Detector:
    """Evaluates the evidence on one move, window by window.

    Parameters
    ----------
    windows : int
        Number of windows that the move will have.
    cells : int
        Largest number of cells that the move can have. A cell is a combination of
        event, route and load level.
    false_alarm_ratio : float
        Upper bound on the probability that a good version is found bad during the move.

    Attributes
    ----------
    threshold : float
        Value of the weighted sum from which the version is bad.
    """

    __slots__ = ("_cells", "_weight", "threshold")

    def __init__(self, windows, cells, false_alarm_ratio=FALSE_ALARM_RATIO):
        self._cells = {}
        self._weight = 1.0 / cells
        # Each cell has two sums: against the old version's concurrent requests, and
        # against its earlier windows.
        self.threshold = 2 * windows / false_alarm_ratio

    @property
    def new_requests(self):
        """Int : requests of the new version in the cell that has the most of them."""
        counts = [cell.counts[0] for cell in self._cells.values()]
        return max(counts, default=0)

    def add(self, window):
        """Add the :class:`~sesamearch.routing.evidence.CellCounts` of a window.

        Returns
        -------
        Alarm or None
            Set if the version is bad by the evidence so far.
        """
        for counts in window:
            key = (counts.event, counts.route, counts.load)
            self._cells.setdefault(key, _Cell(counts.event)).add(counts)
        total = sum(cell.total for cell in self._cells.values()) * self._weight
        return self._explain() if total >= self.threshold else None

    def _explain(self):
        (event, route, _), cell = max(self._cells.items(), key=lambda kv: kv[1].total)
        return Alarm(event.value, route, *cell.counts)
