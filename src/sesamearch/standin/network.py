"""A network in memory on a virtual clock, with cuts, resets and silence."""

from twisted.internet.error import (
    ConnectionDone,
    ConnectionLost,
    ConnectionRefusedError,
    TimeoutError,
)
from twisted.internet.task import Clock
from twisted.python.failure import Failure

__all__ = ["MemoryNetwork", "MemoryTransport"]

LATENCY_S = 0.0005
# After one second idle, two probes a second apart.
PROBED_S = 3.0


class _Handle:
    """Stands for the socket, whose options mean nothing here."""

    def setsockopt(self, *arguments):
        """Accept any option."""


class MemoryTransport:
    """One end of a connection.

    Attributes
    ----------
    protocol : twisted.internet.protocol.Protocol
    peer : MemoryTransport
    is_silent : bool
        Whether what is written is lost, as on a link that went dead.
    """

    def __init__(self, network):
        self._network = network
        self._is_paused = False
        self._held = []
        self.protocol = None
        self.peer = None
        self.is_open = True
        self.is_silent = False
        self.is_probed = False
        self.written_bytes = 0

    def _later(self, function, *arguments):
        self._network.callLater(self._network.latency_s, function, *arguments)

    def write(self, data):
        """Send bytes to the other end."""
        if self.is_open and data:
            self.written_bytes += len(data)
            if not self.is_silent:
                self._later(self.peer.deliver, data)

    def writeSequence(self, parts):
        """Send several pieces."""
        self.write(b"".join(parts))

    def deliver(self, data):
        """Hand bytes to the protocol, or hold them while it reads nothing."""
        if self._is_paused:
            self._held.append(data)
        elif self.is_open:
            self.protocol.dataReceived(data)

    def pauseProducing(self):
        """Stop reading."""
        self._is_paused = True

    def resumeProducing(self):
        """Read again, and what was held first."""
        self._is_paused = False
        held, self._held = self._held, []
        for data in held:
            self.deliver(data)

    def loseConnection(self):
        """Close after what was written has left."""
        self._end(ConnectionDone())

    def loseWriteConnection(self):
        """Close this end's sending side."""
        if not self.is_silent:
            self._later(self.peer.closed, ConnectionDone())

    def abortConnection(self):
        """Reset."""
        self._end(ConnectionLost())

    def _end(self, reason):
        if not self.is_open:
            return
        self.is_open = False
        if not self.is_silent:
            self._later(self.peer.closed, reason)
        self._later(self.protocol.connectionLost, Failure(reason))

    def closed(self, reason):
        """Take note that the other end closed."""
        if self.is_open:
            self.is_open = False
            self.protocol.connectionLost(Failure(reason))

    def go_silent(self):
        """Lose everything from now on, at both ends, without a reset."""
        for end in (self, self.peer):
            end.is_silent = True
            if end.is_probed:
                self._network.callLater(PROBED_S, end.closed, ConnectionLost())

    def setTcpNoDelay(self, enabled):
        """Ignore the option."""

    def setTcpKeepAlive(self, enabled):
        """Have a silent peer noticed after a while."""
        self.is_probed = enabled

    def getHandle(self):
        """Return an object that takes options."""
        return _Handle()

    def registerProducer(self, producer, streaming):
        """Ignore the producer: this end never falls behind."""

    def unregisterProducer(self):
        """Ignore the producer."""


class _Connector:
    """An attempt to connect, which can be given up."""

    def __init__(self, network, factory):
        self._network = network
        self._factory = factory
        self.is_over = False
        self.transport = None

    def disconnect(self):
        """Give up, or close what was opened."""
        if self.transport is not None:
            self.transport.abortConnection()
        else:
            self.fail(ConnectionLost())

    def fail(self, reason):
        """Tell the factory that there is no connection."""
        if not self.is_over:
            self.is_over = True
            self._factory.clientConnectionFailed(self, Failure(reason))


class MemoryNetwork(Clock):
    """Listeners and connections in memory, as a reactor.

    Attributes
    ----------
    blackholed : set of str
        Addresses that answer nothing, not even a refusal.
    connections : list of MemoryTransport
        The connecting ends, in the order of their opening.
    """

    def __init__(self, latency_s=LATENCY_S):
        super().__init__()
        self.latency_s = latency_s
        self._factories = {}
        self.blackholed = set()
        self.connections = []

    def listen(self, address, factory):
        """Accept connections at ``ip:port``."""
        self._factories[address] = factory

    def close(self, address):
        """Refuse new connections at an address."""
        self._factories.pop(address, None)

    def connectTCP(self, host, port, factory, timeout=30):
        """Open a connection, as a reactor does."""
        address = f"{host}:{port}"
        connector = _Connector(self, factory)
        self.callLater(timeout, connector.fail, TimeoutError())
        if address not in self.blackholed:
            self.callLater(2 * self.latency_s, self._connect, address, connector)
        return connector

    def _connect(self, address, connector):
        if connector.is_over:
            return
        listener = self._factories.get(address)
        if listener is None:
            connector.fail(ConnectionRefusedError())
            return
        connector.is_over = True
        client, server = MemoryTransport(self), MemoryTransport(self)
        client.peer, server.peer = server, client
        server.protocol = listener.buildProtocol(None)
        client.protocol = connector._factory.buildProtocol(None)
        connector.transport = client
        self.connections.append(client)
        server.protocol.makeConnection(server)
        client.protocol.makeConnection(client)

    def stop(self):
        """Do nothing: the network outlives its routers."""

    def run(self, seconds, step_s=0.005):
        """Let time pass in small steps."""
        for _ in range(round(seconds / step_s)):
            self.advance(step_s)
