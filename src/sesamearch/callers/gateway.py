"""HTTP interface for callers: completions, models and calls to plain services."""

import hashlib
import math
import secrets
import urllib.parse

import msgspec
from klein import Klein
from result import Err, Ok
from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IPushProducer
from werkzeug.exceptions import HTTPException
from zope.interface import implementer

from sesamearch.base.errors import ErrorKind, Problem
from sesamearch.base.log import logger
from sesamearch.configuration.configuration import PlainService
from sesamearch.forwarding.deadline import answer_margin_s
from sesamearch.generation.attempt import GenerationRequest
from sesamearch.generation.completion import (
    MAX_SEED,
    BufferedSink,
    EventStreamSink,
    parse_body,
    send_problem,
)
from sesamearch.generation.generation import Generation
from sesamearch.operation.http_plain import HOP_BY_HOP_HEADERS
from sesamearch.operation.operation import OperationRequest, check_key
from sesamearch.operation.plain import PlainRequest
from sesamearch.rollout.version import VersionChooser

__all__ = ["Gateway"]

SWEEP_INTERVAL_S = 0.05
REQUEST_ID_BYTES = 12
FINGERPRINT_BYTES = 16
_STRIPPED_HEADERS = frozenset(("authorization", "host", "sesame-timeout-s"))


class _AdmittedCall(msgspec.Struct, frozen=True):
    """The organisation and the plain service of a call that was not refused."""

    organisation: str
    service: PlainService


@implementer(IPushProducer)
class _Backpressure:
    """Pause a generation while the send buffer of its caller's connection is full."""

    def __init__(self, generation):
        self._generation = generation

    def pauseProducing(self):
        self._generation.pause()

    def resumeProducing(self):
        self._generation.resume()

    def stopProducing(self):
        self._generation.caller_left()


class Gateway:
    """Serve the requests of callers.

    Parameters
    ----------
    board : Blackboard
    directory : ServiceDirectory
    tools : GenerationTools
    calls : CallRunner
    operations : OperationRunner
    limits : LimitSettings
    """

    app = Klein()

    def __init__(self, board, directory, tools, calls, operations, limits):
        self._board = board
        self._directory = directory
        self._tools = tools
        self._calls = calls
        self._operations = operations
        self._limits = limits
        self._calls_in_flight = 0
        self._versions = VersionChooser(board)
        self.generations = set()

    @property
    def in_flight(self):
        """Int : requests without a final answer."""
        return len(self.generations) + self._calls_in_flight

    @property
    def unsettled(self):
        """Int : claims and outcomes that the store has not confirmed yet."""
        return self._operations.unsettled

    def sweep(self):
        """Check each generation for stalls and passed deadlines; called regularly."""
        now_s = self._tools.clock.seconds()
        for generation in list(self.generations):
            generation.check(now_s)

    def hand_over(self):
        """End every generation so that its caller can resume at another router."""
        for generation in list(self.generations):
            generation.hand_over()

    def _refuse(self, request, problem):
        self._board.counters.refusals += 1
        send_problem(request, problem)

    def _admit(self, request, in_flight, limit):
        """Return the name of the organisation, or None if the request was refused."""
        self._board.counters.requests += 1
        if self._board.drain.value.refusing:
            self._refuse(request, Problem(ErrorKind.DRAINING))
            return None
        found = self._directory.organisation(request.getHeader("Authorization"))
        if found.is_err():
            self._refuse(request, found.unwrap_err())
            return None
        if in_flight >= limit:
            self._refuse(
                request, Problem(ErrorKind.OVERLOADED, "too many requests in flight")
            )
            return None
        return found.unwrap()

    def _deadline_s(self, request, service):
        now_s = self._tools.clock.seconds()
        try:
            requested_s = float(request.getHeader("Sesame-Timeout-S"))
        except (TypeError, ValueError):
            return now_s + service.timeout_s
        if math.isnan(requested_s):
            return now_s + service.timeout_s
        requested_s = max(requested_s, 0)
        answer_s = requested_s - answer_margin_s(requested_s)
        return now_s + min(answer_s, service.timeout_s)

    @app.handle_errors(HTTPException)
    def refuse_unknown_path(self, request, failure):
        """Refuse a request for an unknown path or method."""
        self._refuse(request, Problem(ErrorKind.UNKNOWN_CALL, failure.value.name))

    @app.handle_errors
    def answer_internal_error(self, request, failure):
        """Log an unhandled exception, and answer with an internal error."""
        logger.error(
            "unhandled exception path={} {}",
            request.path.decode(),
            failure.getTraceback(),
        )
        self._refuse(request, Problem(ErrorKind.INTERNAL))

    @app.route("/v1/models", methods=["GET"])
    def models(self, request):
        """List the models in the OpenAI-compatible format."""
        organisation = self._admit(request, 0, 1)
        if organisation is None:
            return None
        request.setHeader("Content-Type", "application/json")
        return _encode_models(self._directory.models())

    # Generations

    @app.route("/v1/chat/completions", methods=["POST"])
    def complete(self, request):
        """Start a generation, or resume one by its cursor."""
        limit = self._limits.generations
        organisation = self._admit(request, len(self.generations), limit)
        if organisation is None:
            return None
        parsed = parse_body(request.content.read())
        if parsed.is_err():
            return self._refuse(request, parsed.unwrap_err())
        found = self._directory.engine_service(parsed.unwrap().body.model)
        if found.is_err():
            return self._refuse(request, found.unwrap_err())
        return self._generate(request, organisation, parsed.unwrap(), found.unwrap())

    def _generate(self, request, organisation, parsed, service):
        position = self._read_position(request, organisation, parsed, service)
        if position.is_err():
            return self._refuse(request, position.unwrap_err())
        position = position.unwrap()
        generation_request = self._make_generation_request(
            request, organisation, parsed, service, position
        )
        done = Deferred()
        sink_type = EventStreamSink if parsed.body.stream else BufferedSink
        sink = sink_type(
            request, generation_request.request_id, parsed.body.model, done
        )
        generation = Generation(
            generation_request, self._tools, sink, self._remove_generation
        )
        self.generations.add(generation)
        request.notifyFinish().addErrback(lambda _: generation.caller_left())
        if parsed.body.stream:
            request.registerProducer(_Backpressure(generation), True)
            done.addCallback(lambda _: request.unregisterProducer())
        if position is None:
            generation.start()
        else:
            generation.resume_from_cursor(position, parsed.body.sesamearch.delivered)
        return done

    def _read_position(self, request, organisation, parsed, service):
        """Return ``Result[Position | None, Problem]`` from ``Last-Event-ID``."""
        event_id = request.getHeader("Last-Event-ID")
        if not event_id:
            return _NO_POSITION
        if not parsed.body.stream:
            return Err(
                Problem(ErrorKind.BAD_CURSOR, "only a streamed answer can be resumed")
            )
        read = self._tools.signer.read(event_id.encode(), organisation)
        return read.and_then(
            lambda position: _check_position(position, parsed, service)
        )

    def _make_generation_request(
        self, request, organisation, parsed, service, position
    ):
        if position is None:
            request_id = secrets.token_hex(REQUEST_ID_BYTES)
            seed = parsed.body.seed
            if seed is None:
                seed = secrets.randbelow(MAX_SEED)
        else:
            request_id, seed = position.cursor.request_id, position.cursor.seed
        return GenerationRequest(
            request_id,
            organisation,
            service,
            self._versions.choose(service, request_id),
            parsed.parameters,
            parsed.digest,
            seed,
            parsed.body.token_limit(service.max_tokens),
            self._deadline_s(request, service),
            request.getHeader("traceparent") or "",
        )

    def _remove_generation(self, generation):
        self.generations.discard(generation)

    # Plain services

    def _admit_call(self, request, service_name):
        """Return an :class:`_AdmittedCall`, or None if the call was refused."""
        limit = self._limits.operations
        organisation = self._admit(request, self._calls_in_flight, limit)
        if organisation is None:
            return None
        found = self._directory.plain_service(service_name)
        if found.is_err():
            self._refuse(request, found.unwrap_err())
            return None
        return _AdmittedCall(organisation, found.unwrap())

    @app.route(
        "/services/<service>/<path:path>",
        methods=["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"],
    )
    def call(self, request, service, path):
        """Forward a call to a plain service."""
        admitted = self._admit_call(request, service)
        if admitted is None:
            return None
        method = request.method.decode()
        call = admitted.service.find_call(method, f"/{path}")
        forwarded = _forwarded_path(request.uri)
        if call is None or forwarded is None:
            problem = Problem(ErrorKind.UNKNOWN_CALL, f"{method} /{path}"[:200])
            return self._refuse(request, problem)
        plain_request = _to_plain_request(request, call, forwarded)
        if call.retry == "at_most_once":
            return self._run_operation(request, admitted, plain_request)
        service = admitted.service
        version = self._versions.choose(service, secrets.token_hex(REQUEST_ID_BYTES))
        deadline_s = self._deadline_s(request, service)
        started = self._calls.run(service, version, plain_request, deadline_s)
        return self._answer_when_done(request, started)

    def _run_operation(self, request, admitted, plain_request):
        service, now_s = admitted.service, self._tools.clock.seconds()
        key = check_key(service, request.getHeader("Idempotency-Key"), now_s)
        if key.is_err():
            return self._refuse(request, key.unwrap_err())
        operation = OperationRequest(
            service,
            self._versions.choose(service, key.unwrap()),
            admitted.organisation,
            key.unwrap(),
            plain_request,
            _fingerprint(plain_request),
            self._deadline_s(request, service),
        )
        return self._answer_when_done(request, self._operations.run(operation))

    @app.route("/operations/<service>", methods=["GET"])
    def look_up(self, request, service):
        """Return the outcome of the operation with an idempotency key."""
        admitted = self._admit_call(request, service)
        if admitted is None:
            return None
        key = request.getHeader("Idempotency-Key")
        if not key:
            return self._refuse(request, Problem(ErrorKind.KEY_REQUIRED))
        looked_up = self._operations.look_up(
            admitted.service, admitted.organisation, key
        )
        return self._answer_when_done(request, looked_up)

    def _answer_when_done(self, request, outcome):
        # If the caller disconnects, the returned Deferred is cancelled, but the call
        # continues.
        self._calls_in_flight += 1
        answered = Deferred()
        outcome.addCallback(self._answer_call, request, answered)
        return answered

    def _answer_call(self, outcome, request, answered):
        self._calls_in_flight -= 1
        if not answered.called:
            self._write_answer(outcome, request)
            answered.callback(None)

    def _write_answer(self, outcome, request):
        if outcome.is_err():
            self._refuse(request, outcome.unwrap_err())
            return
        reply = outcome.unwrap()
        request.setResponseCode(reply.status)
        for name, value in reply.headers:
            request.responseHeaders.addRawHeader(name, value)
        request.write(reply.body)


def _check_position(position, parsed, service):
    cursor = position.cursor
    if cursor.body_digest != parsed.digest or cursor.service != service.service:
        return Err(Problem(ErrorKind.BAD_CURSOR, "cursor belongs to another request"))
    return Ok(position)


def _forwarded_path(uri):
    """Return the path below the service as it was received, or None to refuse it.

    Dot segments and empty segments are refused: an endpoint that resolves them
    would run a different call from the one that was matched, under the wrong retry
    rules.
    """
    head = uri.partition(b"?")[0].split(b"/", 3)
    if len(head) != 4 or head[:2] != [b"", b"services"] or not uri.isascii():
        return None
    decoded = urllib.parse.unquote_to_bytes(head[3]).replace(b"\\", b"/")
    segments = decoded.split(b"/")
    if b"." in segments or b".." in segments or b"" in segments[:-1]:
        return None
    return "/" + uri.split(b"/", 3)[3].decode("ascii")


def _to_plain_request(request, call, path):
    headers = [
        (name.decode("latin-1"), value.decode("latin-1"))
        for name, values in request.requestHeaders.getAllRawHeaders()
        for value in values
        if name.lower().decode("latin-1") not in HOP_BY_HOP_HEADERS | _STRIPPED_HEADERS
    ]
    body, route = request.content.read(), f"{call.method} {call.path}"
    return PlainRequest(request.method.decode(), path, headers, body, route)


def _fingerprint(plain_request):
    hasher = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    for part in (
        plain_request.method.encode(),
        plain_request.path.encode(),
        plain_request.body,
    ):
        hasher.update(b"%d:" % len(part) + part)
    return hasher.hexdigest()


class _Model(msgspec.Struct):
    id: str
    object: str = "model"


class _ModelList(msgspec.Struct):
    data: list[_Model]
    object: str = "list"


def _encode_models(names):
    return msgspec.json.encode(_ModelList([_Model(name) for name in names]))


_NO_POSITION = Ok(None)
