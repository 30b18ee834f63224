"""Detection of data centres that this router cannot reach."""

from sesamearch.base.log import logger
from sesamearch.base.record import DataCentreReachability

__all__ = ["PROBE_INTERVAL_S", "OutageDetector"]

# A data centre is taken for unreachable after so many of its endpoints failed to answer
# with none of them answering in between.
MIN_ENDPOINTS = 2
# Older failures may have another cause.
EVIDENCE_TIMEOUT_S = 3.0
PROBE_INTERVAL_S = 0.5
PROBE_TIMEOUT_S = 0.3


class OutageDetector:
    """Finds unreachable data centres from endpoints that do not answer.

    Requests avoid such a data centre, instead of each waiting for its own timeouts. One
    of its endpoints is probed at intervals; any answer ends the avoidance.

    Parameters
    ----------
    probe : callable
        Called with an endpoint and a timeout; returns a Deferred of whether it answers.
    clock : twisted.internet.interfaces.IReactorTime
    endpoints : callable
        Returns the listed endpoints by name.
    rng : random.Random
    """

    __slots__ = (
        "_clock",
        "_endpoints",
        "_failed_s",
        "_next_probe_s",
        "_probe_endpoint",
        "_random",
    )

    def __init__(self, probe, clock, endpoints, rng):
        self._probe_endpoint = probe
        self._clock = clock
        self._endpoints = endpoints
        self._random = rng
        # Time of the last failure by data centre and name of the endpoint, since the
        # last answer.
        self._failed_s = {}
        self._next_probe_s = {}

    def note_alive(self, endpoint):
        """Record that an endpoint answered."""
        data_centre = endpoint.data_centre
        if self._failed_s.pop(data_centre, None) is not None:
            if self._next_probe_s.pop(data_centre, None) is not None:
                logger.info(DataCentreReachability(data_centre, "reachable"))

    def note_unreachable(self, endpoint):
        """Record that an endpoint could not be connected to or has fallen silent."""
        data_centre = endpoint.data_centre
        now_s = self._clock.seconds()
        failed_s = self._failed_s.setdefault(data_centre, {})
        failed_s[endpoint.name] = now_s
        if data_centre in self._next_probe_s:
            return
        recent = [
            n for n, at_s in failed_s.items() if at_s > now_s - EVIDENCE_TIMEOUT_S
        ]
        if len(recent) >= MIN_ENDPOINTS:
            logger.info(DataCentreReachability(data_centre, "unreachable"))
            self._next_probe_s[data_centre] = now_s
            self.check()

    def is_unreachable(self, data_centre):
        """Return whether requests should avoid a data centre."""
        return data_centre in self._next_probe_s

    def check(self):
        """Probe the unreachable data centres that are due; called at intervals."""
        now_s = self._clock.seconds()
        for data_centre, due_s in list(self._next_probe_s.items()):
            if now_s >= due_s:
                self._next_probe_s[data_centre] = now_s + PROBE_INTERVAL_S
                self._probe(data_centre)

    def _probe(self, data_centre):
        listed = self._endpoints().values()
        local = [each for each in listed if each.data_centre == data_centre]
        if not local:
            self._failed_s.pop(data_centre, None)
            del self._next_probe_s[data_centre]
            return
        endpoint = self._random.choice(local)
        answered = self._probe_endpoint(endpoint, PROBE_TIMEOUT_S)
        answered.addCallback(self._handle_probe, endpoint)

    def _handle_probe(self, is_alive, endpoint):
        if is_alive:
            self.note_alive(endpoint)
