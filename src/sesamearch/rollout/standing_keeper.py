"""Keeps the standings of versions at all routers and in the store."""

from twisted.internet.defer import Deferred

from sesamearch.base.log import logger
from sesamearch.base.record import VersionStandingChanged
from sesamearch.membership.rollout_message import (
    STANDING_SCHEMA_VERSION,
    StandingUpdate,
)
from sesamearch.membership.schema import is_known_version
from sesamearch.routing.version_standing import (
    Standing,
    VersionStanding,
    VersionStandings,
)

__all__ = ["StandingKeeper"]

RETRY_DELAY_S = 1.0
# Relays repeat the standings for routers that have started or missed an update.
REPEAT_INTERVAL_S = 1.0


class StandingKeeper:
    """Remembers which versions were rejected or replaced, beyond their orders.

    What one router learns goes to all others, and to the store, where routers read it
    that start when no other one is left. A restored store gets it again.

    Parameters
    ----------
    register : RolloutRegister
    clock : twisted.internet.interfaces.IReactorTime
    write_delay_s : callable
        Returns how long this router waits before it writes, so that usually only the
        first one writes.

    Attributes
    ----------
    standings : VersionStandings
    """

    __slots__ = (
        "_clock",
        "_due",
        "_peers",
        "_register",
        "_repeat_s",
        "_retry",
        "_write_delay_s",
        "standings",
    )

    def __init__(self, register, clock, write_delay_s):
        self._register = register
        self._clock = clock
        self._write_delay_s = write_delay_s
        self._peers = None
        self._repeat_s = 0.0
        self._retry = None
        # Services whose standings are to be written.
        self._due = set()
        self.standings = VersionStandings()

    def join(self, peers):
        """Send and receive standings through a :class:`FleetLink`."""
        self._peers = peers
        peers.handle(StandingUpdate, self._apply_update)
        peers.handle_message(StandingUpdate, self._apply_update)
        peers.listen_started(self._tell)

    # Orders and their ends.

    def note_ordered(self, order, is_certain):
        """Record a new order, which ends the rejection of its version.

        Parameters
        ----------
        order : RolloutOrder
        is_certain : bool
            Whether it is known to repeat no order from before a restore of the store.
            Otherwise it ends only a rejection of its own era.
        """
        known = self.standings.find(order.service, order.target)
        if known is None:
            return
        if is_certain or known.revision.era == order.revision.era:
            self._note(order, Standing.ORDERED)

    def note_replaced(self, order):
        """Record that a later order came before this one was known to have ended."""
        self._note(order, Standing.REPLACED)

    def note_rejected(self, order):
        """Record that the version of an order was taken back."""
        self._note(order, Standing.REJECTED)

    def note_completed(self, order):
        """Record that the version of an order has taken over."""
        self._note(order, Standing.COMPLETED)

    def _note(self, order, standing):
        found = VersionStanding(order.service, order.target, standing, order.revision)
        if self._learn(found, "own"):
            self._send([found])

    def _learn(self, found, source):
        """Take over a standing; return whether it withholds a version, or no longer.

        Only such a standing is of use to others, and is stored.
        """
        known = self.standings.find(found.service, found.version)
        if not self._merge(found, source):
            return False
        if not found.is_withheld and (known is None or not known.is_withheld):
            return False
        self._write_later(found.service)
        return True

    def _merge(self, found, source):
        if not self.standings.merge(found):
            return False
        logger.info(
            VersionStandingChanged(
                found.service,
                found.version,
                found.standing.name.lower(),
                source,
                found.revision.number,
            )
        )
        return True

    def is_withheld(self, endpoint, target, versions_of):
        """Return whether an endpoint's version gets no requests.

        A replaced version gets none only as long as there is another one: it may have
        taken over unnoticed.

        Parameters
        ----------
        endpoint : Endpoint
        target : str
            Version of the service's last order; empty for none.
        versions_of : callable
            Returns the versions of a service's live endpoints, a set of str.
        """
        withheld = self.standings.withheld(endpoint.service)
        if withheld is None:
            return False
        if endpoint.version not in withheld.replaced:
            return endpoint.version in withheld.rejected
        live = versions_of(endpoint.service)
        return bool(live - withheld.replaced - withheld.rejected - {target})

    # Exchange with the other routers.

    def _send(self, standings):
        if self._peers is not None:
            self._peers.send_to_all(StandingUpdate(STANDING_SCHEMA_VERSION, standings))

    def _tell(self, address):
        """Tell a router that has just started, before it sends many requests."""
        news = self._news()
        if news:
            self._peers.send_to(address, StandingUpdate(STANDING_SCHEMA_VERSION, news))

    def refresh(self):
        """Repeat the standings if this router relays; called at intervals."""
        now_s = self._clock.seconds()
        if self._peers is None or now_s < self._repeat_s or not self._peers.is_relay:
            return
        self._repeat_s = now_s + REPEAT_INTERVAL_S
        news = self._news()
        if news:
            self._send(news)

    def _news(self):
        return [
            each
            for service in self.standings.withheld_services
            for each in self.standings.of_service(service)
        ]

    def _apply_update(self, update):
        if not is_known_version(update, STANDING_SCHEMA_VERSION):
            return
        for found in update.standings:
            self._learn(found, "peer")

    # Exchange with the store.

    def read(self):
        """Read the stored standings, and again later if the store doesn't answer.

        Returns
        -------
        twisted.internet.defer.Deferred
            Fires after the first attempt.
        """
        return self._run(self._read())

    async def _read(self):
        read = await self._register.read_standings()
        if read.is_err():
            self._read_later()
            return
        for found in read.unwrap():
            self._merge(found, "store")

    def _read_later(self):
        if self._retry is None or not self._retry.active():
            self._retry = self._clock.callLater(RETRY_DELAY_S, self.read)

    def write_again(self):
        """Write all standings again that a restored store may have lost."""
        for service in self.standings.withheld_services:
            self._write_later(service)

    def _write_later(self, service):
        if service not in self._due:
            self._due.add(service)
            self._clock.callLater(self._write_delay_s(), self._write, service)

    def _write(self, service):
        self._due.discard(service)
        self._run(self._write_until_done(service))

    async def _write_until_done(self, service):
        while True:
            standings = self.standings.of_service(service)
            written = await self._register.write_standings(service, standings)
            if written.is_ok():
                for found in written.unwrap():
                    self._merge(found, "store")
                return
            pause = Deferred()
            self._clock.callLater(RETRY_DELAY_S, pause.callback, None)
            await pause

    def _run(self, work):
        def fail(failure):
            logger.error("keeping version standings failed: {}", failure.value)

        return Deferred.fromCoroutine(work).addErrback(fail)
