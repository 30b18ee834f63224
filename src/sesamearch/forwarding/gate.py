"""Interface that limits which version of a service a request may go to."""

import abc

__all__ = ["NO_OBSERVER", "OpenGate", "TryObserver", "VersionGate"]


class TryObserver(abc.ABC):
    """Records how one try goes, as evidence on the version of its endpoint."""

    @abc.abstractmethod
    def answered(self, is_failure):
        """Record the whole answer, or the first event of a generation."""

    @abc.abstractmethod
    def received_events(self, count):
        """Record events of a generation that arrived together."""

    @abc.abstractmethod
    def unanswered(self):
        """Record that no answer came for as long as the try was given."""

    @abc.abstractmethod
    def lost(self):
        """Record that the endpoint broke the answer off or fell silent."""

    @abc.abstractmethod
    def ended(self):
        """Stop to observe the try, however it ended."""


class _NoObserver(TryObserver):
    """Records nothing."""

    def answered(self, is_failure):
        """Ignore the answer."""

    def received_events(self, count):
        """Ignore the events."""

    def unanswered(self):
        """Ignore the silence."""

    def lost(self):
        """Ignore the loss."""

    def ended(self):
        """Ignore the end."""


NO_OBSERVER = _NoObserver()


class VersionGate(abc.ABC):
    """Limits the requests to a new version and receives the outcomes of both."""

    @abc.abstractmethod
    def admits(self, endpoint, request_id):
        """Return whether a request may go to an endpoint.

        The result for the same request and version is always the same.
        """

    @abc.abstractmethod
    def is_fallback(self, endpoint):
        """Return whether an endpoint may serve retries, and requests not admitted.

        A request is not admitted if :meth:`admits` is false for all endpoints. A new
        version on trial is no fallback: its failures are retried at the old version.
        """

    @abc.abstractmethod
    def is_withheld(self, endpoint):
        """Return whether an endpoint's version gets no requests at all."""

    @abc.abstractmethod
    def sent(self, endpoint, route, is_resumed):
        """Count a request that is sent to an endpoint.

        Parameters
        ----------
        endpoint : Endpoint
        route : str
            Name of the route.
        is_resumed : bool
            Whether a generation goes on after an event. The time to its next event
            depends on what the engine kept of it.

        Returns
        -------
        TryObserver
        """


class OpenGate(VersionGate):
    """Admits every request, for use without rollouts."""

    def admits(self, endpoint, request_id):
        """Return True."""
        return True

    def is_fallback(self, endpoint):
        """Return True."""
        return True

    def is_withheld(self, endpoint):
        """Return False."""
        return False

    def sent(self, endpoint, route, is_resumed):
        """Return an observer that records nothing."""
        return NO_OBSERVER
