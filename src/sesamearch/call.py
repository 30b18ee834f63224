"""Idempotent calls of plain services: repeated within a deadline and a budget."""

from result import Err
from twisted.internet.defer import Deferred

from sesamearch.errors import ErrorKind, Problem
from sesamearch.plain import CallLoss

__all__ = ["CallRunner", "RetryBudget", "send_call"]

MAX_TRIES = 3
TRY_SHARE_RATIO = 0.5
RETRY_RATIO = 0.1
RETRY_BURST = 10.0


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


async def send_call(client, placement, endpoint, request, timeout_s):
    """Send one call once and keep the placement's counts.

    Returns
    -------
    result.Result[PlainReply, CallLoss]
    """
    placement.started(endpoint)
    result = await client.call(endpoint, request, timeout_s)
    placement.ended(endpoint)
    if result.is_err():
        placement.failed(endpoint)
    else:
        placement.worked(endpoint)
    return result


class CallRunner:
    """Run calls that may be repeated.

    Parameters
    ----------
    client : PlainClient
    placement : Placement
    clock : twisted.internet.interfaces.IReactorTime
    """

    __slots__ = ("_budget", "_client", "_clock", "_placement")

    def __init__(self, client, placement, clock):
        self._budget = RetryBudget()
        self._client = client
        self._clock = clock
        self._placement = placement

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
            left_s = deadline_s - self._clock.seconds()
            endpoint = self._placement.choose(service.service, version, tried)
            if left_s <= 0 or endpoint is None:
                break
            if number and not self._budget.spend():
                break
            tried.add(endpoint.name)
            # Each try leaves half of what remains for the next one.
            is_last = number == MAX_TRIES - 1
            timeout_s = left_s if is_last else left_s * TRY_SHARE_RATIO
            result = await send_call(
                self._client, self._placement, endpoint, request, timeout_s
            )
            if result.is_ok():
                return result
            if result.unwrap_err() is CallLoss.LOST:
                problem = Problem(ErrorKind.ENDPOINT_LOST, service.service)
        return Err(problem)
