"""Losses of an endpoint, counted once however many answers it broke off."""

import msgspec

__all__ = ["LossFilter", "failed_answers"]

# An endpoint that crashes or falls silent breaks off all that it runs, at all routers.
# That is one failure.
LOSS_INTERVAL_S = 1.0


class LossFilter:
    """Tells the first loss at an endpoint from others at the same time."""

    __slots__ = ("_lost_s",)

    def __init__(self):
        self._lost_s = {}

    def is_first(self, name, now_s):
        """Return whether an endpoint breaks off its first answer in an interval."""
        oldest_s = now_s - LOSS_INTERVAL_S
        recent = {
            other: at_s for other, at_s in self._lost_s.items() if at_s > oldest_s
        }
        self._lost_s = recent
        is_first = name not in recent
        recent.setdefault(name, now_s)
        return is_first

    def first_losses(self, counts, now_s):
        """Return a :class:`RouteEvidence` without the losses that are not the first."""
        new_lost = [name for name in counts.new_lost if self.is_first(name, now_s)]
        old_lost = [name for name in counts.old_lost if self.is_first(name, now_s)]
        new = len(counts.new_lost) - len(new_lost)
        old = len(counts.old_lost) - len(old_lost)
        return msgspec.structs.replace(
            counts,
            new_answers=counts.new_answers - new,
            new_failures=counts.new_failures - new,
            old_answers=counts.old_answers - old,
            old_failures=counts.old_failures - old,
            new_lost=new_lost,
            old_lost=old_lost,
        )


def failed_answers(counts):
    """Return a :class:`RouteEvidence` without times and losses.

    Once the new version has all requests, its load is no longer that of the old one,
    and no endpoint of the old one is left to take over when one crashes.
    """
    lost = len(counts.new_lost)
    return msgspec.structs.replace(
        counts,
        new_answers=counts.new_answers - lost,
        new_failures=counts.new_failures - lost,
        new_first=[],
        old_first=[],
        new_pace=[],
        old_pace=[],
    )
