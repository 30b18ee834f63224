"""Connections to one endpoint, opened when needed and kept for a while."""

from twisted.internet.protocol import ClientFactory

from sesamearch.wire.endpoint import EndpointConnection, Loss, PendingRequest

__all__ = ["ConnectionPool"]

CONNECT_TIMEOUT_S = 0.3


class _Connecting(ClientFactory):
    """Opens one connection for one request."""

    noisy = False

    def __init__(self, pool, request, pending_request):
        self._pool = pool
        self._request = request
        self._sending = pending_request

    def buildProtocol(self, address):
        return _OpeningConnection(self._pool, self._request, self._sending)

    def clientConnectionFailed(self, connector, reason):
        if not self._sending.is_over:
            self._sending.is_over = True
            self._sending.receiver.lost(Loss.NOT_CONNECTED)


class _OpeningConnection(EndpointConnection):
    """A connection that sends its first request as soon as it is open."""

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
    """Connections to one endpoint.

    Parameters
    ----------
    reactor : twisted.internet.interfaces.IReactorTCP
    address : str
        ``ip:port``.
    reusable_s : callable
        Gives, for an :class:`ResponseHead`, how long its connection may idle.
    connect_timeout_s : float

    Attributes
    ----------
    opened : int
        Connections opened so far.
    """

    __slots__ = (
        "_connect_timeout_s",
        "_host",
        "_idle",
        "_port",
        "_reactor",
        "_reusable_s",
        "opened",
    )

    def __init__(
        self, reactor, address, reusable_s, connect_timeout_s=CONNECT_TIMEOUT_S
    ):
        self._reactor = reactor
        self._host, _, port = address.rpartition(":")
        self._port = int(port)
        self._reusable_s = reusable_s
        self._connect_timeout_s = connect_timeout_s
        self._idle = []
        self.opened = 0

    def send(self, request, receiver, force_new_connection=False):
        """Send a request.

        Parameters
        ----------
        request : OutgoingRequest
        receiver : ResponseReceiver
        force_new_connection : bool
            Whether to open a connection though one is idle.

        Returns
        -------
        Sending
        """
        pending_request = PendingRequest(receiver)
        connection = None if force_new_connection else self._take_idle()
        if connection is not None:
            connection.send(request, pending_request)
            return pending_request
        self.opened += 1
        connecting = _Connecting(self, request, pending_request)
        connector = self._reactor.connectTCP(
            self._host, self._port, connecting, timeout=self._connect_timeout_s
        )
        if not pending_request.is_over:
            pending_request.bind(connector=connector)
        return pending_request

    def _take_idle(self):
        now_s = self._reactor.seconds()
        while self._idle:
            connection = self._idle.pop()
            if connection.idle_until_s > now_s:
                return connection
            connection.abort()
        return None

    def keep(self, connection, head):
        """Keep a connection whose answer is whole."""
        idle_s = self._reusable_s(head)
        if idle_s <= 0:
            connection.abort()
            return
        connection.idle_until_s = self._reactor.seconds() + idle_s
        self._idle.append(connection)

    def forget(self, connection):
        """Drop a connection that is closed."""
        if connection in self._idle:
            self._idle.remove(connection)

    def sweep(self):
        """Close connections that idled for too long."""
        now_s = self._reactor.seconds()
        for connection in list(self._idle):
            if connection.idle_until_s <= now_s:
                connection.abort()

    def close(self):
        """Close the idle connections."""
        for connection in list(self._idle):
            connection.abort()
