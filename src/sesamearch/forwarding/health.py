"""Health of endpoints: avoidance of failed ones and outlier detection."""

import msgspec

from sesamearch.base.log import logger
from sesamearch.base.record import EndpointSuspected

__all__ = ["EndpointHealth", "HealthTracker", "Outcomes", "Suspicion"]

MIN_AVOID_S = 0.8
MAX_AVOID_S = 5.0
# Another process has the address; avoid it until the list of endpoints shows that.
REPLACED_AVOID_S = 30.0
# Outcomes decay, so that an endpoint that recovers gets requests again.
OUTCOME_HALF_LIFE_S = 3.0
MIN_OUTCOMES = 4.0
# Endpoints with fewer recent failures than this are not reported to other routers.
MIN_REPORTED_FAILURES = 0.25
# An endpoint that fails again after it recovered is avoided for twice as long as
# before; between failures that time decays with this half-life.
AVOID_HALF_LIFE_S = 8.0
FAILURE_EXCESS_RATIO = 0.25
GAP_SMOOTHING = 0.2


class EndpointHealth:
    """Health of one endpoint."""

    __slots__ = (
        "_counted_s",
        "avoid_began_s",
        "avoid_s",
        "avoid_until_s",
        "failures",
        "gap_s",
        "is_replaced",
        "outcomes",
        "unreported_failures",
        "unreported_outcomes",
    )

    def __init__(self):
        self.unreported_outcomes = 0.0
        self.unreported_failures = 0.0
        self.avoid_s = 0.0
        self.avoid_until_s = 0.0
        self.avoid_began_s = 0.0
        self.outcomes = 0.0
        self.failures = 0.0
        self.gap_s = None
        self.is_replaced = False
        self._counted_s = 0.0

    def decay(self, now_s):
        """Decay the outcomes since the last call."""
        factor = 0.5 ** ((now_s - self._counted_s) / OUTCOME_HALF_LIFE_S)
        self._counted_s = now_s
        self.outcomes *= factor
        self.failures *= factor
        self.unreported_outcomes *= factor
        self.unreported_failures *= factor

    def count(self, outcomes, failures):
        """Add outcomes and the failures among them."""
        self.outcomes += outcomes
        self.failures += failures

    @property
    def failure_ratio(self):
        """Float : share of failures among the outcomes."""
        return self.failures / self.outcomes if self.outcomes else 0.0


class Outcomes(msgspec.Struct, frozen=True, array_like=True):
    """Outcomes that a router saw at an endpoint since its last report.

    The counts are floats because they are decayed.
    """

    name: str
    outcomes: float
    failures: float


class Suspicion(msgspec.Struct, frozen=True, array_like=True):
    """An endpoint that a router avoids, and for how much longer."""

    name: str
    remaining_s: float


class HealthTracker:
    """Tracks the health of endpoints by name.

    Parameters
    ----------
    clock : twisted.internet.interfaces.IReactorTime

    Attributes
    ----------
    has_unsent_changes : bool
        Whether an endpoint became suspect since the last report to the other
        routers.
    on_change : callable or None
        Called without arguments when an endpoint becomes suspect.
    has_unsent_failures : bool
        Whether an endpoint failed since the last report to the other routers.
    """

    __slots__ = (
        "_avoided",
        "_clock",
        "_records",
        "has_unsent_changes",
        "has_unsent_failures",
        "on_change",
    )

    def __init__(self, clock):
        self.on_change = None
        self._clock = clock
        # May contain names whose avoidance has ended; `unreachable_names` removes them.
        self._avoided = set()
        self._records = {}
        self.has_unsent_changes = False
        self.has_unsent_failures = False

    def _record(self, name):
        return self._records.setdefault(name, EndpointHealth())

    def discard_unlisted(self, names):
        """Discard the records of endpoints that are no longer listed."""
        for name in self._records.keys() - names:
            del self._records[name]

    def is_down(self, name):
        """Return whether an endpoint is avoided at present."""
        record = self._records.get(name)
        return record is not None and record.avoid_until_s > self._clock.seconds()

    def unreachable_names(self):
        """Return the names of endpoints that are down and still own their address."""
        self._avoided = {name for name in self._avoided if self.is_down(name)}
        return [name for name in self._avoided if not self._records[name].is_replaced]

    def note_unreachable(self, name):
        """Avoid an endpoint that cannot be connected to or has fallen silent."""
        record = self._record(name)
        now_s = self._clock.seconds()
        if record.avoid_until_s > now_s:
            return
        elapsed_s = now_s - record.avoid_began_s
        decayed_s = record.avoid_s * 0.5 ** (elapsed_s / AVOID_HALF_LIFE_S)
        record.avoid_s = min(max(decayed_s * 2, MIN_AVOID_S), MAX_AVOID_S)
        record.avoid_began_s = now_s
        self._avoided.add(name)
        record.avoid_until_s = now_s + record.avoid_s
        self._note_change()
        logger.info(
            EndpointSuspected(name, "unreachable", round(record.avoid_s * 1000))
        )

    def _note_change(self):
        self.has_unsent_changes = True
        if self.on_change is not None:
            self.on_change()

    def note_replaced(self, name):
        """Avoid an endpoint at whose address another process answered."""
        record = self._record(name)
        self._avoided.add(name)
        record.avoid_until_s = self._clock.seconds() + REPLACED_AVOID_S
        record.is_replaced = True
        self._note_change()
        logger.info(EndpointSuspected(name, "replaced", round(REPLACED_AVOID_S * 1000)))

    def update(self, suspicions):
        """Apply the list of :class:`Suspicion` received from another router.

        Most repeat what is known, and cost no more than a look.
        """
        now_s = self._clock.seconds()
        for suspicion in suspicions:
            record = self._records.get(suspicion.name)
            until_s = now_s + suspicion.remaining_s
            if record is None or until_s > record.avoid_until_s:
                self._apply(suspicion)

    def _apply(self, suspicion):
        """Apply one suspicion.

        A suspicion that lasts longer than ``MAX_AVOID_S`` concerns a replaced endpoint,
        since unreachable endpoints are avoided for at most that long.
        """
        record = self._record(suspicion.name)
        self._avoided.add(suspicion.name)
        remaining_s = min(suspicion.remaining_s, REPLACED_AVOID_S)
        until_s = self._clock.seconds() + remaining_s
        record.is_replaced |= remaining_s > MAX_AVOID_S
        record.avoid_until_s = max(record.avoid_until_s, until_s)

    def note_answer(self, name, is_failure):
        """Count an answer; a success ends the avoidance of the endpoint."""
        record = self._count(name, is_failure)
        if not is_failure:
            record.avoid_until_s = 0.0

    def note_alive(self, name):
        """End the avoidance of an endpoint that answers again.

        It still counts for the length of the next one. A replaced endpoint stays
        avoided, since its address belongs to another process.
        """
        record = self._records.get(name)
        if record is not None and not record.is_replaced:
            record.avoid_until_s = 0.0

    def note_failure(self, name):
        """Count a request without a complete answer as a failure."""
        self._count(name, True)

    def _count(self, name, is_failure):
        record = self._record(name)
        record.decay(self._clock.seconds())
        record.count(1, is_failure)
        record.unreported_outcomes += 1
        record.unreported_failures += is_failure
        self.has_unsent_failures |= is_failure
        return record

    def collect_unreported(self):
        """Return the :class:`Outcomes` to report, and mark them as reported.

        Endpoints with too few recent failures are left out.
        """
        now_s = self._clock.seconds()
        self.has_unsent_failures = False
        unreported = []
        for name, record in self._records.items():
            record.decay(now_s)
            if record.unreported_outcomes and record.failures >= MIN_REPORTED_FAILURES:
                unreported.append(
                    Outcomes(
                        name, record.unreported_outcomes, record.unreported_failures
                    )
                )
                record.unreported_outcomes = record.unreported_failures = 0.0
        return unreported

    def add_outcomes(self, outcomes):
        """Add :class:`Outcomes` received from another router."""
        record = self._record(outcomes.name)
        record.decay(self._clock.seconds())
        record.count(outcomes.outcomes, outcomes.failures)

    def note_gap(self, name, gap_s):
        """Record the mean time between two events of a completed generation."""
        record = self._record(name)
        if record.gap_s is None:
            record.gap_s = gap_s
        record.gap_s += GAP_SMOOTHING * (gap_s - record.gap_s)

    def slowness(self, names):
        """Return how slow endpoints are relative to the median.

        Parameters
        ----------
        names : list of str

        Returns
        -------
        dict from str to float
            1 for the median, more for slower endpoints; endpoints without a
            measurement are left out.
        """
        gaps = {}
        for name in names:
            record = self._records.get(name)
            if record is not None and record.gap_s is not None:
                gaps[name] = record.gap_s
        if not gaps:
            return {}
        median_s = sorted(gaps.values())[len(gaps) // 2]
        return {name: gap_s / median_s for name, gap_s in gaps.items()}

    def reset(self, name):
        """Discard the record of an endpoint that restarted."""
        self._records.pop(name, None)

    def excess(self, name, baseline):
        """Return by how much the failure ratio of an endpoint exceeds `baseline`.

        Returns
        -------
        float
            Zero if it is not above ``FAILURE_EXCESS_RATIO``, or with few outcomes.
        """
        record = self._records.get(name)
        if record is None:
            return 0.0
        record.decay(self._clock.seconds())
        if record.outcomes < MIN_OUTCOMES:
            return 0.0
        excess = record.failure_ratio - baseline
        return excess if excess > FAILURE_EXCESS_RATIO else 0.0

    def baseline(self, names):
        """Return the lower median of the failure ratios of endpoints."""
        ratios = sorted(
            record.failure_ratio
            for record in map(self._records.get, names)
            if record is not None and record.outcomes >= 1
        )
        return ratios[(len(ratios) - 1) // 2] if ratios else 0.0

    def suspicions(self):
        """Return the list of :class:`Suspicion` to report to the other routers."""
        now_s = self._clock.seconds()
        return [
            Suspicion(name, record.avoid_until_s - now_s)
            for name, record in self._records.items()
            if record.avoid_until_s > now_s
        ]
