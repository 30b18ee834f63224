"""The link among the routers of a fleet: beats, relays, news for all.

Two routers of each data centre relay. Others send to these only and hear from these
only, so that what a router sends and hears does not grow with the fleet. A router that
hears no relay goes to the store itself.
"""

import random
import time

import msgspec
from twisted.internet.task import LoopingCall

from sesamearch.base.log import logger
from sesamearch.base.record import ConfigurationInForce, MemberChanged
from sesamearch.configuration.blackboard import Member
from sesamearch.membership.bundle import NewsBundle
from sesamearch.membership.fleet_message import (
    FLEET_SCHEMA_VERSION,
    Beat,
    Bundle,
    EndpointsChanges,
    EndpointsNews,
    EndpointsWanted,
    FleetMessage,
    Spread,
    TableNews,
    TableWanted,
)
from sesamearch.membership.roster import Hint, Roster
from sesamearch.membership.sockets import PeerSockets

__all__ = ["FleetLink"]

BEAT_INTERVAL_S = 0.4
HINTS_A_BEAT = 4
# Every so many beats one goes to any router, so that hints spread everywhere.
BEATS_A_STRANGER = 5
HINTS_AT_FIRST = 200
# Relays hear of a change from the store nearly at once: only who stays behind asks.
BEHIND_S = 0.15
# News that were seen, for each router that they came from.
REMEMBERED = 64
MEMBER_TIMEOUT_S = 3.0

_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(FleetMessage).decode


class _Seen:
    """Sequence numbers of one origin's news that were taken."""

    __slots__ = ("incarnation", "newest", "numbers")

    def __init__(self, incarnation):
        self.incarnation = incarnation
        self.newest = -1
        self.numbers = set()

    def add(self, sequence):
        """Return whether a number is new."""
        if sequence <= self.newest - REMEMBERED or sequence in self.numbers:
            return False
        self.numbers.add(sequence)
        self.newest = max(self.newest, sequence)
        if len(self.numbers) > 2 * REMEMBERED:
            oldest = self.newest - REMEMBERED
            self.numbers = {number for number in self.numbers if number > oldest}
        return True


class FleetLink:
    """Exchange beats and news with the other routers.

    Parameters
    ----------
    reactor : twisted.internet.interfaces.IReactorCore
    settings : FrontSettings
    keys : PeerKeys
    board : Blackboard
    listing : EndpointListing
    decode_table : callable
        Makes a ``Result`` of a routing table from what the operators wrote.
    sockets_type : type, optional
        See :class:`PeerSockets`.

    Attributes
    ----------
    roster : Roster
    seeds : list of str
        Addresses that are told of this router while it knows few others.
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
        self._board = board
        self._listing = listing
        self._decode_table = decode_table
        self.seeds = settings.peer.seeds
        own = Hint(
            settings.name,
            settings.peer.listen,
            settings.data_centre,
            settings.link_mbps,
            time.time_ns(),
        )
        self.roster = Roster(own)
        self._sockets = sockets_type(reactor, own.address, keys, self._take)
        self._handlers = {}
        self._seen = {}
        self._sequence = 0
        self._for_members = NewsBundle(reactor, self._send_to_members)
        self._for_relays = NewsBundle(reactor, self._send_to_relays)
        # By name: routers choose differently, and a run can be repeated.
        self._random = random.Random(own.name)
        self._beats = 0
        self._behind_since_s = None
        self._beater = LoopingCall(self._beat)
        self._beater.clock = reactor
        self._takers = {
            Beat: self._take_beat,
            Bundle: self._take_bundle,
            TableWanted: self._take_table_wanted,
            TableNews: self._take_table,
            EndpointsWanted: self._take_list_wanted,
            EndpointsNews: self._take_list,
            EndpointsChanges: self._take_changes,
            Spread: self._take_spread,
        }

    def start(self):
        """Listen, and begin to send beats."""
        self._sockets.start()
        self._board.configuration.listen(lambda _: self._beat_if_relay())
        self._board.drain.listen(lambda _: self._beat())
        self._listing.on_change = self._push_changes
        self._beater.start(BEAT_INTERVAL_S)

    def stop(self):
        """Close the link."""
        if self._beater.running:
            self._beater.stop()
        self._for_members.stop()
        self._for_relays.stop()
        self._sockets.stop()

    def handle(self, news_type, handler):
        """Call `handler` with each piece of news of a type."""
        self._handlers[news_type] = handler

    @property
    def is_relay(self):
        """Bool : whether this router relays for its data centre."""
        return self.roster.is_relay(self._reactor.seconds())

    @property
    def must_follow(self):
        """Bool : whether this router has to follow the store itself."""
        now_s = self._reactor.seconds()
        return self.roster.is_relay(now_s) or not self.roster.hears_relay(now_s)

    # Sending.

    def _send(self, address, message):
        self._sockets.connect(address)
        return self._sockets.send(address, _encode(message))

    def _send_each(self, hints, message):
        data = _encode(message)
        for hint in hints:
            self._sockets.connect(hint.address)
            self._sockets.send(hint.address, data)

    def _other_relays(self, data_centre):
        now_s = self._reactor.seconds()
        relays = self.roster.relays(data_centre, now_s)
        return [hint for hint in relays if hint is not self.roster.own]

    def _remote_relays(self):
        own = self.roster.own.data_centre
        places = self.roster.data_centres - {own}
        return [hint for place in places for hint in self._other_relays(place)]

    def _own_members(self):
        return self.roster.in_data_centre(self.roster.own.data_centre)

    # Beats.

    def _make_beat(self, hints):
        revision, digest = self._listing.state()
        return Beat(
            FLEET_SCHEMA_VERSION,
            self.roster.own,
            self._board.drain.value.draining,
            self._board.configuration.value.revision,
            revision,
            digest,
            hints,
        )

    def _sample(self, count):
        hints = self.roster.aged_hints(self._reactor.seconds())
        return self._random.sample(hints, min(count, len(hints)))

    def _beat(self):
        self._sockets.poll()
        self._forget_silent()
        beat = self._make_beat(self._sample(HINTS_A_BEAT))
        if self.is_relay:
            targets = self._own_members() + self._remote_relays()
        else:
            targets = self._other_relays(self.roster.own.data_centre)
        self._beats += 1
        if self._beats % BEATS_A_STRANGER == 0:
            targets = targets + [each.hint for each in self._sample(1)]
        self._send_each(targets, beat)
        if len(targets) < 2:
            for address in self.seeds:
                if address != self.roster.own.address:
                    self._send(address, beat)

    def _beat_if_relay(self):
        if self.is_relay:
            self._beat()

    def _forget_silent(self):
        now_s = self._reactor.seconds()
        for name in self.roster.forget_old(now_s):
            logger.info(MemberChanged(name, "forgotten"))
        self._close_unused()
        members = self._board.members.value
        heard = {
            name: member
            for name, member in members.items()
            if now_s - member.heard_s < MEMBER_TIMEOUT_S
        }
        if len(heard) < len(members):
            for name in members.keys() - heard.keys():
                logger.info(MemberChanged(name, "silent"))
            self._board.members.write(heard)

    def _close_unused(self):
        known = {hint.address for hint in self.roster.hints} | set(self.seeds)
        for address in self._sockets.addresses:
            if address not in known:
                self._sockets.disconnect(address)

    def _take_beat(self, beat):
        if beat.schema_version != FLEET_SCHEMA_VERSION:
            return
        now_s = self._reactor.seconds()
        sender = beat.sender
        is_new = self.roster.heard(sender, now_s)
        for each in beat.hints:
            self.roster.learn(each.hint, now_s, each.age_s)
        if self._is_neighbour(sender, now_s):
            self._note_member(beat, now_s)
        if is_new and len(beat.hints) < HINTS_A_BEAT:
            # It has just started: tell it at once who there is.
            self._send(sender.address, self._make_beat(self._sample(HINTS_AT_FIRST)))
        self._catch_up(beat, now_s)

    def _is_neighbour(self, hint, now_s):
        """Return whether a router sends its beats to this one all the time."""
        if hint in self.roster.relays(hint.data_centre, now_s):
            own = self.roster.own.data_centre
            return hint.data_centre == own or self.roster.is_relay(now_s)
        is_own = hint.data_centre == self.roster.own.data_centre
        return is_own and self.roster.is_relay(now_s)

    def _note_member(self, beat, now_s):
        sender = beat.sender
        if sender.name not in self._board.members.value:
            logger.info(MemberChanged(sender.name, "joined"))
        member = Member(
            sender.name,
            sender.data_centre,
            sender.address,
            sender.incarnation,
            beat.table_revision,
            beat.is_draining,
            now_s,
        )
        members = self._board.members.value
        self._board.members.write({**members, sender.name: member})

    # Catching up.

    def _catch_up(self, beat, now_s):
        """Ask the sender for what it knows and this router does not."""
        revision, digest = self._listing.state()
        lacks_table = beat.table_revision > self._board.configuration.value.revision
        lacks_list = beat.list_revision > revision and beat.list_digest != digest
        if not (lacks_table or lacks_list):
            return
        if self._behind_since_s is None:
            self._behind_since_s = now_s
            self._reactor.callLater(BEHIND_S, self._ask, beat)

    def _ask(self, beat):
        """Ask if still behind a beat that came a little earlier."""
        self._behind_since_s = None
        own = self.roster.own.address
        table_revision = self._board.configuration.value.revision
        if beat.table_revision > table_revision:
            self._send(beat.sender.address, TableWanted(own, table_revision))
        revision, digest = self._listing.state()
        if beat.list_revision > revision and beat.list_digest != digest:
            self._send(beat.sender.address, EndpointsWanted(own, revision))

    def _take_table_wanted(self, message):
        table = self._board.configuration.value
        if table.revision > message.revision:
            self._send(message.address, TableNews(table.to_json()))

    def _take_table(self, message):
        decoded = self._decode_table(message.value)
        if decoded.is_err():
            logger.warning("peer configuration unreadable: {}", decoded.unwrap_err())
            return
        table = decoded.unwrap()
        if self._board.accept_configuration(table):
            logger.info(ConfigurationInForce(table.revision, "peer"))

    def _take_list_wanted(self, message):
        revision, _ = self._listing.state()
        if revision > message.revision:
            news = EndpointsNews(revision, self._listing.listed())
            self._send(message.address, news)

    def _take_list(self, message):
        endpoints = {endpoint.name: endpoint for endpoint in message.endpoints}
        self._listing.apply_snapshot(endpoints, message.revision)

    def _push_changes(self, base_digest, revision, changed, gone):
        """Tell the data centre's routers what this relay learned of endpoints."""
        if self.is_relay:
            changes = EndpointsChanges(base_digest, revision, changed, gone)
            self._send_each(self._own_members(), changes)

    def _take_changes(self, message):
        self._listing.apply(
            message.base_digest, message.revision, message.changed, message.gone
        )

    # News for all.

    def send_to_all(self, news):
        """Send news to every router."""
        own = self.roster.own
        self._sequence += 1
        spread = Spread(own.name, own.incarnation, self._sequence, news)
        if self.is_relay:
            targets = self._own_members() + self._remote_relays()
        else:
            targets = self._other_relays(own.data_centre)
        self._send_each(targets, spread)

    def _take_spread(self, spread):
        if spread.origin == self.roster.own.name or not self._is_unseen(spread):
            return
        if self.is_relay:
            self._hand_on(spread)
        handler = self._handlers.get(type(spread.news))
        if handler is not None:
            handler(spread.news)

    def _is_unseen(self, spread):
        seen = self._seen.get(spread.origin)
        if seen is None or seen.incarnation < spread.incarnation:
            seen = self._seen[spread.origin] = _Seen(spread.incarnation)
        return seen.incarnation == spread.incarnation and seen.add(spread.sequence)

    def _take_bundle(self, bundle):
        for spread in bundle.spreads:
            self._take_spread(spread)

    def _hand_on(self, spread):
        """Send a piece of news to who does not get it from its origin."""
        now_s = self._reactor.seconds()
        own = self.roster.own.data_centre
        origin = next((h for h in self.roster.hints if h.name == spread.origin), None)
        is_from_here = origin is not None and origin.data_centre == own
        if is_from_here and origin in self.roster.relays(own, now_s):
            return
        self._for_members.add(spread)
        if is_from_here:
            self._for_relays.add(spread)

    def _send_to_members(self, spreads):
        relays = self.roster.relays(
            self.roster.own.data_centre, self._reactor.seconds()
        )
        members = [hint for hint in self._own_members() if hint not in relays]
        self._send_each(members, Bundle(spreads))

    def _send_to_relays(self, spreads):
        self._send_each(self._remote_relays(), Bundle(spreads))

    def _take(self, data):
        try:
            message = _decode(data)
        except msgspec.DecodeError as error:
            logger.warning("peer message unreadable: {}", error)
            return
        self._takers[type(message)](message)
