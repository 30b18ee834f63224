"""Write side of a caller's connection, which stops work while answers lie unread."""

import abc

from twisted.internet.interfaces import IPushProducer
from zope.interface import implementer

__all__ = ["Outlet", "OutletListener"]


class OutletListener(abc.ABC):
    """Is notified when a caller stops and goes on to read its answers."""

    @abc.abstractmethod
    def outlet_changed(self):
        """Handle a change of ``Outlet.is_blocked``."""


@implementer(IPushProducer)
class Outlet:
    """Producer of a connection for as long as it is open.

    The transport pauses it once more than its buffer size is unsent. What the present
    answer is made from, if that can be paused, pauses with it.

    Parameters
    ----------
    transport : twisted.internet.interfaces.ITCPTransport
        Has ``unsent_bytes`` as well.
    listener : OutletListener

    Attributes
    ----------
    is_blocked : bool
        Whether the caller has to read before more is written.
    """

    __slots__ = ("_listener", "_source", "_transport", "is_blocked")

    def __init__(self, transport, listener):
        self._transport = transport
        self._listener = listener
        self._source = None
        self.is_blocked = False
        transport.registerProducer(self, True)

    @property
    def unsent_bytes(self):
        """Int : size of what waits until the caller reads."""
        return self._transport.unsent_bytes if self._transport is not None else 0

    def set_source(self, source):
        """Use another push producer as the source of the answer; None for none."""
        self._source = source
        if source is not None and self.is_blocked:
            source.pauseProducing()

    def close(self):
        """Let the transport close once all is sent."""
        self._source = None
        if self._transport is not None:
            self._transport.unregisterProducer()

    def disconnect(self):
        """Forget the source, the transport and the listener of a lost connection."""
        self._source = None
        self._transport = None
        self._listener = None

    def pauseProducing(self):
        """Pause the source of the answer."""
        self.is_blocked = True
        if self._source is not None:
            self._source.pauseProducing()
        self._listener.outlet_changed()

    def resumeProducing(self):
        """Resume the source of the answer."""
        self.is_blocked = False
        if self._source is not None:
            self._source.resumeProducing()
        self._listener.outlet_changed()

    def stopProducing(self):
        """Forget the source, because the connection is lost."""
        self._source = None
