"""Simulated callers, which send the requests of a trace and check the responses."""

import hashlib

import msgspec
from result import Err

from sesamearch.base.errors import ErrorKind, Problem, Ran
from sesamearch.generation.attempt import AnswerSink, GenerationRequest
from sesamearch.operation.operation import OperationRequest
from sesamearch.operation.plain import PlainRequest
from sesamearch.standin.engine import expected_token, prompt_digest

__all__ = ["CallCaller", "GenerationCaller"]

STREAM_IDLE_TIMEOUT_S = 3.0
BUFFERED_IDLE_TIMEOUT_S = 20.0
CALL_TIMEOUT_S = 4.0
RECONNECT_DELAY_S = 0.2
MAX_RECONNECTS = 20
_RETRIED_KINDS = (ErrorKind.HAND_OVER, ErrorKind.DRAINING, ErrorKind.UNREACHABLE)
_RETRIED_STATUSES = (429, 503)


class _Connection(AnswerSink):
    """The router's end of a caller's connection."""

    def __init__(self, caller, router):
        self.caller = caller
        self.router = router
        self.generation = None
        self.is_open = True

    def _send(self, function, *arguments):
        links, process = self.caller.replay.links, self.router.process
        links.send(process, self.caller.process, self._arrive, function, arguments)

    def _arrive(self, function, arguments):
        if self.is_open:
            function(*arguments)

    def begin(self, version):
        self._send(self.caller.receive_version, version)

    def token(self, event_id, text):
        self._send(self.caller.receive_token, event_id, text)

    def flush(self):
        """Do nothing: every token is sent as soon as it arrives."""

    def finish(self, event_id, finish_reason, tokens):
        self._send(self.caller.receive_finish)

    def fail(self, problem):
        self._send(self.caller.receive_problem, problem)


class GenerationCaller:
    """Requests a generation and resumes it with its cursor, as a real client does.

    Parameters
    ----------
    replay : Replay
    event : Generate
    """

    def __init__(self, replay, event):
        self.replay = replay
        self.event = event
        self.process = replay.new_caller_process(event.id)
        self.texts = []
        self.version = ""
        self.outcome = None
        self._messages = [{"role": "user", "content": event.id}]
        self._digest = hashlib.blake2b(event.id.encode(), digest_size=16).digest()
        self._cursor = None
        self._connection = None
        self._connects = 0
        self._idle_timer = None
        self._last_token_s = None
        self._reconnected = False

    def start(self):
        """Connect to the router that the load balancer picks, and send the request."""
        self._connects += 1
        previous = self._connection.router if self._connection else None
        router = self.replay.pick_router(previous)
        self._connection = _Connection(self, router)
        if not router.process.is_alive:
            self.process.callLater(RECONNECT_DELAY_S, self._reconnect)
            return
        router.process.on_reset.append(lambda c=self._connection: self._reset(c))
        self._restart_idle_timer()
        links = self.replay.links
        links.send(self.process, router.process, self._arrive, self._connection)

    def _reset(self, connection):
        if connection is self._connection and self.outcome is None:
            connection.is_open = False
            self.process.callLater(RECONNECT_DELAY_S, self._reconnect)

    def _restart_idle_timer(self):
        if self._idle_timer is not None and self._idle_timer.active():
            self._idle_timer.cancel()
        idle_s = STREAM_IDLE_TIMEOUT_S if self.event.stream else BUFFERED_IDLE_TIMEOUT_S
        self._idle_timer = self.process.callLater(idle_s, self._reconnect)

    def _reconnect(self):
        if self.outcome is not None:
            return
        self._disconnect()
        if self._connects > MAX_RECONNECTS:
            self.outcome = "failed"
            return
        self._reconnected = True
        if not self.event.stream or self._cursor is None:
            # Without streaming or without a cursor, this is a new request with a new
            # answer.
            self.texts, self._cursor, self._last_token_s = [], None, None
        self.start()

    def _disconnect(self):
        connection = self._connection
        connection.is_open = False
        router = connection.router.process
        if router.is_alive:
            links = self.replay.links
            links.send(self.process, router, self._abandon, connection)

    @staticmethod
    def _abandon(connection):
        if connection.generation is not None:
            connection.generation.caller_left()

    def _arrive(self, connection):
        """Handle the request; runs in the router's process."""
        router = connection.router
        position = None
        if self._cursor:
            read = router.signer.read(self._cursor, self.event.organisation)
            if read.is_err():
                connection.fail(read.unwrap_err())
                return
            position = read.unwrap()
        service = router.board.configuration.value.engine_service(self.event.model)
        if service is None or router.board.drain.value.refusing:
            connection.fail(Problem(ErrorKind.DRAINING))
            return
        request = self._request(router, service, position)
        delivered = "".join(self.texts) if position else None
        connection.generation = router.generate(
            request, connection, position, delivered
        )

    def _request(self, router, service, position):
        if position is None:
            request_id = f"{self.event.id}-{self._connects}"
            seed = self.replay.random.getrandbits(31)
        else:
            request_id, seed = position.cursor.request_id, position.cursor.seed
        return GenerationRequest(
            request_id,
            self.event.organisation,
            service,
            router.versions.choose(service, request_id),
            {"messages": msgspec.Raw(msgspec.json.encode(self._messages))},
            self._digest,
            seed,
            self.event.tokens,
            router.process.seconds() + service.timeout_s,
        )

    # Events from the router

    def receive_version(self, version):
        """Store the version that generates the answer."""
        self.version = version

    def receive_token(self, event_id, text):
        """Store a token and its cursor."""
        now_s = self.replay.now_s
        if self._reconnected and self._last_token_s is not None:
            self.replay.results.resume_latency_s.append(now_s - self._last_token_s)
        self._reconnected = False
        self._last_token_s = now_s
        self._cursor = event_id
        self.texts.append(text)
        self._restart_idle_timer()

    def receive_finish(self):
        """Handle the end of a complete answer."""
        self._end("whole")

    def receive_problem(self, problem):
        """Retry after an error that allows it, else fail."""
        can_resume = problem.kind in _RETRIED_KINDS
        if can_resume or problem.answer.status in _RETRIED_STATUSES:
            self.process.callLater(
                max(RECONNECT_DELAY_S, problem.retry_delay_s or 0), self._reconnect
            )
        else:
            self._end("failed")

    def _end(self, outcome):
        self.outcome = outcome
        if self._idle_timer is not None and self._idle_timer.active():
            self._idle_timer.cancel()

    # Checks

    def check_outcome(self, results):
        """Compare the outcome and the tokens with what the trace expects."""
        expected_outcome, name = self.event.outcome, self.event.id
        if self.outcome is None:
            results.add_violation("own_whole_answer", f"{name}: no final answer")
        elif expected_outcome not in ("any", self.outcome):
            results.add_violation("own_whole_answer", f"{name}: {self.outcome}")
        if self.outcome == "whole":
            results.delivered_tokens += min(len(self.texts), self.event.tokens)
            self._check_tokens(results)

    def _check_tokens(self, results):
        digest = prompt_digest(self._messages)
        attempts = self.replay.attempts[self.event.id]
        expected = {
            (version, seed): [
                expected_token(version, seed, digest, index)
                for index in range(self.event.tokens)
            ]
            for version, seed in attempts
        }
        if any(self.texts == tokens for tokens in expected.values()):
            return
        by_index = zip(*expected.values(), strict=True)
        is_mixed = len(self.texts) == self.event.tokens and all(
            text in tokens for text, tokens in zip(self.texts, by_index, strict=True)
        )
        guarantee = "generations_mixed" if is_mixed else "token_missing_or_repeated"
        results.add_violation(guarantee, f"{self.event.id}: {len(self.texts)} tokens")
        if len(expected) > 1 and not is_mixed:
            results.add_violation("generations_mixed", f"{self.event.id}")


class CallCaller:
    """Calls a plain service, and retries with the same key while no answer arrives.

    Parameters
    ----------
    replay : Replay
    event : CallArrival
    """

    def __init__(self, replay, event):
        self.replay = replay
        self.event = event
        self.key = event.key or event.id
        self.process = replay.new_caller_process(event.id)
        self.outcome = None
        self._router = None
        self._attempts = 0
        self._settled_attempt = 0

    def start(self):
        """Send the call to the router that the load balancer picks."""
        self._attempts += 1
        number = self._attempts
        self._router = router = self.replay.pick_router(self._router)
        if not router.process.is_alive:
            self.process.callLater(RECONNECT_DELAY_S, self._retry, number)
            return
        router.process.on_reset.append(lambda: self._retry(number))
        self.process.callLater(CALL_TIMEOUT_S, self._retry, number)
        links = self.replay.links
        links.send(self.process, router.process, self._arrive, router, number)

    def _retry(self, number):
        if number != self._attempts or self._settled_attempt >= number:
            return
        self._settled_attempt = number
        if self._attempts > self.event.repeats:
            self.outcome = self.outcome or "unknown"
        else:
            self.process.callLater(RECONNECT_DELAY_S, self.start)

    def _arrive(self, router, number):
        """Handle the call; runs in the router's process."""
        service = router.board.configuration.value.plain_service(self.event.service)
        if service is None or router.board.drain.value.refusing:
            self._respond(router, number, Err(Problem(ErrorKind.DRAINING)))
            return
        headers = [("Idempotency-Key", self.key)]
        request = OperationRequest(
            service,
            router.versions.choose(service, self.key),
            self.event.organisation,
            self.key,
            PlainRequest(self.event.method, self.event.path, headers, b""),
            self.event.path,
            router.process.seconds() + service.timeout_s,
        )
        response = router.run_operation(request)
        response.addCallback(lambda outcome: self._respond(router, number, outcome))

    def _respond(self, router, number, outcome):
        links = self.replay.links
        links.send(router.process, self.process, self._receive, number, outcome)

    def _receive(self, number, outcome):
        ran = Ran.RAN if outcome.is_ok() else outcome.unwrap_err().answer.ran
        self.replay.results.note_answer(self.key, ran.value)
        if number != self._attempts or self._settled_attempt >= number:
            return
        self._settled_attempt = number
        self.outcome = ran.value
        if outcome.is_ok():
            if outcome.unwrap().body != self.key.encode():
                self.replay.results.add_violation(
                    "own_whole_answer", f"{self.key}: got the response of another call"
                )
            if self.event.again and self._attempts == 1:
                self.process.callLater(RECONNECT_DELAY_S, self.start)
            return
        problem = outcome.unwrap_err()
        if problem.retry_delay_s is not None and self._attempts <= self.event.repeats:
            self.process.callLater(
                max(RECONNECT_DELAY_S, problem.retry_delay_s), self.start
            )

    def check_outcome(self, results):
        """Compare the outcome with what the trace expects."""
        expected_outcome = self.event.outcome
        if self.outcome is None:
            results.add_violation(
                "own_whole_answer", f"{self.event.id}: no final answer"
            )
        elif expected_outcome not in ("any", self.outcome):
            results.add_violation(
                "own_whole_answer", f"{self.event.id}: {self.outcome}"
            )
