"""The share of a service's traffic that a new version gets in a canary rollout.

Nothing here does I/O or reads a clock; the caller passes the time.
"""

import msgspec

__all__ = ["CanaryPlan", "CanarySettings"]

# Part of the allowed exposure that the plan uses, and part of that in the first phase.
USED_EXPOSURE_RATIO = 0.7
FIRST_PHASE_EXPOSURE_RATIO = 0.5
# Part of the time from the order to its deadline that the first phase takes. It is
# short, because generations end long after they began and count only then.
FIRST_PHASE_LENGTH_RATIO = 0.3
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
# Until this long before the deadline, any router that has seen enough may complete the
# rollout. A router that missed updates of others must not revert it sooner.
REVERT_MARGIN_S = 0.5


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

    @property
    def last_s(self):
        """Float : when a rollout that is not complete is reverted."""
        return max(self._begun_s, self._deadline_s - REVERT_MARGIN_S)

    def join(self, begun_s, requests, to_new):
        """Take over what another router knows of an order that was given earlier."""
        length_s = self._deadline_s - self._begun_s
        self._begun_s, self._deadline_s = begun_s, begun_s + length_s
        self.requests = max(self.requests, requests)
        self.to_new = max(self.to_new, to_new)

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
