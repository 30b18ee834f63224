"""HTTP interface for operators and the load balancer: health, status and metrics."""

import msgspec
from klein import Klein

__all__ = ["OperatorsPort", "RouterStatus"]


class MemberStatus(msgspec.Struct, frozen=True):
    """State of another router as known to this one.

    Parameters
    ----------
    name, data_centre : str
    configuration_revision : int
        Revision of the configuration that it has in force.
    draining : bool
        Whether it is shutting down.
    silent_s : float
        Time since its last heartbeat.
    """

    name: str
    data_centre: str
    configuration_revision: int
    draining: bool
    silent_s: float


class RouterStatus(msgspec.Struct, frozen=True):
    """State of one router, shown by ``sesamearch status``.

    Parameters
    ----------
    name, data_centre : str
        Name of the router, and its data centre.
    configuration_revision : int
        Revision of the configuration in force.
    store_is_current : bool
        Whether the configuration was read from the store and is being watched; if
        not, the last known configuration stays in force.
    draining : bool
        Whether the router is shutting down.
    in_flight : int
        Number of requests without a final answer.
    endpoints_live, endpoints_leaving : int
        Number of endpoints that get new work, and of those that do not.
    members : list of MemberStatus
        Other routers.
    counters : dict from str to int
        Counters by name.
    """

    name: str
    data_centre: str
    configuration_revision: int
    store_is_current: bool
    draining: bool
    in_flight: int
    endpoints_live: int
    endpoints_leaving: int
    members: list[MemberStatus]
    counters: dict[str, int]


class OperatorsPort:
    """Serves health, readiness, status and metrics.

    Parameters
    ----------
    settings : RouterSettings
    board : Blackboard
    gateway : Gateway
    follower : ConfigurationFollower
        Its ``is_current`` is reported as ``store_is_current``.
    metrics : MetricsExport
    clock : object with ``seconds()``
    """

    app = Klein()

    def __init__(self, settings, board, gateway, follower, metrics, clock):
        self._settings = settings
        self._board = board
        self._gateway = gateway
        self._follower = follower
        self._metrics = metrics
        self._clock = clock

    @app.route("/healthz", methods=["GET"])
    def health(self, request):
        """Answer 200 while the process responds."""
        return "ok\n"

    @app.route("/readyz", methods=["GET"])
    def ready(self, request):
        """Answer 200 while the load balancer should send requests, else 503."""
        if self._board.drain.value.draining:
            request.setResponseCode(503)
            return "draining\n"
        if self._board.configuration.value.revision == 0:
            request.setResponseCode(503)
            return "no configuration\n"
        return "ready\n"

    @app.route("/metrics", methods=["GET"])
    def metrics(self, request):
        """Answer with the metrics as Prometheus text."""
        request.setHeader("Content-Type", "text/plain; version=0.0.4")
        return self._metrics.render()

    @app.route("/status", methods=["GET"])
    def status(self, request):
        """Answer with the :class:`RouterStatus`."""
        request.setHeader("Content-Type", "application/json")
        return msgspec.json.encode(self._status())

    def _status(self):
        board, now_s = self._board, self._clock.seconds()
        endpoints = board.endpoints.value.values()
        leaving = sum(endpoint.leaving for endpoint in endpoints)
        members = [
            MemberStatus(
                member.name,
                member.data_centre,
                member.configuration_revision,
                member.draining,
                round(now_s - member.heard_s, 3),
            )
            for member in board.members.value.values()
        ]
        counters = board.counters
        return RouterStatus(
            self._settings.name,
            self._settings.data_centre,
            board.configuration.value.revision,
            self._follower.is_current,
            board.drain.value.draining,
            self._gateway.in_flight,
            len(endpoints) - leaving,
            leaving,
            members,
            {name: getattr(counters, name) for name in counters.__slots__},
        )
