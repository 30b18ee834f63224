"""Measures the peer links of a number of routers, all in one process."""

import time

import zmq
from tests.deployment import free_addresses
from twisted.internet import reactor
from twisted.internet.task import deferLater

from sesamearch.configuration.blackboard import Blackboard
from sesamearch.configuration.keys import PeerKeys
from sesamearch.configuration.settings import (
    PeerSettings,
    RouterSettings,
    StoreSettings,
)
from sesamearch.membership.peer import PeerLink

WARM_UP_S = 4
RUN_S = 4


def make_links(count):
    """Return started peer links that have the first one as their seed."""
    public, secret = (key.decode() for key in zmq.curve_keypair())
    keys = PeerKeys(public, secret, [public])
    addresses = free_addresses(count)
    links = []
    for number, address in enumerate(addresses):
        peer = PeerSettings(address, "", addresses[:1])
        settings = RouterSettings(
            f"r{number}", "a", "", "", StoreSettings(["127.0.0.1:1"]), "", peer
        )
        links.append(PeerLink(reactor, settings, keys, Blackboard()))
        links[-1].start()
    return links


async def measure(count):
    """Measure peer links that carry no requests.

    Returns
    -------
    tuple of int, float, float
        Smallest number of members that a link knows, share of a core that one link
        uses, and bytes per second that one link sends.
    """
    links = make_links(count)
    await deferLater(reactor, WARM_UP_S)
    sent_bytes = sum(link.sent_bytes for link in links)
    begun_s = time.process_time()
    await deferLater(reactor, RUN_S)
    cpu_s = time.process_time() - begun_s
    sent_bytes = sum(link.sent_bytes for link in links) - sent_bytes
    known = min(len(link.members) for link in links)
    for link in links:
        link.stop()
    return known, cpu_s / RUN_S / count, sent_bytes / RUN_S / count
