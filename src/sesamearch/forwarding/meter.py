"""What the forwarding of requests is measured by."""

import abc

__all__ = ["Meter", "NoMeter"]


class Meter(abc.ABC):
    """Takes samples; label values come from the configuration and closed lists."""

    @abc.abstractmethod
    def request_ended(self, route, outcome, took_s):
        """Take a request's end.

        Parameters
        ----------
        route, outcome : str
            The outcome is ``answered``, ``failed``, ``cut``, ``caller_left`` or an
            error kind.
        took_s : float
        """

    @abc.abstractmethod
    def try_ended(self, service, outcome):
        """Take a try's end.

        Parameters
        ----------
        service, outcome : str
            The outcome is ``answered`` or the cause of the loss.
        """

    @abc.abstractmethod
    def first_event(self, route, took_s):
        """Take the time to a generation's first event."""

    @abc.abstractmethod
    def resumed(self, route, pause_s):
        """Take the pause that a resumption made in a generation."""


class NoMeter(Meter):
    """Measures nothing."""

    def request_ended(self, route, outcome, took_s):
        """Ignore the sample."""

    def try_ended(self, service, outcome):
        """Ignore the sample."""

    def first_event(self, route, took_s):
        """Ignore the sample."""

    def resumed(self, route, pause_s):
        """Ignore the sample."""
