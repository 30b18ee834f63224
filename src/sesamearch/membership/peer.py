"""The encrypted link between routers: heartbeats, configurations and other messages."""

import random
import time

import msgspec
from twisted.internet.task import LoopingCall

from sesamearch.base.log import logger
from sesamearch.base.record import ConfigurationInForce, MemberChanged
from sesamearch.configuration.blackboard import Member
from sesamearch.configuration.configuration import decode_configuration
from sesamearch.membership.message import (
    SCHEMA_VERSION,
    ConfigurationRequest,
    ConfigurationResponse,
    Heartbeat,
    Message,
)
from sesamearch.membership.sockets import PeerSockets

__all__ = ["PeerLink"]

MEMBER_TIMEOUT_S = 5.0
ADDRESSES_PER_HEARTBEAT = 8

_decode = msgspec.msgpack.Decoder(Message).decode


class PeerLink:
    """Exchanges heartbeats, configurations and other messages with the other routers.

    Parameters
    ----------
    reactor : twisted.internet.interfaces.IReactorCore
    settings : RouterSettings
        Settings whose ``peer`` section is set.
    keys : PeerKeys
    board : Blackboard
    """

    def __init__(self, reactor, settings, keys, board):
        self._reactor = reactor
        self._settings = settings
        self._peer = settings.peer
        self._board = board
        self._incarnation = time.time_ns()
        self._sockets = PeerSockets(reactor, self._peer.listen, keys, self._on_message)
        self._connected_s = {}
        self._ticker = LoopingCall(self._tick)
        self._ticker.clock = reactor
        self._handlers = {
            Heartbeat: self._on_heartbeat,
            ConfigurationRequest: self._on_configuration_request,
            ConfigurationResponse: self._on_configuration_response,
        }

    def start(self):
        """Listen, connect to the seeds and start to send heartbeats."""
        self._sockets.start()
        self._board.configuration.listen(lambda _: self._send_heartbeats())
        self._board.drain.listen(lambda _: self._send_heartbeats())
        for address in self._peer.seeds:
            self.connect(address)
        self._ticker.start(self._peer.heartbeat_interval_s)

    def connect(self, address):
        """Connect to a router unless already connected."""
        if self._sockets.connect(address):
            self._connected_s[address] = self._reactor.seconds()

    def reconnect(self, address):
        """Drop the connection to a router and connect with the current server key."""
        self._disconnect(address)
        self.connect(address)

    def _disconnect(self, address):
        self._sockets.disconnect(address)
        del self._connected_s[address]

    def _tick(self):
        self._sockets.poll()
        self._drop_silent_members()
        self._send_heartbeats()

    def _drop_silent_members(self):
        now_s = self._reactor.seconds()
        members = self._board.members.value
        self._close_unanswered(members, now_s)
        live = {
            name: member
            for name, member in members.items()
            if now_s - member.heard_s < MEMBER_TIMEOUT_S
        }
        if len(live) == len(members):
            return
        for name in members.keys() - live.keys():
            logger.info(MemberChanged(name, "silent"))
        self._board.members.write(live)

    def _close_unanswered(self, members, now_s):
        """Close connections to routers without a heartbeat in time, except seeds."""
        known = {member.address for member in members.values()} | set(self._peer.seeds)
        for address, connected_s in list(self._connected_s.items()):
            if address not in known and now_s - connected_s >= MEMBER_TIMEOUT_S:
                self._disconnect(address)

    def _make_heartbeat(self):
        return Heartbeat(
            SCHEMA_VERSION,
            self._settings.name,
            self._settings.data_centre,
            self._peer.listen,
            self._incarnation,
            self._board.configuration.value.revision,
            self._board.drain.value.draining,
            self._sample_addresses(),
        )

    def _sample_addresses(self):
        members = list(self._board.members.value.values())
        chosen = random.sample(members, min(ADDRESSES_PER_HEARTBEAT, len(members)))
        return [member.address for member in chosen]

    def _send_heartbeats(self):
        message = self._make_heartbeat()
        for address in self._sockets.addresses:
            self._send(address, message)

    def _send(self, address, message):
        return self._sockets.send(address, msgspec.msgpack.encode(message))

    def handle(self, message_type, handler):
        """Call `handler` with each message of a type."""
        self._handlers[message_type] = handler

    def send_to(self, name, message):
        """Send a message to a member.

        Returns
        -------
        bool
            False if the message was not sent; a message that was sent may still be
            lost.
        """
        member = self._board.members.value.get(name)
        return member is not None and self._send(member.address, message)

    def send_to_all(self, message):
        """Send a message to every connected router."""
        for address in self._sockets.addresses:
            self._send(address, message)

    def _on_message(self, data):
        try:
            message = _decode(data)
        except msgspec.DecodeError:
            logger.warning("dropped peer message that cannot be decoded")
            return
        if message.schema_version != SCHEMA_VERSION:
            return
        handler = self._handlers.get(type(message))
        if handler is not None:
            handler(message)

    def _on_heartbeat(self, message):
        members = self._board.members.value
        known = members.get(message.name)
        if known is not None and known.incarnation > message.incarnation:
            return
        if known is None or known.incarnation < message.incarnation:
            logger.info(MemberChanged(message.name, "joined"))
        member = Member(
            message.name,
            message.data_centre,
            message.address,
            message.incarnation,
            message.configuration_revision,
            message.draining,
            self._reactor.seconds(),
        )
        self._board.members.write({**members, message.name: member})
        self.connect(message.address)
        for address in message.known:
            self.connect(address)
        own_revision = self._board.configuration.value.revision
        if message.configuration_revision > own_revision:
            request = ConfigurationRequest(
                SCHEMA_VERSION, self._peer.listen, own_revision
            )
            self._send(message.address, request)

    def _on_configuration_request(self, message):
        configuration = self._board.configuration.value
        if configuration.revision > message.revision:
            response = ConfigurationResponse(SCHEMA_VERSION, configuration.to_json())
            self._send(message.address, response)

    def _on_configuration_response(self, message):
        decoded = decode_configuration(message.value)
        if decoded.is_err():
            logger.warning(
                "ignored invalid configuration from a peer: {}", decoded.unwrap_err()
            )
            return
        configuration = decoded.unwrap()
        if self._board.accept_configuration(configuration):
            logger.info(ConfigurationInForce(configuration.revision, "peer"))

    @property
    def links(self):
        """List of str : addresses that this router is connected to."""
        return self._sockets.addresses

    @property
    def members(self):
        """Dict from str to Member : live routers by name, this one excluded."""
        return self._board.members.value

    @property
    def refused(self):
        """Int : connections refused because of an untrusted key."""
        return self._sockets.refused

    @property
    def server_key(self):
        """Str : public key that the other routers must present."""
        return self._sockets.server_key

    @server_key.setter
    def server_key(self, key):
        self._sockets.server_key = key

    @property
    def sent_bytes(self):
        """Int : total size of all messages sent, before encryption."""
        return self._sockets.sent_bytes

    def stop(self):
        """Stop sending and close the sockets."""
        if self._ticker.running:
            self._ticker.stop()
        self._sockets.stop()
