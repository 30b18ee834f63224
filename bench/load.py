"""A caller with many streams.

``python -m bench.load IP:PORT STREAMS SECONDS`` prints one JSON object with the
events received in the second half of the time, and first-event times.
"""

import json
import statistics
import sys

from twisted.internet import reactor
from twisted.internet.protocol import ClientFactory, Protocol

BODY = b'{"model":"bench-draft","stream":true,"seed":1,"messages":[]}'
HEAD = (
    b"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n"
    b"Authorization: Bearer demo-key\r\nContent-Type: application/json\r\n"
    b"Content-Length: %d\r\n\r\n" % len(BODY)
)
MARK = b"data: {"
BEGIN_RATIO = 0.5


class Stream(Protocol):
    """One stream."""

    def connectionMade(self):
        self._begun_s = reactor.seconds()
        self._is_first = True
        self.transport.write(HEAD + BODY)

    def dataReceived(self, data):
        count = data.count(MARK)
        if count and self._is_first:
            self._is_first = False
            self.factory.first_s.append(reactor.seconds() - self._begun_s)
        self.factory.events += count


class Load(ClientFactory):
    """All streams."""

    protocol = Stream
    noisy = False

    def __init__(self):
        self.events = 0
        self.first_s = []


def main(address, streams, seconds):
    host, _, port = address.rpartition(":")
    load, half_s = Load(), float(seconds) / 2
    spacing_s = half_s * BEGIN_RATIO / int(streams)
    for number in range(int(streams)):
        reactor.callLater(number * spacing_s, reactor.connectTCP, host, int(port), load)
    at_half = []
    reactor.callLater(half_s, lambda: at_half.append(load.events))
    reactor.callLater(half_s, lambda: print("half", flush=True))
    reactor.callLater(2 * half_s, reactor.stop)
    reactor.run()
    figures = {
        "events": load.events - at_half[0],
        "seconds": half_s,
        "first_event_p50_s": statistics.median(load.first_s),
        "streams": len(load.first_s),
    }
    print(json.dumps(figures))


if __name__ == "__main__":
    main(*sys.argv[1:])
