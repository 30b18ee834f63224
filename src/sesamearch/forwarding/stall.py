"""Stall detection for engines, by the gaps between events or by probes."""

__all__ = ["PROBE_INTERVAL_S", "RESUME_PROBE_DELAY_S", "EventTiming", "StallDetector"]

# A running engine stalls when it is silent for a share of the pause that callers
# accept, but for no less than a multiple of its mean gap between events. Where that
# multiple is within the accepted pause, the limit leaves time to resume within it.
STALL_GOAL_RATIO = 0.5
STALL_GAPS = 5.0
MAX_STALL_GOAL_RATIO = 0.6
# Each stall doubles the limit, since a generation that is slow on every engine would
# otherwise use up its attempts. A longer pause is a stall in any case.
MAX_STALL_S = 2.0
# After so many events without a stall, the mean gap tells how slow the engine is, and
# the next stall is judged like the first.
EVENTS_TO_RECOVER = 8
GAP_SMOOTHING = 0.1
# An engine sends nothing while it reads a prompt, so it is probed.
PROBE_INTERVAL_S = 0.5
# An engine that has answered is probed less and less often, since each probe costs a
# connection. It is probed at once when another request or router suspects it.
MAX_PROBE_INTERVAL_S = 2.0
PROBE_TIMEOUT_S = 0.3
RESUME_PROBE_DELAY_S = 0.2


class EventTiming:
    """Arrival times of a generation's events.

    Attributes
    ----------
    last_s : float or None
        Arrival of the last event.
    mean_gap_s : float
        Smoothed gap between events; zero before the second one.
    events : int
        Number of events.
    """

    __slots__ = ("events", "last_s", "mean_gap_s")

    def __init__(self):
        self.last_s = None
        self.mean_gap_s = 0.0
        self.events = 0

    def note(self, count, now_s):
        """Record `count` events that arrived together."""
        if self.last_s is not None:
            gap_s = (now_s - self.last_s) / count
            self.mean_gap_s += GAP_SMOOTHING * (gap_s - self.mean_gap_s)
        self.last_s = now_s
        self.events += count

    def has_event_of(self, attempt):
        """Return whether an event arrived since a try was sent."""
        return self.last_s is not None and self.last_s > attempt.sent_s


class StallDetector:
    """Detects a stall of the engine that runs a generation.

    Parameters
    ----------
    tools : ForwardTools
    gap_goal_s : float
        Longest pause that callers accept.
    timing : EventTiming
    is_current : callable
        Returns whether a :class:`Try` is still in use.
    suspect : callable
        Called with a silent :class:`Try` and the cause, again for each failed probe.
    trust : callable
        Called with a :class:`Try` whose engine answered a probe.
    """

    __slots__ = (
        "_doubted_due_s",
        "_events_at_stall",
        "_gap_goal_s",
        "_is_current",
        "_is_probing",
        "_paused_s",
        "_probe_due_s",
        "_probes_answered",
        "_stalls",
        "_suspect",
        "_timing",
        "_tools",
        "_trust",
    )

    def __init__(self, tools, gap_goal_s, timing, is_current, suspect, trust):
        self._tools = tools
        self._gap_goal_s = gap_goal_s
        self._timing = timing
        self._is_current = is_current
        self._suspect = suspect
        self._trust = trust
        self._paused_s = 0.0
        self._probe_due_s = 0.0
        self._doubted_due_s = 0.0
        self._probes_answered = 0
        self._is_probing = False
        self._stalls = 0
        self._events_at_stall = 0

    def schedule_probe(self, delay_s):
        """Schedule the first probe of a new try."""
        self._probe_due_s = self._doubted_due_s = self._tools.clock.seconds() + delay_s
        self._probes_answered = 0

    def check(self, attempt):
        """Check an engine for a stall; suspect the try or send a probe if needed.

        Not called while a try is suspected that had an event.

        Parameters
        ----------
        attempt : Try

        Returns
        -------
        bool
            Whether the engine sends events without a stall.
        """
        now_s = self._tools.clock.seconds()
        if attempt.is_paused:
            # Nothing is read for a slow caller, whatever the engine sends.
            self._paused_s = now_s
            return True
        if attempt.answer is not None and self._timing.has_event_of(attempt):
            if self._timing.events - self._events_at_stall >= EVENTS_TO_RECOVER:
                self._stalls = 0
            silent_s = now_s - max(self._timing.last_s, self._paused_s)
            if silent_s <= self._stall_s():
                return True
            self._stalls += 1
            self._events_at_stall = self._timing.events
            self._suspect(attempt, "stalled")
        elif not self._is_probing and self._is_probe_due(attempt.endpoint):
            if not self._tools.pauses.is_paused(attempt.endpoint):
                self._probe(attempt)
        return False

    def _stall_s(self):
        goal_s = self._gap_goal_s * STALL_GOAL_RATIO
        limit_s = max(goal_s, self._timing.mean_gap_s * STALL_GAPS)
        if limit_s <= self._gap_goal_s:
            limit_s = min(limit_s, self._gap_goal_s * MAX_STALL_GOAL_RATIO)
        return min(limit_s * 2**self._stalls, max(MAX_STALL_S, goal_s))

    def _is_probe_due(self, endpoint):
        now_s = self._tools.clock.seconds()
        if now_s >= self._probe_due_s:
            return True
        return now_s >= self._doubted_due_s and self._is_doubted(endpoint)

    def _is_doubted(self, endpoint):
        """Return whether others suspect an engine, or its data centre."""
        is_down = self._tools.health.is_down(endpoint.name)
        return is_down or self._tools.outages.is_unreachable(endpoint.data_centre)

    def _probe_interval_s(self):
        doublings = max(0, self._probes_answered - 1)
        return min(PROBE_INTERVAL_S * 2**doublings, MAX_PROBE_INTERVAL_S)

    def _probe(self, attempt):
        self._is_probing = True
        self._tools.counters.probes += 1
        answered = attempt.probe(PROBE_TIMEOUT_S)
        answered.addCallback(self._handle_probe, attempt)

    def _handle_probe(self, is_alive, attempt):
        self._is_probing = False
        self._probes_answered = self._probes_answered + 1 if is_alive else 0
        now_s = self._tools.clock.seconds()
        self._probe_due_s = now_s + self._probe_interval_s()
        self._doubted_due_s = now_s + PROBE_INTERVAL_S
        if not self._is_current(attempt) or self._timing.has_event_of(attempt):
            return
        if is_alive is None:
            return
        if is_alive:
            self._trust(attempt)
        else:
            self._suspect(attempt, "silent")
