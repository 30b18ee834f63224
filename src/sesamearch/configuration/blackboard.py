"""The blackboard: what controllers know, and how they learn of changes."""

import msgspec

from sesamearch.configuration.configuration import Configuration

__all__ = [
    "Blackboard",
    "Counters",
    "DrainPhase",
    "Endpoint",
    "Member",
    "ObservableValue",
]


class ObservableValue:
    """One typed value with a version and listeners.

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
        """Call `listener` with each new value."""
        self._listeners.append(listener)

    def write(self, value):
        """Replace the value and tell the listeners."""
        self.value = value
        self.version += 1
        for listener in self._listeners:
            listener(value)


class Endpoint(msgspec.Struct, frozen=True):
    """One engine or service process, as the platform lists it.

    Parameters
    ----------
    name : str
        Unique name; a replaced VM has another.
    address : str
        ``ip:port``.
    data_centre, service, version : str
        Where it is and what it runs.
    leaving : bool
        Whether it gets no new work.
    slots : int
        Requests that it works on at once, zero if it does not say.
    born_ms : int
        Unix time of its start, zero if it does not say: a process may start again
        under the name that it had.
    """

    name: str
    address: str
    data_centre: str
    service: str
    version: str
    leaving: bool = False
    slots: int = 0
    born_ms: int = 0


class Member(msgspec.Struct, frozen=True):
    """Another router, as its last heartbeat told.

    Parameters
    ----------
    name, data_centre, address : str
        Who and where; the address is that of its peer link.
    incarnation : int
        Differs between two processes of one name; a later start is higher.
    configuration_revision : int
        What it has in force.
    draining : bool
        Whether it is shutting down.
    heard_s : float
        When it was last heard, on this process's clock.
    """

    name: str
    data_centre: str
    address: str
    incarnation: int
    configuration_revision: int
    draining: bool
    heard_s: float


class DrainPhase(msgspec.Struct, frozen=True):
    """How far this router's shutdown is.

    Parameters
    ----------
    draining : bool
        Whether a shutdown began; readiness is its opposite.
    refusing : bool
        Whether new requests are refused.
    hand_over_s : float
        When streams end on a cursor, on this process's clock.
    """

    draining: bool = False
    refusing: bool = False
    hand_over_s: float = float("inf")


class Counters:
    """Plain counters on the hot path, exported as metrics when read.

    Attributes
    ----------
    requests, refusals : int
        Requests of callers, and those that got an error.
    tokens_delivered, tokens_late : int
        Tokens given to callers, and tokens of replaced attempts that were dropped.
    attempts, resumes, reattaches : int
        Attempts in all, those that continued a prefix, those that re-attached.
    prefill_extra_tokens : int
        Tokens prefilled again because of a resume.
    generations_lost, callers_left : int
        Generations ended with an error after output, and by their caller.
    claims, claim_writes : int
        Operations claimed, and the store calls that it took.
    operations_unknown : int
        Operations whose outcome could not be learnt.
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
    """What one router knows.

    Parameters
    ----------
    configuration : Configuration or RoutingTable, optional
        What stands until the first one is accepted.

    Attributes
    ----------
    configuration : ObservableValue of Configuration or RoutingTable
        In force; its revision only rises.
    endpoints : ObservableValue of dict from str to Endpoint
        By name.
    members : ObservableValue of dict from str to Member
        Other routers by name.
    drain : ObservableValue of DrainPhase
    moves : ObservableValue of dict from str to MoveRecord
        By service.
    rejected_moves : ObservableValue of frozenset of str
        Moves whose new version was called bad here or by a peer.
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
            Whether it was newer.
        """
        if configuration.revision <= self.configuration.value.revision:
            return False
        self.configuration.write(configuration)
        return True
