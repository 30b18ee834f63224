"""Routers discover each other over CURVE; unknown keys are refused."""

import socket

import zmq
from twisted.internet import reactor
from twisted.internet.task import deferLater
from twisted.trial import unittest

import sesamearch.membership.peer as peer_module
from sesamearch.configuration.blackboard import Blackboard
from sesamearch.configuration.configuration import Configuration
from sesamearch.configuration.keys import PeerKeys
from sesamearch.configuration.settings import (
    PeerSettings,
    RouterSettings,
    StoreSettings,
)
from sesamearch.membership.peer import PeerLink

POLLS = 400
POLL_INTERVAL_S = 0.02


def free_address():
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{probe.getsockname()[1]}"


def make_keys():
    public, secret = (key.decode() for key in zmq.curve_keypair())
    return PeerKeys(public, secret, [public])


async def wait_until(condition):
    for _ in range(POLLS):
        if condition():
            return
        await deferLater(reactor, POLL_INTERVAL_S)
    raise AssertionError("condition not met in time")


class PeerLinkTest(unittest.TestCase):
    def setUp(self):
        self.addresses = [free_address(), free_address()]
        self.keys = make_keys()

    def make(self, number, keys=None):
        peer = PeerSettings(
            self.addresses[number], "", [self.addresses[0]], heartbeat_interval_s=0.05
        )
        settings = RouterSettings(
            f"r{number}", "a", "", "", StoreSettings(["127.0.0.1:1"]), "", peer
        )
        board = Blackboard()
        link = PeerLink(reactor, settings, keys or self.keys, board)
        link.start()
        self.addCleanup(link.stop)
        return board, link

    async def test_routers_discover_each_other_and_share_the_configuration(self):
        first, _ = self.make(0)
        second, _ = self.make(1)
        await wait_until(lambda: "r1" in first.members.value and second.members.value)
        first.accept_configuration(Configuration(3, "ana"))
        await wait_until(lambda: second.configuration.value.revision == 3)
        self.assertEqual(second.configuration.value.published_by, "ana")
        second.accept_configuration(Configuration(4))
        await wait_until(lambda: first.configuration.value.revision == 4)

    async def test_unresponsive_address_is_disconnected(self):
        self.patch(peer_module, "MEMBER_TIMEOUT_S", 0.2)
        _, link = self.make(0)
        link.connect("127.0.0.1:1")
        self.assertIn("127.0.0.1:1", link.links)
        await wait_until(lambda: "127.0.0.1:1" not in link.links)

    async def test_unknown_key_is_refused(self):
        first, link = self.make(0)
        untrusted = make_keys()
        # Knowing the server's public key is not enough to be trusted.
        keys = PeerKeys(untrusted.public_key, untrusted.secret_key, [])
        second, other = self.make(1, keys)
        other.server_key = self.keys.public_key
        other.reconnect(self.addresses[0])
        await wait_until(lambda: link.refused > 0)
        self.assertEqual(first.members.value, {})
