"""Publishing of configurations by compare-and-swap in the store."""

import difflib
import time

import msgspec
import yaml
from result import Err, Ok
from twisted.internet.defer import Deferred

from sesamearch.base.errors import ErrorKind, Problem
from sesamearch.configuration.configuration import Configuration
from sesamearch.configuration.follower import CONFIGURATION_KEY
from sesamearch.store.store import Comparison, Put, StoredValue

__all__ = [
    "PublishedEntry",
    "diff_configurations",
    "publish",
    "read_configuration",
    "read_history",
]

HISTORY_PREFIX = b"/sesamearch/published/"
HISTORY_ENTRIES = 100


class PublishedEntry(StoredValue, frozen=True):
    """One published revision in the history.

    Parameters
    ----------
    revision : int
    operator : str
        Operator who published it.
    published_s : float
        Unix time of publication.
    services : list of str
        Names of the services in the configuration.
    """

    revision: int
    operator: str
    published_s: float
    services: list[str]


def _history_key(revision):
    return HISTORY_PREFIX + b"%010d" % revision


def diff_configurations(current, proposed):
    """Return what publishing would change, as lines of a unified diff.

    Parameters
    ----------
    current, proposed : Configuration

    Returns
    -------
    list of str
        Empty if nothing would change.
    """
    return list(
        difflib.unified_diff(
            _to_lines(current),
            _to_lines(proposed),
            "in force",
            "to publish",
            lineterm="",
        )
    )


def _to_lines(configuration):
    parts = msgspec.to_builtins(configuration)
    named = {f"service {part['service']}": part for part in parts["services"]}
    for part in parts["organisations"]:
        named[f"organisation {part['name']}"] = part
    return yaml.safe_dump(named, sort_keys=True).splitlines()


def read_history(store):
    """Read the history of published revisions, the newest last.

    Parameters
    ----------
    store : Store

    Returns
    -------
    Deferred of result.Result[list of PublishedEntry, Problem]
    """
    return store.range(HISTORY_PREFIX).addCallback(_to_history)


def _to_history(result):
    if result.is_err():
        return Err(Problem(result.unwrap_err(), "reading the history"))
    return Ok([PublishedEntry.from_json(kv.value) for kv in result.unwrap().items])


class StoredConfiguration(msgspec.Struct, frozen=True):
    """The configuration in the store, and the store revision of its last write."""

    configuration: Configuration
    mod_revision: int


def read_configuration(store):
    """Read the published configuration.

    Parameters
    ----------
    store : Store

    Returns
    -------
    Deferred of result.Result[StoredConfiguration, Problem]
        A configuration with revision zero if none was ever published.
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
        From :func:`~sesamearch.configuration.configuration.collect`.
    operator : str
        Name of the operator who publishes.
    expected_revision : int or None
        Fail if the store has a different revision.

    Returns
    -------
    Deferred of result.Result[Configuration, Problem]
        The configuration as published; ``CONFIGURATION_CONFLICT`` if another
        operator published first; ``STORE_UNAVAILABLE`` if the store could not be
        read, either at first or to learn the outcome.
    """
    return Deferred.fromCoroutine(
        _publish(store, configuration, operator, expected_revision)
    )


async def _publish(store, configuration, operator, expected_revision):
    read = await _read(store)
    if read.is_err():
        return read
    stored = read.unwrap()
    current = stored.configuration
    if expected_revision not in (None, current.revision):
        return Err(_conflict(current))
    proposed = msgspec.structs.replace(
        configuration, revision=current.revision + 1, published_by=operator
    )
    comparisons = [Comparison(CONFIGURATION_KEY, stored.mod_revision)]
    entry = PublishedEntry(
        proposed.revision, operator, time.time(), [s.service for s in proposed.services]
    )
    puts = [
        Put(CONFIGURATION_KEY, proposed.to_json()),
        Put(_history_key(proposed.revision), entry.to_json()),
        Put(_history_key(max(0, proposed.revision - HISTORY_ENTRIES)), None),
    ]
    written = await store.txn(comparisons, puts)
    if written.is_ok() and written.unwrap().succeeded:
        return Ok(proposed)
    # Either another operator published first, or the response was lost: the value
    # that is in the store now tells which.
    reread = await _read(store)
    if reread.is_err():
        detail = "the write may have taken effect; check with `sesamearch status`"
        return Err(Problem(ErrorKind.STORE_UNAVAILABLE, detail))
    current = reread.unwrap().configuration
    return Ok(proposed) if current == proposed else Err(_conflict(current))


def _conflict(current):
    publisher = current.published_by or "nobody"
    detail = f"revision {current.revision} by {publisher} is in the store"
    return Problem(ErrorKind.CONFIGURATION_CONFLICT, detail)
