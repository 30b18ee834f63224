"""Publishing: one compare-and-swap puts a checked configuration in force."""

import msgspec
from result import Err, Ok
from twisted.internet.defer import Deferred

from sesamearch.configuration import Configuration
from sesamearch.errors import ErrorKind, Problem
from sesamearch.follower import CONFIGURATION_KEY
from sesamearch.store import Comparison, Put

__all__ = ["publish", "read_configuration"]


class StoredConfiguration(msgspec.Struct, frozen=True):
    """The configuration in the store, and the revision to compare with."""

    configuration: Configuration
    mod_revision: int


def read_configuration(store):
    """Read what is published.

    Parameters
    ----------
    store : Store

    Returns
    -------
    Deferred of result.Result[StoredConfiguration, Problem]
        Revision zero if nothing was ever published.
    """
    return Deferred.fromCoroutine(_read(store))


async def _read(store):
    result = await store.range(CONFIGURATION_KEY)
    if result.is_err():
        return Err(Problem(result.unwrap_err(), "reading the configuration"))
    for item in result.unwrap().items:
        if item.key == CONFIGURATION_KEY:
            configuration = Configuration.from_json(item.value)
            return Ok(StoredConfiguration(configuration, item.mod_revision))
    return Ok(StoredConfiguration(Configuration(), 0))


def publish(store, configuration, operator, expected_revision=None):
    """Publish a configuration as the next revision.

    Parameters
    ----------
    store : Store
    configuration : Configuration
        From :func:`~sesamearch.configuration.collect`.
    operator : str
        Who publishes.
    expected_revision : int or None
        Refuse if another revision is in the store.

    Returns
    -------
    Deferred of result.Result[Configuration, Problem]
        What was accepted; ``CONFIGURATION_CONFLICT`` if another operator was
        first; ``STORE_UNAVAILABLE`` if the outcome could not be read back.
    """
    return Deferred.fromCoroutine(
        _publish(store, configuration, operator, expected_revision)
    )


async def _publish(store, configuration, operator, expected_revision):
    read = await _read(store)
    if read.is_err():
        return read
    stored = read.unwrap()
    present = stored.configuration
    if expected_revision not in (None, present.revision):
        return Err(_conflict(present))
    wanted = msgspec.structs.replace(
        configuration, revision=present.revision + 1, published_by=operator
    )
    comparisons = [Comparison(CONFIGURATION_KEY, stored.mod_revision)]
    puts = [Put(CONFIGURATION_KEY, wanted.to_json())]
    written = await store.txn(comparisons, puts)
    if written.is_ok() and written.unwrap().succeeded:
        return Ok(wanted)
    # Either another operator was first, or the answer was lost: both are told
    # apart by what stands there now.
    again = await _read(store)
    if again.is_err():
        detail = "the write may have taken effect; ask again with `sesamearch status`"
        return Err(Problem(ErrorKind.STORE_UNAVAILABLE, detail))
    present = again.unwrap().configuration
    return Ok(wanted) if present == wanted else Err(_conflict(present))


def _conflict(present):
    who = present.published_by or "nobody"
    detail = f"revision {present.revision} by {who} is in the store"
    return Problem(ErrorKind.CONFIGURATION_CONFLICT, detail)
