"""Callers' requests byte by byte over an in-memory connection, good and bad."""

import json
import time
import unittest

from result import Err, Ok
from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectionLost
from twisted.internet.task import Clock
from twisted.internet.testing import StringTransport
from twisted.python.failure import Failure

from sesamearch.callers.gateway import Gateway
from sesamearch.configuration.blackboard import Blackboard, DrainPhase, Endpoint
from sesamearch.configuration.configuration import (
    Configuration,
    Organisation,
    hash_api_key,
)
from sesamearch.configuration.directory import ServiceDirectory
from sesamearch.configuration.settings import LimitSettings
from sesamearch.configuration.site import LimitedSite
from sesamearch.generation.attempt import GenerationTools
from sesamearch.generation.cursor import CursorSigner
from sesamearch.generation.engine import StreamEnd
from sesamearch.operation.call import CallRunner, CallTools
from sesamearch.operation.claim import ClaimWriter
from sesamearch.operation.operation import OperationRunner, OperationTools
from sesamearch.operation.plain import CallLoss, PlainClient, PlainReply
from sesamearch.replay.process import Process
from sesamearch.replay.store import FakeStore, StoreFaults
from sesamearch.routing.placement import Placement
from tests.generation.test_generation import Outcomes, RecordingEngines
from tests.support import DRAFTING, TICKETING

LIMITS = LimitSettings(body_bytes=2000, receive_timeout_s=5, generations=2)
CLERK = b"Authorization: Bearer clerk-key\r\n"
AGENT = b"Authorization: Bearer agent-key\r\n"
PROMPT = {"model": "draft", "messages": [{"role": "user", "content": "x"}]}


class RecordingPlainClient(PlainClient):
    def __init__(self):
        self.calls = []

    def call(self, endpoint, request, timeout_s):
        self.calls.append((endpoint.name, request, Deferred()))
        return self.calls[-1][2]


class Connection:
    """A caller's connection."""

    def __init__(self, site):
        self.transport = StringTransport()
        self.transport.abortConnection = self.transport.loseConnection
        self.protocol = site.buildProtocol(None)
        self.protocol.makeConnection(self.transport)

    def send(self, method, path, body=b"", headers=CLERK):
        length = b"Content-Length: %d\r\n" % len(body)
        head = b"%s %s HTTP/1.1\r\nHost: r\r\n" % (method, path)
        self.protocol.dataReceived(head + headers + length + b"\r\n" + body)
        return self

    @property
    def received(self):
        # What came in this turn of the reactor is written at its end.
        self.protocol.site.reactor.advance(0)
        return self.transport.value()

    @property
    def status(self):
        return int(self.received.split(b" ", 2)[1])

    @property
    def body(self):
        return self.received.partition(b"\r\n\r\n")[2]

    @property
    def problem(self):
        text = self.body[self.body.index(b"{") : self.body.rindex(b"}") + 1]
        return json.loads(text)


class GatewayCase(unittest.TestCase):
    def setUp(self):
        self.clock = Clock()
        self.clock.rightNow = time.time()
        self.board = Blackboard()
        self.engines = RecordingEngines()
        self.plain = RecordingPlainClient()
        self.faults = StoreFaults(self.clock)
        store = FakeStore(Process(self.clock, "r1"), self.faults, 0.004)
        counters = self.board.counters
        placement = Placement(self.board, "a", self.clock)
        claims = ClaimWriter(store, self.clock, counters)
        self.outcomes = Outcomes()
        calls = CallTools(self.plain, placement, self.clock, self.outcomes)
        operation_tools = OperationTools(calls, claims, counters, "r1")
        self.gateway = Gateway(
            self.board,
            ServiceDirectory(self.board),
            GenerationTools(
                self.engines,
                placement,
                CursorSigner(b"s" * 32),
                self.clock,
                counters,
                self.outcomes,
            ),
            CallRunner(calls),
            OperationRunner(operation_tools, store),
            LIMITS,
        )
        self.site = LimitedSite(self.gateway.app.resource(), LIMITS, self.clock)
        self.configure()

    def configure(self):
        organisations = [
            Organisation("clerks", [hash_api_key("clerk-key")]),
            Organisation("agents", [hash_api_key("agent-key")]),
        ]
        self.board.accept_configuration(
            Configuration(1, "test", [DRAFTING, TICKETING], organisations)
        )
        endpoints = [
            Endpoint("e1", "e1", "a", "drafting", "v1"),
            Endpoint("s1", "s1", "a", "ticketing", "v1"),
            Endpoint("s2", "s2", "a", "ticketing", "v1"),
        ]
        self.board.endpoints.write({e.name: e for e in endpoints})

    def ask(self, headers=CLERK, connection=None, **changes):
        body = json.dumps({**PROMPT, **changes}).encode()
        connection = connection or Connection(self.site)
        return connection.send(b"POST", b"/v1/chat/completions", body, headers)

    def assert_problem(self, connection, status, kind, ran):
        self.assertEqual(connection.status, status, connection.received)
        self.assertIn(b"application/problem+json", connection.received)
        problem = connection.problem
        self.assertEqual(problem["type"], "urn:sesamearch:problem:" + kind)
        self.assertEqual(problem["ran"], ran)


class CompletionTest(GatewayCase):
    def test_streamed_answer(self):
        connection = self.ask(stream=True)
        stream = self.engines.opened[0]
        stream.send(0, 1)
        stream.finish(2)
        self.assertEqual(connection.status, 200)
        self.assertEqual(connection.body.count(b'"content":" t'), 2)
        self.assertIn(b"data: [DONE]", connection.body)

    def test_unstreamed_answer(self):
        connection = self.ask()
        self.engines.opened[0].send(0, 1)
        self.engines.opened[0].finish(2)
        body = connection.body
        answer = json.loads(body[body.index(b"{") : body.rindex(b"}") + 1])
        self.assertEqual(answer["choices"][0]["message"]["content"], " t0 t1")
        self.assertEqual(answer["usage"]["completion_tokens"], 2)

    def test_sampling_parameters_reach_the_engine(self):
        self.ask(temperature=0.5, sesamearch={"delivered": "x"})
        parameters = self.engines.opened[0].order.parameters
        self.assertEqual(bytes(parameters["temperature"]), b"0.5")
        self.assertNotIn("sesamearch", parameters)

    def test_caller_who_leaves_cancels_its_generation_only(self):
        leaving, staying = self.ask(stream=True), self.ask(stream=True)
        leaving.protocol.connectionLost(Failure(ConnectionLost()))
        self.assertEqual(len(self.engines.cancelled), 1)
        self.engines.opened[1].send(0)
        self.assertIn(b" t0", staying.body)

    def test_loss_before_the_first_token_has_an_error_status(self):
        connection = self.ask(stream=True)
        self.engines.opened[0].end(StreamEnd.INVALID)
        self.assert_problem(connection, 400, "bad-request", "not_run")

    def test_loss_in_the_answer_is_an_error_event(self):
        connection = self.ask(stream=True)
        self.engines.opened[0].send(0)
        self.gateway.hand_over()
        self.assertIn(b"event: error", connection.body)
        self.assertIn(b"hand-over", connection.body)


class BadInputTest(GatewayCase):
    def test_malformed_json(self):
        path = b"/v1/chat/completions"
        for body in (b"{", b"[]", b"{}", b'{"model": 1}', b"\xff\xfe", b""):
            connection = Connection(self.site).send(b"POST", path, body)
            self.assert_problem(connection, 400, "bad-request", "not_run")

    def test_unsupported_members(self):
        for changes in ({"n": 2}, {"tools": []}, {"seed": -1}, {"max_tokens": -4}):
            connection = self.ask(**changes)
            self.assert_problem(connection, 400, "bad-request", "not_run")

    def test_asked_timeout_is_kept_within_the_services_own(self):
        for asked in (b"nan", b"inf", b"-5", b"x", b"1e9"):
            self.ask(headers=CLERK + b"Sesame-Timeout-S: " + asked + b"\r\n")
            for generation in list(self.gateway.generations):
                left_s = generation.request.deadline_s - self.clock.seconds()
                self.assertTrue(0 <= left_s <= DRAFTING.timeout_s, asked)
                generation.caller_left()

    def test_unknown_model(self):
        connection = self.ask(model="none")
        self.assert_problem(connection, 404, "unknown-model", "not_run")

    def test_unknown_organisation(self):
        for headers in (b"", b"Authorization: Bearer x\r\n", b"Authorization: x\r\n"):
            connection = self.ask(headers=headers)
            self.assert_problem(connection, 401, "unknown-organisation", "not_run")

    def test_announced_body_too_large(self):
        connection = self.ask(padding="x" * 3000)
        self.assert_problem(connection, 413, "body-too-large", "not_run")
        self.assertEqual(self.engines.opened, [])

    def test_chunked_body_too_large(self):
        connection = Connection(self.site)
        head = b"POST /v1/chat/completions HTTP/1.1\r\nHost: r\r\n"
        chunk = b"400\r\n" + b"x" * 1024 + b"\r\n"
        connection.protocol.dataReceived(head + b"Transfer-Encoding: chunked\r\n\r\n")
        for _ in range(3):
            connection.protocol.dataReceived(chunk)
        self.assert_problem(connection, 413, "body-too-large", "not_run")

    def test_oversized_header(self):
        connection = self.ask(headers=CLERK + b"X: " + b"x" * 20000 + b"\r\n")
        self.assert_problem(connection, 431, "header-too-large", "not_run")
        many = b"".join(b"X-%d: %s\r\n" % (n, b"x" * 900) for n in range(30))
        connection = self.ask(headers=CLERK + many)
        self.assert_problem(connection, 431, "header-too-large", "not_run")
        self.assertEqual(self.engines.opened, [])

    def test_slow_sender(self):
        connection = Connection(self.site)
        head = b"POST /v1/chat/completions HTTP/1.1\r\nHost: r\r\n"
        connection.protocol.dataReceived(head + b"Content-Length: 100\r\n\r\n{")
        other = self.ask(stream=True)
        self.clock.advance(LIMITS.receive_timeout_s)
        self.assert_problem(connection, 408, "slow-sender", "not_run")
        self.engines.opened[0].send(0)
        self.assertIn(b" t0", other.body)

    def test_full_router_refuses_at_once(self):
        for _ in range(LIMITS.generations):
            self.ask(stream=True)
        connection = self.ask(stream=True)
        self.assert_problem(connection, 429, "overloaded", "not_run")
        self.assertIn(b"Retry-After: 1", connection.received)

    def test_draining_router_refuses(self):
        self.board.drain.write(DrainPhase(True, True, 0))
        self.assert_problem(self.ask(), 503, "draining", "not_run")

    def test_without_configuration_everything_is_refused(self):
        self.board.configuration.write(Configuration())
        self.assert_problem(self.ask(), 503, "configuration-missing", "not_run")


class OtherPathTest(GatewayCase):
    def test_unknown_path_and_method(self):
        for method, path in ((b"GET", b"/nothing"), (b"DELETE", b"/v1/models")):
            connection = Connection(self.site).send(method, path)
            self.assert_problem(connection, 404, "unknown-call", "not_run")

    def test_models(self):
        connection = Connection(self.site).send(b"GET", b"/v1/models")
        self.assertIn(b'"id":"draft"', connection.body)

    def test_bug_is_an_unknown_outcome(self):
        self.gateway.generations = None
        connection = self.ask()
        self.assert_problem(connection, 500, "internal", "unknown")


class CursorRequestTest(GatewayCase):
    def cursor(self):
        connection = self.ask(stream=True)
        self.engines.opened[0].send(0)
        line = next(li for li in connection.body.split(b"\n") if li[:4] == b"id: ")
        return line[4:]

    def come_back(self, cursor, headers=CLERK, **changes):
        headers += b"Last-Event-ID: " + cursor + b"\r\n"
        return self.ask(headers=headers, **{"stream": True, **changes})

    def test_good_cursor_goes_on(self):
        self.come_back(self.cursor(), sesamearch={"delivered": " t0"})
        self.assertEqual(self.engines.attached[0].index, 1)

    def test_bad_cursor(self):
        connection = self.come_back(b"rubbish")
        self.assert_problem(connection, 400, "bad-cursor", "not_run")

    def test_forged_cursor(self):
        cursor = b"A" + self.cursor()[1:]
        connection = self.come_back(cursor)
        self.assert_problem(connection, 403, "forged-cursor", "not_run")

    def test_cursor_of_another_organisation(self):
        connection = self.come_back(self.cursor(), AGENT)
        self.assert_problem(connection, 403, "forged-cursor", "not_run")

    def test_cursor_of_another_request(self):
        connection = self.come_back(self.cursor(), temperature=1)
        self.assert_problem(connection, 400, "bad-cursor", "not_run")


class PlainCallTest(GatewayCase):
    def receipt(self, key=b"k1", body=b"{}", headers=CLERK):
        headers += b"Idempotency-Key: " + key + b"\r\n" if key else b""
        path = b"/services/ticketing/receipts"
        connection = Connection(self.site).send(b"POST", path, body, headers)
        self.settle_down()
        return connection

    def settle_down(self, seconds=0.1):
        self.clock.pump([0.002] * int(seconds / 0.002))

    def answer(self, number, outcome):
        self.plain.calls[number][2].callback(outcome)
        self.settle_down()

    def test_reply_is_passed_through(self):
        connection = self.receipt()
        self.answer(0, Ok(PlainReply(201, [("X-Number", "7")], b"done")))
        self.assertEqual(connection.status, 201)
        self.assertIn(b"X-Number: 7", connection.received)
        self.assertIn(b"done", connection.body)

    def test_callers_secrets_are_not_passed_on(self):
        self.receipt()
        names = {name for name, _ in self.plain.calls[0][1].headers}
        self.assertNotIn("Authorization", names)
        self.assertIn("Idempotency-Key", names)

    def test_lost_operation_is_unknown_and_never_sent_again(self):
        connection = self.receipt()
        self.answer(0, Err(CallLoss.LOST))
        self.assert_problem(connection, 502, "operation-unknown", "unknown")
        again = self.receipt()
        self.assertEqual(len(self.plain.calls), 1)
        self.assertEqual(again.problem["ran"], "unknown")
        self.assertIn(b"Location: /operations/ticketing", connection.received)

    def test_unsent_operation_goes_to_another_endpoint(self):
        connection = self.receipt()
        self.answer(0, Err(CallLoss.NOT_SENT))
        self.answer(1, Ok(PlainReply(200, [], b"done")))
        self.assertEqual(connection.status, 200)
        self.assertEqual(self.plain.calls[1][0], "s2")

    def test_refused_everywhere_is_not_run_and_can_be_asked_again(self):
        connection = self.receipt()
        self.answer(0, Err(CallLoss.REFUSED))
        self.answer(1, Err(CallLoss.REFUSED))
        self.assert_problem(connection, 503, "no-endpoint", "not_run")
        self.receipt()
        self.assertEqual(len(self.plain.calls), 3)

    def test_caller_who_leaves_does_not_stop_its_operation(self):
        connection = self.receipt()
        connection.protocol.connectionLost(Failure(ConnectionLost()))
        self.answer(0, Ok(PlainReply(200, [], b"done")))
        again = self.receipt()
        self.assertIn(b"done", again.body)
        self.assertIn(b"Sesame-Replayed: true", again.received)
        self.assertEqual(len(self.plain.calls), 1)

    def test_same_key_at_once_runs_once(self):
        first, second = self.receipt(), self.receipt()
        self.answer(0, Ok(PlainReply(200, [], b"done")))
        self.assertEqual(len(self.plain.calls), 1)
        self.assertIn(b"done", first.body)
        self.assertIn(b"done", second.body)

    def test_same_key_of_another_organisation_is_another_operation(self):
        self.receipt()
        self.receipt(headers=AGENT)
        self.assertEqual(len(self.plain.calls), 2)

    def test_key_used_for_another_request_is_refused(self):
        self.receipt()
        connection = self.receipt(body=b"other")
        self.assert_problem(connection, 422, "idempotency-key-reused", "not_run")

    def test_missing_key_is_refused(self):
        connection = self.receipt(key=b"")
        self.assert_problem(connection, 400, "idempotency-key-required", "not_run")

    def test_outage_is_refused_as_not_run(self):
        self.faults.set_out(True)
        connection = self.receipt()
        self.settle_down(3)
        self.assert_problem(connection, 503, "store-unavailable", "not_run")
        self.assertEqual(self.plain.calls, [])

    def test_outcome_can_be_asked_for(self):
        self.receipt()
        self.answer(0, Ok(PlainReply(200, [], b"done")))
        headers = CLERK + b"Idempotency-Key: k1\r\n"
        path = b"/operations/ticketing"
        found = Connection(self.site).send(b"GET", path, headers=headers)
        other = Connection(self.site).send(
            b"GET", path, headers=AGENT + b"Idempotency-Key: k1\r\n"
        )
        self.settle_down()
        self.assertIn(b"done", found.body)
        self.assert_problem(other, 404, "operation-not-found", "unknown")

    def test_idempotent_call_is_repeated_elsewhere(self):
        path = b"/services/ticketing/tickets/5?full=1"
        connection = Connection(self.site).send(b"GET", path)
        self.answer(0, Err(CallLoss.LOST))
        self.answer(1, Ok(PlainReply(200, [], b"ticket")))
        self.assertIn(b"ticket", connection.body)
        self.assertEqual(self.plain.calls[0][1].path, "/tickets/5?full=1")

    def test_path_that_could_reach_another_call_is_refused(self):
        # "/*" is idempotent: resolved by an endpoint, these would run the receipt
        # under its retry rules.
        for path in (b"a/../receipts", b"a/%2e%2e/receipts", b"./x", b"/x"):
            connection = Connection(self.site)
            connection.send(b"GET", b"/services/ticketing/" + path)
            self.assert_problem(connection, 404, "unknown-call", "not_run")
        connection = Connection(self.site)
        connection.send(b"GET", b"http://r/services/ticketing/x")
        # The library itself answers bytes that no request line may have.
        connection = Connection(self.site).send(b"GET", b"/services/ticketing/\xff")
        self.assertEqual(connection.status, 400)
        self.assertEqual(self.plain.calls, [])

    def test_unknown_call_and_service(self):
        connection = Connection(self.site).send(b"POST", b"/services/ticketing/x")
        self.assert_problem(connection, 404, "unknown-call", "not_run")
        connection = Connection(self.site).send(b"GET", b"/services/nothing/x")
        self.assert_problem(connection, 404, "unknown-service", "not_run")
