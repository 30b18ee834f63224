"""Listeners for callers."""

from twisted.internet.protocol import Factory

from sesamearch.wire.account import CallerAccount
from sesamearch.wire.caller_connection import CallerConnection
from sesamearch.wire.caller_limits import CallerLimits

__all__ = ["CallerConnection", "CallerFactory", "CallerLimits"]


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

    @property
    def unsettled_count(self):
        """Int : number of connections that lose something if the process ends now."""
        return sum(not each.is_settled for each in self.connections)

    def close_idle(self):
        """Close all idle connections."""
        for connection in list(self.connections):
            connection.close_if_idle()
