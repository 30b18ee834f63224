"""Orders to move a service to another version, and their outcomes."""

import enum

import msgspec

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
    revision : int
        Store revision of the order; a later order of the service has a higher one.
    """

    service: str
    target: str
    length_s: float
    revision: int


class RolloutOutcome(msgspec.Struct, frozen=True):
    """The state of an order in the store.

    Parameters
    ----------
    service, target : str
    state : RolloutState
    revision : int
        Store revision of the state entry.
    """

    service: str
    target: str
    state: RolloutState
    revision: int
