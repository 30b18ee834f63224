"""Recorded engine streams and the case that tests of generations share."""

import unittest

import msgspec
from twisted.internet.task import Clock

from sesamearch.configuration.blackboard import Blackboard, Endpoint
from sesamearch.generation.attempt import AnswerSink, GenerationRequest, GenerationTools
from sesamearch.generation.cursor import CursorSigner
from sesamearch.generation.engine import EngineClient, EngineStream, StreamEvent
from sesamearch.generation.generation import Generation
from sesamearch.routing.placement import Placement
from tests.support import DRAFTING


class RecordedStream(EngineStream):
    def __init__(self, endpoint, engine_request, receiver, index=0):
        self.endpoint = endpoint
        self.engine_request = engine_request
        self.receiver = receiver
        self.index = index
        self.is_detached = False
        self.is_paused = False

    def send(self, *indexes, version="v1"):
        self.receiver.events(
            [StreamEvent(index, 1, f" t{index}", version) for index in indexes]
        )

    def finish(self, index, version="v1"):
        self.receiver.events([StreamEvent(index, 0, "", version, "stop")])

    def end(self, reason):
        self.receiver.ended(reason, reason.value)

    def pause(self):
        self.is_paused = True

    def resume(self):
        self.is_paused = False

    def detach(self):
        self.is_detached = True


class RecordingEngines(EngineClient):
    def __init__(self):
        self.opened = []
        self.attached = []
        self.cancelled = []

    def open(self, endpoint, engine_request, receiver):
        self.opened.append(RecordedStream(endpoint, engine_request, receiver))
        return self.opened[-1]

    def attach(self, endpoint, stream_id, index, receiver):
        self.attached.append(RecordedStream(endpoint, None, receiver, index))
        return self.attached[-1]

    def cancel(self, endpoint, stream_id):
        self.cancelled.append(endpoint.name)


class RecordedOutcomes(list):
    note = list.append


class RecordingSink(AnswerSink):
    def __init__(self):
        self.text = ""
        self.cursor = b""
        self.finished = None
        self.problem = None

    def begin(self, version):
        self.version = version

    def token(self, event_id, text):
        self.cursor = event_id
        self.text += text

    def flush(self):
        pass

    def finish(self, event_id, finish_reason, tokens):
        self.finished = tokens

    def fail(self, problem):
        self.problem = problem


class GenerationCase(unittest.TestCase):
    def setUp(self):
        self.clock = Clock()
        self.board = Blackboard()
        self.engines = RecordingEngines()
        self.signer = CursorSigner(b"s" * 32)
        self.set_endpoints("e1", "e2")
        placement = Placement(self.board, "a", self.clock)
        self.outcomes = RecordedOutcomes()
        self.tools = GenerationTools(
            self.engines,
            placement,
            self.signer,
            self.clock,
            self.board.counters,
            self.outcomes,
        )
        self.sink = RecordingSink()
        self.generation = self.make_generation()

    def set_endpoints(self, *names, version="v1"):
        endpoints = {n: Endpoint(n, n, "a", "drafting", version) for n in names}
        self.board.endpoints.write(endpoints)

    def make_generation(self, deadline_s=1000.0, service=DRAFTING):
        request = GenerationRequest(
            "req",
            "clerks",
            service,
            "v1",
            {"messages": msgspec.Raw(b"[]")},
            b"d",
            7,
            100,
            deadline_s,
        )
        return Generation(request, self.tools, self.sink)

    def advance(self, seconds):
        self.clock.advance(seconds)
        self.generation.check(self.clock.seconds())
