"""Decoding of the entries in which endpoints register themselves."""

import msgspec
from result import Err, Ok

from sesamearch.configuration.blackboard import Endpoint

__all__ = ["ENDPOINT_PREFIX", "decode_endpoint"]

ENDPOINT_PREFIX = b"servers/"
_STATES = frozenset(("ready", "draining"))


class _Entry(msgspec.Struct, rename="kebab"):
    service: str
    # ip:port
    address: str
    zone: str
    version: str
    state: str
    slots: int = 0
    # Start time of the process in Unix ms; a process may restart under the same id.
    born: int = 0


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
    try:
        name = key.removeprefix(ENDPOINT_PREFIX).decode()
        entry = _decode(value)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        return Err(str(error))
    host, colon, port = entry.address.rpartition(":")
    if not (colon and port.isdigit() and host.count(".") == 3):
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
