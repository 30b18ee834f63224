"""Losses of requests with the endpoints that they were sent to."""

import msgspec

from sesamearch.configuration.blackboard import Incarnation
from sesamearch.quarantine.fingerprint import RequestFingerprints

__all__ = ["EndpointEnd", "EndpointLoss"]

# A loss right after the head of the answer is a full sign that the request ended the
# engine. One without the head is less: the engine may have ended under another request.
WRITING_WEIGHT = 1.0
UNANSWERED_WEIGHT = 0.6
MAX_LOSSES_PER_END = 64


class EndpointLoss(msgspec.Struct, frozen=True, array_like=True):
    """A request that was lost with the endpoint that it was sent to.

    Parameters
    ----------
    endpoint : Incarnation
    request_id : str
    parts : list of str
        What other requests may share: parts of the prompt, and the whole request.
    was_writing : bool
        Whether the endpoint had just begun to write the answer.
    service : str
        Service of the endpoint; empty if a router of an earlier build reports it.
    """

    endpoint: Incarnation
    request_id: str
    parts: list[str]
    was_writing: bool
    service: str = ""

    @property
    def request_name(self):
        """Str : the same for a request that comes again under another id."""
        last = self.parts[-1]
        return last if RequestFingerprints.is_request(last) else self.request_id

    def weight_of(self, part):
        """Return how much the loss says about one of its parts.

        Few requests are the same, so that the loss of a whole request is a full sign.
        """
        if self.was_writing or RequestFingerprints.is_request(part):
            return WRITING_WEIGHT
        return UNANSWERED_WEIGHT


class EndpointEnd:
    """The losses with one endpoint, by their parts.

    Parameters
    ----------
    at_s : float
    service : str
    """

    __slots__ = ("_by_part", "_requests", "at_s", "service")

    def __init__(self, at_s, service):
        self.at_s = at_s
        self.service = service
        self._requests = set()
        self._by_part = {}

    def add(self, loss):
        """Add an :class:`EndpointLoss`; a request counts once."""
        is_known = loss.request_id in self._requests
        if is_known or len(self._requests) >= MAX_LOSSES_PER_END:
            return
        self._requests.add(loss.request_id)
        for part in loss.parts:
            self._by_part.setdefault(part, []).append(loss)

    @property
    def parts(self):
        """Collection of str : parts of all requests that were lost."""
        return self._by_part.keys()

    def losses_with(self, part):
        """Return the losses of requests that have a part."""
        return self._by_part.get(part, ())

    def causes(self, part, quarantined):
        """Return the quarantined parts that explain the end, other than `part`.

        Parameters
        ----------
        part : str or None
        quarantined : iterable of frozenset of str

        Returns
        -------
        list of frozenset of str
        """
        return [
            key
            for key in quarantined
            if part not in key
            and any(
                key.issubset(loss.parts) for loss in self.losses_with(next(iter(key)))
            )
        ]

    def occur_together(self, part, other):
        """Return whether each lost request with `part` has `other` too."""
        return all(other in loss.parts for loss in self.losses_with(part))
