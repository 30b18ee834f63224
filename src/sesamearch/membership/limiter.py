"""Choice of the limiters of an endpoint: the routers that grant its permits.

Each router derives the order of limiters from what it knows of the others. The
first one grants permits up to the limit. The second one stands in while the first does
not answer, with a small part of the limit, since the first may still be at work.
"""

import hashlib

__all__ = ["LIMITERS_PER_ENDPOINT", "LimiterOrder"]

# The first limiter of an endpoint, and the one that stands in.
LIMITERS_PER_ENDPOINT = 2
# Parts of the limit that they may grant.
SHARE_RATIOS = (1.0, 0.25)
# A router that has just started does not know the others yet. It grants this part
# until it has heard from them, or for so long.
NEW_SHARE_RATIO = 0.1
SETTLE_S = 3.0
# The order is derived anew after this time.
REFRESH_INTERVAL_S = 0.5
MAX_KEPT_ORDERS = 4096


class LimiterOrder:
    """Orders the routers that limit an endpoint.

    Those in its data centre go first: they reach it if any router does, so a network
    partition between data centres leaves one limiter where the endpoint is.

    Parameters
    ----------
    clock : twisted.internet.interfaces.IReactorTime
    """

    __slots__ = (
        "_clock",
        "_derived_s",
        "_joined_s",
        "_member_list",
        "_orders",
        "_present",
    )

    def __init__(self, clock):
        self._clock = clock
        self._member_list = None
        self._joined_s = 0.0
        self._derived_s = 0.0
        self._orders = {}
        # Routers that are present, this one included, by data centre.
        self._present = {}

    def join(self, member_list):
        """Choose among the routers of a :class:`MemberList` from now on."""
        self._member_list = member_list
        self._joined_s = self._clock.seconds()

    @property
    def own(self):
        """RouterInfo or None : this router, once it has joined the others."""
        return self._member_list.own if self._member_list is not None else None

    def limiters(self, name, data_centre):
        """Return the limiters of an endpoint, the first one first.

        Parameters
        ----------
        name, data_centre : str
            Name and data centre of the endpoint.

        Returns
        -------
        list of RouterInfo
            Empty until this router has joined the others.
        """
        if self._member_list is None:
            return []
        now_s = self._clock.seconds()
        if not self._present or now_s - self._derived_s > REFRESH_INTERVAL_S:
            self._refresh(now_s)
        key = name, data_centre
        if key not in self._orders:
            if len(self._orders) >= MAX_KEPT_ORDERS:
                self._orders = {}
            self._orders[key] = self._derive(name, data_centre)
        return self._orders[key]

    def _refresh(self, now_s):
        self._orders = {}
        self._derived_s = now_s
        self._present = {}
        for router in (self.own, *self._member_list.present_routers(now_s)):
            self._present.setdefault(router.data_centre, []).append(router)

    def _derive(self, name, data_centre):
        local = self._present.get(data_centre, [])
        if len(local) >= LIMITERS_PER_ENDPOINT:
            return _rank(name, local)
        remote = [
            router
            for other, routers in self._present.items()
            if other != data_centre
            for router in routers
        ]
        return (_rank(name, local) + _rank(name, remote))[:LIMITERS_PER_ENDPOINT]

    def share_ratio(self, name, data_centre):
        """Return which part of an endpoint's limit this router may grant.

        Returns
        -------
        float
            Zero if this router does not limit the endpoint.
        """
        if self._member_list is None:
            return NEW_SHARE_RATIO
        now_s = self._clock.seconds()
        known = self._member_list.size
        if not self._member_list.present_routers(now_s):
            if known > 1:
                # The others may be at work, out of reach of this one.
                return 1.0 / known
            is_new = now_s - self._joined_s < SETTLE_S
            return NEW_SHARE_RATIO if is_new else 1.0
        order = self.limiters(name, data_centre)
        return SHARE_RATIOS[order.index(self.own)] if self.own in order else 0.0


def _rank(name, routers):
    """Return the limiters among some routers, by rendezvous hashing."""

    def weight(router):
        text = f"{name}/{router.name}".encode()
        return hashlib.blake2b(text, digest_size=8).digest()

    return sorted(routers, key=weight, reverse=True)[:LIMITERS_PER_ENDPOINT]
