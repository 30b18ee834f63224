"""How long generations take, learned from those that went well."""

from collections import deque

__all__ = ["GenerationPace"]

MAX_SAMPLES = 50
# Below the fastest that was seen nothing is promised to fail.
SAFETY_RATIO = 0.6


class GenerationPace:
    """What has been seen of generations in this process."""

    __slots__ = ("_s_per_token",)

    def __init__(self):
        self._s_per_token = deque(maxlen=MAX_SAMPLES)

    def note_first_event(self, prompt_tokens, took_s):
        """Take the time from sending a prompt to its first event."""
        if prompt_tokens > 0:
            self._s_per_token.append(took_s / prompt_tokens)

    def shortest_s(self, prompt_tokens):
        """Return the time below which no first event can come.

        Returns
        -------
        float
            Zero while little has been seen.
        """
        if len(self._s_per_token) < self._s_per_token.maxlen // 5:
            return 0.0
        return min(self._s_per_token) * prompt_tokens * SAFETY_RATIO
