"""The ports of a router on the platform: callers, readiness, metrics."""

from twisted.internet.error import CannotListenError

from sesamearch.base.log import logger
from sesamearch.base.record import Lifecycle, RequestUnreadable
from sesamearch.platform.headers import decode_request
from sesamearch.wire.caller import CallerFactory

__all__ = ["FrontPorts"]

# Callers who come while the first configuration is read are served with it.
START_WAIT_S = 0.25
# Loading the exporter takes a tenth of a second: callers go first.
METRICS_DELAY_S = 2.0
METRICS_CONTENT_TYPE = b"text/plain; version=0.0.4; charset=utf-8"
OK = 200
UNAVAILABLE = 503


class FrontPorts:
    """Listens for callers, the balancer and the collector of metrics.

    To the drain it is what holds callers: ``in_flight`` and ``hand_over()``.

    Parameters
    ----------
    reactor : twisted.internet.interfaces.IReactorTime
    settings : FrontSettings
    board : Blackboard
    dispatcher : Dispatcher
    metrics : FrontMetrics
    listen : callable
        Listens on an address: see :func:`listen_tcp`.
    """

    # Nothing of a caller's request outlives its answer.
    unsettled = 0

    def __init__(self, reactor, settings, board, dispatcher, metrics, listen):
        self._reactor = reactor
        self._settings = settings
        self._board = board
        self._dispatcher = dispatcher
        self._metrics = metrics
        self._listen = listen
        self._early_socket = None
        self._is_open = False
        self._port = None
        self._callers = self._make_factory(self._take_request)

    def _make_factory(self, handler):
        return CallerFactory(self._reactor, handler, self._limits, self._unreadable)

    def start(self, early_socket):
        """Listen for the balancer at once, for callers when enough is known.

        Parameters
        ----------
        early_socket : socket.socket or None
            One that listens for callers already.

        Raises
        ------
        twisted.internet.error.CannotListenError
            If an address is taken.
        """
        self._early_socket = early_socket
        self._board.configuration.listen(self._open_when_known)
        self._board.endpoints.listen(self._open_when_known)
        self._board.drain.listen(self._note_drain)
        self._reactor.callLater(START_WAIT_S, self._open)
        self._reactor.callLater(METRICS_DELAY_S, self._serve_metrics)
        readiness = self._make_factory(self._tell_readiness)
        self._listen(self._reactor, self._settings.readiness_listen, readiness)

    # Callers.

    def _limits(self):
        return self._board.configuration.value.limits

    def _unreadable(self, status, detail):
        self._dispatcher.note_unreadable()
        logger.info(RequestUnreadable(status, detail))

    def _take_request(self, head, body, reply):
        request = decode_request(head, body, self._reactor.seconds())
        self._dispatcher.handle(request, reply)

    @property
    def _knows_enough(self):
        is_known = self._board.configuration.value.revision > 0
        return is_known and bool(self._board.endpoints.value)

    def _open_when_known(self, value):
        if self._knows_enough:
            self._open()

    def _open(self):
        """Accept callers, those who came since the socket listens first."""
        if self._is_open:
            return
        self._is_open = True
        logger.info(Lifecycle("open", self._settings.listen))
        early_socket, self._early_socket = self._early_socket, None
        self._port = self._listen(
            self._reactor, self._settings.listen, self._callers, early_socket
        )

    # Drain.

    def _note_drain(self, phase):
        self._callers.is_draining = phase.draining

    @property
    def in_flight(self):
        """Int : connections in the middle of a request or an answer."""
        return sum(not each.is_idle for each in self._callers.connections)

    def hand_over(self):
        """Cut generations: their callers go on elsewhere by their last event."""
        self._dispatcher.hand_over()

    def turn_away(self):
        """Close the connections that wait for a request."""
        self._callers.close_idle()

    def close(self):
        """Take no request any more: what came now would be cut."""
        if self._port is not None:
            self._port.stopListening()
        self.turn_away()

    # The balancer and the collector.

    @property
    def is_ready(self):
        """Bool : whether callers may come."""
        return self._knows_enough and not self._board.drain.value.draining

    def _tell_readiness(self, head, body, reply):
        reply.answer(OK if self.is_ready else UNAVAILABLE, [], b"")

    def _serve_metrics(self):
        self._metrics.load()
        factory = self._make_factory(self._tell_metrics)
        try:
            self._listen(self._reactor, self._settings.metrics_listen, factory)
        except CannotListenError as error:
            logger.error("metrics cannot be served: {}", error)

    def _tell_metrics(self, head, body, reply):
        headers = [(b"Content-Type", METRICS_CONTENT_TYPE)]
        reply.answer(OK, headers, self._metrics.render())
