"""Token bucket of the permits of one endpoint."""

import msgspec

from sesamearch.forwarding.permits import GRANTED, PendingPermit, PermitDecision

__all__ = ["PermitBucket", "PermitRate"]

# An endpoint that takes nothing is sent a request now and then, because only its
# answers tell that it takes more.
MIN_RATE_PER_S = 0.2
# Permits that may have gathered: one, and what the limit yields in this time.
BURST_S = 0.5
MIN_BURST_PERMITS = 1.0
# One permit in this many goes to the claim that has waited longest, whatever its rank,
# so that the lower ranks are never left out.
PERMITS_PER_OLDEST = 4
MAX_WAITING_CLAIMS = 1000
# Sums of small parts of a permit may stay so far below one.
ROUNDING_PERMITS = 1e-6


class _Waiting(PendingPermit):
    """A claim at a bucket, which waits until it is decided."""

    __slots__ = ("_bucket", "claim", "is_granted", "number", "on_decision")

    def __init__(self, bucket, number, claim, on_decision):
        self._bucket = bucket
        self.number = number
        self.claim = claim
        self.on_decision = on_decision
        self.is_granted = False

    @property
    def place(self):
        """Tuple : sorts the claims of a bucket by who goes first."""
        return not self.claim.has_begun, self.claim.rank, self.number

    def cancel(self):
        self._bucket.withdraw(self)


class PermitRate(msgspec.Struct, frozen=True):
    """How many permits a bucket may grant.

    Parameters
    ----------
    limit_per_s : float
        Limit that the endpoint names.
    share_ratio : float
        Part of the limit that this bucket may grant.
    """

    limit_per_s: float
    share_ratio: float = 1.0

    @property
    def rate_per_s(self):
        """Float : permits that come up in a second."""
        return max(self.limit_per_s, MIN_RATE_PER_S) * self.share_ratio

    @property
    def burst(self):
        """Float : permits that may have gathered."""
        return MIN_BURST_PERMITS + BURST_S * self.limit_per_s * self.share_ratio


class PermitBucket:
    """Grants the permits of one endpoint to the claims of all routers.

    Permits come up at the rate of the limit. The bucket begins without any, since
    another router may have granted some just before. In any time of `t` seconds it
    grants at most ``rate * t + burst``.

    Parameters
    ----------
    clock : twisted.internet.interfaces.IReactorTime
    rate : PermitRate

    Attributes
    ----------
    granted_s : float
        Time of the last grant, or of the start.
    """

    __slots__ = (
        "_clock",
        "_grants",
        "_number",
        "_permits",
        "_rate",
        "_timer",
        "_updated_s",
        "_waiting",
        "granted_s",
    )

    def __init__(self, clock, rate):
        self._clock = clock
        self._rate = rate
        self._permits = 0.0
        self._updated_s = clock.seconds()
        self._waiting = []
        self._number = 0
        self._grants = 0
        self._timer = None
        self.granted_s = clock.seconds()

    def set_rate(self, rate):
        """Change the rate from now on."""
        if rate != self._rate:
            self._gather()
            self._rate = rate
            self._permits = min(self._permits, rate.burst)
            self._deny_hopeless()
            self._schedule()

    def _gather(self):
        now_s = self._clock.seconds()
        gathered = self._permits + (now_s - self._updated_s) * self._rate.rate_per_s
        self._permits = min(gathered, self._rate.burst)
        self._updated_s = now_s

    def claim(self, claim, on_decision):
        """Grant a claim now or later, or deny it; see :class:`PermitSource`."""
        self._number += 1
        waiting = _Waiting(self, self._number, claim, on_decision)
        self._waiting.append(waiting)
        self._grant_due()
        self._deny_hopeless()
        self._schedule()
        return waiting

    def withdraw(self, waiting):
        """Forget a claim; a permit that was granted to it can be granted again."""
        if waiting.is_granted:
            self._gather()
            self._permits = min(self._permits + 1.0, self._rate.burst)
            waiting.is_granted = False
        elif waiting in self._waiting:
            self._waiting.remove(waiting)
        self._grant_due()
        self._schedule()

    def close(self):
        """Grant all claims, because the endpoint has no limit any more."""
        waiting, self._waiting = self._waiting, []
        self._stop_timer()
        for each in waiting:
            each.on_decision(GRANTED)

    @property
    def is_idle(self):
        """Bool : whether no claim waits and all permits have gathered."""
        self._gather()
        return not self._waiting and self._permits >= self._rate.burst

    @property
    def wait_s(self):
        """Float : time until a claim of the lowest rank could be granted."""
        self._gather()
        return self._wait_at(len(self._waiting))

    def _wait_at(self, place):
        """Return the time until the claim at a place, from zero, can be granted."""
        missing = place + 1 - self._permits
        return max(0.0, missing / self._rate.rate_per_s)

    def _grant_due(self):
        self._gather()
        while self._waiting and self._permits >= 1.0 - ROUNDING_PERMITS:
            waiting = self._next()
            self._waiting.remove(waiting)
            self._permits -= 1.0
            self._grants += 1
            self.granted_s = self._clock.seconds()
            waiting.is_granted = True
            waiting.on_decision(PermitDecision(True, self.wait_s))

    def _next(self):
        if self._grants % PERMITS_PER_OLDEST == PERMITS_PER_OLDEST - 1:
            return min(self._waiting, key=lambda each: each.number)
        return min(self._waiting, key=lambda each: each.place)

    def _deny_hopeless(self):
        """Deny the claims that cannot be granted within the time that they have."""
        now_s = self._clock.seconds()
        kept = []
        denied = []
        for waiting in sorted(self._waiting, key=lambda each: each.place):
            ready_s = now_s + self._wait_at(len(kept))
            is_hopeless = ready_s > waiting.claim.by_s
            if is_hopeless or len(kept) >= MAX_WAITING_CLAIMS:
                denied.append(waiting)
            else:
                kept.append(waiting)
        self._waiting = kept
        for waiting in denied:
            waiting.on_decision(PermitDecision(False, self.wait_s))

    def _schedule(self):
        """Wake up when the next claim can be granted."""
        self._stop_timer()
        if self._waiting:
            self._timer = self._clock.callLater(self._wait_at(0), self._wake)

    def _stop_timer(self):
        timer, self._timer = self._timer, None
        if timer is not None and timer.active():
            timer.cancel()

    def _wake(self):
        self._grant_due()
        self._deny_hopeless()
        self._schedule()
