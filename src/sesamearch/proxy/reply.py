"""The response to a router that sent a request on for its caller."""

__all__ = ["OWN_PREFIX", "ProxyReply"]

# Names of headers that routers alone set among themselves, in lower case.
OWN_PREFIX = b"sesamearch-proxy"


def _without_own(headers):
    return [pair for pair in headers if not pair[0].lower().startswith(OWN_PREFIX)]


class ProxyReply:
    """Adds to a response what the router that asked needs to know.

    Parameters
    ----------
    reply : Reply
    headers : callable
        Called with the ErrorKind of a refusal, None for an endpoint's answer; returns
        the headers to add.
    """

    __slots__ = ("_headers", "_reply")

    def __init__(self, reply, headers):
        self._reply = reply
        self._headers = headers

    @property
    def listener(self):
        """ReplyListener : is notified if the other router disconnects."""
        return self._reply.listener

    @listener.setter
    def listener(self, listener):
        self._reply.listener = listener

    def note_held(self):
        """Count what is held for the request; see ``Reply``."""
        self._reply.note_held()

    @property
    def untaken_bytes(self):
        """Int : size of what waits for a router that does not read; see ``Reply``."""
        return self._reply.untaken_bytes

    def answer(self, status, headers, body, reason=b""):
        """Send a complete response; see ``Reply``."""
        headers = [*_without_own(headers), *self._headers(None)]
        self._reply.answer(status, headers, body, reason)

    def refuse(self, problem, headers):
        """Send a :class:`Problem` of this router; see ``Reply``."""
        self._reply.refuse(problem, [*headers, *self._headers(problem.kind)])

    def start(self, status, headers, reason=b""):
        """Send the head of a response; see ``Reply``."""
        headers = [*_without_own(headers), *self._headers(None)]
        self._reply.start(status, headers, reason)

    def write(self, data):
        """Send a part of the body."""
        self._reply.write(data)

    def finish(self):
        """End the response."""
        self._reply.finish()

    def abort(self):
        """Reset the connection, so that the response cannot be taken for complete."""
        self._reply.abort()

    def set_producer(self, source):
        """Register a push producer; see ``Reply``."""
        self._reply.set_producer(source)
