"""How one request fares with the quarantine of requests that end endpoints."""

from sesamearch.quarantine.controller import retry_after_s
from sesamearch.quarantine.fingerprint import RequestFingerprints
from sesamearch.wire.endpoint import Loss

__all__ = ["RequestQuarantine"]

_ENDPOINT_LOSSES = (Loss.CLOSED_UNANSWERED, Loss.CLOSED_MIDWAY)


class RequestQuarantine:
    """Tells whether a request is refused, and reports how it fares at endpoints.

    Parameters
    ----------
    tools : ForwardTools
    request : CallerRequest
    organisation : Organisation or None
        That of the caller.
    """

    __slots__ = ("_has_run", "_organisation", "_parts", "_request", "_tools")

    def __init__(self, tools, request, organisation):
        self._tools = tools
        self._request = request
        self._organisation = organisation.name if organisation else ""
        self._parts = None
        self._has_run = False

    @property
    def parts(self):
        """List of str : what other requests may share; see ``QuarantineController``."""
        if self._parts is None:
            self._parts = self._tools.quarantine.parts_of(
                self._request, self._organisation
            )
        return self._parts

    # Refusal.

    def find(self):
        """Return the :class:`Quarantine` by which the request is refused, or None."""
        return self._tools.quarantine.find(self.parts, self._request.request_id)

    @property
    def refusing_parts(self):
        """List of str : parts for which the request is refused; empty if it is not."""
        found = self.find()
        return found.parts if found is not None else []

    @property
    def wait_s(self):
        """Float : time for which a retry cannot help; zero if it is not refused."""
        found = self.find()
        return retry_after_s(found) if found is not None else 0.0

    def note_refused(self):
        """Count a refusal, and return its explanation to the caller."""
        self._tools.counters.quarantine_refusals += 1
        parts = self.refusing_parts
        if any(map(RequestFingerprints.is_request, parts)):
            return f"endpoints end under this request: {' '.join(parts)}"
        return f"engines end under these parts of the prompt: {' '.join(parts)}"

    # Reports.

    @property
    def has_run(self):
        """Bool : whether an endpoint is known to run the request without an end."""
        return self._has_run

    def note_sent(self):
        """Record that the request is sent to an endpoint."""
        self._tools.quarantine.note_sent(self._request.request_id)

    def note_lost(self, attempt, loss, was_writing=False):
        """Record a try that may have been lost with its endpoint.

        Returns
        -------
        bool
            Whether it may have been: it was sent, and no endpoint has run the request.
        """
        if self._has_run or loss not in _ENDPOINT_LOSSES or not attempt.is_sent:
            return False
        if not attempt.is_by_peer:
            self._tools.quarantine.note_lost(
                attempt.endpoint, self._request.request_id, self.parts, was_writing
            )
        return True

    def note_run(self):
        """Record that an endpoint has run the request, or writes on for some time."""
        self._has_run = True
        self._tools.quarantine.note_written(self.parts)

    def note_outlived(self):
        """Record that an engine wrote events and fell silent, but has not ended."""
        self._has_run = True

    def note_over(self):
        """Record the end of the request; its body is not needed any more."""
        self._tools.quarantine.note_over(self._request.request_id)
        self._request = self._request.without_body()
