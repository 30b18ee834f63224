"""Decisions of a short rollout: how much a new version gets, and whether it is bad.

Nothing here does I/O or knows a clock; times are given by the caller.
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

# Part of the allowed exposure that is used at all, and in the first phase.
USED_RATIO = 0.7
FIRST_USED_RATIO = 0.4
FIRST_PHASE_RATIO = 0.45
FIRST_LARGEST_RATIO = 0.5
# While the rate of requests is not known yet.
UNKNOWN_RATE_S = 0.5
UNKNOWN_RATE_RATIO = 0.05
# The old version's endpoints stop at completion: late enough that few requests
# follow, early enough that a lost write can be repeated.
COMPLETION_MARGIN_S = 1.0
# A version is bad if it fails three times as often, and at least so much more often.
RISK_RATIO = 3.0
RISK_EXCESS_RATIO = 0.2
FLOOR_RATIO = 0.03
PRIOR_BAD = 2
PRIOR_ANSWERS = 6
MOST_RATIO = 0.9
# Evidence of 1 to 600 for the bad version.
CALL_THRESHOLD = math.log(600)
SLOW_RATIO = 2.5
KEPT_TIMES = 64
MIN_TIMES = 5
MIN_GOOD_ANSWERS = 5


class Verdict(enum.Enum):
    """What is known of a new version."""

    OPEN = "open"
    BAD = "bad"
    GOOD = "good"


class CanarySettings(msgspec.Struct, frozen=True):
    """Bounds of a bad version's exposure.

    Parameters
    ----------
    exposure_ratio : float
        Of all requests to the service from the order to its deadline.
    exposure_slack : float
        Requests beyond that.
    """

    exposure_ratio: float = 0.1
    exposure_slack: float = 50.0


class CanaryPlan:
    """How much of a service's traffic a new version gets.

    The share rises in two steps and never beyond what a version may get that turns
    out bad at the last moment.

    Parameters
    ----------
    settings : CanarySettings
    begun_s, deadline_s : float
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
        """Float : when the rollout ends if nothing speaks against it."""
        return max(self._begun_s, self._deadline_s - COMPLETION_MARGIN_S)

    def count(self, requests, to_new):
        """Count requests to the service, of all routers."""
        self.requests += requests
        self.to_new += to_new

    def share(self, now_s):
        """Return the part of the requests that the new version gets."""
        elapsed_s = now_s - self._begun_s
        if elapsed_s < UNKNOWN_RATE_S or not self.requests:
            return UNKNOWN_RATE_RATIO
        length_s = self._deadline_s - self._begun_s
        rate = self.requests / elapsed_s
        settings = self._settings
        allowed = settings.exposure_slack + settings.exposure_ratio * rate * length_s
        usable = USED_RATIO * allowed
        first_s = FIRST_PHASE_RATIO * length_s
        if elapsed_s < first_s:
            share = FIRST_USED_RATIO * usable / (rate * first_s)
            return min(FIRST_LARGEST_RATIO, share)
        left_s = self.completion_s - now_s
        if left_s <= 0:
            return 0.0
        return max(0.0, min(1.0, (usable - self.to_new) / (rate * left_s)))


class RouteEvidence(msgspec.Struct, array_like=True):
    """Counts of one route since they were last told.

    Parameters
    ----------
    route : str
    new_answers, new_failures, new_slow : int
        Of the new version.
    old_answers, old_failures, old_slow : int
        Of the others.
    """

    route: str
    new_answers: int = 0
    new_failures: int = 0
    new_slow: int = 0
    old_answers: int = 0
    old_failures: int = 0
    old_slow: int = 0


class _Test:
    """A sequential test of one kind of event: restarted when it speaks for the new."""

    __slots__ = ("_old_bad", "_old_total", "score")

    def __init__(self):
        self._old_total = 0
        self._old_bad = 0
        self.score = 0.0

    def add_counts(self, new_total, new_bad, old_total, old_bad):
        self._old_total += old_total
        self._old_bad += old_bad
        # With few answers of the old version it is taken to fail rather often.
        usual = (self._old_bad + PRIOR_BAD) / (self._old_total + PRIOR_ANSWERS)
        usual = min(max(usual, FLOOR_RATIO), MOST_RATIO / 2)
        risky = min(max(usual * RISK_RATIO, usual + RISK_EXCESS_RATIO), MOST_RATIO)
        self.score += new_bad * math.log(risky / usual)
        self.score += (new_total - new_bad) * math.log((1 - risky) / (1 - usual))
        self.score = max(0.0, self.score)


class Evidence:
    """What all routers saw of both versions of one service."""

    __slots__ = ("_failures", "_news", "_slow", "_times_s", "good_answers")

    def __init__(self):
        self._failures = {}
        self._slow = {}
        self._news = {}
        self._times_s = {}
        self.good_answers = 0

    def answered(self, route, is_new, is_failure, took_s):
        """Count an answer that this router saw."""
        news = self._news.setdefault(route, RouteEvidence(route))
        is_slow = not is_failure and self._is_slow(route, is_new, took_s)
        if is_new:
            news.new_answers += 1
            news.new_failures += is_failure
            news.new_slow += is_slow
        else:
            news.old_answers += 1
            news.old_failures += is_failure
            news.old_slow += is_slow

    def _is_slow(self, route, is_new, took_s):
        """Compare with the median time of the old version on the route."""
        times_s = self._times_s.setdefault(route, [])
        is_slow = False
        if len(times_s) >= MIN_TIMES:
            is_slow = took_s > SLOW_RATIO * sorted(times_s)[len(times_s) // 2]
        if not is_new:
            times_s.append(took_s)
            del times_s[:-KEPT_TIMES]
        return is_slow

    def pop_counts(self):
        """Return this router's counts since the last call, to be told and taken."""
        news, self._news = list(self._news.values()), {}
        return news

    def add_counts(self, counts):
        """Add a :class:`RouteEvidence`, of this router or another."""
        self.good_answers += counts.new_answers - counts.new_failures - counts.new_slow
        self._failures.setdefault(counts.route, _Test()).add_counts(
            counts.new_answers,
            counts.new_failures,
            counts.old_answers,
            counts.old_failures,
        )
        self._slow.setdefault(counts.route, _Test()).add_counts(
            counts.new_answers, counts.new_slow, counts.old_answers, counts.old_slow
        )

    @property
    def score(self):
        """Float : of the strongest test."""
        tests = [*self._failures.values(), *self._slow.values()]
        return max((test.score for test in tests), default=0.0)

    @property
    def verdict(self):
        """Verdict : what the evidence says so far."""
        if self.score >= CALL_THRESHOLD:
            return Verdict.BAD
        if self.good_answers >= MIN_GOOD_ANSWERS:
            return Verdict.GOOD
        return Verdict.OPEN
