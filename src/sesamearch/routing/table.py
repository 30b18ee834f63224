"""The routing table: which service gets a request, and who may send it."""

import enum

import msgspec

from sesamearch.base.errors import ErrorKind, Problem

__all__ = [
    "EngineTraits",
    "Organisation",
    "RequestLimits",
    "Route",
    "RouteKind",
    "RoutingTable",
    "ServiceSpec",
    "ServiceWeight",
]


class RouteKind(enum.Enum):
    """Kind of a route's requests, which decides whether they may be retried."""

    IDEMPOTENT = "idempotent"
    AT_MOST_ONCE = "at_most_once"
    GENERATION = "generation"


class ServiceWeight(msgspec.Struct, frozen=True):
    """A service and its share of a route's requests."""

    service: str
    weight: float


class Route(msgspec.Struct, frozen=True):
    """Maps a host and a path prefix to services.

    Parameters
    ----------
    name, host, prefix : str
        `prefix` begins and ends with a slash.
    kind : RouteKind
    services : list of ServiceWeight
    timeout_s : float
        Longest time that a caller waits for the answer.
    latency_goal_s : float
        Target for the time to the answer, for a generation to its first event.
    gap_goal_s : float
        Target for the longest pause between two events of a generation.
    priority : int
        0 is the most urgent.
    max_attempts : int
        Number of endpoints that one request may be sent to.
    is_public : bool
        Whether requests need no API key.
    is_resumable : bool
        Whether a generation may be resumed at another endpoint.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    services: list[ServiceWeight]
    timeout_s: float
    latency_goal_s: float
    gap_goal_s: float = 1.0
    priority: int = 5
    max_attempts: int = 1
    is_public: bool = False
    is_resumable: bool = False


class EngineTraits(msgspec.Struct, frozen=True):
    """Capacity and features of a service's engines.

    Parameters
    ----------
    slots : int
        Number of generations that one engine runs at the same time.
    memory_tokens : int
        Capacity of an engine's memory, for running generations and cached prompts.
    event_tokens : int
        Number of tokens in one event.
    supports_backups : bool
        Whether the memory of a run can be copied to another engine as it grows.
    supports_moves : bool
        Whether the memory of a run can be copied on request while it runs.
    """

    slots: int
    memory_tokens: int
    event_tokens: int = 1
    supports_backups: bool = False
    supports_moves: bool = False


# Traits of engines whose service states none: nothing but their slots binds them.
UNSTATED_ENGINE = EngineTraits(slots=1 << 20, memory_tokens=1 << 60)


class ServiceSpec(msgspec.Struct, frozen=True):
    """Properties of a service that are common to its endpoints.

    Parameters
    ----------
    name : str
    max_connections : int
        Number of connections that one endpoint accepts from all clients together.
    engine : EngineTraits or None
        None for a plain service.
    health_path : str
        Path at its endpoints whose response identifies the process.
    """

    name: str
    max_connections: int
    engine: EngineTraits | None = None
    health_path: str = ""

    @property
    def traits(self):
        """EngineTraits : those to use for generations."""
        return self.engine or UNSTATED_ENGINE


class Organisation(msgspec.Struct, frozen=True):
    """An organisation and its API keys.

    Parameters
    ----------
    name : str
    keys : list of str
    priority : int or None
        Overrides the priority of the route if set.
    """

    name: str
    keys: list[str]
    priority: int | None = None


class RequestLimits(msgspec.Struct, frozen=True):
    """Limits on request sizes, on the time to send a header, and on idle time."""

    header_bytes: int = 16 << 10
    body_bytes: int = 4 << 20
    header_timeout_s: float = 5.0
    idle_timeout_s: float = 30.0


# Lowest urgency that an engine tells apart.
LOWEST_URGENCY = 9


class RoutingTable:
    """One revision of the routing configuration, indexed for lookups.

    Parameters
    ----------
    revision : int
        Revision of the configuration; zero while none is known.
    routes : list of Route
    services : list of ServiceSpec
    organisations : list of Organisation or None
        None if requests need no API key.
    limits : RequestLimits
    encoded : bytes
        The configuration as the operators wrote it, to be sent to other routers.
    """

    __slots__ = (
        "_by_host",
        "_by_key",
        "_ranks_by_service",
        "requires_keys",
        "encoded",
        "limits",
        "organisations",
        "revision",
        "routes",
        "services",
    )

    def __init__(
        self,
        revision=0,
        routes=(),
        services=(),
        organisations=None,
        limits=None,
        encoded=b"",
    ):
        self.revision = revision
        self.routes = list(routes)
        self.services = {service.name: service for service in services}
        self.organisations = list(organisations or ())
        self.requires_keys = organisations is not None
        self.limits = limits or RequestLimits()
        self.encoded = encoded
        self._by_host = {}
        for route in self.routes:
            prefixes = self._by_host.setdefault(route.host, {})
            prefixes[route.prefix] = route
        self._by_key = {
            key: organisation
            for organisation in self.organisations
            for key in organisation.keys
        }
        self._ranks_by_service = {}

    def to_json(self):
        """Return the encoded form that is sent to other routers."""
        return self.encoded

    def match(self, host, path):
        """Return the :class:`Route` with the longest prefix of `path`, or None.

        Parameters
        ----------
        host : str
            Host name in lower case, without a port.
        path : str
            Path without a query.
        """
        prefixes = self._by_host.get(host)
        if prefixes is None:
            return None
        end = len(path)
        while (end := path.rfind("/", 0, end)) >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
        return None

    def organisation_of(self, key):
        """Return the :class:`Organisation` that an API key belongs to, or None."""
        return self._by_key.get(key)

    def urgency_of(self, route, organisation, service):
        """Return the urgency of a request among those for its service.

        The priority of an organisation goes before that of the route, which decides
        among requests whose organisations have the same one.

        Parameters
        ----------
        route : Route
        organisation : Organisation or None
        service : str

        Returns
        -------
        int
            Zero for the most urgent requests; at most ``LOWEST_URGENCY``.
        """
        ranks = self._ranks_by_service.get(service)
        if ranks is None:
            ranks = self._ranks_by_service[service] = self._ranks_of(service)
        pair = _priorities(route, organisation)
        return min(ranks.get(pair, LOWEST_URGENCY), LOWEST_URGENCY)

    def _ranks_of(self, service):
        """Return the position of each pair of priorities among a service's requests."""
        routes = [
            route
            for route in self.routes
            if any(share.service == service for share in route.services)
        ]
        organisations = [*self.organisations, None]
        pairs = {_priorities(route, each) for route in routes for each in organisations}
        return {pair: position for position, pair in enumerate(sorted(pairs))}

    def problem_of(self, route, organisation):
        """Return the :class:`Problem` for which to refuse a request, or None.

        Parameters
        ----------
        route : Route or None
        organisation : Organisation or None
            Organisation that the request's API key belongs to.
        """
        if self.revision == 0:
            return Problem(ErrorKind.CONFIGURATION_MISSING)
        if route is None:
            return Problem(ErrorKind.UNKNOWN_SERVICE)
        if organisation is None and self.requires_keys and not route.is_public:
            return Problem(ErrorKind.UNKNOWN_ORGANISATION)
        return None


def _priorities(route, organisation):
    """Return the pair of priorities that orders the requests of a service."""
    if organisation is None or organisation.priority is None:
        return route.priority, route.priority
    return organisation.priority, route.priority
