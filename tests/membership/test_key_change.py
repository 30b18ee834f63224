"""A router of the fleet changes its key over real sockets."""

from twisted.internet import reactor
from twisted.internet.task import deferLater
from twisted.trial import unittest

from sesamearch.configuration.blackboard import Blackboard
from sesamearch.configuration.platform_settings import PlatformRouterSettings
from sesamearch.configuration.settings import PeerSettings
from sesamearch.membership.fleet import FleetLink
from sesamearch.membership.listing import EndpointListing
from sesamearch.platform.configuration import decode_configuration
from sesamearch.routing.table import RoutingTable
from tests.membership.test_peer import free_address, make_keys, wait_until

# Several heartbeats.
SILENCE_S = 1.0


class KeyChangeTest(unittest.TestCase):
    def make(self, number, keys):
        address = self.addresses[number]
        seeds = [self.addresses[0]]
        settings = PlatformRouterSettings(
            f"r{number}", "a", "", "", "", "", PeerSettings(address, "", seeds)
        )
        board = Blackboard(RoutingTable())
        listing = EndpointListing(board, reactor, lambda: float("-inf"))
        link = FleetLink(reactor, settings, keys, board, listing, decode_configuration)
        link.start()
        self.addCleanup(link.stop)
        return link

    async def test_router_with_another_key_is_heard_after_it_takes_the_fleets(self):
        # Guards against an address that stays in use, or old connections that remain.
        self.addresses = [free_address(), free_address()]
        keys = make_keys()
        first, second = self.make(0, keys), self.make(1, make_keys())
        await deferLater(reactor, SILENCE_S)
        self.assertFalse(first.has_live_members)
        second.change_keys(keys)
        await wait_until(lambda: first.has_live_members and second.has_live_members)
