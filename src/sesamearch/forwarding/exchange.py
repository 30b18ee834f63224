"""What calls and generations have in common: tries, time limits, final answers."""

import abc

import msgspec

from sesamearch.base.errors import ErrorKind, Problem
from sesamearch.base.log import logger
from sesamearch.base.record import (
    RequestEnded,
    RequestRefused,
    TryLost,
    TrySent,
)
from sesamearch.forwarding.request import ForwardListener
from sesamearch.wire.endpoint import Loss
from sesamearch.wire.reply import ReplyListener

__all__ = ["Exchange", "ForwardTools", "Try", "retry_after_s"]

PROBLEM_HEADERS = [(b"Content-Type", b"application/problem+json")]
# Callers come back within a third of the time they have left.
RETRY_LEFT_RATIO = 0.3
RETRY_SHORTEST_S = 0.05


class ForwardTools(msgspec.Struct):
    """What exchanges work with.

    Parameters
    ----------
    client : EndpointClient
    chooser : Chooser
    fleet : Fleet
    loads : LoadBook
    health : HealthBook
    prompts : PromptPlaces
    pace : GenerationPace
    budgets : Budgets
    gate : VersionGate
    returns : ReturnWatch
    clock : twisted.internet.interfaces.IReactorTime
    counters : ForwardCounters
    meter : Meter
    """

    client: object
    chooser: object
    fleet: object
    loads: object
    health: object
    prompts: object
    pace: object
    budgets: object
    gate: object
    returns: object
    clock: object
    counters: object
    meter: object


def retry_after_s(advice_s, left_s):
    """Return when a caller with `left_s` to wait should come back."""
    return max(RETRY_SHORTEST_S, min(advice_s, left_s * RETRY_LEFT_RATIO))


class Try(ForwardListener):
    """One send of a request to one endpoint.

    Parameters
    ----------
    exchange : Exchange
    passage : Passage
    number : int
    work : Work
    """

    __slots__ = (
        "_exchange",
        "answer",
        "body",
        "number",
        "passage",
        "pending_request",
        "sent_s",
        "work",
    )

    def __init__(self, exchange, passage, number, work, sent_s):
        self._exchange = exchange
        self.passage = passage
        self.number = number
        self.work = work
        self.sent_s = sent_s
        self.pending_request = None
        self.answer = None
        self.body = []

    @property
    def endpoint(self):
        """Endpoint : where it was sent."""
        return self.passage.endpoint

    @property
    def is_promise(self):
        """Bool : whether the endpoint states that it did not run the request."""
        answer = self.answer
        return answer is not None and (answer.has_not_run or answer.is_other_instance)

    def answer_began(self, answer):
        """Take the head of the answer."""
        self.answer = answer
        if answer.is_other_instance:
            returns = self._exchange.tools.returns
            returns.answered_as(self.endpoint, answer.instance)
        else:
            self._exchange.tools.returns.alive(self.endpoint.name)
        self._exchange.try_began(self)

    def answer_received(self, data):
        """Take a part of the body."""
        self._exchange.tools.returns.alive(self.endpoint.name)
        self._exchange.try_received(self, data)

    def answer_ended(self):
        """Take note that the answer is whole."""
        self.work.end()
        self._exchange.try_ended(self)

    def answer_lost(self, loss):
        """Take note that no whole answer comes."""
        self.work.end()
        self._exchange.tools.returns.lost(self.endpoint)
        self._exchange.try_lost(self, loss)

    def cancel(self):
        """Close the endpoint's connection, so that it stops working."""
        self.work.end()
        self.pending_request.cancel()


class Exchange(ReplyListener):
    """One caller's request until its final answer.

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
        Called with the exchange when it is over.
    """

    def __init__(
        self, tools, request, route, service, organisation, table, reply, on_end
    ):
        self.tools = tools
        self.request = request
        self.route = route
        self.service = service
        self.organisation = organisation
        self.revision = table.revision
        self.reply = reply
        self.tries = []
        self.tried = 0
        self.is_over = False
        self.excluded = set()
        self._on_end = on_end
        now_s = tools.clock.seconds()
        self.until_s = min(request.deadline_s, request.received_s + route.timeout_s)
        self._timer = tools.clock.callLater(
            max(0.0, self.until_s - now_s), self._timed_out
        )
        reply.listener = self

    # What differs between calls and generations.

    @abc.abstractmethod
    def start(self):
        """Send the first try."""

    @abc.abstractmethod
    def try_began(self, attempt):
        """Take the head of an answer."""

    @abc.abstractmethod
    def try_received(self, attempt, data):
        """Take a part of an answer."""

    @abc.abstractmethod
    def try_ended(self, attempt):
        """Take a whole answer."""

    @abc.abstractmethod
    def try_lost(self, attempt, loss):
        """Take the loss of an answer."""

    # Sending.

    @property
    def now_s(self):
        """Float : this process's clock."""
        return self.tools.clock.seconds()

    def left_s(self):
        """Return the time until the final answer is due."""
        return self.until_s - self.now_s

    def may_repeat(self):
        """Take one repeated send from the service's budget, if there is one."""
        return self.tools.budgets.take(self.service.name)

    def send(self, passage, work):
        """Send one try."""
        self.tried += 1
        attempt = Try(self, passage, self.tried, work, self.now_s)
        self.tries.append(attempt)
        load = self.tools.loads.total(passage.endpoint.name)
        logger.info(
            TrySent(
                self.request.request_id,
                passage.endpoint.name,
                self.tried,
                load.running,
                load.unread_tokens,
                self.tools.loads.news_age_ms(),
                self.revision,
                passage.backup_address,
                passage.copy.holder_address if passage.copy else "",
                passage.after_event,
            )
        )
        self.tools.counters.tries += 1
        self.tools.gate.sent(passage.endpoint)
        attempt.pending_request = self.tools.client.forward(
            self.request, passage, attempt
        )
        return attempt

    def drop(self, attempt, cause, status=0):
        """Note that a try brought nothing."""
        if attempt in self.tries:
            self.tries.remove(attempt)
        self.tools.counters.tries_lost += 1
        self.tools.meter.try_ended(self.service.name, cause)
        after_ms = round((self.now_s - attempt.sent_s) * 1000)
        logger.info(
            TryLost(
                self.request.request_id,
                attempt.endpoint.name,
                attempt.number,
                cause,
                status,
                after_ms,
            )
        )

    def note_loss(self, attempt, loss):
        """Let the endpoint's health know of a lost answer."""
        name = attempt.endpoint.name
        if loss is Loss.NOT_CONNECTED:
            self.tools.health.unreachable(name)
        else:
            self.tools.health.failed(name)
            self.note_answer(attempt, True)

    def note_answer(self, attempt, is_failure):
        """Let a rollout know how a try went."""
        took_s = self.now_s - attempt.sent_s
        self.tools.gate.answered(attempt.endpoint, self.route.name, is_failure, took_s)

    def cancel_tries(self):
        """Stop everything that still runs for this request."""
        tries, self.tries = self.tries, []
        for attempt in tries:
            attempt.cancel()

    # Final answers.

    def close(self):
        """End the exchange."""
        if self.is_over:
            return
        self.is_over = True
        if self._timer.active():
            self._timer.cancel()
        self.cancel_tries()
        self._on_end(self)

    def took_ms(self):
        """Return the time since the request came, in ms."""
        return round((self.now_s - self.request.received_s) * 1000)

    def refuse(self, kind, detail="", advice_s=None):
        """Answer with an error of this router's own."""
        if self.is_over:
            return
        problem = Problem(kind, detail)
        come_back_s = problem.come_back_s if advice_s is None else advice_s
        headers = list(PROBLEM_HEADERS)
        if come_back_s is not None:
            come_back_s = retry_after_s(come_back_s, self.left_s())
            headers.append((b"Retry-After", b"%.3f" % come_back_s))
        problem = Problem(kind, detail, come_back_s)
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
                self.tried,
                self.took_ms(),
                self.revision,
            )
        )
        self.reply.answer(status, headers, problem.to_json())
        self.close()

    def log_end(self, outcome, attempt, status, first_ms=0, events=0):
        """Log and measure how the request ended."""
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
                self.tried,
                self.took_ms(),
                first_ms,
                events,
            )
        )

    def caller_left(self):
        """Stop working for a caller who is gone."""
        self.tools.counters.callers_left += 1
        self.log_end("caller_left", None, 0)
        self.close()

    def note_silence(self, attempts):
        """Count endpoints that gave no answer while others did, or in all the time."""
        for attempt in attempts:
            self.tools.health.failed(attempt.endpoint.name)
            self.note_answer(attempt, False)

    def _timed_out(self):
        if self.is_over:
            return
        self.note_silence(self.tries)
        kind = ErrorKind.TIMED_OUT if self.tried else ErrorKind.NO_ENDPOINT
        self.expire(kind)

    def expire(self, kind):
        """Answer at the end of the time that there was."""
        self.refuse(kind, "no answer in time")
