"""What the orders of a service's operators have shown of its versions so far."""

import enum

import msgspec

from sesamearch.store.store import StoreRevision

__all__ = ["Standing", "VersionStanding", "VersionStandings", "WithheldVersions"]

# Versions of one service that are remembered, those of the latest orders.
MAX_VERSIONS = 16


class Standing(enum.IntEnum):
    """What an order has shown of its version; of one order, the highest counts.

    ``ORDERED``: nothing yet. ``REPLACED``: a later order came before anything was
    decided. ``REJECTED``: the version was taken back. ``COMPLETED``: it has taken over.
    """

    ORDERED = 0
    REPLACED = 1
    REJECTED = 2
    COMPLETED = 3


class VersionStanding(msgspec.Struct, frozen=True, array_like=True):
    """The standing of one version of a service.

    Parameters
    ----------
    service, version : str
    standing : Standing
    revision : StoreRevision
        Revision of the order that gave it; a later order counts instead.
    """

    service: str
    version: str
    standing: Standing
    revision: StoreRevision

    @property
    def is_withheld(self):
        """Bool : whether the version was rejected or replaced."""
        return self.standing in (Standing.REPLACED, Standing.REJECTED)

    def supersedes(self, other):
        """Return whether this one counts in place of another one of the version."""
        return (self.revision, self.standing) > (other.revision, other.standing)


class WithheldVersions(msgspec.Struct, frozen=True):
    """Versions of one service that were rejected, and that were replaced."""

    rejected: set[str]
    replaced: set[str]


class VersionStandings:
    """The standings of the versions of all services.

    A standing is merged by the order that gave it, so that routers which learn of the
    same standings in any order end with the same ones.

    """

    __slots__ = ("_by_service", "_withheld")

    def __init__(self):
        self._by_service = {}
        # The choice of an endpoint asks for these with each request.
        self._withheld = {}

    def merge(self, found):
        """Take over a :class:`VersionStanding`; return whether it is news."""
        known = self.find(found.service, found.version)
        if known is not None and not found.supersedes(known):
            return False
        of_service = self._by_service.setdefault(found.service, {})
        of_service[found.version] = found
        if len(of_service) > MAX_VERSIONS:
            oldest = min(of_service.values(), key=lambda each: each.revision)
            del of_service[oldest.version]
        self._note_withheld(found.service)
        return True

    def _note_withheld(self, service):
        found = [e for e in self._by_service[service].values() if e.is_withheld]
        self._withheld.pop(service, None)
        if found:
            rejected = {e.version for e in found if e.standing is Standing.REJECTED}
            replaced = {e.version for e in found} - rejected
            self._withheld[service] = WithheldVersions(rejected, replaced)

    def find(self, service, version):
        """Return the :class:`VersionStanding` of a version, or None."""
        return self._by_service.get(service, {}).get(version)

    def of_service(self, service):
        """Return the standings of a service's versions, a list."""
        return list(self._by_service.get(service, {}).values())

    def withheld(self, service):
        """Return the :class:`WithheldVersions` of a service, or None without any."""
        return self._withheld.get(service)

    @property
    def withheld_services(self):
        """List of str : services with a version that was rejected or replaced."""
        return list(self._withheld)

    @property
    def withheld_count(self):
        """Int : number of versions that were rejected or replaced."""
        return sum(
            len(each.rejected) + len(each.replaced) for each in self._withheld.values()
        )
