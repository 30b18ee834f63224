"""Exchange of the configuration and the list of endpoints among routers."""

from sesamearch.base.log import logger
from sesamearch.base.record import ConfigurationInForce
from sesamearch.membership.fleet_message import (
    EndpointsDelta,
    EndpointsRequest,
    EndpointsSnapshot,
    TableRequest,
    TableResponse,
)
from sesamearch.membership.schema import revision_of

__all__ = ["StateExchange"]

# All relays get a change from the store at nearly the same time, so a router requests
# only what it still lacks after this delay.
CATCH_UP_DELAY_S = 0.15


class StateExchange:
    """Requests newer state from the routers that have it, and answers such requests.

    Parameters
    ----------
    clock : twisted.internet.interfaces.IReactorTime
    own_address : str
        Address of this router's peer link.
    board : Blackboard
    listing : EndpointListing
    decode_table : callable
        Decodes a configuration into a ``Result`` of a routing table.
    send : callable
        Called with an address and a message.
    """

    __slots__ = (
        "_board",
        "_catch_up_since_s",
        "_clock",
        "_decode_table",
        "_listing",
        "_own_address",
        "_send",
    )

    def __init__(self, clock, own_address, board, listing, decode_table, send):
        self._clock = clock
        self._own_address = own_address
        self._board = board
        self._listing = listing
        self._decode_table = decode_table
        self._send = send
        self._catch_up_since_s = None

    @property
    def message_handlers(self):
        """Dict from type to callable : handlers of the messages of this exchange."""
        return {
            TableRequest: self._on_table_request,
            TableResponse: self._on_table_response,
            EndpointsRequest: self._on_endpoints_request,
            EndpointsSnapshot: self._on_endpoints_snapshot,
            EndpointsDelta: self._on_endpoints_delta,
        }

    def lacks_state(self, heartbeat):
        """Return whether the sender of a heartbeat has newer state than this router."""
        return self._lacks_table(heartbeat) or self._lacks_list(heartbeat)

    def _lacks_table(self, heartbeat):
        return heartbeat.table_revision > self._board.configuration.value.revision

    def _lacks_list(self, heartbeat):
        """Return whether the sender has a newer list, or the same one in a new era."""
        own, digest = self._listing.state()
        other = revision_of(heartbeat.list_era, heartbeat.list_revision, own)
        is_other = heartbeat.list_digest != digest or other.era > own.era
        return other > own and is_other

    def catch_up(self, heartbeat):
        """Schedule requests to the sender for newer state that this router lacks."""
        if self._catch_up_since_s is None and self.lacks_state(heartbeat):
            self._catch_up_since_s = self._clock.seconds()
            self._clock.callLater(CATCH_UP_DELAY_S, self._request_missing, heartbeat)

    def _request_missing(self, heartbeat):
        """Request what this router still lacks of the state in a heartbeat."""
        self._catch_up_since_s = None
        if self._lacks_table(heartbeat):
            revision = self._board.configuration.value.revision
            request = TableRequest(self._own_address, revision)
            self._send(heartbeat.sender.address, request)
        if self._lacks_list(heartbeat):
            revision, _ = self._listing.state()
            request = EndpointsRequest(self._own_address, revision.number, revision.era)
            self._send(heartbeat.sender.address, request)

    def _on_table_request(self, message):
        table = self._board.configuration.value
        if table.revision > message.revision:
            self._send(message.address, TableResponse(table.to_json()))

    def _on_table_response(self, message):
        decoded = self._decode_table(message.value)
        if decoded.is_err():
            logger.warning(
                "ignored invalid configuration from a peer: {}", decoded.unwrap_err()
            )
            return
        table = decoded.unwrap()
        if self._board.accept_configuration(table):
            logger.info(ConfigurationInForce(table.revision, "peer"))

    def _on_endpoints_request(self, message):
        revision, _ = self._listing.state()
        if revision > revision_of(message.era, message.revision, revision):
            snapshot = EndpointsSnapshot(
                revision.number, self._listing.listed(), revision.era
            )
            self._send(message.address, snapshot)

    def _on_endpoints_snapshot(self, message):
        endpoints = {endpoint.name: endpoint for endpoint in message.endpoints}
        own, _ = self._listing.state()
        revision = revision_of(message.era, message.revision, own)
        self._listing.apply_snapshot(endpoints, revision)

    def _on_endpoints_delta(self, message):
        own, _ = self._listing.state()
        revision = revision_of(message.era, message.revision, own)
        self._listing.apply_changes(
            message.base_digest, revision, message.changed, message.removed
        )
