"""Work in flight at each endpoint: this router's own, and what the others tell."""

import msgspec

__all__ = ["EndpointLoad", "LoadTracker", "Work"]

PEER_TIMEOUT_S = 3.5


class EndpointLoad(msgspec.Struct, array_like=True):
    """Work at one endpoint.

    Parameters
    ----------
    running : int
        Requests sent and not ended.
    unread_tokens : int
        Prompt tokens of generations without a first event.
    memory_tokens : int
        Tokens that running generations and backups keep.
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
        """Return the load that takes this one away when it is added."""
        return EndpointLoad(-self.running, -self.unread_tokens, -self.memory_tokens)

    @property
    def is_empty(self):
        """Bool : whether there is no work."""
        return not (self.running or self.unread_tokens or self.memory_tokens)


class Work:
    """One request at one endpoint, as counted."""

    __slots__ = (
        "_book",
        "_memory_tokens",
        "_name",
        "_running",
        "_unread_tokens",
        "is_read",
    )

    def __init__(self, book, name, running, unread_tokens, memory_tokens):
        self._book = book
        self.is_read = False
        self._name = name
        self._running = running
        self._unread_tokens = unread_tokens
        self._memory_tokens = memory_tokens
        book.change(name, running, unread_tokens, memory_tokens)

    def prompt_was_read(self):
        """Note that the first event came."""
        self.is_read = True
        unread, self._unread_tokens = self._unread_tokens, 0
        if unread:
            self._book.change(self._name, 0, -unread, 0)

    def end(self):
        """Note that the request is no longer there."""
        running, self._running = self._running, 0
        unread, self._unread_tokens = self._unread_tokens, 0
        memory, self._memory_tokens = self._memory_tokens, 0
        if running or unread or memory:
            self._book.change(self._name, -running, -unread, -memory)


class _PeerLoads(msgspec.Struct):
    received_s: float
    loads: dict[str, EndpointLoad]


class LoadTracker:
    """Counts work by the name of its endpoint.

    Parameters
    ----------
    clock : twisted.internet.interfaces.IReactorTime

    Attributes
    ----------
    own : dict from str to EndpointLoad
        Work of this router.
    has_unsent_changes : bool
        Whether generations changed since the others were last told.
    """

    __slots__ = ("_clock", "_others", "_peers", "has_unsent_changes", "own")

    def __init__(self, clock):
        self._clock = clock
        self._peers = {}
        self._others = {}
        self.own = {}
        self.has_unsent_changes = False

    def begin(self, name, unread_tokens=0, memory_tokens=0, running=1):
        """Count a request that is sent; return its :class:`Work`."""
        return Work(self, name, running, unread_tokens, memory_tokens)

    def change(self, name, running, unread_tokens, memory_tokens):
        """Add to this router's own work at an endpoint."""
        load = self.own.setdefault(name, EndpointLoad())
        load.add(EndpointLoad(running, unread_tokens, memory_tokens))
        if load.is_empty:
            del self.own[name]
        if unread_tokens or memory_tokens:
            self.has_unsent_changes = True

    def generations(self):
        """Return this router's work that the others should know, by endpoint."""
        return {name: load for name, load in self.own.items() if load.memory_tokens}

    def update(self, peer, loads):
        """Take the work of another router.

        Parameters
        ----------
        peer : str
        loads : dict from str to EndpointLoad
        """
        self._forget(peer)
        self._peers[peer] = _PeerLoads(self._clock.seconds(), loads)
        for name, load in loads.items():
            self._others.setdefault(name, EndpointLoad()).add(load)

    def _forget(self, peer):
        """Take a router's work out of the sums."""
        known = self._peers.pop(peer, None)
        if known is None:
            return
        for name, load in known.loads.items():
            self._others[name].add(load.negated())
            if self._others[name].is_empty:
                del self._others[name]

    def drop_silent_peers(self):
        """Drop the work of routers that were not heard for a while."""
        oldest_s = self._clock.seconds() - PEER_TIMEOUT_S
        silent = [n for n, peer in self._peers.items() if peer.received_s < oldest_s]
        for name in silent:
            self._forget(name)

    def oldest_report_age_ms(self):
        """Return the age of the oldest news in use, in ms."""
        if not self._peers:
            return 0
        oldest_s = min(peer.received_s for peer in self._peers.values())
        return round((self._clock.seconds() - oldest_s) * 1000)

    def total(self, name):
        """Return the :class:`EndpointLoad` of all routers at an endpoint."""
        total = EndpointLoad()
        for loads in (self.own, self._others):
            load = loads.get(name)
            if load is not None:
                total.add(load)
        return total
