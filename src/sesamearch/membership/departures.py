"""Endpoints whose end this router knows, though an older copy of the list does not."""

import msgspec

from sesamearch.configuration.blackboard import Endpoint

__all__ = ["Departures"]

# A restored list is some seconds old, so that it can contain only endpoints that were
# removed less than this time ago.
MEMORY_S = 60.0
# The platform removes the entry of an endpoint that no longer writes within this time.
# An entry that is still listed then belongs to a live endpoint.
STALE_ENTRY_TIMEOUT_S = 30.0


class _Departure(msgspec.Struct):
    endpoint: Endpoint
    # Whether it was removed, rather than announced to be leaving.
    is_gone: bool
    # When the removal is forgotten.
    until_s: float = float("inf")
    # Whether the store has been restored since.
    is_in_force: bool = False


class Departures:
    """Knows the endpoints that are leaving or gone, and corrects restored lists.

    A process that leaves never becomes ready again, so that an entry of the same
    process that says otherwise comes from the copy.

    Parameters
    ----------
    clock : twisted.internet.interfaces.IReactorTime
    """

    __slots__ = ("_clock", "_departures")

    def __init__(self, clock):
        self._clock = clock
        self._departures = {}

    @property
    def deadline_s(self):
        """Float : when the next correction ends by itself, infinite if none does."""
        found = self._departures.values()
        return min(
            (each.until_s for each in found if each.is_in_force), default=float("inf")
        )

    def note_gone(self, endpoint):
        """Remember an endpoint that was removed."""
        until_s = self._clock.seconds() + MEMORY_S
        self._departures[endpoint.name] = _Departure(endpoint, True, until_s)

    def note_listed(self, endpoints):
        """Forget what a list confirms: endpoints that left, or another process."""
        now_s = self._clock.seconds()
        self._departures = {
            name: each
            for name, each in self._departures.items()
            if now_s < each.until_s and not _is_settled(each, endpoints.get(name))
        }

    def note_restored(self, listed):
        """Keep what is known of endpoints against the copy that a store returned to.

        Parameters
        ----------
        listed : dict from str to Endpoint
            The last list of the earlier era.
        """
        for endpoint in listed.values():
            if endpoint.leaving:
                self._departures[endpoint.name] = _Departure(endpoint, False)
        until_s = self._clock.seconds() + STALE_ENTRY_TIMEOUT_S
        for each in self._departures.values():
            each.is_in_force = True
            if each.is_gone:
                each.until_s = until_s

    def correct(self, endpoints):
        """Return a list without the endpoints that are gone, the leaving ones marked.

        Parameters
        ----------
        endpoints : dict from str to Endpoint
        """
        now_s = self._clock.seconds()
        corrected = dict(endpoints)
        for name, each in self._departures.items():
            known = endpoints.get(name)
            if not each.is_in_force or known is None or now_s >= each.until_s:
                continue
            if each.is_gone:
                del corrected[name]
            else:
                corrected[name] = msgspec.structs.replace(known, leaving=True)
        return corrected


def _is_settled(departure, listed):
    """Return whether a list makes a departure needless."""
    if listed is None:
        # One that is gone may be in the copy of a later restore.
        return departure.is_in_force and not departure.is_gone
    if not _is_same_process(departure.endpoint, listed):
        return True
    if departure.is_gone:
        return not departure.is_in_force
    return listed.leaving


def _is_same_process(known, listed):
    return known.address == listed.address and known.born_ms == listed.born_ms
