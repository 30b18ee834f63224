"""Evidence that requests end endpoints, from the losses that all routers saw."""

from collections import Counter

import msgspec

from sesamearch.quarantine.fingerprint import RequestFingerprints
from sesamearch.quarantine.history import RunHistory
from sesamearch.quarantine.loss import EndpointEnd
from sesamearch.quarantine.loss_count import MAX_SCORE_PER_REQUEST, LossCount

__all__ = ["LossEvidence", "Suspect"]

MAX_KNOWN_PARTS = 4096
MAX_KNOWN_REQUESTS = 8192
SUSPECT_SCORE = 3.0
# Each end that no part explains shows that endpoints end for other causes too, so that
# more evidence is needed.
SCORE_PER_OTHER_END = 0.5
# Ends so long before the first one under a whole request count as well: its own ends
# may follow each other at once.
OTHER_ENDS_BEFORE_S = 10.0
# Other whole requests were lost at the same ends; the next end is likely to tell.
SCORE_OF_COMPANIONS = 1.0
# Other parts that are considered as causes of other ends.
MAX_RIVALS = 8
# Further ends by which a part is a more likely cause than a narrower one, whose
# requests all have it.
MIN_FURTHER_ENDS = 2
MIN_FURTHER_RATIO = 0.25
# Quarantined requests that show that a part which they share is why they end endpoints.
MIN_CASES = 2
# The most that is needed; also if no generation at all was written meanwhile, so that
# engines may end under all prompts.
MAX_SUSPECT_SCORE = 5.0
EVIDENCE_LIFETIME_S = 600.0
MAX_ENDS = 128
# Data that was under way when an endpoint ended may still arrive for this long.
ALIVE_MARGIN_S = 0.3
# A process that has ended is not back so soon, so that no request is answered then.
MIN_RESTART_S = 1.0


class Suspect(msgspec.Struct, frozen=True):
    """Parts that are likely to end endpoints, and the evidence.

    Parameters
    ----------
    parts : frozenset of str
    score : float
    ends, requests : int
        Numbers of endpoints and requests that count.
    cases : frozenset of frozenset of str
        Quarantines of whole requests that ended endpoints because of these parts.
    """

    parts: frozenset[str]
    score: float
    ends: int
    requests: int
    cases: frozenset[frozenset[str]] = frozenset()


def _strength(score):
    """Return how strong the evidence for a part is, between 0 and 1.

    The losses of one request alone say nothing of its parts.
    """
    strength = (score - MAX_SCORE_PER_REQUEST) / (SUSPECT_SCORE - MAX_SCORE_PER_REQUEST)
    return min(max(strength, 0.0), 1.0)


class LossEvidence:
    """Finds the parts of requests under which endpoints end.

    An end counts against the parts of all requests that were lost with the endpoint
    before their answers got under way. It no longer counts against a part with which an
    endpoint has run a request since, nor if a quarantined part explains it.

    Parameters
    ----------
    clock : twisted.internet.interfaces.IReactorTime
    """

    __slots__ = (
        "_clock",
        "_ends",
        "_known_parts",
        "_known_requests",
        "_last_written_s",
        "_written_s",
    )

    def __init__(self, clock):
        self._clock = clock
        # By the incarnation of the endpoint, oldest first.
        self._ends = {}
        # By part, for the parts of requests that were lost.
        self._written_s = {}
        self._known_parts = RunHistory(clock, MAX_KNOWN_PARTS)
        self._known_requests = RunHistory(clock, MAX_KNOWN_REQUESTS)
        self._last_written_s = float("-inf")

    @property
    def has_ends(self):
        """Bool : whether any endpoint is known to have ended."""
        return bool(self._ends)

    def add(self, loss):
        """Add an :class:`EndpointLoss`."""
        now_s = self._clock.seconds()
        self._drop_old(now_s)
        end = self._ends.get(loss.endpoint)
        if end is None:
            end = self._ends[loss.endpoint] = EndpointEnd(now_s, loss.service)
        end.add(loss)

    def _drop_old(self, now_s):
        old = [
            endpoint
            for endpoint, end in self._ends.items()
            if end.at_s < now_s - EVIDENCE_LIFETIME_S
        ]
        surplus = len(self._ends) - len(old) - MAX_ENDS + 1
        kept = [endpoint for endpoint in self._ends if endpoint not in old]
        for endpoint in old + kept[: max(surplus, 0)]:
            del self._ends[endpoint]
        if not self._ends:
            self._written_s.clear()

    def note_written(self, parts):
        """Record that an endpoint has run a request with some parts.

        Returns
        -------
        list of str
            Those of the parts that losses had counted against.
        """
        now_s = self._clock.seconds()
        if any(not RequestFingerprints.is_request(part) for part in parts):
            self._last_written_s = now_s
        self.note_history(parts)
        counted = [part for part in parts if self._counts_against(part)]
        for part in counted:
            self._written_s[part] = now_s
        return counted

    def note_history(self, parts):
        """Record that endpoints have run some parts, perhaps before the losses."""
        for part in parts:
            self._history_of(part).note(part)

    def has_history(self, part):
        """Return whether endpoints are known to have run a request with a part."""
        return self._history_of(part).has(part)

    def _history_of(self, part):
        is_request = RequestFingerprints.is_request(part)
        return self._known_requests if is_request else self._known_parts

    def _counts_against(self, part):
        written_s = self._written_s.get(part, float("-inf"))
        return any(
            end.at_s > written_s and end.losses_with(part)
            for end in self._ends.values()
        )

    def disproves_end(self, endpoint, sent_s):
        """Return whether an answer to a try that was sent at `sent_s` disproves an end.

        Parameters
        ----------
        endpoint : Incarnation
        sent_s : float
        """
        end = self._ends.get(endpoint)
        if end is None or sent_s >= end.at_s + MIN_RESTART_S:
            return False
        return self._clock.seconds() > end.at_s + ALIVE_MARGIN_S

    def discard(self, endpoint):
        """Discard the losses of an endpoint that has not ended."""
        self._ends.pop(endpoint, None)

    def find_suspect(self, parts, quarantined):
        """Find the parts that are most likely to end endpoints.

        Parameters
        ----------
        parts : iterable of str
            Parts to judge.
        quarantined : collection of frozenset of str

        Returns
        -------
        Suspect or None
        """
        counts = [self._count(part, quarantined) for part in parts]
        found = [
            count
            for count in counts
            if self._is_suspect(count, quarantined)
            and not self._is_dominated(count, quarantined)
            and not self._is_covered(count, quarantined)
        ]
        if not found:
            return None
        is_request = RequestFingerprints.is_request
        count = max(found, key=lambda each: (is_request(each.part), each.score))
        suspected = frozenset([count.part])
        if not is_request(count.part):
            suspected = self._parts_that_occur_with(count.part, count.ends)
        return Suspect(
            suspected, count.score, count.groups, len(count.scores), count.cases
        )

    def _is_dominated(self, count, quarantined):
        """Return whether a part without history explains these ends and more."""
        others = _common_parts(count.ends) - {count.part}
        return any(
            self._is_likelier(self._count(other, quarantined), count, quarantined)
            for other in others
            if not self.has_history(other)
        )

    def _is_likelier(self, other, count, quarantined):
        """Return whether a part that explains the ends of `count` explains enough more.

        A part that all of these requests have needs further ends of its own.
        """
        further = other.exceeds(count)
        if not count.is_within(other.part):
            return further > 0
        return further >= MIN_FURTHER_ENDS and not self._is_covered(other, quarantined)

    def _is_covered(self, count, quarantined):
        """Return whether narrower parts explain so much that too little remains.

        All requests with a narrower part have this one too, so that each end under the
        narrower one speaks against both.
        """
        if RequestFingerprints.is_request(count.part):
            return False
        rivals = self._rivals(count.part, count.ends, quarantined)
        explained = {
            id(end)
            for rival in rivals
            if self._is_narrower(rival, count)
            for end in rival.ends
        }
        rest = sum(id(end) not in explained for end in count.ends)
        enough = max(MIN_FURTHER_ENDS, MIN_FURTHER_RATIO * len(count.ends))
        return bool(explained) and rest < enough

    def _is_narrower(self, rival, count):
        return (
            not RequestFingerprints.is_request(rival.part)
            and _strength(rival.score) > 0.0
            and len(rival.ends) < len(count.ends)
            and rival.is_within(count.part)
        )

    def _count(self, part, quarantined):
        """Count the ends against a part that no quarantine explains.

        The ends of a whole request that is quarantined count again once there are
        those of a second one, or further ends: then the part is why it ended endpoints.
        """
        written_s = self._written_s.get(part, float("-inf"))
        own, inherited, cases = [], [], set()
        for end in self._ends.values():
            if end.at_s <= written_s or not end.losses_with(part):
                continue
            causes = end.causes(part, quarantined)
            if not causes:
                own.append(end)
            elif found := [key for key in causes if _is_case_of(part, key, end)]:
                inherited.append(end)
                cases.update(found)
        if len(own) < MIN_FURTHER_ENDS and len(cases) < MIN_CASES:
            return LossCount(part, self.has_history(part), own)
        ends = sorted(own + inherited, key=lambda end: end.at_s)
        return LossCount(part, self.has_history(part), ends, cases)

    def _is_suspect(self, count, quarantined):
        if count.score < SUSPECT_SCORE:
            return False
        needed_score = SUSPECT_SCORE
        if RequestFingerprints.is_request(count.part):
            if self._has_companions(count, quarantined):
                needed_score += SCORE_OF_COMPANIONS
        elif self._last_written_s < count.ends[0].at_s:
            return count.score >= MAX_SUSPECT_SCORE
        others = self._unexplained(count, quarantined)
        needed_score += SCORE_PER_OTHER_END * others
        return count.score >= min(needed_score, MAX_SUSPECT_SCORE)

    def _has_companions(self, count, quarantined):
        """Return whether the same ends speak against another whole request."""
        return any(
            self._count(other, quarantined).covers(count)
            for other in _common_parts(count.ends) - {count.part}
            if RequestFingerprints.is_request(other) and not self.has_history(other)
        )

    def _unexplained(self, count, quarantined):
        """Return the number of ends around those of a part that have no cause.

        Only ends of the same service count. An end that another part may have caused
        counts for as much less as the evidence for that part is strong, so that two
        parts do not hide each other.
        """
        own = set(map(id, count.ends))
        since_s = count.ends[0].at_s
        if RequestFingerprints.is_request(count.part):
            since_s -= OTHER_ENDS_BEFORE_S
        others = [
            end
            for end in self._ends.values()
            if end.at_s >= since_s
            and end.service == count.service
            and id(end) not in own
            and not end.causes(None, quarantined)
        ]
        explained = Counter()
        for rival in self._rivals(count.part, others, quarantined):
            strength = _strength(rival.score)
            for end in rival.ends:
                explained[id(end)] = max(explained[id(end)], strength)
        return sum(1.0 - explained[id(end)] for end in others)

    def _rivals(self, part, others, quarantined):
        """Return the counts of the parts that most likely caused other ends.

        No endpoint has run them, and more than one has ended under them.
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

        They occur beside it in a lost request of each endpoint, and nothing has been
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


def _common_parts(ends):
    """Return the parts that were lost with each of some endpoints."""
    first, *later = [end.parts for end in ends]
    return set(first).intersection(*later)


def _is_case_of(part, key, end):
    """Return whether a quarantine of a whole request is a case of a wider part."""
    name = next(iter(key))
    return RequestFingerprints.is_request(name) and end.occur_together(name, part)
