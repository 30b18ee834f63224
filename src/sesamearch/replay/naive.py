"""Baseline policy of the replay: a plain proxy that retries.

It only serves to show which guarantees the traces violate with a proxy that has no
cursors, attempts, claims and monotonic revisions.
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
    """Chooses endpoints round-robin, even those that are leaving."""

    def __init__(self, board):
        self._board = board
        self._endpoint_index = 0

    def choose(self, service_name, version, excluded):
        """Return the next endpoint of the service, regardless of version."""
        candidates = [
            endpoint
            for endpoint in self._board.endpoints.value.values()
            if endpoint.service == service_name and endpoint.name not in excluded
        ]
        if not candidates:
            return None
        self._endpoint_index += 1
        return candidates[self._endpoint_index % len(candidates)]

    def in_flight(self, endpoint):
        """Return zero: requests in flight are not counted."""
        return 0

    def started(self, endpoint):
        """Do nothing: requests in flight are not counted."""

    def ended(self, endpoint):
        """Do nothing: requests in flight are not counted."""

    def failed(self, endpoint):
        """Do nothing: failures are not tracked."""

    def succeeded(self, endpoint):
        """Do nothing: failures are not tracked."""


class NaiveGeneration(StreamReceiver):
    """Restarts a generation at another endpoint after any failure.

    Parameters
    ----------
    request, tools, sink, on_end
        The same as for :class:`~sesamearch.generation.generation.Generation`.
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
        """Start over: cursors are not supported."""
        self.start()

    def events(self, events):
        """Forward events to the caller, also those of an earlier attempt."""
        for event in events:
            self._forward(event)

    def _forward(self, event):
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
        """Start over after any end but an invalid response."""
        if not self.is_over and reason is not StreamEnd.INVALID:
            self._lost_s = self._last_s or self._tools.clock.seconds()
            self.start()

    def check(self, now_s):
        """Start over after an idle timeout."""
        if not self.is_over and now_s >= self._deadline_s:
            self._lost_s = self._last_s or now_s
            self.start()

    def caller_left(self):
        """Stop forwarding events."""
        if not self.is_over:
            self._end()

    def hand_over(self):
        """Do nothing: a generation without a cursor can't be handed over."""

    def _end(self):
        self.is_over = True
        self._deadline_s = float("inf")
        if self._on_end is not None:
            self._on_end(self)


class NaiveOperationRunner:
    """Retries after any failure, and reports a final failure as "not run".

    Parameters
    ----------
    tools : OperationTools
    """

    def __init__(self, tools):
        self._tools = tools

    def run(self, request):
        """Run an operation; retry until it gets a response or no try is left."""
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
