"""Decoding of the entries in which endpoints register themselves."""

import re
from typing import Annotated

import msgspec
from result import Err, Ok

from sesamearch.base.address import is_address
from sesamearch.base.decode import decode_foreign
from sesamearch.configuration.blackboard import Endpoint

__all__ = ["ENDPOINT_PREFIX", "decode_endpoint"]

ENDPOINT_PREFIX = b"servers/"
_STATES = frozenset(("ready", "draining"))
MAX_SLOTS = 100_000
# Year 5138; later times are no times.
MAX_BORN_MS = 10**14
# The id becomes the value of a header.
_NAME = re.compile(r"[!-~]{1,200}")
_Text = Annotated[str, msgspec.Meta(max_length=200)]


class _Entry(msgspec.Struct, rename="kebab"):
    """Fields that each endpoint writes; an entry without one is no endpoint's.

    Some of them are only checked, not used.
    """

    service: _Text
    # ip:port
    address: _Text
    zone: _Text
    version: _Text
    state: _Text
    slots: Annotated[int, msgspec.Meta(ge=0, le=MAX_SLOTS)]
    # Time for which the endpoint is still slow after its start.
    cold_left_ms: float
    # Number of orders that the endpoint has accepted.
    sequence: int
    # Start time of the process in Unix ms; a process may restart under the same id.
    born: Annotated[int, msgspec.Meta(ge=0, le=MAX_BORN_MS)] = 0


_decode = msgspec.json.Decoder(_Entry).decode


def decode_endpoint(key, value):
    """Decode the entry of one endpoint.

    Parameters
    ----------
    key, value : bytes
        The key ends in the endpoint's id, which the value does not contain.

    Returns
    -------
    result.Result[Endpoint, str]
        The error says why the entry is invalid. Programs other than endpoints can
        write below the prefix too, so an entry may not describe an endpoint.
    """
    name = key.removeprefix(ENDPOINT_PREFIX).decode(errors="replace")
    if not _NAME.fullmatch(name):
        return Err(f"invalid name {name!r}")
    decoded = decode_foreign(_decode, value)
    if decoded.is_err():
        return decoded
    entry = decoded.unwrap()
    if not is_address(entry.address):
        return Err(f"invalid address {entry.address!r}")
    if entry.state not in _STATES:
        return Err(f"unknown state {entry.state!r}")
    return Ok(
        Endpoint(
            name,
            entry.address,
            entry.zone,
            entry.service,
            entry.version,
            entry.state == "draining",
            entry.slots,
            entry.born,
        )
    )
