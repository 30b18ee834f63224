"""Broadcasts to all routers of the fleet, forwarded by the relays."""

from sesamearch.membership.broadcast_batcher import BroadcastBatcher
from sesamearch.membership.fleet_message import Broadcast, BroadcastBatch, LoadUpdate
from sesamearch.membership.member_list import RELAY_TIMEOUT_S

__all__ = ["Broadcasts"]

# Sequence numbers kept for each origin, to drop duplicate broadcasts.
DEDUPLICATION_WINDOW = 64


class _SeenSequences:
    """Sequence numbers of the broadcasts received from one origin."""

    __slots__ = ("heard_s", "incarnation", "newest", "numbers")

    def __init__(self, incarnation):
        self.heard_s = 0.0
        self.incarnation = incarnation
        self.newest = -1
        self.numbers = set()

    def add(self, sequence):
        """Record a number; return whether it is new."""
        if sequence <= self.newest - DEDUPLICATION_WINDOW or sequence in self.numbers:
            return False
        self.numbers.add(sequence)
        self.newest = max(self.newest, sequence)
        if len(self.numbers) > 2 * DEDUPLICATION_WINDOW:
            oldest = self.newest - DEDUPLICATION_WINDOW
            self.numbers = {number for number in self.numbers if number > oldest}
        return True


class Broadcasts:
    """Sends updates to all routers, receives theirs and forwards them as a relay.

    Parameters
    ----------
    clock : twisted.internet.interfaces.IReactorTime
    member_list : MemberList
    send : callable
        Called with a list of :class:`RouterInfo` and a message for each of them.
    """

    __slots__ = (
        "_clock",
        "_handlers",
        "_local_batcher",
        "_member_list",
        "_remote_batcher",
        "_seen",
        "_send",
        "_sequence",
    )

    def __init__(self, clock, member_list, send):
        self._clock = clock
        self._member_list = member_list
        self._send = send
        self._handlers = {}
        self._seen = {}
        self._sequence = 0
        self._local_batcher = BroadcastBatcher(clock, self._send_to_local_routers)
        self._remote_batcher = BroadcastBatcher(clock, self._send_to_remote_relays)

    def handle(self, update_type, handler):
        """Call `handler` with each update of a type."""
        self._handlers[update_type] = handler

    def send_to_all(self, update):
        """Broadcast an update to every router."""
        own = self._member_list.own
        self._sequence += 1
        broadcast = Broadcast(own.name, own.incarnation, self._sequence, update)
        now_s = self._clock.seconds()
        self._send(self._member_list.direct_peers(now_s), broadcast)

    def receive(self, broadcast):
        """Apply a broadcast once, and forward it if this router relays."""
        is_own = broadcast.origin == self._member_list.own.name
        if is_own or not self._is_new(broadcast):
            return
        if self._member_list.is_relay(self._clock.seconds()):
            self._forward(broadcast)
        handler = self._handlers.get(type(broadcast.update))
        if handler is not None:
            handler(broadcast.update)

    def receive_batch(self, batch):
        """Apply the broadcasts of a :class:`BroadcastBatch`."""
        for broadcast in batch.broadcasts:
            self.receive(broadcast)

    def _is_new(self, broadcast):
        now_s = self._clock.seconds()
        seen = self._seen.get(broadcast.origin)
        if seen is None or _is_later_process(broadcast, seen, now_s):
            seen = self._seen[broadcast.origin] = _SeenSequences(broadcast.incarnation)
        if seen.incarnation != broadcast.incarnation:
            return False
        seen.heard_s = now_s
        return seen.add(broadcast.sequence)

    def _forward(self, broadcast):
        """Forward a broadcast to the routers that its origin does not send it to.

        Within the data centre, load updates are forwarded by the first live relay only,
        since each replaces the one before. All else is forwarded by both relays, so
        that the loss of one delays nothing.
        """
        now_s = self._clock.seconds()
        own = self._member_list.own
        origin = self._member_list.find(broadcast.origin)
        is_local = origin is not None and origin.data_centre == own.data_centre
        relays = self._member_list.relays(own.data_centre, now_s)
        if is_local and origin in relays:
            return
        if not isinstance(broadcast.update, LoadUpdate) or self._is_first(relays):
            self._local_batcher.add(broadcast)
        if is_local:
            self._remote_batcher.add(broadcast)

    def _is_first(self, relays):
        """Return whether this router is the first of the live relays."""
        first = relays[0]
        now_s = self._clock.seconds()
        is_live = self._member_list.is_live(first.name, now_s)
        return first is self._member_list.own or not is_live

    def _send_to_local_routers(self, broadcasts):
        own = self._member_list.own.data_centre
        relays = self._member_list.relays(own, self._clock.seconds())
        routers = self._member_list.in_data_centre(own)
        others = [router for router in routers if router not in relays]
        self._send(others, BroadcastBatch(broadcasts))

    def _send_to_remote_relays(self, broadcasts):
        relays = self._member_list.remote_relays(self._clock.seconds())
        self._send(relays, BroadcastBatch(broadcasts))

    def forget(self, origin):
        """Discard what is kept of a router that is gone."""
        self._seen.pop(origin, None)

    def stop(self):
        """Drop the broadcasts that wait to be forwarded."""
        self._local_batcher.stop()
        self._remote_batcher.stop()


def _is_later_process(broadcast, seen, now_s):
    """Return whether a broadcast is from a later process of its origin's name.

    Its incarnation may be lower if the time of day was set back between the starts.
    """
    if broadcast.incarnation > seen.incarnation:
        return True
    is_other = broadcast.incarnation != seen.incarnation
    return is_other and now_s - seen.heard_s > RELAY_TIMEOUT_S
