"""Idempotent calls of plain services, retried within a deadline and a budget."""

import msgspec
from result import Err
from twisted.internet.defer import Deferred

from sesamearch.base.errors import ErrorKind, Problem
from sesamearch.operation.plain import CallFailure
from sesamearch.routing.evidence import Outcome, load_level

__all__ = ["CallRunner", "CallTools", "RetryBudget", "send_call"]

MAX_TRIES = 3
TRY_TIMEOUT_RATIO = 0.5
RETRY_RATIO = 0.1
RETRY_BURST = 10.0
SERVER_ERROR_STATUS = 500


class RetryBudget:
    """Limits retries to a fraction of the first tries, to prevent retry storms.

    Parameters
    ----------
    ratio : float
        Retries allowed for each first try.
    burst : float
        Largest number of unused retries that can accumulate.
    """

    __slots__ = ("_balance", "_burst", "_ratio")

    def __init__(self, ratio=RETRY_RATIO, burst=RETRY_BURST):
        self._ratio = ratio
        self._burst = burst
        self._balance = burst

    def earn(self):
        """Add the retries that a first try allows."""
        self._balance = min(self._burst, self._balance + self._ratio)

    def spend(self):
        """Use one retry; return False if none is available."""
        if self._balance < 1:
            return False
        self._balance -= 1
        return True


class CallTools(msgspec.Struct, frozen=True):
    """Dependencies that all calls of a router share.

    Parameters
    ----------
    client : PlainClient
    placement : Placement
    clock : twisted.internet.interfaces.IReactorTime
        Must return Unix time, as the reactor does.
    outcomes : object with ``note(outcome)``
        Receives the :class:`~sesamearch.routing.evidence.Outcome` of each call sent.
    """

    client: object
    placement: object
    clock: object
    outcomes: object


async def send_call(tools, endpoint, request, timeout_s):
    """Send a call once, and update the placement and the evidence.

    Parameters
    ----------
    tools : CallTools
    endpoint : Endpoint
    request : PlainRequest
    timeout_s : float

    Returns
    -------
    result.Result[PlainReply, CallFailure]
    """
    placement, begun_s = tools.placement, tools.clock.seconds()
    load = load_level(placement.in_flight(endpoint))
    placement.started(endpoint)
    result = await tools.client.call(endpoint, request, timeout_s)
    placement.ended(endpoint)
    if result.is_err():
        placement.failed(endpoint)
    else:
        placement.succeeded(endpoint)
    if result.err() is not CallFailure.REFUSED:
        is_error = result.is_err() or result.unwrap().status >= SERVER_ERROR_STATUS
        elapsed_s = None if is_error else tools.clock.seconds() - begun_s
        outcome = Outcome(
            endpoint.service,
            endpoint.version,
            request.route,
            load,
            is_error,
            first_token_s=elapsed_s,
        )
        tools.outcomes.note(outcome)
    return result


class CallRunner:
    """Runs idempotent calls.

    Parameters
    ----------
    tools : CallTools
    """

    __slots__ = ("_budget", "_tools")

    def __init__(self, tools):
        self._budget = RetryBudget()
        self._tools = tools

    def run(self, service, version, request, deadline_s):
        """Run a call, with retries at other endpoints within the deadline and budget.

        Parameters
        ----------
        service : PlainService
        version : str
        request : PlainRequest
        deadline_s : float
            Unix time, on the clock of `tools`.

        Returns
        -------
        Deferred of result.Result[PlainReply, Problem]
        """
        return Deferred.fromCoroutine(self._run(service, version, request, deadline_s))

    async def _run(self, service, version, request, deadline_s):
        self._budget.earn()
        tried, problem = set(), Problem(ErrorKind.NO_ENDPOINT, service.service)
        for number in range(MAX_TRIES):
            remaining_s = deadline_s - self._tools.clock.seconds()
            endpoint = self._tools.placement.choose(service.service, version, tried)
            if remaining_s <= 0 or endpoint is None:
                break
            if number and not self._budget.spend():
                break
            tried.add(endpoint.name)
            # A try gets half of the remaining time, to leave time for a retry.
            is_last = number == MAX_TRIES - 1
            timeout_s = remaining_s if is_last else remaining_s * TRY_TIMEOUT_RATIO
            result = await send_call(self._tools, endpoint, request, timeout_s)
            if result.is_ok():
                return result
            if result.unwrap_err() is CallFailure.LOST:
                problem = Problem(ErrorKind.ENDPOINT_LOST, service.service)
        return Err(problem)
