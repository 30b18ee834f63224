"""Permits to send a request to an endpoint that limits the requests of all routers."""

import abc

import msgspec

__all__ = [
    "GRANTED",
    "NO_CLAIM",
    "NoPermits",
    "PendingPermit",
    "PermitClaim",
    "PermitDecision",
    "PermitSource",
]


class PermitClaim(msgspec.Struct, frozen=True):
    """A request that needs a permit.

    Parameters
    ----------
    rank : int
        Priority of the request; the lowest number goes first.
    has_begun : bool
        Whether its caller has a part of the answer, which is lost without a permit.
        Such requests go before all others.
    by_s : float
        Time until which it may wait, on this router's clock.
    """

    rank: int
    has_begun: bool
    by_s: float


class PermitDecision(msgspec.Struct, frozen=True):
    """What became of a claim.

    Parameters
    ----------
    is_granted : bool
    wait_s : float
        Time until another claim could be granted, as far as known.
    is_answered : bool
        Whether a limiter decided it; False if none answered.
    """

    is_granted: bool
    wait_s: float = 0.0
    is_answered: bool = True


GRANTED = PermitDecision(True)


class PendingPermit(abc.ABC):
    """A claim that was made."""

    @abc.abstractmethod
    def cancel(self):
        """Withdraw the claim, or give back the permit if it was granted."""

    @abc.abstractmethod
    def note_ended(self, was_turned_away=False):
        """Record the end of the request that the permit was used for.

        Parameters
        ----------
        was_turned_away : bool
            Whether the endpoint had no room for it.
        """


class PermitSource(abc.ABC):
    """Gives permits of which all routers together have only as many as allowed."""

    @abc.abstractmethod
    def claim(self, endpoint, claim, on_decision):
        """Claim a permit.

        Parameters
        ----------
        endpoint : Endpoint
        claim : PermitClaim
        on_decision : callable
            Called once with a :class:`PermitDecision`, perhaps before this returns.

        Returns
        -------
        PendingPermit
        """

    @abc.abstractmethod
    def is_trial_due(self, endpoint):
        """Return whether a request should ask a limited endpoint for its limit.

        It is due at one router only, and if no request has been sent there for long.
        """

    @abc.abstractmethod
    def wait_s(self, endpoint):
        """Return the time until an endpoint may have a permit, as far as known."""


class _Withdrawn(PendingPermit):
    """A claim that needs no withdrawal."""

    def cancel(self):
        """Do nothing."""

    def note_ended(self, was_turned_away=False):
        """Do nothing."""


NO_CLAIM = _Withdrawn()


class NoPermits(PermitSource):
    """Grants each claim, for use without limits."""

    def claim(self, endpoint, claim, on_decision):
        """Grant a claim."""
        on_decision(GRANTED)
        return NO_CLAIM

    def is_trial_due(self, endpoint):
        """Return False."""
        return False

    def wait_s(self, endpoint):
        """Return zero."""
        return 0.0
