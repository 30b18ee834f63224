"""Moves between versions: a record, its life, and when its share changes."""

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
MIN_REQUESTS = 50
# Part of the time from start to deadline at which a share is reached.
STEPS = ((0.4, 0.10), (0.5, 0.25), (0.6, 0.5), (0.75, 1.0))
FINISH_AT_RATIO = 0.95
# How long a finished move is still watched and can go back.
POST_FINISH_WATCH_S = 300.0


class MoveState(enum.Enum):
    """Life of a move; the last two are final."""

    PROPOSED = "proposed"
    CANARY = "canary"
    WIDENING = "widening"
    BAKING = "baking"
    FINISHED = "finished"
    TAKEN_BACK = "taken_back"

    @property
    def is_final(self):
        """Bool : whether nothing follows."""
        return self in (MoveState.FINISHED, MoveState.TAKEN_BACK)


class MoveRecord(StoredValue, frozen=True):
    """One move as it stands in the store.

    Parameters
    ----------
    move_id, service, old_version, new_version, operator : str
    state : MoveState
    share_ratio : float
        Part of new requests that go to the new version.
    started_s, deadline_s : float
        Unix time.
    if_thin : str
        What to do with too little evidence at the end: ``finish`` or ``take_back``.
    reason : str
        Why it ended as it did.
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

    def show(self):
        """Return the move as one line."""
        share = f"{self.share_ratio:.0%} of new requests"
        move = f"{self.service}: {self.old_version} -> {self.new_version}"
        reason = f" ({self.reason})" if self.reason else ""
        return f"{move}  {self.state.value}  {share}  by {self.operator}{reason}"

    def is_over(self, now_s):
        """Return whether it is final and no longer watched."""
        if self.state is MoveState.FINISHED:
            return now_s >= self.deadline_s + POST_FINISH_WATCH_S
        return self.state is MoveState.TAKEN_BACK


class _Inputs(Protocol):
    def began(self) -> None:
        """Give the new version its first requests."""

    def widened(self) -> None:
        """Raise its share."""

    def took_all(self) -> None:
        """Give it all requests."""

    def finished(self) -> None:
        """End with the new version."""

    def taken_back(self) -> None:
        """End with the old version."""


def _build_machine():
    builder = TypeMachineBuilder(_Inputs, _Life)
    states = {state: builder.state(state.value) for state in MoveState}
    proposed, canary = states[MoveState.PROPOSED], states[MoveState.CANARY]
    widening, baking = states[MoveState.WIDENING], states[MoveState.BAKING]

    def connect(source, step, target):
        @source.upon(step).to(states[target])
        def enter(inputs, life):
            life.state = target

    connect(proposed, _Inputs.began, MoveState.CANARY)
    connect(canary, _Inputs.widened, MoveState.WIDENING)
    widening.upon(_Inputs.widened).loop().returns(None)
    connect(widening, _Inputs.took_all, MoveState.BAKING)
    connect(baking, _Inputs.finished, MoveState.FINISHED)
    for source in (canary, widening):
        connect(source, _Inputs.finished, MoveState.FINISHED)
    finished = states[MoveState.FINISHED]
    for source in (proposed, canary, widening, baking, finished):
        connect(source, _Inputs.taken_back, MoveState.TAKEN_BACK)
    return builder, states


class _Life:
    """Holds the state that the machine is in."""

    def __init__(self, state):
        self.state = state


_builder, _states = _build_machine()
_machine = _builder.build()


class MoveDecision(msgspec.Struct, frozen=True):
    """What a move does next.

    Parameters
    ----------
    step : str
        Name of the machine's input.
    share_ratio : float
    reason : str
    """

    step: str
    share_ratio: float
    reason: str = ""


class MovePlan:
    """Decide the steps of one move from its deadline and its evidence.

    Parameters
    ----------
    record : MoveRecord
    """

    __slots__ = ("record",)

    def __init__(self, record):
        self.record = record

    def _part(self, now_s):
        record = self.record
        return (now_s - record.started_s) / (record.deadline_s - record.started_s)

    def decide(self, now_s, new_requests, call):
        """Decide the next step.

        Parameters
        ----------
        now_s : float
            Unix time.
        new_requests : int
            Requests of the new version that were weighed.
        call : detector.Call or None
            Set if the version was called bad.

        Returns
        -------
        MoveDecision or None
        """
        state = self.record.state
        if self.record.is_over(now_s):
            return None
        if call is not None:
            return MoveDecision("taken_back", 0.0, call.show())
        if state is MoveState.FINISHED:
            return None
        if state is MoveState.PROPOSED:
            return MoveDecision("began", CANARY_SHARE_RATIO)
        part = self._part(now_s)
        if new_requests < MIN_REQUESTS:
            return self._end_thin(part, new_requests)
        if state is MoveState.BAKING:
            done = part >= FINISH_AT_RATIO
            reason = "no fault found"
            return MoveDecision("finished", 1.0, reason) if done else None
        return self._widen(part)

    def _end_thin(self, part, new_requests):
        if part < FINISH_AT_RATIO:
            return None
        reason = f"only {new_requests} requests by the deadline"
        if self.record.if_thin == "finish":
            return MoveDecision("finished", 1.0, reason)
        return MoveDecision("taken_back", 0.0, reason)

    def _widen(self, part):
        # One step at a time, so that each share is weighed before the next.
        for at_ratio, share_ratio in STEPS:
            if share_ratio > self.record.share_ratio:
                if part < at_ratio:
                    return None
                if share_ratio == 1.0 and self.record.state is MoveState.WIDENING:
                    return MoveDecision("took_all", 1.0)
                return MoveDecision("widened", share_ratio)
        return None

    def apply(self, decision):
        """Return the record after a :class:`MoveDecision`.

        Raises
        ------
        automat.NoTransition
            If the record's state does not allow the step.
        """
        life = _Life(self.record.state)
        machine = _machine(life, _states[self.record.state])
        getattr(machine, decision.step)()
        return msgspec.structs.replace(
            self.record,
            state=life.state,
            share_ratio=decision.share_ratio,
            reason=decision.reason or self.record.reason,
        )


def plan_lines(record):
    """Return what a move will do, as lines for an operator."""
    span_s = record.deadline_s - record.started_s
    steps = [(0.0, CANARY_SHARE_RATIO), *STEPS]
    lines = [f"{record.service}: {record.old_version} -> {record.new_version}"]
    lines += [
        f"  after {at_ratio * span_s:.0f} s: {share_ratio:.0%} of new requests"
        for at_ratio, share_ratio in steps
    ]
    lines.append(f"  after {FINISH_AT_RATIO * span_s:.0f} s: finished")
    lines.append("taken back at once when the evidence calls the new version bad;")
    thin = record.if_thin.replace("_", " ")
    lines.append(f"with under {MIN_REQUESTS} requests by then: {thin}")
    return lines


def choose_version_by_move(record, hash_ratio, is_vetoed):
    """Choose a version for a request while a move runs or after it.

    Parameters
    ----------
    record : MoveRecord
    hash_ratio : float
        The request's own fixed point from 0 to 1.
    is_vetoed : bool
        Whether this router or a peer has called the new version bad.

    Returns
    -------
    str
        Name of a version. A request keeps the new one as long as the share rises.
    """
    share_ratio = 0.0 if is_vetoed else record.share_ratio
    return record.new_version if hash_ratio < share_ratio else record.old_version
