"""A socket that listens before the libraries of a daemon are loaded."""

import socket

__all__ = ["listen_early"]

BACKLOG = 1024


def listen_early(address):
    """Listen at an address, so that callers wait instead of being refused.

    Loading a daemon's libraries takes a good part of its start. Callers who come
    meanwhile are accepted by the kernel and served once the daemon runs.

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
        If the address is taken.
    """
    host, _, port = address.rpartition(":")
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.setblocking(False)
    listener.bind((host, int(port)))
    listener.listen(BACKLOG)
    return listener
