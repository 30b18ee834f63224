"""Secrets: cursor keys, peer keys and API keys."""

import os
import secrets
from pathlib import Path

import msgspec
import yaml
import zmq
from result import Err, Ok

from sesamearch.base.decode import decode_foreign
from sesamearch.base.errors import ErrorKind
from sesamearch.base.log import logger
from sesamearch.base.schema import Fault, check, load_yaml
from sesamearch.configuration.configuration import hash_api_key

__all__ = [
    "PeerKeys",
    "decode_peer_keys",
    "load_peer_keys",
    "new_api_key",
    "new_cursor_key",
    "new_peer_keys",
]

_SECRET_BYTES = 32
_OWNER_ONLY = 0o600


class PeerKeys(msgspec.Struct, forbid_unknown_fields=True, frozen=True):
    """CURVE keys of the routers.

    Parameters
    ----------
    public_key, secret_key : str
        This router's key pair, in Z85.
    trusted : list of str
        Public keys of the routers that may connect; two while a key is being rotated.
    """

    public_key: str
    secret_key: str
    trusted: list[str]

    def to_json(self):
        """Return the JSON encoding as bytes."""
        return msgspec.json.encode(self)


_decode_keys = msgspec.json.Decoder(PeerKeys).decode


def decode_peer_keys(value):
    """Decode stored peer keys.

    Returns
    -------
    result.Result[PeerKeys, ErrorKind]
    """
    decoded = decode_foreign(_decode_keys, value)
    if decoded.is_err():
        logger.error("cannot decode stored peer keys: {}", decoded.unwrap_err())
        return Err(ErrorKind.CONFIGURATION_INVALID)
    return decoded


def load_peer_keys(path):
    """Read a file that :func:`new_peer_keys` wrote.

    Returns
    -------
    result.Result[PeerKeys, list of Fault]
    """
    loaded = load_yaml(path)
    if loaded.is_err():
        return loaded
    return check(loaded.unwrap(), PeerKeys, str(path))


def _write_secret(path, content):
    try:
        flags = os.O_WRONLY | os.O_CREAT | os.O_EXCL
        with os.fdopen(os.open(path, flags, _OWNER_ONLY), "w") as file:
            file.write(content)
    except OSError as error:
        return Err([Fault(str(path), "$", "a new file", str(error))])
    return Ok(Path(path))


def new_cursor_key(path):
    """Write a new cursor key; return ``Result[Path, list of Fault]``.

    An existing file is never overwritten.
    """
    return _write_secret(path, secrets.token_hex(_SECRET_BYTES) + "\n")


def new_peer_keys(path):
    """Write a new peer key pair whose only trusted key is its own public key.

    An existing file is never overwritten.

    Returns
    -------
    result.Result[Path, list of Fault]
    """
    public, secret = (key.decode() for key in zmq.curve_keypair())
    keys = PeerKeys(public, secret, [public])
    return _write_secret(path, yaml.safe_dump(msgspec.to_builtins(keys)))


def new_api_key():
    """Return a new API key and its hash for publication, both as text."""
    key = secrets.token_urlsafe(_SECRET_BYTES)
    return key, hash_api_key(key)
