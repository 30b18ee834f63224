"""ZeroMQ sockets of the link between routers, encrypted with CURVE."""

import zmq
from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IReadDescriptor
from zmq.auth.base import Authenticator
from zope.interface import implementer

from sesamearch.base.log import logger

__all__ = ["PeerSockets"]

SEND_QUEUE_MESSAGES = 100
# A connection whose peer acknowledges nothing for this long is made anew. It holds for
# idle ones, by keep-alive probes, and for those with data on the way.
SILENCE_TIMEOUT_MS = 3000
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
_ZAP_DOMAIN = "sesamearch"


class _KeyChecker:
    """Decides for the ZeroMQ authenticator which public keys may connect."""

    def __init__(self, keys):
        self._keys = frozenset(key.encode() for key in keys)
        self.refused = 0

    def callback(self, domain, key):
        """Return whether to accept a connection with this key, in Z85 as bytes."""
        is_known = key in self._keys
        self.refused += not is_known
        return is_known


@implementer(IReadDescriptor)
class _SocketReader:
    """Reads a ZeroMQ socket from the reactor."""

    def __init__(self, reactor, socket, on_message):
        self._reactor = reactor
        self._socket = socket
        self._on_message = on_message
        reactor.addReader(self)

    def fileno(self):
        """Return the descriptor that becomes readable on any socket event."""
        return self._socket.getsockopt(zmq.FD)

    def logPrefix(self):
        """Return the name used in the reactor's logs."""
        return "zmq"

    def doRead(self):
        """Read all pending messages: the descriptor signals each event only once."""
        while self._socket.getsockopt(zmq.EVENTS) & zmq.POLLIN:
            self._on_message(self._socket.recv_multipart(zmq.NOBLOCK))

    def connectionLost(self, reason):
        """Do nothing: :class:`PeerSockets` closes its sockets itself."""

    def stop(self):
        """Stop reading the socket."""
        self._reactor.removeReader(self)


class PeerSockets:
    """One socket that receives, and one for each router that messages are sent to.

    Parameters
    ----------
    reactor : twisted.internet.interfaces.IReactorCore
    listen : str
        ``ip:port`` to receive on.
    keys : PeerKeys
    on_message : callable
        Called with each message, as bytes.

    Attributes
    ----------
    server_key : str
        Public key that the other routers must present.
    sent_bytes : int
        Total size of all messages sent, before encryption.
    """

    def __init__(self, reactor, listen, keys, on_message):
        self.server_key = keys.public_key
        self.sent_bytes = 0
        self._reactor = reactor
        self._listen = listen
        self._keys = keys
        self._on_message = on_message
        self._context = zmq.Context()
        self._sockets = {}
        self._readers = []
        self._key_checker = _KeyChecker(keys.trusted)
        self._authenticator = None
        self._inbox = None

    def start(self):
        """Start to listen and to check the keys of incoming connections."""
        self._authenticator = Authenticator(self._context)
        self._authenticator.start()
        self._authenticator.configure_curve_callback(_ZAP_DOMAIN, self._key_checker)
        self._read(self._authenticator.zap_socket, self._authenticate)
        self._inbox = self._make_socket(zmq.PULL)
        self._inbox.curve_server = True
        self._inbox.zap_domain = _ZAP_DOMAIN.encode()
        self._inbox.bind(f"tcp://{self._listen}")
        self._read(self._inbox, lambda parts: self._on_message(parts[0]))

    def _authenticate(self, parts):
        handled = self._authenticator.handle_zap_message(parts)
        Deferred.fromCoroutine(handled).addErrback(
            lambda failure: logger.error(
                "authentication of a peer connection failed: {}", failure.value
            )
        )

    def _read(self, socket, on_message):
        reader = _SocketReader(self._reactor, socket, on_message)
        self._readers.append(reader)
        # Messages that arrived before the reader was added raise no new event.
        self._reactor.callLater(0, reader.doRead)

    def _make_socket(self, kind):
        socket = self._context.socket(kind)
        socket.linger = 0
        socket.sndhwm = socket.rcvhwm = SEND_QUEUE_MESSAGES
        socket.tcp_keepalive = 1
        socket.tcp_keepalive_idle = KEEPALIVE_INTERVAL_S
        socket.tcp_keepalive_intvl = KEEPALIVE_INTERVAL_S
        socket.tcp_keepalive_cnt = KEEPALIVE_PROBES
        socket.tcp_maxrt = SILENCE_TIMEOUT_MS
        socket.curve_publickey = self._keys.public_key.encode()
        socket.curve_secretkey = self._keys.secret_key.encode()
        return socket

    def poll(self):
        """Read all pending messages, in case an event was missed."""
        for reader in self._readers:
            reader.doRead()

    @property
    def addresses(self):
        """List of str : addresses that this router is connected to."""
        return list(self._sockets)

    @property
    def refused(self):
        """Int : connections refused because of an untrusted key."""
        return self._key_checker.refused

    def connect(self, address):
        """Connect to a router.

        Returns
        -------
        bool
            False if it is already connected, or if the address is this router's own.
        """
        if address in self._sockets or address == self._listen:
            return False
        socket = self._make_socket(zmq.PUSH)
        socket.curve_serverkey = self.server_key.encode()
        socket.immediate = 1
        socket.connect(f"tcp://{address}")
        self._sockets[address] = socket
        return True

    def disconnect(self, address):
        """Close the connection to a router."""
        self._sockets.pop(address).close()

    def send(self, address, data):
        """Send bytes to a router.

        Returns
        -------
        bool
            False if the data were not sent; data that were sent may still be lost.
        """
        socket = self._sockets.get(address)
        if socket is None:
            return False
        try:
            socket.send(data, zmq.NOBLOCK)
        except zmq.Again:
            # Not connected, or the queue is full. Drop the message: the peer gets a
            # later one once it can be reached.
            return False
        self.sent_bytes += len(data)
        return True

    def stop(self):
        """Stop the readers and close all sockets."""
        if self._inbox is None:
            return
        for reader in self._readers:
            reader.stop()
        for socket in self._sockets.values():
            socket.close()
        self._inbox.close()
        self._authenticator.stop()
        self._context.destroy(linger=0)
