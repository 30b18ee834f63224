"""Exchange of the endpoints that leave among the routers."""

from sesamearch.base.log import logger
from sesamearch.membership.fleet_message import (
    DEPARTURE_SCHEMA_VERSION,
    EndpointDeparted,
)

__all__ = ["DepartureGossip"]


class DepartureGossip:
    """Tells the other routers which endpoints said to this one that they leave.

    It also applies what the other routers tell.

    Parameters
    ----------
    departures : DepartureTracker
    """

    __slots__ = ("_departures", "_peers")

    def __init__(self, departures):
        self._departures = departures
        self._peers = None
        departures.on_answer = self._send

    def join(self, peers):
        """Send and receive updates through a :class:`FleetLink`."""
        self._peers = peers
        peers.handle(EndpointDeparted, self._apply)

    def _send(self, incarnation):
        if self._peers is not None:
            departed = EndpointDeparted(DEPARTURE_SCHEMA_VERSION, incarnation)
            self._peers.send_to_all(departed)

    def _apply(self, departed):
        if departed.schema_version == DEPARTURE_SCHEMA_VERSION:
            self._departures.update(departed.incarnation)
        else:
            version = departed.schema_version
            logger.warning("ignored departure of schema version {}", version)
