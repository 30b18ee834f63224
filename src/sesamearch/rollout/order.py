"""Orders to move a service to another version, and what became of them."""

import enum

import msgspec

__all__ = ["RolloutOrder", "RolloutOutcome", "RolloutState"]


class RolloutState(enum.Enum):
    """How far a rollout is."""

    IN_PROGRESS = "in_progress"
    COMPLETE = "complete"
    REVERTED = "reverted"


class RolloutOrder(msgspec.Struct, frozen=True):
    """An operator's order.

    Parameters
    ----------
    service : str
    target : str
        Version that is to take over.
    length_s : float
        Time until it is to be complete.
    revision : int
        Store revision of the order, which tells it from a later one.
    """

    service: str
    target: str
    length_s: float
    revision: int


class RolloutOutcome(msgspec.Struct, frozen=True):
    """What the store says became of an order.

    Parameters
    ----------
    service, target : str
    state : RolloutState
    revision : int
        Store revision of this entry.
    """

    service: str
    target: str
    state: RolloutState
    revision: int
