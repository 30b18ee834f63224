"""Bodies of the store's calls, and their decoding."""

import base64
import binascii

import msgspec
from result import Err, Ok

from sesamearch.base.errors import ErrorKind, Problem
from sesamearch.base.log import logger
from sesamearch.store.store import KeyValue, Put

__all__ = [
    "Conflict",
    "Expected",
    "NewItem",
    "StoreEvents",
    "StoreItem",
    "StoreLease",
    "StoreRange",
    "StoreTtl",
    "Transaction",
    "Written",
    "decode_body",
    "key_values",
    "puts_of",
]


class StoreItem(msgspec.Struct, rename="kebab"):
    """One key, or what became of it."""

    key: str
    # Standard base64 of any bytes.
    value: str = ""
    # The item's last change; zero where it is told as absent.
    revision: int = 0
    lease: int = 0
    removed: bool = False


class StoreRange(msgspec.Struct, rename="kebab"):
    """A page of keys."""

    entries: list[StoreItem]
    # The store's revision, not that of an item.
    store_revision: int
    more_pages: bool = False


class StoreEvents(msgspec.Struct, rename="kebab"):
    """What changed."""

    events: list[StoreItem]
    store_revision: int


class Expected(msgspec.Struct):
    """Condition of a transaction: the last change of a key, zero for none."""

    key: str
    revision: int


class NewItem(msgspec.Struct):
    """A key to be written."""

    key: str
    value: str
    lease: int = 0


class Transaction(msgspec.Struct, rename="kebab"):
    """Writes under conditions."""

    expected_revision: list[Expected]
    puts: list[NewItem]
    deletes: list[str]


class Written(msgspec.Struct):
    """Answer to a transaction that was done."""

    revision: int


class Conflict(msgspec.Struct):
    """Answer to one whose conditions did not hold."""

    entries: list[StoreItem] = []


class StoreTtl(msgspec.Struct, rename="kebab"):
    """How long a lease is to last."""

    ttl_ms: int


class StoreLease(msgspec.Struct, rename="kebab"):
    """A lease that was granted."""

    lease: int
    ttl_ms: int


def decode_body(body, kind):
    """Decode an answer's body.

    Returns
    -------
    result.Result[kind, Problem]
    """
    try:
        return Ok(msgspec.json.decode(body, type=kind, strict=False))
    except msgspec.DecodeError as error:
        return Err(Problem(ErrorKind.STORE_UNAVAILABLE, str(error)))


def _key_value(item):
    value = base64.b64decode(item.value, validate=True)
    return KeyValue(item.key.encode(), value, item.revision, item.lease)


def key_values(items):
    """Return the :class:`KeyValue` of each item that can be read."""
    found = []
    for item in items:
        try:
            found.append(_key_value(item))
        except (binascii.Error, ValueError) as error:
            logger.warning("store item unreadable key={} error={}", item.key, error)
    return found


def puts_of(events):
    """Return the :class:`Put` of each event that can be read."""
    puts = []
    for event in events:
        if event.removed:
            puts.append(Put(event.key.encode(), None))
            continue
        puts += [
            Put(each.key, each.value, each.lease, each.mod_revision)
            for each in key_values([event])
        ]
    return puts
