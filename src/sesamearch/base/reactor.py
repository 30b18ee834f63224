"""A reactor for processes that may stand still for seconds at any point."""

import time

from twisted.internet.epollreactor import EPollReactor
from twisted.internet.main import installReactor

__all__ = ["install_steady_reactor"]

# A wait that ends so much later than asked for shows that the process stood still.
MAX_LATENESS_S = 0.1


class SteadyReactor(EPollReactor):
    """An epoll reactor on the time since the boot, which counts suspensions too.

    Twisted's own uses the time of day, which may jump. After the process has stood
    still, all timers are late at once, while what came meanwhile lies unread in the
    sockets. It is read first, so that no timer takes for silence what was not read.
    """

    def seconds(self):
        """Return the time since the boot in seconds."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def doIteration(self, timeout):
        """Wait for events, and handle them; see ``ReactorBase``."""
        began_s = self.seconds()
        self.doPoll(timeout)
        if timeout is None:
            return
        if self.seconds() - began_s > timeout + MAX_LATENESS_S:
            self.doPoll(0)


def install_steady_reactor():
    """Install a :class:`SteadyReactor` and return it.

    Raises
    ------
    twisted.internet.error.ReactorAlreadyInstalledError
        If ``twisted.internet.reactor`` has already been imported.
    """
    reactor = SteadyReactor()
    installReactor(reactor)
    return reactor
