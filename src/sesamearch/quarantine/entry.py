"""One quarantine: the parts of prompts that together are refused."""

import msgspec

__all__ = ["Quarantine"]


class Quarantine(msgspec.Struct, frozen=True, array_like=True):
    """Whether prompts that contain all of some parts are refused.

    Parameters
    ----------
    parts : list of str
        Names of the parts, sorted. Nearly always one; more while it is not known which
        of several parts that occurred together ends endpoints.
    change : int
        Number of the change, from one; of two entries for the same parts the one with
        the higher number applies.
    is_active : bool
        False after the quarantine was lifted.
    trials : int
        Number of requests that were let through to learn whether it is over.
    """

    parts: list[str]
    change: int
    is_active: bool = True
    trials: int = 0

    @property
    def key(self):
        """Frozenset of str : the parts, as the identity of the quarantine."""
        return frozenset(self.parts)

    def supersedes(self, other):
        """Return whether this entry applies instead of `other`, which may be None."""
        return other is None or self.change > other.change
