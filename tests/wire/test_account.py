"""Account of what callers hold: bounds, order of shedding, and that it balances."""

import gc
import unittest
import weakref

from hypothesis import given, settings
from hypothesis import strategies as st
from twisted.internet.protocol import ClientFactory
from twisted.internet.task import Clock

from sesamearch.standin.network import MemoryNetwork
from sesamearch.wire.account import (
    CONNECTION_BYTES,
    MIN_CALLER_BYTES,
    MIN_CALLER_CONNECTIONS,
    CallerAccount,
    CallerBounds,
    CallerHolding,
)
from sesamearch.wire.caller import CallerFactory, CallerLimits
from sesamearch.wire.caller_connection import LINGER_S
from sesamearch.wire.read_budget import MAX_STEPS, STEPS_PER_S
from sesamearch.wire.reply import ReplyListener
from tests.platform.world import RawClient

ADDRESS = "10.0.0.1:80"
MIB = 1 << 20
LIMITS = CallerLimits(1000, 100_000, header_timeout_s=3, idle_timeout_s=10)


class Holding(CallerHolding):
    """A connection whose state is set by the test."""

    def __init__(self, size=0, progress_s=0.0, has_asked=False, is_handled=False):
        self.size = size
        self.held_bytes = 0
        self.progress_s = progress_s
        self.has_asked = has_asked
        self.is_handled = is_handled
        self.is_shed = False

    is_closing = False

    @property
    def may_be_shed(self):
        return not self.is_handled

    def measure(self):
        return self.size

    def shed(self):
        self.is_shed = True
        self.size = 0


class TestBounds(unittest.TestCase):
    def test_share_of_the_memory_and_descriptors_of_a_vm(self):
        bounds = CallerBounds.of_vm(150 * MIB, 4100)
        self.assertEqual(bounds, CallerBounds(43 * MIB, 1950))

    def test_small_vm_still_serves_one_large_body(self):
        bounds = CallerBounds.of_vm(32 * MIB, 100)
        expected = CallerBounds(MIN_CALLER_BYTES, MIN_CALLER_CONNECTIONS)
        self.assertEqual(bounds, expected)


class TestShedding(unittest.TestCase):
    def setUp(self):
        self.clock = Clock()
        self.clock.advance(100)
        self.account = CallerAccount(self.clock, CallerBounds(MIB, 4))

    def add(self, **fields):
        holding = Holding(**fields)
        self.assertTrue(self.account.open(holding))
        self.account.note(holding, holding.size)
        return holding

    def test_most_bytes_for_longest_go_first(self):
        # A crowd stops just short of the end of its bodies; another body arrives.
        stale = self.add(size=400_000, progress_s=50.0)
        small = self.add(size=1000, progress_s=50.0)
        fresh = self.add(size=400_000, progress_s=100.0)
        last = self.add(size=400_000, progress_s=99.9)
        self.assertEqual(
            [each.is_shed for each in (stale, small, fresh, last)],
            [True, False, False, False],
        )

    # Guards against idle callers that are closed for what answers on their way hold.
    def test_connections_that_hold_next_to_nothing_go_last(self):
        light = self.add(size=100, progress_s=0.0)
        heavy = [self.add(size=400_000, progress_s=100.0) for _ in range(3)]
        self.assertFalse(light.is_shed)
        self.assertTrue(any(each.is_shed for each in heavy))

    def test_handled_requests_stay(self):
        handled = self.add(size=900_000, progress_s=0.0, is_handled=True)
        other = self.add(size=500_000, progress_s=100.0)
        self.assertFalse(handled.is_shed)
        self.assertTrue(other.is_shed)

    def test_large_bodies_leave_room_for_small_requests(self):
        for _ in range(2):
            self.add(size=370_000, is_handled=True)
        large, small = Holding(100_000, is_handled=True), Holding(100)
        self.account.open(large)
        self.assertFalse(self.account.admits(large, 200_000, 100_000))
        self.account.close(large)
        self.account.open(small)
        self.assertTrue(self.account.admits(small, 200, 100))

    def test_half_open_connections_make_room_before_known_callers(self):
        known = self.add(progress_s=1.0, has_asked=True)
        half_open = [self.add(progress_s=90.0 + number) for number in range(3)]
        self.assertTrue(self.account.open(Holding(progress_s=100.0)))
        self.assertFalse(known.is_shed)
        self.assertEqual([each.is_shed for each in half_open], [True, False, False])

    def test_connection_is_not_accepted_while_all_are_handled(self):
        for _ in range(4):
            self.add(is_handled=True)
        self.assertFalse(self.account.open(Holding()))
        self.assertEqual(self.account.connection_count, 4)


class Listener(ReplyListener):
    """Notes in a list that its caller left."""

    def __init__(self, left, number):
        self._left = left
        self._number = number

    def caller_left(self):
        self._left.append(self._number)


class Server:
    """A listener that keeps its replies open until it is told to answer."""

    def __init__(self, bounds):
        self.network = MemoryNetwork()
        self.account = CallerAccount(self.network, bounds)
        self.replies = []
        self.bodies = []
        self.factory = CallerFactory(
            self.network,
            self.handle,
            lambda: LIMITS,
            lambda status, detail: None,
            account=self.account,
        )
        self.network.listen(ADDRESS, self.factory)

    def handle(self, head, body, reply):
        self.bodies.append(body)
        self.replies.append(reply)

    def taken(self):
        """Return the sizes of the bodies that are being received."""
        return [each._body.size_bytes for each in self.factory.connections]

    def connect(self):
        factory = ClientFactory()
        client = RawClient()
        factory.buildProtocol = lambda address: client
        self.network.connectTCP("10.0.0.1", 80, factory)
        self.network.run(0.01)
        return client


ACTIONS = st.lists(
    st.tuples(
        st.sampled_from(["connect", "head", "body", "whole", "answer", "close"]),
        st.integers(0, 5),
    ),
    max_size=40,
)


class TestBalance(unittest.TestCase):
    @settings(derandomize=True, deadline=None, max_examples=100)
    @given(ACTIONS)
    def test_account_returns_to_zero(self, actions):
        server = Server(CallerBounds(60_000, 4))
        clients = [server.connect()]
        for action, number in actions:
            client = clients[number % len(clients)]
            self.act(server, clients, client, action)
            server.network.run(0.01)
            held = sum(each.held_bytes for each in server.account._holdings)
            self.assertEqual(server.account.held_bytes, held)
            self.assertLessEqual(server.account.connection_count, 5)
        for client in clients:
            client.transport.abortConnection()
        server.network.run(LIMITS.idle_timeout_s)
        self.assertEqual(server.account.held_bytes, 0)
        self.assertEqual(server.account.connection_count, 0)

    def act(self, server, clients, client, action):
        head = b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 9000\r\n\r\n"
        if action == "connect":
            clients.append(server.connect())
        elif action == "head":
            client.send(head[:-4])
        elif action == "body":
            client.send(head + b"x" * 8999)
        elif action == "whole":
            client.send(head + b"x" * 9000)
        elif action == "answer" and server.replies:
            server.replies.pop(0).answer(200, [], b"y" * 100)
        elif action == "close":
            client.transport.abortConnection()

    # Guards against a connection that can't be measured, so that nothing is shed more.
    def test_connection_that_opens_above_the_bound_is_measured(self):
        server = Server(CallerBounds(2 * CONNECTION_BYTES, 50))
        clients = [server.connect() for _ in range(6)]
        server.network.run(0.1)
        self.assertLessEqual(server.account.held_bytes, 3 * CONNECTION_BYTES)
        self.assertGreater(server.account.shed_count, 0)
        for client in clients:
            client.transport.abortConnection()
        server.network.run(1)
        self.assertEqual(server.account.connection_count, 0)

    def test_connection_counts_before_its_first_byte(self):
        server = Server(None)
        server.connect()
        self.assertEqual(server.account.held_bytes, CONNECTION_BYTES)


class TestRefusal(unittest.TestCase):
    def test_crowd_that_stops_short_is_refused_and_another_caller_served(self):
        server = Server(CallerBounds(200_000, 50))
        head = b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 50000\r\n\r\n"
        crowd = [server.connect() for _ in range(6)]
        for client in crowd:
            client.send(head + b"x" * 49_999)
            server.network.run(0.1)
        refused = [client for client in crowd if client.statuses]
        self.assertEqual([each.status for each in refused], [503] * len(refused))
        self.assertGreaterEqual(len(refused), 2)
        self.assertIn(b"retry-after", bytes(refused[0].received).lower())
        self.assertEqual(server.replies, [])
        ordinary = server.connect()
        ordinary.send(b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
        server.network.run(0.1)
        server.replies.pop().answer(200, [], b"")
        server.network.run(0.1)
        self.assertEqual(ordinary.status, 200)

    # Guards against what a refused connection keeps in the time in which it is closed.
    def test_refused_connection_keeps_nothing_that_was_read(self):
        server = Server(None)
        client = server.connect()
        client.send(b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 9000\r\n\r\nxx")
        client.send(b"x" * 100)
        server.network.run(0.01)
        (connection,) = server.factory.connections
        connection.shed()
        self.assertEqual(connection.measure(), 0)
        self.assertIsNone(connection._codec)
        server.network.run(0.1)
        self.assertEqual(client.status, 503)

    # Guards against connections that are kept until they are collected as garbage.
    def test_connection_that_is_lost_is_freed_at_once(self):
        for is_refused in (False, True):
            with self.subTest(is_refused=is_refused):
                self.assert_freed_when_lost(is_refused)

    def assert_freed_when_lost(self, is_refused):
        server = Server(None)
        client = server.connect()
        client.send(b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 9000\r\n\r\nxx")
        server.network.run(0.01)
        (connection,) = server.factory.connections
        if is_refused:
            connection.shed()
        gc.collect()
        gc.disable()
        self.addCleanup(gc.enable)
        lost = weakref.ref(connection)
        client.transport.abortConnection()
        # Less than the time for which a refused connection lingers.
        server.network.run(LINGER_S / 2)
        connection.transport.protocol = connection.transport.peer = None
        del connection
        self.assertIsNone(lost())

    # Guards against answers that are held for callers that read nothing.
    def test_answers_that_nobody_reads_are_cut_off_to_make_room(self):
        server = Server(CallerBounds(600_000, 50))
        left = []
        for number in range(6):
            client = server.connect()
            client.transport.peer.hold_writes()
            client.send(b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
            server.network.run(0.1)
            reply = server.replies[-1]
            reply.listener = Listener(left, number)
            reply.start(200, [])
            reply.write(b"y" * 150_000)
            server.network.run(0.1)
        self.assertLessEqual(server.account.held_bytes, 600_000)
        self.assertEqual(left, [0, 1, 2])
        ordinary = server.connect()
        ordinary.send(b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi")
        server.network.run(0.1)
        server.replies[-1].answer(200, [], b"")
        server.network.run(0.1)
        self.assertEqual(ordinary.status, 200)

    # Guards against an answer that is cut off since its request was large.
    def test_answer_to_a_large_request_stays_while_its_caller_reads(self):
        server = Server(CallerBounds(400_000, 50))
        reader, left = server.connect(), []
        head = b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 90000\r\n\r\n"
        reader.send(head + b"x" * 90_000)
        server.network.run(0.1)
        reply = server.replies[-1]
        reply.listener = Listener(left, 0)
        reply.listener.held_bytes = 90_000
        reply.start(200, [])
        reply.write(b"id: 0\n\n")
        for _ in range(5):
            server.connect().send(head + b"x" * 89_000)
            server.network.run(0.1)
        self.assertGreater(server.account.shed_count, 0)
        self.assertEqual(left, [])

    # Guards against memory that a request holds on its way and that nobody counts.
    def test_what_a_handled_request_holds_is_counted(self):
        server = Server(None)
        client = server.connect()
        client.send(b"GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
        server.network.run(0.1)
        reply = server.replies[-1]
        reply.listener = Listener([], 0)
        reply.listener.held_bytes = 70_000
        reply.note_held()
        self.assertEqual(server.account.held_bytes, 70_000 + CONNECTION_BYTES)
        reply.answer(200, [], b"")
        self.assertEqual(server.account.held_bytes, CONNECTION_BYTES)

    def test_body_in_pieces_of_a_byte_leaves_the_processor_to_others(self):
        server = Server(None)
        flood, ordinary = server.connect(), server.connect()
        head = b"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
        flood.send(head + b"1\r\nx\r\n" * 20_000)
        server.network.run(0.01)
        self.assertLess(max(server.taken()), 2 * MAX_STEPS)
        ordinary.send(b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nhi")
        server.network.run(0.1)
        self.assertEqual(len(server.replies), 1)
        flood.send(b"0\r\n\r\n")
        server.network.run(20_000 / STEPS_PER_S + 1)
        self.assertEqual(server.bodies, [b"hi", b"x" * 20_000])

    # Guards against a body that waits behind those whose pieces cause the work.
    def test_body_in_large_pieces_goes_before_those_in_pieces_of_a_byte(self):
        server = Server(None)
        head = b"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
        for _ in range(100):
            server.connect().send(head + b"1\r\nx\r\n" * 2000)
        server.network.run(0.1)
        ordinary = server.connect()
        ordinary.send(b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 90000\r\n\r\n")
        for _ in range(9):
            ordinary.send(b"y" * 10_000)
            server.network.run(0.05)
        self.assertEqual([len(body) for body in server.bodies], [90_000])

    # Guards against callers that left and keep others waiting.
    def test_caller_that_left_does_not_wait(self):
        server = Server(None)
        budget = server.account.read_budget
        head = b"POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
        crowd = [server.connect() for _ in range(5)]
        for client in crowd:
            client.send(head + b"1\r\nx\r\n" * 20_000)
        server.network.run(0.1)
        self.assertGreater(budget.waiting_count, 0)
        for client in crowd:
            client.transport.abortConnection()
        server.network.run(0.01)
        self.assertEqual(budget.waiting_count, 0)

    # Guards against a caller that is called slow while the router makes it wait.
    def test_caller_that_waits_is_not_refused_as_slow(self):
        server = Server(None)
        server.account.read_budget._steps = -12 * STEPS_PER_S
        ordinary = server.connect()
        ordinary.send(b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\n")
        ordinary.send(b"h")
        ordinary.send(b"i")
        server.network.run(13, step_s=0.05)
        self.assertEqual(ordinary.status, 0)
        self.assertEqual(server.bodies, [b"hi"])

    def test_body_that_trickles_is_refused_in_the_end(self):
        # A byte each 9 s is progress, but not a body that ends.
        server = Server(None)
        client = server.connect()
        client.send(b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 50\r\n\r\n")
        for _ in range(8):
            client.send(b"x")
            server.network.run(9, step_s=0.5)
        self.assertEqual(client.status, 408)


if __name__ == "__main__":
    unittest.main()
