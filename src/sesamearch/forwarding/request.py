"""What is forwarded, and the interfaces to both sides of it."""

import abc

import msgspec

from sesamearch.configuration.blackboard import Endpoint

__all__ = [
    "CallerRequest",
    "EndpointAnswer",
    "EndpointClient",
    "ForwardListener",
    "LoadReport",
    "MemoryCopy",
    "ForwardOptions",
    "PromptPart",
]


class PromptPart(msgspec.Struct, frozen=True):
    """A part of a prompt that other prompts may share."""

    name: str
    tokens: int


class CallerRequest(msgspec.Struct, frozen=True):
    """A caller's request.

    Parameters
    ----------
    request_id : str
        Of this try of the caller; a repeated one has another.
    method, target : bytes
    headers : list of tuple of bytes
        Those that go on to the endpoint as they are.
    body : bytes
    host, path : str
        What selects the route.
    key : str
        API key, empty without one.
    received_s, deadline_s : float
        When it came, and until when the caller waits, on this process's clock.
    after_event : int or None
        Last event that the caller has of an answer that broke off.
    prompt_tokens, output_tokens : int
        Zero where they are not told.
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

    @property
    def last_part(self):
        """Str : name of the prompt's last part, which no other request shares."""
        return self.prompt_parts[-1].name if self.prompt_parts else ""


class MemoryCopy(msgspec.Struct, frozen=True):
    """A copy of a run's memory.

    Parameters
    ----------
    target_address : str
        Engine where the run can go on.
    source_address, handle : str
        By which the holder knows it.
    """

    target_address: str
    source_address: str
    handle: str


class ForwardOptions(msgspec.Struct, frozen=True):
    """How a request is passed on to one endpoint.

    Parameters
    ----------
    endpoint : Endpoint
    deadline_s : float
        When the endpoint is to stop, on this process's clock.
    organisation : str
        Empty for a public route.
    after_event : int or None
        Event to go on behind.
    urgency : int or None
        0 is the most urgent; for engines.
    backup_address : str
        Engine that is to keep a copy of the run's memory; empty for none.
    copy : MemoryCopy or None
        Memory to go on from.
    needs_fresh_connection : bool
    """

    endpoint: Endpoint
    deadline_s: float
    organisation: str = ""
    after_event: int | None = None
    urgency: int | None = None
    backup_address: str = ""
    copy: MemoryCopy | None = None
    needs_fresh_connection: bool = False


class LoadReport(msgspec.Struct, frozen=True):
    """What an endpoint says of its load in an answer."""

    running: int
    waiting: int
    slots: int


class EndpointAnswer(msgspec.Struct, frozen=True):
    """Head of an endpoint's answer.

    Parameters
    ----------
    status : int
    reason : bytes
    headers : list of tuple of bytes
        Those that go back to the caller.
    has_not_run : bool
        Whether the endpoint states that it did not run the request.
    is_other_instance : bool
        Whether another process has the endpoint's address now.
    instance : str
        Name of the process that answers, where it says so.
    is_signed : bool
        Whether it bears the endpoint's signature.
    load : LoadReport or None
    """

    status: int
    reason: bytes
    headers: list[tuple[bytes, bytes]]
    has_not_run: bool = False
    is_other_instance: bool = False
    instance: str = ""
    is_signed: bool = False
    load: LoadReport | None = None

    @property
    def is_success(self):
        """Bool : whether the status says so."""
        return 200 <= self.status < 300


class ForwardListener(abc.ABC):
    """Who is told of one request at one endpoint."""

    @abc.abstractmethod
    def answer_began(self, answer):
        """Take the :class:`EndpointAnswer`."""

    @abc.abstractmethod
    def answer_received(self, data):
        """Take a part of the body."""

    @abc.abstractmethod
    def answer_ended(self):
        """Take note that the answer is whole."""

    @abc.abstractmethod
    def answer_lost(self, loss):
        """Take note of the ``Loss``."""


class EndpointClient(abc.ABC):
    """Sends requests to endpoints."""

    @abc.abstractmethod
    def forward(self, request, options, listener):
        """Send a :class:`CallerRequest` by a :class:`ForwardOptions`.

        Returns
        -------
        object with ``cancel()`` and ``producer``
        """

    @abc.abstractmethod
    def copy_memory(self, endpoint, request_id, target):
        """Have an engine copy the memory of a run to another one; the run goes on.

        Parameters
        ----------
        endpoint : Endpoint
            Where it runs.
        request_id : str
        target : Endpoint

        Returns
        -------
        twisted.internet.defer.Deferred of MemoryCopy or None
            None if there is no copy.
        """

    @abc.abstractmethod
    def free_memory(self, endpoint, copy):
        """Have an engine drop a :class:`MemoryCopy` that it made."""

    @abc.abstractmethod
    def identify(self, endpoint, path, timeout_s):
        """Ask who answers at an endpoint's address.

        Parameters
        ----------
        endpoint : Endpoint
        path : str
        timeout_s : float

        Returns
        -------
        twisted.internet.defer.Deferred of str
            Name of the process, empty if nobody answers.
        """

    @abc.abstractmethod
    def probe(self, endpoint, timeout_s):
        """Ask an engine for a sign of life.

        Returns
        -------
        twisted.internet.defer.Deferred of bool
        """
