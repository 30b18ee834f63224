"""Callers that take memory: bodies without their end, answers that nobody reads."""

from tests.platform.world import HOST, KEY
from twisted.internet.protocol import ClientFactory, Protocol

__all__ = ["Crowd"]

MEMBERS_PER_ROUTER = 24
BODY_BYTES = 90_000
REQUESTS_AHEAD = 5_000


def _unended_body(number):
    head = (
        f"POST /post/1 HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: crowd-{number}\r\n"
        f"Authorization: Token {KEY}\r\nContent-Length: {BODY_BYTES}\r\n\r\n"
    )
    return head.encode() + b"x" * (BODY_BYTES - 1)


def _requests_ahead(path):
    return f"GET {path} HTTP/1.1\r\nHost: {HOST}\r\n\r\n".encode() * REQUESTS_AHEAD


class _Member(Protocol):
    """Sends what it has, and reads nothing."""

    def __init__(self, data):
        self._data = data

    def connectionMade(self):
        self.transport.pauseProducing()
        self.transport.write(self._data)


class Crowd:
    """Connections to all routers that stay until the end.

    Parameters
    ----------
    reactor : twisted reactor
    """

    def __init__(self, reactor):
        self._reactor = reactor
        self._members = []

    def begin(self, routers):
        """Connect to the ports of routers for callers and for readiness.

        Parameters
        ----------
        routers : list of soak.deployment.Router
        """
        for router in routers:
            for number in range(MEMBERS_PER_ROUTER):
                self._join(router.listen, _unended_body(number))
            self._join(router.listen, _requests_ahead("/nowhere"))
            self._join(router.readiness, _requests_ahead("/sesamearch/readyz"))

    def _join(self, address, data):
        host, _, port = address.rpartition(":")
        factory = ClientFactory()
        factory.noisy = False
        member = _Member(data)
        factory.buildProtocol = lambda peer: member
        self._members.append(member)
        self._reactor.connectTCP(host, int(port), factory)

    def end(self):
        """Reset all connections."""
        members, self._members = self._members, []
        for member in members:
            if member.transport is not None:
                member.transport.abortConnection()
