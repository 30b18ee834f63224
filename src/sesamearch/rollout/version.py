"""Choice of the version for a request, the same wherever it is asked."""

import hashlib

from sesamearch.rollout.move import choose_by_move

__all__ = ["VersionChooser", "choose_by_share", "request_point"]

_HASH_SPAN = 1 << 64


def request_point(request_id):
    """Return a fixed point from 0 to 1 for a request id or idempotency key."""
    digest = hashlib.blake2b(request_id.encode(), digest_size=8).digest()
    return int.from_bytes(digest, "big") / _HASH_SPAN


def choose_by_share(service, request_id):
    """Choose by the published shares.

    Parameters
    ----------
    service : EngineService or PlainService
    request_id : str

    Returns
    -------
    str
        Name of a version.
    """
    point_ratio = request_point(request_id)
    for version in service.versions:
        point_ratio -= version.share_ratio
        if point_ratio < 0:
            return version.name
    return max(service.versions, key=lambda version: version.share_ratio).name


class VersionChooser:
    """Choose by the move of a service, or by its published shares without one.

    Parameters
    ----------
    board : Blackboard
    """

    __slots__ = ("_board",)

    def __init__(self, board):
        self._board = board

    def choose(self, service, request_id):
        """Return the name of the version for a request id or idempotency key."""
        record = self._board.moves.value.get(service.service)
        if record is None:
            return choose_by_share(service, request_id)
        is_vetoed = record.move_id in self._board.rejected_moves.value
        return choose_by_move(record, request_point(request_id), is_vetoed)
