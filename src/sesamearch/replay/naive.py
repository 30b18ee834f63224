"""The baseline of the replay: a plain proxy that retries.

It is kept to show which traces a proxy without cursors, attempts, claims and
monotonic revisions fails, and is used by nothing else.
"""

import secrets

from result import Err
from twisted.internet.defer import Deferred

from sesamearch.base.errors import ErrorKind, Problem
from sesamearch.generation.completion import MAX_SEED
from sesamearch.generation.engine import EngineRequest, StreamEnd, StreamReceiver
from sesamearch.operation.call import send_call

__all__ = ["NaiveGeneration", "NaiveOperationRunner", "NaivePlacement"]

MAX_TRIES = 3
IDLE_TIMEOUT_S = 5.0
TRY_TIMEOUT_S = 2.0


class NaivePlacement:
    """Takes endpoints in turn and does not look whether they are leaving."""

    def __init__(self, board):
        self._board = board
        self._turn = 0

    def choose(self, service_name, version, excluded):
        """Return the next endpoint of the service, whatever its version."""
        candidates = [
            endpoint
            for endpoint in self._board.endpoints.value.values()
            if endpoint.service == service_name and endpoint.name not in excluded
        ]
        if not candidates:
            return None
        self._turn += 1
        return candidates[self._turn % len(candidates)]

    def in_flight(self, endpoint):
        """Keep no counts."""
        return 0

    def started(self, endpoint):
        """Keep no counts."""

    def ended(self, endpoint):
        """Keep no counts."""

    def failed(self, endpoint):
        """Keep no record."""

    def succeeded(self, endpoint):
        """Keep no record."""


class NaiveGeneration(StreamReceiver):
    """Starts over at another endpoint after any loss.

    Parameters
    ----------
    request, tools, sink, on_end
        As for :class:`~sesamearch.generation.generation.Generation`.
    """

    def __init__(self, request, tools, sink, on_end=None):
        self.request = request
        self.is_over = False
        self.resume_latency_s = []
        self._tools = tools
        self._sink = sink
        self._on_end = on_end
        self._tried = set()
        self._deadline_s = float("inf")
        self._last_s = 0.0
        self._lost_s = None
        self._count = 0
        self._has_begun = False

    def start(self):
        """Send the request to the next endpoint."""
        service = self.request.service.service
        endpoint = self._tools.placement.choose(service, "", self._tried)
        if endpoint is None or len(self._tried) >= MAX_TRIES:
            self._end()
            self._sink.fail(Problem(ErrorKind.NO_ENDPOINT))
            return
        self._tried.add(endpoint.name)
        self._deadline_s = self._tools.clock.seconds() + IDLE_TIMEOUT_S
        engine_request = EngineRequest(
            self.request.request_id,
            secrets.token_hex(8),
            self.request.parameters,
            secrets.randbelow(MAX_SEED),
            self.request.max_tokens,
        )
        self._tools.engines.open(endpoint, engine_request, self)

    def resume_from_cursor(self, position, delivered):
        """Know no cursors: start over."""
        self.start()

    def events(self, events):
        """Pass events on, from whichever attempt."""
        for event in events:
            self._pass_on(event)

    def _pass_on(self, event):
        if self.is_over:
            return
        now_s = self._tools.clock.seconds()
        if self._lost_s is not None:
            self.resume_latency_s.append(now_s - self._lost_s)
            self._lost_s = None
        self._deadline_s = now_s + IDLE_TIMEOUT_S
        self._last_s = now_s
        if not self._has_begun:
            self._has_begun = True
            self._sink.begin(event.version)
        if event.finish_reason is not None:
            self._end()
            self._sink.finish(b"", event.finish_reason, self._count)
            return
        self._count += event.tokens
        self._tools.counters.tokens_delivered += event.tokens
        self._sink.token(b"", event.text)

    def ended(self, reason, detail):
        """Start over, whatever the reason."""
        if not self.is_over and reason is not StreamEnd.INVALID:
            self._lost_s = self._last_s or self._tools.clock.seconds()
            self.start()

    def check(self, now_s):
        """Start over after an idle timeout."""
        if not self.is_over and now_s >= self._deadline_s:
            self._lost_s = self._last_s or now_s
            self.start()

    def caller_left(self):
        """Stop passing on."""
        if not self.is_over:
            self._end()

    def hand_over(self):
        """Know no cursors: nothing can be handed over."""

    def _end(self):
        self.is_over = True
        self._deadline_s = float("inf")
        if self._on_end is not None:
            self._on_end(self)


class NaiveOperationRunner:
    """Sends again after any loss, and calls every failure "not run".

    Parameters
    ----------
    tools : OperationTools
    """

    def __init__(self, tools):
        self._tools = tools

    def run(self, request):
        """Run an operation, as often as it takes to get an answer."""
        return Deferred.fromCoroutine(self._run(request))

    async def _run(self, request):
        tools, tried = self._tools, set()
        for _ in range(MAX_TRIES):
            endpoint = tools.calls.placement.choose(request.service.service, "", tried)
            if endpoint is None:
                tried.clear()
                endpoint = tools.calls.placement.choose(
                    request.service.service, "", tried
                )
            if endpoint is None:
                break
            tried.add(endpoint.name)
            result = await send_call(
                tools.calls, endpoint, request.request, TRY_TIMEOUT_S
            )
            if result.is_ok():
                return result
        return Err(Problem(ErrorKind.NO_ENDPOINT))
