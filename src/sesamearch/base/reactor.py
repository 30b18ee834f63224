"""A reactor that schedules by the monotonic clock."""

import time

from twisted.internet.epollreactor import EPollReactor
from twisted.internet.main import installReactor

__all__ = ["install_monotonic_reactor"]


class _MonotonicReactor(EPollReactor):
    """An epoll reactor on the monotonic clock; Twisted's own uses the time of day."""

    def seconds(self):
        """Return the monotonic time in seconds."""
        return time.monotonic()


def install_monotonic_reactor():
    """Install a reactor on the monotonic clock and return it.

    Raises
    ------
    twisted.internet.error.ReactorAlreadyInstalledError
        If ``twisted.internet.reactor`` has already been imported.
    """
    reactor = _MonotonicReactor()
    installReactor(reactor)
    return reactor
