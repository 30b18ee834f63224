"""The progress of one rollout order, as one router sees it."""

import hashlib
from typing import Protocol

import msgspec
from automat import TypeMachineBuilder

from sesamearch.base.record import RolloutChanged
from sesamearch.rollout.losses import LossFilter
from sesamearch.rollout.order import RolloutState
from sesamearch.routing.canary import CanaryPlan
from sesamearch.routing.canary_evidence import Evidence

__all__ = ["Rollout", "describe_change"]

_HASH_VALUES = 1 << 32


class _Inputs(Protocol):
    def marked_bad(self) -> None:
        """Record that the new version is bad."""

    def completed(self) -> None:
        """Record that the new version has taken over."""


def _build_machine():
    builder = TypeMachineBuilder(_Inputs, Rollout)
    open_ = builder.state("open")
    reverted = builder.state("reverted")
    complete = builder.state("complete")

    @open_.upon(_Inputs.marked_bad).to(reverted)
    def revert(inputs, rollout):
        rollout.state = RolloutState.REVERTED

    @open_.upon(_Inputs.completed).to(complete)
    def complete_(inputs, rollout):
        rollout.state = RolloutState.COMPLETE

    # A version that is known to be bad gets no more requests, even if the store says
    # that the rollout is complete.
    @complete.upon(_Inputs.marked_bad).to(reverted)
    def revert_late(inputs, rollout):
        rollout.state = RolloutState.REVERTED

    reverted.upon(_Inputs.marked_bad).loop().returns(None)
    reverted.upon(_Inputs.completed).loop().returns(None)
    complete.upon(_Inputs.completed).loop().returns(None)
    return builder.build()


class Rollout:
    """The progress of one rollout order, as one router sees it.

    Parameters
    ----------
    order : RolloutOrder
    settings : CanarySettings
    begun_s : float
        Time at which the order was given, on this process's clock.

    Attributes
    ----------
    state : RolloutState
    plan : CanaryPlan
    evidence : Evidence
    losses : LossFilter
    requests, to_new : int
        Requests sent since the last update, and those of them to the new version.
    next_resend_s : float
        Time from which an update is sent even without new evidence.
    is_distinct : bool
        Whether the order is known to repeat none of an earlier era of the store.
    """

    __slots__ = (
        "begun_s",
        "evidence",
        "is_distinct",
        "is_writing",
        "losses",
        "next_resend_s",
        "order",
        "plan",
        "requests",
        "state",
        "state_machine",
        "to_new",
    )

    def __init__(self, order, settings, begun_s):
        self.order = order
        self.begun_s = begun_s
        self.plan = CanaryPlan(settings, begun_s, begun_s + order.length_s)
        self.evidence = Evidence()
        self.losses = LossFilter()
        self.state = RolloutState.IN_PROGRESS
        self.requests = 0
        self.to_new = 0
        self.is_writing = False
        self.is_distinct = False
        self.next_resend_s = 0.0
        self.state_machine = _machine(self)

    def join(self, begun_s, update):
        """Take over the beginning and the counts of a router that was there before."""
        self.begun_s = begun_s
        self.plan.join(begun_s, update.all_requests, update.all_to_new)

    def admits(self, version, request_id, now_s):
        """Return whether a request may go to a version."""
        is_new = version == self.order.target
        if self.state is RolloutState.REVERTED:
            return not is_new
        if self.state is RolloutState.COMPLETE:
            return is_new
        hash_ratio = _hash_ratio(self.order.target, request_id)
        return is_new == (hash_ratio < self.plan.share(now_s))


def _hash_ratio(target, request_id):
    """Return the hash of a request ID and a target version, scaled to [0, 1)."""
    content = f"{target} {request_id}".encode()
    digest = hashlib.blake2b(content, digest_size=4).digest()
    return int.from_bytes(digest, "big") / _HASH_VALUES


def describe_change(rollout, cause):
    """Return the log record of a change of state, with what decided it."""
    order, evidence = rollout.order, rollout.evidence
    record = RolloutChanged(
        order.service,
        order.target,
        rollout.state.value,
        order.revision.number,
        cause,
        round(evidence.score, 1),
        rollout.plan.to_new,
    )
    weakest = evidence.weakest
    if weakest is None:
        return record
    return msgspec.structs.replace(
        record,
        support=round(weakest.strength, 1),
        weakest=weakest.measure.value,
        new_answers=weakest.sample.new,
        new_bad=weakest.sample.new_bad,
        old_answers=weakest.sample.old,
        old_bad=weakest.sample.old_bad,
    )


_machine = _build_machine()
