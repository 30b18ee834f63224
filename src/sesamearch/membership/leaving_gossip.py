"""Exchange of the endpoints that leave among the routers."""

from sesamearch.membership.fleet_message import LEAVING_SCHEMA_VERSION, LeavingNotice
from sesamearch.membership.schema import is_known_version

__all__ = ["LeavingGossip"]


class LeavingGossip:
    """Tells the other routers which endpoints said to this one that they leave.

    It also applies what the other routers tell.

    Parameters
    ----------
    leaving : LeavingTracker
    """

    __slots__ = ("_leaving", "_peers")

    def __init__(self, leaving):
        self._leaving = leaving
        self._peers = None
        leaving.on_answer = self._send

    def join(self, peers):
        """Send and receive updates through a :class:`FleetLink`."""
        self._peers = peers
        peers.handle(LeavingNotice, self._apply)

    def _send(self, incarnation):
        if self._peers is not None:
            notice = LeavingNotice(LEAVING_SCHEMA_VERSION, incarnation)
            self._peers.send_to_all(notice)

    def _apply(self, notice):
        if is_known_version(notice, LEAVING_SCHEMA_VERSION):
            self._leaving.update(notice.incarnation)
