"""Callers of the soak, which keep their connections."""

from enum import StrEnum

import h11
from tests.platform.world import draft_bytes, request_bytes
from twisted.internet.protocol import ClientFactory, Protocol

__all__ = ["Attempt", "Connection", "RequestKind", "open_connection"]

SIGNATURE = b"x-response-signature"
CONNECT_TIMEOUT_S = 1.0


class RequestKind(StrEnum):
    """What is asked, by the route's path."""

    POST = "post"
    LOOK = "look"
    DRAFT = "draft"

    @property
    def timeout_s(self):
        """Float : how long the caller waits, as the request says."""
        return 12.0 if self is RequestKind.DRAFT else 0.8

    @property
    def path(self):
        """Str : path of its requests."""
        return f"/{self.value}/1"


class Attempt:
    """One request of a caller and what came of it.

    Parameters
    ----------
    request_id : str
    kind : RequestKind
    router : int
    key : str
    sent_s : float

    Attributes
    ----------
    status : int
        Zero for none.
    signature : str
    body : bytes
    is_whole : bool
        Whether the answer looks complete.
    ended_s, left_s : float or None
        When the answer or the connection ended; when the caller left.
    """

    __slots__ = (
        "body",
        "ended_s",
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

    def __init__(self, request_id, kind, router, key, sent_s):
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
        """Return the request."""
        fields = {"Authorization": f"Token {self.key}"}
        fields["X_Deadline_Ms"] = str(int(self.kind.timeout_s * 1000))
        if self.kind is RequestKind.DRAFT:
            return draft_bytes(self.request_id, 400, **fields)
        method = "POST" if self.kind is RequestKind.POST else "GET"
        return request_bytes(self.kind.path, self.request_id, method, **fields)

    def to_line(self):
        """Return it as text for whoever traces a failure."""
        seen = {name: getattr(self, name) for name in self.__slots__}
        return repr(seen)

    @property
    def pieces(self):
        """List of int : numbers of the events received."""
        lines = self.body.split(b"\n")
        return [int(line[4:]) for line in lines if line.startswith(b"id: ")]


class Connection(Protocol):
    """A kept connection to one router; one request at a time.

    Attributes
    ----------
    is_open : bool
    """

    def __init__(self, router, clock):
        self.router = router
        self.is_open = False
        self._clock = clock
        self._attempt = None
        self._done = None
        self._timer = None
        self._parser = None
        self._waiting = None

    def connectionMade(self):
        """Send what waited for the connection."""
        self.is_open = True
        self._parser = h11.Connection(h11.CLIENT)
        if self._waiting is not None:
            self.ask(*self._waiting)

    @property
    def is_free(self):
        """Bool : whether a request may be sent now."""
        return self.is_open and self._attempt is None

    def wait_to_ask(self, attempt, done, leave_s=None):
        """Ask as soon as the connection stands."""
        self._waiting = (attempt, done, leave_s)

    def ask(self, attempt, done, leave_s=None):
        """Send a request; `done` is called with it when it is over.

        Parameters
        ----------
        attempt : Attempt
        done : callable
        leave_s : float or None
            After how long the caller leaves, its timeout otherwise.
        """
        self._attempt = attempt
        self._done = done
        self._begin_cycle(attempt)
        self.transport.write(attempt.to_bytes())
        wait_s = attempt.kind.timeout_s + 0.5 if leave_s is None else leave_s
        self._timer = self._clock.callLater(wait_s, self._leave)

    def _begin_cycle(self, attempt):
        if self._parser.our_state is h11.DONE:
            self._parser.start_next_cycle()
        method = "GET" if attempt.kind is RequestKind.LOOK else "POST"
        headers = [("Host", "soak"), ("Content-Length", "0")]
        self._parser.send(
            h11.Request(method=method, target=attempt.kind.path, headers=headers)
        )
        self._parser.send(h11.EndOfMessage())

    def _leave(self):
        self._attempt.left_s = self._clock.seconds()
        self.transport.abortConnection()

    def dataReceived(self, data):
        """Take bytes of an answer."""
        if self._attempt is None:
            self.is_open = False
            self.transport.abortConnection()
            return
        self._parser.receive_data(data)
        self._take_events()

    def _take_events(self):
        try:
            while self._attempt is not None:
                event = self._parser.next_event()
                if event in (h11.NEED_DATA, h11.PAUSED):
                    return
                self._take(event)
        except h11.RemoteProtocolError:
            self.transport.abortConnection()

    def _take(self, event):
        attempt = self._attempt
        if isinstance(event, h11.Response):
            attempt.status = event.status_code
            for name, value in event.headers:
                if name == SIGNATURE:
                    attempt.signature = value.decode()
        elif isinstance(event, h11.Data):
            attempt.body += bytes(event.data)
        elif isinstance(event, h11.EndOfMessage):
            attempt.is_whole = True
            if self._parser.their_state is not h11.DONE:
                self.is_open = False
                self.transport.loseConnection()
            self._end()
        elif isinstance(event, h11.ConnectionClosed):
            self.transport.abortConnection()

    def _end(self):
        attempt, self._attempt = self._attempt, None
        if self._timer is not None and self._timer.active():
            self._timer.cancel()
        attempt.ended_s = self._clock.seconds()
        self._done(attempt)

    def connectionLost(self, reason):
        """Take note of the end of the connection, and of its answer with it."""
        self.is_open = False
        if self._attempt is not None:
            self._parser.receive_data(b"")
            self._take_events()
        if self._attempt is not None:
            self._end()


class _Factory(ClientFactory):
    noisy = False

    def __init__(self, connection):
        self._connection = connection

    def buildProtocol(self, address):
        return self._connection

    def clientConnectionFailed(self, connector, reason):
        connection = self._connection
        attempt, done, _ = connection._waiting
        attempt.ended_s = connection._clock.seconds()
        done(attempt)


def open_connection(reactor, router, address):
    """Open a connection to a router, whose first request is set by ``wait_to_ask``."""
    connection = Connection(router, reactor)
    host, _, port = address.rpartition(":")
    reactor.connectTCP(host, int(port), _Factory(connection), timeout=CONNECT_TIMEOUT_S)
    return connection
