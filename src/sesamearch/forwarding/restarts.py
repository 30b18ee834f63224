"""Detection of endpoints that restart under a new name during a store outage.

During an outage the store cannot list the new name. The platform gives an address to
another service only some time after its process has ended. A process that answers
there sooner is therefore the crashed endpoint, restarted.
"""

from sesamearch.base.log import logger
from sesamearch.base.record import EndpointReturned

__all__ = ["RestartDetector"]

# A lost endpoint is asked for its name at these times after the last data from it: a
# new name means that it restarted. The times lie within the window in which an answer
# is trusted, 1.85 s by default.
ASK_AFTER_S = (1.0, 1.25, 1.45, 1.65, 1.8)
ASK_TIMEOUT_S = 0.15
# An answer this close to the possible reuse of the address is not trusted.
REUSE_MARGIN_S = 0.15


class RestartDetector:
    """Asks lost endpoints for their name, to find those that restarted.

    Parameters
    ----------
    client : EndpointClient
    clock : twisted.internet.interfaces.IReactorTime
    reuse_after_s : float
        Time from a process's end until its address may belong to another service.
    health_path_of : callable
        Returns the path at which a service names its instance; empty for none.
    on_restart : callable
        Called with an endpoint and its new name.
    on_alive : callable
        Called with a lost endpoint that answers under its listed name.
    """

    __slots__ = (
        "_asking",
        "_client",
        "_clock",
        "_health_path_of",
        "_last_alive_s",
        "_on_alive",
        "_on_restart",
        "_window_s",
    )

    def __init__(
        self, client, clock, reuse_after_s, health_path_of, on_restart, on_alive
    ):
        self._client = client
        self._clock = clock
        self._window_s = reuse_after_s - REUSE_MARGIN_S
        self._health_path_of = health_path_of
        self._on_restart = on_restart
        self._on_alive = on_alive
        self._last_alive_s = {}
        self._asking = set()

    def note_alive(self, name):
        """Record that data arrived from an endpoint under its listed name."""
        self._last_alive_s[name] = self._clock.seconds()

    def note_lost(self, endpoint):
        """Ask a lost endpoint for its name until it answers or the window ends."""
        alive_s = self._last_alive_s.get(endpoint.name)
        now_s = self._clock.seconds()
        if alive_s is None or now_s >= alive_s + self._window_s:
            return
        if endpoint.name in self._asking or not self._path(endpoint):
            return
        self._asking.add(endpoint.name)
        self._ask_later(endpoint, alive_s)

    def _path(self, endpoint):
        return self._health_path_of(endpoint.service)

    def _ask_later(self, endpoint, alive_s):
        now_s = self._clock.seconds()
        for after_s in ASK_AFTER_S:
            if alive_s + after_s > now_s:
                delay_s = alive_s + after_s - now_s
                self._clock.callLater(delay_s, self._ask, endpoint, alive_s)
                return
        self._asking.discard(endpoint.name)

    def _ask(self, endpoint, alive_s):
        if self._last_alive_s.get(endpoint.name, alive_s) != alive_s:
            # Data arrived under the listed name meanwhile.
            self._asking.discard(endpoint.name)
            return
        asked = self._client.identify(endpoint, self._path(endpoint), ASK_TIMEOUT_S)
        asked.addCallback(self._handle_name, endpoint, alive_s)

    def _handle_name(self, name, endpoint, alive_s):
        if name and name != endpoint.name:
            self._asking.discard(endpoint.name)
            self.note_new_name(endpoint, name, alive_s)
        elif name:
            self._asking.discard(endpoint.name)
            self._on_alive(endpoint)
        else:
            self._ask_later(endpoint, alive_s)

    def note_new_name(self, endpoint, name, alive_s=None):
        """Report an endpoint as restarted if its address answers under a new name.

        An answer after the window is ignored, because the address may then belong to
        another service.
        """
        if alive_s is None:
            alive_s = self._last_alive_s.get(endpoint.name)
        if not name or alive_s is None:
            return
        silent_s = self._clock.seconds() - alive_s
        if silent_s < self._window_s:
            silent_ms = round(silent_s * 1000)
            logger.info(EndpointReturned(endpoint.name, name, silent_ms))
            self._on_restart(endpoint, name)

    def discard_unlisted(self, endpoints):
        """Discard endpoints that are no longer listed."""
        for name in self._last_alive_s.keys() - endpoints.keys():
            del self._last_alive_s[name]
