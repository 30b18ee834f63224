"""Load generator: opens many streams and counts their events.

``python -m bench.load IP:PORT STREAMS SECONDS`` prints the line ``half`` in the middle
of the run. At the end it prints one JSON object with the number of events received in
the second half, and the median time to the first event. The streams are opened one
after the other in the first quarter.
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
EVENT_PREFIX = b"data: {"
# Part of the first half of the run in which the streams are opened.
RAMP_UP_RATIO = 0.5


class Stream(Protocol):
    """Sends one request and counts the events of its response."""

    def connectionMade(self):
        self._begun_s = reactor.seconds()
        self._is_first = True
        self.transport.write(HEAD + BODY)

    def dataReceived(self, data):
        count = data.count(EVENT_PREFIX)
        if count and self._is_first:
            self._is_first = False
            self.factory.first_event_s.append(reactor.seconds() - self._begun_s)
        self.factory.events += count


class Load(ClientFactory):
    """Makes the streams, and holds their totals and their times to the first event."""

    protocol = Stream
    noisy = False

    def __init__(self):
        self.events = 0
        self.first_event_s = []


def main(address, streams, seconds):
    host, _, port = address.rpartition(":")
    load, half_s = Load(), float(seconds) / 2
    spacing_s = half_s * RAMP_UP_RATIO / int(streams)
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
        "first_event_p50_s": statistics.median(load.first_event_s),
        "streams": len(load.first_event_s),
    }
    print(json.dumps(figures))


if __name__ == "__main__":
    main(*sys.argv[1:])
