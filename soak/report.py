"""Report of one run."""

from collections import Counter

import msgspec

from soak.caller import RequestKind
from soak.promise import Violation

__all__ = ["Report", "make_report"]


class Report(msgspec.Struct):
    """Results of one run.

    Parameters
    ----------
    seed : int
    requests, served : int
        All requests, and those with a complete response of status 200.
    drafts, drafts_served : int
        The generations among these.
    faults, checks : dict from str to int
        Number of faults by kind, and of checks by promise.
    statuses : dict from str to int
        Number of requests by kind and status, or by kind and ``cut`` if the response
        was not complete.
    violations : list of Violation
    own_lags : int
        How often the soak process itself lagged; time bounds were not checked then.
    """

    seed: int
    requests: int
    served: int
    drafts: int
    drafts_served: int
    faults: dict[str, int]
    checks: dict[str, int]
    statuses: dict[str, int]
    violations: list[Violation]
    own_lags: int = 0


def make_report(plan, history, violations, own_lags):
    """Build the report of a run.

    Parameters
    ----------
    plan : soak.plan.FaultPlan
    history : soak.promise.History
    violations : list of Violation
    own_lags : int

    Returns
    -------
    Report
    """
    attempts = history.attempts.values()
    served = [each for each in attempts if each.is_whole and each.status == 200]
    drafts = [each for each in attempts if each.kind is RequestKind.DRAFT]
    drafts_served = [each for each in served if each.kind is RequestKind.DRAFT]
    statuses = Counter(
        f"{each.kind.value} {each.status if each.is_whole else 'cut'}"
        for each in attempts
    )
    return Report(
        plan.seed,
        len(attempts),
        len(served),
        len(drafts),
        len(drafts_served),
        Counter(fault.kind.value for fault in plan.faults),
        history.checks,
        statuses,
        violations,
        own_lags,
    )
