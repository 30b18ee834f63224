"""Endpoints that asked this router to send them nothing for some time."""

import msgspec

from sesamearch.base.log import logger
from sesamearch.base.record import EndpointPaused
from sesamearch.configuration.blackboard import Incarnation

__all__ = ["PauseTracker"]

# Callers that are told when a pause ends come back within this share of the wait after
# it, so that they do not all come back at once.
SPREAD_RATIO = 0.5
MIN_SPREAD_S = 0.25
MAX_SPREAD_S = 2.0
# An endpoint that states unusable pauses is logged once in this time.
WARNING_INTERVAL_S = 60.0


class _Pause(msgspec.Struct):
    until_s: float


class PauseTracker:
    """Tracks until when endpoints want nothing from this router.

    The latest end counts. A success does not shorten a pause: its request was sent
    before, and says nothing about new ones. A later process of the same name has no
    pause.

    Parameters
    ----------
    clock : twisted.internet.interfaces.IReactorTime
    counters : ForwardCounters
    rng : random.Random
    """

    __slots__ = ("_clock", "_counters", "_pauses", "_random", "_warned_s")

    def __init__(self, clock, counters, rng):
        self._clock = clock
        self._counters = counters
        self._random = rng
        # By the incarnation of the endpoint.
        self._pauses = {}
        self._warned_s = {}

    def note_answer(self, endpoint, answer):
        """Begin or extend the pause that an answer asks for, if any."""
        incarnation = answer.incarnation_at(endpoint)
        if incarnation is None:
            return
        if answer.unusable_pause:
            self._warn(incarnation, answer)
        if answer.pause_s > 0:
            self._extend(incarnation, self._clock.seconds() + answer.pause_s)

    def _extend(self, incarnation, until_s):
        pause = self._pauses.get(incarnation)
        if pause is not None and self._is_running(pause):
            pause.until_s = max(pause.until_s, until_s)
            return
        self._pauses[incarnation] = _Pause(until_s)
        self._counters.pauses += 1
        for_ms = round((until_s - self._clock.seconds()) * 1000)
        logger.info(EndpointPaused(incarnation.name, "paused", for_ms))

    def _warn(self, incarnation, answer):
        now_s = self._clock.seconds()
        warned_s = self._warned_s.get(incarnation, float("-inf"))
        if now_s - warned_s < WARNING_INTERVAL_S:
            return
        self._warned_s[incarnation] = now_s
        logger.warning(
            "pause that an endpoint stated was bounded endpoint={} stated={!r} s={}",
            incarnation.name,
            answer.unusable_pause,
            answer.pause_s,
        )

    def _is_running(self, pause):
        return self._clock.seconds() < pause.until_s

    def is_paused(self, endpoint):
        """Return whether an endpoint wants nothing from this router at present."""
        return self._until_s(endpoint) > self._clock.seconds()

    def _until_s(self, endpoint):
        if not self._pauses:
            return float("-inf")
        # A pause without a start time is of any process of the name.
        unknown = Incarnation(endpoint.name, 0)
        pauses = map(self._pauses.get, (endpoint.incarnation, unknown))
        return max((p.until_s for p in pauses if p is not None), default=float("-inf"))

    def wait_s(self, endpoints):
        """Return how long to wait for the first of some endpoints if all are paused.

        Parameters
        ----------
        endpoints : list of Endpoint

        Returns
        -------
        float
            Time until the first pause has ended, and a random part; zero if an endpoint
            is not paused, or without endpoints.
        """
        if not endpoints or not self._pauses:
            return 0.0
        wait_s = min(map(self._until_s, endpoints)) - self._clock.seconds()
        if wait_s <= 0:
            return 0.0
        spread_s = min(max(wait_s * SPREAD_RATIO, MIN_SPREAD_S), MAX_SPREAD_S)
        return wait_s + self._random.uniform(0.0, spread_s)

    def drop_expired(self):
        """Drop the pauses that have ended; called at intervals."""
        for incarnation, pause in list(self._pauses.items()):
            if not self._is_running(pause):
                del self._pauses[incarnation]
                logger.info(EndpointPaused(incarnation.name, "ended"))
        oldest_s = self._clock.seconds() - WARNING_INTERVAL_S
        self._warned_s = {i: s for i, s in self._warned_s.items() if s > oldest_s}
