"""Base of workers whose answers are raw bytes."""

from twisted.internet.protocol import Protocol


class RawWorker(Protocol):
    """Answers requests by :meth:`answer`, which subclasses provide, and no probes.

    Its factory counts the requests in ``requests``.
    """

    def dataReceived(self, data):
        if b"X-Attempt-Id: " not in data:
            # A probe, or a request for a copy.
            self.transport.write(b"HTTP/1.1 404 No\r\nContent-Length: 0\r\n\r\n")
            return
        self.factory.requests += 1
        self.answer(data.split(b"X-Attempt-Id: ")[1].split(b"\r\n")[0])
