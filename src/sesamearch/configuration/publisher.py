"""Publishing: one compare-and-swap puts a checked configuration in force."""

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
    """One accepted revision in the history.

    Parameters
    ----------
    revision : int
    operator : str
    published_s : float
        Unix time.
    services : list of str
        Names of the services in it.
    """

    revision: int
    operator: str
    published_s: float
    services: list[str]


def _history_key(revision):
    return HISTORY_PREFIX + b"%010d" % revision


def diff_configurations(present, wanted):
    """Return what publishing would change, as lines of a unified difference.

    Parameters
    ----------
    present, wanted : Configuration

    Returns
    -------
    list of str
        Empty if nothing would change.
    """
    return list(
        difflib.unified_diff(
            _to_lines(present), _to_lines(wanted), "in force", "to publish", lineterm=""
        )
    )


def _to_lines(configuration):
    parts = msgspec.to_builtins(configuration)
    named = {f"service {part['service']}": part for part in parts["services"]}
    for part in parts["organisations"]:
        named[f"organisation {part['name']}"] = part
    return yaml.safe_dump(named, sort_keys=True).splitlines()


def read_history(store):
    """Read who published what, the newest last.

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
        From :func:`~sesamearch.configuration.configuration.collect`.
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
    entry = PublishedEntry(
        wanted.revision, operator, time.time(), [s.service for s in wanted.services]
    )
    puts = [
        Put(CONFIGURATION_KEY, wanted.to_json()),
        Put(_history_key(wanted.revision), entry.to_json()),
        Put(_history_key(max(0, wanted.revision - HISTORY_ENTRIES)), None),
    ]
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
