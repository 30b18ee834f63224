"""Which version of a service a request may go to."""

import abc

__all__ = ["OpenGate", "VersionGate"]


class VersionGate(abc.ABC):
    """Limits what a new version gets, and hears how both versions do."""

    @abc.abstractmethod
    def admits(self, endpoint, request_id):
        """Return whether a request may go to an endpoint.

        The answer for one request and version is the same every time.
        """

    @abc.abstractmethod
    def is_fallback(self, endpoint):
        """Return whether an endpoint may take what failed or found none elsewhere.

        A new version on trial may not: what it spoils is to be repaired by the old.
        """

    @abc.abstractmethod
    def sent(self, endpoint):
        """Count a request that is sent to an endpoint."""

    @abc.abstractmethod
    def answered(self, endpoint, route, is_failure, took_s):
        """Take how a request went.

        Parameters
        ----------
        endpoint : Endpoint
        route : str
            Name of the route.
        is_failure : bool
        took_s : float
            Time to the answer, for a generation to its first event.
        """


class OpenGate(VersionGate):
    """Admits everything: there are no rollouts."""

    def admits(self, endpoint, request_id):
        """Return True."""
        return True

    def is_fallback(self, endpoint):
        """Return True."""
        return True

    def sent(self, endpoint):
        """Count nothing."""

    def answered(self, endpoint, route, is_failure, took_s):
        """Remember nothing."""
