"""Deadlines of one request: when its answer must begin, and when it must end."""

import msgspec

from sesamearch.routing.table import RouteKind

__all__ = ["Deadlines", "answer_margin_s", "deadlines_of", "patience_s"]

# An answer takes time to reach its caller, whose clock also started before the request
# arrived here. The margin is this share of the caller's time, up to a maximum.
ANSWER_MARGIN_RATIO = 0.1
MAX_ANSWER_MARGIN_S = 0.1
# A caller abandons a generation that pauses for longer than the longest of these, also
# before its first event.
MIN_PATIENCE_S = 2.0
PATIENCE_LATENCY_GOALS = 4.0
PATIENCE_GAP_GOALS = 8.0
# A caller with less time cannot get an answer from an endpoint.
MIN_TRY_S = 0.002


class Deadlines(msgspec.Struct, frozen=True):
    """Deadlines of one request, on this process's clock.

    Parameters
    ----------
    answer_by_s : float
        Time by which the head of the final answer is sent, early enough for the caller
        to hear it.
    end_by_s : float
        Time by which an answer whose head was sent must end.
    """

    answer_by_s: float
    end_by_s: float


def answer_margin_s(caller_s):
    """Return how long before its deadline a caller with `caller_s` is answered."""
    return min(MAX_ANSWER_MARGIN_S, caller_s * ANSWER_MARGIN_RATIO)


def patience_s(route):
    """Return the pause after which a caller of a route abandons a generation."""
    return max(
        MIN_PATIENCE_S,
        route.latency_goal_s * PATIENCE_LATENCY_GOALS,
        route.gap_goal_s * PATIENCE_GAP_GOALS,
    )


def deadlines_of(request, route):
    """Return the :class:`Deadlines` of a request.

    Parameters
    ----------
    request : CallerRequest
    route : Route
        No margin shortens its timeout.
    """
    leaves_s = request.deadline_s
    if route.kind is RouteKind.GENERATION:
        leaves_s = min(leaves_s, request.received_s + patience_s(route))
    caller_s = max(0.0, leaves_s - request.received_s)
    timed_out_s = request.received_s + route.timeout_s
    return Deadlines(
        answer_by_s=min(leaves_s - answer_margin_s(caller_s), timed_out_s),
        end_by_s=min(request.deadline_s, timed_out_s),
    )
