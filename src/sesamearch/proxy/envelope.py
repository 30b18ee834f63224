"""Proof that a request comes from another router of the fleet, unchanged and once."""

import base64
import binascii
import hashlib
import hmac

import msgspec
from result import Err, Ok

from sesamearch.base.decode import decode_foreign
from sesamearch.base.errors import ErrorKind, Problem
from sesamearch.forwarding.peer_proxy import ProxyTerms
from sesamearch.forwarding.request import MemoryCopy

__all__ = ["ENVELOPE_VERSION", "EnvelopeSealer", "ProxyEnvelope", "digest_of"]

ENVELOPE_VERSION = 1
MAC_BYTES = 32
KEY_BYTES = 32
# Numbers of a sender that are remembered, to refuse a request that comes twice.
REMEMBERED_NUMBERS = 4096
MAX_SENDERS = 4096
COPY_FIELDS = 3


class ProxyEnvelope(msgspec.Struct, frozen=True, array_like=True):
    """What a router states of a request that it sends by way of another one.

    Parameters
    ----------
    version : int
        Layout of the envelope; others are refused.
    sender : str
        Name of the router that the caller asked.
    incarnation : int
        Distinguishes processes of the sender's name.
    number : int
        Number of the request within the sender's process.
    target : str
        Name of the router that is to take it.
    revision, max_runs : int
    copy : list of str
        Terms; see :class:`ProxyTerms`. The copy is its target, source and handle, empty
        for none.
    digest : bytes
        Digest of the request; see :func:`digest_of`.
    """

    version: int
    sender: str
    incarnation: int
    number: int
    target: str
    revision: int
    max_runs: int
    copy: list[str]
    digest: bytes

    @property
    def terms(self):
        """ProxyTerms : what this router has to keep to."""
        copy = MemoryCopy(*self.copy) if len(self.copy) == COPY_FIELDS else None
        return ProxyTerms(self.revision, self.max_runs, copy)


_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(ProxyEnvelope).decode


def digest_of(method, target, headers, body):
    """Return the digest of a request, as bytes.

    Parameters
    ----------
    method, target : bytes
    headers : list of tuple of bytes
        Headers that the sender set, in any order.
    body : bytes
    """
    hasher = hashlib.blake2b(digest_size=MAC_BYTES)
    lines = sorted(name.lower() + b":" + value for name, value in headers)
    for part in (method, target, *lines):
        hasher.update(b"%d:" % len(part))
        hasher.update(part)
    hasher.update(b"|")
    hasher.update(body)
    return hasher.digest()


class _Sender:
    """Numbers that came from one process of a router."""

    __slots__ = ("incarnation", "newest", "numbers")

    def __init__(self, incarnation):
        self.incarnation = incarnation
        self.newest = 0
        self.numbers = set()

    def add(self, number):
        """Record a number; return whether it is new and not too old to tell."""
        if number <= self.newest - REMEMBERED_NUMBERS or number in self.numbers:
            return False
        self.numbers.add(number)
        self.newest = max(self.newest, number)
        if len(self.numbers) > 2 * REMEMBERED_NUMBERS:
            oldest = self.newest - REMEMBERED_NUMBERS
            self.numbers = {each for each in self.numbers if each > oldest}
        return True


class EnvelopeSealer:
    """Seals envelopes with the secret that all routers share, and opens sealed ones.

    Parameters
    ----------
    name : str
        Name of this router.
    """

    __slots__ = ("_key", "_name", "_senders")

    def __init__(self, name):
        self._name = name
        self._key = None
        self._senders = {}

    def set_secret(self, secret):
        """Use the fleet's shared secret, a str."""
        hasher = hashlib.blake2b(
            secret.encode(), digest_size=KEY_BYTES, person=b"router-proxy"
        )
        self._key = hasher.digest()

    def _mac(self, data):
        return hmac.digest(self._key, data, "sha256")

    def seal(self, envelope):
        """Return a sealed envelope as the value of a header, bytes."""
        data = _encode(envelope)
        return base64.b64encode(self._mac(data) + data)

    def open(self, sealed, digest):
        """Open a sealed envelope.

        Parameters
        ----------
        sealed : bytes
        digest : bytes
            Digest of the request that it came with.

        Returns
        -------
        result.Result[ProxyEnvelope, Problem]
            ``PROXY_REFUSED`` if it is malformed or forged, is for another router or
            another request, or came before.
        """
        envelope = self._verify(sealed)
        fault = self._fault_of(envelope, digest)
        if fault:
            return Err(Problem(ErrorKind.PROXY_REFUSED, fault))
        return Ok(envelope)

    def _verify(self, sealed):
        """Return the envelope if its seal is genuine, or None."""
        try:
            data = base64.b64decode(sealed, validate=True)
        except (binascii.Error, ValueError):
            return None
        mac, data = data[:MAC_BYTES], data[MAC_BYTES:]
        if self._key is None or not hmac.compare_digest(mac, self._mac(data)):
            return None
        return decode_foreign(_decode, data).unwrap_or(None)

    def _fault_of(self, envelope, digest):
        if envelope is None:
            return "malformed or forged"
        if envelope.version != ENVELOPE_VERSION:
            return f"unknown version {envelope.version}"
        if envelope.target != self._name:
            return "meant for another router"
        if not hmac.compare_digest(envelope.digest, digest):
            return "belongs to another request"
        return "" if self._is_new(envelope) else "came before"

    def _is_new(self, envelope):
        sender = self._senders.get(envelope.sender)
        if sender is None or sender.incarnation != envelope.incarnation:
            if len(self._senders) >= MAX_SENDERS:
                self._senders.pop(next(iter(self._senders)))
            sender = self._senders[envelope.sender] = _Sender(envelope.incarnation)
        return sender.add(envelope.number)
