"""The link between routers: heartbeats and the configuration, over CURVE."""

import random
import time

import msgspec
import zmq
from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IReadDescriptor
from twisted.internet.task import LoopingCall
from zmq.auth.base import Authenticator
from zope.interface import implementer

from sesamearch.base.log import logger
from sesamearch.base.record import ConfigurationInForce, MemberChanged
from sesamearch.configuration.blackboard import Member
from sesamearch.configuration.configuration import decode_configuration
from sesamearch.membership.message import (
    SCHEMA_VERSION,
    ConfigurationNews,
    ConfigurationWanted,
    Heartbeat,
    Message,
)

__all__ = ["PeerLink"]

MEMBER_TIMEOUT_S = 5.0
SEND_QUEUE_MESSAGES = 100
KNOWN_PER_HEARTBEAT = 8
_ZAP_DOMAIN = "sesamearch"


_decode = msgspec.msgpack.Decoder(Message).decode


class _TrustedKeys:
    """Tells the library's authenticator which public keys may connect."""

    def __init__(self, keys):
        self._keys = frozenset(key.encode() for key in keys)
        self.refused = 0

    def callback(self, domain, key):
        """Return whether a connection with this key, Z85 as bytes, is let in."""
        is_known = key in self._keys
        self.refused += not is_known
        return is_known


@implementer(IReadDescriptor)
class _SocketReader:
    """Reads a socket of the library from the reactor."""

    def __init__(self, reactor, socket, take):
        self._reactor = reactor
        self._socket = socket
        self._take = take
        reactor.addReader(self)

    def fileno(self):
        """Return the descriptor that becomes readable on any event."""
        return self._socket.getsockopt(zmq.FD)

    def logPrefix(self):
        """Return the name used in the reactor's logs."""
        return "zmq"

    def doRead(self):
        """Read all there is: the descriptor only tells of new events."""
        while self._socket.getsockopt(zmq.EVENTS) & zmq.POLLIN:
            self._take(self._socket.recv_multipart(zmq.NOBLOCK))

    def connectionLost(self, reason):
        """Do nothing: the link closes its sockets itself."""

    def stop(self):
        """Stop reading."""
        self._reactor.removeReader(self)


class PeerLink:
    """Exchange heartbeats and configurations with the other routers.

    Parameters
    ----------
    reactor : twisted.internet.interfaces.IReactorCore
    settings : RouterSettings
        Its ``peer`` section is set.
    keys : PeerKeys
    board : Blackboard
    decode : callable, optional
        Makes a ``Result`` of a configuration from its stored form.

    Attributes
    ----------
    server_key : str
        Public key that the other routers must show.
    sent_bytes : int
        Bytes of all messages sent, before encryption.
    """

    def __init__(self, reactor, settings, keys, board, decode=decode_configuration):
        self._decode_configuration = decode
        self.server_key = keys.public_key
        self._reactor = reactor
        self._settings = settings
        self._peer = settings.peer
        self._keys = keys
        self._board = board
        self._incarnation = time.time_ns()
        self._context = zmq.Context()
        self._sockets = {}
        self._connected_s = {}
        self.sent_bytes = 0
        self._trusted = _TrustedKeys(keys.trusted)
        self._ticker = LoopingCall(self._tick)
        self._ticker.clock = reactor
        self._readers = []
        self._handlers = {
            Heartbeat: self._take_heartbeat,
            ConfigurationWanted: self._take_wanted,
            ConfigurationNews: self._take_news,
        }
        self._authenticator = None
        self._inbox = None

    def start(self):
        """Listen, connect to the seeds and begin to send heartbeats."""
        self._start_authenticator()
        self._inbox = self._make_socket(zmq.PULL)
        self._inbox.curve_server = True
        self._inbox.zap_domain = _ZAP_DOMAIN.encode()
        self._inbox.bind(f"tcp://{self._peer.listen}")
        self._read(self._inbox, self._take)
        self._board.configuration.listen(lambda _: self._send_heartbeats())
        self._board.drain.listen(lambda _: self._send_heartbeats())
        for address in self._peer.seeds:
            self.connect(address)
        self._ticker.start(self._peer.heartbeat_interval_s)

    def _start_authenticator(self):
        self._authenticator = Authenticator(self._context)
        self._authenticator.start()
        self._authenticator.configure_curve_callback(_ZAP_DOMAIN, self._trusted)
        self._read(self._authenticator.zap_socket, self._authenticate)

    def _authenticate(self, parts):
        handled = self._authenticator.handle_zap_message(parts)
        Deferred.fromCoroutine(handled).addErrback(
            lambda failure: logger.error("peer check failed: {}", failure.value)
        )

    def _read(self, socket, take):
        reader = _SocketReader(self._reactor, socket, take)
        self._readers.append(reader)
        # What arrived before the reader was added raises no new event.
        self._reactor.callLater(0, reader.doRead)

    def _make_socket(self, kind):
        socket = self._context.socket(kind)
        socket.linger = 0
        socket.sndhwm = socket.rcvhwm = SEND_QUEUE_MESSAGES
        socket.curve_publickey = self._keys.public_key.encode()
        socket.curve_secretkey = self._keys.secret_key.encode()
        return socket

    def connect(self, address):
        """Make a link to a router, unless there is one."""
        if address in self._sockets or address == self._peer.listen:
            return
        socket = self._make_socket(zmq.PUSH)
        socket.curve_serverkey = self.server_key.encode()
        socket.immediate = 1
        socket.connect(f"tcp://{address}")
        self._sockets[address] = socket
        self._connected_s[address] = self._reactor.seconds()

    def reconnect(self, address):
        """Connect anew, with the present server key."""
        self._disconnect(address)
        self.connect(address)

    def _disconnect(self, address):
        self._sockets.pop(address).close()
        del self._connected_s[address]

    def _tick(self):
        for reader in self._readers:
            reader.doRead()
        self._forget_silent()
        self._send_heartbeats()

    def _forget_silent(self):
        now_s = self._reactor.seconds()
        members = self._board.members.value
        self._drop_strangers(members, now_s)
        heard = {
            name: member
            for name, member in members.items()
            if now_s - member.heard_s < MEMBER_TIMEOUT_S
        }
        if len(heard) == len(members):
            return
        for name in members.keys() - heard.keys():
            logger.info(MemberChanged(name, "silent"))
        self._board.members.write(heard)

    def _drop_strangers(self, members, now_s):
        """Close links to addresses from which nothing was heard in time."""
        kept = {member.address for member in members.values()} | set(self._peer.seeds)
        for address, connected_s in list(self._connected_s.items()):
            if address not in kept and now_s - connected_s >= MEMBER_TIMEOUT_S:
                self._disconnect(address)

    def _heartbeat(self):
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
        chosen = random.sample(members, min(KNOWN_PER_HEARTBEAT, len(members)))
        return [member.address for member in chosen]

    def _send_heartbeats(self):
        message = self._heartbeat()
        for address in list(self._sockets):
            self._send(address, message)

    def _send(self, address, message):
        socket = self._sockets.get(address)
        if socket is None:
            return False
        data = msgspec.msgpack.encode(message)
        try:
            socket.send(data, zmq.NOBLOCK)
        except zmq.Again:
            # A peer that cannot be reached gets the next heartbeat instead.
            return False
        self.sent_bytes += len(data)
        return True

    def handle(self, message_type, handler):
        """Call `handler` with each message of a type."""
        self._handlers[message_type] = handler

    def send_to(self, name, message):
        """Send a message to a member.

        Returns
        -------
        bool
            False if it cannot have left; a message that left may still be lost.
        """
        member = self._board.members.value.get(name)
        return member is not None and self._send(member.address, message)

    def send_to_address(self, address, message):
        """Send a message to the router at an address, as :meth:`send_to` does."""
        self.connect(address)
        return self._send(address, message)

    def send_to_all(self, message):
        """Send a message to every router that a link leads to."""
        for address in list(self._sockets):
            self._send(address, message)

    def _take(self, parts):
        try:
            message = _decode(parts[0])
        except msgspec.DecodeError:
            logger.warning("peer message unreadable")
            return
        if message.schema_version != SCHEMA_VERSION:
            return
        handler = self._handlers.get(type(message))
        if handler is not None:
            handler(message)

    def _take_heartbeat(self, message):
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
            wanted = ConfigurationWanted(
                SCHEMA_VERSION, self._peer.listen, own_revision
            )
            self._send(message.address, wanted)

    def _take_wanted(self, message):
        configuration = self._board.configuration.value
        if configuration.revision > message.revision:
            news = ConfigurationNews(SCHEMA_VERSION, configuration.to_json())
            self._send(message.address, news)

    def _take_news(self, message):
        decoded = self._decode_configuration(message.value)
        if decoded.is_err():
            logger.warning("peer configuration unreadable: {}", decoded.unwrap_err())
            return
        configuration = decoded.unwrap()
        if self._board.accept_configuration(configuration):
            logger.info(ConfigurationInForce(configuration.revision, "peer"))

    @property
    def links(self):
        """List of str : addresses that a link leads to."""
        return list(self._sockets)

    @property
    def members(self):
        """Dict from str to Member : the other routers that were heard."""
        return self._board.members.value

    @property
    def refused(self):
        """Int : connections refused because their key is not trusted."""
        return self._trusted.refused

    def stop(self):
        """Close the link."""
        if self._inbox is None:
            return
        self._ticker.stop()
        for reader in self._readers:
            reader.stop()
        for socket in self._sockets.values():
            socket.close()
        self._inbox.close()
        self._authenticator.stop()
        self._context.destroy(linger=0)
