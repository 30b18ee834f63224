"""Serves Twisted resources over the connections that bound what callers hold."""

import urllib.parse
from io import BytesIO

from twisted.internet.error import ConnectionLost
from twisted.python.failure import Failure
from twisted.web.server import Request, Site

from sesamearch.base.errors import ErrorKind, Problem
from sesamearch.wire.caller import CallerFactory, CallerLimits
from sesamearch.wire.reply import ReplyListener

__all__ = ["ResourceFactory"]

MAX_HEADER_BYTES = 16 << 10
HEADER_TIMEOUT_S = 30.0
IDLE_TIMEOUT_S = 120.0
TOO_MANY_REQUESTS = 429
# The response is framed by the connection, so that a request writes its body as it is.
_UNFRAMED = b"HTTP/1.0"
_REFUSALS = {
    408: ErrorKind.SLOW_SENDER,
    413: ErrorKind.BODY_TOO_LARGE,
    TOO_MANY_REQUESTS: ErrorKind.OVERLOADED,
    431: ErrorKind.HEADER_TOO_LARGE,
}


class _Request(Request):
    """A request that was received as a whole."""

    def begin(self, head, body):
        """Process the request, as Twisted does for one that it has received itself."""
        self.content = BytesIO(body)
        self.method, self.uri, self.clientproto = head.method, head.target, _UNFRAMED
        self.path, _, query = head.target.partition(b"?")
        self.args = urllib.parse.parse_qs(query, keep_blank_values=True)
        for name, value in head.headers:
            self.requestHeaders.addRawHeader(name, value)
        self.process()


class _ReplyChannel(ReplyListener):
    """Stands between one request and its reply, in place of Twisted's HTTP channel."""

    factory = None
    transport = None

    def __init__(self, site, reply, held_bytes, address, is_secure):
        self.site = site
        self.held_bytes = held_bytes
        self._reply = reply
        self._address = address
        self._is_secure = is_secure
        self._request = None

    def begin(self, head, body):
        """Hand the request to its resource."""
        self._reply.listener = self
        self._request = _Request(self)
        self._request.begin(head, body)

    def caller_left(self):
        """Notify the request that its connection is lost."""
        request, self._request = self._request, None
        if request is not None and not request.finished:
            request.connectionLost(Failure(ConnectionLost()))

    # What Twisted's request calls.

    def getPeer(self):
        return None

    def getHost(self):
        return self._address

    def isSecure(self):
        return self._is_secure

    def writeHeaders(self, version, code, reason, headers):
        pairs = [
            (name, value)
            for name, values in headers.getAllRawHeaders()
            for value in values
        ]
        self._reply.start(int(code), pairs, reason)

    def write(self, data):
        self._reply.write(data)

    def registerProducer(self, producer, streaming):
        self._reply.set_producer(producer)

    def unregisterProducer(self):
        self._reply.set_producer(None)

    def requestDone(self, request):
        self._request = None
        self._reply.finish()

    def loseConnection(self):
        self._reply.abort()

    def abortConnection(self):
        self._reply.abort()


class ResourceFactory(CallerFactory):
    """Creates the connections of a listener that serves a Twisted resource.

    Parameters
    ----------
    resource : twisted.web.resource.Resource
    limits : LimitSettings
    reactor : twisted.internet.interfaces.IReactorTime
    account : CallerAccount
        Account of what all that connect to this process hold.
    address : twisted.internet.address.IPv4Address or None
        Address that the factory listens on.
    is_secure : bool
        Whether the connections are encrypted.
    """

    no_room_status = TOO_MANY_REQUESTS

    def __init__(
        self, resource, limits, reactor, account, address=None, is_secure=False
    ):
        caller_limits = CallerLimits(
            header_bytes=MAX_HEADER_BYTES,
            body_bytes=limits.body_bytes,
            header_timeout_s=HEADER_TIMEOUT_S,
            idle_timeout_s=IDLE_TIMEOUT_S,
        )
        self.body_timeout_s = limits.receive_timeout_s
        super().__init__(
            reactor,
            self._handle,
            lambda: caller_limits,
            lambda status, detail: None,
            account=account,
        )
        self._site = Site(resource)
        self._site.displayTracebacks = False
        self._address = address
        self._is_secure = is_secure

    def _handle(self, head, body, reply):
        channel = _ReplyChannel(
            self._site, reply, len(body), self._address, self._is_secure
        )
        channel.begin(head, body)

    def refusal(self, status):
        """Return a problem document; see ``CallerFactory``."""
        kind = _REFUSALS.get(status)
        if kind is None:
            return super().refusal(status)
        problem = Problem(kind)
        headers = [(b"Content-Type", b"application/problem+json")]
        if problem.retry_delay_s is not None:
            headers.append((b"Retry-After", b"%d" % problem.retry_delay_s))
        return headers, problem.to_json()
