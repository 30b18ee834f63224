"""Evidence that parts of prompts end engines, from the losses that all routers saw."""

from collections import Counter

import msgspec

from sesamearch.configuration.blackboard import Incarnation

__all__ = ["EngineLoss", "LossEvidence", "Suspect"]

# A loss right after the head of the answer is a full sign that the request ended the
# engine. One without the head is less: the engine may have ended under another request.
WRITING_WEIGHT = 1.0
UNANSWERED_WEIGHT = 0.6
# A part on which engines wrote before the losses is a less likely cause, unless
# something has changed.
KNOWN_PART_RATIO = 0.6
HISTORY_LIFETIME_S = 120.0
MAX_HISTORY = 4096
SUSPECT_SCORE = 3.0
# One request counts for less than a suspect, however many engines were lost under it:
# the requests of a lost engine often go on together, and are lost together again.
MAX_SCORE_PER_REQUEST = 2.0
# Each end that no part explains shows that engines end for other causes too, so that
# more evidence is needed.
SCORE_PER_OTHER_END = 0.5
# Other parts that are considered as causes of other ends.
MAX_RIVALS = 8
# The most that is needed; also if no generation at all was written meanwhile, so that
# engines may end under all prompts.
MAX_SUSPECT_SCORE = 5.0
# Engines that end together have a common cause, such as their data centre.
SIMULTANEOUS_S = 0.25
EVIDENCE_LIFETIME_S = 600.0
MAX_ENDS = 128
MAX_LOSSES_PER_END = 64
# Data that was under way when an engine ended may still arrive for this long.
ALIVE_MARGIN_S = 0.3


class EngineLoss(msgspec.Struct, frozen=True, array_like=True):
    """A request that was lost with the engine that it was sent to.

    Parameters
    ----------
    engine : Incarnation
    request_id : str
    parts : list of str
        Parts of its prompt that other requests may share.
    was_writing : bool
        Whether the engine had just begun to write the answer.
    """

    engine: Incarnation
    request_id: str
    parts: list[str]
    was_writing: bool

    @property
    def weight(self):
        """Float : how much it says about the parts of its prompt."""
        return WRITING_WEIGHT if self.was_writing else UNANSWERED_WEIGHT


class Suspect(msgspec.Struct, frozen=True):
    """Parts that are likely to end engines, and the evidence.

    Parameters
    ----------
    parts : frozenset of str
    score : float
    ends, requests : int
        Numbers of engines and requests that count.
    """

    parts: frozenset[str]
    score: float
    ends: int
    requests: int


class _EngineEnd:
    """The losses of one engine, by the parts of their prompts."""

    __slots__ = ("_by_part", "_requests", "at_s")

    def __init__(self, at_s):
        self.at_s = at_s
        self._requests = set()
        self._by_part = {}

    def add(self, loss):
        """Add an :class:`EngineLoss`; a request counts once."""
        is_known = loss.request_id in self._requests
        if is_known or len(self._requests) >= MAX_LOSSES_PER_END:
            return
        self._requests.add(loss.request_id)
        for part in loss.parts:
            self._by_part.setdefault(part, []).append(loss)

    @property
    def parts(self):
        return self._by_part.keys()

    def losses_with(self, part):
        return self._by_part.get(part, ())

    def is_explained(self, part, quarantined):
        """Return whether the end has a known cause other than `part`."""
        return any(
            key.issubset(loss.parts)
            for key in quarantined
            if part not in key
            for loss in self.losses_with(next(iter(key)))
        )


class _Count:
    """What the ends that count say about one part."""

    __slots__ = ("_group_s", "_ratio", "ends", "groups", "part", "scores")

    def __init__(self, part, ratio):
        self.part = part
        self._ratio = ratio
        self._group_s = float("-inf")
        self.ends = []
        self.groups = 0
        self.scores = Counter()

    def add(self, end, losses):
        """Count an end; of engines that ended together only the first one scores."""
        self.ends.append(end)
        if end.at_s >= self._group_s + SIMULTANEOUS_S:
            self._group_s = end.at_s
            loss = min(losses, key=lambda loss: self.scores[loss.request_id])
            self.scores[loss.request_id] += loss.weight
            self.groups += 1

    @property
    def score(self):
        scores = (min(s, MAX_SCORE_PER_REQUEST) for s in self.scores.values())
        return self._ratio * sum(scores)

    def is_exceeded_by(self, other):
        """Return whether another part explains all of these ends, and further ones."""
        if len(other.ends) <= len(self.ends):
            return False
        explained = set(map(id, other.ends))
        return all(id(end) in explained for end in self.ends)


def _strength(score):
    """Return how strong the evidence for a part is, between 0 and 1.

    The losses of one request alone say nothing of its parts.
    """
    strength = (score - MAX_SCORE_PER_REQUEST) / (SUSPECT_SCORE - MAX_SCORE_PER_REQUEST)
    return min(max(strength, 0.0), 1.0)


class LossEvidence:
    """Finds the parts of prompts under which engines end.

    An end counts against the parts of all requests that were lost with the engine
    before their answers got under way. It no longer counts against a part on which an
    engine has written since, nor if a quarantined part explains it.

    Parameters
    ----------
    clock : twisted.internet.interfaces.IReactorTime
    """

    __slots__ = ("_clock", "_ends", "_history_s", "_last_written_s", "_written_s")

    def __init__(self, clock):
        self._clock = clock
        # By the incarnation of the engine, oldest first.
        self._ends = {}
        # By part, for the parts of requests that were lost.
        self._written_s = {}
        # By part, the least recently written one first.
        self._history_s = {}
        self._last_written_s = float("-inf")

    @property
    def has_ends(self):
        """Bool : whether any engine is known to have ended."""
        return bool(self._ends)

    def add(self, loss):
        """Add an :class:`EngineLoss`."""
        now_s = self._clock.seconds()
        self._drop_old(now_s)
        end = self._ends.get(loss.engine)
        if end is None:
            end = self._ends[loss.engine] = _EngineEnd(now_s)
        end.add(loss)

    def _drop_old(self, now_s):
        old = [
            engine
            for engine, end in self._ends.items()
            if end.at_s < now_s - EVIDENCE_LIFETIME_S
        ]
        surplus = len(self._ends) - len(old) - MAX_ENDS + 1
        kept = [engine for engine in self._ends if engine not in old]
        for engine in old + kept[: max(surplus, 0)]:
            del self._ends[engine]
        if not self._ends:
            self._written_s.clear()

    def note_written(self, parts):
        """Record that an engine has written on some parts.

        Returns
        -------
        list of str
            Those of the parts that losses had counted against.
        """
        now_s = self._clock.seconds()
        self._last_written_s = now_s
        self.note_history(parts)
        counted = [part for part in parts if self._counts_against(part)]
        for part in counted:
            self._written_s[part] = now_s
        return counted

    def note_history(self, parts):
        """Record that engines have written on some parts, perhaps before the losses."""
        now_s = self._clock.seconds()
        for part in parts:
            self._history_s.pop(part, None)
            self._history_s[part] = now_s
        while len(self._history_s) > MAX_HISTORY:
            del self._history_s[next(iter(self._history_s))]

    def has_history(self, part):
        """Return whether engines are known to have written on a part."""
        written_s = self._history_s.get(part, float("-inf"))
        return written_s > self._clock.seconds() - HISTORY_LIFETIME_S

    def _counts_against(self, part):
        written_s = self._written_s.get(part, float("-inf"))
        return any(
            end.at_s > written_s and end.losses_with(part)
            for end in self._ends.values()
        )

    def disproves_end(self, engine, sent_s):
        """Return whether data for a try that was sent at `sent_s` disproves an end."""
        end = self._ends.get(engine)
        if end is None or sent_s >= end.at_s:
            return False
        return self._clock.seconds() > end.at_s + ALIVE_MARGIN_S

    def discard(self, engine):
        """Discard the losses of an engine that has not ended."""
        self._ends.pop(engine, None)

    def find_suspect(self, parts, quarantined):
        """Find the parts that are most likely to end engines.

        Parameters
        ----------
        parts : iterable of str
            Parts to judge.
        quarantined : collection of frozenset of str

        Returns
        -------
        Suspect or None
        """
        counts = {part: self._count(part, quarantined) for part in parts}
        found = [
            part
            for part, count in counts.items()
            if self._is_suspect(count, quarantined)
            and not self._is_dominated(count, quarantined)
        ]
        if not found:
            return None
        part = max(found, key=lambda each: counts[each].score)
        count = counts[part]
        return Suspect(
            self._parts_that_occur_with(part, count.ends),
            count.score,
            count.groups,
            len(count.scores),
        )

    def _is_dominated(self, count, quarantined):
        """Return whether a part without history explains these ends and more."""
        first, *later = [end.parts for end in count.ends]
        others = set(first).intersection(*later) - {count.part}
        return any(
            count.is_exceeded_by(self._count(part, quarantined))
            for part in others
            if not self.has_history(part)
        )

    def _count(self, part, quarantined):
        written_s = self._written_s.get(part, float("-inf"))
        count = _Count(part, KNOWN_PART_RATIO if self.has_history(part) else 1.0)
        for end in self._ends.values():
            losses = end.losses_with(part) if end.at_s > written_s else []
            if losses and not end.is_explained(part, quarantined):
                count.add(end, losses)
        return count

    def _is_suspect(self, count, quarantined):
        if count.score < SUSPECT_SCORE:
            return False
        first_s = count.ends[0].at_s
        if self._last_written_s < first_s:
            return count.score >= MAX_SUSPECT_SCORE
        others = self._unexplained(count, quarantined)
        needed_score = SUSPECT_SCORE + SCORE_PER_OTHER_END * others
        return count.score >= min(needed_score, MAX_SUSPECT_SCORE)

    def _unexplained(self, count, quarantined):
        """Return the number of ends since the first one of a part without a cause.

        An end that another part may have caused counts for as much less as the evidence
        for that part is strong, so that two parts do not hide each other.
        """
        own = set(map(id, count.ends))
        others = [
            end
            for end in self._ends.values()
            if end.at_s >= count.ends[0].at_s
            and id(end) not in own
            and not end.is_explained(None, quarantined)
        ]
        explained = Counter()
        for rival in self._rivals(count.part, others, quarantined):
            strength = _strength(rival.score)
            for end in rival.ends:
                explained[id(end)] = max(explained[id(end)], strength)
        return sum(1.0 - explained[id(end)] for end in others)

    def _rivals(self, part, others, quarantined):
        """Return the counts of the parts that most likely caused other ends.

        No engine has written on them, and more than one has ended under them.
        """
        frequent = Counter(each for end in others for each in end.parts)
        rivals = [
            each
            for each, ends in frequent.items()
            if ends > 1 and each != part and not self.has_history(each)
        ]
        rivals.sort(key=lambda each: (-frequent[each], each))
        return [self._count(each, quarantined) for each in rivals[:MAX_RIVALS]]

    def _parts_that_occur_with(self, part, ends):
        """Return all parts that may be the cause of the ends instead of `part`.

        They occur beside it in a lost request of each engine, and nothing has been
        written on them since the first end.
        """
        common = None
        for end in ends:
            sets = [
                (loss.was_writing, frozenset(loss.parts))
                for loss in end.losses_with(part)
            ]
            if common is None:
                common = max(sets, key=lambda each: (each[0], len(each[1])))[1]
            else:
                common &= max(sets, key=lambda each: (each[0], len(each[1] & common)))[
                    1
                ]
        since_s = ends[0].at_s
        return frozenset(
            each
            for each in common
            if each == part or self._written_s.get(each, float("-inf")) < since_s
        )
