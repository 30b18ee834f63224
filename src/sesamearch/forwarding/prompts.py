"""Locations of cached prompts, so that resumed generations can be sent there."""

import msgspec

__all__ = ["PromptLocations"]

# Engines evict unused prompts from their cache; older entries may be gone.
RETENTION_S = 10.0


class _Location(msgspec.Struct):
    endpoint: str
    expires_s: float


class PromptLocations:
    """Tracks which endpoint has read a prompt, by the prompt's last part.

    Parameters
    ----------
    clock : twisted.internet.interfaces.IReactorTime
    """

    __slots__ = ("_clock", "_locations", "_running")

    def __init__(self, clock):
        self._clock = clock
        self._locations = {}
        self._running = {}

    def begin(self, part, endpoint):
        """Record the start of a generation at an endpoint."""
        if part:
            self._running[part] = endpoint
            self.update(part, endpoint)

    def end(self, part):
        """Record the end of a generation; its location is kept for ``RETENTION_S``."""
        endpoint = self._running.pop(part, None)
        if endpoint is not None:
            self.update(part, endpoint)

    def update(self, part, endpoint):
        """Record the location of a prompt sent by this or another router."""
        self._locations[part] = _Location(endpoint, self._clock.seconds() + RETENTION_S)

    def running(self):
        """Return the endpoints of this router's running generations, by prompt part."""
        return self._running

    def find(self, part):
        """Return the name of the endpoint that read a prompt; empty if unknown."""
        location = self._locations.get(part)
        if location is None or location.expires_s < self._clock.seconds():
            return ""
        return location.endpoint

    def drop_expired(self):
        """Drop expired locations."""
        now_s = self._clock.seconds()
        old = [
            part
            for part, location in self._locations.items()
            if location.expires_s < now_s
        ]
        for part in old:
            del self._locations[part]
