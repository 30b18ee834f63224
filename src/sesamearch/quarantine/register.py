"""Interface to the store of quarantines."""

import abc

__all__ = ["QuarantineRegister"]


class QuarantineRegister(abc.ABC):
    """Stores quarantines, so that they outlive all routers."""

    @abc.abstractmethod
    def write(self, quarantine):
        """Record a :class:`Quarantine`, unless the same or a later change is stored.

        Returns
        -------
        twisted.internet.defer.Deferred of result.Result[bool, ErrorKind]
            Whether it was written by this call.
        """
