"""The link among the routers of a fleet: heartbeats, relays and broadcasts.

Two routers of each data centre relay. The other routers exchange messages with their
relays only, so that their message rate does not grow with the fleet. A router whose
knowledge of the store is too old watches the store itself and passes on what it learns.
"""

import random
import time

import msgspec
from twisted.internet.task import LoopingCall

from sesamearch.base.decode import decode_foreign
from sesamearch.base.guard import Guard
from sesamearch.base.log import logger
from sesamearch.base.record import MemberChanged
from sesamearch.configuration.blackboard import Member
from sesamearch.membership.broadcasts import Broadcasts
from sesamearch.membership.fleet_message import (
    FLEET_SCHEMA_VERSION,
    Broadcast,
    BroadcastBatch,
    EndpointsDelta,
    FleetHeartbeat,
    FleetMessage,
)
from sesamearch.membership.member_list import MemberList, RouterCycle, RouterInfo
from sesamearch.membership.sockets import PeerSockets
from sesamearch.membership.state_exchange import StateExchange
from sesamearch.membership.store_knowledge import (
    MAX_KNOWLEDGE_AGE_S,
    StoreKnowledge,
    max_age_s,
)

__all__ = ["FleetLink"]

HEARTBEAT_INTERVAL_S = 0.4
ROUTERS_PER_HEARTBEAT = 8
# One heartbeat in this many also goes to a random router, so that
# information about routers reaches the whole fleet.
HEARTBEATS_PER_RANDOM_TARGET = 5
ROUTERS_IN_FIRST_REPLY = 200
MEMBER_TIMEOUT_S = 3.0
# A relay that stands by notices the silence of the other one, reads the store and tells
# the routers within this time.
STANDBY_MIN_DRAIN_S = 3.0

_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(FleetMessage).decode


class FleetLink:
    """Exchanges heartbeats and updates with the other routers.

    Parameters
    ----------
    reactor : twisted.internet.interfaces.IReactorCore
    settings : PlatformRouterSettings
    keys : PeerKeys
    board : Blackboard
    listing : EndpointListing
    decode_table : callable
        Decodes a configuration into a ``Result`` of a routing table.
    sockets_type : type, optional
        Replaces :class:`PeerSockets` in tests.

    Attributes
    ----------
    keys : PeerKeys
    member_list : MemberList
    knowledge : StoreKnowledge
    follows_store : callable
        Returns whether this router watches the store and reaches it.
    on_keys_changed : callable
        Called with the new keys.
    seeds : list of str
        Addresses that also get heartbeats while this router has fewer than two others
        to send them to.
    """

    def __init__(
        self,
        reactor,
        settings,
        keys,
        board,
        listing,
        decode_table,
        sockets_type=PeerSockets,
    ):
        self._reactor = reactor
        self._sockets_type = sockets_type
        self.keys = keys
        self._board = board
        self._listing = listing
        self.seeds = settings.peer.seeds
        self.follows_store = lambda: False
        self.on_keys_changed = lambda keys: None
        self._started_listeners = []
        self._may_stand_by = settings.bounds.drain_s >= STANDBY_MIN_DRAIN_S
        own = RouterInfo(
            settings.name,
            settings.peer.listen,
            settings.data_centre,
            settings.link_mbps,
            time.time_ns(),
            settings.proxy_address,
        )
        self.member_list = MemberList(own)
        self._receive = Guard(reactor, self._on_message)
        self._sockets = sockets_type(reactor, own.address, keys, self._receive)
        self._broadcasts = Broadcasts(reactor, self.member_list, self._send_to_each)
        # Seeded by name, so that routers sample differently and tests are repeatable.
        self._random = random.Random(own.name)
        self._all_routers = RouterCycle(self.member_list, self._random)
        self._local_routers = RouterCycle(
            self.member_list, self._random, own.data_centre
        )
        self._heartbeat_count = 0
        self._state_exchange = StateExchange(
            reactor, own.address, board, listing, decode_table, self._send
        )
        self.knowledge = StoreKnowledge(reactor, self._state_exchange.lacks_state)
        self._heartbeat_loop = LoopingCall(Guard(reactor, self._send_heartbeat))
        self._heartbeat_loop.clock = reactor
        self._message_handlers = {
            FleetHeartbeat: self._on_heartbeat,
            BroadcastBatch: self._broadcasts.receive_batch,
            Broadcast: self._broadcasts.receive,
            **self._state_exchange.message_handlers,
        }

    def start(self):
        """Listen and start to send heartbeats."""
        self._sockets.start()
        self._board.configuration.listen(lambda _: self.announce_state())
        self._board.drain.listen(lambda _: self._send_heartbeat())
        self._listing.on_change = self._send_endpoints_delta
        self._heartbeat_loop.start(HEARTBEAT_INTERVAL_S)

    def stop(self):
        """Stop sending and close the sockets."""
        if self._heartbeat_loop.running:
            self._heartbeat_loop.stop()
        self._broadcasts.stop()
        self._sockets.stop()

    def change_keys(self, keys):
        """Replace the keys, and with them all connections."""
        logger.warning("peer keys changed")
        self.keys = keys
        self._sockets.stop()
        self._sockets = self._sockets_type(
            self._reactor, self.member_list.own.address, keys, self._receive
        )
        self._sockets.start()
        self.on_keys_changed(keys)

    @property
    def has_live_members(self):
        """Bool : whether this router hears from another one."""
        now_s = self._reactor.seconds()
        return any(
            self.member_list.is_live(name, now_s) for name in self.member_list.names
        )

    def handle(self, update_type, handler):
        """Call `handler` with each broadcast update of a type."""
        self._broadcasts.handle(update_type, handler)

    def handle_message(self, message_type, handler):
        """Call `handler` with each message of a type that is sent to this router."""
        self._message_handlers[message_type] = handler

    def listen_started(self, listener):
        """Call `listener` with the address of each router that has just started."""
        self._started_listeners.append(listener)

    def send_to(self, address, message):
        """Send a message to one router.

        Returns
        -------
        bool
            False if it was not sent, because the connection is not established yet.
        """
        return self._send(address, message)

    def send_to_all(self, update):
        """Broadcast an update to every router."""
        self._broadcasts.send_to_all(update)

    @property
    def is_relay(self):
        """Bool : whether this router relays for its data centre."""
        return self.member_list.is_relay(self._reactor.seconds())

    @property
    def must_watch_store(self):
        """Bool : whether this router must watch the store itself.

        The first relay of a data centre does. The other one does too, unless it may
        stand by and the first one follows the store. Any other router does if it hears
        from no relay, or if what it knows of the store is too old, until a router that
        is before it in line follows the store.
        """
        now_s = self._reactor.seconds()
        own = self.member_list.own
        relays = self.member_list.relays(own.data_centre, now_s)
        if own in relays:
            return not self._may_stand_by or self._must_relay_watch
        if not self.member_list.has_live_relay(now_s):
            return True
        if self.has_follower_before:
            return False
        return self.follows_store() or self.knowledge_expires_s <= now_s

    @property
    def has_follower_before(self):
        """Bool : whether a router before this one in line follows the store for it."""
        now_s = self._reactor.seconds()
        own = self.member_list.own
        relays = self.member_list.relays(own.data_centre, now_s)
        if own in relays:
            return relays[0] is not own and self._is_following(relays[0], now_s)
        return any(map(self.member_list.is_before_own, self.knowledge.followers))

    @property
    def _must_relay_watch(self):
        """Bool : whether a relay watches the store, of which the other may stand by."""
        if not self.has_follower_before:
            return True
        return self.knowledge.age_s > MAX_KNOWLEDGE_AGE_S

    @property
    def knowledge_expires_s(self):
        """Float : until when this router relies on its peers if it learns no more."""
        place = self.member_list.place_after_relays(self._reactor.seconds())
        return self.knowledge.as_of_s + max_age_s(place)

    @property
    def _passes_on_store(self):
        """Bool : whether this router passes on what it learns from the store.

        Relays do, and the routers that watch the store in their place.
        """
        return self.is_relay or self.follows_store()

    def _is_following(self, router, now_s):
        member = self._board.members.value.get(router.name)
        is_live = self.member_list.is_live(router.name, now_s)
        if member is None or not is_live:
            return False
        return member.follows_store and not member.draining

    # Sending and targets.

    def _send(self, address, message):
        self._sockets.connect(address)
        return self._sockets.send(address, _encode(message))

    def _send_to_each(self, routers, message):
        data = _encode(message)
        for router in routers:
            self._sockets.connect(router.address)
            self._sockets.send(router.address, data)

    # Heartbeats.

    def _make_heartbeat(self, routers):
        revision, digest = self._listing.state()
        return FleetHeartbeat(
            FLEET_SCHEMA_VERSION,
            self.member_list.own,
            self._board.drain.value.draining,
            self._board.configuration.value.revision,
            revision.number,
            digest,
            routers,
            self.follows_store(),
            revision.era,
            self.knowledge.stated_age_s,
        )

    def _sample_routers(self, count):
        routers = self.member_list.aged_routers(self._reactor.seconds())
        return self._random.sample(routers, min(count, len(routers)))

    def _send_heartbeat(self):
        self._sockets.poll()
        self._drop_silent_members()
        now_s = self._reactor.seconds()
        remote = self.member_list.remote_relays(now_s) if self.is_relay else []
        near = [r for r in self._heartbeat_targets(now_s) if r not in remote]
        self._heartbeat_count += 1
        if self._heartbeat_count % HEARTBEATS_PER_RANDOM_TARGET == 0:
            near += [each.router for each in self._sample_routers(1)]
        heartbeat = self._make_heartbeat(
            self._all_routers.take(ROUTERS_PER_HEARTBEAT, now_s)
        )
        self._send_to_each(near, heartbeat)
        if remote:
            # A relay hears from its own data centre at first hand.
            routers = self._local_routers.take(ROUTERS_PER_HEARTBEAT, now_s)
            self._send_to_each(remote, self._make_heartbeat(routers))
        if len(near) + len(remote) < 2:
            self._send_to_seeds(heartbeat)

    def _heartbeat_targets(self, now_s):
        if not self.is_relay and self.follows_store():
            return self.member_list.in_data_centre(self.member_list.own.data_centre)
        return self.member_list.direct_peers(now_s)

    def _send_to_seeds(self, heartbeat):
        for address in self.seeds:
            if address != self.member_list.own.address:
                self._send(address, heartbeat)

    def announce_state(self):
        """Send a heartbeat at once if this router passes on what the store holds."""
        if self._passes_on_store:
            self._send_heartbeat()

    def _drop_silent_members(self):
        now_s = self._reactor.seconds()
        for name in self.member_list.remove_expired(now_s):
            logger.info(MemberChanged(name, "forgotten"))
            self._broadcasts.forget(name)
            self.knowledge.forget(name)
        self._close_unused()
        members = self._board.members.value
        live = {
            name: member
            for name, member in members.items()
            if now_s - member.heard_s < MEMBER_TIMEOUT_S
        }
        if len(live) < len(members):
            for name in members.keys() - live.keys():
                logger.info(MemberChanged(name, "silent"))
            self._board.members.write(live)

    def _close_unused(self):
        known = {router.address for router in self.member_list.routers} | set(
            self.seeds
        )
        for address in self._sockets.addresses:
            if address not in known:
                self._sockets.disconnect(address)

    def _on_heartbeat(self, heartbeat):
        if heartbeat.schema_version != FLEET_SCHEMA_VERSION:
            return
        now_s = self._reactor.seconds()
        sender = heartbeat.sender
        is_new = self.member_list.record_message(sender, now_s)
        for each in heartbeat.routers:
            self.member_list.merge(each.router, now_s, each.age_s)
        if self._is_direct_peer(sender, now_s):
            self._update_member(heartbeat, now_s)
        if is_new and len(heartbeat.routers) < ROUTERS_PER_HEARTBEAT:
            # The sender has just started: reply with the known routers at once.
            self._send(
                sender.address,
                self._make_heartbeat(self._sample_routers(ROUTERS_IN_FIRST_REPLY)),
            )
            for listener in self._started_listeners:
                listener(sender.address)
        self.knowledge.note_heartbeat(heartbeat)
        self._state_exchange.catch_up(heartbeat)

    def _is_direct_peer(self, router, now_s):
        """Return whether a router sends all of its heartbeats to this one."""
        if router in self.member_list.relays(router.data_centre, now_s):
            own = self.member_list.own.data_centre
            return router.data_centre == own or self.member_list.is_relay(now_s)
        is_own = router.data_centre == self.member_list.own.data_centre
        return is_own and self.member_list.is_relay(now_s)

    def _update_member(self, heartbeat, now_s):
        sender = heartbeat.sender
        if sender.name not in self._board.members.value:
            logger.info(MemberChanged(sender.name, "joined"))
        member = Member(
            sender.name,
            sender.data_centre,
            sender.address,
            sender.incarnation,
            heartbeat.table_revision,
            heartbeat.is_draining,
            now_s,
            heartbeat.follows_store,
        )
        members = self._board.members.value
        self._board.members.write({**members, sender.name: member})

    # Messages.

    def _send_endpoints_delta(self, base_digest, revision, changed, removed):
        """Send endpoint changes to the routers of the data centre."""
        if self._passes_on_store:
            delta = EndpointsDelta(
                base_digest, revision.number, changed, removed, revision.era
            )
            own = self.member_list.own.data_centre
            self._send_to_each(self.member_list.in_data_centre(own), delta)

    def _on_message(self, data):
        decoded = decode_foreign(_decode, data)
        if decoded.is_err():
            fault = decoded.unwrap_err()
            logger.warning("dropped peer message that cannot be decoded: {}", fault)
            return
        message = decoded.unwrap()
        handler = self._message_handlers.get(type(message))
        if handler is not None:
            handler(message)
