"""Where prompts were read, so that who goes on is sent to the memory of it."""

import msgspec

__all__ = ["PromptLocations"]

# Engines let unused parts of prompts yield; what was read longer ago may be gone.
RETENTION_S = 10.0


class _Location(msgspec.Struct):
    endpoint: str
    expires_s: float


class PromptLocations:
    """Endpoints by the last part of the prompt that they read.

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
        """Note a generation that was sent to an endpoint."""
        if part:
            self._running[part] = endpoint
            self.update(part, endpoint)

    def end(self, part):
        """Note the end of a generation; its prompt is remembered for a while."""
        endpoint = self._running.pop(part, None)
        if endpoint is not None:
            self.update(part, endpoint)

    def update(self, part, endpoint):
        """Remember where a prompt was read, here or by another router."""
        self._locations[part] = _Location(endpoint, self._clock.seconds() + RETENTION_S)

    def running(self):
        """Return the places of this router's generations, by part."""
        return self._running

    def find(self, part):
        """Return the name of the endpoint that read a prompt, or an empty text."""
        location = self._locations.get(part)
        if location is None or location.expires_s < self._clock.seconds():
            return ""
        return location.endpoint

    def drop_expired(self):
        """Drop what is not kept any more."""
        now_s = self._clock.seconds()
        old = [
            part
            for part, location in self._locations.items()
            if location.expires_s < now_s
        ]
        for part in old:
            del self._locations[part]
