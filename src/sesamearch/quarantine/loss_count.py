"""What the ends of endpoints say about one part of the requests that were lost."""

from collections import Counter

from sesamearch.quarantine.fingerprint import RequestFingerprints

__all__ = ["LossCount"]

# A part with which endpoints ran before the losses is a less likely cause, unless
# something has changed.
KNOWN_PART_RATIO = 0.6
# One request counts for no more, however many endpoints were lost under it: the
# requests of a lost engine often go on together, and are lost together again.
MAX_SCORE_PER_REQUEST = 2.0
MAX_SCORE_PER_WHOLE_REQUEST = 3.0
# Endpoints that end together have a common cause, such as their data centre.
SIMULTANEOUS_S = 0.25


class LossCount:
    """Counts the ends that speak against one part.

    Parameters
    ----------
    part : str
    is_known : bool
        Whether endpoints have run requests with the part before.
    ends : list of EndpointEnd
        The ends that count, in order.
    cases : collection of frozenset of str
        Quarantines of whole requests with the part, whose ends are among these.

    Attributes
    ----------
    groups : int
        Number of ends that score.
    scores : dict from str to float
        Score by request: by its id if the part is a whole request.
    """

    __slots__ = (
        "_group_s",
        "_has_groups",
        "_is_request",
        "_max_score",
        "_ratio",
        "cases",
        "ends",
        "groups",
        "part",
        "scores",
    )

    def __init__(self, part, is_known, ends, cases=()):
        self.part = part
        self.cases = frozenset(cases)
        self._is_request = RequestFingerprints.is_request(part)
        self._ratio = KNOWN_PART_RATIO if is_known else 1.0
        # A request that no endpoint has run is at one or two of them at a time, so
        # that it is not lost with several by chance.
        self._has_groups = is_known or not self._is_request
        self._max_score = (
            MAX_SCORE_PER_WHOLE_REQUEST if self._is_request else MAX_SCORE_PER_REQUEST
        )
        self._group_s = float("-inf")
        self.ends = ends
        self.groups = 0
        self.scores = Counter()
        for end in ends:
            self._add(end)

    def _add(self, end):
        """Score an end; of endpoints that ended together only the first one scores."""
        if self._has_groups and end.at_s < self._group_s + SIMULTANEOUS_S:
            return
        self._group_s = end.at_s
        losses = end.losses_with(self.part)
        loss = min(losses, key=lambda loss: self.scores[self._source(loss)])
        self.scores[self._source(loss)] += loss.weight_of(self.part)
        self.groups += 1

    def _source(self, loss):
        """Return what limits the score of a loss: its request, whatever its ids."""
        return loss.request_id if self._is_request else loss.request_name

    @property
    def service(self):
        """Str : service of the endpoints."""
        return self.ends[0].service

    @property
    def score(self):
        """Float : weight of the evidence."""
        scores = (min(score, self._max_score) for score in self.scores.values())
        return self._ratio * sum(scores)

    def covers(self, other):
        """Return whether all ends of another count are among these."""
        return set(map(id, other.ends)) <= set(map(id, self.ends))

    def exceeds(self, other):
        """Return by how many ends this count covers more; zero if it does not."""
        return len(self.ends) - len(other.ends) if self.covers(other) else 0

    def is_within(self, part):
        """Return whether all requests that count have another part too."""
        return all(end.occur_together(self.part, part) for end in self.ends)
