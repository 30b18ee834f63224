"""Tests of valid and invalid requests of callers, over an in-memory connection."""

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
from sesamearch.callers.site import ResourceFactory
from sesamearch.configuration.blackboard import Blackboard, DrainPhase, Endpoint
from sesamearch.configuration.configuration import (
    Configuration,
    Organisation,
    hash_api_key,
)
from sesamearch.configuration.directory import ServiceDirectory
from sesamearch.configuration.settings import LimitSettings
from sesamearch.generation.attempt import GenerationTools
from sesamearch.generation.cursor import CursorSigner
from sesamearch.generation.engine import StreamEnd
from sesamearch.operation.call import CallRunner, CallTools
from sesamearch.operation.claim import ClaimWriter
from sesamearch.operation.operation import OperationRunner, OperationTools
from sesamearch.operation.plain import CallFailure, PlainClient, PlainReply
from sesamearch.replay.process import Process
from sesamearch.replay.store import FakeStore, StoreFaults
from sesamearch.routing.placement import Placement
from sesamearch.wire.account import CallerAccount
from tests.generation.recorded import RecordedOutcomes, RecordingEngines
from tests.support import DRAFTING, TICKETING

LIMITS = LimitSettings(body_bytes=2000, receive_timeout_s=5, generations=2)
CLERK_HEADERS = b"Authorization: Bearer clerk-key\r\n"
AGENT_HEADERS = b"Authorization: Bearer agent-key\r\n"
PROMPT = {"model": "draft", "messages": [{"role": "user", "content": "x"}]}


class RecordingPlainClient(PlainClient):
    def __init__(self):
        self.calls = []

    def call(self, endpoint, request, timeout_s):
        self.calls.append((endpoint.name, request, Deferred()))
        return self.calls[-1][2]


class Transport(StringTransport):
    """Takes all that is written at once."""

    unsent_bytes = 0

    def setTcpNoDelay(self, enabled):
        """Ignore the option."""

    def loseWriteConnection(self):
        self.loseConnection()

    def abortConnection(self):
        self.loseConnection()


class Connection:
    """An in-memory connection of a caller."""

    def __init__(self, site):
        self.transport = Transport()
        self.protocol = site.buildProtocol(None)
        self.protocol.makeConnection(self.transport)

    def send(self, method, path, body=b"", headers=CLERK_HEADERS):
        length = b"Content-Length: %d\r\n" % len(body)
        head = b"%s %s HTTP/1.1\r\nHost: r\r\n" % (method, path)
        self.protocol.dataReceived(head + headers + length + b"\r\n" + body)
        return self

    @property
    def received(self):
        # First runs the calls scheduled for the end of this reactor iteration.
        self.protocol.factory.clock.advance(0)
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


class GatewayTestCase(unittest.TestCase):
    def setUp(self):
        self.clock = Clock()
        self.clock.rightNow = time.time()
        self.board = Blackboard()
        self.engines = RecordingEngines()
        self.plain_client = RecordingPlainClient()
        self.faults = StoreFaults(self.clock)
        store = FakeStore(Process(self.clock, "r1"), self.faults, 0.004)
        counters = self.board.counters
        placement = Placement(self.board, "a", self.clock)
        claims = ClaimWriter(store, self.clock, counters)
        self.outcomes = RecordedOutcomes()
        calls = CallTools(self.plain_client, placement, self.clock, self.outcomes)
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
        self.site = ResourceFactory(
            self.gateway.app.resource(), LIMITS, self.clock, CallerAccount(self.clock)
        )
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

    def post_completion(self, headers=CLERK_HEADERS, connection=None, **changes):
        body = json.dumps({**PROMPT, **changes}).encode()
        connection = connection or Connection(self.site)
        return connection.send(b"POST", b"/v1/chat/completions", body, headers)

    def assert_problem(self, connection, status, kind, ran):
        self.assertEqual(connection.status, status, connection.received)
        self.assertIn(b"application/problem+json", connection.received)
        problem = connection.problem
        self.assertEqual(problem["type"], "urn:sesamearch:problem:" + kind)
        self.assertEqual(problem["ran"], ran)


class CompletionTest(GatewayTestCase):
    def test_streamed_answer(self):
        connection = self.post_completion(stream=True)
        stream = self.engines.opened[0]
        stream.send(0, 1)
        stream.finish(2)
        self.assertEqual(connection.status, 200)
        self.assertEqual(connection.body.count(b'"content":" t'), 2)
        self.assertIn(b"data: [DONE]", connection.body)

    def test_unstreamed_answer(self):
        connection = self.post_completion()
        self.engines.opened[0].send(0, 1)
        self.engines.opened[0].finish(2)
        body = connection.body
        answer = json.loads(body[body.index(b"{") : body.rindex(b"}") + 1])
        self.assertEqual(answer["choices"][0]["message"]["content"], " t0 t1")
        self.assertEqual(answer["usage"]["completion_tokens"], 2)

    def test_sampling_parameters_reach_the_engine(self):
        self.post_completion(temperature=0.5, sesamearch={"delivered": "x"})
        parameters = self.engines.opened[0].engine_request.parameters
        self.assertEqual(bytes(parameters["temperature"]), b"0.5")
        self.assertNotIn("sesamearch", parameters)

    def test_disconnect_cancels_only_the_callers_own_generation(self):
        leaving, staying = (
            self.post_completion(stream=True),
            self.post_completion(stream=True),
        )
        leaving.protocol.connectionLost(Failure(ConnectionLost()))
        self.assertEqual(len(self.engines.cancelled), 1)
        self.engines.opened[1].send(0)
        self.assertIn(b" t0", staying.body)

    def test_failure_before_the_first_token_has_an_error_status(self):
        connection = self.post_completion(stream=True)
        self.engines.opened[0].end(StreamEnd.INVALID)
        self.assert_problem(connection, 400, "bad-request", "not_run")

    def test_failure_within_the_answer_is_an_error_event(self):
        connection = self.post_completion(stream=True)
        self.engines.opened[0].send(0)
        self.gateway.hand_over()
        self.assertIn(b"event: error", connection.body)
        self.assertIn(b"hand-over", connection.body)


class BadInputTest(GatewayTestCase):
    def test_malformed_json(self):
        path = b"/v1/chat/completions"
        for body in (b"{", b"[]", b"{}", b'{"model": 1}', b"\xff\xfe", b""):
            connection = Connection(self.site).send(b"POST", path, body)
            self.assert_problem(connection, 400, "bad-request", "not_run")

    def test_unsupported_parameters(self):
        for changes in ({"n": 2}, {"tools": []}, {"seed": -1}, {"max_tokens": -4}):
            connection = self.post_completion(**changes)
            self.assert_problem(connection, 400, "bad-request", "not_run")

    def test_requested_timeout_is_limited_by_the_service_timeout(self):
        for timeout in (b"nan", b"inf", b"-5", b"x", b"1e9"):
            self.post_completion(
                headers=CLERK_HEADERS + b"Sesame-Timeout-S: " + timeout + b"\r\n"
            )
            for generation in list(self.gateway.generations):
                remaining_s = generation.request.deadline_s - self.clock.seconds()
                self.assertTrue(0 <= remaining_s <= DRAFTING.timeout_s, timeout)
                generation.caller_left()

    def test_answer_comes_before_the_timeout_that_the_caller_requested(self):
        # Guards against an answer that is sent when its caller has left already.
        headers = CLERK_HEADERS + b"Sesame-Timeout-S: 2\r\n"
        connection = self.post_completion(headers=headers)
        self.clock.advance(1.85)
        self.gateway.sweep()
        self.assertEqual(connection.received, b"")
        self.clock.advance(0.1)
        self.gateway.sweep()
        self.assert_problem(connection, 502, "generation-lost", "unknown")

    def test_unknown_model(self):
        connection = self.post_completion(model="none")
        self.assert_problem(connection, 404, "unknown-model", "not_run")

    def test_unknown_organisation(self):
        for headers in (b"", b"Authorization: Bearer x\r\n", b"Authorization: x\r\n"):
            connection = self.post_completion(headers=headers)
            self.assert_problem(connection, 401, "unknown-organisation", "not_run")

    def test_content_length_too_large(self):
        connection = self.post_completion(padding="x" * 3000)
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
        connection = self.post_completion(
            headers=CLERK_HEADERS + b"X: " + b"x" * 20000 + b"\r\n"
        )
        self.assert_problem(connection, 431, "header-too-large", "not_run")
        many = b"".join(b"X-%d: %s\r\n" % (n, b"x" * 900) for n in range(30))
        connection = self.post_completion(headers=CLERK_HEADERS + many)
        self.assert_problem(connection, 431, "header-too-large", "not_run")
        self.assertEqual(self.engines.opened, [])

    def test_slow_sender(self):
        connection = Connection(self.site)
        head = b"POST /v1/chat/completions HTTP/1.1\r\nHost: r\r\n"
        connection.protocol.dataReceived(head + b"Content-Length: 100\r\n\r\n{")
        other = self.post_completion(stream=True)
        self.clock.advance(LIMITS.receive_timeout_s)
        self.assert_problem(connection, 408, "slow-sender", "not_run")
        self.engines.opened[0].send(0)
        self.assertIn(b" t0", other.body)

    def test_router_at_its_limit_refuses_requests(self):
        for _ in range(LIMITS.generations):
            self.post_completion(stream=True)
        connection = self.post_completion(stream=True)
        self.assert_problem(connection, 429, "overloaded", "not_run")
        self.assertIn(b"Retry-After: 1", connection.received)

    def test_draining_router_refuses(self):
        self.board.drain.write(DrainPhase(True, True, 0))
        self.assert_problem(self.post_completion(), 503, "draining", "not_run")

    def test_without_configuration_everything_is_refused(self):
        self.board.configuration.write(Configuration())
        self.assert_problem(
            self.post_completion(), 503, "configuration-missing", "not_run"
        )


class OtherPathTest(GatewayTestCase):
    def test_unknown_path_and_method(self):
        for method, path in ((b"GET", b"/nothing"), (b"DELETE", b"/v1/models")):
            connection = Connection(self.site).send(method, path)
            self.assert_problem(connection, 404, "unknown-call", "not_run")

    def test_models(self):
        connection = Connection(self.site).send(b"GET", b"/v1/models")
        self.assertIn(b'"id":"draft"', connection.body)

    def test_internal_error_reports_an_unknown_outcome(self):
        self.gateway.generations = None
        connection = self.post_completion()
        self.assert_problem(connection, 500, "internal", "unknown")


class CursorRequestTest(GatewayTestCase):
    def begin_stream(self):
        connection = self.post_completion(stream=True)
        self.engines.opened[0].send(0)
        line = next(li for li in connection.body.split(b"\n") if li[:4] == b"id: ")
        return line[4:]

    def resume(self, cursor, headers=CLERK_HEADERS, **changes):
        headers += b"Last-Event-ID: " + cursor + b"\r\n"
        return self.post_completion(headers=headers, **{"stream": True, **changes})

    def test_valid_cursor_resumes_the_generation(self):
        self.resume(self.begin_stream(), sesamearch={"delivered": " t0"})
        self.assertEqual(self.engines.attached[0].index, 1)

    def test_malformed_cursor(self):
        connection = self.resume(b"rubbish")
        self.assert_problem(connection, 400, "bad-cursor", "not_run")

    def test_forged_cursor(self):
        cursor = b"A" + self.begin_stream()[1:]
        connection = self.resume(cursor)
        self.assert_problem(connection, 403, "forged-cursor", "not_run")

    def test_cursor_of_another_organisation(self):
        connection = self.resume(self.begin_stream(), AGENT_HEADERS)
        self.assert_problem(connection, 403, "forged-cursor", "not_run")

    def test_cursor_of_another_request(self):
        connection = self.resume(self.begin_stream(), temperature=1)
        self.assert_problem(connection, 400, "bad-cursor", "not_run")


class PlainCallTest(GatewayTestCase):
    def post_receipt(self, key=b"k1", body=b"{}", headers=CLERK_HEADERS):
        headers += b"Idempotency-Key: " + key + b"\r\n" if key else b""
        path = b"/services/ticketing/receipts"
        connection = Connection(self.site).send(b"POST", path, body, headers)
        self.advance_clock()
        return connection

    def advance_clock(self, seconds=0.1):
        self.clock.pump([0.002] * int(seconds / 0.002))

    def complete_call(self, number, outcome):
        self.plain_client.calls[number][2].callback(outcome)
        self.advance_clock()

    def test_reply_is_passed_through(self):
        connection = self.post_receipt()
        self.complete_call(0, Ok(PlainReply(201, [("X-Number", "7")], b"done")))
        self.assertEqual(connection.status, 201)
        self.assertIn(b"X-Number: 7", connection.received)
        self.assertIn(b"done", connection.body)

    def test_credentials_of_the_caller_are_not_forwarded(self):
        self.post_receipt()
        names = {name for name, _ in self.plain_client.calls[0][1].headers}
        self.assertNotIn("Authorization", names)
        self.assertIn("Idempotency-Key", names)

    def test_lost_operation_is_unknown_and_not_sent_again(self):
        connection = self.post_receipt()
        self.complete_call(0, Err(CallFailure.LOST))
        self.assert_problem(connection, 502, "operation-unknown", "unknown")
        repeated = self.post_receipt()
        self.assertEqual(len(self.plain_client.calls), 1)
        self.assertEqual(repeated.problem["ran"], "unknown")
        self.assertIn(b"Location: /operations/ticketing", connection.received)

    def test_unsent_operation_goes_to_another_endpoint(self):
        connection = self.post_receipt()
        self.complete_call(0, Err(CallFailure.NOT_SENT))
        self.complete_call(1, Ok(PlainReply(200, [], b"done")))
        self.assertEqual(connection.status, 200)
        self.assertEqual(self.plain_client.calls[1][0], "s2")

    def test_refusal_by_every_endpoint_is_not_run_and_can_be_repeated(self):
        connection = self.post_receipt()
        self.complete_call(0, Err(CallFailure.REFUSED))
        self.complete_call(1, Err(CallFailure.REFUSED))
        self.assert_problem(connection, 503, "no-endpoint", "not_run")
        self.post_receipt()
        self.assertEqual(len(self.plain_client.calls), 3)

    def test_disconnect_does_not_stop_the_operation(self):
        connection = self.post_receipt()
        connection.protocol.connectionLost(Failure(ConnectionLost()))
        self.complete_call(0, Ok(PlainReply(200, [], b"done")))
        repeated = self.post_receipt()
        self.assertIn(b"done", repeated.body)
        self.assertIn(b"Sesame-Replayed: true", repeated.received)
        self.assertEqual(len(self.plain_client.calls), 1)

    def test_concurrent_requests_with_the_same_key_run_once(self):
        first, second = self.post_receipt(), self.post_receipt()
        self.complete_call(0, Ok(PlainReply(200, [], b"done")))
        self.assertEqual(len(self.plain_client.calls), 1)
        self.assertIn(b"done", first.body)
        self.assertIn(b"done", second.body)

    def test_same_key_of_another_organisation_is_another_operation(self):
        self.post_receipt()
        self.post_receipt(headers=AGENT_HEADERS)
        self.assertEqual(len(self.plain_client.calls), 2)

    def test_key_used_for_another_request_is_refused(self):
        self.post_receipt()
        connection = self.post_receipt(body=b"other")
        self.assert_problem(connection, 422, "idempotency-key-reused", "not_run")

    def test_missing_key_is_refused(self):
        connection = self.post_receipt(key=b"")
        self.assert_problem(connection, 400, "idempotency-key-required", "not_run")

    def test_store_outage_is_refused_as_not_run(self):
        self.faults.set_outage(True)
        connection = self.post_receipt()
        self.advance_clock(3)
        self.assert_problem(connection, 503, "store-unavailable", "not_run")
        self.assertEqual(self.plain_client.calls, [])

    def test_outcome_can_be_looked_up(self):
        self.post_receipt()
        self.complete_call(0, Ok(PlainReply(200, [], b"done")))
        headers = CLERK_HEADERS + b"Idempotency-Key: k1\r\n"
        path = b"/operations/ticketing"
        found = Connection(self.site).send(b"GET", path, headers=headers)
        other = Connection(self.site).send(
            b"GET", path, headers=AGENT_HEADERS + b"Idempotency-Key: k1\r\n"
        )
        self.advance_clock()
        self.assertIn(b"done", found.body)
        self.assert_problem(other, 404, "operation-not-found", "unknown")

    def test_idempotent_call_is_repeated_at_another_endpoint(self):
        path = b"/services/ticketing/tickets/5?full=1"
        connection = Connection(self.site).send(b"GET", path)
        self.complete_call(0, Err(CallFailure.LOST))
        self.complete_call(1, Ok(PlainReply(200, [], b"ticket")))
        self.assertIn(b"ticket", connection.body)
        self.assertEqual(self.plain_client.calls[0][1].path, "/tickets/5?full=1")

    def test_path_that_could_resolve_to_another_call_is_refused(self):
        # These paths match the idempotent call "/*". An endpoint that resolved them
        # would run the at-most-once receipt call under the retry rules of "/*".
        for path in (b"a/../receipts", b"a/%2e%2e/receipts", b"./x", b"/x"):
            connection = Connection(self.site)
            connection.send(b"GET", b"/services/ticketing/" + path)
            self.assert_problem(connection, 404, "unknown-call", "not_run")
        connection = Connection(self.site)
        connection.send(b"GET", b"http://r/services/ticketing/x")
        # Twisted itself refuses bytes that a request line must not contain.
        connection = Connection(self.site).send(b"GET", b"/services/ticketing/\xff")
        self.assertEqual(connection.status, 400)
        self.assertEqual(self.plain_client.calls, [])

    def test_unknown_call_and_service(self):
        connection = Connection(self.site).send(b"POST", b"/services/ticketing/x")
        self.assert_problem(connection, 404, "unknown-call", "not_run")
        connection = Connection(self.site).send(b"GET", b"/services/nothing/x")
        self.assert_problem(connection, 404, "unknown-service", "not_run")
