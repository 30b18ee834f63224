"""Lists of endpoints, from the store and from other routers."""

import unittest

from twisted.internet.task import Clock

from sesamearch.configuration.blackboard import Blackboard, Endpoint
from sesamearch.membership.listing import EndpointListing
from sesamearch.membership.message import EndpointsNews, EndpointsState, EndpointsWanted


def endpoint(name, leaving=False):
    return Endpoint(name, f"10.0.0.1:{name[1:]}", "east", "desk", "v1", leaving)


def listed(*endpoints):
    return {each.name: each for each in endpoints}


class Peers:
    """Records what is sent and hands messages to their handlers."""

    def __init__(self):
        self.handlers = {}
        self.sent = []

    def handle(self, message_type, handler):
        self.handlers[message_type] = handler

    def send_to_all(self, message):
        self.sent.append(message)

    def send_to_address(self, address, message):
        self.sent.append((address, message))

    def take(self, message):
        self.handlers[type(message)](message)


class TestEndpointListing(unittest.TestCase):
    def setUp(self):
        self.clock = Clock()
        self.board = Blackboard()
        self.regained_s = float("-inf")
        self.listing = EndpointListing(
            self.board, self.clock, lambda: self.regained_s, "10.0.0.9:1"
        )
        self.peers = Peers()
        self.listing.join(self.peers)
        self.listing.take(listed(endpoint("e1"), endpoint("e2")), 10)

    @property
    def names(self):
        return sorted(self.board.endpoints.value)

    def hear(self, revision, digest, address="10.0.0.2:1"):
        self.peers.take(EndpointsState(1, address, revision, digest))

    def test_older_list_is_left_out(self):
        self.listing.take(listed(endpoint("e1")), 9)
        self.assertEqual(self.names, ["e1", "e2"])

    def test_gone_entry_gets_no_work(self):
        self.listing.take(listed(endpoint("e1")), 11)
        self.assertEqual(self.names, ["e1"])

    def test_entry_that_lapsed_in_an_outage_is_kept_until_it_had_time_to_return(self):
        self.clock.advance(100)
        self.regained_s = 100.0
        self.listing.take(listed(endpoint("e1")), 11)
        self.assertEqual(self.names, ["e1", "e2"])
        self.clock.advance(2.0)
        self.assertEqual(self.names, ["e1", "e2"])
        self.clock.advance(0.5)
        self.assertEqual(self.names, ["e1"])

    def test_leaving_entry_is_not_kept(self):
        self.clock.advance(100)
        self.regained_s = 100.0
        self.listing.take(listed(endpoint("e1"), endpoint("e2", leaving=True)), 11)
        self.listing.take(listed(endpoint("e1")), 12)
        self.assertEqual(self.names, ["e1"])

    def test_entry_that_returned_and_left_later_is_gone(self):
        self.clock.advance(100)
        self.regained_s = 100.0
        self.listing.take(listed(endpoint("e1")), 11)
        self.listing.take(listed(endpoint("e1"), endpoint("e2")), 12)
        self.clock.advance(3)
        self.listing.take(listed(endpoint("e1")), 13)
        self.assertEqual(self.names, ["e1"])

    def test_router_that_stays_behind_asks(self):
        self.hear(11, "other")
        self.assertEqual(self.peers.sent, [])
        self.clock.advance(0.5)
        self.hear(11, "other")
        self.assertEqual(
            self.peers.sent, [("10.0.0.2:1", EndpointsWanted(1, "10.0.0.9:1", 10))]
        )

    def test_router_that_stays_behind_asks_though_another_is_as_far_behind(self):
        self.listing.tell()
        own = self.peers.sent.pop()
        for _ in range(3):
            self.hear(11, "other")
            self.hear(own.revision, own.digest, "10.0.0.3:1")
            self.clock.advance(0.25)
        self.assertTrue(self.peers.sent)

    def test_router_whose_own_watch_is_only_later_does_not_ask(self):
        self.hear(11, "other")
        self.listing.take(listed(endpoint("e1")), 11)
        self.clock.advance(5)
        self.hear(12, "another")
        self.assertEqual(self.peers.sent, [])

    def test_asked_router_hands_its_list_on(self):
        self.peers.take(EndpointsWanted(1, "10.0.0.2:1", 9))
        ((address, news),) = self.peers.sent
        self.assertEqual(address, "10.0.0.2:1")
        self.assertEqual((news.revision, len(news.endpoints)), (10, 2))

    def test_list_of_a_peer_is_taken(self):
        self.peers.take(EndpointsNews(1, 12, [endpoint("e3")]))
        self.assertEqual(self.names, ["e3"])
