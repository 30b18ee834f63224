"""Callers of a replay: what they ask, receive and are told."""

import hashlib

import msgspec
from result import Err

from sesamearch.base.errors import ErrorKind, Problem, Ran
from sesamearch.generation.attempt import AnswerSink, GenerationRequest
from sesamearch.operation.operation import OperationRequest
from sesamearch.operation.plain import PlainRequest
from sesamearch.standin.engine import expected_token, prompt_digest

__all__ = ["CallCaller", "GenerationCaller"]

STREAM_IDLE_S = 3.0
WHOLE_IDLE_S = 20.0
CALL_IDLE_S = 4.0
RECONNECT_S = 0.2
MAX_RECONNECTS = 20
_COME_BACK = (ErrorKind.HAND_OVER, ErrorKind.DRAINING, ErrorKind.UNREACHABLE)
_RETRIED_STATUS = (429, 503)


class _Connection(AnswerSink):
    """One connection of a caller to a router, from the router's side."""

    def __init__(self, caller, router):
        self.caller = caller
        self.router = router
        self.generation = None
        self.is_open = True

    def _send(self, function, *arguments):
        links, process = self.caller.world.links, self.router.process
        links.send(process, self.caller.process, self._arrive, function, arguments)

    def _arrive(self, function, arguments):
        if self.is_open:
            function(*arguments)

    def begin(self, version):
        self._send(self.caller.take_version, version)

    def token(self, event_id, text):
        self._send(self.caller.take_token, event_id, text)

    def flush(self):
        """Send nothing more: each token is sent by itself."""

    def finish(self, event_id, finish_reason, tokens):
        self._send(self.caller.take_finish)

    def fail(self, problem):
        self._send(self.caller.take_problem, problem)


class GenerationCaller:
    """Asks for a generation and goes on by cursor, as the real client does.

    Parameters
    ----------
    world : Replay
    event : Generate
    """

    def __init__(self, world, event):
        self.world = world
        self.event = event
        self.process = world.new_caller_process(event.id)
        self.texts = []
        self.version = ""
        self.outcome = None
        self._messages = [{"role": "user", "content": event.id}]
        self._digest = hashlib.blake2b(event.id.encode(), digest_size=16).digest()
        self._cursor = None
        self._connection = None
        self._connects = 0
        self._idle = None
        self._last_token_s = None
        self._reconnected = False

    def start(self):
        """Ask the balancer's next router."""
        self._connects += 1
        previous = self._connection.router if self._connection else None
        router = self.world.pick_router(previous)
        self._connection = _Connection(self, router)
        if not router.process.is_alive:
            self.process.callLater(RECONNECT_S, self._reconnect)
            return
        router.process.on_reset.append(lambda c=self._connection: self._reset(c))
        self._watch_idle()
        links = self.world.links
        links.send(self.process, router.process, self._arrive, self._connection)

    def _reset(self, connection):
        if connection is self._connection and self.outcome is None:
            connection.is_open = False
            self.process.callLater(RECONNECT_S, self._reconnect)

    def _watch_idle(self):
        if self._idle is not None and self._idle.active():
            self._idle.cancel()
        idle_s = STREAM_IDLE_S if self.event.stream else WHOLE_IDLE_S
        self._idle = self.process.callLater(idle_s, self._reconnect)

    def _reconnect(self):
        if self.outcome is not None:
            return
        self._leave()
        if self._connects > MAX_RECONNECTS:
            self.outcome = "failed"
            return
        self._reconnected = True
        if not self.event.stream or self._cursor is None:
            # Without a cursor it is a new request, and a new answer.
            self.texts, self._cursor, self._last_token_s = [], None, None
        self.start()

    def _leave(self):
        connection = self._connection
        connection.is_open = False
        router = connection.router.process
        if router.is_alive:
            links = self.world.links
            links.send(self.process, router, self._left, connection)

    @staticmethod
    def _left(connection):
        if connection.generation is not None:
            connection.generation.caller_left()

    def _arrive(self, connection):
        """Handle the request; runs in the router."""
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
            seed = self.world.random.getrandbits(31)
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

    # What the caller receives

    def take_version(self, version):
        """Take the version of the answer."""
        self.version = version

    def take_token(self, event_id, text):
        """Take one token."""
        now_s = self.world.now_s
        if self._reconnected and self._last_token_s is not None:
            self.world.verdict.resume_latency_s.append(now_s - self._last_token_s)
        self._reconnected = False
        self._last_token_s = now_s
        self._cursor = event_id
        self.texts.append(text)
        self._watch_idle()

    def take_finish(self):
        """Take the end of the answer."""
        self._end("whole")

    def take_problem(self, problem):
        """Come back if that can help, else give up."""
        can_go_on = problem.kind in _COME_BACK
        if can_go_on or problem.answer.status in _RETRIED_STATUS:
            self.process.callLater(
                max(RECONNECT_S, problem.retry_delay_s or 0), self._reconnect
            )
        else:
            self._end("failed")

    def _end(self, outcome):
        self.outcome = outcome
        if self._idle is not None and self._idle.active():
            self._idle.cancel()

    # Judging

    def judge(self, verdict):
        """Compare what came with what the trace states."""
        wanted, name = self.event.outcome, self.event.id
        if self.outcome is None:
            verdict.violate("own_whole_answer", f"{name}: no final answer")
        elif wanted not in ("any", self.outcome):
            verdict.violate("own_whole_answer", f"{name}: {self.outcome}")
        if self.outcome == "whole":
            verdict.delivered_tokens += min(len(self.texts), self.event.tokens)
            self._judge_tokens(verdict)

    def _judge_tokens(self, verdict):
        digest = prompt_digest(self._messages)
        known = self.world.attempts[self.event.id]
        expected = {
            (version, seed): [
                expected_token(version, seed, digest, index)
                for index in range(self.event.tokens)
            ]
            for version, seed in known
        }
        if any(self.texts == tokens for tokens in expected.values()):
            return
        by_place = zip(*expected.values(), strict=True)
        is_mix = len(self.texts) == self.event.tokens and all(
            text in tokens for text, tokens in zip(self.texts, by_place, strict=True)
        )
        promise = "generations_mixed" if is_mix else "token_missing_or_repeated"
        verdict.violate(promise, f"{self.event.id}: {len(self.texts)} tokens")
        if len(expected) > 1 and not is_mix:
            verdict.violate("generations_mixed", f"{self.event.id}")


class CallCaller:
    """Asks for a call of a plain service, again while it got no answer.

    Parameters
    ----------
    world : Replay
    event : CallArrival
    """

    def __init__(self, world, event):
        self.world = world
        self.event = event
        self.key = event.key or event.id
        self.process = world.new_caller_process(event.id)
        self.outcome = None
        self._router = None
        self._asks = 0
        self._answered = 0

    def start(self):
        """Ask the balancer's next router."""
        self._asks += 1
        number = self._asks
        self._router = router = self.world.pick_router(self._router)
        if not router.process.is_alive:
            self.process.callLater(RECONNECT_S, self._ask_again, number)
            return
        router.process.on_reset.append(lambda: self._ask_again(number))
        self.process.callLater(CALL_IDLE_S, self._ask_again, number)
        links = self.world.links
        links.send(self.process, router.process, self._arrive, router, number)

    def _ask_again(self, number):
        if number != self._asks or self._answered >= number:
            return
        self._answered = number
        if self._asks > self.event.repeats:
            self.outcome = self.outcome or "unknown"
        else:
            self.process.callLater(RECONNECT_S, self.start)

    def _arrive(self, router, number):
        """Handle the call; runs in the router."""
        service = router.board.configuration.value.plain_service(self.event.service)
        if service is None or router.board.drain.value.refusing:
            self._back(router, number, Err(Problem(ErrorKind.DRAINING)))
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
        answered = router.operate(request)
        answered.addCallback(lambda outcome: self._back(router, number, outcome))

    def _back(self, router, number, outcome):
        links = self.world.links
        links.send(router.process, self.process, self._take, number, outcome)

    def _take(self, number, outcome):
        word = Ran.RAN if outcome.is_ok() else outcome.unwrap_err().answer.ran
        self.world.verdict.note_answer(self.key, word.value)
        if number != self._asks or self._answered >= number:
            return
        self._answered = number
        self.outcome = word.value
        if outcome.is_ok():
            if outcome.unwrap().body != self.key.encode():
                self.world.verdict.violate("own_whole_answer", f"{self.key}: crossed")
            if self.event.again and self._asks == 1:
                self.process.callLater(RECONNECT_S, self.start)
            return
        problem = outcome.unwrap_err()
        if problem.retry_delay_s is not None and self._asks <= self.event.repeats:
            self.process.callLater(max(RECONNECT_S, problem.retry_delay_s), self.start)

    def judge(self, verdict):
        """Compare the outcome with what the trace states."""
        wanted = self.event.outcome
        if self.outcome is None:
            verdict.violate("own_whole_answer", f"{self.event.id}: no final answer")
        elif wanted not in ("any", self.outcome):
            verdict.violate("own_whole_answer", f"{self.event.id}: {self.outcome}")
