"""A lean engine for benchmarks: events at a fixed pace, or as fast as it can.

``python -m bench.source IP:PORT PACE_MS`` where a pace of 0 floods.
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
    """One stream."""

    def connectionMade(self):
        self.transport.setTcpNoDelay(True)
        self.index = 0
        self.next_s = None
        self._seen = b""

    def dataReceived(self, data):
        self._seen += data
        if self.next_s is None and b"\r\n\r\n" in self._seen:
            if self._seen.startswith(b"DELETE"):
                self.transport.loseConnection()
                return
            self.transport.write(HEAD)
            self.next_s = reactor.seconds()
            if self.factory.pace_s:
                self.factory.streams.add(self)
            else:
                self.transport.registerProducer(self, False)

    def resumeProducing(self):
        """Write one batch of a flood."""
        self.transport.write(
            b"".join(self._event() for _ in range(FLOOD_EVENTS)),
        )

    def stopProducing(self):
        """Stop flooding."""

    def _event(self):
        body = b"id: %d\n" % self.index + DATA
        self.index += 1
        return b"%x\r\n%s\r\n" % (len(body), body)

    def tick(self, now_s, pace_s):
        """Write the event that is due."""
        if now_s >= self.next_s:
            self.next_s += pace_s
            self.transport.write(self._event())

    def connectionLost(self, reason):
        self.factory.streams.discard(self)


class SourceFactory(Factory):
    """Makes streams of one pace."""

    protocol = Source

    def __init__(self, pace_s):
        self.pace_s = pace_s
        self.streams = set()

    def tick(self):
        """Let each stream write what is due."""
        now_s = reactor.seconds()
        for stream in list(self.streams):
            stream.tick(now_s, self.pace_s)


def main(address, pace_ms):
    host, _, port = address.rpartition(":")
    factory = SourceFactory(float(pace_ms) / 1000)
    reactor.listenTCP(int(port), factory, interface=host, backlog=1000)
    LoopingCall(factory.tick).start(TICK_S)
    reactor.run()


if __name__ == "__main__":
    main(*sys.argv[1:])
