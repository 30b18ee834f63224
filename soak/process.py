"""Child processes of a run: routers and stand-ins."""

import os
import signal
import sys
from pathlib import Path

from twisted.internet.protocol import ProcessProtocol

from soak.note import decode_note, encode

__all__ = ["RouterProcess", "StandinProcess"]

ROOT = Path(__file__).parents[1]


class _Process(ProcessProtocol):
    """A child process, signalled by its process id.

    Attributes
    ----------
    is_alive : bool
    exit_code : int or None
    on_exit : callable or None
        Called with the process when it has exited.
    """

    def __init__(self, reactor, arguments, environment):
        self._reactor = reactor
        self._arguments = [sys.executable, *arguments]
        self._environment = {**os.environ, **environment}
        self.is_alive = False
        self.exit_code = None
        self.on_exit = None

    def start(self):
        """Spawn the process."""
        self.is_alive = True
        self._reactor.spawnProcess(
            self, sys.executable, self._arguments, self._environment, str(ROOT)
        )

    def signal(self, number):
        """Send a signal to the process if it is alive."""
        if self.is_alive:
            os.kill(self.transport.pid, number)

    def kill(self):
        """Kill the process; SIGKILL also ends a process stopped by SIGSTOP."""
        self.signal(signal.SIGKILL)

    def processEnded(self, reason):
        """Record the exit code and call `on_exit`."""
        self.is_alive = False
        self.exit_code = reason.value.exitCode
        if self.on_exit is not None:
            self.on_exit(self)


class RouterProcess(_Process):
    """A router process that writes its output to a log file."""

    def __init__(self, reactor, settings_path, log):
        environment = {"SESAMEARCH_SETTINGS": str(settings_path)}
        super().__init__(reactor, ["deploy/start.py"], environment)
        self._log = log

    def outReceived(self, data):
        """Write the output to the log file."""
        self._log.write(data)

    errReceived = outReceived


class StandinProcess(_Process):
    """A stand-in process that sends notes and receives commands."""

    def __init__(self, reactor, arguments, handle_note, log):
        super().__init__(reactor, ["-m", "soak.standin", *arguments], {})
        self._handle_note = handle_note
        self._log = log
        self._partial_line = b""

    def send_command(self, command):
        """Send a command if the process is alive."""
        if self.is_alive:
            self.transport.write(encode(command) + b"\n")

    def outReceived(self, data):
        """Decode notes and pass them to `handle_note`."""
        *lines, self._partial_line = (self._partial_line + data).split(b"\n")
        for line in lines:
            self._handle_note(decode_note(line))

    def errReceived(self, data):
        """Write the error output to the log file."""
        self._log.write(data)
