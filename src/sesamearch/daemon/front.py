"""The router daemon on a platform: parts put together, run until told to stop."""

import gc
import random
import signal

import msgspec
from result import Err, Ok
from twisted.internet.defer import Deferred
from twisted.internet.error import CannotListenError
from twisted.internet.task import LoopingCall

from sesamearch.base.errors import ErrorKind, Problem
from sesamearch.base.listener import listen_directly
from sesamearch.base.log import FLUSH_INTERVAL_S, logger
from sesamearch.base.record import Dependency, Lifecycle, RequestUnreadable
from sesamearch.configuration.blackboard import Blackboard
from sesamearch.configuration.settings import DrainSettings
from sesamearch.daemon.drain import Drain
from sesamearch.daemon.front_metrics import FrontMetrics
from sesamearch.forwarding.choice import Chooser
from sesamearch.forwarding.dispatcher import (
    CHECK_INTERVAL_S,
    Budgets,
    Dispatcher,
    ForwardCounters,
)
from sesamearch.forwarding.exchange import ForwardTools
from sesamearch.forwarding.fleet import Fleet
from sesamearch.forwarding.health import HealthBook
from sesamearch.forwarding.load import LoadBook
from sesamearch.forwarding.pace import GenerationPace
from sesamearch.forwarding.prompts import PromptPlaces
from sesamearch.forwarding.returns import ReturnWatch
from sesamearch.membership.fleet import FleetLink
from sesamearch.membership.fleet_keys import obtain_fleet_keys
from sesamearch.membership.fleet_message import EndpointBack
from sesamearch.membership.gossip import LoadGossip
from sesamearch.membership.listing import EndpointListing
from sesamearch.membership.sockets import PeerSockets
from sesamearch.platform.client import SWEEP_INTERVAL_S, PlatformEndpointClient
from sesamearch.platform.configuration import decode_configuration
from sesamearch.platform.followers import (
    OperatorFollower,
    OutcomeFollower,
    ServerFollower,
)
from sesamearch.platform.headers import decode_request
from sesamearch.platform.rollout import PlatformRolloutRegister
from sesamearch.platform.store import PlatformStore
from sesamearch.rollout.conductor import TELL_INTERVAL_S as ROLLOUT_INTERVAL_S
from sesamearch.rollout.conductor import RolloutConductor
from sesamearch.routing.canary import CanarySettings
from sesamearch.routing.table import RoutingTable
from sesamearch.wire.caller import CallerFactory

__all__ = ["Front"]

KEYS_RETRY_S = 1.0
# Callers who come while the first configuration is read are served with it.
START_WAIT_S = 0.25
GOSSIP_INTERVAL_S = 0.02
TELL_INTERVAL_S = 0.25
# The balancer asks once a second and turns away after two misses.
BALANCER_GRACE_S = 2.6
# Before the process is killed: what is left then is cut, and its callers go on.
HAND_OVER_MARGIN_S = 0.25
FLUSH_S = 0.1
# Loading the exporter takes a tenth of a second: callers go first.
METRICS_DELAY_S = 2.0
METRICS_CONTENT_TYPE = b"text/plain; version=0.0.4; charset=utf-8"
OK = 200
UNAVAILABLE = 503


class _CallerSide:
    """Callers' connections, as the drain sees them."""

    unsettled = 0

    def __init__(self, factory, dispatcher):
        self._factory = factory
        self._dispatcher = dispatcher

    @property
    def in_flight(self):
        """Int : connections in the middle of a request or an answer."""
        return sum(not each.is_idle for each in self._factory.connections)

    def hand_over(self):
        """Cut generations: their callers go on elsewhere by their last event."""
        self._dispatcher.hand_over()


class Front:
    """One router process.

    Parameters
    ----------
    reactor : twisted reactor
    settings : FrontSettings
    lines : LineQueue or None
        Log lines to be written at intervals.
    listen : callable, optional
        Listens on an address: see :func:`listen_directly`.
    sockets_type : type, optional
        Sockets to the other routers: see :class:`PeerSockets`.
    """

    def __init__(
        self,
        reactor,
        settings,
        lines=None,
        listen=listen_directly,
        sockets_type=PeerSockets,
    ):
        self._reactor = reactor
        self._listen = listen
        self._sockets_type = sockets_type
        self._settings = settings
        self._lines = lines
        self.board = Blackboard(RoutingTable())
        self.counters = ForwardCounters()
        self._store = PlatformStore(reactor, settings.store_address)
        self._peers = None
        self._outcomes = None
        self._early_socket = None
        self._is_open = False
        self._make_forwarding()
        self._make_membership()
        self._factory = CallerFactory(
            reactor, self._take_request, self._limits, self._unreadable
        )
        self._readiness = CallerFactory(
            reactor, self._tell_readiness, self._limits, self._unreadable
        )
        self._drain = self._make_drain()
        self._loops = self._make_loops()

    def _make_forwarding(self):
        reactor, bounds = self._reactor, self._settings.bounds
        self._metrics = FrontMetrics(self.counters, self._gauges())
        self._health = HealthBook(reactor)
        self._loads = LoadBook(reactor)
        self._prompts = PromptPlaces(reactor)
        fleet = Fleet(self.board, self._health)
        self._client = PlatformEndpointClient(reactor)
        self.board.endpoints.listen(self._client.keep_only)
        budgets = Budgets(
            reactor,
            bounds.retry_ratio,
            bounds.retry_window_s,
            bounds.retry_slack,
            self._count_routers,
        )
        canary = CanarySettings(bounds.exposure_ratio, bounds.exposure_slack)
        self._conductor = RolloutConductor(
            self._settings.name,
            self.board,
            PlatformRolloutRegister(self._store),
            canary,
            reactor,
        )
        self._returns = ReturnWatch(
            self._client,
            reactor,
            bounds.reuse_after_s,
            self._health_path_of,
            self._take_return,
        )
        self.board.endpoints.listen(self._returns.keep_only)
        data_centre = self._settings.data_centre
        tools = ForwardTools(
            self._client,
            Chooser(
                fleet,
                self._loads,
                self._health,
                data_centre,
                self._conductor,
                random.Random(self._settings.name),
            ),
            fleet,
            self._loads,
            self._health,
            self._prompts,
            GenerationPace(),
            budgets,
            self._conductor,
            self._returns,
            reactor,
            self.counters,
            self._metrics,
        )
        self.dispatcher = Dispatcher(self.board, tools)

    def _health_path_of(self, service):
        spec = self.board.configuration.value.services.get(service)
        return spec.health_path if spec else ""

    def _take_return(self, endpoint, name):
        """Use an endpoint under its new name, and tell the others."""
        back = msgspec.structs.replace(endpoint, name=name, born_ms=0, leaving=False)
        self._listing.add_unlisted(back)
        if self._peers is not None:
            self._peers.send_to_all(EndpointBack(back))

    def _count_routers(self):
        return self._peers.roster.size if self._peers is not None else 1

    def _gauges(self):
        board = self.board
        return {
            "configuration_revision": lambda: board.configuration.value.revision,
            "endpoints": lambda: len(board.endpoints.value),
            "members": lambda: len(board.members.value),
            "is_relay": lambda: int(self._peers is not None and self._peers.is_relay),
            "in_flight": lambda: self.dispatcher.in_flight,
            "store_calls": lambda: self._store.calls,
            "endpoint_connections": lambda: self._client.opened,
            "log_lines_dropped": lambda: self._lines.dropped if self._lines else 0,
        }

    def _make_membership(self):
        self._listing = EndpointListing(
            self.board,
            self._reactor,
            lambda: self._store.regained_s,
            lambda: self._store.is_reachable,
        )
        self._gossip = LoadGossip(
            self._settings.name,
            self._loads,
            self._health,
            self._prompts,
            self._reactor,
        )
        self._followers = [
            OperatorFollower(self._store, self.board, self._conductor, self._reactor),
            ServerFollower(self._store, self._listing, self._reactor),
        ]

    def _make_drain(self):
        grace_s = self._settings.bounds.grace_s
        settings = DrainSettings(
            balancer_grace_s=BALANCER_GRACE_S,
            timeout_s=max(grace_s - HAND_OVER_MARGIN_S, BALANCER_GRACE_S),
        )
        side = _CallerSide(self._factory, self.dispatcher)
        return Drain(
            self.board, side, settings, self._reactor, self._turn_away, self._stop
        )

    def _make_loops(self):
        return [
            (LoopingCall(self.dispatcher.check), CHECK_INTERVAL_S),
            (LoopingCall(self._client.sweep), SWEEP_INTERVAL_S),
            (LoopingCall(self._gossip.tell_changes), GOSSIP_INTERVAL_S),
            (LoopingCall(self._tell), TELL_INTERVAL_S),
            (LoopingCall(self._conduct), ROLLOUT_INTERVAL_S),
            (LoopingCall(self._flush), FLUSH_INTERVAL_S),
        ]

    # Life.

    def start(self, early_socket=None):
        """Listen and begin to work.

        Parameters
        ----------
        early_socket : socket.socket or None
            One that listens for callers already.

        Returns
        -------
        result.Result[None, Problem]
            ``UNREACHABLE`` if an address cannot be listened on.
        """
        for follower in self._followers:
            follower.start()
        self._early_socket = early_socket
        self.board.configuration.listen(self._open_when_known)
        self.board.endpoints.listen(self._open_when_known)
        self._reactor.callLater(START_WAIT_S, self._open)
        try:
            self._listen(
                self._reactor, self._settings.readiness_listen, self._readiness
            )
        except CannotListenError as error:
            return Err(Problem(ErrorKind.UNREACHABLE, str(error)))
        self.board.drain.listen(self._note_drain)
        self._reactor.callLater(METRICS_DELAY_S, self._serve_metrics)
        for loop, interval_s in self._loops:
            loop.clock = self._reactor
            loop.start(interval_s, now=False)
        Deferred.fromCoroutine(self._join_peers()).addErrback(
            lambda failure: logger.error("peer link failed: {}", failure.value)
        )
        # What was made for the start is never garbage: collections skip it.
        gc.freeze()
        logger.info(Lifecycle("started", self._settings.listen))
        return Ok(None)

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
        self._listen(self._reactor, self._settings.listen, self._factory, early_socket)

    def _serve_metrics(self):
        self._metrics.load()
        factory = CallerFactory(
            self._reactor, self._tell_metrics, self._limits, self._unreadable
        )
        try:
            self._listen(self._reactor, self._settings.metrics_listen, factory)
        except CannotListenError as error:
            logger.error("metrics cannot be served: {}", error)

    def _tell_metrics(self, head, body, reply):
        headers = [(b"Content-Type", METRICS_CONTENT_TYPE)]
        reply.answer(OK, headers, self._metrics.render())

    async def _join_peers(self):
        while True:
            keys = await obtain_fleet_keys(self._store)
            if keys.is_ok():
                break
            pause = Deferred()
            self._reactor.callLater(KEYS_RETRY_S, pause.callback, None)
            await pause
        self._peers = FleetLink(
            self._reactor,
            self._settings,
            keys.unwrap(),
            self.board,
            self._listing,
            decode_configuration,
            self._sockets_type,
        )
        self._gossip.join(self._peers)
        self._conductor.join(self._peers)
        self._peers.handle(
            EndpointBack, lambda news: self._listing.add_unlisted(news.endpoint)
        )
        self._peers.start()
        logger.info(Dependency("peers", "regained", self._settings.peer.listen))

    def handle_signals(self):
        """Drain on SIGTERM and SIGINT; SIGHUP changes nothing that is in force."""

        def ask(number, frame):
            self._reactor.callFromThread(self._drain.ask)

        def reload(number, frame):
            self._reactor.callFromThread(self._reload)

        signal.signal(signal.SIGTERM, ask)
        signal.signal(signal.SIGINT, ask)
        signal.signal(signal.SIGHUP, reload)

    def _reload(self):
        """Note changed settings: addresses and bounds stay those of the start."""
        logger.info(Lifecycle("reloaded", "nothing that is in force changed"))

    def _note_drain(self, phase):
        self._factory.is_draining = phase.draining

    def _turn_away(self):
        self._factory.close_idle()

    def _stop(self):
        logger.info(Lifecycle("stopped"))
        self._flush()
        self._reactor.callLater(FLUSH_S, self._reactor.stop)

    # Work.

    def _limits(self):
        return self.board.configuration.value.limits

    def _unreadable(self, status, detail):
        self.counters.unreadable += 1
        logger.info(RequestUnreadable(status, detail))

    def _take_request(self, head, body, reply):
        request = decode_request(head, body, self._reactor.seconds())
        self.dispatcher.handle(request, reply)

    @property
    def is_ready(self):
        """Bool : whether callers may come."""
        return self._knows_enough and not self.board.drain.value.draining

    @property
    def _knows_enough(self):
        is_known = self.board.configuration.value.revision > 0
        return is_known and bool(self.board.endpoints.value)

    def _tell_readiness(self, head, body, reply):
        reply.answer(OK if self.is_ready else UNAVAILABLE, [], b"")

    def _tell(self):
        self._loads.forget_silent()
        self._prompts.forget_old()
        self._gossip.renew()
        self._follow_or_not()

    def _follow_or_not(self):
        """Follow the store, or leave it to the data centre's relays."""
        must_follow = self._peers is None or self._peers.must_follow
        followers = list(self._followers)
        if self._outcomes is not None:
            followers.append(self._outcomes)
        for follower in followers:
            if must_follow:
                follower.resume()
            else:
                follower.pause()

    def _conduct(self):
        if self._conductor.rollouts and self._outcomes is None:
            # Watched only once there was a rollout: each call of the store counts.
            self._outcomes = OutcomeFollower(
                self._store, self._conductor, self._reactor
            )
            self._outcomes.start()
        self._conductor.tell()

    def _flush(self):
        if self._lines is not None:
            self._lines.flush()
