"""Ports of a router on the platform: callers, readiness and metrics."""

import urllib.parse

import msgspec
from twisted.internet.error import CannotListenError

from sesamearch.base.log import logger
from sesamearch.base.record import Lifecycle, RequestUnread, RequestUnreadable
from sesamearch.forwarding.where import WhereQuery
from sesamearch.platform.headers import (
    decode_prompt_parts,
    decode_request,
    find_request_id,
)
from sesamearch.wire.caller import CallerFactory

__all__ = ["PlatformPorts"]

# Callers that connect before the first configuration and endpoints are read wait for
# them, but no longer than this.
MAX_START_WAIT_S = 0.25
# Loading the exporter takes about 0.1 s, so it is delayed until callers are served, and
# done in steps between which the reactor serves them.
METRICS_DELAY_S = 2.0
METRICS_STEP_DELAY_S = 0.02
# Calls that run at the end of the shutdown have so much longer than generations.
LAST_CALLS_S = 0.15
WHERE_PATH = b"/where"
JSON_CONTENT_TYPE = b"application/json"
METRICS_CONTENT_TYPE = b"text/plain; version=0.0.4; charset=utf-8"
OK = 200
UNAVAILABLE = 503


class PlatformPorts:
    """Listens for callers, readiness probes and metrics scrapes.

    It is also the gateway that :class:`Drain` shuts down.

    Parameters
    ----------
    reactor : twisted.internet.interfaces.IReactorTime
    settings : PlatformRouterSettings
    board : Blackboard
    dispatcher : Dispatcher
    metrics : PlatformMetrics
    proxy_port : ProxyPort
        Port for requests of other routers.
    listen : callable
        Listens on an address; see :func:`listen_tcp`.
    account : CallerAccount
        Account of what all that connect to this process hold.
    where : WhereFinder
        Answers where a request would go.
    """

    # Number of claims and outcomes that the store has not confirmed, which Drain waits
    # for. It is always zero, because on the platform nothing remains to be stored for a
    # request once it is answered.
    unsettled = 0

    def __init__(
        self,
        reactor,
        settings,
        board,
        dispatcher,
        metrics,
        proxy_port,
        listen,
        account,
        where,
    ):
        self._account = account
        self._where = where
        self._proxy_port = proxy_port
        self._reactor = reactor
        self._settings = settings
        self._board = board
        self._dispatcher = dispatcher
        self._metrics = metrics
        self._listen = listen
        self._early_socket = None
        self._is_open = False
        self._port = None
        self._callers = self._make_factory(self._handle_request)

    def _make_factory(self, handler):
        return CallerFactory(
            self._reactor,
            handler,
            self._limits,
            self._note_unreadable,
            self._note_unread,
            self._account,
        )

    def start(self, early_socket):
        """Listen for readiness probes now, and for callers once initialised.

        Parameters
        ----------
        early_socket : socket.socket or None
            Socket that already listens for callers.

        Raises
        ------
        twisted.internet.error.CannotListenError
            If an address is already in use.
        """
        self._early_socket = early_socket
        self._board.configuration.listen(self._open_if_initialised)
        self._board.endpoints.listen(self._open_if_initialised)
        self._board.drain.listen(self._handle_drain_phase)
        self._reactor.callLater(MAX_START_WAIT_S, self._open)
        self._reactor.callLater(METRICS_DELAY_S, self._load_metrics)
        self._proxy_port.start()
        readiness = self._make_factory(self._answer_readiness)
        self._listen(self._reactor, self._settings.readiness_listen, readiness)

    # Callers.

    def _limits(self):
        return self._board.configuration.value.limits

    def _note_unreadable(self, status, detail):
        self._dispatcher.note_unreadable()
        logger.info(RequestUnreadable(status, detail))

    def _note_unread(self, data):
        self._dispatcher.note_unread()
        logger.info(RequestUnread(find_request_id(data), len(data)))

    def _handle_request(self, head, body, reply):
        request = decode_request(head, body, self._reactor.seconds(), reply.begun_s)
        self._dispatcher.handle(request, reply)

    @property
    def _is_initialised(self):
        """Bool : whether a configuration and at least one endpoint are known."""
        has_configuration = self._board.configuration.value.revision > 0
        return has_configuration and bool(self._board.endpoints.value)

    def _open_if_initialised(self, value):
        if self._is_initialised:
            self._open()

    def _open(self):
        """Start to accept callers, including those that wait on the early socket."""
        if self._is_open:
            return
        self._is_open = True
        logger.info(Lifecycle("open", self._settings.listen))
        early_socket, self._early_socket = self._early_socket, None
        self._port = self._listen(
            self._reactor, self._settings.listen, self._callers, early_socket
        )

    # Drain.

    def _handle_drain_phase(self, phase):
        self._callers.is_draining = phase.draining

    @property
    def in_flight(self):
        """Int : number of connections on which a request or an answer is on its way."""
        return self._callers.unsettled_count + self._proxy_port.in_flight

    def hand_over(self):
        """End the generations, so that their callers resume them at another router.

        Calls have some more time; then they get an answer before the process ends.
        """
        self._dispatcher.hand_over()
        self._reactor.callLater(LAST_CALLS_S, self._dispatcher.end_calls)

    def close_idle(self):
        """Close the callers' connections on which no request is in flight."""
        self._callers.close_idle()
        self._proxy_port.close_idle()

    def close(self):
        """Stop accepting requests, since the exit of the process would cut them off."""
        self._proxy_port.close()
        if self._port is not None:
            self._port.stopListening()
        self.close_idle()

    # Readiness and metrics.

    @property
    def is_ready(self):
        """Bool : whether the load balancer should send requests."""
        return self._is_initialised and not self._board.drain.value.draining

    def _answer_readiness(self, head, body, reply):
        reply.answer(OK if self.is_ready else UNAVAILABLE, [], b"")

    def _load_metrics(self):
        """Load the exporter step by step, then listen for scrapes."""
        if self._metrics.load_step():
            self._serve_metrics()
        else:
            self._reactor.callLater(METRICS_STEP_DELAY_S, self._load_metrics)

    def _serve_metrics(self):
        factory = self._make_factory(self._answer_metrics)
        try:
            self._listen(self._reactor, self._settings.metrics_listen, factory)
        except CannotListenError as error:
            logger.error("cannot listen for metrics: {}", error)

    def _answer_metrics(self, head, body, reply):
        path, _, query = head.target.partition(b"?")
        if path == WHERE_PATH:
            self._answer_where(query.decode("latin-1"), reply)
            return
        headers = [(b"Content-Type", METRICS_CONTENT_TYPE)]
        reply.answer(OK, headers, self._metrics.render())

    def _answer_where(self, query, reply):
        """Tell an operator where a request would go; see ``sesamearch where``."""
        fields = dict(urllib.parse.parse_qsl(query))
        output_tokens = fields.get("output-tokens", "")
        answer = self._where.find(
            WhereQuery(
                fields.get("host", ""),
                fields.get("path", ""),
                fields.get("organisation", ""),
                decode_prompt_parts(fields.get("prompt", "")),
                int(output_tokens) if output_tokens.isdecimal() else 0,
            )
        )
        headers = [(b"Content-Type", JSON_CONTENT_TYPE)]
        reply.answer(OK, headers, msgspec.json.encode(answer))
