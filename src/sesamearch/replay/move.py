"""Checks that a version move ends as expected and limits a bad version's traffic."""

from sesamearch.rollout.move import CANARY_SHARE_RATIO, MoveRecord, MoveState
from sesamearch.rollout.move_controller import record_key
from sesamearch.store.store import WatchReceiver

__all__ = ["MoveChecker"]

# Time after a rollback in which the new version may still get work.
ROLLBACK_GRACE_S = 3.0
_NEVER_S = float("inf")


class MoveChecker(WatchReceiver):
    """Follows the record of a move and checks which endpoints were given work.

    Parameters
    ----------
    replay : Replay
    event : TraceMove
    record : MoveRecord
        The record when the move was proposed.
    """

    def __init__(self, replay, event, record):
        self._replay = replay
        self._event = event
        self._record = record
        self._proposed_s = replay.now_s
        self._taken_back_s = None
        self._finished_s = None
        self._max_bad_share_ratio = 0.0

    def watch(self):
        """Start to watch the record."""
        state = self._replay.store.state
        state.watch(record_key(self._event.service), state.revision, self)

    def changed(self, puts, revision):
        """Handle a change of the record."""
        for put in puts:
            self._record = MoveRecord.from_json(put.value)
        now_s, share_ratio = self._replay.now_s, self._record.share_ratio
        if self._record.state is MoveState.TAKEN_BACK:
            self._taken_back_s = now_s
        elif self._record.state is MoveState.FINISHED:
            self._finished_s = now_s
        if self._bad_from_s() <= now_s:
            previous_max = self._max_bad_share_ratio
            self._max_bad_share_ratio = max(previous_max, share_ratio)

    def ended(self):
        """Watch again: a store outage affects the routers, but not this check."""
        self._replay.clock.callLater(0, self.watch)

    def _new_endpoints(self):
        return [
            endpoint
            for endpoint in self._replay.header.endpoints
            if endpoint.version == self._event.new_version
            and endpoint.service == self._event.service
        ]

    def _bad_from_s(self):
        bad_from_s = [
            self._replay.start_unix_s + endpoint.bad_from_s
            for endpoint in self._new_endpoints()
            if endpoint.error_ratio
        ]
        return min(bad_from_s, default=_NEVER_S)

    def check_outcome(self, results):
        """Compare the end of the move and its traffic with what the trace expects."""
        state, expected = self._record.state, self._event.outcome
        name = f"{self._event.service} to {self._event.new_version}"
        is_bad = self._bad_from_s() < _NEVER_S
        results.note_move(is_bad, state, self._is_in_time())
        if expected not in ("any", state.value):
            results.add_violation(
                "bad_version_share", f"{name}: {state.value} ({self._record.reason})"
            )
        was_bad_at_once = self._bad_from_s() <= self._proposed_s
        if was_bad_at_once and self._max_bad_share_ratio > CANARY_SHARE_RATIO:
            share = f"{self._max_bad_share_ratio:.0%}"
            results.add_violation("bad_version_share", f"{name}: share {share}")
        if is_bad and self._taken_back_s is not None:
            self._check_late_starts(results, name)

    def _is_in_time(self):
        deadline_s = self._proposed_s + self._event.deadline_in_s
        return self._finished_s is not None and self._finished_s <= deadline_s

    def _check_late_starts(self, results, name):
        for endpoint in self._new_endpoints():
            for start_s in self._replay.start_times_of(endpoint.name):
                if start_s > self._taken_back_s + ROLLBACK_GRACE_S:
                    results.add_violation(
                        "bad_version_share", f"{name}: work after the rollback"
                    )
