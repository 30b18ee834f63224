"""The CURVE keys that the fleet's routers share, kept in the platform's store."""

import zmq
from result import Err, Ok

from sesamearch.base.errors import ErrorKind
from sesamearch.configuration.keys import PeerKeys, decode_peer_keys
from sesamearch.store.store import Comparison, Put

__all__ = [
    "FLEET_KEYS_KEY",
    "obtain_fleet_keys",
    "read_fleet_keys",
    "restore_fleet_keys",
]

FLEET_KEYS_KEY = b"sesamearch/peer-keys"


async def obtain_fleet_keys(store):
    """Read the fleet's peer keys, or create them if the store has none.

    Parameters
    ----------
    store : Store

    Returns
    -------
    result.Result[PeerKeys, ErrorKind]
    """
    # The keys never change, so that an older value is as good; it costs less.
    found = await store.range(FLEET_KEYS_KEY, allow_stale=True)
    if found.is_err():
        return found
    keys = _find(found.unwrap().items)
    if keys.is_err() or keys.unwrap() is not None:
        return keys
    public, secret = (key.decode() for key in zmq.curve_keypair())
    keys = PeerKeys(public, secret, [public])
    put = Put(FLEET_KEYS_KEY, keys.to_json())
    written = await store.txn([Comparison(FLEET_KEYS_KEY, 0)], [put])
    if written.is_ok() and written.unwrap().succeeded:
        return Ok(keys)
    # Another router wrote keys first, or the response to this write was lost: use the
    # stored keys.
    if written.is_ok():
        stored = written.unwrap().found
    else:
        found = await store.range(FLEET_KEYS_KEY)
        if found.is_err():
            return found
        stored = found.unwrap().items
    keys = _find(stored)
    if keys.is_ok() and keys.unwrap() is None:
        return Err(ErrorKind.STORE_UNAVAILABLE)
    return keys


async def read_fleet_keys(store, allow_stale=False):
    """Read the fleet's peer keys.

    Returns
    -------
    result.Result[PeerKeys or None, ErrorKind]
        None if the store has none.
    """
    found = await store.range(FLEET_KEYS_KEY, allow_stale=allow_stale)
    return found.and_then(lambda reply: _find(reply.items))


async def restore_fleet_keys(store, keys, may_replace):
    """Write the fleet's peer keys again if a restored store has lost them.

    Parameters
    ----------
    store : Store
    keys : PeerKeys
        Keys that this router uses.
    may_replace : bool
        Whether to replace other keys, which a router created on the restored store.

    Returns
    -------
    result.Result[PeerKeys, ErrorKind]
        The keys that are stored afterwards.
    """
    found = await store.range(FLEET_KEYS_KEY)
    if found.is_err():
        return found
    items = found.unwrap().items
    stored = _find(items)
    if stored.is_err():
        return stored
    is_kept = stored.unwrap() is not None and not may_replace
    if is_kept or stored.unwrap() == keys:
        return stored
    comparison = Comparison(FLEET_KEYS_KEY, _revision(items))
    put = Put(FLEET_KEYS_KEY, keys.to_json())
    written = await store.txn([comparison], [put])
    if written.is_ok() and written.unwrap().succeeded:
        return Ok(keys)
    # Another router wrote meanwhile, or the response was lost: the next attempt reads.
    return Err(ErrorKind.STORE_UNAVAILABLE)


def _revision(items):
    """Return the store revision of the keys, zero if there are none."""
    found = [item.mod_revision for item in items if item.key == FLEET_KEYS_KEY]
    return found[0] if found else 0


def _find(items):
    """Return ``Result[PeerKeys or None, ErrorKind]``."""
    for item in items:
        if item.key == FLEET_KEYS_KEY:
            return decode_peer_keys(item.value)
    return Ok(None)
