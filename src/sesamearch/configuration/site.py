"""HTTP listeners that limit what one misbehaving caller can use up."""

from twisted.web.http import HTTPChannel
from twisted.web.server import Request, Site

from sesamearch.base.errors import ErrorKind, Problem

__all__ = ["LimitedSite"]

IDLE_TIMEOUT_S = 120.0
_CRLF = b"\r\n"


class _LimitedRequest(Request):
    """A request with limits on the size of its body and the time to receive it."""

    _timer = None
    _received_bytes = 0
    _is_refused = False

    def gotLength(self, length):
        """Start the receive timeout; refuse a body whose declared size is too large."""
        limits = self.channel.site.limits
        self._timer = self.channel.site.reactor.callLater(
            limits.receive_timeout_s, self._refuse, ErrorKind.SLOW_SENDER
        )
        if length is not None and length > limits.body_bytes:
            self._refuse(ErrorKind.BODY_TOO_LARGE)
            length = 0
        super().gotLength(length)

    def handleContentChunk(self, data):
        """Handle a part of the body; refuse the body once it is too large."""
        if self._is_refused:
            return
        self._received_bytes += len(data)
        if self._received_bytes > self.channel.site.limits.body_bytes:
            self._refuse(ErrorKind.BODY_TOO_LARGE)
            return
        super().handleContentChunk(data)

    def _stop_timer(self):
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        self._timer = None

    def _refuse(self, kind):
        if self._is_refused:
            return
        self._is_refused = True
        self._stop_timer()
        self.channel.refuse(kind)

    def requestReceived(self, command, path, version):
        """Process the complete request unless it was refused."""
        self._stop_timer()
        if not self._is_refused:
            super().requestReceived(command, path, version)

    def connectionLost(self, reason):
        """Cancel the receive timeout of a request whose sender disconnected."""
        self._stop_timer()
        super().connectionLost(reason)


class _LimitedChannel(HTTPChannel):
    """A connection that sends a problem document where Twisted would just close."""

    def refuse(self, kind):
        """Write a problem document without a request object, and close."""
        problem = Problem(kind)
        body = problem.to_json()
        head = [
            b"HTTP/1.1 %d %s" % (problem.answer.status, problem.answer.title.encode()),
            b"Content-Type: application/problem+json",
            b"Content-Length: %d" % len(body),
            b"Connection: close",
        ]
        if problem.retry_delay_s is not None:
            head.append(b"Retry-After: %d" % problem.retry_delay_s)
        self.transport.write(_CRLF.join(head) + _CRLF * 2 + body)
        self.loseConnection()

    def lineLengthExceeded(self, line):
        """Refuse a header line that is too long."""
        self.refuse(ErrorKind.HEADER_TOO_LARGE)

    def lineReceived(self, line):
        """Handle a line of the head; refuse the head once it is too large."""
        if self._receivedHeaderSize + len(line) > self.totalHeadersSize:
            self.refuse(ErrorKind.HEADER_TOO_LARGE)
        else:
            super().lineReceived(line)


class LimitedSite(Site):
    """A site with limits on the size of a request and the time to receive it.

    Parameters
    ----------
    resource : twisted.web.resource.Resource
    limits : LimitSettings
    reactor : twisted.internet.interfaces.IReactorTime
    """

    protocol = _LimitedChannel

    def __init__(self, resource, limits, reactor):
        super().__init__(
            resource, requestFactory=_LimitedRequest, timeout=IDLE_TIMEOUT_S
        )
        self.displayTracebacks = False
        self.limits = limits
        self.reactor = reactor

    def log(self, request):
        """Write no access log, since requests are counted in metrics."""
