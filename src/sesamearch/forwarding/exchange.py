"""Base of calls and generations: tries, timeouts and final answers."""

import abc

from sesamearch.base.errors import ErrorKind, Problem
from sesamearch.base.log import logger
from sesamearch.base.record import (
    RequestEnded,
    RequestProxied,
    RequestRefused,
    RetryDenied,
    TryLost,
    TrySent,
)
from sesamearch.forwarding.attempt import PeerTry, Try
from sesamearch.forwarding.deadline import MIN_TRY_S, deadlines_of
from sesamearch.forwarding.peer_proxy import ProxyTerms
from sesamearch.forwarding.permits import PermitClaim
from sesamearch.forwarding.request import ForwardOptions
from sesamearch.forwarding.request_permit import RequestPermit
from sesamearch.forwarding.request_quarantine import RequestQuarantine
from sesamearch.wire.endpoint import Loss
from sesamearch.wire.reply import ReplyListener

__all__ = ["Exchange", "retry_after_s"]

PROBLEM_HEADERS = [(b"Content-Type", b"application/problem+json")]
# Upper bound of Retry-After, as a share of the time until the caller's deadline.
RETRY_AFTER_RATIO = 0.3
MIN_RETRY_AFTER_S = 0.05
LOWEST_RANK = 9
MAX_LOGGED_ENDPOINTS = 8
# A request waits for a permit for this share of its time, so that enough is left for
# the endpoint.
PERMIT_WAIT_RATIO = 0.5
# Refusals of requests that some endpoint would have taken if it had had room.
NO_ROOM_KINDS = frozenset((ErrorKind.OVERLOADED, ErrorKind.NO_ENDPOINT))
# Routers by way of which one request is sent at most.
MAX_PEERS = 3
# A refused caller is told to wait for up to so many times the time until a permit.
MAX_PERMIT_WAIT_RATIO = 2.0


def retry_after_s(advice_s, remaining_s):
    """Return the ``Retry-After`` for a caller with `remaining_s` until its deadline."""
    return max(MIN_RETRY_AFTER_S, min(advice_s, remaining_s * RETRY_AFTER_RATIO))


class Exchange(ReplyListener):
    """Handles one request of a caller until its final answer.

    Parameters
    ----------
    tools : ForwardTools
    request : CallerRequest
    route : Route
    service : ServiceSpec
    organisation : Organisation or None
    table : RoutingTable
    reply : Reply
    on_end : callable
        Called with the exchange at its end.
    terms : ProxyTerms or None
        Terms of the router that sent the request, None if its caller did. A request of
        a router is not sent by way of another one.
    """

    def __init__(
        self,
        tools,
        request,
        route,
        service,
        organisation,
        table,
        reply,
        on_end,
        terms=None,
    ):
        self.tools = tools
        self.request = request
        self.route = route
        self.service = service
        self.organisation = organisation
        self.revision = table.revision
        self.urgency = table.urgency_of(route, organisation, service.name)
        self.reply = reply
        self.tries = []
        self.try_count = 0
        self.is_over = False
        self.excluded = set()
        self.max_runs = route.max_attempts
        if terms is not None:
            self.max_runs = min(self.max_runs, terms.max_runs)
        self.terms = terms
        self._peers_tried = set()
        self._advised_s = 0.0
        self.permit = RequestPermit(tools, request.request_id)
        self.quarantine = RequestQuarantine(tools, request, organisation)
        # Status that was sent to the caller; zero as long as it has heard nothing.
        self._sent_status = 0
        self._on_end = on_end
        deadlines = deadlines_of(request, route)
        self.answer_by_s = deadlines.answer_by_s
        self.end_by_s = deadlines.end_by_s
        self._timer = tools.clock.callLater(
            max(0.0, self.remaining_s()), self._timed_out
        )
        reply.listener = self

    # Steps that differ between calls and generations.

    @property
    @abc.abstractmethod
    def runs(self):
        """Int : number of tries that an endpoint may have run."""

    @abc.abstractmethod
    def start(self):
        """Send the first try."""

    @abc.abstractmethod
    def try_began(self, attempt):
        """Handle the head of an answer."""

    @abc.abstractmethod
    def try_received(self, attempt, data):
        """Handle a part of an answer."""

    @abc.abstractmethod
    def try_ended(self, attempt):
        """Handle a complete answer."""

    @abc.abstractmethod
    def try_lost(self, attempt, loss):
        """Handle the loss of an answer."""

    @property
    def held_bytes(self):
        """Int : memory held for the request; see :class:`ReplyListener`."""
        tries_bytes = sum(attempt.held_bytes for attempt in self.tries)
        return len(self.request.body) + tries_bytes

    @property
    def untaken_bytes(self):
        """Int : size of what waits for a caller that does not read; zero otherwise."""
        return self.reply.untaken_bytes

    def give_up_untaken(self):
        """Cut off an answer that its caller does not take."""
        self.log_end("untaken", None, self._sent_status)
        self.reply.abort()
        self.close()

    # Tries.

    @property
    def now_s(self):
        """Float : current time on this process's clock."""
        return self.tools.clock.seconds()

    def remaining_s(self):
        """Return the time until the head of the answer, or its end, must be sent."""
        return self.answer_by_s - self.now_s

    @property
    def is_late(self):
        """Bool : whether the caller has too little time left for any try."""
        return self.remaining_s() < MIN_TRY_S

    def note_head_sent(self, status):
        """Go on until the very deadline: no status is left to be sent before it."""
        self._sent_status = status
        self.answer_by_s = self.end_by_s
        self._timer.reset(max(0.0, self.remaining_s()))

    def spend_retry(self):
        """Take one retry from the service's budget; return whether one was left."""
        service = self.service.name
        budgets = self.tools.budgets
        if budgets.take(service):
            return True
        self.tools.counters.retries_denied += 1
        own, known = budgets.recent_retries(service)
        logger.info(RetryDenied(self.request.request_id, service, own, known))
        return False

    @property
    def rank(self):
        """Int : priority of the request, zero is the highest."""
        organisation = self.organisation
        rank = self.route.priority
        if organisation is not None and organisation.priority is not None:
            rank = organisation.priority
        return min(rank, LOWEST_RANK)

    def claim_permit(self, endpoint, proceed, has_begun=False, wait_s=None):
        """Claim a permit for a limited endpoint.

        The request does not wait for it if an endpoint without a limit is left.

        Parameters
        ----------
        endpoint : Endpoint
        proceed : callable
            Called without arguments once it is granted or denied, unless the request is
            over.
        has_begun : bool
            Whether the caller has a part of the answer.
        wait_s : float or None
            How long to wait for the permit; by default a share of the remaining time.
        """
        if wait_s is None:
            wait_s = self.remaining_s() * PERMIT_WAIT_RATIO
        is_left = self.tools.chooser.has_unlimited(
            self.service.name, self.request.request_id, self.excluded
        )
        is_left = is_left or self._has_other_places(endpoint)
        by_s = self.now_s + (0.0 if is_left else wait_s)
        claim = PermitClaim(self.urgency, has_begun, by_s)
        self.permit.claim(endpoint, claim, lambda: self.is_over or proceed())

    def _has_other_places(self, endpoint):
        """Return whether to ask other endpoints before waiting for a place at this one.

        Who waits at the first one has no use of a place that is free elsewhere.
        """
        statement = self.tools.limits.find(endpoint)
        is_brittle = statement is not None and statement.brittle_per_s is not None
        if not is_brittle or self.permit.is_last_claim:
            return False
        serving = self.tools.endpoint_index.serving(self.service.name)
        asked = {endpoint.name, *self.permit.denied, *self.excluded}
        return any(each.name not in asked for each in serving)

    def send(self, options, work):
        """Send the request to one endpoint and return the :class:`Try`."""
        if not self.permit.covers(options.endpoint):
            self.tools.counters.sends_without_permit += 1
        permit = self.permit.use(options.endpoint)
        self.quarantine.note_sent()
        self.try_count += 1
        is_resumed = options.after_event is not None
        observer = self.tools.gate.sent(options.endpoint, self.route.name, is_resumed)
        attempt = Try(self, options, self.try_count, work, observer, self.now_s)
        attempt.permit = permit
        self.tries.append(attempt)
        load = self.tools.loads.total(options.endpoint.name)
        logger.info(
            TrySent(
                self.request.request_id,
                options.endpoint.name,
                self.try_count,
                load.running,
                load.unread_tokens,
                self.tools.loads.oldest_report_age_ms(),
                self.revision,
                options.backup_address,
                options.copy.target_address if options.copy else "",
                options.after_event,
                self.tools.limits.limit_per_s(options.endpoint),
            )
        )
        self.tools.counters.tries += 1
        attempt.pending_request = self.tools.client.forward(
            self.request, options, attempt
        )
        return attempt

    def choose_peer(self):
        """Return a router by way of which to send the request, or None.

        None too as long as this router may reach endpoints of the service itself.
        """
        service = self.service.name
        if self.terms is not None or not self.tools.paths.is_cut(service):
            return None
        if len(self._peers_tried) >= MAX_PEERS:
            return None
        return self.tools.proxy.choose(service, self._peers_tried)

    @property
    def is_in_vain(self):
        """Bool : whether no endpoint can be reached, nor a router that reaches one."""
        return self.tools.paths.is_in_vain(self.service.name)

    def send_by(self, peer, deadline_s, after_event=None, copy=None):
        """Send the request by way of another router and return the :class:`Try`.

        Parameters
        ----------
        peer : ProxyPeer
        deadline_s : float
        after_event : int or None
        copy : MemoryCopy or None
            As in :class:`ForwardOptions`.
        """
        self._peers_tried.add(peer.name)
        self.try_count += 1
        options = ForwardOptions(peer, deadline_s, after_event=after_event)
        work = self.tools.proxy.begin(peer)
        attempt = PeerTry(self, options, self.try_count, work, self.now_s)
        self.tries.append(attempt)
        self.tools.counters.proxied += 1
        logger.info(
            RequestProxied(
                self.request.request_id, peer.name, self.try_count, after_event
            )
        )
        # One run is kept back for the time when this router is lost.
        max_runs = max(1, self.max_runs - self.runs - 1)
        terms = ProxyTerms(self.revision, max_runs, copy)
        attempt.pending_request = self.tools.proxy.forward(
            self.request, options, terms, attempt
        )
        return attempt

    def note_path_lost(self, service):
        """Give up tries that wait for a connection which can't be made."""
        if self.service.name != service:
            return
        for attempt in list(self.tries):
            if not attempt.is_by_peer and attempt.state == "connecting":
                self.reject_body(attempt, Loss.NOT_CONNECTED)

    @property
    def advised_s(self):
        """Float : time after which a refusing router advises a retry, zero for none."""
        return self._advised_s

    def drop(self, attempt, cause, status=0):
        """Record that a try ended without a usable answer."""
        if attempt in self.tries:
            self.tries.remove(attempt)
        if attempt.answer is not None and attempt.answer.refusal is not None:
            self._advised_s = attempt.answer.refusal.retry_delay_s or 0.0
        self.tools.counters.tries_lost += 1
        self.tools.meter.try_ended(self.service.name, cause)
        after_ms = round((self.now_s - attempt.sent_s) * 1000)
        answering_ms = None
        if attempt.answered_s is not None:
            answering_ms = round((self.now_s - attempt.answered_s) * 1000)
        logger.info(
            TryLost(
                self.request.request_id,
                attempt.endpoint.name,
                attempt.number,
                cause,
                status,
                after_ms,
                answering_ms,
                attempt.event_count,
                self.quarantine.parts,
            )
        )

    def reject_body(self, attempt, loss):
        """Cancel a try whose body cannot be used, and handle it as a lost one."""
        attempt.cancel()
        self.try_lost(attempt, loss)

    def cancel_tries(self):
        """Cancel all tries that still run."""
        tries, self.tries = self.tries, []
        for attempt in tries:
            attempt.cancel()

    # Final answers.

    def close(self):
        """End the exchange: cancel its timer and tries."""
        if self.is_over:
            return
        self.is_over = True
        if self._timer.active():
            self._timer.cancel()
        self.permit.withdraw()
        self.quarantine.note_over()
        self.cancel_tries()
        # Parts of an exchange refer back to it, so that it is freed later.
        self.request = self.request.without_body()
        self._on_end(self)

    def _left_ms(self):
        """Return the time until the caller's deadline, in ms; negative after it."""
        return round((self.request.deadline_s - self.now_s) * 1000)

    def _try_state(self):
        """Return the state of the newest try that still runs; empty without one."""
        return self.tries[-1].state if self.tries else ""

    def took_ms(self):
        """Return the time since the request was received, in ms."""
        return round((self.now_s - self.request.received_s) * 1000)

    def refuse(self, kind, detail="", advice_s=None):
        """Answer with an error from this router.

        Parameters
        ----------
        kind : ErrorKind
        detail : str
        advice_s : float or None
            Time after which a retry can help; by default that of the error kind.
        """
        if self.is_over:
            return
        if kind in NO_ROOM_KINDS:
            self.tools.untaken.note_refused(self.service.name)
        problem = Problem(kind, detail)
        retry_delay_s = problem.retry_delay_s if advice_s is None else advice_s
        headers = list(PROBLEM_HEADERS)
        if retry_delay_s is not None:
            retry_delay_s = retry_after_s(retry_delay_s, self.remaining_s())
            if kind is not ErrorKind.DRAINING:
                retry_delay_s = max(retry_delay_s, self._shortest_wait_s())
            headers.append((b"Retry-After", b"%.3f" % retry_delay_s))
        problem = Problem(kind, detail, retry_delay_s)
        status = problem.answer.status
        self.tools.counters.refusals += 1
        self.tools.meter.request_ended(
            self.route.name, kind.value, self.took_ms() / 1000
        )
        logger.info(
            RequestRefused(
                self.request.request_id,
                self.route.name,
                kind.value,
                status,
                detail,
                self.try_count,
                self.took_ms(),
                self.revision,
                left_ms=self._left_ms(),
                try_state=self._try_state(),
                parts=self.quarantine.refusing_parts,
                limited=sorted(self.permit.refused_by)[:MAX_LOGGED_ENDPOINTS],
            )
        )
        self.reply.refuse(problem, headers)
        self.close()

    def _shortest_wait_s(self):
        """Return how long a retry cannot help, however long the caller's deadline is.

        No endpoint of the service wants requests until then, or this request. Zero if
        one does.
        """
        serving = self.tools.endpoint_index.serving(self.service.name)
        return max(
            self.tools.pauses.wait_s(serving),
            self._permit_wait_s(serving),
            self.quarantine.wait_s,
        )

    def _permit_wait_s(self, endpoints):
        """Return how long none of some endpoints can have a permit.

        A random part is added, so that the callers that are refused do not all come
        back for the same permit.
        """
        limits, permits = self.tools.limits, self.tools.permits
        if not endpoints or not all(map(limits.is_limited, endpoints)):
            return 0.0
        wait_s = min(map(permits.wait_s, endpoints))
        return wait_s * self.tools.rng.uniform(1.0, MAX_PERMIT_WAIT_RATIO)

    def log_end(self, outcome, attempt, status, first_ms=0, events=0):
        """Log and measure the outcome of the request."""
        self.tools.meter.request_ended(self.route.name, outcome, self.took_ms() / 1000)
        if outcome == "answered":
            self.tools.meter.try_ended(self.service.name, outcome)
        logger.info(
            RequestEnded(
                self.request.request_id,
                self.route.name,
                attempt.endpoint.name if attempt else "",
                outcome,
                status,
                self.try_count,
                self.took_ms(),
                first_ms,
                events,
                self._left_ms(),
                self._try_state() if outcome != "answered" else "",
            )
        )

    def caller_left(self):
        """Stop the work for a caller that disconnected."""
        self.tools.counters.callers_left += 1
        self.tools.counters.callers_unheard += not self._sent_status
        self.log_end("caller_left", None, self._sent_status)
        self.close()

    def note_no_answer(self, attempts):
        """Record tries that are unanswered at the deadline or when another try ends.

        Each counts as a failure of its endpoint. To a rollout the time waited so far
        may count as slow.
        """
        for attempt in attempts:
            attempt.report_silence()

    def _timed_out(self):
        if self.is_over:
            return
        self.note_no_answer(self.tries)
        kind = ErrorKind.TIMED_OUT if self._may_have_run else ErrorKind.NO_ENDPOINT
        self.expire(kind)

    def end_for_shutdown(self):
        """Answer with the best result so far, because this process is about to end."""
        if not self.is_over:
            is_unsent = not self._may_have_run
            self.expire(ErrorKind.DRAINING if is_unsent else ErrorKind.TIMED_OUT)

    @property
    def _may_have_run(self):
        """Bool : whether an endpoint may have got the request and not refused it."""
        return self.runs > sum(not attempt.is_sent for attempt in self.tries)

    def expire(self, kind):
        """Answer with an error when the deadline passes."""
        self.refuse(kind, "no answer in time")
