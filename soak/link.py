"""A loopback proxy that can delay, partition, reset or blackhole connections."""

from collections import deque
from enum import Enum

from twisted.protocols import portforward

__all__ = ["Link", "LinkState"]


class LinkState(Enum):
    """How a link treats the bytes it carries."""

    NORMAL = "calm"
    DELAYED = "delayed"
    # Bytes are held until the cut ends, as TCP retransmits them after packet loss.
    CUT = "cut"
    # Only bytes from the target to its clients are held.
    CUT_BACK = "cut_back"


class _Side:
    """One end of a proxied connection; forwards what it receives to its peer."""

    link = None
    is_from_target = False

    def connectionMade(self):
        self._next_send_s = 0.0
        self._held = []
        self._delayed = deque()
        self.is_blackholed = False
        super().connectionMade()
        self.link.add_side(self)

    def dataReceived(self, data):
        if self.is_blackholed:
            return
        if self.link.holds(self.is_from_target) or self._held:
            self._held.append(data)
            return
        self._send(data)

    def _send(self, data):
        clock = self.link.reactor
        now_s = clock.seconds()
        at_s = max(now_s + self.link.delay_s, self._next_send_s)
        if at_s <= now_s and not self._delayed:
            self._deliver(data)
        else:
            self._next_send_s = at_s
            self._delayed.append(data)
            clock.callLater(at_s - now_s, self._deliver_next)

    def _deliver_next(self):
        # Timers due at the same time fire in any order, so the queue keeps the order.
        self._deliver(self._delayed.popleft())

    def _deliver(self, data):
        if self.peer is not None and not self.is_blackholed:
            self.peer.transport.write(data)

    def release(self):
        """Forward the bytes held during a cut."""
        held, self._held = self._held, []
        for data in held:
            self._send(data)

    def connectionLost(self, reason):
        self.link.remove_side(self)
        # The other end is closed with the same delay; bytes still queued are dropped.
        if self._next_send_s > self.link.reactor.seconds() and self.peer is not None:
            wait_s = self._next_send_s - self.link.reactor.seconds()
            peer, self.peer = self.peer, None
            self.link.reactor.callLater(wait_s, peer.transport.loseConnection)
            return
        super().connectionLost(reason)


class _TargetSide(_Side, portforward.ProxyClient):
    is_from_target = True


class _TargetSideFactory(portforward.ProxyClientFactory):
    noisy = False

    def buildProtocol(self, address):
        protocol = _TargetSide()
        protocol.link = self.server.link
        protocol.setPeer(self.server)
        return protocol

    def clientConnectionFailed(self, connector, reason):
        self.server.transport.abortConnection()


class _ClientSide(_Side, portforward.ProxyServer):
    clientProtocolFactory = _TargetSideFactory


class _ClientSideFactory(portforward.ProxyFactory):
    noisy = False

    def __init__(self, link, host, port):
        super().__init__(host, port)
        self._link = link

    def buildProtocol(self, address):
        protocol = _ClientSide()
        protocol.factory = self
        protocol.link = self._link
        protocol.reactor = self._link.reactor
        return protocol


class Link:
    """A proxy for all connections to one address.

    Parameters
    ----------
    reactor : twisted reactor
    listen, target : str
        ``ip:port`` that the proxy listens on, and that it connects to.

    Attributes
    ----------
    address : str
        Address that the proxy listens on.
    state : LinkState
    """

    __slots__ = ("_delay_s", "_sides", "address", "port", "reactor", "state")

    def __init__(self, reactor, listen, target):
        self.reactor = reactor
        self.address = listen
        self.state = LinkState.NORMAL
        self._delay_s = 0.0
        self._sides = []
        host, _, port = target.rpartition(":")
        listen_host, _, listen_port = listen.rpartition(":")
        factory = _ClientSideFactory(self, host, int(port))
        self.port = reactor.listenTCP(
            int(listen_port), factory, backlog=512, interface=listen_host
        )

    @property
    def delay_s(self):
        """Float : current delay of forwarded bytes."""
        return self._delay_s if self.state is LinkState.DELAYED else 0.0

    def holds(self, is_from_target):
        """Return whether bytes from the target, or those to it, are held back."""
        if is_from_target:
            return self.state in (LinkState.CUT, LinkState.CUT_BACK)
        return self.state is LinkState.CUT

    def add_side(self, side):
        """Register an open end of a connection."""
        self._sides.append(side)

    def remove_side(self, side):
        """Unregister a closed end of a connection."""
        self._sides.remove(side)

    def set_state(self, state, delay_s=0.0):
        """Change the state; bytes held by a cut that ends are forwarded."""
        self.state = state
        self._delay_s = delay_s
        for side in list(self._sides):
            if not self.holds(side.is_from_target):
                side.release()

    def reset(self):
        """Reset all open connections."""
        for side in list(self._sides):
            side.transport.abortConnection()

    def blackhole(self):
        """Drop all further bytes of the open connections without closing them."""
        for side in self._sides:
            side.is_blackholed = True
