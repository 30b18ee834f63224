"""What routers tell each other of the services that they have no path to."""

import msgspec

from sesamearch.membership.fleet_message import PATH_SCHEMA_VERSION, PathReport
from sesamearch.membership.schema import is_known_version

__all__ = ["PathGossip"]

REPEAT_INTERVAL_S = 1.0
# A router that repeats its report no more may have ended or may be cut off from its
# peers too.
REPORT_TIMEOUT_S = 3.5


class _Report(msgspec.Struct):
    heard_s: float
    services: frozenset


class PathGossip:
    """Tells the other routers which services this one does not reach.

    Parameters
    ----------
    name : str
        Name of this router.
    paths : PathTracker
    clock : twisted.internet.interfaces.IReactorTime
    """

    __slots__ = ("_clock", "_name", "_paths", "_peers", "_repeat_s", "_reports")

    def __init__(self, name, paths, clock):
        self._name = name
        self._paths = paths
        self._clock = clock
        self._peers = None
        self._repeat_s = float("inf")
        self._reports = {}

    def join(self, peers):
        """Send and receive reports through a :class:`FleetLink`."""
        self._peers = peers
        peers.handle(PathReport, self._apply)
        if self._paths.cut_services:
            self.send()

    def send(self):
        """Report the services that are cut off, also that there are none any more."""
        services = self._paths.cut_services
        self._repeat_s = float("inf")
        if services:
            self._repeat_s = self._clock.seconds() + REPEAT_INTERVAL_S
        if self._peers is not None:
            report = PathReport(PATH_SCHEMA_VERSION, self._name, services)
            self._peers.send_to_all(report)

    def refresh(self):
        """Repeat the report while a service is cut off; called at intervals."""
        if self._clock.seconds() >= self._repeat_s:
            self.send()

    def _apply(self, report):
        if not is_known_version(report, PATH_SCHEMA_VERSION):
            return
        before = self._reports.pop(report.name, None)
        if report.services:
            services = frozenset(report.services)
            self._reports[report.name] = _Report(self._clock.seconds(), services)
        if before is not None:
            for service in before.services.difference(report.services):
                self._paths.note_reached_elsewhere(service)

    def is_cut(self, name, service):
        """Return whether a router said lately that it does not reach a service."""
        report = self._reports.get(name)
        if report is None or service not in report.services:
            return False
        return self._clock.seconds() - report.heard_s <= REPORT_TIMEOUT_S

    def has_cut(self, name):
        """Return whether a router said lately that it does not reach some service."""
        report = self._reports.get(name)
        if report is None:
            return False
        return self._clock.seconds() - report.heard_s <= REPORT_TIMEOUT_S
