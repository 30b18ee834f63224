"""The parts of a router that serve requests by way of other routers, and theirs."""

import time

from sesamearch.forwarding.paths import PathTracker
from sesamearch.platform.proxy import ProxyPort, RouterProxy
from sesamearch.proxy.admission import ProxyAdmission
from sesamearch.proxy.envelope import EnvelopeSealer
from sesamearch.proxy.path_gossip import PathGossip
from sesamearch.proxy.peers import PeerChooser

__all__ = ["UPDATE_INTERVAL_S", "Proxying"]

UPDATE_INTERVAL_S = 0.25


class Proxying:
    """Assembles the parts; :meth:`update` is called each ``UPDATE_INTERVAL_S``.

    Parameters
    ----------
    reactor : twisted reactor
    settings : PlatformRouterSettings
    probe : callable
        Probes the path to an endpoint; see :class:`PathTracker`.
    serving : callable
        Returns the endpoints of a service.
    members : callable
        Returns the :class:`MemberList`, None before the router has joined its peers.
    in_flight : callable
        Returns the number of requests in flight.
    rng : random.Random

    Attributes
    ----------
    paths : PathTracker
    gossip : PathGossip
    sealer : EnvelopeSealer
    proxy : RouterProxy
    admission : ProxyAdmission
    """

    __slots__ = (
        "_reactor",
        "_settings",
        "admission",
        "gossip",
        "paths",
        "proxy",
        "sealer",
    )

    def __init__(self, reactor, settings, probe, serving, members, in_flight, rng):
        self._reactor = reactor
        self._settings = settings
        self.paths = PathTracker(probe, reactor, serving, rng)
        self.gossip = PathGossip(settings.name, self.paths, reactor)
        chooser = PeerChooser(reactor, members, self.gossip.is_cut, rng)
        self.paths.is_reached_elsewhere = lambda service: bool(
            chooser.candidates(service)
        )
        self.sealer = EnvelopeSealer(settings.name)
        self.proxy = RouterProxy(
            reactor, settings.name, time.time_ns(), chooser, self.sealer
        )
        self.admission = ProxyAdmission(reactor, in_flight, UPDATE_INTERVAL_S)

    def make_port(self, board, dispatcher, listen, account):
        """Return the :class:`ProxyPort` for requests of other routers."""
        return ProxyPort(
            self._reactor,
            self._settings.proxy_address,
            board,
            dispatcher,
            self.sealer,
            listen,
            account,
        )

    def update(self):
        """Probe, measure the reactor's lag, close idle connections, repeat reports."""
        self.paths.check()
        self.admission.measure()
        self.proxy.sweep()
        self.gossip.refresh()
