"""Generations: events are streamed to the caller from one or more engines."""

from sesamearch.base.errors import ErrorKind
from sesamearch.base.log import logger
from sesamearch.base.record import GenerationResumed
from sesamearch.forwarding.allowance import SendAllowance, patience_s
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
from sesamearch.wire.endpoint import Loss
from sesamearch.wire.events import EventError, EventSplitter

__all__ = ["StreamExchange"]

RETRY_AFTER_S = 1.0
# A refusal is sent so long before the caller would leave that it still arrives.
REFUSAL_MARGIN_S = 0.2
LOWEST_URGENCY = 9


class StreamExchange(Exchange):
    """Forwards one generation and resumes it at another engine if one is lost."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self._lifecycle = make_lifecycle(self)
        self._splitter = EventSplitter()
        self._last_event = self.request.after_event
        self._first_ms = 0
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
        self._is_prompt_cached = False
        self._has_given_up_try = False
        self._allowance = SendAllowance(
            self.route.max_attempts, self.spend_retry, self._spend_retry_again
        )
        self._cause = ErrorKind.NO_ENDPOINT
        self._retry_timer = None
        self._search = EngineSearch(
            self.tools, self.service, self.request, self.excluded
        )
        self._copies = self._search.copies

    def start(self):
        """Send the first try, unless the prompt cannot be read before the deadline."""
        self._is_prompt_cached = bool(self.tools.prompts.find(self.request.last_part))
        shortest_s = self.tools.pace.shortest_s(self.request.prompt_tokens)
        if not self._is_prompt_cached and self.remaining_s() < shortest_s:
            self.refuse(ErrorKind.NO_ENDPOINT, "deadline too short to read the prompt")
            return
        self._send()

    # Tries.

    def _urgency(self):
        organisation = self.organisation
        rank = self.route.priority
        if organisation is not None and organisation.priority is not None:
            rank = organisation.priority
        return min(rank, LOWEST_URGENCY)

    def _spend_retry_again(self):
        return self.tools.budgets.take(self.service.name)

    def _send(self):
        """Send the generation to an engine, or wait for one."""
        self._retry_timer = None
        if self.is_over or self.tries:
            return
        endpoint, copy = self._search.find(self._has_copy, self._is_resuming)
        if endpoint is None:
            # Engines that failed before may be back next time.
            self.excluded.clear()
            self._wait("no engine is available")
        elif self._allowance.pay():
            self._send_to(endpoint, copy)
        else:
            self._wait("too many retries")

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
            self.deadline_s,
            self.organisation.name if self.organisation else "",
            self._last_event,
            self._urgency(),
            backup_address,
            copy,
        )
        need = self._search.need
        unread = 0 if copy else need.prompt_tokens
        work = self.tools.loads.begin(endpoint.name, unread, need.memory_tokens)
        self._stall_detector.schedule_probe(
            RESUME_PROBE_DELAY_S if self._has_head else PROBE_INTERVAL_S
        )
        self._splitter = EventSplitter()
        self.tools.prompts.begin(self.request.last_part, endpoint.name)
        self.send(options, work)

    def _wait(self, detail):
        """Send again after a pause if the caller waits for it, or give up."""
        if not self._may_wait():
            self._give_up(self._cause, detail)
            return
        pause_s = self._allowance.begin_pause()
        self._retry_timer = self.tools.clock.callLater(pause_s, self._send)

    def _may_wait(self):
        """Return whether the answer waits for an engine.

        Before its first event, a request is refused instead, unless it was taken from
        a silent engine, which may be able to run it again soon.
        """
        limit_s = patience_s(self.route)
        if self._has_head:
            return self._pause_s() < limit_s
        has_engines = bool(self.tools.endpoint_index.serving(self.service.name))
        limit_s -= REFUSAL_MARGIN_S
        return self._has_given_up_try and has_engines and self._pause_s() < limit_s

    def _pause_s(self):
        since_s = self._timing.last_s or self.request.received_s
        return self.now_s - since_s

    def _send_again(self, kind, detail):
        """Retry at another engine after a lost try, wait for one, or give up."""
        self._cause = kind
        self._note_break()
        if not self._can_run_again():
            self._give_up(kind, detail)
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

    def _give_up(self, kind, detail):
        if self._has_head:
            self._cut()
        else:
            if self._allowance.runs:
                # An engine may have run the request, so the error must not say
                # "not run".
                kind = ErrorKind.ENDPOINT_LOST
            self.refuse(kind, detail, RETRY_AFTER_S)

    def _cut(self):
        """Cut off the answer; the caller can resume after its last event."""
        self.tools.counters.streams_cut += 1
        self.log_end("cut", None, 0, self._first_ms, self._timing.events)
        self.reply.abort()
        self.close()

    # Answers.

    def _is_current(self, attempt):
        return not self.is_over and attempt in self.tries

    def try_began(self, attempt):
        """Ignore the head: it is sent to the caller with the first event."""

    def try_received(self, attempt, data):
        """Forward the complete events."""
        if not self._is_current(attempt):
            return
        if attempt.has_not_run or not attempt.answer.is_success:
            if not attempt.buffer(data):
                self.reject_body(attempt, Loss.TOO_LARGE)
            return
        try:
            received = self._splitter.feed(data)
        except EventError:
            self.reject_body(attempt, Loss.MALFORMED)
            return
        events = [event for event in received if self._accept_event(event)]
        if events:
            self._forward_events(attempt, events)

    def _accept_event(self, event):
        """Return whether an event is new to the caller, and record it as forwarded."""
        if event.number is None:
            return True
        if self._last_event is not None and event.number <= self._last_event:
            return False
        self._last_event = event.number
        return True

    def _forward_events(self, attempt, events):
        self._trust(attempt)
        if not attempt.work.is_read:
            attempt.work.prompt_was_read()
            self.note_answer(attempt, False)
        if not self._has_head:
            self._start_answer(attempt)
        elif self._is_broken:
            self._is_broken = False
            self._lifecycle.resumed()
            self.reply.set_producer(attempt.pending_request.producer)
        self._allowance.note_event()
        self._timing.note(len(events), self.now_s)
        self.reply.write(b"".join(event.data for event in events))

    def _start_answer(self, attempt):
        answer = attempt.answer
        self._has_head = True
        if attempt.number == 1 and not self._is_prompt_cached:
            took_s = self.now_s - attempt.sent_s
            self.tools.pace.note_first_event(self.request.prompt_tokens, took_s)
        self._first_ms = self.took_ms()
        self.tools.meter.first_event(self.route.name, self._first_ms / 1000)
        self._lifecycle.began()
        self.reply.start(answer.status, answer.headers, answer.reason)
        self.reply.set_producer(attempt.pending_request.producer)

    def try_ended(self, attempt):
        """Handle the end of an engine's answer."""
        if not self._is_current(attempt):
            return
        self._trust(attempt)
        answer = attempt.answer
        if attempt.has_not_run:
            self._handle_not_run(attempt)
        elif answer.is_success:
            self._finish(attempt)
        else:
            self._handle_failure(attempt)

    def _handle_not_run(self, attempt):
        """Retry a generation that the engine states it did not run."""
        self._allowance.note_not_run()
        self.drop(attempt, "not_run", attempt.answer.status)
        if attempt.answer.is_other_instance:
            self.tools.health.note_replaced(attempt.endpoint.name)
        self._send_again(ErrorKind.OVERLOADED, "engines are busy")

    def _handle_failure(self, attempt):
        self.tools.health.note_answer(attempt.endpoint.name, True)
        self.note_answer(attempt, True)
        self.drop(attempt, "failed", attempt.answer.status)
        can_repeat = self.route.is_resumable and self._allowance.has_runs_left
        if self._has_head or (can_repeat and attempt.answer.status >= 500):
            self._send_again(ErrorKind.ENDPOINT_LOST, "engine failed")
            return
        answer = attempt.answer
        self.log_end("answered", attempt, answer.status)
        self.reply.answer(answer.status, answer.headers, attempt.body, answer.reason)
        self.close()

    def _finish(self, attempt):
        if self._splitter.has_partial_event:
            # The HTTP answer is complete but ends within an event.
            self.note_loss(attempt, Loss.CLOSED_MIDWAY)
            self.drop(attempt, "unfinished_event", attempt.answer.status)
            self._recover(ErrorKind.ENDPOINT_LOST, "answer ended within an event")
            return
        self.tools.health.note_answer(attempt.endpoint.name, False)
        if attempt.number == 1 and self._timing.mean_gap_s:
            self.tools.health.note_gap(attempt.endpoint.name, self._timing.mean_gap_s)
        if not self._has_head:
            self._start_answer(attempt)
        self.log_end(
            "answered",
            attempt,
            attempt.answer.status,
            self._first_ms,
            self._timing.events,
        )
        self.reply.write(self._splitter.take_rest())
        self.reply.finish()
        self.close()

    def try_lost(self, attempt, loss):
        """Retry or resume at another engine if that is safe."""
        if not self._is_current(attempt):
            return
        self._suspicion.note_ended()
        self.note_loss(attempt, loss)
        self._note_copy(attempt)
        self.drop(attempt, loss.value, attempt.answer.status if attempt.answer else 0)
        if loss is Loss.NOT_CONNECTED:
            self._allowance.note_not_connected()
            self._send_again(self._cause, "no engine can be reached")
        elif attempt.has_not_run:
            self._allowance.note_not_run()
            self._send_again(ErrorKind.OVERLOADED, "engines are busy")
        else:
            self._recover(ErrorKind.ENDPOINT_LOST, "engine lost")

    def _note_copy(self, attempt):
        """Record whether the backup can have a copy of the memory of a lost try.

        Engines copy memory while they generate, but not while they read a prompt.
        """
        self._has_copy = self._timing.has_event_of(attempt)

    def _recover(self, kind, detail):
        if self.route.is_resumable:
            self._send_again(kind, detail)
        else:
            self._give_up(kind, detail)

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
        endpoint, copy = self._search.find_reachable(has_copy, self._is_resuming)
        obstacle = self._obstacle(endpoint)
        if obstacle is not None:
            self._suspicion.keep(obstacle)
            # Another engine may be free or reachable again next time.
            self.excluded.clear()
            self.excluded.add(attempt.endpoint.name)
            return
        cause = self._suspicion.cause
        self._suspicion.note_replaced()
        self._has_given_up_try = True
        attempt.cancel()
        self.drop(attempt, cause)
        self._cause = ErrorKind.ENDPOINT_LOST
        self._note_break()
        self._send_to(endpoint, copy)

    def _obstacle(self, endpoint):
        """Return why `endpoint` cannot take over now; pay for the retry if it can."""
        if self._has_head and self._last_event is None:
            return Obstacle.NO_EVENT_NUMBERS
        if not self._allowance.has_runs_left:
            return Obstacle.NO_ATTEMPTS
        if endpoint is None:
            return Obstacle.NO_ENGINE
        return None if self._allowance.pay() else Obstacle.NO_BUDGET

    # Ends.

    def log_resumed(self):
        """Log the first event after a break."""
        attempt = self.tries[0]
        pause_ms = round(self._pause_s() * 1000)
        self.tools.counters.resumes += 1
        self.tools.meter.resumed(self.route.name, pause_ms / 1000)
        logger.info(
            GenerationResumed(
                self.request.request_id,
                attempt.endpoint.name,
                self._last_event,
                pause_ms,
            )
        )

    def hand_over(self):
        """Cut off the answer, or refuse the request if it has not begun."""
        if self._has_head:
            self._cut()
        else:
            self.refuse(ErrorKind.ENDPOINT_LOST, "this router is shutting down")

    def expire(self, kind):
        """Cut off the answer, or answer with an error, when the deadline passes."""
        if self._has_head:
            self._cut()
        else:
            super().expire(kind)

    def close(self):
        """End the generation and free its copy."""
        self._lifecycle.ended()
        self._copies.close()
        self.tools.prompts.end(self.request.last_part)
        if self._retry_timer is not None and self._retry_timer.active():
            self._retry_timer.cancel()
        super().close()
