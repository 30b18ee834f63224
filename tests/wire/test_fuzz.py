"""Connections fed with arbitrary bytes, whole and in pieces."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from sesamearch.wire.endpoint import Loss
from sesamearch.wire.events import EventSplitter
from tests.wire import test_endpoint
from tests.wire.test_caller import CHUNKS, GET, Server

fuzz = settings(derandomize=True, deadline=None, max_examples=150)
pieces = st.lists(
    st.binary(max_size=60)
    | st.sampled_from(
        [
            GET,
            CHUNKS,
            b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello",
            b"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n",
            test_endpoint.response(1),
            test_endpoint.response(2, b"other"),
            b"HTTP/1.1 100 Continue\r\n\r\n",
            b"HTTP/1.1 200 OK\r\nX-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n",
            b"\r\n",
            b"\r\n\r\n",
        ]
    ),
    max_size=6,
)


class TestCallers(unittest.TestCase):
    @fuzz
    @given(pieces)
    def test_requests_are_whole_or_refused(self, parts):
        server = Server()
        client = server.send(*parts, wait_s=0.005)
        server.network.run(0.1)
        self.assertLessEqual(len(client.statuses), len(server.requests) + 1)
        for method, target, _ in server.requests:
            self.assertTrue(method)
            self.assertTrue(target)


class TestEndpoints(unittest.TestCase):
    @fuzz
    @given(pieces, st.booleans())
    def test_response_is_own_and_whole_or_lost(self, parts, is_reset):
        case = test_endpoint.TestResponses()
        case.setUp()
        receiver = case.send_request(1)
        for part in parts:
            if receiver.outcome is None and case.factory.protocols[0] not in (
                case.factory.closed
            ):
                case.send_bytes(part)
        transport = case.factory.protocols[0].transport
        transport.abortConnection() if is_reset else transport.loseConnection()
        case.network.run(0.05)
        self.assertIn(receiver.outcome, {"complete", *Loss})
        if receiver.outcome == "complete":
            self.assertGreaterEqual(receiver.status, 200)


class TestEvents(unittest.TestCase):
    @fuzz
    @given(
        st.lists(
            st.binary(max_size=12)
            | st.sampled_from([b"id: 3\n", b"data: a\n", b"\n\n", b"\r\n", b": c\n"]),
            max_size=12,
        )
    )
    def test_no_byte_is_lost_or_moved(self, parts):
        splitter = EventSplitter()
        received = b"".join(e.data for part in parts for e in splitter.feed(part))
        whole = b"".join(parts)
        received += splitter.take_rest()
        self.assertTrue(whole.startswith(received))
        if not splitter.has_partial_event:
            self.assertFalse(whole[len(received) :].strip())
