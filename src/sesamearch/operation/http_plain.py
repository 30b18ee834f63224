"""Plain services over HTTP."""

from result import Err, Ok
from twisted.internet.defer import Deferred
from twisted.internet.error import ConnectError, DNSLookupError, TimeoutError
from twisted.web.http_headers import Headers

from sesamearch.base.http import make_http_client
from sesamearch.operation.plain import CallFailure, PlainClient, PlainReply

__all__ = ["HOP_BY_HOP_HEADERS", "HttpPlainClient"]

HOP_BY_HOP_HEADERS = frozenset(
    "connection keep-alive proxy-authenticate proxy-authorization te trailer "
    "transfer-encoding upgrade content-length content-encoding date server".split()
)
RAN_HEADER = "Sesame-Ran"
_NOT_CONNECTED = (ConnectError, DNSLookupError, TimeoutError)


class HttpPlainClient(PlainClient):
    """Send calls over a new connection each.

    A new connection makes a failure to connect a proof that the call has not
    run, and leaves no room for a library's own retry.

    Parameters
    ----------
    reactor : twisted.internet.interfaces.IReactorCore
    """

    __slots__ = ("_http", "_reactor")

    def __init__(self, reactor):
        self._reactor = reactor
        self._http = make_http_client(reactor)

    def call(self, endpoint, request, timeout_s):
        """Send once."""
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
        except _NOT_CONNECTED:
            return Err(CallFailure.NOT_SENT)
        except Exception:
            # Any failure after the connection was made proves nothing.
            return Err(CallFailure.LOST)
        finally:
            if timer.active():
                timer.cancel()
        refused = any(
            name == RAN_HEADER and value == "not_run" for name, value in reply.headers
        )
        return Err(CallFailure.REFUSED) if refused else Ok(reply)


def _read_reply(response):
    headers = [
        (name.decode(), value.decode("latin-1"))
        for name, values in response.headers.getAllRawHeaders()
        for value in values
        if name.decode().lower() not in HOP_BY_HOP_HEADERS
    ]
    return response.content().addCallback(
        lambda body: PlainReply(response.code, headers, body)
    )
