"""The routing table: which request goes to which service, for which organisation."""

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
    """What may be repeated."""

    IDEMPOTENT = "idempotent"
    AT_MOST_ONCE = "at_most_once"
    GENERATION = "generation"


class ServiceWeight(msgspec.Struct, frozen=True):
    """A service and its share of a route's requests."""

    service: str
    weight: float


class Route(msgspec.Struct, frozen=True):
    """One route.

    Parameters
    ----------
    name, host, prefix : str
        `prefix` begins and ends with a slash.
    kind : RouteKind
    services : list of ServiceWeight
    timeout_s : float
        Longest time that a caller is kept waiting.
    latency_goal_s : float
        Time to the answer, for a generation to its first event.
    gap_goal_s : float
        Longest pause between two events of a generation.
    priority : int
        0 is the most urgent.
    max_attempts : int
        Endpoints that one request may be sent to.
    is_public : bool
        Whether no key is asked for.
    is_resumable : bool
        Whether a generation may go on at another endpoint.
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
    """What the engines of a service can do.

    Parameters
    ----------
    slots : int
        Generations that run at once.
    memory_tokens : int
    event_tokens : int
        Tokens in one event.
    supports_backups : bool
        Whether a run's memory can be copied to another engine as it grows.
    supports_moves : bool
        Whether it can be copied by order while it runs.
    """

    slots: int
    memory_tokens: int
    event_tokens: int = 1
    supports_backups: bool = False
    supports_moves: bool = False


class ServiceSpec(msgspec.Struct, frozen=True):
    """One service.

    Parameters
    ----------
    name : str
    max_connections : int
        Connections that one endpoint accepts from all callers together.
    engine : EngineTraits or None
        None for a plain service.
    health_path : str
        Path at its endpoints that tells which process answers.
    """

    name: str
    max_connections: int
    engine: EngineTraits | None = None
    health_path: str = ""


class Organisation(msgspec.Struct, frozen=True):
    """Who calls.

    Parameters
    ----------
    name : str
    keys : list of str
    priority : int or None
        Goes before the route's where it is set.
    """

    name: str
    keys: list[str]
    priority: int | None = None


class RequestLimits(msgspec.Struct, frozen=True):
    """What callers may send, and how long they may take."""

    header_bytes: int = 16 << 10
    body_bytes: int = 4 << 20
    header_timeout_s: float = 5.0
    idle_timeout_s: float = 30.0


class RoutingTable:
    """One revision of the routing configuration, indexed.

    Parameters
    ----------
    revision : int
        Of the configuration; zero while none is known.
    routes : list of Route
    services : list of ServiceSpec
    organisations : list of Organisation or None
        None where no keys are asked for.
    limits : RequestLimits
    encoded : bytes
        As the operators wrote it, to be handed to other routers.
    """

    __slots__ = (
        "_by_host",
        "_by_key",
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

    def to_json(self):
        """Return the form that other routers are given."""
        return self.encoded

    def match(self, host, path):
        """Return the :class:`Route` with the longest prefix of `path`, or None.

        Parameters
        ----------
        host : str
            Without a port, in lower case.
        path : str
            Without a query.
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
        """Return the :class:`Organisation` that holds a key, or None."""
        return self._by_key.get(key)

    def problem_of(self, route, organisation):
        """Return why a request is not allowed as a :class:`Problem`, or None.

        Parameters
        ----------
        route : Route or None
        organisation : Organisation or None
            Holder of the request's key.
        """
        if self.revision == 0:
            return Problem(ErrorKind.CONFIGURATION_MISSING)
        if route is None:
            return Problem(ErrorKind.UNKNOWN_SERVICE)
        if organisation is None and self.requires_keys and not route.is_public:
            return Problem(ErrorKind.UNKNOWN_ORGANISATION)
        return None
