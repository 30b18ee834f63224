"""The HTTP client that every outgoing adapter shares."""

from http.cookiejar import CookieJar, DefaultCookiePolicy

from treq.client import HTTPClient
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.protocols.basic import LineOnlyReceiver
from twisted.web.client import Agent, HTTPConnectionPool
from twisted.web.iweb import IAgentEndpointFactory
from zope.interface import implementer

__all__ = ["FrameReceiver", "TurnEndCallbacks", "make_http_client"]

CONNECT_TIMEOUT_S = 1.0
IDLE_CONNECTIONS_PER_HOST = 64
MAX_FRAME_BYTES = 4 << 20


@implementer(IAgentEndpointFactory)
class _NumericEndpoints:
    """Connects to addresses given by number.

    The library's default resolves names and tells of a refused connection only
    when its timer for a second address has run out, 0.3 s later.
    """

    def __init__(self, reactor, timeout_s):
        self._reactor = reactor
        self._timeout_s = timeout_s

    def endpointForURI(self, uri):
        """Return the endpoint to connect to."""
        host = uri.host.decode("ascii")
        return TCP4ClientEndpoint(self._reactor, host, uri.port, self._timeout_s)


def make_http_client(reactor, connect_timeout_s=CONNECT_TIMEOUT_S, pool=None):
    """Return a ``treq`` client.

    Parameters
    ----------
    reactor : twisted.internet.interfaces.IReactorCore
    connect_timeout_s : float
    pool : twisted.web.client.HTTPConnectionPool or None
        Keeps idle connections. Without it each request gets a fresh one, as
        requests must that may run at most once: a kept connection's retry rules
        are the library's.
    """
    pool = pool or HTTPConnectionPool(reactor, persistent=False)
    pool.maxPersistentPerHost = IDLE_CONNECTIONS_PER_HOST
    pool.retryAutomatically = False
    endpoints = _NumericEndpoints(reactor, connect_timeout_s)
    agent = Agent.usingEndpointFactory(reactor, endpoints, pool)
    # The client would otherwise send one caller's cookies with another's call.
    no_cookies = CookieJar(policy=DefaultCookiePolicy(allowed_domains=[]))
    return HTTPClient(agent, cookiejar=no_cookies)


class TurnEndCallbacks:
    """Calls each of its members once at the end of a turn of the reactor.

    Parameters
    ----------
    clock : twisted.internet.interfaces.IReactorTime
    """

    __slots__ = ("_clock", "_functions")

    def __init__(self, clock):
        self._clock = clock
        self._functions = []

    def call(self, function):
        """Call `function` when all that can be read in this turn was read."""
        if not self._functions:
            self._clock.callLater(0, self._run)
        self._functions.append(function)

    def _run(self):
        functions, self._functions = self._functions, []
        for function in functions:
            function()


class FrameReceiver(LineOnlyReceiver):
    """Split a streamed body at a delimiter.

    Frames that arrive together are handed on together, so that whatever is
    written because of them can be written at once.

    Parameters
    ----------
    delimiter : bytes
        What ends a frame.
    take_frames : callable
        Called with a list of frames, as bytes.
    take_end : callable
        Called once when the body ends, whole or not.
    """

    MAX_LENGTH = MAX_FRAME_BYTES

    def __init__(self, delimiter, take_frames, take_end):
        self.delimiter = delimiter
        self._frames = []
        self._take_frames = take_frames
        self._take_end = take_end

    def dataReceived(self, data):
        """Split what arrived and hand on the whole frames."""
        super().dataReceived(data)
        if self._frames:
            frames, self._frames = self._frames, []
            self._take_frames(frames)

    def lineReceived(self, line):
        """Keep a frame until all that arrived is split."""
        self._frames.append(line)

    def connectionLost(self, reason):
        """Tell that the body ended."""
        self._take_end()
