"""Callers of a run: who asks what of which router, and whether it says ready."""

import socket

from tests.platform.world import KEY

from soak.caller import Attempt, open_connection

__all__ = ["Traffic"]

PROBE_INTERVAL_S = 0.5
READY_TIMEOUT_S = 0.4
MISSES = 2
# Of the requests: with the newest key, with the one before it, with none that was
# ever given; and of callers who leave early.
NEWEST_KEY_RATIO = 0.1
OLD_KEY_RATIO = 0.1
WRONG_KEY_RATIO = 0.02
LEAVING_RATIO = 0.08
LONGEST_STAY_S = 0.4
KEPT_CONNECTIONS = 6
WRONG_KEY = "key-of-nobody"


class Traffic:
    """Asks at random moments until it is stopped.

    Parameters
    ----------
    reactor : twisted reactor
    deployment : soak.deployment.Deployment
    chance : random.Random
    rates : dict from RequestKind to float
        Requests a second.
    """

    def __init__(self, reactor, deployment, chance, rates):
        self._reactor = reactor
        self._deployment = deployment
        self._chance = chance
        self._rates = rates
        self._kept = {}
        self._misses = {}
        self._count = 0
        self._calls = []
        self.is_over = False
        self.running = 0

    def start(self):
        """Begin to ask."""
        for kind in self._rates:
            self._ask_later(kind)

    def stop(self):
        """Ask nothing more."""
        self.is_over = True

    def _ask_later(self, kind):
        wait_s = self._chance.expovariate(self._rates[kind])
        self._reactor.callLater(wait_s, self._ask_next, kind)

    def _ask_next(self, kind):
        if self.is_over:
            return
        self._ask_later(kind)
        self.ask(kind, self._pick_router(), self._pick_key(), self._pick_stay_s())

    def _pick_router(self):
        routers = self._deployment.routers
        ready = [r for r in routers if self._misses.get(r.number, 0) < MISSES]
        return self._chance.choice(ready or routers)

    def _pick_key(self):
        drawn = self._chance.random()
        version = self._deployment.version
        if drawn < WRONG_KEY_RATIO:
            return WRONG_KEY
        if drawn < WRONG_KEY_RATIO + NEWEST_KEY_RATIO:
            return f"key-{version}"
        if drawn < WRONG_KEY_RATIO + NEWEST_KEY_RATIO + OLD_KEY_RATIO and version > 1:
            return f"key-{version - 1}"
        return KEY

    def _pick_stay_s(self):
        if self._chance.random() >= LEAVING_RATIO:
            return None
        return self._chance.uniform(0, LONGEST_STAY_S)

    def ask(self, kind, router, key=KEY, stay_s=None):
        """Send one request.

        Parameters
        ----------
        kind : RequestKind
        router : soak.deployment.Router
        key : str
        stay_s : float or None
            After how long the caller leaves, if it does before its timeout.

        Returns
        -------
        Attempt
        """
        self._count += 1
        number = router.number
        name = f"{kind.value}-{self._count}"
        attempt = Attempt(name, kind, number, key, self._reactor.seconds())
        self._deployment.history.attempts[name] = attempt
        self.running += 1
        kept = self._kept.setdefault(number, [])
        kept[:] = [each for each in kept if each.is_open]
        free = [each for each in kept if each.is_free]
        if free:
            free[0].ask(attempt, self._ended, stay_s)
            return attempt
        connection = open_connection(self._reactor, number, router.address)
        if len(kept) < KEPT_CONNECTIONS:
            kept.append(connection)
        connection.wait_to_ask(attempt, self._ended, stay_s)
        return attempt

    def _ended(self, attempt):
        self.running -= 1

    def probe(self):
        """Ask each router whether it is ready, as the platform's balancer does."""
        for router in self._deployment.routers:
            self._reactor.callInThread(self._probe, router)

    def _probe(self, router):
        is_ready = _is_ready(router.readiness)
        self._reactor.callFromThread(self._take_probe, router.number, is_ready)

    def _take_probe(self, number, is_ready):
        self._misses[number] = 0 if is_ready else self._misses.get(number, 0) + 1

    @property
    def ready(self):
        """Int : routers that said that they are ready."""
        return sum(1 for misses in self._misses.values() if misses == 0)


def _is_ready(address):
    host, _, port = address.rpartition(":")
    try:
        with socket.create_connection((host, int(port)), READY_TIMEOUT_S) as asking:
            asking.settimeout(READY_TIMEOUT_S)
            asking.sendall(b"GET / HTTP/1.1\r\nHost: r\r\n\r\n")
            return asking.recv(64).startswith(b"HTTP/1.1 200")
    except OSError:
        return False
