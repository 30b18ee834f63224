"""Calls to plain services: sent once, or retried if they are idempotent."""

from sesamearch.base.errors import ErrorKind
from sesamearch.forwarding.exchange import Exchange
from sesamearch.forwarding.request import ForwardOptions
from sesamearch.routing.table import RouteKind
from sesamearch.wire.endpoint import Loss

__all__ = ["CallExchange"]

# Share of the latency goal after which an idempotent call is hedged, i.e. sent to a
# second endpoint as well.
HEDGE_DELAY_RATIO = 0.6
# Refused sends do not count as runs, so they need a limit of their own.
MAX_SENDS = 4
# Failed connections cause no work at an endpoint, so they have a higher limit.
MAX_FAILED_CONNECTIONS = 40
RETRY_AFTER_S = 0.25


class CallExchange(Exchange):
    """Forwards one call.

    An answer is buffered until it is complete, so that a truncated one can be
    replaced by the answer of another endpoint, or by an error that states whether
    the call may have run.
    """

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self._is_idempotent = self.route.kind is RouteKind.IDEMPOTENT
        self._runs = 0
        self._failed_connections = 0
        self._hedge_timer = None
        self._cause = ErrorKind.NO_ENDPOINT
        self._failure = None
        self._streamed_try = None

    @property
    def runs(self):
        """Int : number of tries that an endpoint may have run."""
        return self._runs

    def start(self):
        """Send the first try."""
        self._send()

    def _send(self):
        if self.quarantine.find() is not None:
            self._give_up(ErrorKind.REQUEST_QUARANTINED, self.quarantine.note_refused())
            return
        peer = self.choose_peer()
        if peer is not None:
            self._send_by(peer)
            return
        if self.is_in_vain:
            self._give_up(self._cause, "no endpoint can be reached")
            return
        endpoint = self._choose()
        if endpoint is not None and self.permit.covers(endpoint):
            self._send_to(endpoint)
        elif endpoint is None or self.permit.is_exhausted:
            self._give_up_unsent()
        else:
            self.claim_permit(endpoint, self._send)

    def _give_up_unsent(self):
        if self.permit.denied and not self._runs:
            detail = "the endpoints take no more requests for now"
            self._give_up(ErrorKind.OVERLOADED, detail)
        else:
            self._give_up(self._cause, "no endpoint left to try")

    def _send_to(self, endpoint):
        self.excluded.add(endpoint.name)
        options = ForwardOptions(
            endpoint,
            self.answer_by_s,
            self.organisation.name if self.organisation else "",
            after_event=self.request.after_event,
        )
        self._runs += 1
        self.tools.statements.note_sent(endpoint.name)
        self.send(options, self.tools.loads.begin(endpoint.name))
        if self._hedge_timer is None and not self.is_over:
            delay_s = self.route.latency_goal_s * HEDGE_DELAY_RATIO
            self._hedge_timer = self.tools.clock.callLater(delay_s, self._send_hedge)

    def _send_by(self, peer):
        self._runs += 1
        self.send_by(peer, self.answer_by_s)

    def _choose(self):
        held = self.permit.held_endpoint()
        if held is not None:
            return held
        return self.tools.chooser.for_call(
            self.service.name,
            self.request.request_id,
            self.excluded,
            self.permit.denied,
        )

    def _may_send(self):
        return (
            self._runs < self.max_runs
            and self.try_count - self._failed_connections < MAX_SENDS
            and self.remaining_s() > 0
        )

    def _send_hedge(self):
        if self.is_over or self.quarantine.find() is not None:
            return
        if self.tries:
            self.tries[0].note_silent()
        if not self._is_idempotent:
            return
        has_pending_try = len(self.tries) == 1
        if has_pending_try and self._streamed_try is None and self._may_send():
            peer = self.choose_peer()
            if peer is not None:
                if self.spend_retry():
                    self._send_by(peer)
                return
            endpoint = self._choose()
            # A limited endpoint has no room for a request that another one has.
            is_free = endpoint is not None and self.permit.covers(endpoint)
            if is_free and self.spend_retry():
                self._send_to(endpoint)

    def note_path_lost(self, service):
        """Send an idempotent call that nothing is heard of by way of another router."""
        super().note_path_lost(service)
        is_unheard = all(attempt.answer is None for attempt in self.tries)
        if self.is_over or not (self._is_idempotent and self.tries and is_unheard):
            return
        peer = self.choose_peer()
        if peer is not None and self._may_send() and self.spend_retry():
            self._send_by(peer)

    def _send_again(self, kind, detail):
        """Retry after a try without a usable answer, or give up."""
        if self.tries:
            return
        self._cause = kind
        has_endpoint = self._may_send() and self._can_choose()
        if has_endpoint and self.spend_retry():
            self._send()
        else:
            self._give_up(kind, detail)

    def _can_choose(self):
        return self.choose_peer() is not None or self._choose() is not None

    def _send_after_failed_connection(self):
        """Retry without the budget, which counts what arrives at endpoints."""
        if self.tries:
            return
        self._cause = ErrorKind.NO_ENDPOINT
        if self._failed_connections < MAX_FAILED_CONNECTIONS and self._may_send():
            self._send()
        else:
            self._give_up(self._cause, "no endpoint can be reached")

    def _give_up(self, kind, detail):
        if self.tries:
            return
        if self._failure is not None:
            self._deliver(self._failure)
            return
        if self._runs:
            # An endpoint may have run the call, so the error must not say "not run".
            kind = ErrorKind.ENDPOINT_LOST
        self.refuse(kind, detail, max(RETRY_AFTER_S, self.advised_s))

    def try_began(self, attempt):
        """Ignore the head of an answer until its body arrives."""

    def try_received(self, attempt, data):
        """Buffer a part of an answer; a long success is streamed to the caller."""
        if self._streamed_try is attempt:
            self.reply.write(data)
        elif attempt.buffer(data):
            self.reply.note_held()
        elif attempt.answer.is_success:
            self._start_streaming(attempt)
        else:
            self.reject_body(attempt, Loss.TOO_LARGE)

    def _start_streaming(self, attempt):
        self._streamed_try = attempt
        for other in [each for each in self.tries if each is not attempt]:
            self.tries.remove(other)
            other.cancel()
        answer = attempt.answer
        self.note_head_sent(answer.status)
        self.reply.start(answer.status, answer.headers, answer.reason)
        self.reply.write(attempt.take_body())
        self.reply.set_producer(attempt.pending_request.producer)

    def try_ended(self, attempt):
        """Deliver a complete answer, or retry at another endpoint."""
        if self.is_over:
            return
        if attempt.has_not_run:
            self._handle_not_run(attempt)
            return
        self.quarantine.note_run()
        answer = attempt.answer
        is_failure = answer.status >= 500
        attempt.report_answer(is_failure)
        attempt.observer.answered(is_failure)
        if is_failure and self._is_idempotent:
            self._failure = attempt
            self.drop(attempt, "failed", answer.status)
            self._send_again(ErrorKind.ENDPOINT_LOST, "endpoint failed")
            return
        self.tries.remove(attempt)
        self.note_no_answer(self.tries)
        self._deliver(attempt)

    def _handle_not_run(self, attempt):
        """Retry a call that the endpoint states it did not run."""
        self._runs -= 1
        self.drop(attempt, "not_run", attempt.answer.status)
        if attempt.answer.is_other_instance:
            self.tools.health.note_replaced(attempt.endpoint.name)
        refusal = attempt.answer.refusal
        kind = refusal.kind if refusal else ErrorKind.OVERLOADED
        self._send_again(kind, "endpoints are busy")

    def try_lost(self, attempt, loss):
        """Retry at another endpoint if that is safe."""
        if self.is_over:
            return
        attempt.report_loss(loss)
        self.drop(attempt, loss.value, attempt.answer.status if attempt.answer else 0)
        if self._streamed_try is attempt:
            self.log_end("cut", attempt, attempt.answer.status)
            self.reply.abort()
            self.close()
        elif attempt.has_not_run:
            self._runs -= 1
            self._send_again(ErrorKind.OVERLOADED, "endpoints are busy")
        elif loss is Loss.NOT_CONNECTED:
            self._runs -= 1
            self._failed_connections += 1
            self._send_after_failed_connection()
        else:
            self._handle_lost_run(attempt, loss)

    def _handle_lost_run(self, attempt, loss):
        """Retry an idempotent call that an endpoint may have run, or answer."""
        self.quarantine.note_lost(attempt, loss)
        if self._is_idempotent:
            self._send_again(ErrorKind.ENDPOINT_LOST, "answer lost")
        else:
            self.refuse(ErrorKind.ENDPOINT_LOST, "answer lost")

    def _deliver(self, attempt):
        answer = attempt.answer
        self.log_end("answered", attempt, answer.status)
        if self._streamed_try is attempt:
            self.reply.finish()
        else:
            self.reply.answer(
                answer.status, answer.headers, attempt.body, answer.reason
            )
        self.close()

    def expire(self, kind):
        """Answer with the best result so far when the deadline passes."""
        if self._streamed_try is not None:
            self.log_end("cut", self._streamed_try, 0)
            self.reply.abort()
            self.close()
        elif self._failure is not None:
            self.cancel_tries()
            self._deliver(self._failure)
        else:
            super().expire(kind)

    def close(self):
        """End the call and cancel its hedge."""
        if self._hedge_timer is not None and self._hedge_timer.active():
            self._hedge_timer.cancel()
        super().close()
        # They refer to this exchange as well.
        self._failure = self._streamed_try = None
