"""HTTP clients of the soak, with persistent connections."""

from enum import StrEnum

import h11
from tests.platform.world import draft_bytes, request_bytes
from twisted.internet.protocol import ClientFactory, Protocol

from soak.plan import FATAL_BODY, FATAL_PART

__all__ = ["Attempt", "Connection", "RequestKind", "open_connection"]

SIGNATURE_HEADER = b"x-response-signature"
CONNECT_TIMEOUT_S = 1.0


class RequestKind(StrEnum):
    """Kind of request; the value is the first segment of its path."""

    POST = "post"
    LOOK = "look"
    DRAFT = "draft"

    @property
    def timeout_s(self):
        """Float : timeout of the request, sent to the router as its deadline."""
        return 12.0 if self is RequestKind.DRAFT else 0.8

    @property
    def path(self):
        """Str : request path."""
        return f"/{self.value}/1"


class Attempt:
    """One request and its outcome.

    Parameters
    ----------
    request_id : str
    kind : RequestKind
    router : int
        Number of the router.
    key : str
        API key.
    sent_s : float
        Time when the request was created, on the reactor's clock as all times here.
    is_fatal : bool
        Whether endpoints end under it or its prompt.

    Attributes
    ----------
    status : int
        Zero until a response arrives.
    signature : str
        Signature header of the endpoint, empty if the router itself responded.
    body : bytes
        Body of the response as far as it was received.
    is_whole : bool
        Whether the response was received to its end.
    ended_s, left_s : float or None
        When the response or the connection ended; when the caller disconnected
        before the end of the response.
    """

    __slots__ = (
        "body",
        "ended_s",
        "is_fatal",
        "is_whole",
        "key",
        "kind",
        "left_s",
        "request_id",
        "router",
        "sent_s",
        "signature",
        "status",
    )

    def __init__(self, request_id, kind, router, key, sent_s, is_fatal=False):
        self.is_fatal = is_fatal
        self.request_id = request_id
        self.kind = kind
        self.router = router
        self.key = key
        self.sent_s = sent_s
        self.status = 0
        self.signature = ""
        self.body = b""
        self.is_whole = False
        self.ended_s = None
        self.left_s = None

    def to_bytes(self):
        """Return the request as bytes."""
        fields = {"Authorization": f"Token {self.key}"}
        fields["X_Deadline_Ms"] = str(int(self.kind.timeout_s * 1000))
        if self.kind is RequestKind.DRAFT:
            if self.is_fatal:
                parts = f"5c1e:200,{FATAL_PART}:100,{self.request_id}:9"
                fields["X_Prompt_Prefix"] = parts
            body = self.request_id.encode()
            return draft_bytes(self.request_id, 400, body, **fields)
        if self.is_fatal:
            path = self.kind.path
            return request_bytes(path, self.request_id, "POST", FATAL_BODY, **fields)
        method = "POST" if self.kind is RequestKind.POST else "GET"
        return request_bytes(self.kind.path, self.request_id, method, **fields)

    def to_line(self):
        """Return all attributes as one line for ``attempts.log``."""
        seen = {name: getattr(self, name) for name in self.__slots__}
        return repr(seen)

    @property
    def event_ids(self):
        """List of int : ids of the received events."""
        lines = self.body.split(b"\n")
        return [int(line[4:]) for line in lines if line.startswith(b"id: ")]


class Connection(Protocol):
    """A persistent connection to one router, with one request in flight at a time.

    Attributes
    ----------
    is_open : bool
    """

    def __init__(self, router, clock):
        self.router = router
        self.is_open = False
        self._clock = clock
        self._attempt = None
        self._on_done = None
        self._timer = None
        self._parser = None
        self._queued = None

    def connectionMade(self):
        """Send the queued request."""
        self.is_open = True
        self._parser = h11.Connection(h11.CLIENT)
        if self._queued is not None:
            self.send_request(*self._queued)

    @property
    def is_free(self):
        """Bool : whether the connection is open and idle."""
        return self.is_open and self._attempt is None

    def send_when_connected(self, attempt, on_done, leave_after_s=None):
        """Queue a request to be sent once the connection is established."""
        self._queued = (attempt, on_done, leave_after_s)

    def send_request(self, attempt, on_done, leave_after_s=None):
        """Send a request; `on_done` is called with the attempt when it ends.

        Parameters
        ----------
        attempt : Attempt
        on_done : callable
        leave_after_s : float or None
            Delay until the caller disconnects; by default shortly after the
            request's timeout.
        """
        self._attempt = attempt
        self._on_done = on_done
        self._begin_cycle(attempt)
        self.transport.write(attempt.to_bytes())
        wait_s = (
            attempt.kind.timeout_s + 0.5 if leave_after_s is None else leave_after_s
        )
        self._timer = self._clock.callLater(wait_s, self._disconnect)

    def _begin_cycle(self, attempt):
        """Prepare the parser for the response; its own request bytes are not sent."""
        if self._parser.our_state is h11.DONE:
            self._parser.start_next_cycle()
        method = "GET" if attempt.kind is RequestKind.LOOK else "POST"
        headers = [("Host", "soak"), ("Content-Length", "0")]
        self._parser.send(
            h11.Request(method=method, target=attempt.kind.path, headers=headers)
        )
        self._parser.send(h11.EndOfMessage())

    def _disconnect(self):
        self._attempt.left_s = self._clock.seconds()
        self.transport.abortConnection()

    def dataReceived(self, data):
        """Handle bytes of a response."""
        if self._attempt is None:
            # Data without a request in flight: the connection cannot be reused.
            self.is_open = False
            self.transport.abortConnection()
            return
        self._parser.receive_data(data)
        self._handle_events()

    def _handle_events(self):
        try:
            while self._attempt is not None:
                event = self._parser.next_event()
                if event in (h11.NEED_DATA, h11.PAUSED):
                    return
                self._handle_event(event)
        except h11.RemoteProtocolError:
            self.transport.abortConnection()

    def _handle_event(self, event):
        attempt = self._attempt
        if isinstance(event, h11.Response):
            attempt.status = event.status_code
            for name, value in event.headers:
                if name == SIGNATURE_HEADER:
                    attempt.signature = value.decode()
        elif isinstance(event, h11.Data):
            attempt.body += bytes(event.data)
        elif isinstance(event, h11.EndOfMessage):
            attempt.is_whole = True
            if self._parser.their_state is not h11.DONE:
                self.is_open = False
                self.transport.loseConnection()
            self._finish()
        elif isinstance(event, h11.ConnectionClosed):
            self.transport.abortConnection()

    def _finish(self):
        attempt, self._attempt = self._attempt, None
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        attempt.ended_s = self._clock.seconds()
        self._on_done(attempt)

    def connectionLost(self, reason):
        """Finish the attempt; a response without a length ends with the connection."""
        self.is_open = False
        if self._attempt is not None:
            self._parser.receive_data(b"")
            self._handle_events()
        if self._attempt is not None:
            self._finish()


class _Factory(ClientFactory):
    noisy = False

    def __init__(self, connection):
        self._connection = connection

    def buildProtocol(self, address):
        return self._connection

    def clientConnectionFailed(self, connector, reason):
        connection = self._connection
        attempt, on_done, _ = connection._queued
        attempt.ended_s = connection._clock.seconds()
        on_done(attempt)


def open_connection(reactor, router, address):
    """Open a connection; queue its first request at once, by `send_when_connected`."""
    connection = Connection(router, reactor)
    host, _, port = address.rpartition(":")
    reactor.connectTCP(host, int(port), _Factory(connection), timeout=CONNECT_TIMEOUT_S)
    return connection
