"""Choice of the router by way of which a request is sent."""

from sesamearch.forwarding.peer_proxy import ProxyPeer

__all__ = ["PeerChooser", "PeerWork"]

REFRESH_INTERVAL_S = 0.25
# A router that could not be reached or broke off is left out for so long.
AVOID_S = 1.0
# Routers compared for one choice.
SAMPLE_SIZE = 2


class PeerWork:
    """One request at a router, which counts there until its end."""

    __slots__ = ("_chooser", "_name", "is_read")

    def __init__(self, chooser, name):
        self._chooser = chooser
        self._name = name
        self.is_read = False
        chooser.note_sent(name)

    def prompt_was_read(self):
        """Record the first event."""
        self.is_read = True

    def end(self):
        """Count the end; further calls have no effect."""
        name, self._name = self._name, ""
        if name:
            self._chooser.note_ended(name)


class PeerChooser:
    """Chooses among the routers that may reach a service, the less busy one of two.

    Routers of the own data centre go first, as all but a few of them are as near.

    Parameters
    ----------
    clock : twisted.internet.interfaces.IReactorTime
    members : callable
        Returns the :class:`MemberList`, None before this router has joined its peers.
    is_cut : callable
        Called with the name of a router and of a service; returns whether the router
        said that it does not reach the service.
    rng : random.Random
    """

    __slots__ = (
        "_avoided_s",
        "_clock",
        "_is_cut",
        "_load",
        "_members",
        "_present",
        "_random",
        "_refresh_s",
        "_stated_load",
    )

    def __init__(self, clock, members, is_cut, rng):
        self._clock = clock
        self._members = members
        self._is_cut = is_cut
        self._random = rng
        self._present = []
        self._refresh_s = float("-inf")
        self._avoided_s = {}
        self._load = {}
        self._stated_load = {}

    def _routers(self):
        """Return the routers that were heard of lately, those nearby first."""
        now_s = self._clock.seconds()
        if now_s >= self._refresh_s:
            self._refresh_s = now_s + REFRESH_INTERVAL_S
            members = self._members()
            self._present = [] if members is None else members.present_routers(now_s)
        return self._present

    def candidates(self, service, excluded=frozenset()):
        """Return the routers that may reach a service, as a list of RouterInfo."""
        now_s = self._clock.seconds()
        return [
            router
            for router in self._routers()
            if router.proxy_address
            and router.name not in excluded
            and self._avoided_s.get(router.name, now_s) <= now_s
            and not self._is_cut(router.name, service)
        ]

    def choose(self, service, excluded):
        """Choose a router; see ``PeerProxy``."""
        found = self.candidates(service, excluded)
        if not found:
            return None
        own = self._members().own.data_centre
        near = [router for router in found if router.data_centre == own]
        pool = near if len(near) >= SAMPLE_SIZE else found
        sample = self._random.sample(pool, min(SAMPLE_SIZE, len(pool)))
        router = min(sample, key=lambda each: self._load_of(each.name))
        return ProxyPeer(
            router.name, router.proxy_address, router.data_centre, service, ""
        )

    def _load_of(self, name):
        return self._load.get(name, 0) + self._stated_load.get(name, 0)

    def note_sent(self, name):
        """Count a request that is sent to a router."""
        self._load[name] = self._load.get(name, 0) + 1

    def note_ended(self, name):
        """Count the end of a request at a router."""
        self._load[name] -= 1
        if not self._load[name]:
            del self._load[name]

    def note_load(self, name, requests):
        """Record how many requests a router has in flight, as it states itself."""
        self._stated_load[name] = requests

    def note_failed(self, name):
        """Leave out a router for a while."""
        self._avoided_s[name] = self._clock.seconds() + AVOID_S
        self._stated_load.pop(name, None)
