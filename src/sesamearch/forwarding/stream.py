"""Generations: events passed on as they come, over one or more engines."""

from typing import Protocol

from automat import TypeMachineBuilder

from sesamearch.base.errors import ErrorKind
from sesamearch.base.log import logger
from sesamearch.base.record import GenerationResumed
from sesamearch.forwarding.choice import GenerationNeed
from sesamearch.forwarding.copies import CopyKeeper
from sesamearch.forwarding.exchange import Exchange
from sesamearch.forwarding.request import Passage
from sesamearch.forwarding.silence import (
    PROBE_INTERVAL_S,
    RESUME_PROBE_S,
    EventRhythm,
    SilenceWatch,
)
from sesamearch.wire.endpoint import Loss
from sesamearch.wire.events import EventSplitter

__all__ = ["StreamExchange"]

RETRY_CHOICE_S = 0.05
# Callers leave a stream that pauses for so long.
LONGEST_PAUSE_S = 2.0
REFUSE_ADVICE_S = 1.0
MAX_SENDS = 8
# Connections that cannot be made cost no engine anything.
MAX_UNCONNECTED = 40
URGENCY_LEAST = 9


class _Inputs(Protocol):
    def began(self) -> None:
        """Note the first event."""

    def broke(self) -> None:
        """Note that the engine is gone."""

    def went_on(self) -> None:
        """Note an event after a break."""

    def ended(self) -> None:
        """Note the end."""


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

    @broken.upon(_Inputs.went_on).to(streaming)
    def go_on(inputs, exchange):
        exchange._log_resumed()

    for state in (reading, streaming, broken):
        state.upon(_Inputs.ended).to(over).returns(None)
    over.upon(_Inputs.ended).loop().returns(None)
    return builder.build()


class StreamExchange(Exchange):
    """One generation.

    ::

        reading --began--> streaming --broke--> broken --went_on--> streaming
        any of them --ended--> over
    """

    def __init__(self, *arguments):
        super().__init__(*arguments)
        self._life = _machine(self)
        self._splitter = EventSplitter()
        self._last_event = self.request.after_event
        self._first_ms = 0
        self._rhythm = EventRhythm()
        self._silence = SilenceWatch(
            self.tools,
            self.route.gap_goal_s,
            self._rhythm,
            self._is_current,
            self._leave,
        )
        self._has_head = False
        self._is_broken = False
        self._has_copy = False
        self._is_prompt_read = False
        self._runs = 0
        self._unconnected = 0
        self._cause = ErrorKind.NO_ENDPOINT
        self._waiting = None
        self._need = GenerationNeed(
            self.request.prompt_tokens,
            self.request.prompt_tokens + self.request.output_tokens,
        )
        self._copies = CopyKeeper(
            self.tools,
            self.service,
            self._need,
            self.request.request_id,
            self._is_usable,
        )

    def start(self):
        """Send the first try, unless it could not bring anything in time."""
        self._is_prompt_read = bool(self.tools.prompts.find(self.request.own_part))
        shortest_s = self.tools.pace.shortest_s(self.request.prompt_tokens)
        if not self._is_prompt_read and self.left_s() < shortest_s:
            self.refuse(ErrorKind.NO_ENDPOINT, "the prompt takes longer to read")
            return
        self._send()

    # Sending.

    def _urgency(self):
        organisation = self.organisation
        rank = self.route.priority
        if organisation is not None and organisation.priority is not None:
            rank = organisation.priority
        return min(rank, URGENCY_LEAST)

    def _send(self):
        self._waiting = None
        if self.is_over or self.tries:
            return
        endpoint, copy = self._choose()
        if endpoint is None:
            self._wait_for_endpoint()
            return
        self.excluded.add(endpoint.name)
        self._runs += 1
        holder_address = ""
        if self.route.is_resumable:
            holder_address = self._copies.begin(endpoint)
        passage = Passage(
            endpoint,
            self.until_s,
            self.organisation.name if self.organisation else "",
            self._last_event,
            self._urgency(),
            holder_address,
            copy,
        )
        unread = 0 if copy else self._need.prompt_tokens
        work = self.tools.loads.begin(endpoint.name, unread, self._need.memory_tokens)
        self._silence.expect(RESUME_PROBE_S if self._has_head else PROBE_INTERVAL_S)
        self._splitter = EventSplitter()
        self.tools.prompts.began(self.request.own_part, endpoint.name)
        self.send(passage, work)

    def _choose(self):
        """Return the endpoint to send to and the memory to go on from."""
        has_copy, self._has_copy = self._has_copy, False
        endpoint, copy = self._copies.take()
        if endpoint is not None and has_copy:
            return endpoint, copy
        return self._where_prompt_was_read() or self._choose_any(), None

    def _where_prompt_was_read(self):
        """Return the engine that need not read the prompt of who goes on."""
        if self._last_event is None:
            return None
        name = self.tools.prompts.find(self.request.own_part)
        endpoint = self.tools.fleet.find(name)
        if endpoint is None or name in self.excluded or not self._is_usable(endpoint):
            return None
        return endpoint

    def _choose_any(self):
        return self.tools.chooser.for_generation(
            self.service.name,
            self.service.engine,
            self._need,
            self.request.request_id,
            self.excluded,
            self.tools.prompts.find(self.request.own_part),
        )

    def _is_usable(self, endpoint):
        is_of_service = endpoint.service == self.service.name
        is_down = self.tools.health.is_down(endpoint.name)
        is_admitted = self.tools.gate.admits(endpoint, self.request.request_id)
        return is_of_service and is_admitted and not endpoint.leaving and not is_down

    def _wait_for_endpoint(self):
        """Refuse, or look again soon where events were already passed on."""
        if self._has_head and self._pause_s() < LONGEST_PAUSE_S:
            self.excluded.clear()
            self._waiting = self.tools.clock.callLater(RETRY_CHOICE_S, self._send)
        else:
            self._give_up(self._cause, "no engine is available")

    def _pause_s(self):
        since_s = self._rhythm.last_s or self.request.received_s
        return self.now_s - since_s

    def _send_again(self, kind, detail):
        """Send to another engine after a try brought nothing, or give up."""
        self._cause = kind
        self._note_break()
        if self._has_head and self._last_event is None:
            # Events without numbers: there is no way to say where to go on.
            self._cut()
            return
        sent = self.tried - self._unconnected
        has_left = self._runs < self.route.max_attempts and sent < MAX_SENDS
        if has_left and self.left_s() > 0 and self.may_repeat():
            self._send()
        else:
            self._give_up(kind, detail)

    def _note_break(self):
        if self._has_head:
            self._is_broken = True
            self._life.broke()

    def _send_elsewhere(self):
        """Send after a connection could not be made: no engine saw the request."""
        if self._unconnected < MAX_UNCONNECTED and self.left_s() > 0:
            self._note_break()
            self._send()
        else:
            self._send_again(ErrorKind.NO_ENDPOINT, "no engine can be reached")

    def _give_up(self, kind, detail):
        if self._has_head:
            self._cut()
        else:
            if self._runs:
                # It may have run somewhere: "not run" would be a promise.
                kind = ErrorKind.ENDPOINT_LOST
            self.refuse(kind, detail, REFUSE_ADVICE_S)

    def _cut(self):
        """End an answer midway; the caller may go on elsewhere by its last event."""
        self.tools.counters.streams_cut += 1
        self.log_end("cut", None, 0, self._first_ms, self._rhythm.events)
        self.reply.abort()
        self.close()

    # Answers.

    def _is_current(self, attempt):
        return not self.is_over and attempt in self.tries

    def try_began(self, attempt):
        """Take the head: only the first engine's goes to the caller."""

    def try_received(self, attempt, data):
        """Pass on the events that are whole."""
        if not self._is_current(attempt) or attempt.is_promise:
            return
        if not attempt.answer.is_success:
            attempt.body.append(data)
            return
        events = [e for e in self._splitter.feed(data) if self._is_new(e)]
        if events:
            self._pass_on(attempt, events)

    def _is_new(self, event):
        """Return whether the caller lacks an event, and remember it as passed on."""
        if event.number is None:
            return True
        if self._last_event is not None and event.number <= self._last_event:
            return False
        self._last_event = event.number
        return True

    def _pass_on(self, attempt, events):
        if not attempt.work.is_read:
            attempt.work.prompt_was_read()
            self.note_answer(attempt, False)
        if not self._has_head:
            self._start_answer(attempt)
        elif self._is_broken:
            self._is_broken = False
            self._life.went_on()
            self.reply.set_producer(attempt.pending_request.producer)
        self._rhythm.note(len(events), self.now_s)
        self.reply.write(b"".join(event.data for event in events))

    def _start_answer(self, attempt):
        answer = attempt.answer
        self._has_head = True
        if attempt.number == 1 and not self._is_prompt_read:
            took_s = self.now_s - attempt.sent_s
            self.tools.pace.note_first(self.request.prompt_tokens, took_s)
        self._first_ms = self.took_ms()
        self.tools.meter.first_event(self.route.name, self._first_ms / 1000)
        self._life.began()
        self.reply.start(answer.status, answer.headers, answer.reason)
        self.reply.set_producer(attempt.pending_request.producer)

    def try_ended(self, attempt):
        """Take the end of an engine's answer."""
        if not self._is_current(attempt):
            return
        answer = attempt.answer
        if attempt.is_promise:
            self._take_promise(attempt)
        elif answer.is_success:
            self._finish(attempt)
        else:
            self._take_failure(attempt)

    def _take_promise(self, attempt):
        """Send elsewhere what provably did not run."""
        self._runs -= 1
        self.drop(attempt, "not_run", attempt.answer.status)
        if attempt.answer.is_other_instance:
            self.tools.health.replaced(attempt.endpoint.name)
        self._send_again(ErrorKind.OVERLOADED, "engines are busy")

    def _take_failure(self, attempt):
        self.tools.health.answered(attempt.endpoint.name, True)
        self.note_answer(attempt, True)
        self.drop(attempt, "failed", attempt.answer.status)
        can_repeat = self.route.is_resumable and self._runs < self.route.max_attempts
        if self._has_head or (can_repeat and attempt.answer.status >= 500):
            self._send_again(ErrorKind.ENDPOINT_LOST, "engine failed")
            return
        answer = attempt.answer
        self.log_end("answered", attempt, answer.status)
        body = b"".join(attempt.body)
        self.reply.answer(answer.status, answer.headers, body, answer.reason)
        self.close()

    def _finish(self, attempt):
        if self._splitter.has_partial_event:
            # It ended inside an event: the framing was whole, the answer is not.
            self.note_loss(attempt, Loss.CLOSED_MIDWAY)
            self.drop(attempt, "unfinished_event", attempt.answer.status)
            self._recover(ErrorKind.ENDPOINT_LOST, "answer broke off")
            return
        self.tools.health.answered(attempt.endpoint.name, False)
        if attempt.number == 1 and self._rhythm.mean_gap_s:
            self.tools.health.paced(attempt.endpoint.name, self._rhythm.mean_gap_s)
        if not self._has_head:
            self._start_answer(attempt)
        self.log_end(
            "answered",
            attempt,
            attempt.answer.status,
            self._first_ms,
            self._rhythm.events,
        )
        self.reply.finish()
        self.close()

    def try_lost(self, attempt, loss):
        """Go on at another engine if that is allowed."""
        if not self._is_current(attempt):
            return
        self.note_loss(attempt, loss)
        self._note_copy(attempt)
        self.drop(attempt, loss.value, attempt.answer.status if attempt.answer else 0)
        if loss is Loss.NOT_CONNECTED:
            self._runs -= 1
            self._unconnected += 1
            self._send_elsewhere()
        elif attempt.is_promise:
            self._runs -= 1
            self._send_again(ErrorKind.OVERLOADED, "engines are busy")
        else:
            self._recover(ErrorKind.ENDPOINT_LOST, "engine lost")

    def _note_copy(self, attempt):
        """Remember whether the backup can hold anything of a lost try.

        Engines copy the memory of what runs, and nothing of a prompt being read.
        """
        self._has_copy = self._rhythm.has_event_of(attempt)

    def _recover(self, kind, detail):
        if self.route.is_resumable:
            self._send_again(kind, detail)
        else:
            self._give_up(kind, detail)

    # Silence.

    def check(self):
        """Look for an engine that went silent; called at short intervals."""
        if self.is_over or not self.tries or not self.route.is_resumable:
            return
        attempt = self.tries[0]
        if self._silence.check(attempt):
            self._copies.keep(attempt.endpoint)

    def _leave(self, attempt, cause):
        """Close a silent try and go on elsewhere."""
        attempt.cancel()
        self._note_copy(attempt)
        self.tools.returns.lost(attempt.endpoint)
        self.tools.health.unreachable(attempt.endpoint.name)
        self.drop(attempt, cause)
        self._send_again(ErrorKind.ENDPOINT_LOST, "engine silent")

    # The end.

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
        """Cut the answer, or refuse one that has not begun."""
        if self._has_head:
            self._cut()
        else:
            self.refuse(ErrorKind.ENDPOINT_LOST, "this router stops")

    def expire(self, kind):
        """End at the end of the time that there was."""
        if self._has_head:
            self._cut()
        else:
            super().expire(kind)

    def close(self):
        """End the generation."""
        self._life.ended()
        self._copies.close()
        self.tools.prompts.ended(self.request.own_part)
        if self._waiting is not None and self._waiting.active():
            self._waiting.cancel()
        super().close()


_machine = _build_machine()
