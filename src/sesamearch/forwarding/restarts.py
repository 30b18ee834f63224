"""Endpoints that crash and are back under another name while the store is away.

The store cannot tell of the new name then. An address is given to another service only
some time after its process has ended, so whoever answers there sooner is the process
that crashed, started again.
"""

from sesamearch.base.log import logger
from sesamearch.base.record import EndpointReturned

__all__ = ["RestartDetector"]

# Times after the last sign of life at which an endpoint that was note_lost is asked.
ASK_AFTER_S = (1.0, 1.25, 1.45, 1.65, 1.8)
ASK_TIMEOUT_S = 0.15
# Clocks aside, an answer that comes so shortly before the limit is not trusted.
MARGIN_S = 0.15


class RestartDetector:
    """Asks note_lost endpoints who they are.

    Parameters
    ----------
    client : EndpointClient
    clock : twisted.internet.interfaces.IReactorTime
    reuse_after_s : float
        Time from a process's end until its address may belong to another service.
    health_path_of : callable
        Gives the path that tells a service's instance, empty for none.
    on_restart : callable
        Called with an endpoint and its new name.
    """

    __slots__ = (
        "_last_alive_s",
        "_asking",
        "_client",
        "_clock",
        "_health_path_of",
        "_on_restart",
        "_window_s",
    )

    def __init__(self, client, clock, reuse_after_s, health_path_of, on_restart):
        self._client = client
        self._clock = clock
        self._window_s = reuse_after_s - MARGIN_S
        self._health_path_of = health_path_of
        self._on_restart = on_restart
        self._last_alive_s = {}
        self._asking = set()

    def note_alive(self, name):
        """Note a sign of life of an endpoint under its name."""
        self._last_alive_s[name] = self._clock.seconds()

    def note_lost(self, endpoint):
        """Ask an endpoint that was note_lost who it is, until it says or time is over."""
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
        asked = self._client.identify(endpoint, self._path(endpoint), ASK_TIMEOUT_S)
        asked.addCallback(self._handle_name, endpoint, alive_s)

    def _handle_name(self, name, endpoint, alive_s):
        if name and name != endpoint.name:
            self._asking.discard(endpoint.name)
            self.note_new_name(endpoint, name, alive_s)
        elif name:
            self._asking.discard(endpoint.name)
        else:
            self._ask_later(endpoint, alive_s)

    def note_new_name(self, endpoint, name, alive_s=None):
        """Take that another name answered at an endpoint's address."""
        if alive_s is None:
            alive_s = self._last_alive_s.get(endpoint.name)
        if not name or alive_s is None:
            return
        silent_s = self._clock.seconds() - alive_s
        if silent_s < self._window_s:
            silent_ms = round(silent_s * 1000)
            logger.info(EndpointReturned(endpoint.name, name, silent_ms))
            self._on_restart(endpoint, name)

    def keep_only(self, endpoints):
        """Forget endpoints that are not listed any more."""
        for name in self._last_alive_s.keys() - endpoints.keys():
            del self._last_alive_s[name]
