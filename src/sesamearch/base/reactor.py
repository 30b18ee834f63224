"""A reactor whose time never steps."""

import time

from twisted.internet.epollreactor import EPollReactor
from twisted.internet.main import installReactor

__all__ = ["install_monotonic_reactor"]


class _SteadyReactor(EPollReactor):
    """Schedules by the monotonic clock: the library's own uses the time of day."""

    def seconds(self):
        """Return the monotonic time in seconds."""
        return time.monotonic()


def install_monotonic_reactor():
    """Install and return the reactor.

    Raises
    ------
    twisted.internet.error.ReactorAlreadyInstalledError
        If ``twisted.internet.reactor`` was imported before.
    """
    reactor = _SteadyReactor()
    installReactor(reactor)
    return reactor
