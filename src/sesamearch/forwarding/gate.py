"""Interface that limits which version of a service a request may go to."""

import abc

__all__ = ["OpenGate", "VersionGate"]


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
    def sent(self, endpoint):
        """Count a request that is sent to an endpoint."""

    @abc.abstractmethod
    def answered(self, endpoint, route, is_failure, took_s):
        """Record the outcome of a request that an endpoint got.

        Parameters
        ----------
        endpoint : Endpoint
        route : str
            Name of the route.
        is_failure : bool
        took_s : float
            Time to the answer; for a generation, to its first event.
        """


class OpenGate(VersionGate):
    """Admits every request, for use without rollouts."""

    def admits(self, endpoint, request_id):
        """Return True."""
        return True

    def is_fallback(self, endpoint):
        """Return True."""
        return True

    def sent(self, endpoint):
        """Ignore the request."""

    def answered(self, endpoint, route, is_failure, took_s):
        """Ignore the outcome."""
