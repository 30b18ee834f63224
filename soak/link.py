"""A loopback proxy that delays, cuts one way, resets or silences connections."""

from collections import deque
from enum import Enum

from twisted.protocols import portforward

__all__ = ["Link", "LinkState"]


class LinkState(Enum):
    """What happens to bytes on a link."""

    CALM = "calm"
    DELAYED = "delayed"
    # Held until the cut ends, as a network does that drops packets.
    CUT = "cut"
    CUT_BACK = "cut_back"


class _Side:
    """One direction's behaviour, shared by both ends of a proxied connection."""

    link = None
    is_back = False

    def connectionMade(self):
        self._free_s = 0.0
        self._held = []
        self._late = deque()
        self.is_dead = False
        super().connectionMade()
        self.link.opened(self)

    def dataReceived(self, data):
        if self.is_dead:
            return
        if self.link.holds(self.is_back) or self._held:
            self._held.append(data)
            return
        self._send(data)

    def _send(self, data):
        clock = self.link.reactor
        now_s = clock.seconds()
        at_s = max(now_s + self.link.delay_s, self._free_s)
        if at_s <= now_s and not self._late:
            self._deliver(data)
        else:
            self._free_s = at_s
            self._late.append(data)
            clock.callLater(at_s - now_s, self._deliver_next)

    def _deliver_next(self):
        # Timers of one moment fire in any order.
        self._deliver(self._late.popleft())

    def _deliver(self, data):
        if self.peer is not None and not self.is_dead:
            self.peer.transport.write(data)

    def release(self):
        """Send on what a cut held."""
        held, self._held = self._held, []
        for data in held:
            self._send(data)

    def connectionLost(self, reason):
        self.link.closed(self)
        if self._free_s > self.link.reactor.seconds() and self.peer is not None:
            wait_s = self._free_s - self.link.reactor.seconds()
            peer, self.peer = self.peer, None
            self.link.reactor.callLater(wait_s, peer.transport.loseConnection)
            return
        super().connectionLost(reason)


class _Back(_Side, portforward.ProxyClient):
    is_back = True


class _BackFactory(portforward.ProxyClientFactory):
    noisy = False

    def buildProtocol(self, address):
        protocol = _Back()
        protocol.link = self.server.link
        protocol.setPeer(self.server)
        return protocol

    def clientConnectionFailed(self, connector, reason):
        self.server.transport.abortConnection()


class _Forth(_Side, portforward.ProxyServer):
    clientProtocolFactory = _BackFactory


class _ForthFactory(portforward.ProxyFactory):
    noisy = False

    def __init__(self, link, host, port):
        super().__init__(host, port)
        self._link = link

    def buildProtocol(self, address):
        protocol = _Forth()
        protocol.factory = self
        protocol.link = self._link
        protocol.reactor = self._link.reactor
        return protocol


class Link:
    """All connections to one address.

    Parameters
    ----------
    reactor : twisted reactor
    listen, target : str
        ``ip:port``.

    Attributes
    ----------
    state : LinkState
    """

    __slots__ = ("_delay_s", "_sides", "address", "port", "reactor", "state")

    def __init__(self, reactor, listen, target):
        self.reactor = reactor
        self.address = listen
        self.state = LinkState.CALM
        self._delay_s = 0.0
        self._sides = []
        host, _, port = target.rpartition(":")
        own_host, _, own_port = listen.rpartition(":")
        factory = _ForthFactory(self, host, int(port))
        self.port = reactor.listenTCP(
            int(own_port), factory, backlog=512, interface=own_host
        )

    @property
    def delay_s(self):
        """Float : how late bytes are now."""
        return self._delay_s if self.state is LinkState.DELAYED else 0.0

    def holds(self, is_back):
        """Return whether bytes of one direction are held."""
        if is_back:
            return self.state in (LinkState.CUT, LinkState.CUT_BACK)
        return self.state is LinkState.CUT

    def opened(self, side):
        """Take note of an end."""
        self._sides.append(side)

    def closed(self, side):
        """Forget an end."""
        self._sides.remove(side)

    def change(self, state, delay_s=0.0):
        """Enter a state; bytes that a cut held go on when it ends."""
        self.state = state
        self._delay_s = delay_s
        for side in list(self._sides):
            if not self.holds(side.is_back):
                side.release()

    def reset(self):
        """Reset all open connections."""
        for side in list(self._sides):
            side.transport.abortConnection()

    def silence(self):
        """Have all open connections lose everything, without a reset."""
        for side in self._sides:
            side.is_dead = True
