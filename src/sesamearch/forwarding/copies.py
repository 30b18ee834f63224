"""Copies of a generation's memory, kept on another engine than its own."""

from sesamearch.forwarding.request import MemoryCopy

__all__ = ["CopyKeeper"]

# A copy that was ordered is dropped by its holder after some seconds.
ORDER_INTERVAL_S = 1.2


class CopyKeeper:
    """Sees to it that one engine holds a copy of a generation's memory.

    The engine that runs it sends the copy by itself to the holder that it is told at
    first. If that one is gone, it is ordered to copy to another one, again and again.

    Parameters
    ----------
    tools : ForwardTools
    service : ServiceSpec
    need : GenerationNeed
    request_id : str
    is_usable : callable
        Tells whether an endpoint may take the generation.
    """

    __slots__ = (
        "_copy",
        "_holder_name",
        "_is_ordered",
        "_is_ordering",
        "_is_usable",
        "_need",
        "_order_due_s",
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
        self._holder_name = ""
        self._is_ordered = False
        self._is_ordering = False
        self._order_due_s = 0.0
        self._work = None
        # Counts runs: an order of an earlier run may be answered in a later one.
        self._run = 0

    def begin(self, endpoint):
        """Choose a holder for a run that begins at an endpoint.

        Returns
        -------
        str
            Address of the holder, empty for none.
        """
        self._drop()
        self._run += 1
        if not self._service.engine.supports_backups:
            return ""
        holder = self._choose(endpoint)
        if holder is None:
            return ""
        copy = MemoryCopy(holder.address, holder.address, self._request_id)
        self._hold(holder, copy, is_ordered=False)
        return holder.address

    def take(self):
        """Give the copy up to be gone on from.

        Returns
        -------
        Endpoint or None
            The holder, if it can take the generation.
        MemoryCopy or None
        """
        copy = self._copy
        self._drop()
        self._run += 1
        if copy is None:
            return None, None
        holder = self._tools.fleet.at_address(copy.holder_address)
        if holder is None or not self._is_usable(holder):
            return None, None
        return holder, copy

    def keep(self, endpoint):
        """Order a copy where there is none, and keep an ordered one fresh.

        Called at short intervals while the generation runs at `endpoint`.
        """
        now_s = self._tools.clock.seconds()
        if not self._service.engine.supports_moves or self._is_ordering:
            return
        holder = self._holder()
        if (holder is not None and not self._is_ordered) or now_s < self._order_due_s:
            return
        if holder is None:
            self._drop()
            holder = self._choose(endpoint)
        self._order_due_s = now_s + ORDER_INTERVAL_S
        if holder is not None:
            self._order(endpoint, holder)

    def close(self):
        """Drop the copy: the generation is over."""
        if self._copy is not None and self._is_ordered:
            self._free(self._copy)
        self._drop()
        self._run += 1

    def _holder(self):
        """Return the endpoint that holds the copy, or None if it cannot be used."""
        if self._copy is None:
            return None
        holder = self._tools.fleet.find(self._holder_name)
        return holder if holder is not None and self._is_usable(holder) else None

    def _choose(self, endpoint):
        return self._tools.chooser.for_backup(
            endpoint, self._service.engine, self._need, self._request_id
        )

    def _hold(self, holder, copy, is_ordered):
        self._copy = copy
        self._holder_name = holder.name
        self._is_ordered = is_ordered
        if self._work is None:
            tokens = self._need.memory_tokens
            self._work = self._tools.loads.begin(holder.name, 0, tokens, running=0)

    def _drop(self):
        self._copy = None
        work, self._work = self._work, None
        if work is not None:
            work.end()

    def _order(self, endpoint, holder):
        self._is_ordering = True
        self._tools.counters.copies += 1
        made = self._tools.client.copy_memory(endpoint, self._request_id, holder)
        made.addCallback(self._take_made, holder, self._run)

    def _take_made(self, copy, holder, run):
        self._is_ordering = False
        if copy is None:
            return
        if run == self._run:
            self._hold(holder, copy, is_ordered=True)
        else:
            self._free(copy)

    def _free(self, copy):
        source = self._tools.fleet.at_address(copy.source_address)
        if source is not None:
            self._tools.client.free_memory(source, copy)
