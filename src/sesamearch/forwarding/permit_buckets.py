"""The buckets of permits that this router holds for all routers."""

from sesamearch.forwarding.permit_bucket import PermitBucket, PermitRate
from sesamearch.forwarding.permits import GRANTED, NO_CLAIM

__all__ = ["PermitBuckets"]


def _rate_of(terms, share_ratio):
    return PermitRate(terms.limit_per_s, share_ratio, terms.brittle_per_s is not None)


class PermitBuckets:
    """Holds one :class:`PermitBucket` for each limited process that it is asked for.

    Parameters
    ----------
    clock : twisted.internet.interfaces.IReactorTime
    limits : LimitTracker
    """

    __slots__ = ("_buckets", "_clock", "_limits", "_shares")

    def __init__(self, clock, limits):
        self._clock = clock
        self._limits = limits
        # By incarnation of the endpoint.
        self._buckets = {}
        self._shares = {}

    def claim(self, incarnation, share_ratio, claim, on_decision):
        """Grant or deny a claim to the permits of one process.

        Parameters
        ----------
        incarnation : Incarnation
        share_ratio : float
            Part of the limit that this router may grant.
        claim : PermitClaim
        on_decision : callable

        Returns
        -------
        PendingPermit
        """
        terms = self._limits.terms_of(incarnation)
        if not terms.is_any:
            on_decision(GRANTED)
            return NO_CLAIM
        self._shares[incarnation] = share_ratio
        rate = _rate_of(terms, share_ratio)
        bucket = self._buckets.get(incarnation)
        if bucket is None:
            bucket = self._buckets[incarnation] = PermitBucket(self._clock, rate)
        bucket.set_rate(rate)
        return bucket.claim(claim, on_decision)

    def open(self, incarnation, share_ratio):
        """Begin to gather the permits of a process before the first claim."""
        terms = self._limits.terms_of(incarnation)
        if terms.is_any and incarnation not in self._buckets:
            self._shares[incarnation] = share_ratio
            rate = _rate_of(terms, share_ratio)
            self._buckets[incarnation] = PermitBucket(self._clock, rate)

    def granted_s(self, incarnation):
        """Return when a permit was last granted, or None if none is known of."""
        bucket = self._buckets.get(incarnation)
        return bucket.granted_s if bucket is not None else None

    def refresh(self):
        """Follow limits that have changed or ended; called at intervals."""
        for incarnation, bucket in list(self._buckets.items()):
            terms = self._limits.terms_of(incarnation)
            if not terms.is_any:
                del self._buckets[incarnation]
                del self._shares[incarnation]
                bucket.close()
            else:
                share_ratio = self._shares[incarnation]
                bucket.set_rate(_rate_of(terms, share_ratio))
