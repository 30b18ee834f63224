"""Generations: events are streamed to the caller from one or more engines."""

from sesamearch.base.errors import ErrorKind
from sesamearch.base.log import logger
from sesamearch.base.record import GenerationResumed
from sesamearch.forwarding.runs import GenerationRuns
from sesamearch.wire.endpoint import Loss
from sesamearch.wire.events import EventError, EventSplitter

__all__ = ["StreamExchange"]

RETRY_AFTER_S = 1.0


class StreamExchange(GenerationRuns):
    """Forwards one generation: the events of one run after the other."""

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self._first_ms = 0
        self._is_prompt_cached = False
        # The answer whose head was sent to the caller.
        self._begun_answer = None

    def start(self):
        """Send the first try, unless the prompt cannot be read before the deadline."""
        if self.quarantine.find() is not None:
            self._give_up_quarantined()
            return
        self._is_prompt_cached = bool(self.tools.prompts.find(self.request.last_part))
        shortest_s = self.tools.pace.shortest_s(self.request.prompt_tokens)
        if not self._is_prompt_cached and self.remaining_s() < shortest_s:
            self.refuse(ErrorKind.NO_ENDPOINT, "deadline too short to read the prompt")
            return
        self._send()

    # Answers.

    def try_began(self, attempt):
        """Ignore the head: it is sent to the caller with the first event."""

    def try_received(self, attempt, data):
        """Forward the complete events."""
        is_held = attempt is self._held_try
        if not is_held and not self._is_current(attempt):
            return
        if not self._has_events(attempt):
            if not attempt.buffer(data):
                self.reject_body(attempt, Loss.TOO_LARGE)
            return
        try:
            received = attempt.events.feed(data)
        except EventError:
            self.reject_body(attempt, Loss.MALFORMED)
            return
        attempt.pending_request.take_steps(len(received))
        if received and self._begins_elsewhere(attempt, received[0]):
            self.reject_body(attempt, Loss.MALFORMED)
            return
        events = [event for event in received if self._accept_event(event)]
        if events and is_held:
            self._take_back()
        if events:
            self._forward_events(attempt, events)

    def begin_reading(self, attempt):
        """Prepare to read the events of a new run."""
        attempt.events = EventSplitter()

    def _has_events(self, attempt):
        """Return whether the body of an answer is a part of the stream."""
        answer = attempt.answer
        if attempt.has_not_run or not answer.is_success:
            return False
        return self._begun_answer is None or answer.may_continue(self._begun_answer)

    def _is_resumed(self, attempt):
        """Return whether an answer is to go on with that of another engine."""
        return self._has_head and attempt.answer is not self._begun_answer

    def _begins_elsewhere(self, attempt, event):
        """Return whether an answer that is to go on begins with an event of no number.

        Without a number, it is not known to follow the last event.
        """
        is_first = self._is_resumed(attempt) and not attempt.event_count
        return is_first and event.number is None and self._last_event is not None

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
        self._release_held_try()
        attempt.event_count += len(events)
        self._note_progress(attempt)
        if not attempt.work.is_read:
            attempt.work.prompt_was_read()
            self._note_prompt_read(attempt)
            attempt.observer.answered(is_failure=False)
        attempt.observer.received_events(len(events))
        if not self._has_head:
            self._start_answer(attempt)
        elif self._is_broken:
            self._is_broken = False
            self._lifecycle.resumed()
            self.reply.set_producer(attempt.pending_request.producer)
        self._allowance.note_event()
        self._timing.note(len(events), self.now_s)
        self.reply.write(b"".join(event.data for event in events))

    def _note_prompt_read(self, attempt):
        if not attempt.is_by_peer:
            parts = self.request.prompt_parts
            self.tools.held_prompts.note_read(parts, attempt.endpoint.name)

    def _start_answer(self, attempt):
        answer = attempt.answer
        self._has_head = True
        self._begun_answer = answer
        is_measured = attempt.number == 1 and not attempt.is_by_peer
        if is_measured and not self._is_prompt_cached:
            took_s = self.now_s - attempt.sent_s
            self.tools.pace.note_first_event(self.request.prompt_tokens, took_s)
        self._first_ms = self.took_ms()
        self.tools.meter.first_event(self.route.name, self._first_ms / 1000)
        self._lifecycle.began()
        self.note_head_sent(answer.status)
        self.reply.start(answer.status, answer.headers, answer.reason)
        self.reply.set_producer(attempt.pending_request.producer)

    def try_ended(self, attempt):
        """Handle the end of an engine's answer."""
        if attempt is self._held_try:
            self._take_back()
        if not self._is_current(attempt):
            return
        self._trust(attempt)
        if attempt.has_not_run:
            self._handle_not_run(attempt)
        elif self._has_events(attempt):
            self._finish(attempt)
        else:
            self._handle_failure(attempt)

    def _handle_not_run(self, attempt):
        """Retry a generation that the engine states it did not run."""
        self._allowance.note_not_run()
        self.drop(attempt, "not_run", attempt.answer.status)
        if attempt.answer.is_other_instance:
            self.tools.health.note_replaced(attempt.endpoint.name)
        refusal = attempt.answer.refusal
        kind = refusal.kind if refusal else ErrorKind.OVERLOADED
        self._send_again(kind, "engines are busy")

    def _handle_failure(self, attempt):
        attempt.report_answer(is_failure=True)
        attempt.observer.answered(is_failure=True)
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
        if self._ends_midway(attempt):
            # The HTTP answer is complete but ends within an event, or is none of ours.
            attempt.report_loss(Loss.CLOSED_MIDWAY)
            self.drop(attempt, "unfinished_event", attempt.answer.status)
            self._note_engine_lost(attempt, Loss.CLOSED_MIDWAY)
            if self.is_over:
                return
            self._recover(ErrorKind.ENDPOINT_LOST, "answer ended within an event")
            return
        attempt.report_answer(is_failure=False)
        is_measured = attempt.number == 1 and not attempt.is_by_peer
        if is_measured and self._timing.mean_gap_s:
            self.tools.health.note_gap(attempt.endpoint.name, self._timing.mean_gap_s)
        if attempt.event_count:
            self.quarantine.note_run()
        if not self._has_head:
            self._start_answer(attempt)
        self.log_end(
            "answered",
            attempt,
            attempt.answer.status,
            self._first_ms,
            self._timing.events,
        )
        self.reply.write(attempt.events.take_rest())
        self.reply.finish()
        self.close()

    def _ends_midway(self, attempt):
        events = attempt.events
        has_other_text = self._is_resumed(attempt) and events.has_other_text
        return events.has_partial_event or has_other_text

    def try_lost(self, attempt, loss):
        """Retry or resume at another engine if that is safe."""
        if attempt is self._held_try:
            self._release_held_try()
        if not self._is_current(attempt):
            return
        self._suspicion.note_ended()
        attempt.report_loss(loss)
        self._note_copy(attempt)
        self.drop(attempt, loss.value, attempt.answer.status if attempt.answer else 0)
        if loss is Loss.NOT_CONNECTED:
            self._allowance.note_not_connected()
            self._send_again(self._cause, "no engine can be reached")
        elif attempt.has_not_run:
            self._allowance.note_not_run()
            self._send_again(ErrorKind.OVERLOADED, "engines are busy")
        else:
            self._note_lost_run(attempt)
            self._note_engine_lost(attempt, loss)
            if self.is_over:
                return
            self._recover(ErrorKind.ENDPOINT_LOST, "engine lost")

    # Ends.

    def give_up(self, kind, detail):
        """Cut off the answer, or refuse the request if it has not begun."""
        if self._has_head:
            self._cut()
        else:
            if self._allowance.runs:
                # An engine may have run the request, so the error must not say
                # "not run".
                kind = ErrorKind.ENDPOINT_LOST
            self.refuse(kind, detail, max(RETRY_AFTER_S, self.advised_s))

    def _cut(self):
        """Cut off the answer; the caller can resume after its last event."""
        self.tools.counters.streams_cut += 1
        self.log_end("cut", None, 0, self._first_ms, self._timing.events)
        self.reply.abort()
        self.close()

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
        self._release_held_try()
        self._copies.close()
        self.tools.prompts.end(self.request.last_part)
        if self._retry_timer is not None and self._retry_timer.active():
            self._retry_timer.cancel()
        super().close()
