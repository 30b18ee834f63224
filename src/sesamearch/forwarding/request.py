"""Forwarded requests and answers, and the interface to endpoints."""

import abc

import msgspec

from sesamearch.base.errors import Problem
from sesamearch.configuration.blackboard import Endpoint, Incarnation
from sesamearch.forwarding.permits import NoPermits
from sesamearch.wire.head import first_value

__all__ = [
    "CallerRequest",
    "EndpointAnswer",
    "EndpointClient",
    "ForwardListener",
    "ForwardOptions",
    "LoadReport",
    "MemoryCopy",
    "PromptPart",
]


class PromptPart(msgspec.Struct, frozen=True):
    """A part of a prompt; other prompts may share it."""

    name: str
    tokens: int


class CallerRequest(msgspec.Struct, frozen=True):
    """A caller's request.

    Parameters
    ----------
    request_id : str
        Id of this attempt of the caller; a retry by the caller has another id.
    method, target : bytes
    headers : list of tuple of bytes
        Headers that are forwarded unchanged.
    body : bytes
    host, path : str
        Host and path that select the route.
    key : str
        API key; empty for none.
    received_s, deadline_s : float
        Time of arrival, and time until which the caller waits, on this process's
        clock.
    after_event : int or None
        Last event that the caller received of an interrupted answer.
    prompt_tokens, output_tokens : int
        Zero if the caller does not state them.
    prompt_parts : list of PromptPart
    """

    request_id: str
    method: bytes
    target: bytes
    headers: list[tuple[bytes, bytes]]
    body: bytes
    host: str
    path: str
    key: str
    received_s: float
    deadline_s: float
    after_event: int | None = None
    prompt_tokens: int = 0
    output_tokens: int = 0
    prompt_parts: list[PromptPart] = []

    def without_body(self):
        """Return the same request, for those that must not keep its body."""
        return msgspec.structs.replace(self, body=b"")

    @property
    def shared_parts(self):
        """List of str : names of the prompt's parts that other requests may share."""
        return [part.name for part in self.prompt_parts[:-1]]

    @property
    def last_part(self):
        """Str : name of the prompt's last part, which no other request shares."""
        return self.prompt_parts[-1].name if self.prompt_parts else ""


class MemoryCopy(msgspec.Struct, frozen=True):
    """A copy of the memory of a running generation.

    Parameters
    ----------
    target_address : str
        Engine that holds the copy, where the generation can resume.
    source_address, handle : str
        Source engine and handle that identify the copy at the target.
    """

    target_address: str
    source_address: str
    handle: str


class ForwardOptions(msgspec.Struct, frozen=True):
    """Endpoint and options for one try of a request.

    Parameters
    ----------
    endpoint : Endpoint
    deadline_s : float
        Time at which the endpoint must stop, on this process's clock.
    organisation : str
        Empty for a public route.
    after_event : int or None
        Event after which to resume.
    urgency : int or None
        Priority for engines, where 0 is the most urgent.
    backup_address : str
        Engine that receives a copy of the memory while the generation runs; empty
        for none.
    copy : MemoryCopy or None
        Copy to resume from.
    force_new_connection : bool
        Whether to use a new connection instead of one from the pool.
    """

    endpoint: Endpoint
    deadline_s: float
    organisation: str = ""
    after_event: int | None = None
    urgency: int | None = None
    backup_address: str = ""
    copy: MemoryCopy | None = None
    force_new_connection: bool = False


class LoadReport(msgspec.Struct, frozen=True):
    """Load that an endpoint reports in an answer.

    Parameters
    ----------
    running, waiting, slots : int
    pace_percent : int or None
        How long work takes there at present, in percent of the usual time; None if it
        does not say so.
    """

    running: int
    waiting: int
    slots: int
    pace_percent: int | None = None


class EndpointAnswer(msgspec.Struct, frozen=True):
    """Head of an endpoint's answer.

    Parameters
    ----------
    status : int
    reason : bytes
    headers : list of tuple of bytes
        Headers that are returned to the caller.
    has_not_run : bool
        Whether the endpoint states that it did not run the request.
    is_other_instance : bool
        Whether another process now has the endpoint's address.
    instance : str
        Name of the answering process; empty if it is not stated.
    is_signed : bool
        Whether the answer carries the endpoint's signature.
    load : LoadReport or None
    is_leaving : bool
        Whether the answering process says that it leaves and gets no new work.
    pause_s : float
        Time for which the answering process wants nothing from this router; zero if it
        does not say so.
    unusable_pause : str
        The pause that it stated, if it was not taken as stated; empty for none.
    limit_per_s : float or None
        Requests a second that the answering process takes from all routers together;
        None if it names no limit.
    unusable_limit : str
        The limit that it named, if that is malformed; empty for none.
    brittle_per_s : int or None
        Requests a second that the answering process can turn away for want of room;
        more end it. None if it does not say so.
    refusal : Problem or None
        Why another router refused the request that was to send it on; None for an
        endpoint's answer.
    """

    status: int
    reason: bytes
    headers: list[tuple[bytes, bytes]]
    has_not_run: bool = False
    is_other_instance: bool = False
    instance: str = ""
    is_signed: bool = False
    load: LoadReport | None = None
    is_leaving: bool = False
    pause_s: float = 0.0
    unusable_pause: str = ""
    limit_per_s: float | None = None
    unusable_limit: str = ""
    brittle_per_s: int | None = None
    refusal: Problem | None = None

    def incarnation_at(self, endpoint):
        """Return which process answered a request to an endpoint.

        Returns
        -------
        Incarnation or None
            None if another process answered and did not state its name.
        """
        if self.instance and self.instance != endpoint.name:
            return Incarnation(self.instance, 0)
        return None if self.is_other_instance else endpoint.incarnation

    @property
    def is_success(self):
        """Bool : whether the status is a 2xx."""
        return 200 <= self.status < 300

    @property
    def media_type(self):
        """Bytes : type of the body without parameters; empty if it is not stated."""
        stated = first_value(self.headers, b"content-type") or b""
        return stated.partition(b";")[0].strip().lower()

    def may_continue(self, begun):
        """Return whether the body may go on with that of an answer that was begun.

        Parameters
        ----------
        begun : EndpointAnswer
        """
        types = {self.media_type, begun.media_type} - {b""}
        is_same_kind = len(types) < 2 and self.is_signed >= begun.is_signed
        return self.is_success and is_same_kind


class ForwardListener(abc.ABC):
    """Receives the answer of one endpoint to one request."""

    @abc.abstractmethod
    def answer_began(self, answer):
        """Handle the head of the answer, an :class:`EndpointAnswer`."""

    @abc.abstractmethod
    def answer_received(self, data):
        """Handle a part of the body."""

    @abc.abstractmethod
    def answer_ended(self):
        """Handle the end of a complete answer."""

    @abc.abstractmethod
    def answer_lost(self, loss):
        """Handle the loss of the answer, a ``Loss``."""


class EndpointClient(abc.ABC):
    """Sends requests to endpoints.

    Attributes
    ----------
    on_answer : callable or None
        Called with an endpoint and the :class:`EndpointAnswer` of each answer, those to
        probes and copies included, before the answer is handled, and with the time at
        which its request was sent.
    is_paused : callable
        Returns whether an endpoint wants nothing from this router. Probes, copies and
        the like are not sent to it then.
    is_limited : callable
        Returns whether an endpoint limits the requests of all routers. Probes, copies
        and the like are sent to it only with a permit.
    permits : PermitSource
    """

    on_answer = None
    is_paused = staticmethod(lambda endpoint: False)
    is_limited = staticmethod(lambda endpoint: False)
    permits = NoPermits()

    @abc.abstractmethod
    def forward(self, request, options, listener):
        """Send a request to an endpoint.

        Parameters
        ----------
        request : CallerRequest
        options : ForwardOptions
        listener : ForwardListener
            Receives the answer.

        Returns
        -------
        object with ``cancel()``, ``held_bytes``, ``is_first``, ``is_sent``,
        ``producer`` and ``take_steps(steps)``
        """

    @abc.abstractmethod
    def copy_memory(self, endpoint, request_id, target):
        """Have an engine copy a generation's memory to another one while it runs.

        Parameters
        ----------
        endpoint : Endpoint
            Engine that runs the generation.
        request_id : str
        target : Endpoint
            Engine that receives the copy.

        Returns
        -------
        twisted.internet.defer.Deferred of MemoryCopy or None
            None if the copy failed.
        """

    @abc.abstractmethod
    def free_memory(self, endpoint, copy):
        """Have the source engine drop a :class:`MemoryCopy`."""

    @abc.abstractmethod
    def identify(self, endpoint, path, timeout_s):
        """Ask which process answers at an endpoint's address.

        Parameters
        ----------
        endpoint : Endpoint
        path : str
        timeout_s : float

        Returns
        -------
        twisted.internet.defer.Deferred of str
            Name of the process; empty without an answer.
        """

    @abc.abstractmethod
    def probe_path(self, endpoint, timeout_s, health_path=""):
        """Probe whether there is a path to an endpoint; see :meth:`probe`.

        A connection that is made is enough, since a busy endpoint answers late.
        """

    @abc.abstractmethod
    def probe(self, endpoint, timeout_s, health_path=""):
        """Probe whether an endpoint is alive.

        Parameters
        ----------
        endpoint : Endpoint
        timeout_s : float
        health_path : str
            Path at which a plain service answers probes; empty for an engine.

        Returns
        -------
        twisted.internet.defer.Deferred of bool or None
            Whether it answered within `timeout_s`; None if no probe was sent, because
            the endpoint is paused or has no permit for it.
        """
