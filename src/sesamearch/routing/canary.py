"""Decisions of a canary rollout: the new version's traffic share and the verdict.

Nothing here does I/O or reads a clock; the caller passes the time.
"""

import enum
import math

import msgspec

__all__ = [
    "CanaryPlan",
    "CanarySettings",
    "Evidence",
    "RouteEvidence",
    "Verdict",
]

# Part of the allowed exposure that the plan uses, and part of that in the first phase.
USED_EXPOSURE_RATIO = 0.7
FIRST_PHASE_EXPOSURE_RATIO = 0.4
# Part of the time from the order to its deadline that the first phase takes.
FIRST_PHASE_LENGTH_RATIO = 0.45
FIRST_PHASE_MAX_SHARE_RATIO = 0.5
# For this long after the order the request rate is not known, so the new version gets
# the fixed share below.
RATE_WARMUP_S = 0.5
RATE_WARMUP_SHARE_RATIO = 0.05
# Time from the completion of a rollout to its deadline. The old version's endpoints
# stop at completion, so all later requests go to the new version. The margin is short
# enough that few requests follow before the deadline, and long enough to retry a lost
# write of the completion.
COMPLETION_MARGIN_S = 1.0
# The failure ratio that is assumed of a bad version: three times that of the old one,
# and at least this much above it.
BAD_FAILURE_RATIO = 3.0
BAD_FAILURE_EXCESS_RATIO = 0.2
MIN_FAILURE_RATIO = 0.03
PRIOR_FAILURES = 2
PRIOR_ANSWERS = 6
MAX_FAILURE_RATIO = 0.9
# The verdict is bad at a likelihood ratio of 600 to 1.
BAD_SCORE_THRESHOLD = math.log(600)
SLOW_RATIO = 2.5
MAX_TIME_SAMPLES = 64
MIN_TIME_SAMPLES = 5
MIN_GOOD_ANSWERS = 5


class Verdict(enum.Enum):
    """What the evidence says about a new version."""

    OPEN = "open"
    BAD = "bad"
    GOOD = "good"


class CanarySettings(msgspec.Struct, frozen=True):
    """Bounds on the requests that a bad version may get.

    Parameters
    ----------
    exposure_ratio : float
        Share of all requests to the service from the order to its deadline.
    exposure_slack : float
        Number of requests allowed beyond that share.
    """

    exposure_ratio: float = 0.1
    exposure_slack: float = 50.0


class CanaryPlan:
    """The share of a service's traffic that a new version gets.

    The share rises in two phases. It is bounded so that the exposure stays within the
    bounds of `settings` even if the version turns out bad at the last moment.

    Parameters
    ----------
    settings : CanarySettings
    begun_s, deadline_s : float
        Times of the order and of its deadline.
    """

    __slots__ = ("_begun_s", "_deadline_s", "_settings", "requests", "to_new")

    def __init__(self, settings, begun_s, deadline_s):
        self._settings = settings
        self._begun_s = begun_s
        self._deadline_s = deadline_s
        self.requests = 0
        self.to_new = 0

    @property
    def completion_s(self):
        """Float : when the rollout completes unless the version is judged bad."""
        return max(self._begun_s, self._deadline_s - COMPLETION_MARGIN_S)

    def count(self, requests, to_new):
        """Add to the number of requests to the service, from any router."""
        self.requests += requests
        self.to_new += to_new

    def share(self, now_s):
        """Return the share of requests that the new version gets, between 0 and 1."""
        elapsed_s = now_s - self._begun_s
        if elapsed_s < RATE_WARMUP_S or not self.requests:
            return RATE_WARMUP_SHARE_RATIO
        length_s = self._deadline_s - self._begun_s
        rate = self.requests / elapsed_s
        settings = self._settings
        allowed = settings.exposure_slack + settings.exposure_ratio * rate * length_s
        usable = USED_EXPOSURE_RATIO * allowed
        first_s = FIRST_PHASE_LENGTH_RATIO * length_s
        if elapsed_s < first_s:
            share = FIRST_PHASE_EXPOSURE_RATIO * usable / (rate * first_s)
            return min(FIRST_PHASE_MAX_SHARE_RATIO, share)
        remaining_s = self.completion_s - now_s
        if remaining_s <= 0:
            return 0.0
        return max(0.0, min(1.0, (usable - self.to_new) / (rate * remaining_s)))


class RouteEvidence(msgspec.Struct, array_like=True):
    """Counts of one route since the last update to the other routers.

    Parameters
    ----------
    route : str
    new_answers, new_failures, new_slow : int
        All, failed and slow answers of the new version.
    old_answers, old_failures, old_slow : int
        The same for all other versions.
    """

    route: str
    new_answers: int = 0
    new_failures: int = 0
    new_slow: int = 0
    old_answers: int = 0
    old_failures: int = 0
    old_slow: int = 0


class _SequentialTest:
    """A sequential test of one kind of event, for or against the new version.

    The score is a CUSUM of log-likelihood ratios: it never falls below zero, so that
    good answers do not outweigh a fault that begins later.
    """

    __slots__ = ("_old_bad", "_old_total", "score")

    def __init__(self):
        self._old_total = 0
        self._old_bad = 0
        self.score = 0.0

    def add_counts(self, new_total, new_bad, old_total, old_bad):
        self._old_total += old_total
        self._old_bad += old_bad
        # The prior assumes frequent failures until the old version has many answers.
        old_ratio = (self._old_bad + PRIOR_FAILURES) / (self._old_total + PRIOR_ANSWERS)
        old_ratio = min(max(old_ratio, MIN_FAILURE_RATIO), MAX_FAILURE_RATIO / 2)
        bad_ratio = min(
            max(old_ratio * BAD_FAILURE_RATIO, old_ratio + BAD_FAILURE_EXCESS_RATIO),
            MAX_FAILURE_RATIO,
        )
        self.score += new_bad * math.log(bad_ratio / old_ratio)
        self.score += (new_total - new_bad) * math.log(
            (1 - bad_ratio) / (1 - old_ratio)
        )
        self.score = max(0.0, self.score)


class Evidence:
    """What all routers saw of the versions of one service."""

    __slots__ = ("_failures", "_slow", "_times_s", "_unsent", "good_answers")

    def __init__(self):
        self._failures = {}
        self._slow = {}
        self._unsent = {}
        self._times_s = {}
        self.good_answers = 0

    def answered(self, route, is_new, is_failure, took_s):
        """Count an answer that this router got, for the next :meth:`pop_counts`."""
        counts = self._unsent.setdefault(route, RouteEvidence(route))
        is_slow = not is_failure and self._is_slow(route, is_new, took_s)
        if is_new:
            counts.new_answers += 1
            counts.new_failures += is_failure
            counts.new_slow += is_slow
        else:
            counts.old_answers += 1
            counts.old_failures += is_failure
            counts.old_slow += is_slow

    def _is_slow(self, route, is_new, took_s):
        """Return whether an answer is slow against the median of the old version."""
        times_s = self._times_s.setdefault(route, [])
        is_slow = False
        if len(times_s) >= MIN_TIME_SAMPLES:
            is_slow = took_s > SLOW_RATIO * sorted(times_s)[len(times_s) // 2]
        if not is_new:
            times_s.append(took_s)
            del times_s[:-MAX_TIME_SAMPLES]
        return is_slow

    def pop_counts(self):
        """Return and reset the counts of this router's answers since the last call.

        The caller sends them to the other routers and passes each to
        :meth:`add_counts`; until then they do not affect the verdict.
        """
        counts, self._unsent = list(self._unsent.values()), {}
        return counts

    def add_counts(self, counts):
        """Add a :class:`RouteEvidence` from this router or another one."""
        self.good_answers += counts.new_answers - counts.new_failures - counts.new_slow
        self._failures.setdefault(counts.route, _SequentialTest()).add_counts(
            counts.new_answers,
            counts.new_failures,
            counts.old_answers,
            counts.old_failures,
        )
        self._slow.setdefault(counts.route, _SequentialTest()).add_counts(
            counts.new_answers, counts.new_slow, counts.old_answers, counts.old_slow
        )

    @property
    def score(self):
        """Float : score of the test with the strongest evidence against the version."""
        tests = [*self._failures.values(), *self._slow.values()]
        return max((test.score for test in tests), default=0.0)

    @property
    def verdict(self):
        """Verdict : conclusion from the evidence so far."""
        if self.score >= BAD_SCORE_THRESHOLD:
            return Verdict.BAD
        if self.good_answers >= MIN_GOOD_ANSWERS:
            return Verdict.GOOD
        return Verdict.OPEN
