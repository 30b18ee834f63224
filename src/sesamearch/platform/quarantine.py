"""Quarantined prompts in the platform's store: decoding and writing."""

import hashlib
from typing import Annotated

import msgspec
from result import Err, Ok
from twisted.internet.defer import Deferred

from sesamearch.base.decode import decode_foreign
from sesamearch.base.errors import ErrorKind, Problem
from sesamearch.quarantine.entry import Quarantine
from sesamearch.quarantine.register import QuarantineRegister
from sesamearch.store.store import Comparison, Put

__all__ = [
    "QUARANTINE_PREFIX",
    "PlatformQuarantineRegister",
    "decode_quarantine",
    "lift_quarantine",
    "read_quarantines",
]

QUARANTINE_PREFIX = b"sesamearch/quarantine/"
MAX_WRITE_ATTEMPTS = 3
KEY_DIGEST_BYTES = 16


MAX_CHANGE = 2**53
_Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_CHANGE)]


class _Entry(msgspec.Struct, rename="kebab"):
    parts: list[str]
    change: _Count
    is_active: bool
    trials: _Count = 0


_decode_entry = msgspec.json.Decoder(_Entry).decode


def decode_quarantine(value):
    """Decode a stored quarantine.

    Returns
    -------
    result.Result[Quarantine, str]
    """
    decoded = decode_foreign(_decode_entry, value)
    if decoded.is_err():
        return decoded
    entry = decoded.unwrap()
    if not entry.parts:
        return Err("no parts")
    parts = sorted(set(entry.parts))
    return Ok(Quarantine(parts, entry.change, entry.is_active, entry.trials))


def _key_of(quarantine):
    """Return a key of bounded length for the parts of any number."""
    text = ",".join(quarantine.parts).encode()
    digest = hashlib.blake2b(text, digest_size=KEY_DIGEST_BYTES)
    return QUARANTINE_PREFIX + digest.hexdigest().encode()


class PlatformQuarantineRegister(QuarantineRegister):
    """Stores quarantines by conditional writes, so that a trial has one owner.

    Parameters
    ----------
    store : Store
    """

    def __init__(self, store):
        self._store = store

    def write(self, quarantine):
        """Record a quarantine; see ``QuarantineRegister``."""
        return Deferred.fromCoroutine(self._write(quarantine))

    async def _write(self, quarantine):
        key = _key_of(quarantine)
        entry = _Entry(
            quarantine.parts,
            quarantine.change,
            quarantine.is_active,
            quarantine.trials,
        )
        value = msgspec.json.encode(entry)
        for _ in range(MAX_WRITE_ATTEMPTS):
            read = await self._store.range(key)
            if read.is_err():
                return read
            item = next((each for each in read.unwrap().items if each.key == key), None)
            if item is not None and not _is_replaced(item, quarantine):
                return Ok(False)
            revision = item.mod_revision if item else 0
            written = await self._store.txn(
                [Comparison(key, revision)], [Put(key, value)]
            )
            if written.is_err():
                # The write may have taken effect all the same; then a trial is lost.
                return written
            if written.unwrap().succeeded:
                return Ok(True)
        return Err(ErrorKind.STORE_UNAVAILABLE)


def _is_replaced(item, quarantine):
    """Return whether a stored entry is older than `quarantine`, or cannot be read."""
    decoded = decode_quarantine(item.value)
    return decoded.is_err() or quarantine.supersedes(decoded.unwrap())


async def read_quarantines(store):
    """Read all stored quarantines, those that were lifted included.

    Returns
    -------
    result.Result[list of Quarantine, Problem]
        Entries that cannot be decoded are left out.
    """
    read = await store.range(QUARANTINE_PREFIX)
    if read.is_err():
        return Err(Problem(read.unwrap_err()))
    decoded = [decode_quarantine(item.value) for item in read.unwrap().items]
    return Ok([each.unwrap() for each in decoded if each.is_ok()])


async def lift_quarantine(store, parts):
    """Lift the quarantine of some parts, for all routers.

    Parameters
    ----------
    store : Store
    parts : iterable of str
        All parts of the quarantine.

    Returns
    -------
    result.Result[Quarantine, Problem]
        The entry as it is stored now.
    """
    read = await read_quarantines(store)
    if read.is_err():
        return read
    found = [each for each in read.unwrap() if each.key == frozenset(parts)]
    if not found or not found[0].is_active:
        detail = f"no quarantine of {' '.join(sorted(parts))} is active"
        return Err(Problem(ErrorKind.BAD_REQUEST, detail))
    lifted = msgspec.structs.replace(
        found[0], change=found[0].change + 1, is_active=False
    )
    written = await PlatformQuarantineRegister(store).write(lifted)
    if written.is_err():
        return Err(Problem(written.unwrap_err()))
    if not written.unwrap():
        return Err(Problem(ErrorKind.CONFIGURATION_CONFLICT, "it changed meanwhile"))
    return Ok(lifted)
