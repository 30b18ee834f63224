"""Signed cursors, with which any router can resume a generation."""

import base64
import binascii
import hashlib
import hmac
import zlib

import msgspec
from result import Err, Ok

from sesamearch.base.errors import ErrorKind, Problem

__all__ = ["Cursor", "CursorSigner", "Position", "checksum"]

_SIGNATURE_BYTES = 16
MAX_CURSOR_BYTES = 2048


class Cursor(msgspec.Struct, frozen=True, array_like=True):
    """The state of an attempt that another router needs to resume it.

    Parameters
    ----------
    request_id : str
        Identifies the request across all its attempts.
    organisation : str
        The only organisation that may present this cursor.
    body_digest : bytes
        Digest of the request body that the cursor belongs to.
    service, version : str
        Service and version that generate the answer. The version never changes
        once the answer has begun.
    endpoint : str
        Name of the endpoint that runs the attempt.
    stream_id : str
        Identifier of the attempt at the endpoint.
    attempt : int
        Number of the attempt, one higher than that of the previous attempt.
    seed : int
        Sampling seed, shared by all attempts.
    """

    request_id: str
    organisation: str
    body_digest: bytes
    service: str
    version: str
    endpoint: str
    stream_id: str
    attempt: int
    seed: int


class Position(msgspec.Struct, frozen=True):
    """A cursor and the part of the answer that the caller has received.

    Parameters
    ----------
    cursor : Cursor
        Describes the attempt that delivered the last token.
    offset_tokens : int
        Number of tokens delivered.
    crc : int
        CRC-32 of the delivered text in UTF-8.
    """

    cursor: Cursor
    offset_tokens: int
    crc: int


def checksum(text, crc=0):
    """Return the CRC-32 of `text` in UTF-8, continuing from `crc`."""
    return zlib.crc32(text.encode(), crc)


class CursorSigner:
    """Sign and verify the cursors that callers return as event ids.

    The attempt is signed once. The offset and checksum, which change with each
    token, are appended unsigned: a caller that alters them affects only the
    answer to its own request.

    Parameters
    ----------
    secret : bytes
        Signing key, shared by all routers.
    """

    __slots__ = ("_secret",)

    def __init__(self, secret):
        self._secret = secret

    def sign(self, cursor):
        """Return the signed part of an event id, as bytes."""
        body = base64.urlsafe_b64encode(msgspec.msgpack.encode(cursor)).rstrip(b"=")
        return body + b"." + self._signature(body)

    def _signature(self, body):
        digest = hmac.digest(self._secret, body, hashlib.sha256)[:_SIGNATURE_BYTES]
        return base64.urlsafe_b64encode(digest).rstrip(b"=")

    def read(self, event_id, organisation):
        """Verify and decode an event id that a caller returned.

        Parameters
        ----------
        event_id : bytes
            Value of the ``Last-Event-ID`` header.
        organisation : str
            The organisation that presents the event id.

        Returns
        -------
        result.Result[Position, Problem]
            ``BAD_CURSOR`` if the event id cannot be decoded, ``FORGED_CURSOR`` if
            the signature or the organisation does not match.
        """
        parts = event_id.split(b".")
        if len(event_id) > MAX_CURSOR_BYTES or len(parts) != 4:
            return Err(Problem(ErrorKind.BAD_CURSOR, "not a cursor of this system"))
        body, signature, offset, crc = parts
        if not hmac.compare_digest(signature, self._signature(body)):
            return Err(Problem(ErrorKind.FORGED_CURSOR, "signature does not match"))
        try:
            raw = base64.urlsafe_b64decode(body + b"=" * (-len(body) % 4))
            cursor = msgspec.msgpack.decode(raw, type=Cursor)
            position = Position(cursor, int(offset), int(crc, 16))
        except (ValueError, binascii.Error, msgspec.DecodeError):
            return Err(Problem(ErrorKind.BAD_CURSOR, "cursor cannot be decoded"))
        if position.offset_tokens < 0 or position.crc < 0:
            return Err(Problem(ErrorKind.BAD_CURSOR, "negative offset or checksum"))
        if cursor.organisation != organisation:
            return Err(
                Problem(ErrorKind.FORGED_CURSOR, "issued to another organisation")
            )
        return Ok(position)
