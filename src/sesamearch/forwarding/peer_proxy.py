"""Interface to the routers that serve requests for one without a path to endpoints."""

import abc

import msgspec

from sesamearch.configuration.blackboard import Endpoint
from sesamearch.forwarding.request import MemoryCopy

__all__ = ["NoPeers", "PeerProxy", "ProxyPeer", "ProxyTerms"]


class ProxyPeer(Endpoint, frozen=True):
    """A router that requests can be sent by way of, in place of an endpoint.

    Its address is the one at which it takes requests of other routers, its service that
    of the request.
    """


class ProxyTerms(msgspec.Struct, frozen=True):
    """What a router that serves a request for another one has to keep to.

    Parameters
    ----------
    revision : int
        Revision of the configuration by which the request was routed; an older one
        must not serve it.
    max_runs : int
        Number of endpoints that may run the request.
    copy : MemoryCopy or None
        Copy of the memory of a generation that goes on.
    """

    revision: int
    max_runs: int
    copy: MemoryCopy | None = None


class PeerProxy(abc.ABC):
    """Sends requests by way of other routers."""

    @abc.abstractmethod
    def choose(self, service, excluded):
        """Choose a router that may reach a service.

        Parameters
        ----------
        service : str
        excluded : set of str
            Names of routers not to choose.

        Returns
        -------
        ProxyPeer or None
        """

    @abc.abstractmethod
    def begin(self, peer):
        """Count a request that is sent to a router.

        Parameters
        ----------
        peer : ProxyPeer

        Returns
        -------
        object with ``is_read``, ``prompt_was_read()`` and ``end()``, as ``Work``
        """

    @abc.abstractmethod
    def forward(self, request, options, terms, listener):
        """Send a request to the router ``options.endpoint``.

        Parameters
        ----------
        request : CallerRequest
        options : ForwardOptions
        terms : ProxyTerms
        listener : ForwardListener

        Returns
        -------
        object with ``cancel()``, ``is_sent`` and ``producer``
        """

    @abc.abstractmethod
    def probe(self, peer, timeout_s):
        """Return a Deferred of whether a router answers within `timeout_s`."""

    @abc.abstractmethod
    def note_failed(self, peer):
        """Leave out a router for a while that could not be reached or broke off."""


class NoPeers(PeerProxy):
    """There is no other router."""

    def choose(self, service, excluded):
        """Return None."""
        return None

    def begin(self, peer):
        """Raise, since there is no router to choose."""
        raise AssertionError("no peer was chosen")

    def forward(self, request, options, terms, listener):
        """Raise, since there is no router to choose."""
        raise AssertionError("no peer was chosen")

    def probe(self, peer, timeout_s):
        """Raise, since there is no router to choose."""
        raise AssertionError("no peer was chosen")

    def note_failed(self, peer):
        """Do nothing."""
