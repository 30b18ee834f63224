"""Client for plain services over HTTP."""

from result import Err, Ok
from twisted.internet.defer import Deferred
from twisted.internet.error import (
    ConnectError,
    ConnectingCancelledError,
    DNSLookupError,
    TimeoutError,
)
from twisted.web.http_headers import Headers

from sesamearch.base.http import make_http_client
from sesamearch.operation.plain import CallFailure, PlainClient, PlainReply
from sesamearch.wire.head import is_status

__all__ = ["HOP_BY_HOP_HEADERS", "HttpPlainClient"]

# Includes headers that are not hop-by-hop, but that the HTTP library sets or
# decodes itself.
HOP_BY_HOP_HEADERS = frozenset(
    "connection keep-alive proxy-authenticate proxy-authorization te trailer "
    "transfer-encoding upgrade content-length content-encoding date server".split()
)
RAN_HEADER = "Sesame-Ran"
_CONNECT_ERRORS = (
    ConnectError,
    ConnectingCancelledError,
    DNSLookupError,
    TimeoutError,
)


class HttpPlainClient(PlainClient):
    """Sends each call over a new connection.

    With a new connection, a failure to connect proves that the call has not run, and
    the HTTP library has no reason to retry on its own.

    Parameters
    ----------
    reactor : twisted.internet.interfaces.IReactorCore
    """

    __slots__ = ("_http", "_reactor")

    def __init__(self, reactor):
        self._reactor = reactor
        self._http = make_http_client(reactor)

    def call(self, endpoint, request, timeout_s):
        """Send a call once."""
        return Deferred.fromCoroutine(self._call(endpoint, request, timeout_s))

    async def _call(self, endpoint, request, timeout_s):
        headers = Headers()
        for name, value in request.headers:
            headers.addRawHeader(name, value)
        pending = self._http.request(
            request.method,
            f"http://{endpoint.address}{request.path}",
            headers=headers,
            data=request.body or None,
            allow_redirects=False,
            unbuffered=True,
        )
        pending.addCallback(_read_reply)
        timer = self._reactor.callLater(timeout_s, pending.cancel)
        try:
            reply = await pending
        except _CONNECT_ERRORS:
            return Err(CallFailure.NOT_SENT)
        except Exception:
            # After any other failure, the call may or may not have run.
            return Err(CallFailure.LOST)
        finally:
            if timer.active():
                timer.cancel()
        refused = any(
            name == RAN_HEADER and value == "not_run" for name, value in reply.headers
        )
        return Err(CallFailure.REFUSED) if refused else Ok(reply)


class _StatusError(Exception):
    """An answer whose status is none."""


def _read_reply(response):
    headers = [
        (name.decode(), value.decode("latin-1"))
        for name, values in response.headers.getAllRawHeaders()
        for value in values
        if name.decode().lower() not in HOP_BY_HOP_HEADERS
    ]

    def make_reply(body):
        if not is_status(response.code):
            raise _StatusError(response.code)
        return PlainReply(response.code, headers, body)

    return response.content().addCallback(make_reply)
