"""Quarantined prompts in the platform's store: decoding and writing."""

import hashlib

import msgspec
from result import Err, Ok
from twisted.internet.defer import Deferred

from sesamearch.base.errors import ErrorKind
from sesamearch.quarantine.entry import Quarantine
from sesamearch.quarantine.register import QuarantineRegister
from sesamearch.store.store import Comparison, Put

__all__ = ["QUARANTINE_PREFIX", "PlatformQuarantineRegister", "decode_quarantine"]

QUARANTINE_PREFIX = b"sesamearch/quarantine/"
MAX_WRITE_ATTEMPTS = 3
KEY_DIGEST_BYTES = 16


class _Entry(msgspec.Struct, rename="kebab"):
    parts: list[str]
    change: int
    is_active: bool
    trials: int = 0


_decode_entry = msgspec.json.Decoder(_Entry).decode


def decode_quarantine(value):
    """Decode a stored quarantine.

    Returns
    -------
    result.Result[Quarantine, str]
    """
    try:
        entry = _decode_entry(value)
    except msgspec.DecodeError as error:
        return Err(str(error))
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
