"""How long generations take, learned from those that went well."""

from collections import deque

__all__ = ["GenerationPace"]

REMEMBERED = 50
DURATION_SMOOTHING = 0.1
FIRST_DURATION_S = 6.0
# Below the fastest that was seen nothing is promised to fail.
CERTAIN_RATIO = 0.6


class GenerationPace:
    """What has been seen of generations in this process.

    Attributes
    ----------
    duration_s : float
        Mean time from the request to the last event.
    """

    __slots__ = ("_s_per_token", "duration_s")

    def __init__(self):
        self._s_per_token = deque(maxlen=REMEMBERED)
        self.duration_s = FIRST_DURATION_S

    def note_first(self, prompt_tokens, took_s):
        """Take the time from sending a prompt to its first event."""
        if prompt_tokens > 0:
            self._s_per_token.append(took_s / prompt_tokens)

    def note_whole(self, took_s):
        """Take the time that a whole generation took."""
        self.duration_s += DURATION_SMOOTHING * (took_s - self.duration_s)

    def shortest_s(self, prompt_tokens):
        """Return the time below which no first event can come.

        Returns
        -------
        float
            Zero while little has been seen.
        """
        if len(self._s_per_token) < self._s_per_token.maxlen // 5:
            return 0.0
        return min(self._s_per_token) * prompt_tokens * CERTAIN_RATIO
