"""JSON lines exchanged with stand-in processes: notes from them, commands to them."""

import msgspec

__all__ = [
    "Acknowledged",
    "Command",
    "LimitNamed",
    "LimitedArrival",
    "RunBegan",
    "RunEnded",
    "decode_note",
    "encode",
]


class RunBegan(msgspec.Struct, tag="began"):
    """An endpoint started to run a request.

    Parameters
    ----------
    endpoint : str
        Instance id of the endpoint.
    service : str
    number : int
        Number of the run at this endpoint.
    request_id, path, organisation, body : str
    after_event : int or None
        Id of the last event before a resume.
    at_s : float
        Time since the boot, the same for all processes of the machine.
    """

    endpoint: str
    service: str
    number: int
    request_id: str
    path: str
    organisation: str
    body: str
    after_event: int | None
    at_s: float


class RunEnded(msgspec.Struct, tag="ended"):
    """An endpoint finished or abandoned a run.

    Parameters
    ----------
    endpoint : str
        Instance id of the endpoint.
    number : int
        Number of the run at this endpoint.
    how : str
        ``whole`` (completed), ``left`` (the caller disconnected) or ``crashed``.
    at_s : float
    """

    endpoint: str
    number: int
    how: str
    at_s: float


class Acknowledged(msgspec.Struct, tag="acknowledged"):
    """The store acknowledged an endpoint's state.

    Parameters
    ----------
    endpoint : str
        Instance id of the endpoint.
    state : str
    at_s : float
    """

    endpoint: str
    state: str
    at_s: float


class LimitNamed(msgspec.Struct, tag="limit"):
    """An endpoint names a limit in its answers from now on.

    Parameters
    ----------
    endpoint : str
        Instance id of the endpoint.
    limit_per_s : float
        Requests a second from all routers together.
    at_s : float
    """

    endpoint: str
    limit_per_s: float
    at_s: float


class LimitedArrival(msgspec.Struct, tag="arrival"):
    """A request of any kind reached an endpoint that names a limit.

    Parameters
    ----------
    endpoint : str
        Instance id of the endpoint.
    request_id : str
        Empty for a probe or the like.
    at_s : float
    """

    endpoint: str
    request_id: str
    at_s: float


class Command(msgspec.Struct):
    """A change of a stand-in's behaviour; fields that are None change nothing.

    Parameters
    ----------
    fault : str or None
        Fault in the responses of a plain endpoint: ``mute`` (no response), ``reset``
        (reset instead of a response), ``truncate`` (reset in the middle of it) or
        ``endless`` (a body without end, in pieces of a byte); empty for none.
    status : int or None
        Status code of the responses of a plain endpoint.
    state : str or None
        State that the endpoint registers in the store.
    limit : str or None
        Requests a second that the endpoint names as its limit.
    refusal : int or None
        Status code with which the store refuses all requests; zero serves them.
    lost_answers : int or None
        Number of further writes that the store executes, but answers with a reset.
    is_silent : bool or None
        Whether the store stops responding.
    forgets : bool
        Whether the store drops its revision history.
    """

    fault: str | None = None
    status: int | None = None
    state: str | None = None
    limit: str | None = None
    refusal: int | None = None
    lost_answers: int | None = None
    is_silent: bool | None = None
    forgets: bool = False


encode = msgspec.json.Encoder().encode
decode_note = msgspec.json.Decoder(
    RunBegan | RunEnded | Acknowledged | LimitNamed | LimitedArrival
).decode
