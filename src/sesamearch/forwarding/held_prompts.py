"""Parts of prompts that engines still hold, and what reading they would save."""

from collections import OrderedDict

__all__ = ["HeldPrompts"]

# An engine that was not asked for a part for so long has probably used its memory for
# others. What a part saves falls to nothing over this time.
RETENTION_S = 10.0
# Smaller parts save less time than it takes to tell of them.
MIN_PART_TOKENS = 256
# Parts kept for one engine, and told in one update.
MAX_PARTS = 256
MAX_TOLD_PARTS = 32


class HeldPrompts:
    """Knows which engine has read which parts of prompts lately.

    Engines use free memory for what they have read, and give it up, the least recently
    used part first, when running generations need the memory. A part saves reading only
    if the engine holds all parts before it as well.

    Parameters
    ----------
    clock : twisted.internet.interfaces.IReactorTime
    """

    __slots__ = ("_born_ms", "_clock", "_read_s", "_untold")

    def __init__(self, clock):
        self._clock = clock
        # Time of the last reading by part, by engine; the oldest part first.
        self._read_s = {}
        self._untold = {}
        self._born_ms = {}

    def note_read(self, parts, endpoint):
        """Record that an engine has read a prompt for this router.

        Parameters
        ----------
        parts : list of PromptPart
        endpoint : str
        """
        names = [part.name for part in parts if part.tokens >= MIN_PART_TOKENS]
        if not names:
            return
        self._note(names, endpoint)
        untold = self._untold.setdefault(endpoint, [])
        untold.extend(names)
        del untold[:-MAX_TOLD_PARTS]

    def update(self, reads):
        """Record what engines have read for another router.

        Parameters
        ----------
        reads : dict from str to list of str
            Names of parts by engine.
        """
        for endpoint, names in reads.items():
            self._note(names[:MAX_TOLD_PARTS], endpoint)

    def _note(self, names, endpoint):
        now_s = self._clock.seconds()
        read_s = self._read_s.setdefault(endpoint, OrderedDict())
        for name in names:
            read_s[name] = now_s
            read_s.move_to_end(name)
        while len(read_s) > MAX_PARTS:
            read_s.popitem(last=False)

    def collect_untold(self):
        """Return the parts to tell the other routers of by engine, once each."""
        untold, self._untold = self._untold, {}
        return untold

    def saved_tokens(self, parts, endpoint, free_tokens):
        """Return how much of a prompt an engine is expected not to read again.

        Parameters
        ----------
        parts : list of PromptPart
            The prompt's parts in their order.
        endpoint : str
        free_tokens : float
            Memory that no running generation needs, in tokens.

        Returns
        -------
        float
            Tokens, less for what was read long ago.
        """
        read_s = self._read_s.get(endpoint)
        if not read_s:
            return 0.0
        saved, held = 0.0, 0
        for part in parts:
            share = self._share_left(read_s, part)
            held += part.tokens
            if share <= 0.0 or held > free_tokens:
                break
            saved += share * part.tokens
        return saved

    def _share_left(self, read_s, part):
        """Return the odds that a part is still held; small parts count as held."""
        if part.tokens < MIN_PART_TOKENS:
            return 1.0
        at_s = read_s.get(part.name)
        if at_s is None:
            return 0.0
        return max(0.0, 1.0 - (self._clock.seconds() - at_s) / RETENTION_S)

    def forget(self, endpoint):
        """Forget what an engine held that may be lost."""
        self._read_s.pop(endpoint, None)

    def discard_unlisted(self, endpoints):
        """Forget the engines that are no longer listed, or that started again."""
        for name in self._read_s.keys() - endpoints.keys():
            del self._read_s[name]
        for name, endpoint in endpoints.items():
            if self._born_ms.get(name, endpoint.born_ms) != endpoint.born_ms:
                self.forget(name)
        self._born_ms = {name: each.born_ms for name, each in endpoints.items()}

    def drop_expired(self):
        """Forget parts that were read too long ago."""
        oldest_s = self._clock.seconds() - RETENTION_S
        for endpoint, read_s in list(self._read_s.items()):
            while read_s and next(iter(read_s.values())) < oldest_s:
                read_s.popitem(last=False)
            if not read_s:
                del self._read_s[endpoint]
