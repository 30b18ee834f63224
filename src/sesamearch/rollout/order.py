"""Orders to move a service to another version, and their outcomes."""

import enum

import msgspec

from sesamearch.store.store import StoreRevision

__all__ = ["RolloutOrder", "RolloutOutcome", "RolloutState"]


class RolloutState(enum.Enum):
    """Progress of a rollout."""

    IN_PROGRESS = "in_progress"
    COMPLETE = "complete"
    REVERTED = "reverted"


class RolloutOrder(msgspec.Struct, frozen=True):
    """An operator's order to move a service to another version.

    Parameters
    ----------
    service : str
    target : str
        Version to move to.
    length_s : float
        Time in which the rollout has to complete.
    revision : StoreRevision
        Revision of the order; a later order of the service has a higher one, unless the
        store was restored meanwhile.
    """

    service: str
    target: str
    length_s: float
    revision: StoreRevision

    def is_equal_to(self, other):
        """Return whether another order says the same, under any revision."""
        return (self.service, self.target, self.length_s) == (
            other.service,
            other.target,
            other.length_s,
        )


class RolloutOutcome(msgspec.Struct, frozen=True):
    """The state of an order in the store.

    Parameters
    ----------
    service, target : str
    state : RolloutState
    revision : StoreRevision
        Revision of the state entry.
    """

    service: str
    target: str
    state: RolloutState
    revision: StoreRevision
