"""Runs of a generation at engines, one after the other."""

import abc

from sesamearch.base.errors import ErrorKind
from sesamearch.forwarding.allowance import SendAllowance
from sesamearch.forwarding.deadline import patience_s
from sesamearch.forwarding.exchange import Exchange
from sesamearch.forwarding.lifecycle import make_lifecycle
from sesamearch.forwarding.request import ForwardOptions
from sesamearch.forwarding.search import EngineSearch
from sesamearch.forwarding.stall import (
    PROBE_INTERVAL_S,
    RESUME_PROBE_DELAY_S,
    EventTiming,
    StallDetector,
)
from sesamearch.forwarding.suspicion import Obstacle, TrySuspicion

__all__ = ["GenerationRuns"]

# A suspected try stays open for this long after its generation was sent elsewhere, in
# case that engine refuses it. It must not run at both for longer.
HOLD_S = 0.3
# A refusal is sent so long before the caller would leave that it still arrives.
REFUSAL_MARGIN_S = 0.2
# An engine that writes for so long does not end under the prompt.
MIN_WRITTEN_S = 1.0
# An engine that is lost so soon after the head of its answer had just begun to write.
MAX_BEGUN_S = 0.4


class GenerationRuns(Exchange):
    """Sends a generation to an engine, and to another if one is silent or lost."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self._lifecycle = make_lifecycle(self)
        self._last_event = self.request.after_event
        self._timing = EventTiming()
        self._stall_detector = StallDetector(
            self.tools,
            self.route.gap_goal_s,
            self._timing,
            self._is_current,
            self._suspect,
            self._trust,
        )
        self._suspicion = TrySuspicion(self.tools, self.request.request_id)
        self._has_head = False
        self._is_broken = False
        self._has_copy = False
        self._has_given_up_try = False
        self._held_try = None
        self._held_had_event = False
        self._hold_timer = None
        self._allowance = SendAllowance(
            self.max_runs, self.spend_retry, self._spend_retry_again
        )
        self._cause = ErrorKind.NO_ENDPOINT
        self._retry_timer = None
        self._search = EngineSearch(
            self.tools,
            self.service,
            self.request.without_body(),
            self.excluded,
            self.permit,
        )
        self._copies = self._search.copies
        if self.terms is not None and self.terms.copy is not None:
            self._copies.adopt(self.terms.copy)
            self._has_copy = True

    # Steps of the answer.

    @abc.abstractmethod
    def begin_reading(self, attempt):
        """Prepare to read the events of a new run."""

    @abc.abstractmethod
    def give_up(self, kind, detail):
        """End the answer, because no engine can go on with it."""

    # Tries.

    @property
    def runs(self):
        """Int : number of tries that an engine may have run."""
        return self._allowance.runs

    def _spend_retry_again(self):
        return self.tools.budgets.take(self.service.name)

    def _send(self):
        """Send the generation to an engine, or wait for one."""
        self._retry_timer = None
        if self.is_over or self.tries:
            return
        if self.quarantine.find() is not None:
            self._give_up_quarantined()
            return
        peer = self.choose_peer()
        if peer is not None:
            self._send_by_paid(peer)
            return
        if self.is_in_vain:
            self._wait("no engine can be reached")
            return
        endpoint, copy = self._search.find(self._has_copy, self._is_resuming)
        if endpoint is None:
            self._wait_for_engine()
        elif not self.permit.covers(endpoint):
            if self.permit.is_exhausted:
                self._wait_for_engine()
            else:
                self._claim_permit(endpoint, self._send)
        elif self._allowance.pay():
            self._send_to(endpoint, copy)
        else:
            self.permit.withdraw()
            self._wait("too many retries")

    def _send_by_paid(self, peer):
        if self._allowance.pay():
            self._send_by(peer)
        else:
            self._wait("too many retries")

    def _send_by(self, peer):
        """Send the generation by way of another router."""
        copy = self._copies.copy if self._has_copy else None
        self._has_copy = False
        self._allowance.note_sent()
        self._stall_detector.schedule_probe(PROBE_INTERVAL_S)
        attempt = self.send_by(peer, self.end_by_s, self._last_event, copy)
        self.begin_reading(attempt)

    def _wait_for_engine(self):
        """Wait until an engine may be available again."""
        detail = "no engine is available"
        if self.permit.denied:
            detail = "the engines take no more requests for now"
            if self._cause is ErrorKind.NO_ENDPOINT:
                self._cause = ErrorKind.OVERLOADED
        # Engines that failed or denied a permit may be back next time.
        self.excluded.clear()
        self.permit.withdraw()
        self.permit.reset()
        self._wait(detail)

    def _claim_permit(self, endpoint, proceed):
        """Claim a permit for a limited engine, and go on once it is decided."""
        wait_s = None
        if self._is_resuming:
            pause_s = patience_s(self.route) - REFUSAL_MARGIN_S - self._pause_s()
            wait_s = max(0.0, pause_s)
        self.claim_permit(endpoint, proceed, self._is_resuming, wait_s)

    @property
    def _is_resuming(self):
        return self._last_event is not None

    def _send_to(self, endpoint, copy):
        self._has_copy = False
        self.excluded.add(endpoint.name)
        self._allowance.note_sent()
        backup_address = ""
        if self.route.is_resumable:
            backup_address = self._copies.begin(endpoint)
        options = ForwardOptions(
            endpoint,
            self.end_by_s,
            self.organisation.name if self.organisation else "",
            self._last_event,
            self.urgency,
            backup_address,
            copy,
        )
        need = self._search.need
        unread = 0 if copy else need.prompt_tokens
        work = self.tools.loads.begin(endpoint.name, unread, need.memory_tokens)
        self._stall_detector.schedule_probe(
            RESUME_PROBE_DELAY_S if self._has_head else PROBE_INTERVAL_S
        )
        self.tools.prompts.begin(self.request.last_part, endpoint.name)
        self.begin_reading(self.send(options, work))

    def _wait(self, detail):
        """Send again after a pause if the caller waits for it, or give up."""
        if self._held_try is not None or not self._may_wait():
            self._give_up_or_keep(self._cause, detail)
            return
        pause_s = self._allowance.begin_pause()
        self._retry_timer = self.tools.clock.callLater(pause_s, self._send)

    def _may_wait(self):
        """Return whether the answer waits for an engine.

        Before its first event, a request is refused instead, unless it was taken from
        a silent engine, which may be able to run it again soon, or has lost engines.
        """
        limit_s = patience_s(self.route)
        if self._has_head:
            return self._pause_s() < limit_s
        has_engines = bool(self.tools.endpoint_index.serving(self.service.name))
        limit_s -= REFUSAL_MARGIN_S
        has_cause = self._has_given_up_try or self._allowance.has_lost_engines
        return has_cause and has_engines and self._pause_s() < limit_s

    def _pause_s(self):
        since_s = self._timing.last_s or self.request.received_s
        return self.now_s - since_s

    def _send_again(self, kind, detail):
        """Retry at another engine after a lost try, wait for one, or give up."""
        self._cause = kind
        self._note_break()
        if not self._can_run_again():
            self._give_up_or_keep(kind, detail)
        elif self._allowance.needs_pause:
            self._wait(detail)
        else:
            self._send()

    def _can_run_again(self):
        if self._has_head and self._last_event is None:
            # Events have no numbers, so the point to resume from is unknown.
            return False
        return self._allowance.has_runs_left and self.remaining_s() > 0

    def _note_break(self):
        if self._has_head:
            self._is_broken = True
            self._lifecycle.broke()

    def _note_copy(self, attempt):
        """Record whether the backup can have a copy of the memory of a lost try.

        Engines copy memory while they generate, but not while they read a prompt.
        """
        self._has_copy = self._timing.has_event_of(attempt)

    def _note_lost_run(self, attempt):
        """Record that a run that an engine may have begun is lost or given up."""
        if not self._timing.has_event_of(attempt):
            self._allowance.note_no_event()

    def _recover(self, kind, detail):
        if self.route.is_resumable:
            self._send_again(kind, detail)
        else:
            self.give_up(kind, detail)

    def _is_current(self, attempt):
        return not self.is_over and attempt in self.tries

    # Prompts under which engines end.

    def refuse_if_quarantined(self):
        """Refuse a generation before its first event if its prompt ends engines."""
        if self.is_over or self._has_head or self.quarantine.find() is None:
            return
        self._give_up_quarantined()

    def _give_up_quarantined(self):
        """End the answer, because engines end under this prompt."""
        self.give_up(ErrorKind.REQUEST_QUARANTINED, self.quarantine.note_refused())

    def _note_engine_lost(self, attempt, loss):
        """Record what the loss of an engine says about the prompt."""
        answering_s = float("inf")
        if attempt.answered_s is not None:
            answering_s = self.now_s - attempt.answered_s
        was_writing = answering_s <= MAX_BEGUN_S
        if attempt.is_by_peer:
            return
        is_counted = self.quarantine.note_lost(attempt, loss, was_writing)
        if is_counted and not self._has_head:
            self._allowance.note_engine_lost(was_writing)

    def _note_progress(self, attempt):
        """Record events of a try; an engine that goes on writes on the prompt."""
        if attempt.first_event_s is None:
            attempt.first_event_s = self.now_s
        has_run_on = self.now_s - attempt.first_event_s >= MIN_WRITTEN_S
        if has_run_on and not self.quarantine.has_run:
            self.quarantine.note_run()

    # Stalls.

    def check(self):
        """Check the engine for a stall and its copy; called at short intervals."""
        if self.is_over or not self.tries or not self.route.is_resumable:
            return
        attempt = self.tries[0]
        is_stalled = self._suspicion.is_on and self._timing.has_event_of(attempt)
        if not is_stalled and self._stall_detector.check(attempt):
            self._copies.refresh(attempt.endpoint)
        if self._suspicion.is_search_due:
            self._replace()

    def _suspect(self, attempt, cause):
        """Look for an engine to take over from a silent one."""
        self._suspicion.note_silent(attempt, cause)
        if self._suspicion.is_search_due:
            self._replace()

    def _trust(self, attempt):
        """Keep to a try whose engine answers."""
        if self._suspicion.is_on:
            self._suspicion.note_answer()

    def _replace(self):
        """Cancel a suspected try and resume at another engine, or keep it for now."""
        attempt = self.tries[0]
        has_copy = self._timing.has_event_of(attempt)
        peer = self.choose_peer()
        if peer is not None and self._can_run_again() and self._allowance.pay():
            self._has_copy = has_copy
            self._hold(attempt)
            self._cause = ErrorKind.ENDPOINT_LOST
            self._note_break()
            self._send_by(peer)
            return
        if self.permit.is_pending:
            self._suspicion.keep(Obstacle.NO_PERMIT)
            return
        endpoint, copy = self._search.find_reachable(has_copy, self._is_resuming)
        obstacle = self._obstacle(endpoint)
        if obstacle is Obstacle.NO_ENGINE and self._is_in_vain():
            self.give_up(ErrorKind.ENDPOINT_LOST, "no engine is listed")
            return
        if obstacle is not None:
            self._suspicion.keep(obstacle)
            # Another engine may be free or reachable again next time.
            self.excluded.clear()
            self.excluded.add(attempt.endpoint.name)
            if obstacle is Obstacle.NO_PERMIT:
                self._claim_permit(endpoint, self._replace_suspected)
            else:
                self.permit.withdraw()
                self.permit.reset()
            return
        self._hold(attempt)
        self._cause = ErrorKind.ENDPOINT_LOST
        self._note_break()
        self._send_to(endpoint, copy)

    def _replace_suspected(self):
        """Replace the try now that a permit was decided, unless its engine answered."""
        if self._suspicion.is_on and self.tries:
            self._replace()
        else:
            self.permit.withdraw()

    # The try that another engine takes over from.

    def _hold(self, attempt):
        """Keep a suspected try open until another engine has begun or refused."""
        self._suspicion.note_replaced()
        self._has_given_up_try = True
        self.tries.remove(attempt)
        self._held_try = attempt
        self._held_had_event = self._timing.has_event_of(attempt)
        if self._held_had_event:
            self.quarantine.note_outlived()
        self._hold_timer = self.tools.clock.callLater(HOLD_S, self._release_held_try)

    def _release_held_try(self):
        """Cancel the held try, if there is one."""
        attempt = self._unhold()
        if attempt is None:
            return
        if not self._held_had_event:
            self._allowance.note_no_event()
        attempt.observer.lost()
        attempt.cancel()
        self.drop(attempt, self._suspicion.cause)

    def _unhold(self):
        attempt, self._held_try = self._held_try, None
        if self._hold_timer is not None and self._hold_timer.active():
            self._hold_timer.cancel()
        return attempt

    def _take_back(self):
        """Go on with the held try instead of the one that was to take over."""
        for attempt in list(self.tries):
            self._allowance.note_no_event()
            attempt.cancel()
            self.drop(attempt, "not_needed")
        held = self._unhold()
        self.tries.append(held)
        self.tools.prompts.begin(self.request.last_part, held.endpoint.name)
        # The copies of the held run and of the one that took over are gone.
        self._copies.close()

    def _keep_held_try(self):
        """Go on with the held try, still suspected: no engine has taken over."""
        self._take_back()
        attempt = self.tries[0]
        self._suspicion.note_silent(attempt, self._suspicion.cause)
        self._suspicion.keep(Obstacle.REFUSED)
        self.excluded.clear()
        self.excluded.add(attempt.endpoint.name)

    def _give_up_or_keep(self, kind, detail):
        if self._held_try is not None:
            self._keep_held_try()
        else:
            self.give_up(kind, detail)

    def _is_in_vain(self):
        """Return whether a silent request waits for engines of which none is left."""
        has_engines = bool(self.tools.endpoint_index.serving(self.service.name))
        return self._has_given_up_try and not self._has_head and not has_engines

    def _obstacle(self, endpoint):
        """Return why `endpoint` cannot take over now; pay for the retry if it can."""
        if self._has_head and self._last_event is None:
            return Obstacle.NO_EVENT_NUMBERS
        if not self._allowance.has_runs_left:
            return Obstacle.NO_ATTEMPTS
        if self.quarantine.find() is not None:
            return Obstacle.QUARANTINED
        if endpoint is None:
            return Obstacle.NO_ENGINE
        if not self.permit.covers(endpoint):
            return Obstacle.NO_PERMIT
        return None if self._allowance.pay() else Obstacle.NO_BUDGET
