"""A socket that listens before a daemon has imported its libraries."""

import socket

__all__ = ["listen_early"]

BACKLOG = 1024


def listen_early(address):
    """Listen on an address, so that early callers wait instead of being refused.

    Importing a daemon's libraries takes much of its startup time. The kernel accepts
    connections in the meantime, and the daemon serves them once it runs.

    Parameters
    ----------
    address : str
        ``ip:port``.

    Returns
    -------
    socket.socket

    Raises
    ------
    OSError
        If the address is already in use.
    """
    host, _, port = address.rpartition(":")
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.setblocking(False)
    listener.bind((host, int(port)))
    listener.listen(BACKLOG)
    return listener
