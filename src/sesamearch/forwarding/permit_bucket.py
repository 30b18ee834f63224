"""Token bucket of the permits of one endpoint."""

import msgspec

from sesamearch.forwarding.permits import GRANTED, PendingPermit, PermitDecision
from sesamearch.forwarding.places import Places

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
# Permits a second of an endpoint without a limit, whose places alone are counted.
UNLIMITED_PER_S = 1e9
# Claims wait at least so long for a place, since it is not known when one gets free.
MIN_PLACE_WAIT_S = 0.02
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

    def note_ended(self, was_turned_away=False):
        self._bucket.note_ended(self, was_turned_away)


class PermitRate(msgspec.Struct, frozen=True):
    """How many permits a bucket may grant.

    Parameters
    ----------
    limit_per_s : float or None
        Limit that the endpoint names, None for none.
    share_ratio : float
        Part of the limit and of the places that this bucket may grant.
    has_places : bool
        Whether no more requests may be under way than the endpoint lets in.
    """

    limit_per_s: float | None
    share_ratio: float = 1.0
    has_places: bool = False

    @property
    def rate_per_s(self):
        """Float : permits that come up in a second."""
        if self.limit_per_s is None:
            return UNLIMITED_PER_S
        return max(self.limit_per_s, MIN_RATE_PER_S) * self.share_ratio

    @property
    def burst(self):
        """Float : permits that may have gathered."""
        if self.limit_per_s is None:
            return UNLIMITED_PER_S
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
        "_places",
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
        self._places = Places(clock)
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
            self._places.give_back(waiting)
            waiting.is_granted = False
        elif waiting in self._waiting:
            self._waiting.remove(waiting)
        self._grant_due()
        self._schedule()

    def note_ended(self, waiting, was_turned_away):
        """Free the place of a request that has ended."""
        waiting.is_granted = False
        if was_turned_away:
            self._places.note_turned_away(waiting)
        else:
            self._places.note_ended(waiting)
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
        has_all = self._permits >= self._rate.burst and not self._places.under_way
        return not self._waiting and has_all

    @property
    def wait_s(self):
        """Float : time until a claim of the lowest rank could be granted."""
        self._gather()
        return self._wait_at(len(self._waiting))

    def _wait_at(self, place):
        """Return the time until the claim at a place, from zero, can be granted."""
        missing = place + 1 - self._permits
        wait_s = max(0.0, missing / self._rate.rate_per_s)
        if self._rate.has_places:
            wait_s = max(wait_s, self._places.wait_s(place))
        return wait_s

    @property
    def _has_place(self):
        share_ratio = self._rate.share_ratio
        return not self._rate.has_places or self._places.has_free(share_ratio)

    def _grant_due(self):
        self._gather()
        while self._waiting and self._permits >= 1.0 - ROUNDING_PERMITS:
            if not self._has_place:
                return
            waiting = self._next()
            self._waiting.remove(waiting)
            self._permits -= 1.0
            self._grants += 1
            self.granted_s = self._clock.seconds()
            if self._rate.has_places:
                self._places.take(waiting)
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
            wait_s = self._wait_at(0)
            if self._rate.has_places:
                wait_s = max(wait_s, MIN_PLACE_WAIT_S)
            self._timer = self._clock.callLater(wait_s, self._wake)

    def _stop_timer(self):
        timer, self._timer = self._timer, None
        if timer is not None and timer.active():
            timer.cancel()

    def _wake(self):
        self._grant_due()
        self._deny_hopeless()
        self._schedule()
