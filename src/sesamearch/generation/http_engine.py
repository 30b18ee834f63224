"""Engine client for the OpenAI-compatible protocol over server-sent events."""

import msgspec
from twisted.internet.defer import CancelledError
from twisted.web.client import ResponseFailed, ResponseNeverReceived

from sesamearch.base.http import FrameReceiver, TurnEndCallbacks, make_http_client
from sesamearch.generation.engine import (
    EngineClient,
    EngineStream,
    StreamEnd,
    StreamEvent,
)

__all__ = ["HttpEngineClient"]

STATUS_GONE = (404, 410)
STATUS_INVALID = (400, 413, 422)
STATUS_REFUSED = (429, 503)
MAX_DETAIL_BYTES = 2000
_EVENT_DELIMITER = b"\n\n"
_JSON_HEADERS = {"Content-Type": "application/json"}


class _Delta(msgspec.Struct, gc=False):
    content: str | None = None


class _Choice(msgspec.Struct, gc=False):
    delta: _Delta = msgspec.field(default_factory=_Delta)
    finish_reason: str | None = None


class _Chunk(msgspec.Struct, gc=False):
    choices: list[_Choice]
    system_fingerprint: str = ""
    token_count: int = 1


class _Continuation(msgspec.Struct):
    """The ``sesamearch`` member of a request, for engines that can continue a text."""

    request_id: str
    stream_id: str
    prefix: str
    prefix_tokens: int


_decode_chunk = msgspec.json.Decoder(_Chunk).decode
_encode = msgspec.json.encode


def _encode_request(engine_request):
    body = dict(engine_request.parameters)
    body["stream"] = True
    body["seed"] = engine_request.seed
    body["max_tokens"] = engine_request.max_tokens
    body["sesamearch"] = _Continuation(
        engine_request.request_id,
        engine_request.stream_id,
        engine_request.prefix,
        engine_request.prefix_tokens,
    )
    return _encode(body)


class _HttpEngineStream(EngineStream):
    """The HTTP request of one attempt and its streamed response."""

    __slots__ = ("_body", "_frames", "_is_paused", "_receiver", "_request", "_turn_end")

    def __init__(self, receiver, turn_end):
        self._receiver = receiver
        self._turn_end = turn_end
        self._frames = []
        self._body = None
        self._request = None
        self._is_paused = False

    def begin(self, request):
        """Handle the response when `request`, a Deferred, fires."""
        self._request = request
        request.addCallbacks(self._handle_response, self._handle_request_failure)
        request.addErrback(self._handle_request_failure)

    def _handle_response(self, response):
        self._request = None
        if self._receiver is None:
            return None
        if response.code == 200:
            self._body = FrameReceiver(
                _EVENT_DELIMITER, self._handle_frames, self._handle_body_end
            )
            response.deliverBody(self._body)
            if self._is_paused:
                self.pause()
            return None
        return response.text().addCallback(self._handle_error_response, response.code)

    def _handle_error_response(self, detail, status):
        if status in STATUS_INVALID:
            self._finish(StreamEnd.INVALID, detail[:MAX_DETAIL_BYTES])
        elif status in STATUS_GONE:
            self._finish(StreamEnd.GONE, detail[:MAX_DETAIL_BYTES])
        elif status in STATUS_REFUSED:
            self._finish(StreamEnd.REFUSED, detail[:MAX_DETAIL_BYTES])
        else:
            self._finish(StreamEnd.LOST, f"engine answered with status {status}")

    def _handle_request_failure(self, failure):
        self._request = None
        if failure.check(CancelledError):
            return
        was_sent = failure.check(ResponseNeverReceived, ResponseFailed)
        reason = StreamEnd.BROKEN_OFF if was_sent else StreamEnd.LOST
        self._finish(reason, failure.getErrorMessage())

    def _handle_frames(self, frames):
        if not self._frames:
            self._turn_end.call(self._deliver)
        self._frames += frames

    def _deliver(self):
        """Pass on all events of this reactor iteration together."""
        frames, self._frames = self._frames, []
        if self._receiver is None or not frames:
            return
        try:
            events = list(filter(None, map(_parse_event, frames)))
        except (ValueError, IndexError, msgspec.DecodeError):
            self._finish(StreamEnd.LOST, "malformed event in the stream")
            return
        self._receiver.events(events)

    def _handle_body_end(self):
        self._deliver()
        self._finish(StreamEnd.BROKEN_OFF, "stream ended before its final event")

    def _finish(self, reason, detail):
        receiver = self._receiver
        self.detach()
        if receiver is not None:
            receiver.ended(reason, detail)

    def pause(self):
        self._is_paused = True
        if self._body is not None and self._body.transport is not None:
            self._body.transport.pauseProducing()

    def resume(self):
        self._is_paused = False
        if self._body is not None and self._body.transport is not None:
            self._body.transport.resumeProducing()

    def detach(self):
        self._receiver = None
        if self._request is not None:
            request, self._request = self._request, None
            request.cancel()
        if self._body is not None:
            body, self._body = self._body, None
            if body.transport is not None:
                body.transport.loseConnection()


def _parse_event(frame):
    """Return the :class:`StreamEvent` in a server-sent event, or None.

    The id of the server-sent event is the number of tokens before it.
    """
    # Fast path: nearly all events are an id line followed by one data line.
    head, _, data = frame.partition(b"\ndata: ")
    if head[:4] == b"id: " and b"\n" not in data:
        index = int(head[4:])
    else:
        fields = dict(line.partition(b": ")[::2] for line in frame.split(b"\n"))
        index, data = int(fields.get(b"id", b"0")), fields.get(b"data", b"")
    if not data or data == b"[DONE]":
        return None
    chunk = _decode_chunk(data)
    choice = chunk.choices[0]
    if choice.finish_reason is not None:
        version = chunk.system_fingerprint
        return StreamEvent(index, 0, "", version, choice.finish_reason)
    text = choice.delta.content
    if not text:
        return None
    return StreamEvent(index, chunk.token_count, text, chunk.system_fingerprint)


class HttpEngineClient(EngineClient):
    """Start, re-attach and cancel attempts over HTTP.

    Parameters
    ----------
    reactor : twisted.internet.interfaces.IReactorCore
    connect_timeout_s : float
    """

    __slots__ = ("_http", "_turn_end")

    def __init__(self, reactor, connect_timeout_s=1.0):
        self._http = make_http_client(reactor, connect_timeout_s)
        self._turn_end = TurnEndCallbacks(reactor)

    def open(self, endpoint, engine_request, receiver):
        """Start an attempt."""
        url = f"http://{endpoint.address}/v1/chat/completions"
        stream = _HttpEngineStream(receiver, self._turn_end)
        body, headers = _encode_request(engine_request), dict(_JSON_HEADERS)
        if engine_request.traceparent:
            headers["traceparent"] = engine_request.traceparent
        stream.begin(self._http.post(url, data=body, headers=headers, unbuffered=True))
        return stream

    def attach(self, endpoint, stream_id, index, receiver):
        """Re-attach to a running attempt."""
        url = f"http://{endpoint.address}/v1/streams/{stream_id}?from={index}"
        stream = _HttpEngineStream(receiver, self._turn_end)
        stream.begin(self._http.get(url, unbuffered=True))
        return stream

    def cancel(self, endpoint, stream_id):
        """Ask the engine to stop an attempt."""
        url = f"http://{endpoint.address}/v1/streams/{stream_id}"
        self._http.delete(url).addErrback(lambda failure: None)
