"""The blackboard: state that a router's parts share, with change notification."""

import msgspec

from sesamearch.configuration.configuration import Configuration

__all__ = [
    "Blackboard",
    "Counters",
    "DrainPhase",
    "Endpoint",
    "Incarnation",
    "Member",
    "ObservableValue",
]


class ObservableValue:
    """A value with a version number and listeners for changes.

    Parameters
    ----------
    value : object
        Initial value.
    """

    __slots__ = ("_listeners", "value", "version")

    def __init__(self, value):
        self.value = value
        self.version = 0
        self._listeners = []

    def listen(self, listener):
        """Call `listener` with the value after each later write."""
        self._listeners.append(listener)

    def write(self, value):
        """Replace the value and call the listeners."""
        self.value = value
        self.version += 1
        for listener in self._listeners:
            listener(value)


class Incarnation(msgspec.Struct, frozen=True):
    """One process of an endpoint's name.

    Parameters
    ----------
    name : str
    born_ms : int
        Unix time of the process start, zero if unknown.
    """

    name: str
    born_ms: int


class Endpoint(msgspec.Struct, frozen=True):
    """One engine or service process in the platform's list.

    Parameters
    ----------
    name : str
        Unique name; a VM that replaces another has a new name.
    address : str
        ``ip:port``.
    data_centre, service, version : str
        Location of the process and what it runs.
    leaving : bool
        Whether the endpoint is being removed and gets no new work.
    slots : int
        Number of requests that it processes concurrently, zero if unknown.
    born_ms : int
        Unix time of the process start, zero if unknown. It tells a restarted
        process from the previous one of the same name.
    """

    name: str
    address: str
    data_centre: str
    service: str
    version: str
    leaving: bool = False
    slots: int = 0
    born_ms: int = 0

    @property
    def incarnation(self):
        """Incarnation : the process that the entry describes."""
        return Incarnation(self.name, self.born_ms)


class Member(msgspec.Struct, frozen=True):
    """Another router, as described by its last heartbeat.

    Parameters
    ----------
    name, data_centre, address : str
        The address is that of the router's peer link.
    incarnation : int
        Distinguishes processes of the same name; a later start has a higher number.
    configuration_revision : int
        Revision of the configuration that the router has in force.
    draining : bool
        Whether the router is shutting down.
    heard_s : float
        Time of its last heartbeat, on this process's clock.
    follows_store : bool
        Whether the router watches the store and reaches it.
    """

    name: str
    data_centre: str
    address: str
    incarnation: int
    configuration_revision: int
    draining: bool
    heard_s: float
    follows_store: bool = False


class DrainPhase(msgspec.Struct, frozen=True):
    """Progress of this router's shutdown.

    Parameters
    ----------
    draining : bool
        Whether a shutdown has begun; the router is ready if not.
    refusing : bool
        Whether new requests are refused.
    hand_over_s : float
        Time, on this process's clock, at which running generations end with a cursor
        for the hand-off to another router.
    """

    draining: bool = False
    refusing: bool = False
    hand_over_s: float = float("inf")


class Counters:
    """Counters that the request path increments and the metrics export reads.

    Attributes
    ----------
    requests, refusals : int
        Requests from callers, and those answered with an error. Failed generations are
        not among the refusals.
    tokens_delivered, tokens_late : int
        Tokens sent to callers, and dropped tokens of attempts that had already been
        replaced.
    attempts, resumes, reattaches : int
        All attempts to generate, those that continued a generation from its prefix, and
        those that re-attached to a running attempt.
    prefill_extra_tokens : int
        Tokens prefilled again because of a resume.
    generations_lost, callers_left : int
        Generations that ended with an error after output, and generations whose
        caller disconnected.
    claims, claim_writes : int
        Claims that this router's :class:`ClaimWriter` accepted, and its store
        transactions for claims and their outcomes.
    operations_unknown : int
        Operations whose outcome could not be determined.
    """

    __slots__ = (
        "attempts",
        "callers_left",
        "claim_writes",
        "claims",
        "generations_lost",
        "operations_unknown",
        "prefill_extra_tokens",
        "reattaches",
        "refusals",
        "requests",
        "resumes",
        "tokens_delivered",
        "tokens_late",
    )

    def __init__(self):
        for name in self.__slots__:
            setattr(self, name, 0)


class Blackboard:
    """Shared state of one router.

    Parameters
    ----------
    configuration : Configuration or RoutingTable, optional
        Initial value until the first configuration is accepted.

    Attributes
    ----------
    configuration : ObservableValue of Configuration or RoutingTable
        Configuration in force; its revision never decreases.
    endpoints : ObservableValue of dict from str to Endpoint
        Endpoints by name.
    members : ObservableValue of dict from str to Member
        Other routers by name.
    drain : ObservableValue of DrainPhase
    moves : ObservableValue of dict from str to MoveRecord
        Rollouts by service.
    rejected_moves : ObservableValue of frozenset of str
        Identifiers of rollouts whose new version this router or a peer found bad.
    counters : Counters
    """

    __slots__ = (
        "configuration",
        "counters",
        "drain",
        "endpoints",
        "members",
        "moves",
        "rejected_moves",
    )

    def __init__(self, configuration=None):
        self.configuration = ObservableValue(configuration or Configuration())
        self.endpoints = ObservableValue({})
        self.members = ObservableValue({})
        self.drain = ObservableValue(DrainPhase())
        self.moves = ObservableValue({})
        self.rejected_moves = ObservableValue(frozenset())
        self.counters = Counters()

    def accept_configuration(self, configuration):
        """Put a configuration in force if it is newer.

        Returns
        -------
        bool
            Whether the configuration was newer and is in force now.
        """
        if configuration.revision <= self.configuration.value.revision:
            return False
        self.configuration.write(configuration)
        return True
