"""Choice of the version for a request; all routers choose the same one."""

import hashlib

from sesamearch.rollout.move import choose_version_by_move

__all__ = ["VersionChooser", "choose_version_by_share", "request_hash_ratio"]

_HASH_VALUES = 1 << 64


def request_hash_ratio(request_id):
    """Return the hash of a request ID or idempotency key, scaled to [0, 1)."""
    digest = hashlib.blake2b(request_id.encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big") / _HASH_VALUES


def choose_version_by_share(service, request_id):
    """Choose the version for a request by the published shares.

    Parameters
    ----------
    service : EngineService or PlainService
    request_id : str

    Returns
    -------
    str
        Name of a version.
    """
    hash_ratio = request_hash_ratio(request_id)
    for version in service.versions:
        hash_ratio -= version.share_ratio
        if hash_ratio < 0:
            return version.name
    return max(service.versions, key=lambda version: version.share_ratio).name


class VersionChooser:
    """Chooses versions by the move of a service, or by its published shares if none.

    Parameters
    ----------
    board : Blackboard
    """

    __slots__ = ("_board",)

    def __init__(self, board):
        self._board = board

    def choose(self, service, request_id):
        """Return the name of the version for a request ID or idempotency key."""
        record = self._board.moves.value.get(service.service)
        if record is None:
            return choose_version_by_share(service, request_id)
        is_vetoed = record.move_id in self._board.rejected_moves.value
        return choose_version_by_move(record, request_hash_ratio(request_id), is_vetoed)
