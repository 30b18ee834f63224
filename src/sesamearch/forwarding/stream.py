"""Generations: events are streamed to the caller from one or more engines."""

from typing import Protocol

from automat import TypeMachineBuilder

from sesamearch.base.errors import ErrorKind
from sesamearch.base.log import logger
from sesamearch.base.record import GenerationResumed
from sesamearch.forwarding.choice import GenerationNeed
from sesamearch.forwarding.copies import CopyManager
from sesamearch.forwarding.exchange import Exchange
from sesamearch.forwarding.request import ForwardOptions
from sesamearch.forwarding.stall import (
    PROBE_INTERVAL_S,
    RESUME_PROBE_DELAY_S,
    EventTiming,
    StallDetector,
)
from sesamearch.wire.endpoint import Loss
from sesamearch.wire.events import EventError, EventSplitter

__all__ = ["StreamExchange"]

CHOICE_RETRY_INTERVAL_S = 0.05
# Callers abandon a stream that pauses for longer.
MAX_PAUSE_S = 2.0
RETRY_AFTER_S = 1.0
MAX_SENDS = 8
# Failed connections cause no work at an engine, so they have a higher limit.
MAX_FAILED_CONNECTIONS = 40
LOWEST_URGENCY = 9


class _Inputs(Protocol):
    def began(self) -> None:
        """Handle the first event."""

    def broke(self) -> None:
        """Handle the loss of the engine."""

    def resumed(self) -> None:
        """Handle the first event after a break."""

    def ended(self) -> None:
        """Handle the end of the generation."""


def _build_machine():
    builder = TypeMachineBuilder(_Inputs, StreamExchange)
    reading = builder.state("reading")
    streaming = builder.state("streaming")
    broken = builder.state("broken")
    over = builder.state("over")
    reading.upon(_Inputs.began).to(streaming).returns(None)
    reading.upon(_Inputs.broke).loop().returns(None)
    streaming.upon(_Inputs.broke).to(broken).returns(None)
    broken.upon(_Inputs.broke).loop().returns(None)

    @broken.upon(_Inputs.resumed).to(streaming)
    def log_resumed(inputs, exchange):
        exchange._log_resumed()

    for state in (reading, streaming, broken):
        state.upon(_Inputs.ended).to(over).returns(None)
    over.upon(_Inputs.ended).loop().returns(None)
    return builder.build()


class StreamExchange(Exchange):
    """Forwards one generation and resumes it at another engine if one is lost.

    ::

        reading --began--> streaming --broke--> broken --resumed--> streaming
        any of them --ended--> over
    """

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self._lifecycle = _machine(self)
        self._splitter = EventSplitter()
        self._last_event = self.request.after_event
        self._first_ms = 0
        self._timing = EventTiming()
        self._stall_detector = StallDetector(
            self.tools,
            self.route.gap_goal_s,
            self._timing,
            self._is_current,
            self._abandon,
        )
        self._has_head = False
        self._is_broken = False
        self._has_copy = False
        self._is_prompt_cached = False
        self._runs = 0
        self._failed_connections = 0
        self._cause = ErrorKind.NO_ENDPOINT
        self._retry_timer = None
        self._need = GenerationNeed(
            self.request.prompt_tokens,
            self.request.prompt_tokens + self.request.output_tokens,
        )
        self._copies = CopyManager(
            self.tools,
            self.service,
            self._need,
            self.request.request_id,
            self._is_usable,
        )

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

    def _send(self):
        self._retry_timer = None
        if self.is_over or self.tries:
            return
        endpoint, copy = self._choose()
        if endpoint is None:
            self._wait_for_endpoint()
            return
        self.excluded.add(endpoint.name)
        self._runs += 1
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
        unread = 0 if copy else self._need.prompt_tokens
        work = self.tools.loads.begin(endpoint.name, unread, self._need.memory_tokens)
        self._stall_detector.schedule_probe(
            RESUME_PROBE_DELAY_S if self._has_head else PROBE_INTERVAL_S
        )
        self._splitter = EventSplitter()
        self.tools.prompts.begin(self.request.last_part, endpoint.name)
        self.send(options, work)

    def _choose(self):
        """Return the endpoint for the next try and the copy to resume from, if any."""
        has_copy, self._has_copy = self._has_copy, False
        endpoint, copy = self._copies.detach()
        is_paused = endpoint is not None and self.tools.pauses.is_paused(endpoint)
        if endpoint is not None and has_copy and not is_paused:
            return endpoint, copy
        return self._endpoint_with_prompt() or self._choose_any(), None

    def _endpoint_with_prompt(self):
        """Return the engine that has the prompt of a resumed generation cached."""
        if self._last_event is None:
            return None
        name = self.tools.prompts.find(self.request.last_part)
        endpoint = self.tools.endpoint_index.find(name)
        if endpoint is None or name in self.excluded or not self._is_usable(endpoint):
            return None
        return None if self.tools.pauses.is_paused(endpoint) else endpoint

    def _choose_any(self):
        return self.tools.chooser.for_generation(
            self.service.name,
            self.service.engine,
            self._need,
            self.request.request_id,
            self.excluded,
            self.tools.prompts.find(self.request.last_part),
        )

    def _is_usable(self, endpoint):
        is_of_service = endpoint.service == self.service.name
        is_down = self.tools.health.is_down(endpoint.name)
        is_down |= self.tools.outages.is_unreachable(endpoint.data_centre)
        is_admitted = self.tools.gate.admits(endpoint, self.request.request_id)
        return is_of_service and is_admitted and not endpoint.leaving and not is_down

    def _wait_for_endpoint(self):
        """Choose again soon if the answer has begun and paused briefly, or give up."""
        if self._has_head and self._pause_s() < MAX_PAUSE_S:
            self.excluded.clear()
            self._retry_timer = self.tools.clock.callLater(
                CHOICE_RETRY_INTERVAL_S, self._send
            )
        else:
            self._give_up(self._cause, "no engine is available")

    def _pause_s(self):
        since_s = self._timing.last_s or self.request.received_s
        return self.now_s - since_s

    def _send_again(self, kind, detail):
        """Retry at another engine after a lost try, or give up."""
        self._cause = kind
        self._note_break()
        if self._has_head and self._last_event is None:
            # Events have no numbers, so the point to resume from is unknown.
            self._cut()
            return
        sent = self.try_count - self._failed_connections
        has_tries_left = self._runs < self.route.max_attempts and sent < MAX_SENDS
        # A generation that has begun may wait for an endpoint, and is sent on then.
        can_send = self._has_head or self._choose_any() is not None
        can_send &= has_tries_left and self.remaining_s() > 0
        if can_send and self.spend_retry():
            self._send()
        else:
            self._give_up(kind, detail)

    def _note_break(self):
        if self._has_head:
            self._is_broken = True
            self._lifecycle.broke()

    def _send_after_failed_connection(self):
        """Retry after a failed connection, over which no engine got the request."""
        if self._failed_connections < MAX_FAILED_CONNECTIONS and self.remaining_s() > 0:
            self._note_break()
            self._send()
        else:
            self._send_again(ErrorKind.NO_ENDPOINT, "no engine can be reached")

    def _give_up(self, kind, detail):
        if self._has_head:
            self._cut()
        else:
            if self._runs:
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
        if not attempt.work.is_read:
            attempt.work.prompt_was_read()
            self.note_answer(attempt, False)
        if not self._has_head:
            self._start_answer(attempt)
        elif self._is_broken:
            self._is_broken = False
            self._lifecycle.resumed()
            self.reply.set_producer(attempt.pending_request.producer)
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
        answer = attempt.answer
        if attempt.has_not_run:
            self._handle_not_run(attempt)
        elif answer.is_success:
            self._finish(attempt)
        else:
            self._handle_failure(attempt)

    def _handle_not_run(self, attempt):
        """Retry a generation that the engine states it did not run."""
        self._runs -= 1
        self.drop(attempt, "not_run", attempt.answer.status)
        if attempt.answer.is_other_instance:
            self.tools.health.note_replaced(attempt.endpoint.name)
        self._send_again(ErrorKind.OVERLOADED, "engines are busy")

    def _handle_failure(self, attempt):
        self.tools.health.note_answer(attempt.endpoint.name, True)
        self.note_answer(attempt, True)
        self.drop(attempt, "failed", attempt.answer.status)
        can_repeat = self.route.is_resumable and self._runs < self.route.max_attempts
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
        self.note_loss(attempt, loss)
        self._note_copy(attempt)
        self.drop(attempt, loss.value, attempt.answer.status if attempt.answer else 0)
        if loss is Loss.NOT_CONNECTED:
            self._runs -= 1
            self._failed_connections += 1
            self._send_after_failed_connection()
        elif attempt.has_not_run:
            self._runs -= 1
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
        if self._stall_detector.check(attempt):
            self._copies.refresh(attempt.endpoint)

    def _abandon(self, attempt, cause):
        """Cancel a stalled try and resume at another engine."""
        attempt.cancel()
        self._note_copy(attempt)
        self.tools.restarts.note_lost(attempt.endpoint)
        self.tools.health.note_unreachable(attempt.endpoint.name)
        self.tools.outages.note_unreachable(attempt.endpoint)
        self.drop(attempt, cause)
        self._send_again(ErrorKind.ENDPOINT_LOST, "engine silent")

    # Ends.

    def _log_resumed(self):
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


_machine = _build_machine()
