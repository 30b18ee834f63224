"""Rollouts under way: each router holds back, listens and may end one."""

import abc
import hashlib
from typing import Protocol

from automat import TypeMachineBuilder
from twisted.internet.defer import Deferred

from sesamearch.base.log import logger
from sesamearch.base.record import RolloutChanged
from sesamearch.forwarding.gate import VersionGate
from sesamearch.membership.fleet_message import RolloutNews, RolloutVerdict
from sesamearch.rollout.order import RolloutOrder, RolloutState
from sesamearch.routing.canary import CanaryPlan, Evidence, Verdict

__all__ = ["Rollout", "RolloutController", "RolloutRegister"]

UPDATE_INTERVAL_S = 0.1
# Without news the order itself is told again, for routers that do not know it.
RENEW_INTERVAL_S = 0.5
# Routers complete one after the other, so that mostly the first one writes.
TURN_S = 0.05
LAST_TURN = 8
WRITE_RETRY_S = 0.3
_HASH_RANGE = 1 << 32


class RolloutRegister(abc.ABC):
    """Where the state of rollouts is kept for the operators."""

    @abc.abstractmethod
    def begin(self, order):
        """Write that an order is in progress, unless more is written already.

        Returns
        -------
        twisted.internet.defer.Deferred of result.Result[RolloutOutcome, ErrorKind]
            What stands for the order then.
        """

    @abc.abstractmethod
    def end(self, order, state):
        """Write a final state, unless another one is written already.

        Returns
        -------
        twisted.internet.defer.Deferred of result.Result[RolloutOutcome, ErrorKind]
        """


class _Inputs(Protocol):
    def called_bad(self) -> None:
        """Note that the new version is bad."""

    def completed(self) -> None:
        """Note that the new version has taken over."""


def _build_machine():
    builder = TypeMachineBuilder(_Inputs, Rollout)
    open_ = builder.state("open")
    reverted = builder.state("reverted")
    complete = builder.state("complete")

    @open_.upon(_Inputs.called_bad).to(reverted)
    def revert(inputs, rollout):
        rollout.state = RolloutState.REVERTED

    @open_.upon(_Inputs.completed).to(complete)
    def complete_(inputs, rollout):
        rollout.state = RolloutState.COMPLETE

    # A version that is known to be bad gets nothing more, whatever was written.
    @complete.upon(_Inputs.called_bad).to(reverted)
    def revert_late(inputs, rollout):
        rollout.state = RolloutState.REVERTED

    reverted.upon(_Inputs.called_bad).loop().returns(None)
    reverted.upon(_Inputs.completed).loop().returns(None)
    complete.upon(_Inputs.completed).loop().returns(None)
    return builder.build()


class Rollout:
    """One order, as one router sees it.

    Parameters
    ----------
    order : RolloutOrder
    settings : CanarySettings
    begun_s : float
        When the order was given, on this process's clock.

    Attributes
    ----------
    state : RolloutState
    plan : CanaryPlan
    evidence : Evidence
    """

    __slots__ = (
        "begun_s",
        "evidence",
        "is_writing",
        "life",
        "order",
        "plan",
        "renewed_s",
        "requests",
        "state",
        "to_new",
    )

    def __init__(self, order, settings, begun_s):
        self.order = order
        self.begun_s = begun_s
        self.plan = CanaryPlan(settings, begun_s, begun_s + order.length_s)
        self.evidence = Evidence()
        self.state = RolloutState.IN_PROGRESS
        self.requests = 0
        self.to_new = 0
        self.is_writing = False
        self.renewed_s = 0.0
        self.life = _machine(self)

    def admits(self, version, request_id, now_s):
        """Return whether a request may go to a version."""
        is_new = version == self.order.target
        if self.state is RolloutState.REVERTED:
            return not is_new
        if self.state is RolloutState.COMPLETE:
            return is_new
        point = _point(self.order.target, request_id)
        return is_new == (point < self.plan.share(now_s))


def _point(target, request_id):
    """Return a fixed point of a request between 0 and 1."""
    content = f"{target} {request_id}".encode()
    digest = hashlib.blake2b(content, digest_size=4).digest()
    return int.from_bytes(digest, "big") / _HASH_RANGE


class RolloutController(VersionGate):
    """Conducts the rollouts that operators ordered.

    There is no leader: every router keeps the new version's share small, adds up the
    evidence of all, and may write the end. The store takes one final state only.

    Parameters
    ----------
    name : str
        Of this router.
    board : Blackboard
    register : RolloutRegister
    settings : CanarySettings
    clock : twisted.internet.interfaces.IReactorTime
    """

    def __init__(self, name, board, register, settings, clock):
        self._name = name
        self._board = board
        self._register = register
        self._settings = settings
        self._clock = clock
        self._peers = None
        self.rollouts = {}

    def join(self, peers):
        """Exchange evidence and verdicts through a :class:`FleetLink`."""
        self._peers = peers
        peers.handle(RolloutNews, self._take_news)
        peers.handle(RolloutVerdict, self._take_verdict)

    # Orders.

    def apply_orders(self, orders):
        """Take the orders that stand in the store."""
        for order in orders:
            self._learn(order, self._clock.seconds())

    def _learn(self, order, begun_s):
        """Begin a rollout unless this order or a later one is known."""
        known = self.rollouts.get(order.service)
        if known is not None and known.order.revision >= order.revision:
            return known
        rollout = Rollout(order, self._settings, begun_s)
        self.rollouts[order.service] = rollout
        self._log(rollout, "order")
        self._write(rollout, self._register.begin)
        return rollout

    def _log(self, rollout, cause):
        logger.info(
            RolloutChanged(
                rollout.order.service,
                rollout.order.target,
                rollout.state.value,
                rollout.order.revision,
                cause,
                round(rollout.evidence.score, 1),
                rollout.plan.to_new,
            )
        )

    def apply_outcomes(self, outcomes):
        """Take what the store says became of orders."""
        for outcome in outcomes:
            self._take_outcome(outcome)

    def _take_outcome(self, outcome):
        rollout = self.rollouts.get(outcome.service)
        if rollout is None or outcome.target != rollout.order.target:
            return
        if outcome.revision < rollout.order.revision:
            return
        if outcome.state is RolloutState.COMPLETE:
            self._complete(rollout)
        elif outcome.state is RolloutState.REVERTED:
            self._revert(rollout, "written")

    # The gate.

    def admits(self, endpoint, request_id):
        """Return whether a request may go to an endpoint."""
        rollout = self.rollouts.get(endpoint.service)
        if rollout is None:
            return True
        now_s = self._clock.seconds()
        return rollout.admits(endpoint.version, request_id, now_s)

    def is_spare(self, endpoint):
        """Return whether an endpoint may take what failed elsewhere."""
        rollout = self.rollouts.get(endpoint.service)
        if rollout is None or rollout.state is RolloutState.COMPLETE:
            return True
        return endpoint.version != rollout.order.target

    def sent(self, endpoint):
        """Count a request that is sent."""
        rollout = self.rollouts.get(endpoint.service)
        if rollout is not None:
            rollout.requests += 1
            rollout.to_new += endpoint.version == rollout.order.target

    def answered(self, endpoint, route, is_failure, took_s):
        """Take how a request went, and judge."""
        rollout = self.rollouts.get(endpoint.service)
        if rollout is None:
            return
        is_new = endpoint.version == rollout.order.target
        rollout.evidence.answered(route, is_new, is_failure, took_s)
        if is_new and is_failure:
            self._tell(rollout)

    # Evidence.

    def share_evidence(self):
        """Tell the others what was seen, judge, and complete what is due."""
        for rollout in self.rollouts.values():
            if rollout.state is RolloutState.IN_PROGRESS:
                self._tell(rollout)
                self._complete_if_due(rollout)

    def _tell(self, rollout):
        counts = rollout.evidence.take_news()
        now_s = self._clock.seconds()
        if not (counts or rollout.requests) and now_s < rollout.renewed_s:
            return
        rollout.renewed_s = now_s + RENEW_INTERVAL_S
        news = RolloutNews(
            self._name,
            rollout.order.service,
            rollout.order.target,
            rollout.order.revision,
            rollout.order.length_s,
            now_s - rollout.begun_s,
            rollout.requests,
            rollout.to_new,
            counts,
        )
        rollout.requests = rollout.to_new = 0
        if self._peers is not None:
            self._peers.send_to_all(news)
        self._add(rollout, news)

    def _take_news(self, news):
        order = RolloutOrder(news.service, news.target, news.length_s, news.revision)
        rollout = self._learn(order, self._clock.seconds() - news.age_s)
        if rollout.order.revision == news.revision:
            self._add(rollout, news)

    def _add(self, rollout, news):
        rollout.plan.count(news.requests, news.to_new)
        for counts in news.evidence:
            rollout.evidence.take(counts)
        if rollout.evidence.verdict is Verdict.BAD:
            self._revert(rollout, "evidence")

    # Ends.

    def _revert(self, rollout, cause):
        if rollout.state is RolloutState.REVERTED:
            return
        rollout.life.called_bad()
        self._log(rollout, cause)
        if cause != "written":
            self._tell_verdict(rollout, is_bad=True)
            self._write(rollout, self._end_reverted)

    def _tell_verdict(self, rollout, is_bad):
        if self._peers is not None:
            order = rollout.order
            verdict = RolloutVerdict(order.service, order.revision, is_bad)
            self._peers.send_to_all(verdict)

    def _take_verdict(self, verdict):
        rollout = self.rollouts.get(verdict.service)
        if rollout is None or rollout.order.revision != verdict.revision:
            return
        if verdict.is_bad:
            self._revert(rollout, "peer")
        else:
            self._complete(rollout)

    def _complete_if_due(self, rollout):
        if self._clock.seconds() < rollout.plan.completion_s + self._turn_s():
            return
        if rollout.evidence.verdict is Verdict.GOOD and self._has_target(rollout):
            self._write(rollout, self._end_complete)
        else:
            self._revert(rollout, "unproved")

    def _turn_s(self):
        names = sorted([*self._board.members.value, self._name])
        return min(names.index(self._name), LAST_TURN) * TURN_S

    def _has_target(self, rollout):
        return any(
            endpoint.service == rollout.order.service
            and endpoint.version == rollout.order.target
            and not endpoint.leaving
            for endpoint in self._board.endpoints.value.values()
        )

    def _complete(self, rollout):
        if rollout.state is RolloutState.IN_PROGRESS:
            rollout.life.completed()
            self._log(rollout, "written")

    def _end_reverted(self, order):
        return self._register.end(order, RolloutState.REVERTED)

    def _end_complete(self, order):
        return self._register.end(order, RolloutState.COMPLETE)

    def _write(self, rollout, write):
        """Write and follow what stands then; repeat after a failure."""
        if rollout.is_writing and write == self._end_complete:
            return
        rollout.is_writing = True
        Deferred.fromCoroutine(self._write_until_done(rollout, write)).addErrback(
            lambda failure: logger.error("rollout write failed: {}", failure.value)
        )

    async def _write_until_done(self, rollout, write):
        while self.rollouts.get(rollout.order.service) is rollout:
            result = await write(rollout.order)
            if result.is_ok():
                rollout.is_writing = False
                self._take_outcome(result.unwrap())
                if rollout.state is RolloutState.COMPLETE:
                    self._tell_verdict(rollout, is_bad=False)
                return
            pause = Deferred()
            self._clock.callLater(WRITE_RETRY_S, pause.callback, None)
            await pause


_machine = _build_machine()
