"""Standings of versions in the platform's store: decoding and writing."""

from typing import Annotated, Literal

import msgspec
from result import Err, Ok

from sesamearch.base.decode import decode_foreign
from sesamearch.base.errors import ErrorKind
from sesamearch.base.log import logger
from sesamearch.routing.version_standing import (
    Standing,
    VersionStanding,
    VersionStandings,
)
from sesamearch.store.store import Comparison, Put, StoreRevision

__all__ = ["STANDING_PREFIX", "read_standings", "write_standings"]

STANDING_PREFIX = b"sesamearch/versions/"
MAX_WRITE_ATTEMPTS = 3
MAX_NUMBER = 2**53
_Number = Annotated[int, msgspec.Meta(ge=0, le=MAX_NUMBER)]


class _Entry(msgspec.Struct, rename="kebab"):
    version: str
    standing: Literal["ordered", "replaced", "rejected", "completed"]
    era: _Number
    revision: _Number


_decode_entries = msgspec.json.Decoder(list[_Entry]).decode


def _decode(item):
    """Return the standings of a stored item; none if it can't be read."""
    service = item.key.removeprefix(STANDING_PREFIX).decode(errors="replace")

    def decode(data):
        return [
            VersionStanding(
                service,
                entry.version,
                Standing[entry.standing.upper()],
                StoreRevision(entry.era, entry.revision),
            )
            for entry in _decode_entries(data)
        ]

    decoded = decode_foreign(decode, item.value)
    if decoded.is_err():
        logger.warning(
            "skipped invalid version standings service={} fault={}",
            service,
            decoded.unwrap_err(),
        )
    return decoded.unwrap_or([])


def _encode(standings):
    entries = [
        _Entry(
            each.version,
            each.standing.name.lower(),
            each.revision.era,
            each.revision.number,
        )
        for each in sorted(standings, key=lambda each: each.version)
    ]
    return msgspec.json.encode(entries)


async def read_standings(store):
    """Read the standings of all services; see ``RolloutRegister``."""
    read = await store.range(STANDING_PREFIX)
    if read.is_err():
        return read
    return Ok([each for item in read.unwrap().items for each in _decode(item)])


async def write_standings(store, service, standings):
    """Add standings to those that are stored; see ``RolloutRegister``."""
    key = STANDING_PREFIX + service.encode()
    for _ in range(MAX_WRITE_ATTEMPTS):
        read = await store.range(key)
        if read.is_err():
            return read
        item = next((each for each in read.unwrap().items if each.key == key), None)
        merged = VersionStandings()
        for each in [*(_decode(item) if item else []), *standings]:
            merged.merge(each)
        value = _encode(merged.of_service(service))
        if item is not None and item.value == value:
            return Ok(merged.of_service(service))
        revision = item.mod_revision if item else 0
        written = await store.txn([Comparison(key, revision)], [Put(key, value)])
        if written.is_ok() and written.unwrap().succeeded:
            return Ok(merged.of_service(service))
    return Err(ErrorKind.STORE_UNAVAILABLE)
