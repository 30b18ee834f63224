"""Evidence on the new version of a canary rollout, and the verdict that it supports.

Three measures are compared between the versions: failures, the time to the answer or to
the first event, and the time between events. A time is slow if it exceeds a multiple of
the old version's median on the same route; both versions are held to the same limit, so
that only a difference between them counts.

Nothing here does I/O or reads a clock.
"""

import collections
import enum
import math

import msgspec

__all__ = [
    "Evidence",
    "Measure",
    "RouteEvidence",
    "Sample",
    "Support",
    "TimeCount",
    "Verdict",
    "time_bucket",
]

# The ratio of failures or slow answers that is assumed of a bad version: three times
# that of the old one, and at least this much above it.
BAD_FAILURE_RATIO = 3.0
BAD_FAILURE_EXCESS_RATIO = 0.2
MIN_FAILURE_RATIO = 0.03
PRIOR_FAILURES = 2
PRIOR_ANSWERS = 6
# The prior for a good verdict on failures assumes that the old version seldom fails.
GOOD_PRIOR_FAILURES = 0.5
MAX_FAILURE_RATIO = 0.9
# Times are counted in buckets that grow by this factor.
BUCKET_RATIO = 2 ** (1 / 8)
# A time is slow if it is this many buckets, a factor of 2.4, above the median.
SLOW_BUCKETS = 10
MIN_REFERENCE_TIMES = 5
# Part of the old version's answers that must have a time for it to be asked for.
MIN_MEASURED_RATIO = 0.2
# Part of the new version's measurements that may lack a reference in a good version.
MAX_UNJUDGED_RATIO = 0.2
MIN_TIME_S = 1e-4
# The verdict is bad at a likelihood ratio of 600 to 1, at any time.
BAD_SCORE = math.log(600)
# A completed rollout cannot be undone, and a reverted one can be ordered again. So the
# version is good only if the evidence favours it in each measure: for times at a
# likelihood ratio of 20 to 1. For failures, of which a bad version may have few, the
# ratio rises with the number of callers that a bad version would harm.
GOOD_SCORE = math.log(20)
MIN_GOOD_FAILURE_RATIO = 50.0
GOOD_RATIO_PER_ANSWER = 2.0
# Recent evidence against the version that prevents a good verdict. Times vary more.
DOUBTFUL_FAILURE_SCORE = math.log(20)
DOUBTFUL_TIME_SCORE = math.log(100)


class Verdict(enum.Enum):
    """What the evidence says about a new version."""

    OPEN = "open"
    BAD = "bad"
    GOOD = "good"


class Measure(enum.Enum):
    """What is compared between the versions."""

    FAILURE = "failure"
    FIRST = "first"
    PACE = "pace"


def time_bucket(time_s):
    """Return the number of the bucket that a time is counted in."""
    return math.floor(math.log(max(time_s, MIN_TIME_S), BUCKET_RATIO))


class TimeCount(msgspec.Struct, array_like=True):
    """Number of times in one bucket, see :func:`time_bucket`."""

    bucket: int
    count: int


class RouteEvidence(msgspec.Struct, array_like=True):
    """Counts of one route since the last update to the other routers.

    Parameters
    ----------
    route : str
    new_answers, new_failures, new_slow : int
        All, failed and slow answers of the new version. Slow answers are counted only
        by routers that do not send times.
    old_answers, old_failures, old_slow : int
        The same for all other versions.
    new_first, old_first : list of TimeCount
        Times to the answer, or to the first event of a generation.
    new_pace, old_pace : list of TimeCount
        Mean times between the events of a generation.
    new_lost, old_lost : list of str
        Endpoints that broke answers off, each of which is counted as a failure.
    """

    route: str
    new_answers: int = 0
    new_failures: int = 0
    new_slow: int = 0
    old_answers: int = 0
    old_failures: int = 0
    old_slow: int = 0
    new_first: list[TimeCount] = []
    old_first: list[TimeCount] = []
    new_pace: list[TimeCount] = []
    old_pace: list[TimeCount] = []
    new_lost: list[str] = []
    old_lost: list[str] = []

    def note_lost(self, is_new, name):
        """Name the endpoint of a failure that is counted already."""
        (self.new_lost if is_new else self.old_lost).append(name)

    def count_outcome(self, is_new, is_failure):
        """Count an answer or a failure."""
        if is_new:
            self.new_answers += 1
            self.new_failures += is_failure
        else:
            self.old_answers += 1
            self.old_failures += is_failure

    def count_time(self, measure, is_new, bucket):
        """Count a time to the first event or between events."""
        counts = self._times(measure, is_new)
        for count in counts:
            if count.bucket == bucket:
                count.count += 1
                return
        counts.append(TimeCount(bucket, 1))

    def _times(self, measure, is_new):
        if measure is Measure.FIRST:
            return self.new_first if is_new else self.old_first
        return self.new_pace if is_new else self.old_pace


class Sample(msgspec.Struct, frozen=True):
    """Numbers of answers of both versions, and of the bad ones among them."""

    new: int = 0
    new_bad: int = 0
    old: int = 0
    old_bad: int = 0

    def plus(self, other):
        """Return the sum with another sample."""
        return Sample(
            self.new + other.new,
            self.new_bad + other.new_bad,
            self.old + other.old,
            self.old_bad + other.old_bad,
        )


class Support(msgspec.Struct, frozen=True):
    """Evidence for the new version by one measure over all routes.

    Parameters
    ----------
    measure : Measure
    strength : float
        Logarithm of the likelihood ratio in favour of the version.
    sample : Sample
    """

    measure: Measure
    strength: float
    sample: Sample


class _SequentialTest:
    """A sequential test of one measure, for or against the new version.

    Attributes
    ----------
    score : float
        CUSUM of log-likelihood ratios: it never falls below zero, so that good answers
        do not outweigh a fault that begins later.
    total : float
        Their plain sum, negative if the evidence is for the version.
    sample : Sample
        All that was added.
    """

    __slots__ = ("sample", "score", "total")

    def __init__(self):
        self.sample = Sample()
        self.score = 0.0
        self.total = 0.0

    def add(self, sample):
        self.sample = self.sample.plus(sample)
        # The prior assumes frequent failures until the old version has many answers.
        change = _log_ratio(sample, self.sample, PRIOR_FAILURES)
        self.total += change
        self.score = max(0.0, self.score + change)


def _log_ratio(sample, known, prior_failures):
    """Return the logarithm of the likelihood ratio for a bad new version.

    Parameters
    ----------
    sample : Sample
        Answers of the new version to judge.
    known : Sample
        All answers so far, which tell the old version's ratio of bad ones.
    prior_failures : float
        Bad ones among ``PRIOR_ANSWERS`` answers that are assumed of the old version.
    """
    old_ratio = (known.old_bad + prior_failures) / (known.old + PRIOR_ANSWERS)
    old_ratio = min(max(old_ratio, MIN_FAILURE_RATIO), MAX_FAILURE_RATIO / 2)
    bad_ratio = min(
        max(old_ratio * BAD_FAILURE_RATIO, old_ratio + BAD_FAILURE_EXCESS_RATIO),
        MAX_FAILURE_RATIO,
    )
    good = sample.new - sample.new_bad
    return sample.new_bad * math.log(bad_ratio / old_ratio) + good * math.log(
        (1 - bad_ratio) / (1 - old_ratio)
    )


class _TimeTest:
    """Classifies the times of one measure on one route as slow or not.

    Times that arrive before the old version's median is known are kept until then.
    """

    __slots__ = ("_kept_new", "_kept_old", "_old")

    def __init__(self):
        self._old = collections.Counter()
        self._kept_new = []
        self._kept_old = []

    def add(self, new, old):
        """Add lists of :class:`TimeCount`; return the :class:`Sample` to judge."""
        for time in old:
            self._old[time.bucket] += time.count
        self._kept_new += new
        self._kept_old += old
        limit = self.limit_bucket
        if limit is None:
            return Sample()
        sample = Sample(
            _total(self._kept_new),
            _slow(self._kept_new, limit),
            _total(self._kept_old),
            _slow(self._kept_old, limit),
        )
        self._kept_new, self._kept_old = [], []
        return sample

    @property
    def unjudged(self):
        """Int : number of times of the new version that wait for the median."""
        return _total(self._kept_new)

    @property
    def limit_bucket(self):
        """Int or None : highest bucket that is not slow; None while unknown."""
        total = self._old.total()
        if total < MIN_REFERENCE_TIMES:
            return None
        seen = 0
        for bucket in sorted(self._old):
            seen += self._old[bucket]
            if 2 * seen >= total:
                return bucket + SLOW_BUCKETS
        return None


def _total(times):
    return sum(time.count for time in times)


def _slow(times, limit):
    return sum(time.count for time in times if time.bucket > limit)


class Evidence:
    """What all routers saw of the versions of one service.

    Each measure is judged on each route, which finds a fault of a single route, and on
    all routes together, which finds a fault of the version with fewer answers.
    """

    __slots__ = ("_all_routes", "_has_old_answers", "_routes", "_times")

    def __init__(self):
        self._has_old_answers = False
        self._all_routes = {}
        self._routes = {}
        self._times = collections.defaultdict(_TimeTest)

    def add_counts(self, counts):
        """Add a :class:`RouteEvidence` from this router or another one."""
        outcomes = Sample(
            counts.new_answers,
            counts.new_failures,
            counts.old_answers,
            counts.old_failures,
        )
        self._has_old_answers |= counts.old_answers > counts.old_failures
        self._judge(counts.route, Measure.FAILURE, outcomes)
        first = self._times[counts.route, Measure.FIRST]
        sample = first.add(counts.new_first, counts.old_first)
        self._judge(counts.route, Measure.FIRST, sample)
        pace = self._times[counts.route, Measure.PACE]
        sample = pace.add(counts.new_pace, counts.old_pace)
        self._judge(counts.route, Measure.PACE, sample)

    def _judge(self, route, measure, sample):
        if not (sample.new or sample.old):
            return
        if measure not in self._all_routes:
            self._all_routes[measure] = _SequentialTest()
        if (route, measure) not in self._routes:
            self._routes[route, measure] = _SequentialTest()
        self._routes[route, measure].add(sample)
        self._all_routes[measure].add(sample)

    def limit_bucket(self, route, measure):
        """Return the highest bucket that is not slow, or None while it is unknown."""
        return self._times[route, measure].limit_bucket

    @property
    def score(self):
        """Float : score of the test with the strongest evidence against the version."""
        tests = [*self._routes.values(), *self._all_routes.values()]
        return max((test.score for test in tests), default=0.0)

    @property
    def weakest(self):
        """Support or None : the measure with the least evidence for the version.

        A time that few answers of the old version have, such as the pace where most
        generations are short, is left out: it tells little of either.
        """
        supports = [
            Support(measure, -test.total, test.sample)
            for measure, test in self._all_routes.items()
            if not self._is_rare(measure)
        ]
        return min(supports, key=lambda each: each.strength, default=None)

    def _is_rare(self, measure):
        if Measure.FAILURE not in self._all_routes:
            return False
        answers = self._all_routes[Measure.FAILURE].sample.old
        return self._all_routes[measure].sample.old < MIN_MEASURED_RATIO * answers

    def _fails_seldom(self):
        sample = self._all_routes[Measure.FAILURE].sample
        log_ratio = _log_ratio(sample, sample, GOOD_PRIOR_FAILURES)
        answers = sample.new + sample.old
        needed = max(MIN_GOOD_FAILURE_RATIO, GOOD_RATIO_PER_ANSWER * answers)
        return -log_ratio >= math.log(needed)

    def _is_doubtful(self):
        """Return whether recent answers speak against the version."""
        tests = [(key[1], test) for key, test in self._routes.items()]
        tests += self._all_routes.items()
        return any(
            test.score >= DOUBTFUL_FAILURE_SCORE
            if measure is Measure.FAILURE
            else test.score >= DOUBTFUL_TIME_SCORE
            for measure, test in tests
        )

    def _is_supported(self):
        if Measure.FAILURE not in self._all_routes or self._lacks_reference():
            return False
        return self._fails_seldom() and self.weakest.strength >= GOOD_SCORE

    def _lacks_reference(self):
        """Return whether the old version answers, but too seldom to compare times.

        Routes with few requests may lack a reference. If the old version does not
        answer at all, there is nothing to fall back on, and failures alone decide.
        """
        unjudged = sum(test.unjudged for test in self._times.values())
        judged = sum(test.sample.new for test in self._all_routes.values())
        limit = MAX_UNJUDGED_RATIO * (unjudged + judged)
        return self._has_old_answers and unjudged > limit

    @property
    def verdict(self):
        """Verdict : conclusion from the evidence so far."""
        if self.score >= BAD_SCORE:
            return Verdict.BAD
        if self._is_supported() and not self._is_doubtful():
            return Verdict.GOOD
        return Verdict.OPEN
