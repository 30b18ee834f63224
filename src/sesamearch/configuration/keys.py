"""Secrets: cursor keys, peer keys and API keys."""

import os
import secrets
from pathlib import Path

import msgspec
import yaml
import zmq
from result import Err, Ok

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
        Key pair that this router shows, in Z85.
    trusted : list of str
        Public keys that may connect; two during a change of key.
    """

    public_key: str
    secret_key: str
    trusted: list[str]

    def to_json(self):
        """Return the stored form as bytes."""
        return msgspec.json.encode(self)


def decode_peer_keys(value):
    """Rebuild keys from their stored form.

    Returns
    -------
    result.Result[PeerKeys, ErrorKind]
    """
    try:
        return Ok(msgspec.json.decode(value, type=PeerKeys))
    except msgspec.DecodeError as error:
        logger.error("stored peer keys unreadable: {}", error)
        return Err(ErrorKind.CONFIGURATION_INVALID)


def load_peer_keys(path):
    """Read a file made by :func:`new_peer_keys`.

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
    """Write a new cursor key; give ``Result[Path, list of Fault]``."""
    return _write_secret(path, secrets.token_hex(_SECRET_BYTES) + "\n")


def new_peer_keys(path):
    """Write a new peer key pair that trusts itself.

    Returns
    -------
    result.Result[Path, list of Fault]
        An existing file is never overwritten.
    """
    public, secret = (key.decode() for key in zmq.curve_keypair())
    keys = PeerKeys(public, secret, [public])
    return _write_secret(path, yaml.safe_dump(msgspec.to_builtins(keys)))


def new_api_key():
    """Return a new API key and its published hash, both as text."""
    key = secrets.token_urlsafe(_SECRET_BYTES)
    return key, hash_api_key(key)
