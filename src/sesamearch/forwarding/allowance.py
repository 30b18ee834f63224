"""How often and how soon a generation may be sent to engines."""

__all__ = ["SendAllowance"]

# Sends without a pause at first, failed connections not included, and after each pause.
MAX_FIRST_SENDS = 8
MAX_LATER_SENDS = 2
# Failed connections cause no work at an engine, so that many may be retried for free.
MAX_FREE_FAILED_CONNECTIONS = 40
# Engines that may be lost under one request before its first event, and those among
# them that had begun to write, so that the request is a likely cause.
MAX_ENGINES_LOST = 8
MAX_ENGINES_LOST_WRITING = 5
# After so many lost engines, there is a pause before each further send, in which other
# routers may find that the prompt ends engines.
MAX_ENGINES_LOST_AT_ONCE = 3
ENGINE_LOST_PAUSE_S = 0.6
MIN_PAUSE_S = 0.05
MAX_PAUSE_S = 0.8


class SendAllowance:
    """Limits the runs of a generation, paces its sends and pays for its retries.

    Parameters
    ----------
    max_runs : int
        Number of engines that one request may run at.
    spend_retry : callable
        Takes a retry from the budget; returns whether one was left, and logs it if not.
    spend_retry_again : callable
        The same, without a log line.

    Attributes
    ----------
    runs : int
        Number of sends that an engine may have run.
    """

    __slots__ = (
        "_engines_lost",
        "_engines_lost_writing",
        "_failed_connections",
        "_is_denied",
        "_is_paid",
        "_max_runs",
        "_pauses",
        "_sends",
        "_spend_retry",
        "_spend_retry_again",
        "_without_event",
        "runs",
    )

    def __init__(self, max_runs, spend_retry, spend_retry_again):
        self._max_runs = max_runs
        self._spend_retry = spend_retry
        self._spend_retry_again = spend_retry_again
        # The first send is no retry.
        self._is_paid = True
        self._is_denied = False
        self._sends = 0
        self._failed_connections = 0
        self._pauses = 0
        self._without_event = 0
        self._engines_lost = 0
        self._engines_lost_writing = 0
        self.runs = 0

    @property
    def has_runs_left(self):
        """Bool : whether the generation may run at another engine."""
        if self._engines_lost >= MAX_ENGINES_LOST:
            return False
        if self._engines_lost_writing >= MAX_ENGINES_LOST_WRITING:
            return False
        return self.runs - self._without_event < self._max_runs

    @property
    def needs_pause(self):
        """Bool : whether enough was sent in vain since the last pause."""
        if self.has_lost_engines:
            return self._sends > 0
        if self._pauses:
            return self._sends + self._failed_connections >= MAX_LATER_SENDS
        return self._sends >= MAX_FIRST_SENDS

    @property
    def has_lost_engines(self):
        """Bool : whether the request may be the cause of the losses of engines."""
        return self._engines_lost >= MAX_ENGINES_LOST_AT_ONCE

    def pay(self):
        """Return whether the next send is paid for, from the retry budget if needed."""
        if not self._is_paid:
            spend = self._spend_retry_again if self._is_denied else self._spend_retry
            self._is_paid = spend()
            self._is_denied = not self._is_paid
        return self._is_paid

    def note_sent(self):
        """Count a send."""
        self._is_paid = False
        self._sends += 1
        self.runs += 1

    def note_not_run(self):
        """Record that an engine states that it did not run the last send."""
        self.runs -= 1

    def note_no_event(self):
        """Record that the last send was lost before its first event.

        An engine may have read the prompt, but a generation runs from its first event.
        """
        self._without_event += 1

    def note_engine_lost(self, was_writing):
        """Record that the engine was lost, perhaps under this generation.

        Parameters
        ----------
        was_writing : bool
            Whether it had just begun to write the answer.
        """
        self._engines_lost += 1
        self._engines_lost_writing += was_writing

    def note_not_connected(self):
        """Record that the last send reached no engine; the next one is free again."""
        self._sends -= 1
        self._failed_connections += 1
        self._is_paid = self._failed_connections < MAX_FREE_FAILED_CONNECTIONS
        self.runs -= 1

    def note_event(self):
        """Record that an engine goes on with the generation."""
        self._sends = 0
        self._failed_connections = 0
        self._pauses = 0
        self._engines_lost = 0
        self._engines_lost_writing = 0

    def begin_pause(self):
        """Return the length of the pause that begins now, longer than the last one."""
        pause_s = min(MIN_PAUSE_S * 2**self._pauses, MAX_PAUSE_S)
        if self.has_lost_engines:
            pause_s = max(pause_s, ENGINE_LOST_PAUSE_S)
        self._pauses += 1
        self._sends = 0
        self._failed_connections = 0
        return pause_s
