"""What a router sees of the versions of a service, as evidence for a rollout."""

import collections

import msgspec

from sesamearch.forwarding.gate import TryObserver
from sesamearch.rollout.losses import LossFilter
from sesamearch.routing.canary_evidence import Measure, RouteEvidence, time_bucket

__all__ = ["ServiceObserver"]

# Outcomes from before an order show how the old version does. More recent ones are
# closer to what the versions are compared under.
MAX_BASELINE_OUTCOMES = 128
MAX_BASELINE_AGE_S = 60.0
# Events after which the mean time between the events of a generation is recorded, and
# the fewest events of one that ends before.
PACE_EVENTS = 16
MIN_PACE_EVENTS = 4


class _Outcome(msgspec.Struct, frozen=True):
    """One measurement of one try.

    Parameters
    ----------
    at_s : float
        Time of the measurement, on this process's clock.
    route, version : str
    measure : Measure
    is_failure : bool
        Meaningful for ``Measure.FAILURE``.
    bucket : int
        Bucket of the time, for the other measures.
    """

    at_s: float
    route: str
    version: str
    measure: Measure
    is_failure: bool = False
    bucket: int = 0


class _Observation(TryObserver):
    """Observes one try."""

    __slots__ = (
        "_endpoint",
        "_events",
        "_first_s",
        "_has_first",
        "_has_outcome",
        "_has_pace",
        "_observer",
        "_route",
        "_sent_s",
    )

    def __init__(self, observer, endpoint, route, is_resumed):
        self._observer = observer
        self._endpoint = endpoint
        self._route = route
        self._sent_s = observer.now_s
        self._first_s = None
        self._events = 0
        self._has_outcome = False
        self._has_first = is_resumed
        self._has_pace = False

    def answered(self, is_failure):
        """Record the whole answer, or the first event of a generation."""
        if self._has_outcome and not is_failure:
            return
        self._has_outcome = True
        self._observer.record_outcome(self._endpoint, self._route, is_failure)
        if not is_failure:
            self._record_first()

    def unanswered(self):
        """Record the time waited so far, which the answer would have exceeded."""
        if not self._has_outcome:
            self._record_first()

    def received_events(self, count):
        """Record events of a generation that arrived together."""
        if self._first_s is None:
            self._first_s = self._observer.now_s
            return
        self._events += count
        if self._events >= PACE_EVENTS:
            self._record_pace(self._events)

    def lost(self):
        """Record the loss; one for all that an endpoint breaks off at a time."""
        self._observer.record_loss(self._endpoint, self._route)

    def ended(self):
        """Record what is known of the pace, and stop to observe the try."""
        if self._events >= MIN_PACE_EVENTS:
            self._record_pace(self._events)
        self._observer.forget(self)

    def record_slow(self, evidence):
        """Record a time that is still running and exceeds the limit by now."""
        now_s = self._observer.now_s
        if self._first_s is not None:
            least_s = (now_s - self._first_s) / PACE_EVENTS
            if self._is_slow(evidence, Measure.PACE, least_s):
                self._record_pace(PACE_EVENTS)
        elif not self._has_outcome:
            if self._is_slow(evidence, Measure.FIRST, now_s - self._sent_s):
                self._record_first()

    def _is_slow(self, evidence, measure, time_s):
        limit = evidence.limit_bucket(self._route, measure)
        return limit is not None and time_bucket(time_s) > limit

    def _record_first(self):
        if not self._has_first:
            self._has_first = True
            elapsed_s = self._observer.now_s - self._sent_s
            self._record_time(Measure.FIRST, elapsed_s)

    def _record_pace(self, events):
        if not self._has_pace:
            self._has_pace = True
            elapsed_s = self._observer.now_s - self._first_s
            self._record_time(Measure.PACE, elapsed_s / events)

    def _record_time(self, measure, time_s):
        self._observer.record_time(self._endpoint, self._route, measure, time_s)


class ServiceObserver:
    """Gathers what this router sees of the versions of one service.

    Recent outcomes are kept also without a rollout, so that the times of the old
    version are known when a rollout begins.

    Parameters
    ----------
    clock : twisted.internet.interfaces.IReactorTime
    on_failure : callable
        Called with the version of a failed answer, during a rollout.
    """

    __slots__ = (
        "_clock",
        "_losses",
        "_on_failure",
        "_open",
        "_recent",
        "_target",
        "_unsent",
    )

    def __init__(self, clock, on_failure):
        self._clock = clock
        self._on_failure = on_failure
        self._open = set()
        self._recent = collections.deque(maxlen=MAX_BASELINE_OUTCOMES)
        self._losses = LossFilter()
        self._target = None
        self._unsent = {}

    @property
    def now_s(self):
        """Float : current time on this process's clock."""
        return self._clock.seconds()

    def observe(self, endpoint, route, is_resumed):
        """Return the :class:`TryObserver` of a try that is sent now."""
        observation = _Observation(self, endpoint, route, is_resumed)
        self._open.add(observation)
        return observation

    def forget(self, observation):
        """Stop to check a try that ended."""
        self._open.discard(observation)

    def begin(self, target):
        """Count from now on for a rollout to a version, after its baseline."""
        self._target = target
        self._unsent = {}
        oldest_s = self.now_s - MAX_BASELINE_AGE_S
        for outcome in self._recent:
            if outcome.version != target and outcome.at_s >= oldest_s:
                self._count(outcome)

    def end(self):
        """Stop to count."""
        self._target = None
        self._unsent = {}

    def record_outcome(self, endpoint, route, is_failure):
        """Record an answer or a failure."""
        self._record_outcome(endpoint.version, route, is_failure)
        if is_failure and self._target is not None:
            self._on_failure(endpoint.version)

    def record_loss(self, endpoint, route):
        """Record a failure, unless the endpoint just lost another answer."""
        if not self._losses.is_first(endpoint.name, self.now_s):
            return
        version = endpoint.version
        self._record_outcome(version, route, True)
        if self._target is not None:
            is_new = version == self._target
            self._unsent[route].note_lost(is_new, endpoint.name)
            self._on_failure(version)

    def _record_outcome(self, version, route, is_failure):
        self._record(
            _Outcome(self.now_s, route, version, Measure.FAILURE, is_failure=is_failure)
        )

    def record_time(self, endpoint, route, measure, time_s):
        """Record a time to the first event, or between events."""
        bucket = time_bucket(time_s)
        self._record(
            _Outcome(self.now_s, route, endpoint.version, measure, bucket=bucket)
        )

    def _record(self, outcome):
        self._recent.append(outcome)
        if self._target is not None:
            self._count(outcome)

    def _count(self, outcome):
        route = outcome.route
        if route not in self._unsent:
            self._unsent[route] = RouteEvidence(route)
        is_new = outcome.version == self._target
        if outcome.measure is Measure.FAILURE:
            self._unsent[route].count_outcome(is_new, outcome.is_failure)
        else:
            self._unsent[route].count_time(outcome.measure, is_new, outcome.bucket)

    def check_open(self, evidence):
        """Record the tries that are slow by now, though their answers are not there.

        Without them, a slow version would be judged by its fast answers alone until
        its slow ones have ended.
        """
        for observation in list(self._open):
            observation.record_slow(evidence)

    def pop_counts(self):
        """Return and reset the list of :class:`RouteEvidence` since the last call."""
        counts, self._unsent = list(self._unsent.values()), {}
        return counts
