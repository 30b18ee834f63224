"""Exchange of the limits that endpoints name among the routers."""

from sesamearch.forwarding.limits import LimitStatement
from sesamearch.membership.limit_message import (
    LIMIT_SCHEMA_VERSION,
    LimitNotice,
    LimitReport,
)
from sesamearch.membership.member_list import RELAYS_PER_DATA_CENTRE
from sesamearch.membership.schema import is_known_version

__all__ = ["LimitGossip", "make_notice", "read_notice"]

# What changes within this time is sent in one report.
SEND_DELAY_S = 0.01
# Some relay repeats what it knows once in this time, for routers that have started or
# missed a report.
REPEAT_INTERVAL_S = 1.0
# Notices in one repetition; more than that are repeated in turn.
MAX_REPEATED = 16


def make_notice(incarnation, statement, now_s):
    """Return the :class:`LimitNotice` of what a process said of its limit."""
    return LimitNotice(
        incarnation,
        statement.limit_per_s,
        now_s - statement.asked_s,
        now_s - statement.heard_s,
        statement.brittle_per_s,
    )


def read_notice(notice, now_s):
    """Return the :class:`LimitStatement` of a notice that arrived at `now_s`."""
    asked_s = now_s - notice.asked_age_s
    heard_s = now_s - notice.heard_age_s
    return LimitStatement(notice.limit_per_s, asked_s, heard_s, notice.brittle_per_s)


class LimitGossip:
    """Tells the other routers which limits this one heard, and applies what they tell.

    Parameters
    ----------
    limits : LimitTracker
    clock : twisted.internet.interfaces.IReactorTime
    """

    __slots__ = (
        "_clock",
        "_limits",
        "_peers",
        "_repeat_s",
        "_repeated",
        "_timer",
        "_unsent",
    )

    def __init__(self, limits, clock):
        self._limits = limits
        self._clock = clock
        self._peers = None
        self._timer = None
        self._unsent = {}
        self._repeat_s = 0.0
        # Processes whose limits are still to be repeated in this round.
        self._repeated = []
        limits.on_answer = self._add

    def join(self, peers):
        """Send and receive reports through a :class:`FleetLink`."""
        self._peers = peers
        peers.handle(LimitReport, self._apply)

    def _add(self, incarnation, statement):
        self._unsent[incarnation] = statement
        if self._timer is None:
            self._timer = self._clock.callLater(SEND_DELAY_S, self._send_changes)

    def _send_changes(self):
        self._timer = None
        unsent, self._unsent = self._unsent, {}
        self._send(unsent)

    def _send(self, statements):
        if self._peers is None:
            return
        now_s = self._clock.seconds()
        notices = [make_notice(*item, now_s) for item in statements.items()]
        self._peers.send_to_all(LimitReport(LIMIT_SCHEMA_VERSION, notices))

    def refresh(self):
        """Repeat some limits if this router relays; called at intervals."""
        now_s = self._clock.seconds()
        statements = self._limits.statements
        if not statements or self._peers is None or now_s < self._repeat_s:
            return
        if not self._peers.is_relay:
            return
        relays = RELAYS_PER_DATA_CENTRE * len(self._peers.member_list.data_centres)
        self._repeat_s = now_s + REPEAT_INTERVAL_S * relays
        if not self._repeated:
            self._repeated = list(statements)
        taken = self._repeated[:MAX_REPEATED]
        self._repeated = self._repeated[MAX_REPEATED:]
        self._send({each: statements[each] for each in taken if each in statements})

    def _apply(self, report):
        if not is_known_version(report, LIMIT_SCHEMA_VERSION):
            return
        now_s = self._clock.seconds()
        for notice in report.notices:
            self._limits.update(notice.incarnation, read_notice(notice, now_s))
