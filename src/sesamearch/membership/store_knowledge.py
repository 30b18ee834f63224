"""As of when a router knows the content of the store, and who follows it nearby."""

import msgspec

from sesamearch.base.log import logger
from sesamearch.base.record import StoreKnowledgeChanged
from sesamearch.membership.member_list import RELAY_TIMEOUT_S

__all__ = [
    "MAX_KNOWLEDGE_AGE_S",
    "SUBSTITUTES",
    "UNSTATED_AGE_S",
    "StoreKnowledge",
    "max_age_s",
]

# Knowledge that comes from a relay which reaches the store is never this old: the store
# confirms a watch each 0.7 s, and the relay passes that on each 0.4 s.
MAX_KNOWLEDGE_AGE_S = 1.45
# So many routers of a data centre watch the store as soon as their knowledge is older.
# The others do this much later, if the first ones have not told them more by then.
SUBSTITUTES = 2
SUBSTITUTION_S = 0.25
# Age in heartbeats of routers that know nothing of the store, or do not state it.
UNSTATED_AGE_S = -1.0


def max_age_s(place):
    """Return how old a router's knowledge may be before it watches the store itself.

    Parameters
    ----------
    place : int
        Number of routers that are before it in line to replace the relays.
    """
    return MAX_KNOWLEDGE_AGE_S + (SUBSTITUTION_S if place >= SUBSTITUTES else 0.0)


class _Pending(msgspec.Struct):
    """A newer state that a peer has and this router is still to receive."""

    as_of_s: float
    heartbeat: object


class StoreKnowledge:
    """Tracks as of when this router knows what the store holds.

    A router that watches the store knows that itself. Any other knows what a peer knew
    that it heard from, once it has the same configuration and list of endpoints.

    Parameters
    ----------
    clock : twisted.internet.interfaces.IReactorTime
    lacks_state : callable
        Called with a :class:`FleetHeartbeat`; returns whether its sender has a newer
        configuration or list than this router.

    Attributes
    ----------
    own_as_of_s : callable
        Returns as of when this router knows the store by its own reads and watches,
        negative infinity for never.
    """

    __slots__ = (
        "_as_of_s",
        "_clock",
        "_followers_s",
        "_is_stale",
        "_lacks_state",
        "_pending",
        "own_as_of_s",
    )

    def __init__(self, clock, lacks_state):
        self._clock = clock
        self._lacks_state = lacks_state
        self._as_of_s = float("-inf")
        self._pending = None
        # Time of the last heartbeat of each router that then followed the store.
        self._followers_s = {}
        self._is_stale = True
        self.own_as_of_s = lambda: float("-inf")

    @property
    def as_of_s(self):
        """Float : all that the store acknowledged before this time is known."""
        pending = self._pending
        if pending is not None and not self._lacks_state(pending.heartbeat):
            self._as_of_s = max(self._as_of_s, pending.as_of_s)
            self._pending = None
        self._as_of_s = max(self._as_of_s, self.own_as_of_s())
        return self._as_of_s

    @property
    def age_s(self):
        """Float : how old the knowledge is; infinity if there is none."""
        return self._clock.seconds() - self.as_of_s

    @property
    def stated_age_s(self):
        """Float : age as stated in heartbeats."""
        age_s = self.age_s
        return UNSTATED_AGE_S if age_s == float("inf") else age_s

    def note_heartbeat(self, heartbeat):
        """Learn from a heartbeat how old its sender's knowledge is."""
        age_s, sender = heartbeat.store_age_s, heartbeat.sender
        now_s = self._clock.seconds()
        is_fresh = 0.0 <= age_s <= MAX_KNOWLEDGE_AGE_S
        if heartbeat.follows_store and is_fresh and not heartbeat.is_draining:
            self._followers_s[sender.name] = now_s
        else:
            self._followers_s.pop(sender.name, None)
        if age_s < 0.0:
            return
        as_of_s = now_s - age_s
        if not self._lacks_state(heartbeat):
            self._as_of_s = max(self._as_of_s, as_of_s)
        elif self._pending is None or as_of_s > self._pending.as_of_s:
            self._pending = _Pending(as_of_s, heartbeat)

    @property
    def followers(self):
        """List of str : names of the routers that just said they follow the store."""
        oldest_s = self._clock.seconds() - RELAY_TIMEOUT_S
        return [name for name, at_s in self._followers_s.items() if at_s >= oldest_s]

    def forget(self, name):
        """Discard what is kept of a router that is gone."""
        self._followers_s.pop(name, None)

    def check(self, is_relay, is_watching):
        """Log when the knowledge becomes too old, and when it is fresh again.

        Parameters
        ----------
        is_relay : bool
            Whether this router relays for its data centre.
        is_watching : bool
            Whether it watches the store itself.
        """
        age_s = self.age_s
        is_stale = age_s > MAX_KNOWLEDGE_AGE_S
        if is_stale == self._is_stale:
            return
        self._is_stale = is_stale
        age_ms = None if age_s == float("inf") else round(age_s * 1000)
        state = "stale" if is_stale else "fresh"
        followers = len(self.followers)
        logger.info(
            StoreKnowledgeChanged(state, age_ms, followers, is_relay, is_watching)
        )
