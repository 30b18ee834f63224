"""Moves between versions: stored record, state machine, and schedule of shares."""

import enum
from typing import Literal, Protocol

import msgspec
from automat import TypeMachineBuilder

from sesamearch.store.store import StoredValue

__all__ = [
    "MoveDecision",
    "MovePlan",
    "MoveRecord",
    "MoveState",
    "choose_version_by_move",
    "plan_lines",
]

CANARY_SHARE_RATIO = 0.05
MIN_NEW_REQUESTS = 50
# Pairs of a point in time, as a part of the time from start to deadline, and the share
# of new requests that is due then.
SHARE_STEPS = ((0.4, 0.10), (0.5, 0.25), (0.6, 0.5), (0.75, 1.0))
FINISH_AT_RATIO = 0.95
# A finished move is still monitored, and can be taken back, for this long.
POST_FINISH_WATCH_S = 300.0


class MoveState(enum.Enum):
    """State of a move; the last two are final."""

    PROPOSED = "proposed"
    CANARY = "canary"
    WIDENING = "widening"
    BAKING = "baking"
    FINISHED = "finished"
    TAKEN_BACK = "taken_back"

    @property
    def is_final(self):
        """Bool : whether the move has ended."""
        return self in (MoveState.FINISHED, MoveState.TAKEN_BACK)


class MoveRecord(StoredValue, frozen=True):
    """One move, as stored.

    Parameters
    ----------
    move_id, service, old_version, new_version, operator : str
    state : MoveState
    share_ratio : float
        Share of new requests that go to the new version.
    started_s, deadline_s : float
        Unix time.
    if_thin : str
        How to end a move with too few requests: ``finish`` or ``take_back``.
    reason : str
        Reason for which the move ended.
    """

    move_id: str
    service: str
    old_version: str
    new_version: str
    operator: str
    state: MoveState
    share_ratio: float
    started_s: float
    deadline_s: float
    if_thin: Literal["finish", "take_back"] = "take_back"
    reason: str = ""

    def to_text(self):
        """Return the move as one line of text."""
        share = f"{self.share_ratio:.0%} of new requests"
        move = f"{self.service}: {self.old_version} -> {self.new_version}"
        reason = f" ({self.reason})" if self.reason else ""
        return f"{move}  {self.state.value}  {share}  by {self.operator}{reason}"

    def is_over(self, now_s):
        """Return whether the move has ended and is no longer monitored."""
        if self.state is MoveState.FINISHED:
            return now_s >= self.deadline_s + POST_FINISH_WATCH_S
        return self.state is MoveState.TAKEN_BACK


class _Inputs(Protocol):
    def began(self) -> None:
        """Record that the new version gets its first requests."""

    def widened(self) -> None:
        """Record that the new version's share was raised."""

    def reached_full_share(self) -> None:
        """Record that all new requests go to the new version."""

    def finished(self) -> None:
        """Record that the move ended with the new version."""

    def taken_back(self) -> None:
        """Record that the move ended with the old version."""


def _build_machine():
    builder = TypeMachineBuilder(_Inputs, _Lifecycle)
    states = {state: builder.state(state.value) for state in MoveState}
    proposed, canary = states[MoveState.PROPOSED], states[MoveState.CANARY]
    widening, baking = states[MoveState.WIDENING], states[MoveState.BAKING]

    def connect(source, step, target):
        @source.upon(step).to(states[target])
        def enter(inputs, lifecycle):
            lifecycle.state = target

    connect(proposed, _Inputs.began, MoveState.CANARY)
    connect(canary, _Inputs.widened, MoveState.WIDENING)
    widening.upon(_Inputs.widened).loop().returns(None)
    connect(widening, _Inputs.reached_full_share, MoveState.BAKING)
    connect(baking, _Inputs.finished, MoveState.FINISHED)
    for source in (canary, widening):
        connect(source, _Inputs.finished, MoveState.FINISHED)
    finished = states[MoveState.FINISHED]
    for source in (proposed, canary, widening, baking, finished):
        connect(source, _Inputs.taken_back, MoveState.TAKEN_BACK)
    return builder, states


class _Lifecycle:
    """Holds the current state of the state machine."""

    def __init__(self, state):
        self.state = state


_builder, _states = _build_machine()
_machine = _builder.build()


class MoveDecision(msgspec.Struct, frozen=True):
    """The next step of a move.

    Parameters
    ----------
    step : str
        Name of the state machine's input.
    share_ratio : float
        Share of new requests for the new version after the step.
    reason : str
        Reason for the step, shown to operators.
    """

    step: str
    share_ratio: float
    reason: str = ""


class MovePlan:
    """Decides the steps of one move from its deadline and the evidence.

    Parameters
    ----------
    record : MoveRecord
    """

    __slots__ = ("record",)

    def __init__(self, record):
        self.record = record

    def _elapsed_ratio(self, now_s):
        record = self.record
        return (now_s - record.started_s) / (record.deadline_s - record.started_s)

    def decide(self, now_s, new_requests, alarm):
        """Decide the next step.

        Parameters
        ----------
        now_s : float
            Unix time.
        new_requests : int
            Requests of the new version in the evidence so far.
        alarm : detector.Alarm or None
            Set if the new version was found bad.

        Returns
        -------
        MoveDecision or None
        """
        state = self.record.state
        if self.record.is_over(now_s):
            return None
        if alarm is not None:
            return MoveDecision("taken_back", 0.0, alarm.to_text())
        if state is MoveState.FINISHED:
            return None
        if state is MoveState.PROPOSED:
            return MoveDecision("began", CANARY_SHARE_RATIO)
        elapsed_ratio = self._elapsed_ratio(now_s)
        if new_requests < MIN_NEW_REQUESTS:
            return self._end_with_few_requests(elapsed_ratio, new_requests)
        if state is MoveState.BAKING:
            done = elapsed_ratio >= FINISH_AT_RATIO
            reason = "no fault found"
            return MoveDecision("finished", 1.0, reason) if done else None
        return self._next_share(elapsed_ratio)

    def _end_with_few_requests(self, elapsed_ratio, new_requests):
        if elapsed_ratio < FINISH_AT_RATIO:
            return None
        reason = f"only {new_requests} requests by the deadline"
        if self.record.if_thin == "finish":
            return MoveDecision("finished", 1.0, reason)
        return MoveDecision("taken_back", 0.0, reason)

    def _next_share(self, elapsed_ratio):
        # One step at a time, so that there is evidence at each share before the next.
        for at_ratio, share_ratio in SHARE_STEPS:
            if share_ratio > self.record.share_ratio:
                if elapsed_ratio < at_ratio:
                    return None
                if share_ratio == 1.0 and self.record.state is MoveState.WIDENING:
                    return MoveDecision("reached_full_share", 1.0)
                return MoveDecision("widened", share_ratio)
        return None

    def apply(self, decision):
        """Return the record after a :class:`MoveDecision`.

        Raises
        ------
        automat.NoTransition
            If the record's state does not allow the step.
        """
        lifecycle = _Lifecycle(self.record.state)
        machine = _machine(lifecycle, _states[self.record.state])
        getattr(machine, decision.step)()
        return msgspec.structs.replace(
            self.record,
            state=lifecycle.state,
            share_ratio=decision.share_ratio,
            reason=decision.reason or self.record.reason,
        )


def plan_lines(record):
    """Return the schedule of a move as lines of text for an operator."""
    span_s = record.deadline_s - record.started_s
    steps = [(0.0, CANARY_SHARE_RATIO), *SHARE_STEPS]
    lines = [f"{record.service}: {record.old_version} -> {record.new_version}"]
    lines += [
        f"  after {at_ratio * span_s:.0f} s: {share_ratio:.0%} of new requests"
        for at_ratio, share_ratio in steps
    ]
    lines.append(f"  after {FINISH_AT_RATIO * span_s:.0f} s: finished")
    lines.append("taken back at once if the evidence shows a bad new version;")
    thin = record.if_thin.replace("_", " ")
    lines.append(f"with fewer than {MIN_NEW_REQUESTS} requests by then: {thin}")
    return lines


def choose_version_by_move(record, hash_ratio, is_vetoed):
    """Choose a version for a request of a service that has or had a move.

    Parameters
    ----------
    record : MoveRecord
    hash_ratio : float
        Hash of the request ID or idempotency key, scaled to [0, 1).
    is_vetoed : bool
        Whether this router or a peer has vetoed the new version.

    Returns
    -------
    str
        Name of a version. Once a request is sent to the new version, a higher share
        does not send it back to the old one.
    """
    share_ratio = 0.0 if is_vetoed else record.share_ratio
    return record.new_version if hash_ratio < share_ratio else record.old_version
