"""Generates the requests of a run and probes the readiness of routers."""

import socket

from tests.platform.world import KEY

from soak.caller import Attempt, RequestKind, open_connection

__all__ = ["Traffic"]

PROBE_INTERVAL_S = 0.5
READY_TIMEOUT_S = 0.4
# Missed probes after which a router gets no more requests.
UNREADY_AFTER_PROBES = 2
# Shares of requests with the newest key, the previous key and an unknown key, and of
# requests whose caller disconnects early.
NEWEST_KEY_RATIO = 0.1
OLD_KEY_RATIO = 0.1
WRONG_KEY_RATIO = 0.02
EARLY_LEAVE_RATIO = 0.08
MAX_LEAVE_AFTER_S = 0.4
MAX_KEEPALIVE_CONNECTIONS = 6
FATAL_RATIO = 0.3
WRONG_KEY = "key-of-nobody"


class Traffic:
    """Sends requests at random times until it is stopped.

    Parameters
    ----------
    reactor : twisted reactor
    deployment : soak.deployment.Deployment
    rng : random.Random
    rates : dict from RequestKind to float
        Mean requests per second.
    """

    def __init__(self, reactor, deployment, rng, rates):
        self._reactor = reactor
        self._deployment = deployment
        self._rng = rng
        self._rates = rates
        self._connections = {}
        self._missed_probes = {}
        self._count = 0
        self._calls = []
        self.is_over = False
        self.in_flight = 0
        # Whether some prompts are such that engines end under them.
        self.has_fatal_prompts = False
        # Whether some requests are one that ends each service process that runs it.
        self.has_fatal_requests = False

    def start(self):
        """Start sending requests of each kind."""
        for kind in self._rates:
            self._schedule_request(kind)

    def stop(self):
        """Stop sending requests."""
        self.is_over = True

    def _schedule_request(self, kind):
        wait_s = self._rng.expovariate(self._rates[kind])
        self._reactor.callLater(wait_s, self._send_next, kind)

    def _send_next(self, kind):
        if self.is_over:
            return
        self._schedule_request(kind)
        self.send_request(
            kind, self._pick_router(), self._pick_key(), self._pick_leave_after_s()
        )

    def _pick_router(self):
        routers = self._deployment.routers
        ready = [
            r
            for r in routers
            if self._missed_probes.get(r.number, 0) < UNREADY_AFTER_PROBES
        ]
        return self._rng.choice(ready or routers)

    def _pick_key(self):
        drawn = self._rng.random()
        version = self._deployment.version
        if drawn < WRONG_KEY_RATIO:
            return WRONG_KEY
        if drawn < WRONG_KEY_RATIO + NEWEST_KEY_RATIO:
            return f"key-{version}"
        if drawn < WRONG_KEY_RATIO + NEWEST_KEY_RATIO + OLD_KEY_RATIO and version > 1:
            return f"key-{version - 1}"
        return KEY

    def _pick_leave_after_s(self):
        if self._rng.random() >= EARLY_LEAVE_RATIO:
            return None
        return self._rng.uniform(0, MAX_LEAVE_AFTER_S)

    def send_request(self, kind, router, key=KEY, leave_after_s=None):
        """Send one request.

        Parameters
        ----------
        kind : RequestKind
        router : soak.deployment.Router
        key : str
        leave_after_s : float or None
            Delay until the caller disconnects early, None if it does not.

        Returns
        -------
        Attempt
        """
        self._count += 1
        number = router.number
        name = f"{kind.value}-{self._count}"
        is_fatal = self._may_be_fatal(kind) and self._rng.random() < FATAL_RATIO
        now_s = self._reactor.seconds()
        attempt = Attempt(name, kind, number, key, now_s, is_fatal)
        self._deployment.history.attempts[name] = attempt
        self.in_flight += 1
        connections = self._connections.setdefault(number, [])
        connections[:] = [each for each in connections if each.is_open]
        free = [each for each in connections if each.is_free]
        if free:
            free[0].send_request(attempt, self._request_ended, leave_after_s)
            return attempt
        connection = open_connection(self._reactor, number, router.address)
        if len(connections) < MAX_KEEPALIVE_CONNECTIONS:
            connections.append(connection)
        connection.send_when_connected(attempt, self._request_ended, leave_after_s)
        return attempt

    def _may_be_fatal(self, kind):
        if kind is RequestKind.DRAFT:
            return self.has_fatal_prompts
        return kind is RequestKind.LOOK and self.has_fatal_requests

    def _request_ended(self, attempt):
        self.in_flight -= 1

    def probe(self):
        """Probe the readiness of each router, as the platform's load balancer does."""
        for router in self._deployment.routers:
            self._reactor.callInThread(self._probe, router)

    def _probe(self, router):
        is_ready = _is_ready(router.readiness)
        self._reactor.callFromThread(self._record_probe, router.number, is_ready)

    def _record_probe(self, number, is_ready):
        self._missed_probes[number] = (
            0 if is_ready else self._missed_probes.get(number, 0) + 1
        )

    @property
    def ready_count(self):
        """Int : number of routers whose last probe succeeded."""
        return sum(1 for missed in self._missed_probes.values() if missed == 0)


def _is_ready(address):
    host, _, port = address.rpartition(":")
    try:
        with socket.create_connection((host, int(port)), READY_TIMEOUT_S) as connection:
            connection.settimeout(READY_TIMEOUT_S)
            connection.sendall(b"GET / HTTP/1.1\r\nHost: r\r\n\r\n")
            return connection.recv(64).startswith(b"HTTP/1.1 200")
    except OSError:
        return False
