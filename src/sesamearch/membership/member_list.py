"""Which routers there are, and which of them relay for a data centre.

Pure: told what was heard and when, it says who relays. Every router comes to the same
answer from the same hints, so nobody is elected and nothing is agreed on.
"""

import hashlib

import msgspec

__all__ = ["RELAYS_PER_DATA_CENTRE", "AgedRouterInfo", "RouterInfo", "MemberList"]

# Relays of a data centre.
RELAYS_PER_DATA_CENTRE = 2
# A relay that is not heard for so long is passed over.
SILENT_S = 1.3
# A router that nobody heard for so long is dropped.
FORGET_S = 20.0


class RouterInfo(msgspec.Struct, frozen=True, array_like=True):
    """A router, as it or another one tells.

    Parameters
    ----------
    name, address, data_centre : str
        The address is that of its peer link.
    capacity : int
        Of its network link in Mbit/s: relays are the largest.
    incarnation : int
        Differs between two processes of one name; a later start is higher.
    """

    name: str
    address: str
    data_centre: str
    capacity: int
    incarnation: int


class AgedRouterInfo(msgspec.Struct, frozen=True, array_like=True):
    """A hint with the time since the router itself was heard, by anybody."""

    hint: RouterInfo
    age_s: float


class _Entry:
    """What is known of one router."""

    __slots__ = ("alive_s", "expected_s", "heard_s", "hint")

    def __init__(self, hint, alive_s):
        self.hint = hint
        # When it was last known to live, by this router or another.
        self.alive_s = alive_s
        self.heard_s = None
        self.expected_s = None


def _rank(hint):
    digest = hashlib.blake2b(hint.name.encode(), digest_size=8).digest()
    return -hint.capacity, digest


class MemberList:
    """Known routers and the relays among them.

    Parameters
    ----------
    own : Hint
        This router.
    """

    __slots__ = ("_entries", "own")

    def __init__(self, own):
        self.own = own
        self._entries = {}

    def learn(self, hint, now_s, age_s=0.0):
        """Take a hint that is `age_s` old."""
        if hint.name == self.own.name or age_s > FORGET_S:
            return
        known = self._entries.get(hint.name)
        alive_s = now_s - age_s
        if known is None or known.hint.incarnation < hint.incarnation:
            self._entries[hint.name] = _Entry(hint, alive_s)
        elif known.hint.incarnation == hint.incarnation:
            known.alive_s = max(known.alive_s, alive_s)

    def heard(self, hint, now_s):
        """Take a message of a router itself; return whether it is heard first."""
        self.learn(hint, now_s)
        entry = self._entries.get(hint.name)
        if entry is None or entry.hint.incarnation != hint.incarnation:
            return False
        is_first = entry.heard_s is None
        entry.heard_s = entry.alive_s = now_s
        entry.expected_s = None
        return is_first

    def forget_old(self, now_s):
        """Drop routers of which nothing was told for long; return their names."""
        old = [
            name
            for name, entry in self._entries.items()
            if now_s - entry.alive_s > FORGET_S
        ]
        for name in old:
            del self._entries[name]
        return old

    @property
    def hints(self):
        """List of Hint : all known routers but this one."""
        return [entry.hint for entry in self._entries.values()]

    def aged_hints(self, now_s):
        """Return all hints as a list of :class:`AgedRouterInfo`."""
        return [
            AgedRouterInfo(entry.hint, now_s - entry.alive_s)
            for entry in self._entries.values()
        ]

    @property
    def size(self):
        """Int : known routers with this one."""
        return len(self._entries) + 1

    def in_data_centre(self, data_centre):
        """Return the hints of one data centre."""
        return [hint for hint in self.hints if hint.data_centre == data_centre]

    @property
    def data_centres(self):
        """Set of str : where routers are known."""
        found = {entry.hint.data_centre for entry in self._entries.values()}
        return found | {self.own.data_centre}

    def is_heard(self, name, now_s):
        """Return whether a router was heard shortly before."""
        entry = self._entries.get(name)
        return (
            entry is not None
            and entry.heard_s is not None
            and now_s - entry.heard_s <= SILENT_S
        )

    def _is_down(self, entry, now_s):
        """Return whether a router that was expected to relay was not heard."""
        if entry.heard_s is not None and now_s - entry.heard_s <= SILENT_S:
            return False
        if entry.expected_s is None:
            entry.expected_s = now_s
        return now_s - entry.expected_s > SILENT_S

    def relays(self, data_centre, now_s):
        """Return the hints of the routers that relay for a data centre.

        The largest ones that are not known to be silent; this router may be one.
        """
        hints = self.in_data_centre(data_centre)
        if data_centre == self.own.data_centre:
            hints.append(self.own)
        chosen = []
        for hint in sorted(hints, key=_rank):
            if len(chosen) == RELAYS_PER_DATA_CENTRE:
                break
            if hint is self.own or not self._is_down(self._entries[hint.name], now_s):
                chosen.append(hint)
        return chosen

    def is_relay(self, now_s):
        """Return whether this router relays for its data centre."""
        return self.own in self.relays(self.own.data_centre, now_s)

    def hears_relay(self, now_s):
        """Return whether another relay of this data centre is heard."""
        return any(
            self.is_heard(hint.name, now_s)
            for hint in self.relays(self.own.data_centre, now_s)
        )
