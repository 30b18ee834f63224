"""The permit of one request to be sent to a limited endpoint."""

from sesamearch.base.log import logger
from sesamearch.base.request_record import PermitDecided
from sesamearch.forwarding.permits import NO_CLAIM, PendingPermit

__all__ = ["RequestPermit"]

# A permit that was not used by then is not used any more.
LIFETIME_S = 0.25
# Claims of one request before it is given up.
MAX_CLAIMS = 4
# A claim that was decided sooner did not delay its request.
MIN_LOGGED_WAIT_S = 0.02


class _Claim(PendingPermit):
    """One claim of a request, and its permit if it was granted."""

    __slots__ = ("claimed_s", "endpoint", "expires_s", "is_over", "pending")

    def __init__(self, endpoint, claimed_s):
        self.endpoint = endpoint
        self.claimed_s = claimed_s
        # End of the permit's life; None until it is granted.
        self.expires_s = None
        # Whether the claim was denied, or its permit used or given back.
        self.is_over = False
        # Set after the claim was made, which may be granted before.
        self.pending = NO_CLAIM

    def cancel(self):
        """Give back the permit."""
        self.pending.cancel()

    def note_ended(self, was_turned_away=False):
        """Record the end of the request."""
        self.pending.note_ended(was_turned_away)


class RequestPermit:
    """Claims a permit for one request, and holds it until the request is sent.

    Parameters
    ----------
    tools : ForwardTools
    request_id : str

    Attributes
    ----------
    denied : set of str
        Names of the endpoints whose permits were denied; they are not asked again
        until :meth:`reset`.
    refused_by : set of str
        Names of all endpoints whose permits were ever denied.
    """

    __slots__ = (
        "_claim",
        "_claims",
        "_request_id",
        "_tools",
        "denied",
        "refused_by",
    )

    def __init__(self, tools, request_id):
        self._tools = tools
        self._request_id = request_id
        self._claim = None
        self._claims = 0
        self.denied = set()
        self.refused_by = set()

    @property
    def is_pending(self):
        """Bool : whether a claim is not decided yet."""
        return self._claim is not None and self._claim.expires_s is None

    @property
    def is_exhausted(self):
        """Bool : whether enough was claimed in vain."""
        return self._claims >= MAX_CLAIMS

    @property
    def is_last_claim(self):
        """Bool : whether no more than one claim is left."""
        return self._claims >= MAX_CLAIMS - 1

    def held_endpoint(self):
        """Return the endpoint that the request may be sent to, or None.

        None too if the endpoint is not to be used any more.
        """
        claim = self._claim
        if claim is None or claim.expires_s is None:
            return None
        listed = self._tools.endpoint_index.find(claim.endpoint.name)
        is_usable = listed is not None and not listed.leaving
        is_usable = is_usable and not self._tools.pauses.is_paused(listed)
        is_usable = is_usable and not self._tools.gate.is_withheld(listed)
        if not is_usable or self._tools.clock.seconds() > claim.expires_s:
            self.withdraw()
            return None
        return listed

    def covers(self, endpoint):
        """Return whether the request may be sent to an endpoint now."""
        if not self._tools.limits.is_limited(endpoint):
            return True
        held = self.held_endpoint()
        return held is not None and held.name == endpoint.name

    def claim(self, endpoint, claim, on_decision):
        """Claim a permit in place of the one before.

        Parameters
        ----------
        endpoint : Endpoint
        claim : PermitClaim
        on_decision : callable
            Called without arguments once it is granted or denied, perhaps before this
            returns.
        """
        self.withdraw()
        self._claims += 1
        current = self._claim = _Claim(endpoint, self._tools.clock.seconds())

        def decide(decision):
            if not current.is_over:
                self._decide(current, decision)
                on_decision()

        pending = self._tools.permits.claim(endpoint, claim, decide)
        current.pending = pending
        if current.is_over and current.expires_s is None:
            # It was withdrawn while it was being made.
            pending.cancel()

    def _decide(self, current, decision):
        now_s = self._tools.clock.seconds()
        if decision.is_granted:
            current.expires_s = now_s + LIFETIME_S
        else:
            current.is_over = True
            self._claim = None
            self.denied.add(current.endpoint.name)
            self.refused_by.add(current.endpoint.name)
        self._log(current, decision, now_s - current.claimed_s)

    def _log(self, current, decision, waited_s):
        if waited_s < MIN_LOGGED_WAIT_S:
            return
        state = "granted" if decision.is_granted else "denied"
        logger.info(
            PermitDecided(
                self._request_id,
                current.endpoint.name,
                state if decision.is_answered else "unanswered",
                round(waited_s * 1000),
                self._tools.limits.limit_per_s(current.endpoint),
                round(decision.wait_s * 1000),
            )
        )

    def reset(self):
        """Allow claims at all endpoints again, after a pause."""
        self.denied.clear()
        self._claims = 0

    def use(self, endpoint):
        """Use up the permit for an endpoint, if it has a limit.

        Returns
        -------
        PendingPermit
            Is to be told when the request has ended there.
        """
        claim = self._claim
        if claim is None or claim.endpoint.name != endpoint.name:
            return NO_CLAIM
        claim.is_over = True
        self._claim = None
        self.reset()
        return claim

    def withdraw(self):
        """Withdraw the claim, or give back the permit that was not used."""
        claim, self._claim = self._claim, None
        if claim is not None and not claim.is_over:
            claim.is_over = True
            claim.pending.cancel()
