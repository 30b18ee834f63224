"""One try of a request: its endpoint, its answer so far and its end."""

from sesamearch.forwarding.request import ForwardListener

__all__ = ["Try"]

# Largest body that is buffered for one answer.
MAX_BUFFERED_BODY_BYTES = 64 << 10


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
    """

    __slots__ = (
        "_body",
        "_exchange",
        "answer",
        "answered_s",
        "buffered_bytes",
        "event_count",
        "events",
        "first_event_s",
        "number",
        "observer",
        "options",
        "pending_request",
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
        self.answer = None
        self.answered_s = None
        self.first_event_s = None
        self.events = None
        self.event_count = 0
        self.buffered_bytes = 0
        self._body = []

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
        self._body.append(data)
        self.buffered_bytes += len(data)
        return self.buffered_bytes <= MAX_BUFFERED_BODY_BYTES

    @property
    def body(self):
        """Bytes : the buffered part of the body."""
        return b"".join(self._body)

    def answer_began(self, answer):
        """Handle the head of the answer."""
        self.answer = answer
        self.answered_s = self._exchange.now_s
        self._exchange.tools.outages.note_alive(self.endpoint)
        if answer.is_other_instance:
            restarts = self._exchange.tools.restarts
            restarts.note_new_name(self.endpoint, answer.instance)
        else:
            self._exchange.tools.restarts.note_alive(self.endpoint.name)
        self._exchange.try_began(self)

    def answer_received(self, data):
        """Handle a part of the body."""
        self._exchange.tools.restarts.note_alive(self.endpoint.name)
        self._exchange.tools.outages.note_alive(self.endpoint)
        if not self.answer.is_other_instance:
            self._exchange.tools.quarantine.note_alive(self.endpoint, self.sent_s)
        self._exchange.try_received(self, data)

    def answer_ended(self):
        """Handle the end of a complete answer."""
        self.work.end()
        self._exchange.try_ended(self)
        self.observer.ended()

    def answer_lost(self, loss):
        """Handle the loss of the answer."""
        self.work.end()
        self.observer.ended()
        self._exchange.tools.restarts.note_lost(self.endpoint)
        self._exchange.try_lost(self, loss)

    def cancel(self):
        """Close the connection to the endpoint, so that it stops working."""
        self.work.end()
        self.observer.ended()
        if self.pending_request is not None:
            self.pending_request.cancel()
