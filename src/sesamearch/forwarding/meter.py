"""Interface for the metrics of request forwarding."""

import abc

__all__ = ["Meter", "NoMeter"]


class Meter(abc.ABC):
    """Records metric samples.

    Label values come only from the configuration and from closed lists.
    """

    @abc.abstractmethod
    def request_ended(self, route, outcome, took_s):
        """Record the end of a request.

        Parameters
        ----------
        route, outcome : str
            The outcome is ``answered``, ``cut``, ``caller_left`` or an error kind.
        took_s : float
        """

    @abc.abstractmethod
    def try_ended(self, service, outcome):
        """Record the end of a try.

        Parameters
        ----------
        service, outcome : str
            The outcome is ``answered`` or the cause of the loss.
        """

    @abc.abstractmethod
    def first_event(self, route, took_s):
        """Record the time to the first event of a generation."""

    @abc.abstractmethod
    def resumed(self, route, pause_s):
        """Record the pause in a generation caused by a resume."""


class NoMeter(Meter):
    """Discards all samples."""

    def request_ended(self, route, outcome, took_s):
        """Ignore the sample."""

    def try_ended(self, service, outcome):
        """Ignore the sample."""

    def first_event(self, route, took_s):
        """Ignore the sample."""

    def resumed(self, route, pause_s):
        """Ignore the sample."""
