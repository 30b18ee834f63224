"""Exchange of losses and of quarantined requests among the routers."""

from sesamearch.base.log import logger
from sesamearch.membership.fleet_message import (
    QUARANTINE_SCHEMA_VERSION,
    LossReport,
    QuarantineUpdate,
)
from sesamearch.membership.schema import is_known_version

__all__ = ["QuarantineGossip"]

# What is seen within this time is sent in one report.
SEND_DELAY_S = 0.02
# A report names at most so many losses; an outage of many endpoints needs no more.
MAX_LOSSES = 64
# Relays repeat the quarantines for routers that have started or missed an update.
REPEAT_INTERVAL_S = 1.0


class QuarantineGossip:
    """Shares what this router saw and decided, and applies what the others share.

    Parameters
    ----------
    quarantine : QuarantineController
    clock : twisted.internet.interfaces.IReactorTime
    """

    __slots__ = (
        "_alive",
        "_clock",
        "_known",
        "_losses",
        "_peers",
        "_quarantine",
        "_repeat_s",
        "_timer",
        "_written",
    )

    def __init__(self, quarantine, clock):
        self._quarantine = quarantine
        self._clock = clock
        self._peers = None
        self._timer = None
        self._repeat_s = 0.0
        self._losses = []
        self._written = set()
        self._alive = []
        self._known = set()
        quarantine.on_loss = self._add_loss
        quarantine.on_written = self._add_written
        quarantine.on_alive = self._add_alive
        quarantine.on_history = self._add_history
        quarantine.on_decision = lambda decided: self._send([decided])

    def join(self, peers):
        """Send and receive updates through a :class:`FleetLink`."""
        self._peers = peers
        peers.handle(LossReport, self._apply_report)
        peers.handle(QuarantineUpdate, self._apply_update)
        peers.handle_message(QuarantineUpdate, self._apply_update)
        peers.listen_started(self._tell)

    def _add_loss(self, loss):
        if len(self._losses) < MAX_LOSSES:
            self._losses.append(loss)
        else:
            logger.warning("loss not reported to peers request={}", loss.request_id)
        self._schedule()

    def _add_written(self, parts):
        self._written.update(parts)
        self._schedule()

    def _add_alive(self, incarnation):
        self._alive.append(incarnation)
        self._schedule()

    def _add_history(self, parts):
        self._known.update(parts)
        self._schedule()

    def _schedule(self):
        if self._timer is None:
            self._timer = self._clock.callLater(SEND_DELAY_S, self._send_report)

    def _send_report(self):
        self._timer = None
        report = LossReport(
            QUARANTINE_SCHEMA_VERSION,
            self._losses,
            sorted(self._written),
            self._alive,
            sorted(self._known),
        )
        self._losses, self._written, self._alive, self._known = [], set(), [], set()
        if self._peers is not None:
            self._peers.send_to_all(report)

    def _send(self, quarantines):
        if self._peers is not None:
            update = QuarantineUpdate(QUARANTINE_SCHEMA_VERSION, quarantines)
            self._peers.send_to_all(update)

    def _tell(self, address):
        """Tell a router that has just started, before it sends many requests."""
        news = self._quarantine.news
        if news:
            update = QuarantineUpdate(QUARANTINE_SCHEMA_VERSION, news)
            self._peers.send_to(address, update)

    def refresh(self):
        """Repeat the quarantines if this router relays; called at intervals."""
        now_s = self._clock.seconds()
        if self._peers is None or now_s < self._repeat_s or not self._peers.is_relay:
            return
        self._repeat_s = now_s + REPEAT_INTERVAL_S
        news = self._quarantine.news
        if news:
            self._send(news)

    def _apply_report(self, report):
        if not is_known_version(report, QUARANTINE_SCHEMA_VERSION):
            return
        for incarnation in report.alive:
            self._quarantine.add_alive(incarnation)
        if report.known:
            self._quarantine.add_history(report.known)
        for loss in report.losses:
            self._quarantine.add_loss(loss)
        if report.written:
            self._quarantine.add_written(report.written)

    def _apply_update(self, update):
        if not is_known_version(update, QUARANTINE_SCHEMA_VERSION):
            return
        for quarantine in update.quarantines:
            self._quarantine.update(quarantine)
