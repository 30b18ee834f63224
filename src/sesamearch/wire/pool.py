"""Pool of connections to one endpoint."""

from twisted.internet.protocol import ClientFactory

from sesamearch.wire.endpoint import EndpointConnection, Loss, PendingRequest

__all__ = ["ConnectionPool"]

CONNECT_TIMEOUT_S = 0.3
# One attempt to connect uses no more than this share of the time that its request has
# left, so that another endpoint can be tried.
CONNECT_TIME_RATIO = 1 / 3
MIN_CONNECT_TIMEOUT_S = 0.03


class _ConnectionFactory(ClientFactory):
    """Opens a connection for one request."""

    noisy = False

    def __init__(self, pool, request, pending_request):
        self._pool = pool
        self._request = request
        self._pending_request = pending_request

    def buildProtocol(self, address):
        return _FirstRequestConnection(self._pool, *self._take_first())

    def clientConnectionFailed(self, connector, reason):
        _, pending_request = self._take_first()
        if not pending_request.is_over:
            pending_request.close().lost(Loss.NOT_CONNECTED)

    def _take_first(self):
        """Return the request, and forget it: the factory lives as its connection."""
        first = self._request, self._pending_request
        self._request = self._pending_request = None
        return first


class _FirstRequestConnection(EndpointConnection):
    """A connection that sends its first request once it is established."""

    def __init__(self, pool, request, pending_request):
        super().__init__(pool)
        self._first = (request, pending_request)

    def connectionMade(self):
        super().connectionMade()
        (request, pending_request), self._first = self._first, None
        if pending_request.is_over:
            self.abort()
        else:
            self.send(request, pending_request)


class ConnectionPool:
    """Connections to one endpoint, opened on demand and reused while idle.

    Parameters
    ----------
    reactor : twisted.internet.interfaces.IReactorTCP
    address : str
        ``ip:port``.
    idle_timeout_s : callable
        Called with a :class:`ResponseHead`; returns how long the connection may
        stay idle after that response, zero or less for no reuse.
    connect_timeout_s : float
    budget : ReadBudget or None
        Bounds the work for what the peer sends; None for a peer of one's own.

    Attributes
    ----------
    address : str
    budget : ReadBudget or None
    opened : int
        Number of connections opened so far, failed attempts included.
    """

    __slots__ = (
        "_connect_timeout_s",
        "_host",
        "_idle",
        "_port",
        "_reactor",
        "_idle_timeout_s",
        "address",
        "budget",
        "opened",
    )

    def __init__(
        self,
        reactor,
        address,
        idle_timeout_s,
        connect_timeout_s=CONNECT_TIMEOUT_S,
        budget=None,
    ):
        self._reactor = reactor
        self.address = address
        self.budget = budget
        self._host, _, port = address.rpartition(":")
        self._port = int(port)
        self._idle_timeout_s = idle_timeout_s
        self._connect_timeout_s = connect_timeout_s
        self._idle = []
        self.opened = 0

    @property
    def now_s(self):
        """Float : current time on this process's clock."""
        return self._reactor.seconds()

    def send(
        self,
        request,
        receiver,
        force_new_connection=False,
        remaining_s=float("inf"),
    ):
        """Send a request on an idle connection or on a new one.

        Parameters
        ----------
        request : OutgoingRequest
        receiver : ResponseReceiver
        force_new_connection : bool
            Whether to open a connection even if an idle one exists.
        remaining_s : float
            Time that is left for the response; bounds the time to connect.

        Returns
        -------
        PendingRequest
        """
        pending_request = PendingRequest(receiver)
        connection = None if force_new_connection else self._pop_idle(request)
        if connection is not None:
            connection.send(request, pending_request)
            return pending_request
        self.opened += 1
        pending_request.is_first = True
        factory = _ConnectionFactory(self, request, pending_request)
        timeout_s = max(MIN_CONNECT_TIMEOUT_S, remaining_s * CONNECT_TIME_RATIO)
        connector = self._reactor.connectTCP(
            self._host,
            self._port,
            factory,
            timeout=min(self._connect_timeout_s, timeout_s),
        )
        if not pending_request.is_over:
            pending_request.bind(connector=connector)
        return pending_request

    def _pop_idle(self, request):
        """Return the connection that was used last and may carry a request, or None."""
        self.sweep()
        for connection in reversed(self._idle):
            if connection.may_carry(request):
                self._idle.remove(connection)
                return connection
        return None

    def release(self, connection, head):
        """Return a connection to the pool after a complete response."""
        idle_s = self._idle_timeout_s(head)
        if idle_s <= 0:
            connection.abort()
            return
        connection.idle_until_s = self._reactor.seconds() + idle_s
        self._idle.append(connection)

    def discard(self, connection):
        """Remove a closed connection."""
        if connection in self._idle:
            self._idle.remove(connection)

    def sweep(self):
        """Close connections whose idle timeout has expired."""
        now_s = self._reactor.seconds()
        for connection in list(self._idle):
            if connection.idle_until_s <= now_s:
                connection.abort()

    def close(self):
        """Close all idle connections."""
        for connection in list(self._idle):
            connection.abort()
