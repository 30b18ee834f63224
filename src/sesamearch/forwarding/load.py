"""Load in flight at each endpoint, from this router and as reported by others."""

import msgspec

__all__ = ["EndpointLoad", "LoadTracker", "Work"]

PEER_TIMEOUT_S = 3.5


class EndpointLoad(msgspec.Struct, array_like=True):
    """Load in flight at one endpoint.

    Parameters
    ----------
    running : int
        Requests that were sent and have not ended.
    unread_tokens : int
        Prompt tokens of generations that have no first event yet.
    memory_tokens : int
        Tokens that running generations and backups hold in memory.
    """

    running: int = 0
    unread_tokens: int = 0
    memory_tokens: int = 0

    def add(self, other):
        """Add another load to this one."""
        self.running += other.running
        self.unread_tokens += other.unread_tokens
        self.memory_tokens += other.memory_tokens

    def negated(self):
        """Return the negative of this load."""
        return EndpointLoad(-self.running, -self.unread_tokens, -self.memory_tokens)

    @property
    def is_empty(self):
        """Bool : whether there is no load."""
        return not (self.running or self.unread_tokens or self.memory_tokens)


class Work:
    """Load of one request at one endpoint."""

    __slots__ = (
        "_memory_tokens",
        "_name",
        "_running",
        "_tracker",
        "_unread_tokens",
        "is_read",
    )

    def __init__(self, tracker, name, running, unread_tokens, memory_tokens):
        self._tracker = tracker
        self.is_read = False
        self._name = name
        self._running = running
        self._unread_tokens = unread_tokens
        self._memory_tokens = memory_tokens
        tracker.change(name, running, unread_tokens, memory_tokens)

    def prompt_was_read(self):
        """Record the first event: the prompt is no longer unread."""
        self.is_read = True
        unread, self._unread_tokens = self._unread_tokens, 0
        if unread:
            self._tracker.change(self._name, 0, -unread, 0)

    def end(self):
        """Remove the load of a request that ended; further calls have no effect."""
        running, self._running = self._running, 0
        unread, self._unread_tokens = self._unread_tokens, 0
        memory, self._memory_tokens = self._memory_tokens, 0
        if running or unread or memory:
            self._tracker.change(self._name, -running, -unread, -memory)


class _PeerLoads(msgspec.Struct):
    received_s: float
    loads: dict[str, EndpointLoad]


class LoadTracker:
    """Tracks the load in flight by endpoint name.

    Parameters
    ----------
    clock : twisted.internet.interfaces.IReactorTime

    Attributes
    ----------
    own : dict from str to EndpointLoad
        Load from this router.
    has_unsent_changes : bool
        Whether the load of generations changed since the last report to the other
        routers.
    on_change : callable or None
        Called without arguments at each such change.
    """

    __slots__ = (
        "_clock",
        "_others",
        "_peers",
        "has_unsent_changes",
        "on_change",
        "own",
    )

    def __init__(self, clock):
        self._clock = clock
        self._peers = {}
        self._others = {}
        self.own = {}
        self.has_unsent_changes = False
        self.on_change = None

    def begin(self, name, unread_tokens=0, memory_tokens=0, running=1):
        """Add the load of a request being sent; return its :class:`Work`."""
        return Work(self, name, running, unread_tokens, memory_tokens)

    def change(self, name, running, unread_tokens, memory_tokens):
        """Add to this router's own load at an endpoint."""
        load = self.own.setdefault(name, EndpointLoad())
        load.add(EndpointLoad(running, unread_tokens, memory_tokens))
        if load.is_empty:
            del self.own[name]
        if unread_tokens or memory_tokens:
            self.has_unsent_changes = True
            if self.on_change is not None:
                self.on_change()

    def generations(self):
        """Return this router's load of generations and backups, by endpoint."""
        return {name: load for name, load in self.own.items() if load.memory_tokens}

    def update(self, peer, loads):
        """Replace the load reported by another router.

        Parameters
        ----------
        peer : str
        loads : dict from str to EndpointLoad
        """
        self._drop_peer(peer)
        self._peers[peer] = _PeerLoads(self._clock.seconds(), loads)
        for name, load in loads.items():
            self._others.setdefault(name, EndpointLoad()).add(load)

    def _drop_peer(self, peer):
        """Subtract the load of another router from the sums."""
        known = self._peers.pop(peer, None)
        if known is None:
            return
        for name, load in known.loads.items():
            self._others[name].add(load.negated())
            if self._others[name].is_empty:
                del self._others[name]

    def drop_silent_peers(self):
        """Drop the load of routers that have not reported for ``PEER_TIMEOUT_S``."""
        oldest_s = self._clock.seconds() - PEER_TIMEOUT_S
        silent = [n for n, peer in self._peers.items() if peer.received_s < oldest_s]
        for name in silent:
            self._drop_peer(name)

    def oldest_report_age_ms(self):
        """Return the age of the oldest report in use, in ms."""
        if not self._peers:
            return 0
        oldest_s = min(peer.received_s for peer in self._peers.values())
        return round((self._clock.seconds() - oldest_s) * 1000)

    def total(self, name):
        """Return the total :class:`EndpointLoad` of all routers at an endpoint."""
        total = EndpointLoad()
        for loads in (self.own, self._others):
            load = loads.get(name)
            if load is not None:
                total.add(load)
        return total
