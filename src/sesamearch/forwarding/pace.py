"""Estimate of the shortest possible time to a generation's first event."""

from collections import deque

__all__ = ["GenerationPace"]

MAX_SAMPLES = 50
# Safety factor on the shortest time per prompt token in the samples, because a later
# prompt may be prefilled faster.
SAFETY_RATIO = 0.6


class GenerationPace:
    """Learns the time to the first event from the generations of this process."""

    __slots__ = ("_s_per_token",)

    def __init__(self):
        self._s_per_token = deque(maxlen=MAX_SAMPLES)

    def note_first_event(self, prompt_tokens, took_s):
        """Record the time from sending a prompt to its first event."""
        if prompt_tokens > 0:
            self._s_per_token.append(took_s / prompt_tokens)

    def shortest_s(self, prompt_tokens):
        """Return the time before which no first event can arrive.

        Returns
        -------
        float
            Zero while there are too few samples.
        """
        if len(self._s_per_token) < self._s_per_token.maxlen // 5:
            return 0.0
        return min(self._s_per_token) * prompt_tokens * SAFETY_RATIO
