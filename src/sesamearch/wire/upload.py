"""Body of a request on its way to an endpoint, written as the endpoint takes it."""

from twisted.internet.interfaces import IPullProducer
from zope.interface import implementer

__all__ = ["UPLOAD_PIECE_BYTES", "Upload"]

UPLOAD_PIECE_BYTES = 64 << 10


@implementer(IPullProducer)
class Upload:
    """Writes a body piece by piece, so that the transport holds one piece only.

    Parameters
    ----------
    transport : twisted.internet.interfaces.ITCPTransport
    body : bytes

    Attributes
    ----------
    is_written : bool
        Whether the socket has accepted the whole body.
    """

    __slots__ = ("_rest", "_transport", "is_written")

    def __init__(self, transport, body):
        self._transport = transport
        self._rest = memoryview(body)
        self.is_written = False

    def start(self):
        """Begin to write."""
        self._transport.registerProducer(self, False)

    def resumeProducing(self):
        """Write the next piece, now that the socket has accepted the one before."""
        if self._rest:
            piece = bytes(self._rest[:UPLOAD_PIECE_BYTES])
            self._rest = self._rest[UPLOAD_PIECE_BYTES:]
            self._transport.write(piece)
        else:
            self.is_written = True
            self._transport.unregisterProducer()
            self._forget()

    def stopProducing(self):
        """Forget the rest, because the connection is lost."""
        self._forget()

    def _forget(self):
        # Even an empty view would keep the whole body.
        self._rest = memoryview(b"")
