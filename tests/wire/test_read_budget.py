"""Answers in pieces of some bytes, which take much processor time to read."""

import tracemalloc
import unittest

from twisted.internet.protocol import Factory

from sesamearch.forwarding.attempt import MAX_BUFFERED_BODY_BYTES, Try
from sesamearch.standin.network import MemoryNetwork
from sesamearch.wire.endpoint import Loss, OutgoingRequest
from sesamearch.wire.pool import ConnectionPool
from sesamearch.wire.read_budget import MAX_STEPS, STEPS_PER_S, ReadBudget
from tests.wire.test_endpoint import ADDRESS, RawServer, Receiver, response

READ_BYTES = 64 << 10
CHUNK = b"1\r\nx\r\n"
CHUNKS = READ_BYTES // len(CHUNK)
OTHER_ADDRESS = "10.0.0.3:80"


def chunked_head(number):
    head = b"HTTP/1.1 200 OK\r\nX-Id: %d\r\n" % number
    return head + b"Transfer-Encoding: chunked\r\n\r\n"


class CountingReceiver(Receiver):
    def __init__(self, number):
        super().__init__(number)
        self.parts = 0

    def received(self, data):
        super().received(data)
        self.parts += 1


class ReadBudgetTestCase(unittest.TestCase):
    def setUp(self):
        self.network = MemoryNetwork()
        self.server = self.listen(ADDRESS)
        self.pool = self.make_pool(ADDRESS)

    def listen(self, address):
        server = Factory.forProtocol(RawServer)
        server.protocols, server.closed = [], []
        self.network.listen(address, server)
        return server

    def make_pool(self, address):
        budget = ReadBudget(self.network)
        return ConnectionPool(self.network, address, lambda head: 1.0, budget=budget)

    def send(self, count):
        """Send requests on connections of their own; return their receivers."""
        receivers = [CountingReceiver(number) for number in range(count)]
        request = OutgoingRequest(b"GET", b"/", [(b"Host", b"h")])
        self.pending = [
            self.pool.send(request, receiver, force_new_connection=True)
            for receiver in receivers
        ]
        self.network.run(0.02)
        return receivers

    def answer(self, data, wait_s=0.005):
        for number, protocol in enumerate(self.server.protocols):
            protocol.transport.write(chunked_head(number) + data)
        self.network.run(wait_s)


class TestTinyChunks(ReadBudgetTestCase):
    # Guards against a faulty endpoint that takes the whole processor with answers in
    # pieces of a byte, so that requests of other callers time out.
    def test_many_answers_in_tiny_chunks_take_a_bounded_number_of_steps(self):
        receivers = self.send(10)
        self.answer(CHUNK * CHUNKS)
        at_once = sum(receiver.parts for receiver in receivers)
        self.assertLessEqual(at_once, MAX_STEPS + STEPS_PER_S * 0.01 + 10)
        self.network.run(2)
        later = sum(receiver.parts for receiver in receivers) - at_once
        self.assertLessEqual(later, STEPS_PER_S * 2.02)
        self.assertGreater(later, STEPS_PER_S * 1.8)

    # Guards against one connection that leaves nothing for the others of its endpoint.
    def test_connections_of_an_endpoint_take_turns(self):
        receivers = self.send(10)
        self.answer(CHUNK * CHUNKS, wait_s=3)
        parts = [receiver.parts for receiver in receivers]
        self.assertGreater(min(parts), max(parts[1:]) / 2)

    # Guards against an answer that is cut because it had to wait to be read.
    def test_answer_that_waited_is_whole(self):
        (receiver,) = self.send(1)
        self.answer(CHUNK * CHUNKS + b"0\r\n\r\n", wait_s=CHUNKS / STEPS_PER_S + 0.5)
        self.assertEqual(receiver.outcome, "complete")
        self.assertEqual(receiver.body, b"x" * CHUNKS)

    # Guards against an answer without a length that is lost, or read at one go, when
    # the endpoint closes before it has been read.
    def test_answer_that_ends_with_its_connection_is_read_on_after_the_close(self):
        (receiver,) = self.send(1)
        head = b"HTTP/1.1 200 OK\r\nX-Id: 0\r\n\r\n"
        self.pending[0].take_steps(2 * MAX_STEPS)
        for protocol in self.server.protocols:
            protocol.transport.write(head + b"y" * 3000)
            protocol.transport.loseConnection()
        self.network.run(0.05)
        self.assertIsNone(receiver.outcome)
        self.network.run(2)
        self.assertEqual((receiver.outcome, len(receiver.body)), ("complete", 3000))

    # Guards against an answer that passes for whole although its connection broke
    # while the rest waited to be read.
    def test_answer_that_breaks_off_while_it_waits_is_lost(self):
        (receiver,) = self.send(1)
        self.answer(CHUNK * CHUNKS)
        self.server.protocols[0].transport.abortConnection()
        self.network.run(CHUNKS / STEPS_PER_S + 0.5)
        self.assertEqual(receiver.outcome, Loss.CLOSED_MIDWAY)

    # Guards against work for an answer that nobody waits for any more.
    def test_cancelled_answer_is_not_read_on(self):
        (receiver,) = self.send(1)
        self.answer(CHUNK * CHUNKS)
        self.pending[0].cancel()
        parts = receiver.parts
        self.network.run(2)
        self.assertEqual((receiver.parts, receiver.outcome), (parts, None))

    # Guards against sound endpoints that wait for a faulty one.
    def test_other_endpoints_have_a_budget_of_their_own(self):
        self.send(10)
        self.answer(CHUNK * CHUNKS)
        other = self.listen(OTHER_ADDRESS)
        self.pool = self.make_pool(OTHER_ADDRESS)
        (receiver,) = self.send(1)
        other.protocols[0].transport.write(response(0))
        self.network.run(0.01)
        self.assertEqual(receiver.outcome, "complete")

    # Guards against a connection that stays paused after its caller read on.
    def test_caller_that_reads_on_does_not_end_the_wait(self):
        (receiver,) = self.send(1)
        self.answer(CHUNK * CHUNKS)
        producer = self.pending[0].producer
        producer.pauseProducing()
        producer.resumeProducing()
        parts = receiver.parts
        self.network.run(0.1)
        self.assertLessEqual(receiver.parts - parts, STEPS_PER_S * 0.11)


class _Exchange:
    now_s = 0.0


class TestKeptBytes(unittest.TestCase):
    # Guards against a router that runs out of memory while it keeps to its bound: each
    # piece of an answer in tiny pieces took forty times its size.
    def test_tiny_pieces_take_no_more_memory_than_their_bytes(self):
        attempt = Try(_Exchange(), None, 1, None, None, 0.0)
        pieces = [bytes([n % 256, 0]) for n in range(MAX_BUFFERED_BODY_BYTES // 2)]
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        for piece in pieces:
            attempt.buffer(piece + b"")
        del pieces
        kept_bytes, _ = tracemalloc.get_traced_memory()
        self.assertLess(kept_bytes, 2 * MAX_BUFFERED_BODY_BYTES)
