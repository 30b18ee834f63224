"""Fake engines and plain services that run on a virtual clock."""

import msgspec
from result import Err, Ok
from twisted.internet.defer import Deferred

from sesamearch.generation.engine import (
    EngineClient,
    EngineStream,
    StreamEnd,
    StreamEvent,
)
from sesamearch.operation.plain import CallFailure, PlainClient, PlainReply
from sesamearch.standin.engine import expected_token, prompt_digest

__all__ = ["FakeEngine", "FakeEngineClient", "FakePlainClient", "FakeService"]

# An attempt without a connection stops after this time.
DETACH_GRACE_S = 30.0
CONNECT_TIMEOUT_S = 1.0


class _FakeRun:
    """One attempt that an engine works on."""

    def __init__(self, engine_request, digest, first_index):
        self.engine_request = engine_request
        self.digest = digest
        self.next_index = first_index
        self.first_index = first_index
        self.stream = None
        self.is_stopped = False

    @property
    def is_finished(self):
        """Bool : whether all tokens were generated."""
        return self.next_index >= self.engine_request.max_tokens


class FakeEngine:
    """Generates the same tokens as the stand-in engine.

    Parameters
    ----------
    process : Process
    links : Links
    version : str
    token_interval_s, prefill_s : float
        Time between the tokens of a stream, and time to its first token.
    on_start : callable
        Called with the version and the :class:`EngineRequest` of each attempt that
        starts.
    fails : callable
        Called for each attempt; returns whether it fails.
    """

    def __init__(
        self, process, links, version, token_interval_s, prefill_s, on_start, fails
    ):
        self.process = process
        self._links = links
        self.version = version
        self.token_interval_s = token_interval_s
        self.prefill_s = prefill_s
        self._on_start = on_start
        self._fails = fails
        self.is_refusing = False
        self.runs = {}
        self.start_times_s = []
        self.generated_tokens = 0
        self.prefilled_tokens = 0

    def start(self, engine_request, stream):
        """Start an attempt."""
        if self.is_refusing:
            self._send(stream, stream.end, StreamEnd.REFUSED)
            return
        messages = msgspec.json.decode(engine_request.parameters["messages"])
        run = _FakeRun(
            engine_request, prompt_digest(messages), engine_request.prefix_tokens
        )
        run.stream = stream
        self.runs[engine_request.stream_id] = run
        self.start_times_s.append(self.process.seconds())
        self._on_start(self.version, engine_request)
        if self._fails():
            run.is_stopped = True
            self._send(stream, stream.end, StreamEnd.LOST)
            return
        self.prefilled_tokens += engine_request.prefix_tokens
        self.process.callLater(self.prefill_s, self._step, run)

    def _send(self, stream, function, *arguments):
        self._links.send(self.process, stream.router, function, *arguments)

    def _step(self, run):
        if run.is_stopped:
            return
        if run.is_finished:
            self._emit_from(run, run.next_index)
            return
        self.generated_tokens += 1
        run.next_index += 1
        self._emit_from(run, run.next_index - 1)
        self.process.callLater(self.token_interval_s, self._step, run)

    def _emit_from(self, run, index):
        """Send the tokens of a run from `index` on, and its end if it has finished."""
        stream = run.stream
        if stream is None:
            return
        for number in range(index, run.next_index):
            text = expected_token(
                self.version, run.engine_request.seed, run.digest, number
            )
            event = StreamEvent(number, 1, text, self.version)
            self._send(stream, stream.receive, event)
        if run.is_finished:
            event = StreamEvent(run.next_index, 0, "", self.version, "length")
            self._send(stream, stream.receive, event)

    def attach(self, stream_id, index, stream):
        """Re-attach a stream to an attempt; it replaces an earlier connection."""
        run = self.runs.get(stream_id)
        if run is None or run.is_stopped or index < run.first_index:
            self._send(stream, stream.end, StreamEnd.GONE)
            return
        run.stream = stream
        self._emit_from(run, index)

    def detach(self, stream):
        """Disconnect an attempt, which stops unless it is re-attached in time."""
        for run in self.runs.values():
            if run.stream is stream:
                run.stream = None
                self.process.callLater(DETACH_GRACE_S, self._stop_detached, run)

    def _stop_detached(self, run):
        if run.stream is None:
            run.is_stopped = True

    def cancel(self, stream_id):
        """Stop an attempt."""
        run = self.runs.pop(stream_id, None)
        if run is not None:
            run.is_stopped = True

    def reset_connections(self):
        """Reset the connections of all routers, as when the process dies."""
        for run in self.runs.values():
            if run.stream is not None:
                self._send(run.stream, run.stream.end, StreamEnd.LOST)


class _FakeStream(EngineStream):
    """The router's end of the connection to an attempt."""

    def __init__(self, router, engine, links, receiver):
        self.router = router
        self._engine = engine
        self._links = links
        self._receiver = receiver
        self._is_paused = False
        self._buffered = []

    def receive(self, event):
        if self._is_paused:
            self._buffered.append(event)
        elif self._receiver is not None:
            self._receiver.events([event])

    def end(self, reason):
        receiver, self._receiver = self._receiver, None
        if receiver is not None:
            receiver.ended(reason, reason.value)

    def pause(self):
        self._is_paused = True

    def resume(self):
        self._is_paused = False
        buffered, self._buffered = self._buffered, []
        for event in buffered:
            self.receive(event)

    def detach(self):
        self._receiver = None
        engine = self._engine
        self._links.send(self.router, engine.process, engine.detach, self)


class FakeEngineClient(EngineClient):
    """Connects one router to the engines over simulated links.

    Parameters
    ----------
    router : Process
    links : Links
    engines : dict from str to FakeEngine
    """

    def __init__(self, router, links, engines):
        self._router = router
        self._links = links
        self._engines = engines

    def open(self, endpoint, engine_request, receiver):
        """Start an attempt."""
        engine = self._engines[endpoint.name]
        return self._connect(engine, receiver, engine.start, engine_request)

    def attach(self, endpoint, stream_id, index, receiver):
        """Re-attach to a running attempt, from token `index` on."""
        engine = self._engines[endpoint.name]
        return self._connect(engine, receiver, engine.attach, stream_id, index)

    def _connect(self, engine, receiver, function, *arguments):
        stream = _FakeStream(self._router, engine, self._links, receiver)
        process = engine.process
        if not process.is_alive:
            delay_s = CONNECT_TIMEOUT_S if process.is_silent else 0
            self._router.callLater(delay_s, stream.end, StreamEnd.LOST)
        else:
            self._links.send(self._router, process, function, *arguments, stream)
        return stream

    def cancel(self, endpoint, stream_id):
        """Ask the engine to stop an attempt."""
        engine = self._engines[endpoint.name]
        self._links.send(self._router, engine.process, engine.cancel, stream_id)


class FakeService:
    """Runs calls and records the idempotency keys that ran.

    Parameters
    ----------
    process : Process
    version : str
    work_s : float
        Time between running a call and answering it.
    fails : callable
        Called for each call; returns whether the answer is an error.
    """

    def __init__(self, process, version, work_s, fails):
        self.fails = fails
        self.process = process
        self.version = version
        self.work_s = work_s
        self.is_refusing = False
        self.lost_answers = 0
        self.runs = []
        self.start_times_s = []


class FakePlainClient(PlainClient):
    """Connects one router to the plain services over simulated links."""

    def __init__(self, router, links, services):
        self._router = router
        self._links = links
        self._services = services

    def call(self, endpoint, request, timeout_s):
        """Send a call once."""
        service = self._services[endpoint.name]
        done = Deferred()
        pending = _FirstOutcome(done)
        if not service.process.is_alive:
            failure = (
                CallFailure.LOST if service.process.is_silent else CallFailure.NOT_SENT
            )
            self._router.callLater(0, pending.settle, Err(failure))
            return done
        pending.timer = self._router.callLater(timeout_s, pending.settle, _LOST)
        service.process.on_reset.append(
            lambda: self._respond(service, pending, Err(CallFailure.LOST))
        )
        self._links.send(
            self._router, service.process, self._run_call, service, request, pending
        )
        return done

    def _respond(self, service, pending, outcome):
        self._links.send(service.process, self._router, pending.settle, outcome)

    def _run_call(self, service, request, pending):
        if service.is_refusing:
            self._respond(service, pending, Err(CallFailure.REFUSED))
            return
        key = dict(request.headers).get("Idempotency-Key", "")
        service.runs.append(key)
        service.start_times_s.append(service.process.seconds())
        if service.lost_answers:
            service.lost_answers -= 1
            self._respond(service, pending, Err(CallFailure.LOST))
            return
        status = 500 if service.fails() else 200
        reply = Ok(PlainReply(status, [], key.encode()))
        service.process.callLater(
            service.work_s, self._respond, service, pending, reply
        )


class _FirstOutcome:
    """Fires a Deferred with the first outcome and ignores later ones."""

    def __init__(self, done):
        self._done = done
        self.timer = None

    def settle(self, outcome):
        if self._done.called:
            return
        if self.timer is not None and self.timer.active():
            self.timer.cancel()
        self._done.callback(outcome)


_LOST = Err(CallFailure.LOST)
