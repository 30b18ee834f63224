"""The router daemon as the platform starts it."""

import os
import signal
import sys
import time

from sesamearch.base.early import listen_early
from sesamearch.platform.settings import SETTINGS_VARIABLE, load_front_settings

__all__ = ["main"]

EXIT_SETTINGS = 2
EXIT_FAILED = 5


def main():
    """Run a router until it is told to stop; return its exit code."""
    path = os.environ.get(SETTINGS_VARIABLE, "")
    loaded = load_front_settings(path)
    if loaded.is_err():
        for fault in loaded.unwrap_err():
            print(fault.to_text(), file=sys.stderr)
        return EXIT_SETTINGS
    settings = loaded.unwrap()
    try:
        early_socket = listen_early(settings.listen)
    except OSError as error:
        print(f"{settings.listen}: {error}", file=sys.stderr)
        return EXIT_FAILED
    return _run(path, settings, early_socket)


def _run(path, settings, early_socket):
    # Loaded when callers can connect already. The reactor is chosen first: most of
    # Twisted installs its default one.
    from sesamearch.base.log import set_up_records
    from sesamearch.base.reactor import install_monotonic_reactor

    reactor = install_monotonic_reactor()
    from sesamearch.daemon.front import Front

    lines = set_up_records(settings.name, time.time)
    front = Front(reactor, settings, lines)
    started = front.start(early_socket)
    if started.is_err():
        print(started.unwrap_err().to_text(), file=sys.stderr)
        return EXIT_FAILED
    front.handle_signals(lambda: load_front_settings(path))
    reactor.run(installSignalHandlers=False)
    # The interpreter takes its handlers away before it ends.
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
    lines.flush()
    return 0
