"""A TCP listener whose connections send at once what the socket takes."""

import socket

from twisted.internet.tcp import Port, Server

__all__ = ["listen_tcp"]

LISTEN_BACKLOG = 1024


class _DirectServer(Server):
    """A connection that tries the socket before it asks to be told when writable.

    The library's own transport waits for the next turn of the reactor with every
    write, which costs two changes of the interest set and one event. A stream
    that writes one small event at a time nearly always finds the socket writable.
    """

    def write(self, data):
        """Send what the socket takes now and buffer the rest."""
        if self._can_send_now():
            sent_bytes = self.writeSomeData(data)
            # A failure is met again, and handled, by the buffered write.
            if isinstance(sent_bytes, int):
                data = data[sent_bytes:]
        if data:
            super().write(data)

    def writeSequence(self, iovec):
        """Send pieces as one."""
        self.write(b"".join(iovec))

    def _can_send_now(self):
        is_idle = not self.dataBuffer and not self._tempDataBuffer
        return is_idle and self.connected and not self.disconnecting


class _DirectPort(Port):
    transport = _DirectServer


def listen_tcp(reactor, address, factory, early_socket=None):
    """Listen for plain TCP connections.

    Parameters
    ----------
    reactor : twisted.internet.interfaces.IReactorCore
    address : str
        ``ip:port``.
    factory : twisted.internet.protocol.Factory
    early_socket : socket.socket or None
        One that listens at the address already, from :func:`listen_early`.

    Returns
    -------
    twisted.internet.interfaces.IListeningPort

    Raises
    ------
    twisted.internet.error.CannotListenError
        If the address is taken.
    """
    if early_socket is not None:
        port = _DirectPort._fromListeningDescriptor(
            reactor, early_socket.fileno(), socket.AF_INET, factory
        )
        early_socket.close()
    else:
        host, _, number = address.rpartition(":")
        port = _DirectPort(int(number), factory, LISTEN_BACKLOG, host, reactor)
    port.startListening()
    return port
