"""Client of the routers: streams an answer and resumes it by cursor after a failure."""

import itertools
import time

import msgspec
from result import Err, Ok
from twisted.internet.defer import Deferred
from twisted.internet.task import deferLater

from sesamearch.base.errors import ErrorKind, Problem
from sesamearch.base.http import FrameReceiver, make_http_client

__all__ = ["Answer", "CompletionClient"]

RECONNECT_INTERVAL_S = 0.2
MAX_RECONNECTS = 50
_DELIMITER = b"\n\n"


class Answer(msgspec.Struct):
    """An answer and statistics of its delivery.

    Parameters
    ----------
    text : str
    tokens : int
        Number of events that carried text.
    version : str
    finish_reason : str
    reconnects : int
        Number of times the client reconnected, each time to the next router.
    longest_gap_s : float
        Longest time between two events that carried text.
    """

    text: str = ""
    tokens: int = 0
    version: str = ""
    finish_reason: str = ""
    reconnects: int = 0
    longest_gap_s: float = 0.0


class _Delta(msgspec.Struct):
    content: str | None = None


class _Choice(msgspec.Struct):
    delta: _Delta
    finish_reason: str | None = None


class _Chunk(msgspec.Struct):
    choices: list[_Choice]
    system_fingerprint: str = ""


class _Delivered(msgspec.Struct):
    delivered: str


class _Body(msgspec.Struct, omit_defaults=True):
    model: str
    messages: list
    stream: bool
    max_tokens: int | None = None
    seed: int | None = None
    sesamearch: _Delivered | None = None


class CompletionClient:
    """Request one completion, and resume it at the next router after a failure.

    Trying the routers in turn takes the place of their load balancer. The state of
    the answer is kept in the instance, so use one instance for each completion.

    Parameters
    ----------
    reactor : twisted.internet.interfaces.IReactorTime
    addresses : list of str
        Addresses of the routers, tried in turn.
    api_key : str
    on_token : callable or None
        Called with the text of each event and the :class:`Answer` so far.
    """

    def __init__(self, reactor, addresses, api_key, on_token=None):
        self._reactor = reactor
        self._addresses = itertools.cycle(addresses)
        self._api_key = api_key
        self._on_token = on_token
        self._http = make_http_client(reactor)
        self._answer = Answer()
        self._cursor = b""
        self._last_token_s = None
        self._problem = None
        self._connection_done = None

    def ask(self, model, messages, max_tokens=None, seed=None):
        """Send the request and wait for the complete answer.

        Parameters
        ----------
        model : str
        messages : list of dict
            Messages in the format of the OpenAI-compatible API.
        max_tokens, seed : int or None

        Returns
        -------
        Deferred of result.Result[Answer, Problem]
        """
        body = _Body(model, messages, True, max_tokens, seed)
        return Deferred.fromCoroutine(self._ask(body))

    async def _ask(self, body):
        for _ in range(MAX_RECONNECTS):
            self._problem = Problem(ErrorKind.UNREACHABLE, "no router answered")
            await self._connect(body)
            if self._answer.finish_reason:
                return Ok(self._answer)
            if not self._is_retryable():
                return Err(self._problem)
            self._answer.reconnects += 1
            wait_s = self._problem.retry_after_s
            wait_s = RECONNECT_INTERVAL_S if wait_s is None else wait_s
            await deferLater(self._reactor, wait_s)
        return Err(self._problem)

    def _is_retryable(self):
        if self._problem.kind in (ErrorKind.UNREACHABLE, ErrorKind.HAND_OVER):
            return True
        return self._problem.answer.status in (429, 503)

    async def _connect(self, body):
        headers = {
            "Content-Type": "application/json",
            "Authorization": f"Bearer {self._api_key}",
        }
        if self._cursor:
            headers["Last-Event-ID"] = self._cursor.decode()
            delivered = _Delivered(self._answer.text)
            body = msgspec.structs.replace(body, sesamearch=delivered)
        url = f"http://{next(self._addresses)}/v1/chat/completions"
        try:
            response = await self._http.post(
                url, data=msgspec.json.encode(body), headers=headers, unbuffered=True
            )
            if response.code != 200:
                self._problem = Problem.from_json(await response.content())
                return
        except Exception as error:
            # After any transport failure, the next router is tried.
            self._problem = Problem(ErrorKind.UNREACHABLE, str(error))
            return
        self._connection_done = Deferred()
        response.deliverBody(
            FrameReceiver(_DELIMITER, self._handle_frames, self._handle_body_end)
        )
        await self._connection_done

    def _handle_body_end(self):
        done, self._connection_done = self._connection_done, None
        if done is not None:
            done.callback(None)

    def _handle_frames(self, frames):
        for frame in frames:
            self._handle_frame(frame)

    def _handle_frame(self, frame):
        fields = dict(line.partition(b": ")[::2] for line in frame.split(b"\n"))
        data = fields.get(b"data", b"")
        if fields.get(b"event") == b"error":
            self._problem = Problem.from_json(data)
            return
        if not data or data == b"[DONE]":
            return
        chunk = msgspec.json.decode(data, type=_Chunk)
        choice = chunk.choices[0]
        self._cursor = fields[b"id"]
        self._answer.version = chunk.system_fingerprint
        if choice.finish_reason is not None:
            self._answer.finish_reason = choice.finish_reason
        elif choice.delta.content:
            self._record_text(choice.delta.content)

    def _record_text(self, text):
        now_s = time.monotonic()
        if self._last_token_s is not None:
            gap_s = now_s - self._last_token_s
            self._answer.longest_gap_s = max(self._answer.longest_gap_s, gap_s)
        self._last_token_s = now_s
        self._answer.text += text
        self._answer.tokens += 1
        if self._on_token is not None:
            self._on_token(text, self._answer)
