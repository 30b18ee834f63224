"""Interface to the store of rollout states and of what they showed of versions."""

import abc

__all__ = ["RolloutRegister"]


class RolloutRegister(abc.ABC):
    """Stores the state of rollouts, where operators read it, and standings."""

    @abc.abstractmethod
    def begin(self, order):
        """Record that an order is in progress, unless it already has a state.

        Returns
        -------
        twisted.internet.defer.Deferred of result.Result[RolloutOutcome, ErrorKind]
            The state that is stored for the order afterwards.
        """

    @abc.abstractmethod
    def end(self, order, state):
        """Record a final state, unless another one is already stored.

        Returns
        -------
        twisted.internet.defer.Deferred of result.Result[RolloutOutcome, ErrorKind]
            The state that is stored for the order afterwards.
        """

    @abc.abstractmethod
    def restore(self, order, state):
        """Record a final state that was acted on, whatever a restored store says.

        Returns
        -------
        twisted.internet.defer.Deferred of result.Result[RolloutOutcome, ErrorKind]
            The state that is stored for the order afterwards.
        """

    @abc.abstractmethod
    def read_standings(self):
        """Read the standings of the versions of all services.

        Returns
        -------
        twisted.internet.defer.Deferred of result.Result[list, ErrorKind]
            Each a :class:`VersionStanding`.
        """

    @abc.abstractmethod
    def write_standings(self, service, standings):
        """Add standings of a service's versions to those that are stored.

        Parameters
        ----------
        service : str
        standings : list of VersionStanding

        Returns
        -------
        twisted.internet.defer.Deferred of result.Result[list, ErrorKind]
            The standings of the service that are stored afterwards.
        """
