"""HTTP client shared by all outgoing adapters."""

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
    """Connects to numeric IP addresses without name resolution.

    Twisted's default endpoint resolves names, and reports a refused connection only
    after its 0.3 s delay for trying a second address.
    """

    def __init__(self, reactor, timeout_s):
        self._reactor = reactor
        self._timeout_s = timeout_s

    def endpointForURI(self, uri):
        """Return the endpoint for a URI with a numeric host."""
        host = uri.host.decode("ascii")
        return TCP4ClientEndpoint(self._reactor, host, uri.port, self._timeout_s)


def make_http_client(reactor, connect_timeout_s=CONNECT_TIMEOUT_S, pool=None):
    """Return a ``treq`` client.

    Parameters
    ----------
    reactor : twisted.internet.interfaces.IReactorCore
    connect_timeout_s : float
    pool : twisted.web.client.HTTPConnectionPool or None
        Pool of idle connections. By default each request gets a new connection, which
        is required for requests that may run at most once: on a reused connection,
        Twisted can repeat a request on its own. Its retries are disabled here as well.
    """
    pool = pool or HTTPConnectionPool(reactor, persistent=False)
    pool.maxPersistentPerHost = IDLE_CONNECTIONS_PER_HOST
    pool.retryAutomatically = False
    endpoints = _NumericEndpoints(reactor, connect_timeout_s)
    agent = Agent.usingEndpointFactory(reactor, endpoints, pool)
    # Otherwise the client would send cookies set for one caller in requests of another.
    no_cookies = CookieJar(policy=DefaultCookiePolicy(allowed_domains=[]))
    return HTTPClient(agent, cookiejar=no_cookies)


class TurnEndCallbacks:
    """Schedules functions to run at the end of the current reactor iteration.

    Parameters
    ----------
    clock : twisted.internet.interfaces.IReactorTime
    """

    __slots__ = ("_clock", "_functions")

    def __init__(self, clock):
        self._clock = clock
        self._functions = []

    def call(self, function):
        """Call `function` once all data that is readable in this iteration was read."""
        if not self._functions:
            self._clock.callLater(0, self._run)
        self._functions.append(function)

    def _run(self):
        functions, self._functions = self._functions, []
        for function in functions:
            function()


class FrameReceiver(LineOnlyReceiver):
    """Splits a streamed body into frames at a delimiter.

    Frames that arrive together are passed on together, so that the data written in
    response can be written at once.

    Parameters
    ----------
    delimiter : bytes
        Marks the end of a frame.
    on_frames : callable
        Called with a list of frames, as bytes.
    on_end : callable
        Called once when the body ends, complete or not.
    """

    MAX_LENGTH = MAX_FRAME_BYTES

    def __init__(self, delimiter, on_frames, on_end):
        self.delimiter = delimiter
        self._frames = []
        self._on_frames = on_frames
        self._on_end = on_end

    def dataReceived(self, data):
        """Split received data and pass on the complete frames."""
        super().dataReceived(data)
        if self._frames:
            frames, self._frames = self._frames, []
            self._on_frames(frames)

    def lineReceived(self, line):
        """Collect a frame until all received data is split."""
        self._frames.append(line)

    def connectionLost(self, reason):
        """Report the end of the body."""
        self._on_end()
