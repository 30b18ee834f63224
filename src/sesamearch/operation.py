"""Calls of plain services: repeated if idempotent, else run at most once."""

from result import Err, Ok
from twisted.internet.defer import Deferred

from sesamearch.errors import ErrorKind, Problem
from sesamearch.plain import CallLoss

__all__ = ["CallRunner"]

MAX_TRIES = 3
CALL_SHARE_RATIO = 0.5


class CallRunner:
    """Run calls of plain services.

    Parameters
    ----------
    client : PlainClient
    placement : Placement
    clock : twisted.internet.interfaces.IReactorTime
    """

    __slots__ = ("_client", "_clock", "_placement")

    def __init__(self, client, placement, clock):
        self._client = client
        self._placement = placement
        self._clock = clock

    def run_idempotent(self, service, version, request, deadline_s):
        """Run a call that may be repeated.

        Returns
        -------
        Deferred of result.Result[PlainReply, Problem]
        """
        return Deferred.fromCoroutine(
            self._run_idempotent(service, version, request, deadline_s)
        )

    async def _run_idempotent(self, service, version, request, deadline_s):
        tried, problem = set(), None
        for _ in range(MAX_TRIES):
            left_s = deadline_s - self._clock.seconds()
            if left_s <= 0:
                break
            endpoint = self._placement.choose(service.service, version, tried)
            if endpoint is None:
                break
            tried.add(endpoint.name)
            # The last try gets all that is left, earlier ones leave some.
            result = await self.send(endpoint, request, left_s * CALL_SHARE_RATIO)
            if result.is_ok():
                return result
            problem = _problem_after(result.unwrap_err())
        return Err(problem or Problem(ErrorKind.NO_ENDPOINT, service.service))

    def run_once(self, service, version, request, deadline_s):
        """Run a call whose repetition would do harm.

        It goes to another endpoint only while it is proved that it has not run.

        Returns
        -------
        Deferred of result.Result[PlainReply, Problem]
        """
        return Deferred.fromCoroutine(
            self._run_once(service, version, request, deadline_s)
        )

    async def _run_once(self, service, version, request, deadline_s):
        tried = set()
        for _ in range(MAX_TRIES):
            left_s = deadline_s - self._clock.seconds()
            if left_s <= 0:
                return Err(Problem(ErrorKind.DEADLINE_PASSED, service.service))
            endpoint = self._placement.choose(service.service, version, tried)
            if endpoint is None:
                break
            tried.add(endpoint.name)
            result = await self.send(endpoint, request, left_s)
            if result.is_ok():
                return result
            if result.unwrap_err() is CallLoss.LOST:
                return Err(_problem_after(CallLoss.LOST))
        return Err(Problem(ErrorKind.NO_ENDPOINT, service.service))

    async def send(self, endpoint, request, timeout_s):
        """Send one call and keep the placement's counts.

        Returns
        -------
        result.Result[PlainReply, CallLoss]
        """
        self._placement.started(endpoint)
        result = await self._client.call(endpoint, request, timeout_s)
        self._placement.ended(endpoint)
        if result.is_err():
            self._placement.failed(endpoint)
            return result
        self._placement.worked(endpoint)
        return Ok(result.unwrap())


def _problem_after(loss):
    if loss is CallLoss.LOST:
        return Problem(ErrorKind.OPERATION_UNKNOWN, "the endpoint gave no answer")
    return Problem(ErrorKind.NO_ENDPOINT, "the endpoint could not be reached")
