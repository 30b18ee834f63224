"""Idempotent calls of plain services: repeated within a deadline and a budget."""

import msgspec
from result import Err
from twisted.internet.defer import Deferred

from sesamearch.base.errors import ErrorKind, Problem
from sesamearch.operation.plain import CallFailure
from sesamearch.routing.evidence import Outcome, load_level

__all__ = ["CallRunner", "CallTools", "RetryBudget", "send_call"]

MAX_TRIES = 3
TRY_SHARE_RATIO = 0.5
RETRY_RATIO = 0.1
RETRY_BURST = 10.0
SERVER_ERROR_STATUS = 500


class RetryBudget:
    """Bound retries to a share of first tries, so that they cannot pile up.

    Parameters
    ----------
    ratio : float
        Retries allowed for each first try.
    burst : float
        Retries that can be saved up.
    """

    __slots__ = ("_burst", "_ratio", "_saved")

    def __init__(self, ratio=RETRY_RATIO, burst=RETRY_BURST):
        self._ratio = ratio
        self._burst = burst
        self._saved = burst

    def earn(self):
        """Count a first try."""
        self._saved = min(self._burst, self._saved + self._ratio)

    def spend(self):
        """Take one retry; return whether there was one."""
        if self._saved < 1:
            return False
        self._saved -= 1
        return True


class CallTools(msgspec.Struct, frozen=True):
    """What every call of a router works with.

    Parameters
    ----------
    client : PlainClient
    placement : Placement
    clock : twisted.internet.interfaces.IReactorTime
        Reads Unix time, as the reactor's does.
    outcomes : object with ``note(outcome)``
        Takes the :class:`~sesamearch.routing.evidence.Outcome` of each call sent.
    """

    client: object
    placement: object
    clock: object
    outcomes: object


async def send_call(tools, endpoint, request, timeout_s):
    """Send one call once, and keep the placement's counts and the evidence.

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
        placement.worked(endpoint)
    if result.err() is not CallFailure.REFUSED:
        is_error = result.is_err() or result.unwrap().status >= SERVER_ERROR_STATUS
        taken_s = None if is_error else tools.clock.seconds() - begun_s
        outcome = Outcome(
            endpoint.service,
            endpoint.version,
            request.route,
            load,
            is_error,
            first_token_s=taken_s,
        )
        tools.outcomes.note(outcome)
    return result


class CallRunner:
    """Run calls that may be repeated.

    Parameters
    ----------
    tools : CallTools
    """

    __slots__ = ("_budget", "_tools")

    def __init__(self, tools):
        self._budget = RetryBudget()
        self._tools = tools

    def run(self, service, version, request, deadline_s):
        """Run a call, repeating it elsewhere while time and budget last.

        Parameters
        ----------
        service : PlainService
        version : str
        request : PlainRequest
        deadline_s : float
            On the process's clock.

        Returns
        -------
        Deferred of result.Result[PlainReply, Problem]
        """
        return Deferred.fromCoroutine(self._run(service, version, request, deadline_s))

    async def _run(self, service, version, request, deadline_s):
        self._budget.earn()
        tried, problem = set(), Problem(ErrorKind.NO_ENDPOINT, service.service)
        for number in range(MAX_TRIES):
            left_s = deadline_s - self._tools.clock.seconds()
            endpoint = self._tools.placement.choose(service.service, version, tried)
            if left_s <= 0 or endpoint is None:
                break
            if number and not self._budget.spend():
                break
            tried.add(endpoint.name)
            # Each try leaves half of what remains for the next one.
            is_last = number == MAX_TRIES - 1
            timeout_s = left_s if is_last else left_s * TRY_SHARE_RATIO
            result = await send_call(self._tools, endpoint, request, timeout_s)
            if result.is_ok():
                return result
            if result.unwrap_err() is CallFailure.LOST:
                problem = Problem(ErrorKind.ENDPOINT_LOST, service.service)
        return Err(problem)
