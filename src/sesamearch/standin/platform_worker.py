"""Stand-ins for the platform's workers: plain services and model engines."""

import msgspec
from twisted.internet.interfaces import IPushProducer
from zope.interface import implementer

from sesamearch.wire.head import first_value
from sesamearch.wire.reply import ReplyListener

__all__ = [
    "PlatformEngineStandin",
    "PlatformServiceStandin",
    "WorkerArrival",
    "WorkerRun",
]

MS_PER_S = 1000.0
PREFILL_TOKENS_PER_S = 8000.0
EVENT_INTERVAL_S = 0.03
DEFAULT_EVENTS = 20
# Body without end: so many pieces of a byte, once in each interval.
ENDLESS_PIECES = 200
ENDLESS_INTERVAL_S = 0.01
LARGE_PIECE_BYTES = 64 << 10
# A request that ends its worker does so this long after the worker began to run it.
FATAL_DELAY_S = 0.05
OK = 200


class WorkerRun(msgspec.Struct):
    """One request that a worker started to process.

    Parameters
    ----------
    request_id, path : str
        Value of the header ``x-attempt-id``, and path of the request.
    organisation : str
        Value of the header ``x-tenant``.
    body : bytes
    after_event : int or None
        Event after which the response resumes.
    began_s : float
        Time at which the worker started to process the request.
    prompt_tokens : int
        Number of prompt tokens to prefill.
    ended : str
        How processing ended: ``whole`` (completed), ``left`` (stopped because the
        caller disconnected) or ``crashed`` (the worker crashed); empty while the
        request is processed.
    number : int
        Number of the request at this worker, from one.
    """

    request_id: str
    path: str
    organisation: str
    body: bytes
    after_event: int | None
    began_s: float
    prompt_tokens: int = 0
    ended: str = ""
    number: int = 0


class WorkerArrival(msgspec.Struct, frozen=True):
    """A request of any kind that reached a worker, whether it ran or not."""

    at_s: float
    path: str
    parts: list[str] = []
    body: bytes = b""


def _parts(head):
    """Return the names of the parts of the prompt that a request states."""
    prompt = _text(head, b"x-prompt-prefix")
    return [each.partition(":")[0] for each in prompt.split(",") if each]


def _text(head, name):
    value = first_value(head.headers, name)
    return "" if value is None else value.decode()


class PlatformServiceStandin:
    """A plain service that refuses requests when all slots are in use.

    Parameters
    ----------
    clock : twisted.internet.interfaces.IReactorTime
    name : str
        Instance id.
    slots : int
        Maximum number of requests processed at once.
    work_s : float
        Time to process a request.

    Attributes
    ----------
    runs : list of WorkerRun
        All requests that it started to process.
    running : int
        Number of requests in progress.
    status : int
        Status code of its responses.
    answer_bytes : dict from str to int
        Size of the answer to requests for a path, whose slot stays in use until all of
        it is taken; others are short.
    arrivals : list of WorkerArrival
        All requests that reached it, in order.
    is_leaving : bool
        Whether all its answers say that it leaves.
    retry_after : str
        ``Retry-After`` of its 503 answers; empty for none.
    limit : str
        ``Server-Limit`` of its answers; empty for none.
    brittle : str
        ``Server-Brittle`` of its answers; empty for none.
    room : int or None
        Requests that it lets in at a time; None for as many as it has slots.
    turned_away_s : list of float
        Times at which it turned requests away for want of room.
    fault : str
        ``mute`` (no response), ``reset`` (reset instead of a response), ``truncate``
        (reset in the middle of the response) or ``endless`` (a body without end, in
        pieces of a byte); empty for none.
    fatal_bodies : frozenset of bytes
        Bodies of requests under which the worker ends soon after it began to run them.
    on_end : callable
        Called with the worker when a request ends it; crashes it.
    """

    def __init__(self, clock, name, slots=6, work_s=0.02):
        self.clock = clock
        self.name = name
        self.slots = slots
        self.work_s = work_s
        self.runs = []
        self.running = 0
        self.status = OK
        self.answer_bytes = {}
        self.fault = ""
        self.is_healthy = True
        self.arrivals = []
        self.is_leaving = False
        self.retry_after = ""
        self.limit = ""
        self.brittle = ""
        self.room = None
        self.turned_away_s = []
        self.fatal_bodies = frozenset()
        self.on_end = PlatformServiceStandin.crash
        self.processors = []

    def __call__(self, head, body, reply):
        """Record the arrival of a request, and handle it."""
        path = head.target.decode()
        arrival = WorkerArrival(self.clock.seconds(), path, _parts(head), body)
        self.arrivals.append(arrival)
        self.handle(head, body, reply)

    def handle(self, head, body, reply):
        """Handle a request."""
        if head.target == b"/healthz":
            status = 503 if self.is_leaving else 200
            own_name = (b"X-Instance-Id", self.name.encode())
            reply.answer(status, [own_name, *self.notices(status)], b"")
            return
        expected_name = _text(head, b"x-target-instance")
        headers = [(b"X-Attempt-Id", _text(head, b"x-attempt-id").encode())]
        if expected_name and expected_name != self.name:
            headers.append((b"X-Instance-Id", self.name.encode()))
            reply.answer(421, [*headers, *self.notices(421)], b"")
        elif self.running >= (self.slots if self.room is None else self.room):
            self.turned_away_s.append(self.clock.seconds())
            self.refuse(reply, headers)
        else:
            self._begin(head, body, reply, headers)

    def refuse(self, reply, headers):
        """Answer 503 and state that the request was not run."""
        not_run = (b"X-Not-Executed", b"1")
        reply.answer(503, [*headers, not_run, *self.notices(503)], b"")

    def notices(self, status):
        """Return the headers about this worker in an answer with the given status."""
        headers = []
        if self.is_leaving:
            headers.append((b"Server-Leaving", b"1"))
        if self.limit:
            headers.append((b"Server-Limit", self.limit.encode()))
        if self.brittle:
            headers.append((b"Server-Brittle", self.brittle.encode()))
        if self.retry_after and status == 503:
            headers.append((b"Retry-After", self.retry_after.encode()))
        return headers

    def _begin(self, head, body, reply, headers):
        after = _text(head, b"last-event-id")
        run = WorkerRun(
            _text(head, b"x-attempt-id"),
            head.target.decode(),
            _text(head, b"x-tenant"),
            body,
            int(after) if after else None,
            self.clock.seconds(),
        )
        self.runs.append(run)
        run.number = len(self.runs)
        self.running += 1
        signature = f"sig.{self.name}.{run.request_id}".encode()
        processor = self.make_processor(
            run, head, reply, [*headers, (b"X-Response-Signature", signature)]
        )
        self.processors = [each for each in self.processors if not each.is_over]
        self.processors.append(processor)
        reply.listener = processor
        if body in self.fatal_bodies:
            self.clock.callLater(FATAL_DELAY_S, self.on_end, self)
        processor.start()

    def make_processor(self, run, head, reply, headers):
        """Return the object that processes a request."""
        return _CallProcessor(self, run, reply, headers)

    def ended(self, run, outcome):
        """Record how the processing of a request ended, and free its slot."""
        if not run.ended:
            run.ended = outcome
            self.running -= 1

    def crash(self):
        """End all requests in progress and reset their connections."""
        processors, self.processors = self.processors, []
        for processor in processors:
            processor.crash()

    @property
    def served(self):
        """List of str : ids of the requests that were started."""
        return [run.request_id for run in self.runs]


class _CallProcessor(ReplyListener):
    """Processes a request to a plain service."""

    def __init__(self, worker, run, reply, headers):
        self._worker = worker
        self._run = run
        self._reply = reply
        self._headers = headers

    @property
    def is_over(self):
        """Bool : whether the request ended."""
        return bool(self._run.ended)

    def start(self):
        """Start to process the request."""
        self._worker.clock.callLater(self._worker.work_s, self._finish)

    def crash(self):
        """Stop and reset the connection."""
        if not self._run.ended:
            self._worker.ended(self._run, "crashed")
            self._reply.abort()

    def _finish(self):
        worker = self._worker
        if self._run.ended or self._run.body in worker.fatal_bodies:
            return
        headers = [*self._headers, *worker.notices(worker.status)]
        if self._run.path in worker.answer_bytes:
            self._reply.start(worker.status, headers)
            _LargeAnswer(worker, self._run, self._reply)
            return
        worker.ended(self._run, "whole")
        body = f"answer of {worker.name} to {self._run.request_id}".encode()
        if worker.fault == "mute":
            return
        if worker.fault == "reset":
            self._reply.abort()
            return
        if worker.fault == "truncate":
            self._reply.start(worker.status, headers)
            self._reply.write(body[:5])
            self._reply.abort()
            return
        if worker.fault == "endless":
            self._reply.start(worker.status, headers)
            self._write_without_end()
            return
        self._reply.answer(worker.status, headers, body)

    def _write_without_end(self):
        for _ in range(ENDLESS_PIECES):
            self._reply.write(b"x")
        if self._reply.is_open:
            self._worker.clock.callLater(ENDLESS_INTERVAL_S, self._write_without_end)

    def caller_left(self):
        """Stop, because the caller closed its connection."""
        self._worker.ended(self._run, "left")


@implementer(IPushProducer)
class _LargeAnswer:
    """Writes a large answer as it is taken, and ends the request with it."""

    def __init__(self, worker, run, reply):
        self._worker = worker
        self._run = run
        self._reply = reply
        self._unsent_bytes = worker.answer_bytes[run.path]
        self._is_paused = False
        reply.set_producer(self)
        self.resumeProducing()

    def pauseProducing(self):
        self._is_paused = True

    def resumeProducing(self):
        self._is_paused = False
        while self._unsent_bytes and not self._is_paused and self._reply.is_open:
            size_bytes = min(self._unsent_bytes, LARGE_PIECE_BYTES)
            self._unsent_bytes -= size_bytes
            self._reply.write(b"." * size_bytes)
        if not self._unsent_bytes and self._reply.is_open:
            self._worker.ended(self._run, "whole")
            self._reply.finish()

    def stopProducing(self):
        """Stop; the processor of the request is notified as well."""


class PlatformEngineStandin(PlatformServiceStandin):
    """A model engine, which streams events and can resume a stream after an event.

    Parameters
    ----------
    clock, name, slots
        The same as for :class:`PlatformServiceStandin`.
    events : int
        Number of events of each generation.

    Attributes
    ----------
    event_interval_s : float
        Time between two events of a generation.
    prefill_tokens_per_s : float
        Prompt tokens that are read in a second.
    copies : dict from str to int
        Number of tokens in each KV cache copy that other engines sent, by the handle
        of the copy.
    neighbours : dict from str to PlatformEngineStandin
        Other engines by address, to which copies are sent.
    is_unresponsive : bool
        Whether it sends nothing, while its connections stay open.
    frozen_until_s : float
        Time until which it makes no event; afterwards it goes on where it was.
    fatal_parts : frozenset of str
        Parts of prompts under which the engine ends as it begins to write.
    ends_after_head : bool
        Whether it has sent the head of the answer by then.
    """

    def __init__(self, clock, name, slots=12, events=DEFAULT_EVENTS):
        super().__init__(clock, name, slots)
        self.events = events
        self.event_interval_s = EVENT_INTERVAL_S
        self.prefill_tokens_per_s = PREFILL_TOKENS_PER_S
        self.copies = {}
        self.neighbours = {}
        self.is_unresponsive = False
        self.frozen_until_s = 0.0
        self.fatal_parts = frozenset()
        self.ends_after_head = True
        self.on_end = PlatformEngineStandin.crash

    def handle(self, head, body, reply):
        """Handle a request."""
        if self.is_unresponsive:
            return
        if head.target == b"/sesamearch/report":
            reply.answer(200, self.notices(200), b'{"active": %d}' % self.running)
            return
        if head.target == b"/sesamearch/kv-move":
            self._copy(msgspec.json.decode(body), reply)
            return
        if head.method == b"DELETE":
            handle = head.target.rpartition(b"/")[2].decode()
            for engine in self.neighbours.values():
                engine.copies.pop(handle, None)
            reply.answer(200, self.notices(200), b"{}")
            return
        source = _text(head, b"kv-from")
        if source and source.rpartition("/")[2] not in self.copies:
            request_id = _text(head, b"x-attempt-id").encode()
            self.refuse(reply, [(b"X-Attempt-Id", request_id)])
            return
        super().handle(head, body, reply)

    def _copy(self, content, reply):
        """Copy the KV cache of a request to another engine."""
        matching = [p for p in self.processors if p.request_id == content["id"]]
        target = self.neighbours.get(content["target"])
        if not matching or matching[-1].is_over:
            reply.answer(404, self.notices(404), b"{}")
        elif target is None or target.is_unresponsive:
            reply.answer(503, self.notices(503), b"{}")
        else:
            handle = f"h-{content['id']}"
            target.copies[handle] = matching[-1].memory_tokens
            answer = {"handle": handle, "created": matching[-1].event_count}
            reply.answer(200, self.notices(200), msgspec.json.encode(answer))

    def make_processor(self, run, head, reply, headers):
        """Return the object that processes a generation."""
        tokens = int(_text(head, b"x-token-usage").partition(",")[0] or 0)
        source = _text(head, b"kv-from")
        if source:
            del self.copies[source.rpartition("/")[2]]
            tokens = 0
        run.prompt_tokens = tokens
        is_fatal = not self.fatal_parts.isdisjoint(_parts(head))
        return _GenerationProcessor(self, run, reply, headers, is_fatal)

    def crash(self):
        """Reset all connections and discard all copies."""
        super().crash()
        self.copies = {}


class _GenerationProcessor(ReplyListener):
    """Processes a generation."""

    def __init__(self, engine, run, reply, headers, is_fatal):
        self._engine = engine
        self._run = run
        self._reply = reply
        self._is_fatal = is_fatal
        self._headers = [*headers, (b"Content-Type", b"text/event-stream")]
        self._next_event = 0 if run.after_event is None else run.after_event + 1
        self._timer = None

    @property
    def request_id(self):
        """Str : request id."""
        return self._run.request_id

    @property
    def is_over(self):
        """Bool : whether the generation ended."""
        return bool(self._run.ended)

    @property
    def event_count(self):
        """Int : number of events so far, including those that earlier engines sent."""
        return self._next_event

    @property
    def memory_tokens(self):
        """Int : number of tokens in the KV cache."""
        return self._run.prompt_tokens + self._next_event

    def start(self):
        """Prefill the prompt, then stream the events."""
        delay_s = self._run.prompt_tokens / self._engine.prefill_tokens_per_s
        self._call_later(delay_s + EVENT_INTERVAL_S, self._begin_response)

    def _call_later(self, delay_s, step):
        self._timer = self._engine.clock.callLater(delay_s, self._take_step, step)

    def _take_step(self, step):
        """Take a step of the generation, unless the engine is frozen."""
        frozen_s = self._engine.frozen_until_s - self._engine.clock.seconds()
        if frozen_s > 0:
            self._call_later(frozen_s, step)
        else:
            step()

    def _begin_response(self):
        engine = self._engine
        if engine.fault == "reset":
            self.crash()
            return
        if engine.status != OK:
            engine.ended(self._run, "whole")
            self._reply.answer(engine.status, self._headers, b"")
            return
        if self._is_fatal and not engine.ends_after_head:
            engine.on_end(engine)
            return
        if not engine.is_unresponsive:
            self._reply.start(OK, [*self._headers, *engine.notices(OK)])
        if self._is_fatal:
            self._call_later(EVENT_INTERVAL_S, lambda: engine.on_end(engine))
        else:
            self._send_event()

    def _send_event(self):
        engine = self._engine
        if self._next_event >= engine.events:
            engine.ended(self._run, "whole")
            if not engine.is_unresponsive:
                self._reply.finish()
            return
        if not engine.is_unresponsive:
            self._reply.write(
                b"id: %d\ndata: piece %d\n\n" % (self._next_event, self._next_event)
            )
        self._next_event += 1
        self._call_later(engine.event_interval_s, self._send_event)

    def _stop(self, outcome):
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._engine.ended(self._run, outcome)

    def caller_left(self):
        """Stop, because the caller closed its connection."""
        self._stop("left")

    def crash(self):
        """Stop and reset the connection."""
        if not self._run.ended:
            self._stop("crashed")
            self._reply.abort()
