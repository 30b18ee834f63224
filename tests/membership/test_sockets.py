import os
import socket
import unittest

import zmq
from twisted.internet.task import Clock

from sesamearch.configuration.keys import PeerKeys
from sesamearch.membership.sockets import SILENCE_TIMEOUT_MS, PeerSockets
from tests.deployment import free_addresses

WAIT_S = 5.0


class _Reactor(Clock):
    def addReader(self, reader):
        """Ignore the reader: these tests read the sockets of the kernel."""

    removeReader = addReader


def socket_options(connection):
    names = ("TCP_KEEPIDLE", "TCP_KEEPINTVL", "TCP_KEEPCNT", "TCP_USER_TIMEOUT")
    return {
        name: connection.getsockopt(socket.IPPROTO_TCP, getattr(socket, name))
        for name in names
    }


class TestPeerSockets(unittest.TestCase):
    # Guards against: a connection between two routers that falls silent without a reset
    # stays silent for good.
    def test_silent_connection_is_given_up_by_the_kernel(self):
        public, secret = (key.decode() for key in zmq.curve_keypair())
        keys = PeerKeys(public, secret, [public])
        own, other = free_addresses(2)
        host, _, port = other.rpartition(":")
        listener = socket.create_server((host, int(port)))
        self.addCleanup(listener.close)
        listener.settimeout(WAIT_S)
        sockets = PeerSockets(_Reactor(), own, keys, lambda data: None)
        sockets.start()
        self.addCleanup(sockets.stop)
        sockets.connect(other)
        accepted, peer = listener.accept()
        self.addCleanup(accepted.close)
        connection = find_own_socket(peer)
        self.addCleanup(connection.close)
        self.assertEqual(
            connection.getsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE), 1
        )
        options = socket_options(connection)
        probes_s = options["TCP_KEEPIDLE"] + (
            options["TCP_KEEPINTVL"] * options["TCP_KEEPCNT"]
        )
        self.assertLessEqual(probes_s * 1000, SILENCE_TIMEOUT_MS)
        self.assertEqual(options["TCP_USER_TIMEOUT"], SILENCE_TIMEOUT_MS)


def find_own_socket(address):
    """Return a duplicate of this process's socket that is bound to an address."""
    for entry in os.listdir("/proc/self/fd"):
        try:
            found = socket.socket(fileno=os.dup(int(entry)))
        except OSError:
            continue
        try:
            if found.getsockname() == address and found.type == socket.SOCK_STREAM:
                return found
        except OSError:
            pass
        found.close()
    raise AssertionError(f"no socket bound to {address}")
