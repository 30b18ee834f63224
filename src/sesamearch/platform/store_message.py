"""Request and response bodies of the store's calls, and their decoding."""

import base64
import binascii

import msgspec

from sesamearch.base.decode import decode_foreign
from sesamearch.base.errors import ErrorKind, Problem
from sesamearch.base.log import logger
from sesamearch.store.store import KeyValue, Put

__all__ = [
    "ExpectedRevision",
    "LeaseRequest",
    "PutItem",
    "StoreEvents",
    "StoreItem",
    "StoreLease",
    "StoreRange",
    "Transaction",
    "TransactionConflict",
    "TransactionReply",
    "decode_body",
    "decode_events",
    "decode_items",
]


class StoreItem(msgspec.Struct, rename="kebab"):
    """A stored key, or a change to a key."""

    key: str
    # Bytes in standard base64.
    value: str = ""
    # Store revision of the key's last write; zero if the key does not exist.
    revision: int = 0
    # Lease whose expiry deletes the key; zero for none.
    lease: int = 0
    removed: bool = False


class StoreRange(msgspec.Struct, rename="kebab"):
    """Response to a range call: one page of items."""

    entries: list[StoreItem]
    # Revision of the whole store, not of an item.
    store_revision: int
    more_pages: bool = False


class StoreEvents(msgspec.Struct, rename="kebab"):
    """Response to a watch call: the changes since the requested revision."""

    events: list[StoreItem]
    store_revision: int


class ExpectedRevision(msgspec.Struct):
    """Condition of a transaction: revision of a key's last write.

    Zero means that the key must not exist.
    """

    key: str
    revision: int


class PutItem(msgspec.Struct):
    """A write in a transaction; the value is in standard base64."""

    key: str
    value: str
    lease: int = 0


class Transaction(msgspec.Struct, rename="kebab"):
    """Request body of a transaction: writes that require all conditions to hold."""

    expected_revision: list[ExpectedRevision]
    puts: list[PutItem]
    deletes: list[str]


class TransactionReply(msgspec.Struct):
    """Response to a transaction that was applied."""

    revision: int


class TransactionConflict(msgspec.Struct):
    """Response to a transaction whose conditions did not hold."""

    # The compared keys with their current values; revision zero if a key is absent.
    entries: list[StoreItem] = []


class LeaseRequest(msgspec.Struct, rename="kebab"):
    """Request body for a new lease."""

    ttl_ms: int


class StoreLease(msgspec.Struct, rename="kebab"):
    """Response with a granted lease."""

    lease: int
    ttl_ms: int


def decode_body(body, kind):
    """Decode a response body.

    Parameters
    ----------
    body : bytes
    kind : type
        Structure to decode into.

    Returns
    -------
    result.Result[kind, Problem]
    """

    def decode(data):
        return msgspec.json.decode(data, type=kind, strict=False)

    return decode_foreign(decode, body).map_err(
        lambda fault: Problem(ErrorKind.STORE_UNAVAILABLE, fault)
    )


def _key_value(item):
    value = base64.b64decode(item.value, validate=True)
    return KeyValue(item.key.encode(), value, item.revision, item.lease)


def decode_items(items):
    """Return a :class:`KeyValue` for each valid :class:`StoreItem`; log the others."""
    found = []
    for item in items:
        try:
            found.append(_key_value(item))
        except (binascii.Error, ValueError) as error:
            logger.warning(
                "skipped invalid store item key={} error={}", item.key, error
            )
    return found


def decode_events(events):
    """Return a :class:`Put` for each valid change; log the others.

    Parameters
    ----------
    events : list of StoreItem
    """
    puts = []
    for event in events:
        if event.removed:
            puts.append(Put(event.key.encode(), None))
            continue
        puts += [
            Put(each.key, each.value, each.lease, each.mod_revision)
            for each in decode_items([event])
        ]
    return puts
