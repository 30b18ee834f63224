"""Messages about rollouts and about what they showed of versions."""

import msgspec

from sesamearch.membership.schema import UNSTATED_ERA
from sesamearch.routing.canary_evidence import RouteEvidence
from sesamearch.routing.version_standing import VersionStanding

__all__ = [
    "STANDING_SCHEMA_VERSION",
    "RolloutUpdate",
    "RolloutVerdict",
    "StandingUpdate",
]

STANDING_SCHEMA_VERSION = 1


class StandingUpdate(msgspec.Struct, tag=True, frozen=True, array_like=True):
    """Standings of versions that the sender knows.

    Parameters
    ----------
    schema_version : int
        Version of the message layout; messages of other versions are ignored.
    standings : list of VersionStanding
    """

    schema_version: int
    standings: list[VersionStanding]


class RolloutUpdate(msgspec.Struct, tag="RolloutNews", frozen=True, array_like=True):
    """A rollout, and what a router saw of it since its last update.

    Parameters
    ----------
    name : str
        Name of the sender.
    service, target : str
        Service of the rollout, and the version that is to take over.
    revision : int
        Store revision of the rollout order.
    length_s, age_s : float
        Time from the order to its deadline, and the time since the order at the sender.
    requests, to_new : int
        Requests sent to the service, and how many of them to the new version.
    evidence : list of RouteEvidence
    era : int
        Era of the store that the revision belongs to.
    is_distinct : bool
        Whether the sender knows that the order repeats none of an earlier era.
    all_requests, all_to_new : int
        The same numbers of all routers, as far as the sender knows, before this update.
    """

    name: str
    service: str
    target: str
    revision: int
    length_s: float
    age_s: float
    requests: int
    to_new: int
    evidence: list[RouteEvidence]
    era: int = UNSTATED_ERA
    is_distinct: bool = False
    all_requests: int = 0
    all_to_new: int = 0


class RolloutVerdict(msgspec.Struct, tag=True, frozen=True, array_like=True):
    """How a rollout ended.

    Parameters
    ----------
    service : str
    revision : int
        Store revision of the rollout order.
    is_bad : bool
        True if the new version was judged bad, False if it has taken over.
    era : int
        Era of the store that the revision belongs to.
    target : str
        Version that was to take over; empty if the sender does not state it.
    """

    service: str
    revision: int
    is_bad: bool
    era: int = UNSTATED_ERA
    target: str = ""
