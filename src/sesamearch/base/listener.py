"""A TCP listener whose connections write to the socket without delay."""

import socket

from twisted.internet.tcp import Port, Server

__all__ = ["listen_tcp"]

LISTEN_BACKLOG = 1024


class _ImmediateServer(Server):
    """A connection that writes to the socket before it waits for writability.

    Twisted's own transport delays every write to the next reactor iteration, which
    costs two epoll changes and one event. For a stream of small events the socket is
    nearly always writable.
    """

    @property
    def unsent_bytes(self):
        """Int : size of what the socket has not accepted yet."""
        return len(self.dataBuffer) - self.offset + self._tempDataLen

    def write(self, data):
        """Send as much as the socket accepts now and buffer the rest."""
        if self._can_send_now():
            sent_bytes = self.writeSomeData(data)
            # ``writeSomeData`` returns an exception if the connection is lost. The data
            # is then buffered; the reactor's attempt to write it fails as well and
            # closes the connection.
            if isinstance(sent_bytes, int):
                data = data[sent_bytes:]
        if data:
            super().write(data)

    def writeSequence(self, iovec):
        """Join the pieces and send them in one write."""
        self.write(b"".join(iovec))

    def _can_send_now(self):
        is_idle = not self.dataBuffer and not self._tempDataBuffer
        return is_idle and self.connected and not self.disconnecting


class _ImmediatePort(Port):
    transport = _ImmediateServer


def listen_tcp(reactor, address, factory, early_socket=None):
    """Listen for TCP connections without TLS.

    Parameters
    ----------
    reactor : twisted.internet.interfaces.IReactorCore
    address : str
        ``ip:port``.
    factory : twisted.internet.protocol.Factory
    early_socket : socket.socket or None
        Socket from :func:`listen_early` that already listens on the address.

    Returns
    -------
    twisted.internet.interfaces.IListeningPort

    Raises
    ------
    twisted.internet.error.CannotListenError
        If the address is already in use.
    """
    if early_socket is not None:
        port = _ImmediatePort._fromListeningDescriptor(
            reactor, early_socket.fileno(), socket.AF_INET, factory
        )
        early_socket.close()
    else:
        host, _, number = address.rpartition(":")
        port = _ImmediatePort(int(number), factory, LISTEN_BACKLOG, host, reactor)
    port.startListening()
    return port
