"""Calls of plain services: sent once, or repeated where they are idempotent."""

from sesamearch.base.errors import ErrorKind
from sesamearch.forwarding.exchange import Exchange
from sesamearch.forwarding.request import Passage
from sesamearch.routing.table import RouteKind
from sesamearch.wire.endpoint import Loss

__all__ = ["CallExchange"]

# A second endpoint is asked while the first one is silent for so much of the goal.
HEDGE_GOAL_RATIO = 0.6
# Refusals by endpoints are no runs; this bounds how many are collected.
MAX_SENDS = 4
# Larger answers are passed on as they come.
HELD_BODY_BYTES = 64 << 10
RETRY_ADVICE_S = 0.25


class CallExchange(Exchange):
    """One call.

    An answer is held until it is whole, so that one which breaks off can be
    replaced by another endpoint's, or by an error that says what is known.
    """

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self._is_idempotent = self.route.kind is RouteKind.IDEMPOTENT
        self._runs = 0
        self._hedge = None
        self._cause = ErrorKind.NO_ENDPOINT
        self._failure = None
        self._passed_on = None
        self._held_bytes = 0

    def start(self):
        """Send the first try."""
        self._send()

    def _send(self):
        endpoint = self._choose()
        if endpoint is None:
            self._give_up(self._cause, "no endpoint left to try")
            return
        self.excluded.add(endpoint.name)
        passage = Passage(
            endpoint,
            self.until_s,
            self.organisation.name if self.organisation else "",
            after_event=self.request.after_event,
        )
        self._runs += 1
        self.send(passage, self.tools.loads.begin(endpoint.name))
        if self._is_idempotent and self._hedge is None and not self.is_over:
            delay_s = self.route.latency_goal_s * HEDGE_GOAL_RATIO
            self._hedge = self.tools.clock.callLater(delay_s, self._send_second)

    def _choose(self):
        return self.tools.chooser.for_call(
            self.service.name, self.request.request_id, self.excluded
        )

    def _may_send(self):
        return (
            self._runs < self.route.max_attempts
            and self.tried < MAX_SENDS
            and self.left_s() > 0
        )

    def _send_second(self):
        has_silent_try = not self.is_over and len(self.tries) == 1
        if has_silent_try and self._passed_on is None and self._may_send():
            if self._choose() is not None and self.may_repeat():
                self._send()

    def _send_again(self, kind, detail):
        """Send once more after a try brought nothing, or give up."""
        if self.tries:
            return
        self._cause = kind
        if self._may_send() and self.may_repeat():
            self._send()
        else:
            self._give_up(kind, detail)

    def _give_up(self, kind, detail):
        if self.tries:
            return
        if self._failure is not None:
            self._deliver(self._failure)
            return
        if self._runs:
            # It may have run somewhere: "not run" would be a promise.
            kind = ErrorKind.ENDPOINT_LOST
        self.refuse(kind, detail, RETRY_ADVICE_S)

    def try_began(self, attempt):
        """Take the head of an answer."""

    def try_received(self, attempt, data):
        """Hold a part of an answer, or pass it on if it is long."""
        if self._passed_on is attempt:
            self.reply.write(data)
            return
        attempt.body.append(data)
        size_bytes = sum(map(len, attempt.body))
        if size_bytes > HELD_BODY_BYTES and self._is_wanted(attempt):
            self._pass_on(attempt)

    def _is_wanted(self, attempt):
        return self._passed_on is None and attempt.answer.is_success

    def _pass_on(self, attempt):
        self._passed_on = attempt
        for other in [each for each in self.tries if each is not attempt]:
            self.tries.remove(other)
            other.cancel()
        answer = attempt.answer
        self.reply.start(answer.status, answer.headers, answer.reason)
        self.reply.write(b"".join(attempt.body))
        self.reply.set_producer(attempt.pending_request.producer)

    def try_ended(self, attempt):
        """Deliver a whole answer, or try elsewhere."""
        if self.is_over:
            return
        if attempt.is_promise:
            self._take_promise(attempt)
            return
        answer = attempt.answer
        is_failure = answer.status >= 500
        self.tools.health.answered(attempt.endpoint.name, is_failure)
        self.note_answer(attempt, is_failure)
        if is_failure and self._is_idempotent:
            self._failure = attempt
            self.drop(attempt, "failed", answer.status)
            self._send_again(ErrorKind.ENDPOINT_LOST, "endpoint failed")
            return
        self.tries.remove(attempt)
        self.note_silence(self.tries)
        self._deliver(attempt)

    def _take_promise(self, attempt):
        """Send again what provably did not run."""
        self._runs -= 1
        self.drop(attempt, "not_run", attempt.answer.status)
        if attempt.answer.is_other_instance:
            self.tools.health.replaced(attempt.endpoint.name)
        self._send_again(ErrorKind.OVERLOADED, "endpoints are busy")

    def try_lost(self, attempt, loss):
        """Try elsewhere if that is allowed."""
        if self.is_over:
            return
        self.note_loss(attempt, loss)
        self.drop(attempt, loss.value, attempt.answer.status if attempt.answer else 0)
        if self._passed_on is attempt:
            self.log_end("cut", attempt, attempt.answer.status)
            self.reply.abort()
            self.close()
        elif attempt.is_promise:
            self._runs -= 1
            self._send_again(ErrorKind.OVERLOADED, "endpoints are busy")
        elif loss is Loss.NOT_CONNECTED:
            self._runs -= 1
            self._send_again(ErrorKind.NO_ENDPOINT, "no endpoint can be reached")
        elif self._is_idempotent:
            self._send_again(ErrorKind.ENDPOINT_LOST, "answer lost")
        else:
            self.refuse(ErrorKind.ENDPOINT_LOST, "answer lost")

    def _deliver(self, attempt):
        answer = attempt.answer
        self.log_end("answered", attempt, answer.status)
        if self._passed_on is attempt:
            self.reply.finish()
        else:
            body = b"".join(attempt.body)
            self.reply.answer(answer.status, answer.headers, body, answer.reason)
        self.close()

    def expire(self, kind):
        """Answer at the end of the time that there was."""
        if self._passed_on is not None:
            self.log_end("cut", self._passed_on, 0)
            self.reply.abort()
            self.close()
        elif self._failure is not None:
            self.cancel_tries()
            self._deliver(self._failure)
        else:
            super().expire(kind)

    def close(self):
        """End the call."""
        if self._hedge is not None and self._hedge.active():
            self._hedge.cancel()
        super().close()
