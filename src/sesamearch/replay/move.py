"""Judging a version move of a replay."""

from sesamearch.rollout.move import CANARY_SHARE_RATIO, MoveRecord, MoveState
from sesamearch.rollout.move_controller import record_key
from sesamearch.store.store import WatchReceiver

__all__ = ["MoveJudge"]

NO_TRAFFIC_BOUND_S = 3.0
_NEVER_S = float("inf")


class MoveJudge(WatchReceiver):
    """Follows a move's record and looks at who got work.

    Parameters
    ----------
    world : Replay
    event : TraceMove
    record : MoveRecord
        As it was proposed.
    """

    def __init__(self, world, event, record):
        self._world = world
        self._event = event
        self._record = record
        self._begun_s = world.now_s
        self._called_s = None
        self._finished_s = None
        self._share_with_fault_ratio = 0.0

    def watch(self):
        """Begin to follow the record."""
        state = self._world.store.state
        state.watch(record_key(self._event.service), state.revision, self)

    def changed(self, puts, revision):
        """Take a change of the record."""
        for put in puts:
            self._record = MoveRecord.from_json(put.value)
        now_s, share_ratio = self._world.now_s, self._record.share_ratio
        if self._record.state is MoveState.TAKEN_BACK:
            self._called_s = now_s
        elif self._record.state is MoveState.FINISHED:
            self._finished_s = now_s
        if self._bad_from_s() <= now_s:
            known = self._share_with_fault_ratio
            self._share_with_fault_ratio = max(known, share_ratio)

    def ended(self):
        """Go on: an outage hides the store from routers, not from the judge."""
        self._world.clock.callLater(0, self.watch)

    def _new_endpoints(self):
        return [
            endpoint
            for endpoint in self._world.header.endpoints
            if endpoint.version == self._event.new_version
            and endpoint.service == self._event.service
        ]

    def _bad_from_s(self):
        begins_s = [
            self._world.begun_s + endpoint.bad_from_s
            for endpoint in self._new_endpoints()
            if endpoint.error_ratio
        ]
        return min(begins_s, default=_NEVER_S)

    def judge(self, verdict):
        """Compare the move with what the trace states."""
        state, wanted = self._record.state, self._event.outcome
        name = f"{self._event.service} to {self._event.new_version}"
        is_bad = self._bad_from_s() < _NEVER_S
        verdict.note_move(is_bad, state, self._is_in_time())
        if wanted not in ("any", state.value):
            verdict.violate(
                "bad_version_share", f"{name}: {state.value} ({self._record.reason})"
            )
        was_bad_at_once = self._bad_from_s() <= self._begun_s
        if was_bad_at_once and self._share_with_fault_ratio > CANARY_SHARE_RATIO:
            share = f"{self._share_with_fault_ratio:.0%}"
            verdict.violate("bad_version_share", f"{name}: share {share}")
        if is_bad and self._called_s is not None:
            self._judge_late_starts(verdict, name)

    def _is_in_time(self):
        deadline_s = self._begun_s + self._event.deadline_in_s
        return self._finished_s is not None and self._finished_s <= deadline_s

    def _judge_late_starts(self, verdict, name):
        for endpoint in self._new_endpoints():
            for start_s in self._world.starts_of(endpoint.name):
                if start_s > self._called_s + NO_TRAFFIC_BOUND_S:
                    verdict.violate("bad_version_share", f"{name}: work after the call")
