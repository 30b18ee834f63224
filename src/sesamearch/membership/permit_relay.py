"""Permits of limited endpoints, claimed from their limiters.

An endpoint's limit is for all routers together, so one of them, its limiter, grants
the permits to send to it. The others ask it for each request.
"""

import itertools

from sesamearch.base.log import logger
from sesamearch.forwarding.permit_buckets import PermitBuckets
from sesamearch.forwarding.permits import (
    GRANTED,
    NO_CLAIM,
    PendingPermit,
    PermitDecision,
    PermitSource,
)
from sesamearch.membership.limit_gossip import make_notice
from sesamearch.membership.limit_message import (
    PERMIT_SCHEMA_VERSION,
    PermitReply,
    PermitRequest,
    PermitState,
    PermitUsed,
    PermitWithdrawal,
)
from sesamearch.membership.limiter import LimiterOrder
from sesamearch.membership.permit_server import PermitServer
from sesamearch.membership.schema import is_known_version

__all__ = ["PermitRelay"]

# A limiter that has not answered by then is taken for silent.
ANSWER_TIMEOUT_S = 0.15
# A message is sent again after this time while the connection is being established.
CONNECT_RETRY_S = 0.01
MAX_SENDS = 12
# A silent limiter is asked again after this time.
SILENCE_S = 2.0
# Without a limiter, permits are claimed again after this time.
UNANSWERED_WAIT_S = 0.5
# A limited endpoint to which no request was sent for so long is asked for its limit.
TRIAL_INTERVAL_S = 5.0


class _AskedClaim(PendingPermit):
    """A claim of this router that its limiters decide."""

    __slots__ = (
        "limiters",
        "asked",
        "claim",
        "endpoint",
        "number",
        "on_cancel",
        "on_decision",
        "on_end",
        "own_claim",
        "timer",
    )

    def __init__(self, number, endpoint, claim, on_decision, on_cancel, on_end):
        self.number = number
        self.endpoint = endpoint
        self.claim = claim
        self.on_decision = on_decision
        self.on_cancel = on_cancel
        self.on_end = on_end
        # Limiters that are still to be asked, and the one that was asked last.
        self.limiters = []
        self.asked = None
        # The claim at this router's own buckets, if it is the limiter.
        self.own_claim = NO_CLAIM
        self.timer = None

    def cancel(self):
        """Withdraw the claim, or give back its permit."""
        self.on_cancel(self)

    def note_ended(self, was_turned_away=False):
        """Tell the limiter that the request has ended."""
        self.on_end(self, was_turned_away)


class PermitRelay(PermitSource):
    """Claims permits from the limiters of endpoints, and is one for others.

    Parameters
    ----------
    limits : LimitTracker
    find_endpoint : callable
        Returns the listed endpoint with a name, or None.
    clock : twisted.internet.interfaces.IReactorTime
    counters : ForwardCounters
    """

    __slots__ = (
        "_asked",
        "_clock",
        "_counters",
        "_find_endpoint",
        "_free_s",
        "_buckets",
        "_limits",
        "_numbers",
        "_opened",
        "_order",
        "_peers",
        "_server",
        "_silent_until_s",
    )

    def __init__(self, limits, find_endpoint, clock, counters):
        self._limits = limits
        self._find_endpoint = find_endpoint
        self._clock = clock
        self._counters = counters
        self._buckets = PermitBuckets(clock, limits)
        self._order = LimiterOrder(clock)
        self._peers = None
        self._numbers = itertools.count(1)
        self._server = PermitServer(
            self._buckets, limits, self._order, self._send, clock
        )
        # Claims by number.
        self._asked = {}
        self._silent_until_s = {}
        limits.on_change = self._note_change
        # Processes whose limits this router has considered as their limiter.
        self._opened = set()
        # When endpoints may have a permit, as last heard, by name.
        self._free_s = {}

    def join(self, peers):
        """Ask and answer the other routers through a :class:`FleetLink`."""
        self._peers = peers
        self._order.join(peers.member_list)
        peers.handle_message(PermitRequest, self._server.handle_request)
        peers.handle_message(PermitWithdrawal, self._server.handle_withdrawal)
        peers.handle_message(PermitUsed, self._server.handle_used)
        peers.handle_message(PermitReply, self._handle_reply)

    # Claims.

    def claim(self, endpoint, claim, on_decision):
        """Claim a permit; see ``PermitSource``."""
        self._counters.permits_claimed += 1
        is_hopeless = self._clock.seconds() + self.wait_s(endpoint) > claim.by_s
        if is_hopeless and not claim.has_begun:
            self._counters.permits_denied += 1
            on_decision(PermitDecision(False, self.wait_s(endpoint)))
            return NO_CLAIM
        number = next(self._numbers)
        asked = _AskedClaim(
            number, endpoint, claim, on_decision, self._withdraw, self._note_ended
        )
        if self._order.own is None:
            self._claim_own(asked)
        else:
            self._asked[number] = asked
            asked.limiters = self._live_limiters(endpoint)
            self._ask_next(asked)
        return asked

    def _live_limiters(self, endpoint):
        now_s = self._clock.seconds()
        limiters = self._order.limiters(endpoint.name, endpoint.data_centre)
        return [
            each
            for each in limiters
            if self._silent_until_s.get(each.name, now_s) <= now_s
        ]

    def _ask_next(self, asked):
        """Ask the next limiter."""
        if not self._limits.is_limited(asked.endpoint):
            # The limit has ended while a limiter did not answer.
            self._decide(asked, GRANTED)
            return
        if not asked.limiters:
            self._decide_unanswered(asked)
            return
        asked.asked = asked.limiters.pop(0)
        if asked.asked == self._order.own:
            self._claim_own(asked)
            return
        asked.timer = self._clock.callLater(
            ANSWER_TIMEOUT_S, self._handle_silence, asked
        )
        self._send(asked.asked.address, self._make_request(asked))

    def _decide_unanswered(self, asked):
        self._counters.permits_unanswered += 1
        decision = PermitDecision(False, UNANSWERED_WAIT_S, is_answered=False)
        self._decide(asked, decision)

    def _claim_own(self, asked):
        endpoint = asked.endpoint
        share_ratio = self._order.share_ratio(endpoint.name, endpoint.data_centre)
        if not share_ratio:
            self._decide_unanswered(asked)
            return
        key = self._limits.key_of(endpoint)
        asked.own_claim = self._buckets.claim(
            key, share_ratio, asked.claim, lambda each: self._decide(asked, each)
        )

    def _make_request(self, asked):
        now_s = self._clock.seconds()
        statement = self._limits.find(asked.endpoint)
        key = self._limits.key_of(asked.endpoint)
        return PermitRequest(
            PERMIT_SCHEMA_VERSION,
            self._order.own.address,
            asked.number,
            asked.endpoint.data_centre,
            make_notice(key, statement, now_s),
            asked.claim.rank,
            asked.claim.has_begun,
            max(0.0, asked.claim.by_s - now_s),
        )

    def _send(self, address, message, tries=MAX_SENDS):
        """Send a message, again while the connection is being established."""
        is_sent = self._peers.send_to(address, message)
        if not is_sent and tries > 1:
            self._clock.callLater(
                CONNECT_RETRY_S, self._send, address, message, tries - 1
            )

    def _handle_silence(self, asked):
        name = asked.asked.name
        until_s = self._clock.seconds() + SILENCE_S
        if self._silent_until_s.get(name, 0.0) < self._clock.seconds():
            logger.info("limiter is silent name={} until_s={:.1f}", name, until_s)
        self._silent_until_s[name] = until_s
        self._ask_next(asked)

    def _handle_reply(self, reply):
        if not is_known_version(reply, PERMIT_SCHEMA_VERSION):
            return
        self._silent_until_s.pop(reply.name, None)
        asked = self._asked.get(reply.number)
        if asked is None or asked.asked.name != reply.name:
            if reply.state is PermitState.GRANTED:
                self._send_withdrawal(reply.name, reply.number)
            return
        if reply.state is PermitState.WAITING:
            patience_s = max(0.0, asked.claim.by_s - self._clock.seconds())
            self._stop_timer(asked)
            asked.timer = self._clock.callLater(
                patience_s + ANSWER_TIMEOUT_S, self._handle_silence, asked
            )
        elif reply.state is PermitState.NOT_LIMITER:
            self._stop_timer(asked)
            self._ask_next(asked)
        else:
            is_granted = reply.state is PermitState.GRANTED
            self._decide(asked, PermitDecision(is_granted, reply.wait_s))

    def _decide(self, asked, decision):
        self._forget(asked)
        self._note_decision(asked, decision)

    def _note_decision(self, asked, decision):
        name = asked.endpoint.name
        self._free_s[name] = self._clock.seconds() + decision.wait_s
        if decision.is_granted:
            self._counters.permits_granted += 1
        else:
            self._counters.permits_denied += 1
        asked.on_decision(decision)

    def _forget(self, asked):
        self._stop_timer(asked)
        self._asked.pop(asked.number, None)

    def _stop_timer(self, asked):
        timer, asked.timer = asked.timer, None
        if timer is not None and timer.active():
            timer.cancel()

    def _withdraw(self, asked):
        """Withdraw a claim, or give back its permit."""
        self._forget(asked)
        asked.own_claim.cancel()
        if asked.asked is not None and asked.asked != self._order.own:
            self._send_withdrawal(asked.asked.name, asked.number)

    def _note_ended(self, asked, was_turned_away):
        """Free the place of a request, if its endpoint's places are counted."""
        asked.own_claim.note_ended(was_turned_away)
        limiter = asked.asked
        if limiter is None or limiter == self._order.own:
            return
        statement = self._limits.find(asked.endpoint)
        if statement is not None and statement.brittle_per_s is not None:
            own = self._order.own.address
            used = PermitUsed(PERMIT_SCHEMA_VERSION, own, asked.number, was_turned_away)
            self._send(limiter.address, used)

    def _send_withdrawal(self, name, number):
        router = self._peers.member_list.find(name)
        if router is not None:
            own = self._order.own.address
            withdrawal = PermitWithdrawal(PERMIT_SCHEMA_VERSION, own, number)
            self._send(router.address, withdrawal)

    # What is known of endpoints.

    def wait_s(self, endpoint):
        """Return the time until a permit may be free; see ``PermitSource``."""
        free_s = self._free_s.get(endpoint.name, 0.0)
        return max(0.0, free_s - self._clock.seconds())

    def is_trial_due(self, endpoint):
        """Return whether to ask an endpoint for its limit; see ``PermitSource``."""
        if not self._is_first(endpoint):
            return False
        heard_s = self._limits.find(endpoint).heard_s
        granted_s = self._buckets.granted_s(self._limits.key_of(endpoint)) or heard_s
        last_s = max(granted_s, heard_s)
        return self._clock.seconds() - last_s >= TRIAL_INTERVAL_S

    def _note_change(self, incarnation):
        """Follow a changed limit at once."""
        self._free_s.pop(incarnation.name, None)
        self._buckets.refresh()

    def refresh(self):
        """Follow changed limits and drop what is over; called at intervals."""
        self._buckets.refresh()
        self._server.refresh()
        self._open_buckets()
        now_s = self._clock.seconds()
        self._free_s = {n: s for n, s in self._free_s.items() if s > now_s}
        silent = self._silent_until_s.items()
        self._silent_until_s = {n: s for n, s in silent if s > now_s}

    def _open_buckets(self):
        """Open buckets for new limits, if this router is their first limiter."""
        limited = self._limits.limited
        for incarnation in limited - self._opened:
            endpoint = self._find_endpoint(incarnation.name)
            if endpoint is not None and self._is_first(endpoint):
                self._buckets.open(incarnation, 1.0)
        self._opened = limited

    def _is_first(self, endpoint):
        order = self._order.limiters(endpoint.name, endpoint.data_centre)
        return bool(order) and order[0] == self._order.own
