"""The response to one request from a caller."""

import abc

from sesamearch.wire.head import first_value

__all__ = ["Reply", "ReplyListener"]

INTERNAL_ERROR = 500


class ReplyListener(abc.ABC):
    """Is notified if the caller disconnects while its request is being handled."""

    # Memory held for the request, beside what its connection holds itself, in bytes.
    held_bytes = 0

    @abc.abstractmethod
    def caller_left(self):
        """Handle the disconnect: no response can be sent any more."""


class Reply:
    """The response to one request, sent at once or streamed.

    Parameters
    ----------
    connection : CallerConnection
    begun_s : float
        Arrival of the first byte of the request, on this process's clock.
    """

    __slots__ = ("_connection", "_has_begun", "begun_s", "is_open", "listener")

    def __init__(self, connection, begun_s):
        self._connection = connection
        self.begun_s = begun_s
        self._has_begun = False
        self.is_open = True
        self.listener = None

    @property
    def has_begun(self):
        """Bool : whether a part of the response was sent."""
        return self._has_begun

    @property
    def held_bytes(self):
        """Int : memory that is held for the request beside its connection."""
        # A listener that holds nothing need not say so.
        return getattr(self.listener, "held_bytes", 0)

    def note_held(self):
        """Count what is held for the request, after that has changed."""
        if self.is_open:
            self._connection.note_held()

    @property
    def untaken_bytes(self):
        """Int : size of what waits for a caller that does not read; zero otherwise."""
        return self._connection.untaken_bytes if self.is_open else 0

    def answer(self, status, headers, body, reason=b""):
        """Send a complete response."""
        if not self.is_open:
            return
        self._has_begun = True
        headers = [*headers, (b"Content-Length", b"%d" % len(body))]
        self._connection.send_head(status, reason, headers)
        if body:
            self._connection.send_data(body)
        self.finish()

    def refuse(self, problem, headers):
        """Send a :class:`Problem` of this router as the complete response."""
        self.answer(problem.answer.status, headers, problem.to_json())

    def start(self, status, headers, reason=b""):
        """Send the head of a response whose body follows in parts.

        The body goes in chunks unless the headers state its length.
        """
        if self.is_open:
            self._has_begun = True
            if first_value(headers, b"content-length") is None:
                headers = [*headers, (b"Transfer-Encoding", b"chunked")]
            self._connection.send_head(status, reason, headers)

    def write(self, data):
        """Send a part of the body."""
        if self.is_open:
            self._connection.send_data(data)

    def finish(self):
        """End the response."""
        if self.is_open:
            self.is_open = False
            # The listener refers to this response as well.
            self.listener = None
            self._connection.finish()

    def abort(self):
        """Reset the connection, so that the response cannot be taken for complete."""
        if self.is_open:
            self.is_open = False
            self.listener = None
            self._connection.abort()

    def fail(self):
        """Answer a request whose handler failed, and stop the work for it."""
        if not self.is_open:
            return
        listener = self.listener
        if self._has_begun:
            self.abort()
        else:
            self.answer(INTERNAL_ERROR, [], b"")
        if listener is not None:
            listener.caller_left()

    def set_producer(self, source):
        """Register `source`, a push producer to pause while the caller reads slowly.

        It replaces the previous one; None only unregisters.
        """
        self._connection.set_producer(source)

    def caller_left(self):
        """Notify the listener that the connection was closed."""
        if self.is_open:
            self.is_open = False
            listener, self.listener = self.listener, None
            if listener is not None:
                listener.caller_left()
