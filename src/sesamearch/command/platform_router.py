"""Entry point of the router daemon on the platform."""

import os
import signal
import sys
import time

from sesamearch.base.early import listen_early
from sesamearch.platform.settings import SETTINGS_VARIABLE, load_platform_settings

__all__ = ["main"]

EXIT_SETTINGS = 2
EXIT_FAILED = 5


def main():
    """Run a router until a termination signal; return the exit code."""
    path = os.environ.get(SETTINGS_VARIABLE, "")
    loaded = load_platform_settings(path)
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
    # Imported only now that the socket already accepts connections. The reactor is
    # installed first, because most Twisted modules install the default one.
    from sesamearch.base.log import set_up_records
    from sesamearch.base.reactor import install_steady_reactor

    reactor = install_steady_reactor()
    from sesamearch.daemon.platform_router import PlatformRouter

    lines = set_up_records(settings.name, time.time)
    router = PlatformRouter(reactor, settings, lines)
    started = router.start(early_socket)
    if started.is_err():
        print(started.unwrap_err().to_text(), file=sys.stderr)
        return EXIT_FAILED
    router.handle_signals(lambda: load_platform_settings(path))
    reactor.run(installSignalHandlers=False)
    # At exit the interpreter removes its signal handlers; without a handler, SIGHUP
    # would kill the process.
    signal.pthread_sigmask(signal.SIG_BLOCK, {signal.SIGHUP})
    lines.flush()
    return 0
