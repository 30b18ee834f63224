"""Controller of the rollouts in progress: every router limits, judges and ends them."""

import functools

import msgspec
from twisted.internet.defer import Deferred

from sesamearch.base.log import logger
from sesamearch.forwarding.gate import VersionGate
from sesamearch.membership.rollout_message import RolloutUpdate, RolloutVerdict
from sesamearch.membership.schema import revision_of
from sesamearch.rollout.losses import failed_answers
from sesamearch.rollout.observer import ServiceObserver
from sesamearch.rollout.order import RolloutOrder, RolloutState
from sesamearch.rollout.order_history import OrderHistory, OrderNews
from sesamearch.rollout.progress import Rollout, describe_change
from sesamearch.rollout.standing_keeper import StandingKeeper
from sesamearch.routing.canary_evidence import Verdict
from sesamearch.store.store import StoreRevision

__all__ = ["RolloutController"]

UPDATE_INTERVAL_S = 0.1
# An update is sent at least this often even without new evidence, because it also
# carries the order, which some routers may not have received.
ORDER_RESEND_INTERVAL_S = 0.5
# Routers complete a rollout one after another, so that usually only the first one
# writes to the store.
COMPLETION_STAGGER_S = 0.05
MAX_STAGGER_STEPS = 8
WRITE_RETRY_S = 0.3
# A router that learns of an order so much later than another one started after it.
MAX_ORDER_DELAY_S = 0.5


class RolloutController(VersionGate):
    """Runs the rollouts that operators ordered.

    There is no leader. Every router limits the new version's share of requests, merges
    the evidence of all routers, and may write the final state. The store accepts only
    one final state for each order.

    Parameters
    ----------
    name : str
        Name of this router.
    board : Blackboard
    register : RolloutRegister
    settings : CanarySettings
    clock : twisted.internet.interfaces.IReactorTime

    Attributes
    ----------
    rollouts : dict from str to Rollout
        The last rollout of each service.
    standing_keeper : StandingKeeper
        What earlier orders showed of their versions.
    """

    def __init__(self, name, board, register, settings, clock):
        self._name = name
        self._board = board
        self._register = register
        self._settings = settings
        self._clock = clock
        self._peers = None
        self._observers = {}
        self._histories = {}
        self.rollouts = {}
        self.standing_keeper = StandingKeeper(register, clock, self._completion_delay_s)

    def join(self, peers):
        """Start to exchange evidence and verdicts through a :class:`FleetLink`."""
        self._peers = peers
        peers.handle(RolloutUpdate, self._receive_update)
        peers.handle(RolloutVerdict, self._receive_verdict)
        self.standing_keeper.join(peers)

    # Orders

    def apply_orders(self, orders):
        """Begin a rollout for each order that is newer than the service's known one.

        Parameters
        ----------
        orders : iterable of RolloutOrder
            Operators' orders to move a service to another version, read from the store.

        Returns
        -------
        twisted.internet.defer.Deferred or None
            Fires when it was tried to read what the orders before showed of their
            versions; None if there is no new order.
        """
        has_new = False
        for order in orders:
            known = self.rollouts.get(order.service)
            known_order = known.order if known else None
            rollout = self._add_order(order, self._clock.seconds())
            has_new = has_new or rollout is not known
            if rollout is known and rollout.order is not known_order:
                self._write_again(rollout)
        # The order before may have ended while this router was away.
        return self.standing_keeper.read() if has_new else None

    def _add_order(self, order, begun_s, is_distinct=False):
        """Return the service's rollout; begin a new one if the order is newer."""
        known = self.rollouts.get(order.service)
        history = self._histories.setdefault(order.service, OrderHistory())
        news = history.judge(order, self._clock.seconds(), is_distinct)
        if news is OrderNews.REPEATED:
            self._take_revision(known, order)
        if news is not OrderNews.NEW:
            return known
        rollout = Rollout(order, self._settings, begun_s)
        rollout.is_distinct = is_distinct or (
            known is not None and known.order.revision.era == order.revision.era
        )
        self.rollouts[order.service] = rollout
        if known is not None and known.state is RolloutState.IN_PROGRESS:
            self.standing_keeper.note_replaced(known.order)
        self.standing_keeper.note_ordered(
            order, rollout.is_distinct or known is not None
        )
        self._observer(order.service).begin(order.target)
        self._log(rollout, "order")
        self._write(rollout, self._register.begin)
        return rollout

    def _take_revision(self, rollout, order):
        """Take the revision under which an order is stored since a restore."""
        rollout.order = order
        rollout.is_distinct = False
        self._log(rollout, "repeated")

    def write_states_again(self):
        """Write the final states again that a restored store may have lost."""
        for rollout in self.rollouts.values():
            if rollout.state is not RolloutState.IN_PROGRESS:
                self._write_again(rollout)
        self.standing_keeper.write_again()

    def _write_again(self, rollout):
        """Write a state again, and tell it to routers that know only the copy."""
        write = self._register.begin
        if rollout.state is not RolloutState.IN_PROGRESS:
            write = self._restore
            self._broadcast_verdict(rollout, rollout.state is RolloutState.REVERTED)
        delay_s = self._completion_delay_s()
        self._clock.callLater(delay_s, self._write, rollout, write)

    def _restore(self, order):
        rollout = self.rollouts[order.service]
        return self._register.restore(order, rollout.state)

    def _log(self, rollout, cause):
        logger.info(describe_change(rollout, cause))

    def apply_outcomes(self, outcomes):
        """Complete or revert the rollouts for which the store has a final state.

        Parameters
        ----------
        outcomes : iterable of RolloutOutcome
            Stored states of operators' orders to move a service to another version.
            States that are not final, or that belong to another order of the service,
            are ignored.
        """
        for outcome in outcomes:
            self._apply_outcome(outcome)

    def _apply_outcome(self, outcome):
        rollout = self.rollouts.get(outcome.service)
        if rollout is None or outcome.target != rollout.order.target:
            return
        # A state and an order of two eras do not say which came first.
        if outcome.revision.era != rollout.order.revision.era:
            return
        if outcome.revision >= rollout.order.revision:
            self._apply_state(rollout, outcome.state)

    def _apply_state(self, rollout, state):
        if state is RolloutState.COMPLETE:
            self.standing_keeper.note_completed(rollout.order)
            self._complete(rollout)
        elif state is RolloutState.REVERTED:
            self._revert(rollout, "written")

    # Version gate

    def admits(self, endpoint, request_id):
        """Return whether a request may go to an endpoint."""
        if self.is_withheld(endpoint):
            return False
        rollout = self.rollouts.get(endpoint.service)
        if rollout is None:
            return True
        now_s = self._clock.seconds()
        return rollout.admits(endpoint.version, request_id, now_s)

    def is_fallback(self, endpoint):
        """Return whether an endpoint may serve retries, and requests not admitted."""
        if self.is_withheld(endpoint):
            return False
        rollout = self.rollouts.get(endpoint.service)
        if rollout is None or rollout.state is RolloutState.COMPLETE:
            return True
        return endpoint.version != rollout.order.target

    def is_withheld(self, endpoint):
        """Return whether an endpoint's version gets no requests at all."""
        rollout = self.rollouts.get(endpoint.service)
        target = rollout.order.target if rollout else ""
        return self.standing_keeper.is_withheld(endpoint, target, self._live_versions)

    def sent(self, endpoint, route, is_resumed):
        """Count a request that is sent to an endpoint, and observe it."""
        rollout = self.rollouts.get(endpoint.service)
        if rollout is not None:
            rollout.requests += 1
            rollout.to_new += endpoint.version == rollout.order.target
        return self._observer(endpoint.service).observe(endpoint, route, is_resumed)

    def _observer(self, service):
        if service not in self._observers:
            on_failure = functools.partial(self._handle_failure, service)
            self._observers[service] = ServiceObserver(self._clock, on_failure)
        return self._observers[service]

    def _handle_failure(self, service, version):
        """Send a failure of the new version to the other routers at once."""
        rollout = self.rollouts[service]
        if version == rollout.order.target:
            self._send_update(rollout)

    # Evidence

    def share_evidence(self):
        """Send new evidence to the other routers; complete rollouts that are due."""
        self.standing_keeper.refresh()
        for rollout in self.rollouts.values():
            if rollout.state is RolloutState.IN_PROGRESS:
                observer = self._observer(rollout.order.service)
                observer.check_open(rollout.evidence)
                self._send_update(rollout)
                self._complete_if_due(rollout)

    def _send_update(self, rollout):
        counts = self._observer(rollout.order.service).pop_counts()
        now_s = self._clock.seconds()
        if not (counts or rollout.requests) and now_s < rollout.next_resend_s:
            return
        rollout.next_resend_s = now_s + ORDER_RESEND_INTERVAL_S
        update = RolloutUpdate(
            self._name,
            rollout.order.service,
            rollout.order.target,
            rollout.order.revision.number,
            rollout.order.length_s,
            now_s - rollout.begun_s,
            rollout.requests,
            rollout.to_new,
            counts,
            rollout.order.revision.era,
            rollout.is_distinct,
            rollout.plan.requests,
            rollout.plan.to_new,
        )
        rollout.requests = rollout.to_new = 0
        if self._peers is not None:
            self._peers.send_to_all(update)
        self._merge_update(rollout, update)

    def _receive_update(self, update):
        revision = self._revision_of(update)
        order = RolloutOrder(update.service, update.target, update.length_s, revision)
        begun_s = self._clock.seconds() - update.age_s
        known = self.rollouts.get(update.service)
        rollout = self._add_order(order, begun_s, update.is_distinct)
        if not self._is_about(rollout, update.target, revision):
            return
        is_late = begun_s < rollout.begun_s - MAX_ORDER_DELAY_S
        if is_late or rollout is not known:
            rollout.join(begun_s, update)
        self._merge_update(rollout, update)
        self._repeat_verdict(rollout)

    def _revision_of(self, message):
        known = self.rollouts.get(message.service)
        own = known.order.revision if known else StoreRevision()
        return revision_of(message.era, message.revision, own)

    def _is_about(self, rollout, target, revision):
        """Return whether a message is about a rollout, perhaps in another era."""
        known = rollout.order
        if known.revision == revision:
            return True
        if known.target != target or known.revision.era == revision.era:
            return False
        return revision.era > known.revision.era or not rollout.is_distinct

    def _repeat_verdict(self, rollout):
        """Tell a router that still decides, after a restore, how the rollout ended."""
        now_s = self._clock.seconds()
        if rollout.state is RolloutState.IN_PROGRESS or now_s < rollout.next_resend_s:
            return
        if self._peers.is_relay:
            rollout.next_resend_s = now_s + ORDER_RESEND_INTERVAL_S
            self._broadcast_verdict(rollout, rollout.state is RolloutState.REVERTED)

    def _merge_update(self, rollout, update):
        rollout.plan.count(update.requests, update.to_new)
        now_s = self._clock.seconds()
        for counts in update.evidence:
            counts = rollout.losses.first_losses(counts, now_s)
            if rollout.state is RolloutState.COMPLETE:
                counts = failed_answers(counts)
            rollout.evidence.add_counts(counts)
        if rollout.evidence.verdict is Verdict.BAD:
            self._revert(rollout, "evidence")

    # Completion

    def _revert(self, rollout, cause):
        if rollout.state is RolloutState.REVERTED:
            return
        if rollout.state is RolloutState.IN_PROGRESS:
            # After the completion there may be no other version left.
            self.standing_keeper.note_rejected(rollout.order)
        rollout.state_machine.marked_bad()
        self._observer(rollout.order.service).end()
        self._log(rollout, cause)
        if cause != "written":
            self._broadcast_verdict(rollout, is_bad=True)
            self._write(rollout, self._end_reverted)

    def _broadcast_verdict(self, rollout, is_bad):
        if self._peers is not None:
            order = rollout.order
            revision = order.revision
            verdict = RolloutVerdict(
                order.service, revision.number, is_bad, revision.era, order.target
            )
            self._peers.send_to_all(verdict)

    def _receive_verdict(self, verdict):
        rollout = self.rollouts.get(verdict.service)
        revision = self._revision_of(verdict)
        if rollout is None or not self._is_about(rollout, verdict.target, revision):
            return
        if revision > rollout.order.revision:
            order = msgspec.structs.replace(rollout.order, revision=revision)
            self._histories[verdict.service].repeat(order, self._clock.seconds())
            self._take_revision(rollout, order)
        if verdict.is_bad:
            self._revert(rollout, "peer")
        else:
            self._complete(rollout)

    def _complete_if_due(self, rollout):
        now_s, plan = self._clock.seconds(), rollout.plan
        if now_s < plan.completion_s + self._completion_delay_s():
            return
        if self._is_proved(rollout):
            self._write(rollout, self._end_complete)
        elif now_s >= plan.last_s:
            # Not reverted here until the store says so: another router may have seen
            # enough and completed the rollout.
            self._write(rollout, self._end_unproved)

    def _completion_delay_s(self):
        names = sorted([*self._board.members.value, self._name])
        return min(names.index(self._name), MAX_STAGGER_STEPS) * COMPLETION_STAGGER_S

    def _has_target(self, rollout):
        return rollout.order.target in self._live_versions(rollout.order.service)

    def _live_versions(self, service):
        """Return the versions of a service's endpoints that are not leaving."""
        return {
            endpoint.version
            for endpoint in self._board.endpoints.value.values()
            if endpoint.service == service and not endpoint.leaving
        }

    def _complete(self, rollout):
        if rollout.state is RolloutState.IN_PROGRESS:
            rollout.state_machine.completed()
            self._log(rollout, "written")

    def _end_reverted(self, order):
        return self._register.end(order, RolloutState.REVERTED)

    def _end_unproved(self, order):
        return self._register.end(order, RolloutState.REVERTED)

    def _end_complete(self, order):
        return self._register.end(order, RolloutState.COMPLETE)

    def _write(self, rollout, write):
        """Write a state and apply the stored one; retry until the store answers.

        The stored state may differ from the one written here, because another router
        may have written first. The end of a rollout that is due is skipped while
        another write is pending, because :meth:`share_evidence` tries it again.
        """
        if rollout.is_writing and write in (self._end_complete, self._end_unproved):
            return
        rollout.is_writing = True

        def fail(failure):
            rollout.is_writing = False
            logger.error("writing the rollout state failed: {}", failure.value)

        Deferred.fromCoroutine(self._write_until_done(rollout, write)).addErrback(fail)

    async def _write_until_done(self, rollout, write):
        while self._is_wanted(rollout, write):
            result = await write(rollout.order)
            if result.is_ok():
                rollout.is_writing = False
                self._apply_state(rollout, result.unwrap().state)
                # A later order may have come meanwhile.
                is_current = self.rollouts.get(rollout.order.service) is rollout
                if is_current and write in (self._end_complete, self._end_unproved):
                    is_bad = rollout.state is RolloutState.REVERTED
                    self._broadcast_verdict(rollout, is_bad)
                return
            pause = Deferred()
            self._clock.callLater(WRITE_RETRY_S, pause.callback, None)
            await pause
        rollout.is_writing = False

    def _is_wanted(self, rollout, write):
        """Return whether a write is not outdated by a later order or by evidence."""
        is_outdated = write == self._end_complete and not self._is_proved(rollout)
        return self.rollouts.get(rollout.order.service) is rollout and not is_outdated

    def _is_proved(self, rollout):
        is_good = rollout.evidence.verdict is Verdict.GOOD
        is_open = rollout.state is RolloutState.IN_PROGRESS
        return is_open and is_good and self._has_target(rollout)
