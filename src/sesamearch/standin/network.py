"""In-memory network on a virtual clock, with refused, reset and held connections."""

import enum

from twisted.internet.error import (
    ConnectionDone,
    ConnectionLost,
    ConnectionRefusedError,
    TimeoutError,
)
from twisted.internet.task import Clock
from twisted.python.failure import Failure

__all__ = ["HostNetwork", "MemoryNetwork", "MemoryTransport", "PathFault"]

LATENCY_S = 0.0005
# A push producer is paused once more than this is held.
BUFFER_BYTES = 64 << 10
# TCP keep-alive: two probes, one second apart, after one second without traffic.
KEEPALIVE_TIMEOUT_S = 3.0


class PathFault(enum.Enum):
    """How the path from one host to one address is broken.

    ``SILENT``: all bytes vanish and connection attempts hang. ``RESET``: connections
    are reset and new ones refused. ``NEW_REFUSED``: open connections live on, new ones
    are refused.
    """

    SILENT = "silent"
    RESET = "reset"
    NEW_REFUSED = "new_refused"


class _Handle:
    """Stands in for a socket; its options have no effect."""

    def setsockopt(self, *arguments):
        """Accept any option."""


class MemoryTransport:
    """One end of a connection.

    Parameters
    ----------
    network : MemoryNetwork
    address : str
        Address of the listener.
    source : str
        Host that opened the connection; empty if it is not known.

    Attributes
    ----------
    address, source : str
    protocol : twisted.internet.protocol.Protocol
    peer : MemoryTransport
        The other end.
    is_silent : bool
        Whether written data is lost, as on a dead link.
    has_keepalive : bool
        Whether a dead link is detected after :data:`KEEPALIVE_TIMEOUT_S`.
    written_bytes : int
        Number of bytes that the protocol wrote to this end.
    unsent_bytes : int
        Size of what was written and waits; zero unless writes are held.
    """

    def __init__(self, network, address, source=""):
        self._network = network
        self.address = address
        self.source = source
        self._is_paused = False
        self._buffered = []
        self._is_held = False
        self._unsent = []
        self._end_reason = None
        self._producer = None
        self._is_push = False
        self._is_producer_paused = False
        self.protocol = None
        self.peer = None
        self.is_open = True
        self.is_silent = False
        self.has_keepalive = False
        self.written_bytes = 0

    def _send(self, function, *arguments):
        """Call a function of the other end when what is sent now arrives there."""
        delay_s = self._network.delay_s(self.address)
        self._network.callLater(delay_s, function, *arguments)

    def write(self, data):
        """Send bytes to the other end."""
        if self.is_open and data:
            self.written_bytes += len(data)
            if self._is_held:
                self._unsent.append(data)
                self._pause_producer()
            elif not self.is_silent:
                self._send(self.peer.deliver, data)

    @property
    def unsent_bytes(self):
        """Int : size of what was written while writes are held."""
        return sum(len(data) for data in self._unsent)

    def _pause_producer(self):
        is_push = self._producer is not None and self._is_push
        if is_push and self.unsent_bytes > BUFFER_BYTES:
            if not self._is_producer_paused:
                self._is_producer_paused = True
                self._producer.pauseProducing()

    def hold_writes(self):
        """Keep what is written from now on, as if the other end did not read."""
        self._is_held = True

    def release_writes(self):
        """Send what was kept, and close the connection if that was asked for."""
        self._is_held = False
        unsent, self._unsent = self._unsent, []
        for data in unsent:
            self._send(self.peer.deliver, data)
        if self._is_producer_paused and self._producer is not None:
            self._is_producer_paused = False
            self._producer.resumeProducing()
        self._pull()
        if self._end_reason is not None:
            self._end(self._end_reason)

    def writeSequence(self, parts):
        """Send several pieces of data."""
        self.write(b"".join(parts))

    def deliver(self, data):
        """Pass bytes to the protocol, or buffer them while reading is paused."""
        if self._is_paused:
            self._buffered.append(data)
        elif self.is_open:
            self.protocol.dataReceived(data)

    def pauseProducing(self):
        """Stop reading."""
        self._is_paused = True

    def resumeProducing(self):
        """Resume reading, first from the buffer."""
        self._is_paused = False
        buffered, self._buffered = self._buffered, []
        for data in buffered:
            self.deliver(data)

    def loseConnection(self):
        """Close the connection after the written data was sent."""
        if self._unsent:
            self._end_reason = ConnectionDone()
        else:
            self._end(ConnectionDone())

    def loseWriteConnection(self):
        """Close the connection for writing."""
        if not self.is_silent:
            self._send(self.peer.closed, ConnectionDone())

    def abortConnection(self):
        """Reset the connection."""
        self._end(ConnectionLost())

    def _end(self, reason):
        if not self.is_open:
            return
        self.is_open = False
        if not self.is_silent:
            self._send(self.peer.closed, reason)
        self._network.callLater(
            self._network.latency_s, self.protocol.connectionLost, Failure(reason)
        )

    def closed(self, reason):
        """Handle a close or reset by the other end."""
        if self.is_open:
            self.is_open = False
            self.protocol.connectionLost(Failure(reason))

    def go_silent(self):
        """Drop all data in both directions from now on, without a reset."""
        for end in (self, self.peer):
            end.is_silent = True
            if end.has_keepalive:
                self._network.callLater(
                    KEEPALIVE_TIMEOUT_S, end.closed, ConnectionLost()
                )

    def setTcpNoDelay(self, enabled):
        """Ignore the option."""

    def setTcpKeepAlive(self, enabled):
        """Enable or disable the detection of a dead link."""
        self.has_keepalive = enabled

    def getHandle(self):
        """Return an object that accepts socket options."""
        return _Handle()

    def registerProducer(self, producer, streaming):
        """Pause a push producer while much is held; have a pull producer write."""
        self._producer = producer
        self._is_push = streaming
        self._pull()

    def _pull(self):
        while self._producer is not None and not self._is_push and not self._unsent:
            self._producer.resumeProducing()

    def unregisterProducer(self):
        """Forget the producer."""
        self._producer = None


class _Connector:
    """A connection attempt, which can be abandoned."""

    def __init__(self, network, factory):
        self._network = network
        self._factory = factory
        self.is_over = False
        self.transport = None

    def disconnect(self):
        """Abandon the attempt, or reset the connection that it opened."""
        if self.transport is not None:
            self.transport.abortConnection()
        else:
            self.fail(ConnectionLost())

    def fail(self, reason):
        """Notify the factory that the attempt failed."""
        if not self.is_over:
            self.is_over = True
            self._factory.clientConnectionFailed(self, Failure(reason))


class MemoryNetwork(Clock):
    """In-memory listeners and connections, with the interface of a reactor.

    Attributes
    ----------
    blackholed : set of str
        Addresses that drop all connection attempts without a refusal.
    connections : list of MemoryTransport
        Client ends of all connections, in the order in which they were opened.
    """

    def __init__(self, latency_s=LATENCY_S):
        super().__init__()
        self.latency_s = latency_s
        self._factories = {}
        self.blackholed = set()
        self.connections = []
        self._held_until_s = {}
        self._faults = {}

    def seen_from(self, host):
        """Return the network as the processes of a host use it."""
        return HostNetwork(self, host)

    def break_path(self, source, address, fault):
        """Break the path from a host to an address, ``ip:port``, until it is mended.

        Parameters
        ----------
        source, address : str
        fault : PathFault
        """
        self._faults[source, address] = fault
        if fault is PathFault.NEW_REFUSED:
            return
        for client in self.connections:
            if (client.source, client.address) == (source, address) and client.is_open:
                if fault is PathFault.SILENT:
                    client.go_silent()
                else:
                    client.closed(ConnectionLost())
                    client.peer.closed(ConnectionLost())

    def mend_path(self, source, address):
        """Let new connections from a host to an address through again."""
        self._faults.pop((source, address), None)

    def listen(self, address, factory):
        """Accept connections at an address, ``ip:port``."""
        self._factories[address] = factory

    def close(self, address):
        """Refuse new connections at an address."""
        self._factories.pop(address, None)

    def reset(self, address):
        """Reset all connections to an address, also those without a request."""
        for client in self.connections:
            if client.address == address and client.is_open:
                client.peer.abortConnection()
        self.connections = [each for each in self.connections if each.is_open]

    def hold(self, address, seconds):
        """Hold up all bytes to and from an address, and new connections to it.

        They arrive afterwards, in order.
        """
        held_until_s = self._held_until_s.get(address, 0.0)
        self._held_until_s[address] = max(held_until_s, self.seconds() + seconds)

    def delay_s(self, address):
        """Return how long a segment takes that is sent to or from an address now."""
        held_until_s = self._held_until_s.get(address, 0.0)
        return max(self.latency_s, held_until_s - self.seconds())

    def connectTCP(self, host, port, factory, timeout=30, source=""):
        """Open a connection, as ``IReactorTCP.connectTCP`` does."""
        address = f"{host}:{port}"
        connector = _Connector(self, factory)
        self.callLater(timeout, connector.fail, TimeoutError())
        is_silent = self._faults.get((source, address)) is PathFault.SILENT
        if address not in self.blackholed and not is_silent:
            delay_s = self.latency_s + self.delay_s(address)
            self.callLater(delay_s, self._connect, address, connector, source)
        return connector

    def _connect(self, address, connector, source):
        if connector.is_over:
            return
        if (source, address) in self._faults:
            connector.fail(ConnectionRefusedError())
            return
        listener = self._factories.get(address)
        if listener is None:
            connector.fail(ConnectionRefusedError())
            return
        connector.is_over = True
        client = MemoryTransport(self, address, source)
        server = MemoryTransport(self, address, source)
        client.peer, server.peer = server, client
        server.protocol = listener.buildProtocol(None)
        client.protocol = connector._factory.buildProtocol(None)
        connector.transport = client
        self.connections.append(client)
        server.protocol.makeConnection(server)
        client.protocol.makeConnection(client)

    def stop(self):
        """Do nothing: the network keeps running when a router stops its reactor."""

    def run(self, seconds, step_s=0.005):
        """Advance the clock in small steps."""
        for _ in range(round(seconds / step_s)):
            self.advance(step_s)


class HostNetwork:
    """The network as one host uses it: a reactor whose connections name that host.

    Parameters
    ----------
    network : MemoryNetwork
    host : str
        IP address.
    """

    def __init__(self, network, host):
        self._network = network
        self._host = host

    def __getattr__(self, name):
        return getattr(self._network, name)

    def connectTCP(self, host, port, factory, timeout=30):
        """Open a connection, as ``IReactorTCP.connectTCP`` does."""
        return self._network.connectTCP(host, port, factory, timeout, self._host)
