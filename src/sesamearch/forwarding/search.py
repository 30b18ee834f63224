"""Search for the engine that runs a generation next."""

from sesamearch.forwarding.choice import GenerationNeed
from sesamearch.forwarding.copies import CopyManager

__all__ = ["EngineSearch"]


class EngineSearch:
    """Finds the engine for the next run of a generation, and manages its copy.

    Parameters
    ----------
    tools : ForwardTools
    service : ServiceSpec
    request : CallerRequest
    excluded : set of str
        Names of engines not to choose; the caller changes it.
    permit : RequestPermit

    Attributes
    ----------
    need : GenerationNeed
    copies : CopyManager
    """

    __slots__ = (
        "_excluded",
        "_permit",
        "_request",
        "_service",
        "_tools",
        "copies",
        "need",
    )

    def __init__(self, tools, service, request, excluded, permit):
        self._permit = permit
        self._tools = tools
        self._service = service
        self._request = request
        self._excluded = excluded
        self.need = GenerationNeed(
            request.prompt_tokens, request.prompt_tokens + request.output_tokens
        )
        self.copies = CopyManager(
            tools, service, self.need, request.request_id, self._is_usable
        )

    def find(self, has_copy, is_resuming):
        """Find the engine for the next run.

        Parameters
        ----------
        has_copy : bool
            Whether the backup can have a copy of the last run's memory.
        is_resuming : bool
            Whether the caller got events before.

        Returns
        -------
        Endpoint or None
        MemoryCopy or None
            Copy to resume from, if any.
        """
        endpoint, copy = self.copies.find()
        held = self._permit.held_endpoint()
        if held is not None:
            has_copy = has_copy and endpoint is not None and endpoint.name == held.name
            return held, copy if has_copy else None
        if endpoint is not None and has_copy and self._is_available(endpoint):
            return endpoint, copy
        return self._find_without_copy(is_resuming), None

    def find_reachable(self, has_copy, is_resuming):
        """Find an engine that can take over from a silent one.

        The same as :meth:`find`, but an engine that is avoided itself is not found.
        """
        endpoint, copy = self.find(has_copy, is_resuming)
        if endpoint is None or not self._is_reachable(endpoint):
            return None, None
        return endpoint, copy

    def _find_without_copy(self, is_resuming):
        with_prompt = self._endpoint_with_prompt() if is_resuming else None
        return with_prompt or self._choose_any()

    def _endpoint_with_prompt(self):
        """Return the engine that has the generation's prompt cached."""
        name = self._tools.prompts.find(self._request.last_part)
        endpoint = self._tools.endpoint_index.find(name)
        if endpoint is None or name in self._excluded or not self._is_usable(endpoint):
            return None
        return endpoint if self._is_available(endpoint) else None

    def _choose_any(self):
        return self._tools.chooser.for_generation(
            self._service.name,
            self._service.traits,
            self.need,
            self._request.request_id,
            self._excluded,
            self._request.prompt_parts,
            self._permit.denied,
        )

    def _is_usable(self, endpoint):
        is_of_service = endpoint.service == self._service.name
        is_admitted = self._tools.gate.admits(endpoint, self._request.request_id)
        is_staying = is_of_service and not endpoint.leaving
        return is_staying and is_admitted and self._is_reachable(endpoint)

    def _is_available(self, endpoint):
        """Return whether an engine neither asked for a pause nor denied a permit."""
        if endpoint.name in self._permit.denied:
            return False
        return not self._tools.pauses.is_paused(endpoint)

    def _is_reachable(self, endpoint):
        is_down = self._tools.health.is_down(endpoint.name)
        is_down |= self._tools.outages.is_unreachable(endpoint.data_centre)
        return not is_down
