"""Listeners for callers."""

from twisted.internet.protocol import Factory

from sesamearch.wire.account import CallerAccount
from sesamearch.wire.caller_connection import CallerConnection
from sesamearch.wire.caller_limits import CallerLimits

__all__ = ["CallerConnection", "CallerFactory", "CallerLimits"]

# A caller that was refused for want of room may come back after this time.
SHED_RETRY_AFTER_S = 1.0


class CallerFactory(Factory):
    """Creates the connections of one listener.

    Parameters
    ----------
    clock : twisted.internet.interfaces.IReactorTime
    handler : callable
        Called with a :class:`RequestHead`, the body and a :class:`Reply`.
    limits : callable
        Returns the :class:`CallerLimits` in force.
    refused : callable
        Called with the status and the detail of each unreadable request.
    unread : callable
        Called with the bytes of further requests that were lost with a connection; by
        default they are not reported.
    account : CallerAccount or None
        Account of what the callers of the process hold; None for one without bounds.

    Attributes
    ----------
    connections : set of CallerConnection
        Open connections.
    is_draining : bool
        Whether each response carries ``Connection: close``.
    """

    noisy = False
    # Status of a refusal for want of room.
    no_room_status = 503
    # A body that still arrives piece by piece after this time is refused.
    body_timeout_s = 60.0

    def __init__(
        self,
        clock,
        handler,
        limits,
        refused,
        unread=lambda data: None,
        account=None,
    ):
        self.clock = clock
        self.handler = handler
        self.limits = limits
        self.refused = refused
        self.unread = unread
        self.account = account or CallerAccount(clock)
        self.connections = set()
        self.is_draining = False

    def buildProtocol(self, address):
        """Return the protocol for a new connection."""
        return CallerConnection(self)

    def refusal(self, status):
        """Return the headers and the body of a refusal before a request is handled.

        Parameters
        ----------
        status : int

        Returns
        -------
        list of tuple of bytes, bytes
        """
        if status == self.no_room_status:
            return [(b"Retry-After", b"%.3f" % SHED_RETRY_AFTER_S)], b""
        return [], b""

    @property
    def unsettled_count(self):
        """Int : number of connections that lose something if the process ends now."""
        return sum(not each.is_settled for each in self.connections)

    def close_idle(self):
        """Close all idle connections."""
        for connection in list(self.connections):
            connection.close_if_idle()
