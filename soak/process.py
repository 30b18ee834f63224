"""Processes of a run: started, told, signalled and ended by their ids."""

import os
import signal
import sys
from pathlib import Path

from twisted.internet.protocol import ProcessProtocol

from soak.note import decode_note, encode

__all__ = ["RouterProcess", "StandinProcess"]

ROOT = Path(__file__).parents[1]


class _Process(ProcessProtocol):
    """One process.

    Attributes
    ----------
    is_alive : bool
    exit_code : int or None
    ended : callable or None
        Called with the process when it has ended.
    """

    def __init__(self, reactor, arguments, environment):
        self._reactor = reactor
        self._arguments = [sys.executable, *arguments]
        self._environment = {**os.environ, **environment}
        self.is_alive = False
        self.exit_code = None
        self.ended = None

    def start(self):
        """Start it."""
        self.is_alive = True
        self._reactor.spawnProcess(
            self, sys.executable, self._arguments, self._environment, str(ROOT)
        )

    def signal(self, number):
        """Send it a signal, if it lives."""
        if self.is_alive:
            os.kill(self.transport.pid, number)

    def end(self):
        """Kill it, also when it is stopped."""
        self.signal(signal.SIGKILL)

    def processEnded(self, reason):
        """Take note of its end."""
        self.is_alive = False
        self.exit_code = reason.value.exitCode
        if self.ended is not None:
            self.ended(self)


class RouterProcess(_Process):
    """A router, whose output goes to a file."""

    def __init__(self, reactor, settings_path, log):
        environment = {"SESAMEARCH_SETTINGS": str(settings_path)}
        super().__init__(reactor, ["deploy/start.py"], environment)
        self._log = log

    def outReceived(self, data):
        """Keep its log."""
        self._log.write(data)

    errReceived = outReceived


class StandinProcess(_Process):
    """A stand-in, which tells what it sees."""

    def __init__(self, reactor, arguments, take, log):
        super().__init__(reactor, ["-m", "soak.standin", *arguments], {})
        self._take = take
        self._log = log
        self._rest = b""

    def tell(self, order):
        """Give it an order."""
        if self.is_alive:
            self.transport.write(encode(order) + b"\n")

    def outReceived(self, data):
        """Take its notes."""
        *lines, self._rest = (self._rest + data).split(b"\n")
        for line in lines:
            self._take(decode_note(line))

    def errReceived(self, data):
        """Keep what it complains about."""
        self._log.write(data)
