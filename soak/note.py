"""What stand-ins tell the soak, one JSON object a line, and what it tells them."""

import msgspec

__all__ = ["Acknowledged", "Order", "RunBegan", "RunEnded", "decode_note", "encode"]


class RunBegan(msgspec.Struct, tag="began"):
    """An endpoint began to work on a request.

    Parameters
    ----------
    endpoint : str
        Its instance id.
    service : str
    number : int
        Of the run at this endpoint.
    request_id, path, organisation, body : str
    after_event : int or None
    at_s : float
        On the machine's steady clock, which all processes share.
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
    """An endpoint no longer works on a request.

    Parameters
    ----------
    endpoint : str
    number : int
    how : str
        ``whole``, ``left`` or ``crashed``.
    at_s : float
    """

    endpoint: str
    number: int
    how: str
    at_s: float


class Acknowledged(msgspec.Struct, tag="acknowledged"):
    """The store accepted an endpoint's state.

    Parameters
    ----------
    endpoint, state : str
    at_s : float
    """

    endpoint: str
    state: str
    at_s: float


class Order(msgspec.Struct):
    """What a stand-in is told to do.

    Parameters
    ----------
    fault : str or None
        Of a plain endpoint's answers.
    status : int or None
        Of its answers.
    state : str or None
        An endpoint's state in the store.
    refusal, lost_answers : int or None
        Of the store.
    is_silent : bool or None
    forgets : bool
        Whether the store drops its history.
    """

    fault: str | None = None
    status: int | None = None
    state: str | None = None
    refusal: int | None = None
    lost_answers: int | None = None
    is_silent: bool | None = None
    forgets: bool = False


encode = msgspec.json.Encoder().encode
decode_note = msgspec.json.Decoder(RunBegan | RunEnded | Acknowledged).decode
