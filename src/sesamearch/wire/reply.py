"""The answer to one request of a caller."""

import abc

__all__ = ["Reply", "ReplyListener"]


class ReplyListener(abc.ABC):
    """Who works on a request."""

    @abc.abstractmethod
    def caller_left(self):
        """Take note that nobody waits for the answer any more."""


class Reply:
    """The answer to one request, written as it comes.

    Parameters
    ----------
    connection : CallerConnection
    """

    __slots__ = ("_connection", "is_open", "listener")

    def __init__(self, connection):
        self._connection = connection
        self.is_open = True
        self.listener = None

    def answer(self, status, headers, body, reason=b""):
        """Send a whole answer."""
        if not self.is_open:
            return
        headers = [*headers, (b"Content-Length", b"%d" % len(body))]
        self._connection.send_head(status, reason, headers)
        if body:
            self._connection.send_data(body)
        self.finish()

    def start(self, status, headers, reason=b""):
        """Send the head of an answer whose length is not known yet."""
        if self.is_open:
            chunked = (b"Transfer-Encoding", b"chunked")
            self._connection.send_head(status, reason, [*headers, chunked])

    def write(self, data):
        """Send a part of the body."""
        if self.is_open:
            self._connection.send_data(data)

    def finish(self):
        """Mark the answer as whole."""
        if self.is_open:
            self.is_open = False
            self._connection.finish()

    def abort(self):
        """Cut the answer so that it cannot pass for a whole one."""
        if self.is_open:
            self.is_open = False
            self._connection.abort()

    def set_producer(self, source):
        """Pause `source`, a push producer, while the caller reads slowly."""
        self._connection.set_producer(source)

    def caller_left(self):
        """Note that the connection is gone."""
        if self.is_open:
            self.is_open = False
            if self.listener is not None:
                self.listener.caller_left()
