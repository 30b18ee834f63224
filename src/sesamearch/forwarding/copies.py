"""Backup copies of a generation's memory, held by another engine."""

from sesamearch.forwarding.request import MemoryCopy

__all__ = ["CopyManager"]

# A backup keeps a copy that the router requested for only some seconds, so the copy is
# requested again at this interval.
COPY_INTERVAL_S = 1.2


class CopyManager:
    """Keeps a copy of a generation's memory (its KV cache) on a backup engine.

    The engine that runs the generation copies its memory by itself to the backup
    named in the request. If that backup is lost, this class requests copies to
    another one and renews them at intervals.

    Parameters
    ----------
    tools : ForwardTools
    service : ServiceSpec
    need : GenerationNeed
    request_id : str
    is_usable : callable
        Returns whether an endpoint can take over the generation.
    """

    __slots__ = (
        "_backup_name",
        "_copy",
        "_is_copying",
        "_is_requested",
        "_is_usable",
        "_need",
        "_next_copy_s",
        "_request_id",
        "_run",
        "_service",
        "_tools",
        "_work",
    )

    def __init__(self, tools, service, need, request_id, is_usable):
        self._tools = tools
        self._service = service
        self._need = need
        self._request_id = request_id
        self._is_usable = is_usable
        self._copy = None
        self._backup_name = ""
        self._is_requested = False
        self._is_copying = False
        self._next_copy_s = 0.0
        self._work = None
        # Number of the generation's current run. A copy of the KV cache that was
        # requested in an earlier run may arrive late; it is freed and not used.
        self._run = 0

    def begin(self, endpoint):
        """Choose a backup for a run that starts at an endpoint.

        Returns
        -------
        str
            Address of the backup; empty for none.
        """
        self._drop()
        self._run += 1
        if not self._service.traits.supports_backups:
            return ""
        backup = self._choose(endpoint)
        if backup is None:
            return ""
        # A copy that the engine sends by itself is identified by the backup's own
        # address and the request ID.
        copy = MemoryCopy(backup.address, backup.address, self._request_id)
        self._set_copy(backup, copy, is_requested=False)
        return backup.address

    def find(self):
        """Return the copy to resume the generation from.

        Returns
        -------
        Endpoint or None
            The backup, if it can take over the generation.
        MemoryCopy or None
            None if there is no usable backup.
        """
        if self._copy is None:
            return None, None
        backup = self._tools.endpoint_index.at_address(self._copy.target_address)
        if backup is None or not self._is_usable(backup):
            return None, None
        return backup, self._copy

    def refresh(self, endpoint):
        """Request a copy if no usable backup has one, and again at intervals.

        Called at short intervals while the generation runs at `endpoint`. A copy that
        the engine sends by itself is not requested.
        """
        now_s = self._tools.clock.seconds()
        if not self._service.traits.supports_moves or self._is_copying:
            return
        backup = self._usable_backup()
        if (backup is not None and not self._is_requested) or now_s < self._next_copy_s:
            return
        if backup is None:
            self._drop()
            backup = self._choose(endpoint)
        self._next_copy_s = now_s + COPY_INTERVAL_S
        if backup is not None:
            self._request_copy(endpoint, backup)

    @property
    def copy(self):
        """MemoryCopy or None : the copy, whether this router reaches its backup or not.

        For a router by way of which the generation goes on.
        """
        return self._copy

    def adopt(self, copy):
        """Use a copy that another router had made of the generation's memory."""
        backup = self._tools.endpoint_index.at_address(copy.target_address)
        if backup is not None:
            self._set_copy(backup, copy, is_requested=False)

    def close(self):
        """Drop the copy at the end of the generation."""
        if self._copy is not None and self._is_requested:
            self._free(self._copy)
        self._drop()
        self._run += 1

    def _usable_backup(self):
        """Return the backup, or None if there is none or it cannot be used."""
        if self._copy is None:
            return None
        backup = self._tools.endpoint_index.find(self._backup_name)
        return backup if backup is not None and self._is_usable(backup) else None

    def _choose(self, endpoint):
        return self._tools.chooser.for_backup(
            endpoint, self._service.traits, self._need, self._request_id
        )

    def _set_copy(self, backup, copy, is_requested):
        self._copy = copy
        self._backup_name = backup.name
        self._is_requested = is_requested
        if self._work is None:
            tokens = self._need.memory_tokens
            self._work = self._tools.loads.begin(backup.name, 0, tokens, running=0)

    def _drop(self):
        self._copy = None
        work, self._work = self._work, None
        if work is not None:
            work.end()

    def _request_copy(self, endpoint, backup):
        self._is_copying = True
        self._tools.counters.copies += 1
        copied = self._tools.client.copy_memory(endpoint, self._request_id, backup)
        copied.addCallback(self._handle_copied, backup, self._run)

    def _handle_copied(self, copy, backup, run):
        self._is_copying = False
        if copy is None:
            return
        if run == self._run:
            self._set_copy(backup, copy, is_requested=True)
        else:
            self._free(copy)

    def _free(self, copy):
        source = self._tools.endpoint_index.at_address(copy.source_address)
        if source is not None:
            self._tools.client.free_memory(source, copy)
