"""Minimal engine for benchmarks: sends events at a fixed interval.

``python -m bench.source IP:PORT TOKEN_INTERVAL_MS`` where an interval of 0 sends
events as fast as the connection takes them.
"""

import sys

from twisted.internet import reactor
from twisted.internet.protocol import Factory, Protocol
from twisted.internet.task import LoopingCall

TICK_S = 0.001
FLOOD_EVENTS = 64
HEAD = (
    b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
    b"Transfer-Encoding: chunked\r\n\r\n"
)
DATA = (
    b'data: {"id":"chatcmpl-1","object":"chat.completion.chunk",'
    b'"system_fingerprint":"v1","choices":[{"index":0,'
    b'"delta":{"content":" token"},"finish_reason":null}]}\n\n'
)


class Source(Protocol):
    """Responds to one request with an endless stream of events."""

    def connectionMade(self):
        self.transport.setTcpNoDelay(True)
        self.index = 0
        self.next_s = None
        self._seen = b""

    def dataReceived(self, data):
        self._seen += data
        if self.next_s is None and b"\r\n\r\n" in self._seen:
            if self._seen.startswith(b"DELETE"):
                # The router cancels a stream on another connection.
                self.transport.loseConnection()
                return
            self.transport.write(HEAD)
            self.next_s = reactor.seconds()
            if self.factory.token_interval_s:
                self.factory.streams.add(self)
            else:
                self.transport.registerProducer(self, False)

    def resumeProducing(self):
        """Write one batch of events; called when the transport can take more."""
        self.transport.write(
            b"".join(self._event() for _ in range(FLOOD_EVENTS)),
        )

    def stopProducing(self):
        """Do nothing: events are written only when the transport asks for them."""

    def _event(self):
        body = b"id: %d\n" % self.index + DATA
        self.index += 1
        return b"%x\r\n%s\r\n" % (len(body), body)

    def tick(self, now_s, token_interval_s):
        """Write the next event if it is due."""
        if now_s >= self.next_s:
            self.next_s += token_interval_s
            self.transport.write(self._event())

    def connectionLost(self, reason):
        self.factory.streams.discard(self)


class SourceFactory(Factory):
    """Makes streams that share one token interval.

    Attributes
    ----------
    token_interval_s : float
        Zero to send events as fast as the connection takes them.
    streams : set of Source
        Open streams, unless the interval is zero.
    """

    protocol = Source

    def __init__(self, token_interval_s):
        self.token_interval_s = token_interval_s
        self.streams = set()

    def tick(self):
        """Let each stream write its event if it is due."""
        now_s = reactor.seconds()
        for stream in list(self.streams):
            stream.tick(now_s, self.token_interval_s)


def main(address, token_interval_ms):
    host, _, port = address.rpartition(":")
    factory = SourceFactory(float(token_interval_ms) / 1000)
    reactor.listenTCP(int(port), factory, interface=host, backlog=1000)
    LoopingCall(factory.tick).start(TICK_S)
    reactor.run()


if __name__ == "__main__":
    main(*sys.argv[1:])
