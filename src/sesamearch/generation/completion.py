"""OpenAI-compatible encoding of requests and answers."""

import hashlib
import time

import msgspec
from result import Err, Ok

from sesamearch.base.decode import decode_foreign
from sesamearch.base.errors import ErrorKind, Problem
from sesamearch.generation.attempt import AnswerSink

__all__ = [
    "BufferedSink",
    "CompletionBody",
    "EventStreamSink",
    "parse_body",
    "send_problem",
]

DIGEST_BYTES = 16
MAX_SEED = 1 << 31
_UNSUPPORTED = ("tools", "tool_choice", "functions", "logprobs", "top_logprobs")
_EXTENSION_MEMBER = "sesamearch"
_encode = msgspec.json.encode


class _Extension(msgspec.Struct):
    delivered: str | None = None


class CompletionBody(msgspec.Struct):
    """The members of a request body that the router interprets.

    Parameters
    ----------
    model : str
    messages : msgspec.Raw
        Passed through to the engine without being decoded.
    stream : bool
    max_tokens, max_completion_tokens, seed, n : int or None
    sesamearch : _Extension
        Extension member; a caller that resumes sends the delivered text in it.
    """

    model: str
    messages: msgspec.Raw
    stream: bool = False
    max_tokens: int | None = None
    max_completion_tokens: int | None = None
    seed: int | None = None
    n: int | None = None
    sesamearch: _Extension = msgspec.field(default_factory=_Extension)

    def token_limit(self, service_limit):
        """Return the limit on the answer's length, in tokens."""
        requested = self.max_completion_tokens or self.max_tokens or service_limit
        return min(requested, service_limit)


class ParsedBody(msgspec.Struct, frozen=True):
    """A decoded request body.

    Parameters
    ----------
    body : CompletionBody
    parameters : dict from str to msgspec.Raw
        Members to pass through to the engine.
    digest : bytes
        Digest of `parameters`.
    """

    body: CompletionBody
    parameters: dict[str, msgspec.Raw]
    digest: bytes


_decode_body = msgspec.json.Decoder(CompletionBody).decode
_decode_parameters = msgspec.json.Decoder(dict[str, msgspec.Raw]).decode


def _decode_content(content):
    return _decode_body(content), _decode_parameters(content)


def parse_body(content):
    """Decode and validate a request body.

    Parameters
    ----------
    content : bytes

    Returns
    -------
    result.Result[ParsedBody, Problem]
    """
    decoded = decode_foreign(_decode_content, content)
    if decoded.is_err():
        return Err(Problem(ErrorKind.BAD_REQUEST, decoded.unwrap_err()))
    body, parameters = decoded.unwrap()
    unsupported = [name for name in _UNSUPPORTED if name in parameters]
    if unsupported or (body.n or 1) != 1:
        names = ", ".join(unsupported) or "n"
        return Err(Problem(ErrorKind.BAD_REQUEST, f"unsupported parameters: {names}"))
    if (body.token_limit(1)) < 1 or not 0 <= (body.seed or 0) < MAX_SEED:
        return Err(Problem(ErrorKind.BAD_REQUEST, "max_tokens or seed out of range"))
    parameters.pop(_EXTENSION_MEMBER, None)
    return Ok(ParsedBody(body, parameters, _digest(parameters)))


def _digest(parameters):
    hasher = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for name in sorted(parameters):
        hasher.update(_encode(name))
        hasher.update(bytes(parameters[name]))
    return hasher.digest()


def send_problem(request, problem):
    """Write a problem as the whole response.

    Parameters
    ----------
    request : twisted.web.iweb.IRequest
        A request whose response has not been started.
    problem : Problem
    """
    request.setResponseCode(problem.answer.status)
    request.setHeader("Content-Type", "application/problem+json")
    if problem.retry_delay_s is not None:
        request.setHeader("Retry-After", str(max(0, round(problem.retry_delay_s))))
    if problem.ask_again:
        request.setHeader("Location", problem.ask_again)
    request.write(problem.to_json())


class _SinkBase(AnswerSink):
    def __init__(self, request, request_id, model, done):
        self._request = request
        self._done = done
        self._id = f"chatcmpl-{request_id}"
        self._created = int(time.time())
        self._model = model
        self._version = ""

    def begin(self, version):
        """Store the version of the answer."""
        self._version = version

    def _finish_response(self):
        if not self._done.called:
            self._done.callback(None)


class _Delta(msgspec.Struct, omit_defaults=True):
    content: str | None = None
    role: str | None = None


class _ChunkChoice(msgspec.Struct):
    delta: _Delta
    index: int = 0
    finish_reason: str | None = None


class _Chunk(msgspec.Struct):
    id: str
    created: int
    model: str
    system_fingerprint: str
    choices: list[_ChunkChoice]
    object: str = "chat.completion.chunk"


class EventStreamSink(_SinkBase):
    """Stream an answer as server-sent events with cursors as event ids.

    Parameters
    ----------
    request : twisted.web.iweb.IRequest
    request_id, model : str
    done : twisted.internet.defer.Deferred
        Fired when the response is complete, with an answer or a problem.
    """

    def __init__(self, request, request_id, model, done):
        super().__init__(request, request_id, model, done)
        self._head = b""
        self._tail = b""
        self._buffered_events = []

    def begin(self, version):
        """Set the headers, and encode the parts that all events share."""
        super().begin(version)
        self._request.setHeader("Content-Type", "text/event-stream")
        self._request.setHeader("Cache-Control", "no-store")
        placeholder = "\0"
        chunk = self._chunk(_ChunkChoice(_Delta(content=placeholder, role="assistant")))
        self._head, self._tail = _encode(chunk).split(_encode(placeholder))
        self._head = b"\ndata: " + self._head
        self._tail += b"\n\n"

    def _chunk(self, choice):
        return _Chunk(self._id, self._created, self._model, self._version, [choice])

    def token(self, event_id, text):
        """Buffer one event until the next flush."""
        event = b"id: %s%s%s%s" % (event_id, self._head, _encode(text), self._tail)
        self._buffered_events.append(event)

    def flush(self):
        """Write all buffered events in one call, unless the caller has disconnected."""
        events, self._buffered_events = self._buffered_events, []
        if events and not self._done.called:
            self._request.write(b"".join(events))

    def finish(self, event_id, finish_reason, tokens):
        """Write the events that finish the answer, and complete the response."""
        chunk = self._chunk(_ChunkChoice(_Delta(), finish_reason=finish_reason))
        self.flush()
        self._request.write(
            b"id: " + event_id + b"\ndata: " + _encode(chunk) + b"\n\ndata: [DONE]\n\n"
        )
        self._finish_response()

    def fail(self, problem):
        """Write the problem, as an event if the answer has begun."""
        self.flush()
        if self._head:
            body = problem.to_json()
            self._request.write(b"event: error\ndata: " + body + b"\n\n")
        else:
            send_problem(self._request, problem)
        self._finish_response()


class _Message(msgspec.Struct):
    content: str
    role: str = "assistant"


class _CompletionChoice(msgspec.Struct):
    message: _Message
    finish_reason: str
    index: int = 0


class _Usage(msgspec.Struct):
    completion_tokens: int


class _Completion(msgspec.Struct):
    id: str
    created: int
    model: str
    system_fingerprint: str
    choices: list[_CompletionChoice]
    usage: _Usage
    object: str = "chat.completion"


class BufferedSink(_SinkBase):
    """Buffer an answer and write it as a single JSON response."""

    def __init__(self, request, request_id, model, done):
        super().__init__(request, request_id, model, done)
        self._text = []

    def token(self, event_id, text):
        """Buffer the text."""
        self._text.append(text)

    def flush(self):
        """Do nothing: the answer is written when it is complete."""

    def finish(self, event_id, finish_reason, tokens):
        """Write the complete answer."""
        choice = _CompletionChoice(_Message("".join(self._text)), finish_reason)
        completion = _Completion(
            self._id,
            self._created,
            self._model,
            self._version,
            [choice],
            _Usage(tokens),
        )
        self._request.setHeader("Content-Type", "application/json")
        self._request.write(_encode(completion))
        self._finish_response()

    def fail(self, problem):
        """Write the problem as the response."""
        send_problem(self._request, problem)
        self._finish_response()
