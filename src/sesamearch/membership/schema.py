"""How messages among routers state their layout, and revisions of the store."""

from sesamearch.base.log import logger
from sesamearch.store.store import StoreRevision

__all__ = ["UNSTATED_ERA", "is_known_version", "revision_of"]

# Era in messages of an earlier build, which does not state it.
UNSTATED_ERA = -1


def is_known_version(message, version):
    """Return whether a message has a layout that this build knows; log if not."""
    if message.schema_version == version:
        return True
    logger.warning(
        "ignored {} of schema version {}",
        type(message).__name__,
        message.schema_version,
    )
    return False


def revision_of(era, number, own):
    """Return the :class:`StoreRevision` that a message states.

    Parameters
    ----------
    era, number : int
        As stated in the message.
    own : StoreRevision
        Its era is assumed if the sender does not state one.
    """
    return StoreRevision(own.era if era == UNSTATED_ERA else era, number)
