"""Endpoints that said in an answer that they leave."""

import msgspec

from sesamearch.base.log import logger
from sesamearch.base.record import EndpointLeaving

__all__ = ["LeavingTracker"]

# Names that are kept; bounds the memory, since names are seldom used again.
MAX_KEPT_NAMES = 4096


class LeavingTracker:
    """Remembers which processes leave, until a later process of their name is listed.

    The list of endpoints may say so later, never, or say again that they are ready.
    The mark belongs to a name and a start time, and not to an address.

    Parameters
    ----------
    counters : ForwardCounters

    Attributes
    ----------
    on_answer : callable or None
        Called with an :class:`Incarnation` that said to this router that it leaves.
    on_change : callable or None
        Called without arguments after a process was marked.
    """

    __slots__ = ("_born_ms", "_counters", "on_answer", "on_change")

    def __init__(self, counters):
        self._counters = counters
        self.on_answer = None
        self.on_change = None
        # Start times of the processes that leave, by name; zero is the process of the
        # name whose start time is not known yet.
        self._born_ms = {}

    def note_answer(self, endpoint, answer):
        """Mark the process that answered, if it says that it leaves."""
        if not answer.is_leaving:
            return
        incarnation = answer.incarnation_at(endpoint)
        is_new = incarnation is not None and self._mark(incarnation, "answer")
        if is_new and self.on_answer is not None:
            self.on_answer(incarnation)

    def update(self, incarnation):
        """Mark a process that said to another router that it leaves."""
        self._mark(incarnation, "peer")

    def _mark(self, incarnation, source):
        """Mark a process; return whether it was not marked before."""
        name, born_ms = incarnation.name, incarnation.born_ms
        known = self._born_ms.setdefault(name, set())
        if born_ms in known:
            return False
        known.add(born_ms)
        if len(self._born_ms) > MAX_KEPT_NAMES:
            del self._born_ms[next(iter(self._born_ms))]
        self._counters.leaving_endpoints += 1
        logger.info(EndpointLeaving(name, "leaving", source, born_ms))
        if self.on_change is not None:
            self.on_change()
        return True

    def apply(self, endpoints):
        """Return the listed endpoints, with those that leave marked as leaving.

        Parameters
        ----------
        endpoints : dict from str to Endpoint

        Returns
        -------
        dict from str to Endpoint
        """
        marked = {
            name: msgspec.structs.replace(endpoints[name], leaving=True)
            for name in endpoints.keys() & self._born_ms.keys()
            if self._is_leaving(endpoints[name].incarnation)
        }
        return {**endpoints, **marked} if marked else endpoints

    def _is_leaving(self, incarnation):
        known = self._born_ms[incarnation.name]
        if incarnation.born_ms:
            self._settle(incarnation, known)
        is_leaving = incarnation.born_ms in known or not incarnation.born_ms
        if not known:
            del self._born_ms[incarnation.name]
        return is_leaving and bool(known)

    def _settle(self, listed, known):
        """Drop the marks of processes that a listed one has replaced.

        A mark without a start time is of the process that is listed next.
        """
        if 0 in known:
            known.remove(0)
            known.add(listed.born_ms)
        replaced = [born_ms for born_ms in known if born_ms < listed.born_ms]
        known.difference_update(replaced)
        if replaced and listed.born_ms not in known:
            record = EndpointLeaving(listed.name, "restarted", "list", listed.born_ms)
            logger.info(record)
