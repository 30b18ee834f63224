"""One try of a request: its endpoint, its answer so far and its end."""

from sesamearch.forwarding.gate import NO_OBSERVER
from sesamearch.forwarding.permits import NO_CLAIM
from sesamearch.forwarding.request import ForwardListener
from sesamearch.wire.endpoint import Loss

__all__ = ["PeerTry", "Try"]

# Largest body that is buffered for one answer.
MAX_BUFFERED_BODY_BYTES = 64 << 10
# An endpoint that fails sooner refused the connection, so its VM can be reached.
MIN_SILENCE_S = 0.25


class Try(ForwardListener):
    """One try: a request sent to one endpoint.

    Parameters
    ----------
    exchange : Exchange
    options : ForwardOptions
    number : int
        Number of the try within its request, from 1.
    work : Work
    observer : TryObserver
    sent_s : float

    Attributes
    ----------
    events : EventSplitter or None
        Splits the answer of a generation into events.
    event_count : int
        Number of events that arrived.
    answered_s, first_event_s : float or None
        Times at which the head of the answer and its first event arrived.
    permit : PendingPermit
        Permit for which the request was sent.
    is_by_peer : bool
        Whether the request was sent to another router in place of an endpoint.
    """

    is_by_peer = False

    __slots__ = (
        "_body",
        "_exchange",
        "answer",
        "answered_s",
        "event_count",
        "events",
        "first_event_s",
        "number",
        "observer",
        "options",
        "pending_request",
        "permit",
        "sent_s",
        "work",
    )

    def __init__(self, exchange, options, number, work, observer, sent_s):
        self._exchange = exchange
        self.options = options
        self.number = number
        self.work = work
        self.observer = observer
        self.sent_s = sent_s
        self.pending_request = None
        self.permit = NO_CLAIM
        self.answer = None
        self.answered_s = None
        self.first_event_s = None
        self.events = None
        self.event_count = 0
        self._body = bytearray()

    @property
    def endpoint(self):
        """Endpoint : the endpoint that the request was sent to."""
        return self.options.endpoint

    @property
    def is_sent(self):
        """Bool : whether the request was written, so that the endpoint may get it."""
        return self.pending_request is not None and self.pending_request.is_sent

    @property
    def is_paused(self):
        """Bool : whether this router does not read, because the caller is slow."""
        producer = self.pending_request.producer if self.pending_request else None
        return producer is not None and producer.is_paused

    @property
    def state(self):
        """Str : ``connecting``, ``sent`` or ``answering``."""
        if self.answer is not None:
            return "answering"
        return "sent" if self.is_sent else "connecting"

    @property
    def has_not_run(self):
        """Bool : whether the endpoint states that it did not run the request."""
        answer = self.answer
        return answer is not None and (answer.has_not_run or answer.is_other_instance)

    def buffer(self, data):
        """Keep a part of the body; return whether the whole is still small enough."""
        self._body += data
        return len(self._body) <= MAX_BUFFERED_BODY_BYTES

    @property
    def body(self):
        """Bytes : the buffered part of the body."""
        return bytes(self._body)

    def take_body(self):
        """Return the buffered part of the body, and forget it."""
        body, self._body = bytes(self._body), bytearray()
        return body

    @property
    def held_bytes(self):
        """Int : memory held for the answer and for sending the request."""
        held_bytes = len(self._body)
        if self.events is not None:
            held_bytes += self.events.size_bytes
        if self.pending_request is not None:
            held_bytes += self.pending_request.held_bytes
        return held_bytes

    def answer_began(self, answer):
        """Handle the head of the answer."""
        self.answer = answer
        self.answered_s = self._exchange.now_s
        self._report_head(answer)
        self._exchange.try_began(self)

    def _report_head(self, answer):
        tools = self._exchange.tools
        tools.outages.note_alive(self.endpoint)
        tools.paths.note_heard(self.endpoint)
        if self.pending_request is not None and self.pending_request.is_first:
            tools.paths.note_connected(self.endpoint)
        if answer.is_other_instance:
            tools.restarts.note_new_name(self.endpoint, answer.instance)
        elif answer.instance in ("", self.endpoint.name):
            tools.restarts.note_answer(self.endpoint, self.sent_s)

    def answer_received(self, data):
        """Handle a part of the body."""
        self._report_part()
        self._exchange.try_received(self, data)

    def _report_part(self):
        tools = self._exchange.tools
        tools.restarts.note_data(self.endpoint)
        tools.outages.note_alive(self.endpoint)
        tools.paths.note_heard(self.endpoint)
        if not self.answer.is_other_instance:
            tools.quarantine.note_alive(self.endpoint, self.sent_s)

    def answer_ended(self):
        """Handle the end of a complete answer."""
        self._end_work()
        self._exchange.try_ended(self)
        self.observer.ended()

    def answer_lost(self, loss):
        """Handle the loss of the answer."""
        self._end_work()
        self.observer.ended()
        if not self.is_by_peer:
            self._exchange.tools.restarts.note_lost(self.endpoint)
        self._exchange.try_lost(self, loss)

    def _end_work(self):
        """Record that the endpoint does not work on the request any more."""
        self.work.end()
        permit, self.permit = self.permit, NO_CLAIM
        answer = self.answer
        was_turned_away = answer is not None and answer.has_not_run
        permit.note_ended(was_turned_away)

    def probe(self, timeout_s):
        """Return a Deferred of whether the endpoint answers a probe."""
        return self._exchange.tools.client.probe(self.endpoint, timeout_s)

    # What it tells of its endpoint.

    def report_answer(self, is_failure):
        """Report a whole answer, or that of a generation that failed."""
        self._exchange.tools.health.note_answer(self.endpoint.name, is_failure)

    def report_loss(self, loss):
        """Report a lost answer.

        A failed connection is not reported to the observer: no version got the request.
        """
        tools, endpoint = self._exchange.tools, self.endpoint
        tools.paths.note_failed(endpoint)
        tools.held_prompts.forget(endpoint.name)
        if loss is Loss.NOT_CONNECTED:
            tools.health.note_unreachable(endpoint.name)
            if self._exchange.now_s - self.sent_s >= MIN_SILENCE_S:
                tools.outages.note_unreachable(endpoint)
        else:
            tools.health.note_failure(endpoint.name)
            tools.paths.settle(endpoint.service, self.observer.lost)

    def report_silence(self):
        """Report that no answer came in the time that the try was given."""
        tools = self._exchange.tools
        tools.health.note_failure(self.endpoint.name)
        is_long = self._exchange.now_s - self.sent_s >= MIN_SILENCE_S
        if self.answer is None and is_long:
            tools.outages.note_unreachable(self.endpoint)
            tools.paths.note_failed(self.endpoint)
        if self.is_sent:
            self.observer.unanswered()

    def note_silent(self):
        """Note that nothing has come yet, which may be for want of a path."""
        if self.answer is None and not self.is_by_peer:
            self._exchange.tools.paths.note_silent(self.endpoint)

    def report_unreachable(self):
        """Report that the endpoint of a generation fell silent."""
        tools, endpoint = self._exchange.tools, self.endpoint
        tools.restarts.note_lost(endpoint)
        tools.health.note_unreachable(endpoint.name)
        tools.outages.note_unreachable(endpoint)
        tools.paths.note_failed(endpoint)

    def cancel(self):
        """Close the connection to the endpoint, so that it stops working."""
        self._end_work()
        self.observer.ended()
        if self.pending_request is not None:
            self.pending_request.cancel()


class PeerTry(Try):
    """One try by way of another router, which tells of the endpoints itself.

    Parameters
    ----------
    exchange : Exchange
    options : ForwardOptions
        The endpoint is a :class:`ProxyPeer`.
    number : int
    work : object with ``is_read``, ``prompt_was_read()`` and ``end()``
    sent_s : float
    """

    __slots__ = ()

    is_by_peer = True

    def __init__(self, exchange, options, number, work, sent_s):
        super().__init__(exchange, options, number, work, NO_OBSERVER, sent_s)

    def _report_head(self, answer):
        """Report nothing."""

    def _report_part(self):
        """Report nothing."""

    def probe(self, timeout_s):
        """Return a Deferred of whether the router answers a probe."""
        return self._exchange.tools.proxy.probe(self.endpoint, timeout_s)

    def report_answer(self, is_failure):
        """Report nothing."""

    def report_loss(self, loss):
        """Leave out the router for a while."""
        self._exchange.tools.proxy.note_failed(self.endpoint)

    def report_silence(self):
        """Report nothing: the endpoint may be the slow one."""

    def report_unreachable(self):
        """Leave out the router for a while."""
        self._exchange.tools.proxy.note_failed(self.endpoint)
