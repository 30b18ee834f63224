"""Bare relay, the baseline for the router's cost per token.

Built on klein and treq, it splits a stream into events and does nothing else. Run
``python -m bench.relay IP:PORT SOURCE_IP:PORT``.
"""

import sys

from klein import Klein
from twisted.internet import reactor
from twisted.internet.defer import Deferred
from twisted.web.server import Site

from sesamearch.base.http import FrameReceiver, make_http_client


class Relay:
    """Relays completion streams from one engine."""

    app = Klein()

    def __init__(self, source):
        self._url = f"http://{source}/v1/chat/completions"
        self._http = make_http_client(reactor)

    @app.route("/v1/chat/completions", methods=["POST"])
    def complete(self, request):
        """Forward a request and relay the events of its response."""
        done = Deferred()
        request.setHeader("Content-Type", "text/event-stream")

        def relay_events(frames):
            for frame in frames:
                request.write(frame + b"\n\n")

        def relay_response(response):
            receiver = FrameReceiver(b"\n\n", relay_events, lambda: done.callback(None))
            response.deliverBody(receiver)
            request.notifyFinish().addErrback(
                lambda _: receiver.transport.loseConnection()
            )

        body = request.content.read()
        self._http.post(self._url, data=body, unbuffered=True).addCallback(
            relay_response
        )
        return done


def main(address, source):
    host, _, port = address.rpartition(":")
    site = Site(Relay(source).app.resource())
    site.log = lambda request: None
    reactor.listenTCP(int(port), site, interface=host, backlog=1000)
    reactor.run()


if __name__ == "__main__":
    main(*sys.argv[1:])
