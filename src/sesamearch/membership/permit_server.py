"""The permits that this router, as a limiter, grants to the claims of others."""

from sesamearch.forwarding.permits import NO_CLAIM, PermitClaim
from sesamearch.forwarding.places import MAX_HELD_S
from sesamearch.membership.limit_gossip import read_notice
from sesamearch.membership.limit_message import (
    PERMIT_SCHEMA_VERSION,
    PermitReply,
    PermitState,
)
from sesamearch.membership.schema import is_known_version

__all__ = ["PermitServer"]

# A permit that was granted to another router can be given back for so long.
RETURN_TIMEOUT_S = 1.0


class _ServedClaim:
    """A claim of another router that this one decides."""

    __slots__ = ("_reply", "_request", "ends_s", "has_place", "is_decided", "pending")

    def __init__(self, request, reply):
        self._request = request
        self._reply = reply
        self.pending = NO_CLAIM
        self.is_decided = False
        # Whether the other router tells when its request has ended.
        self.has_place = False
        # When it is forgotten; never before it is decided.
        self.ends_s = float("inf")

    def decide(self, decision):
        """Tell the other router what became of its claim."""
        self.is_decided = True
        state = PermitState.GRANTED if decision.is_granted else PermitState.DENIED
        self._reply(self._request, state, decision.wait_s)


class PermitServer:
    """Decides the claims of other routers, as far as this one is a limiter.

    Parameters
    ----------
    buckets : PermitBuckets
    limits : LimitTracker
    order : LimiterOrder
    send : callable
        Sends a message to the router at an address.
    clock : twisted.internet.interfaces.IReactorTime
    """

    __slots__ = ("_clock", "_buckets", "_limits", "_order", "_send", "_served")

    def __init__(self, buckets, limits, order, send, clock):
        self._buckets = buckets
        self._limits = limits
        self._order = order
        self._send = send
        self._clock = clock
        # By address of the other router and number of the claim.
        self._served = {}

    def handle_request(self, request):
        """Decide a :class:`PermitRequest`, or say that it has to wait."""
        if not is_known_version(request, PERMIT_SCHEMA_VERSION):
            return
        notice = request.notice
        incarnation = notice.incarnation
        now_s = self._clock.seconds()
        self._limits.update(incarnation, read_notice(notice, now_s))
        share_ratio = self._order.share_ratio(incarnation.name, request.data_centre)
        if not share_ratio:
            self._reply(request, PermitState.NOT_LIMITER, 0.0)
            return
        served = _ServedClaim(request, self._reply)
        claim = PermitClaim(request.rank, request.has_begun, now_s + request.patience_s)
        served.pending = self._buckets.claim(
            incarnation, share_ratio, claim, served.decide
        )
        self._served[request.address, request.number] = served
        served.has_place = notice.brittle_per_s is not None
        if not served.is_decided:
            self._reply(request, PermitState.WAITING, 0.0)

    def _reply(self, request, state, wait_s):
        name = self._order.own.name
        reply = PermitReply(PERMIT_SCHEMA_VERSION, name, request.number, state, wait_s)
        self._send(request.address, reply)

    def handle_withdrawal(self, withdrawal):
        """Forget a claim, or take back its permit."""
        if not is_known_version(withdrawal, PERMIT_SCHEMA_VERSION):
            return
        served = self._served.pop((withdrawal.address, withdrawal.number), None)
        if served is not None:
            served.pending.cancel()

    def handle_used(self, used):
        """Free the place of a request that has ended."""
        if not is_known_version(used, PERMIT_SCHEMA_VERSION):
            return
        served = self._served.pop((used.address, used.number), None)
        if served is not None:
            served.pending.note_ended(used.was_turned_away)

    def refresh(self):
        """Forget the claims that were decided some time ago; called at intervals."""
        now_s = self._clock.seconds()
        for key, served in list(self._served.items()):
            if served.ends_s <= now_s:
                del self._served[key]
            elif served.is_decided and served.ends_s == float("inf"):
                timeout_s = MAX_HELD_S if served.has_place else RETURN_TIMEOUT_S
                served.ends_s = now_s + timeout_s
