"""Followers of the platform's keys: what is found there is decoded and handed on."""

from sesamearch.base.log import logger
from sesamearch.configuration.follower import Follower
from sesamearch.platform.configuration import CONFIGURATION_KEY, decode_configuration
from sesamearch.platform.endpoints import ENDPOINT_PREFIX, decode_endpoint

__all__ = ["OperatorFollower", "ServerFollower"]

OPERATOR_PREFIX = b"op/"
RETRY_LONGEST_S = 1.0


class OperatorFollower(Follower):
    """Follows what the operators write.

    Parameters
    ----------
    store : Store
    board : Blackboard
    clock : twisted.internet.interfaces.IReactorTime
    """

    def __init__(self, store, board, clock):
        super().__init__(store, OPERATOR_PREFIX, clock, RETRY_LONGEST_S)
        self._board = board
        self._seen = None

    def take(self, items):
        """Hand a changed configuration on."""
        value = items.get(CONFIGURATION_KEY)
        if value is None or value == self._seen:
            return
        self._seen = value
        decoded = decode_configuration(value)
        if decoded.is_err():
            logger.error("configuration unreadable: {}", decoded.unwrap_err())
            return
        table = decoded.unwrap()
        if self._board.accept_configuration(table):
            logger.info(
                "configuration in force revision={} from=store at={}",
                table.revision,
                self.revision,
            )


class ServerFollower(Follower):
    """Follows the endpoints' entries.

    Parameters
    ----------
    store : Store
    listing : EndpointListing
    clock : twisted.internet.interfaces.IReactorTime

    Attributes
    ----------
    unreadable : int
        Entries skipped so far.
    """

    def __init__(self, store, listing, clock):
        super().__init__(store, ENDPOINT_PREFIX, clock, RETRY_LONGEST_S)
        self._listing = listing
        self._decoded = {}
        self.unreadable = 0

    def take(self, items):
        """Hand the list on; an unreadable entry names no endpoint."""
        self._decoded = {
            (key, value): self._decoded.get((key, value)) or self._decode(key, value)
            for key, value in items.items()
        }
        found = [r.unwrap() for r in self._decoded.values() if r.is_ok()]
        endpoints = {endpoint.name: endpoint for endpoint in found}
        self._listing.take(endpoints, self.revision)

    def _decode(self, key, value):
        decoded = decode_endpoint(key, value)
        if decoded.is_err():
            self.unreadable += 1
            logger.warning(
                "endpoint entry skipped key={} fault={}",
                key.decode(errors="replace"),
                decoded.unwrap_err(),
            )
        return decoded
