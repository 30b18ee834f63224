"""The known routers, and the choice of relays among them.

Nothing here does I/O or reads a clock. Every router derives the same relays from the
same information, so neither an election nor any other agreement is needed.
"""

import bisect
import hashlib

import msgspec

__all__ = [
    "RELAYS_PER_DATA_CENTRE",
    "RELAY_TIMEOUT_S",
    "AgedRouterInfo",
    "MemberList",
    "RouterCycle",
    "RouterInfo",
]

RELAYS_PER_DATA_CENTRE = 2
# A relay that sends no message for this long is replaced.
RELAY_TIMEOUT_S = 1.3
# A router that no router has heard from for this long is removed. Routers pass on some
# of the fleet at a time, so what they know of each other is older in a larger fleet.
FORGET_TIMEOUT_S = 20.0
FORGET_TIMEOUT_PER_ROUTER_S = 0.1
# The same for a router to count as present, which it is unless it has just ended.
PRESENT_TIMEOUT_S = 3.0


class RouterInfo(msgspec.Struct, frozen=True, array_like=True):
    """Description of a router, from itself or passed on by another one.

    Parameters
    ----------
    name, address, data_centre : str
        The address is that of its peer link.
    link_mbps : int
        Bandwidth of its network link; the routers with the highest bandwidth relay.
    incarnation : int
        Distinguishes processes of the same name; a later start has a higher number
        unless the time of day was set back meanwhile.
    proxy_address : str
        Where it takes requests of other routers; empty if it does not.
    """

    name: str
    address: str
    data_centre: str
    link_mbps: int
    incarnation: int
    proxy_address: str = ""


class AgedRouterInfo(msgspec.Struct, frozen=True, array_like=True):
    """A router with the time since any router last heard from it directly."""

    router: RouterInfo
    age_s: float


class _Entry:
    """State of one known router."""

    __slots__ = ("alive_s", "expected_s", "heard_s", "router")

    def __init__(self, router, alive_s):
        self.router = router
        # When this router or another one last heard from it directly.
        self.alive_s = alive_s
        self.heard_s = None
        # When it was first expected to relay since its last message.
        self.expected_s = None


def _rank(router):
    digest = hashlib.blake2b(router.name.encode(), digest_size=8).digest()
    return -router.link_mbps, digest


def _replaces(router, alive_s, known):
    """Return whether a router is a later process than the known one of its name.

    Incarnations order two processes, but one that started after the time of day was
    set back has a lower number than its silent predecessor.
    """
    if router.incarnation > known.router.incarnation:
        return alive_s >= known.alive_s
    is_other = router.incarnation != known.router.incarnation
    return is_other and alive_s - known.alive_s > RELAY_TIMEOUT_S


class MemberList:
    """The known routers and the relays among them.

    Parameters
    ----------
    own : RouterInfo
        Description of this router.
    """

    __slots__ = ("_entries", "_ranked", "own")

    def __init__(self, own):
        self.own = own
        self._entries = {}
        # The routers of each data centre in the order in which they relay. It is kept
        # sorted, because the relays are looked up for each message.
        self._ranked = {own.data_centre: [own]}

    def _set(self, entry):
        router = entry.router
        self._remove(router.name)
        self._entries[router.name] = entry
        ranked = self._ranked.setdefault(router.data_centre, [])
        bisect.insort(ranked, router, key=_rank)

    def _remove(self, name):
        entry = self._entries.pop(name, None)
        if entry is None:
            return
        ranked = self._ranked[entry.router.data_centre]
        ranked.remove(entry.router)
        if not ranked:
            del self._ranked[entry.router.data_centre]

    def merge(self, router, now_s, age_s=0.0):
        """Merge information about a router that was last heard from `age_s` ago."""
        if router.name == self.own.name or age_s > self._forget_timeout_s:
            return
        known = self._entries.get(router.name)
        alive_s = now_s - age_s
        if known is None or _replaces(router, alive_s, known):
            self._set(_Entry(router, alive_s))
        elif known.router.incarnation == router.incarnation:
            known.alive_s = max(known.alive_s, alive_s)

    def record_message(self, router, now_s):
        """Record a message from a router; return whether it is the first one."""
        self.merge(router, now_s)
        entry = self._entries.get(router.name)
        if entry is None or entry.router.incarnation != router.incarnation:
            return False
        is_first = entry.heard_s is None
        entry.heard_s = entry.alive_s = now_s
        entry.expected_s = None
        return is_first

    @property
    def _forget_timeout_s(self):
        return FORGET_TIMEOUT_S + FORGET_TIMEOUT_PER_ROUTER_S * self.size

    def remove_expired(self, now_s):
        """Remove the routers that timed out, and return their names."""
        expired = [
            name
            for name, entry in self._entries.items()
            if now_s - entry.alive_s > self._forget_timeout_s
        ]
        for name in expired:
            self._remove(name)
        return expired

    def find(self, name):
        """Return another router by its name, or None."""
        entry = self._entries.get(name)
        return entry.router if entry is not None else None

    @property
    def names(self):
        """Set of str : names of all known routers except this one."""
        return self._entries.keys()

    def present_routers(self, now_s):
        """Return the other routers that some router has heard from lately."""
        timeout_s = PRESENT_TIMEOUT_S + FORGET_TIMEOUT_PER_ROUTER_S * self.size
        oldest_s = now_s - timeout_s
        entries = self._entries.values()
        return [entry.router for entry in entries if entry.alive_s >= oldest_s]

    @property
    def routers(self):
        """List of RouterInfo : all known routers except this one."""
        return [entry.router for entry in self._entries.values()]

    def aged_routers(self, now_s):
        """Return the other routers as a list of :class:`AgedRouterInfo`."""
        return [
            AgedRouterInfo(entry.router, now_s - entry.alive_s)
            for entry in self._entries.values()
        ]

    def aged_router(self, name, now_s):
        """Return another router as an :class:`AgedRouterInfo`, or None."""
        entry = self._entries.get(name)
        if entry is None:
            return None
        return AgedRouterInfo(entry.router, now_s - entry.alive_s)

    @property
    def size(self):
        """Int : number of known routers, this one included."""
        return len(self._entries) + 1

    def in_data_centre(self, data_centre):
        """Return the other routers of one data centre."""
        ranked = self._ranked.get(data_centre, ())
        return [router for router in ranked if router is not self.own]

    @property
    def data_centres(self):
        """Set of str : data centres with known routers, this one's included."""
        return set(self._ranked)

    def is_live(self, name, now_s):
        """Return whether a router sent a message within ``RELAY_TIMEOUT_S``."""
        entry = self._entries.get(name)
        return (
            entry is not None
            and entry.heard_s is not None
            and now_s - entry.heard_s <= RELAY_TIMEOUT_S
        )

    def _is_down(self, entry, now_s):
        """Return whether a router was expected to relay and timed out."""
        if entry.heard_s is not None and now_s - entry.heard_s <= RELAY_TIMEOUT_S:
            return False
        if entry.expected_s is None:
            entry.expected_s = now_s
        return now_s - entry.expected_s > RELAY_TIMEOUT_S

    def relays(self, data_centre, now_s):
        """Return the routers that relay for a data centre.

        These are the routers with the highest link bandwidth that have not timed out;
        this router may be one of them.
        """
        chosen = []
        for router in self._ranked.get(data_centre, ()):
            if len(chosen) == RELAYS_PER_DATA_CENTRE:
                break
            if router is self.own or not self._is_down(
                self._entries[router.name], now_s
            ):
                chosen.append(router)
        return chosen

    def other_relays(self, data_centre, now_s):
        """Return the routers that relay for a data centre, without this one."""
        return [
            each for each in self.relays(data_centre, now_s) if each is not self.own
        ]

    def remote_relays(self, now_s):
        """Return the routers that relay for the other data centres."""
        return [
            router
            for data_centre in sorted(self._ranked.keys() - {self.own.data_centre})
            for router in self.other_relays(data_centre, now_s)
        ]

    def direct_peers(self, now_s):
        """Return the routers that this one sends its messages to.

        A relay sends to its data centre and to the other relays, any other router to
        the relays of its data centre only.
        """
        own = self.own.data_centre
        if self.is_relay(now_s):
            return self.in_data_centre(own) + self.remote_relays(now_s)
        return self.other_relays(own, now_s)

    def is_relay(self, now_s):
        """Return whether this router relays for its data centre."""
        return self.own in self.relays(self.own.data_centre, now_s)

    def is_before_own(self, name):
        """Return whether a router of this data centre relays rather than this one."""
        entry = self._entries.get(name)
        if entry is None or entry.router.data_centre != self.own.data_centre:
            return False
        return _rank(entry.router) < _rank(self.own)

    def place_after_relays(self, now_s):
        """Return how many routers are before this one in line to replace the relays."""
        relays = self.relays(self.own.data_centre, now_s)
        ranked = self._ranked[self.own.data_centre]
        before = ranked[: ranked.index(self.own)]
        return sum(router not in relays for router in before)

    def has_live_relay(self, now_s):
        """Return whether another relay of this data centre is live."""
        return any(
            self.is_live(router.name, now_s)
            for router in self.relays(self.own.data_centre, now_s)
        )


class RouterCycle:
    """Passes over the known routers in turn, to tell others of some at a time.

    Each pass has another order, so that two relays tell of different routers.

    Parameters
    ----------
    member_list : MemberList
    rng : random.Random
    data_centre : str or None
        Only routers of this data centre; by default all.
    """

    __slots__ = ("_data_centre", "_member_list", "_names", "_random")

    def __init__(self, member_list, rng, data_centre=None):
        self._member_list = member_list
        self._random = rng
        self._data_centre = data_centre
        self._names = []

    def take(self, count, now_s):
        """Return the next `count` routers, or fewer at the end of a pass.

        Returns
        -------
        list of AgedRouterInfo
        """
        if not self._names:
            self._names = self._all_names()
            self._random.shuffle(self._names)
        taken, self._names = self._names[:count], self._names[count:]
        found = [self._member_list.aged_router(name, now_s) for name in taken]
        return [each for each in found if each is not None]

    def _all_names(self):
        if self._data_centre is None:
            return sorted(self._member_list.names)
        routers = self._member_list.in_data_centre(self._data_centre)
        return [router.name for router in routers]
