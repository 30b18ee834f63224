"""Endpoints whose end this router knows, though an older copy of the list does not."""

import msgspec

__all__ = ["Departures"]

# A restored list is some seconds old, so that it can contain only endpoints that were
# removed less than this time ago.
MEMORY_S = 60.0
# The platform removes the entry of an endpoint that no longer writes within this time.
# An entry that is still listed then belongs to a live endpoint.
STALE_ENTRY_TIMEOUT_S = 30.0


class _Process(msgspec.Struct, frozen=True):
    """What tells a process from others that have its name at other times."""

    name: str
    address: str
    born_ms: int


class _Departure(msgspec.Struct):
    # Whether it was removed, rather than announced to be leaving.
    is_gone: bool
    # When it is forgotten.
    until_s: float = float("inf")
    # Whether the store has been restored since.
    is_in_force: bool = False


class Departures:
    """Knows the processes that are leaving or gone, and corrects restored lists.

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
        """Remember an endpoint that was removed, or replaced by a later process."""
        until_s = self._clock.seconds() + MEMORY_S
        self._departures[_process_of(endpoint)] = _Departure(True, until_s)

    def note_listed(self, endpoints):
        """Forget what a list settles, and what is too long ago to be in a copy.

        Parameters
        ----------
        endpoints : dict from str to Endpoint
        """
        if not self._departures:
            return
        now_s = self._clock.seconds()
        listed = {_process_of(each): each for each in endpoints.values()}
        self._departures = {
            process: each
            for process, each in self._departures.items()
            if now_s < each.until_s and not _is_settled(each, listed.get(process))
        }

    def note_restored(self, listed, copied):
        """Keep what is known of processes against the copy that a store returned to.

        Parameters
        ----------
        listed, copied : dict from str to Endpoint
            The last list of the earlier era, and the first one of the new era.
        """
        for endpoint in listed.values():
            if endpoint.leaving:
                self._departures[_process_of(endpoint)] = _Departure(False)
        for name in listed.keys() & copied.keys():
            if copied[name].born_ms < listed[name].born_ms:
                self.note_gone(copied[name])
        until_s = self._clock.seconds() + STALE_ENTRY_TIMEOUT_S
        for each in self._departures.values():
            each.is_in_force = True
            if each.is_gone:
                each.until_s = until_s

    def correct(self, endpoints):
        """Return a list without the processes that are gone, the leaving ones marked.

        Parameters
        ----------
        endpoints : dict from str to Endpoint
        """
        now_s = self._clock.seconds()
        corrected = dict(endpoints)
        if not any(each.is_in_force for each in self._departures.values()):
            return corrected
        for name, endpoint in endpoints.items():
            known = self._departures.get(_process_of(endpoint))
            if known is None or not known.is_in_force or now_s >= known.until_s:
                continue
            if known.is_gone:
                del corrected[name]
            else:
                corrected[name] = msgspec.structs.replace(endpoint, leaving=True)
        return corrected


def _process_of(endpoint):
    return _Process(endpoint.name, endpoint.address, endpoint.born_ms)


def _is_settled(departure, listed):
    """Return whether the list says of a process what the departure says."""
    if listed is None:
        return False
    if departure.is_gone:
        # It was only missing for a time, unless the entry is a restored one.
        return not departure.is_in_force
    return listed.leaving
