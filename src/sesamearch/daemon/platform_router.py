"""The router daemon on the platform: assembles its components and runs them."""

import gc
import random
import signal

import msgspec
from result import Err, Ok
from twisted.internet.defer import Deferred
from twisted.internet.error import CannotListenError
from twisted.internet.task import LoopingCall

from sesamearch.base.errors import ErrorKind, Problem
from sesamearch.base.guard import Guard
from sesamearch.base.listener import listen_tcp
from sesamearch.base.log import FLUSH_INTERVAL_S, logger
from sesamearch.base.record import Dependency, Lifecycle
from sesamearch.configuration.blackboard import Blackboard
from sesamearch.configuration.settings import DrainSettings
from sesamearch.daemon.drain import Drain
from sesamearch.daemon.platform_metrics import PlatformMetrics
from sesamearch.daemon.platform_ports import PlatformPorts
from sesamearch.daemon.proxying import UPDATE_INTERVAL_S, Proxying
from sesamearch.forwarding.budget import FleetView, RetryBudgets
from sesamearch.forwarding.choice import Chooser
from sesamearch.forwarding.dispatcher import (
    Dispatcher,
    ForwardCounters,
)
from sesamearch.forwarding.endpoint_index import EndpointIndex
from sesamearch.forwarding.health import HealthTracker
from sesamearch.forwarding.held_prompts import HeldPrompts
from sesamearch.forwarding.leaving import LeavingTracker
from sesamearch.forwarding.limits import LimitTracker
from sesamearch.forwarding.load import LoadTracker
from sesamearch.forwarding.outage import OutageDetector
from sesamearch.forwarding.pace import GenerationPace
from sesamearch.forwarding.pauses import PauseTracker
from sesamearch.forwarding.prompts import PromptLocations
from sesamearch.forwarding.restarts import RestartDetector
from sesamearch.forwarding.stated_load import LoadStatements
from sesamearch.forwarding.tools import ForwardTools
from sesamearch.forwarding.untaken import UntakenAnswers
from sesamearch.forwarding.where import ObservedChooser, WhereFinder
from sesamearch.membership.fleet import FleetLink
from sesamearch.membership.fleet_keys import obtain_fleet_keys
from sesamearch.membership.fleet_message import EndpointRestarted
from sesamearch.membership.gossip import LoadGossip
from sesamearch.membership.key_keeper import KeyKeeper
from sesamearch.membership.leaving_gossip import LeavingGossip
from sesamearch.membership.limit_gossip import LimitGossip
from sesamearch.membership.listing import EndpointListing
from sesamearch.membership.permit_relay import PermitRelay
from sesamearch.membership.quarantine_gossip import QuarantineGossip
from sesamearch.membership.sockets import PeerSockets
from sesamearch.platform.client import SWEEP_INTERVAL_S, PlatformEndpointClient
from sesamearch.platform.configuration import decode_configuration
from sesamearch.platform.followers import (
    OperatorFollower,
    OutcomeFollower,
    QuarantineFollower,
    ServerFollower,
)
from sesamearch.platform.quarantine import PlatformQuarantineRegister
from sesamearch.platform.rollout import PlatformRolloutRegister
from sesamearch.platform.store import PlatformStore
from sesamearch.quarantine.controller import QuarantineController
from sesamearch.rollout.controller import UPDATE_INTERVAL_S as ROLLOUT_INTERVAL_S
from sesamearch.rollout.controller import RolloutController
from sesamearch.routing.canary import CanarySettings
from sesamearch.routing.table import RoutingTable
from sesamearch.wire.account import CallerAccount, CallerBounds

__all__ = ["PlatformRouter"]

KEYS_RETRY_DELAY_S = 1.0
# Changes in the store are gathered for this share of the time in which a leaving
# endpoint must be known to all.
BATCH_DELAY_RATIO = 0.1
# A silent watch of the store is sent again after this share of the time in which a
# router must know what the store holds; the rest is for reading and telling others.
MAX_SILENCE_RATIO = 0.9
# By this time after its start, a router knows whether it relays.
SETTLE_S = 1.5
# The load balancer probes readiness once per second, and stops sending requests after
# two failed probes.
BALANCER_GRACE_S = 2.6
# Generations are handed over this long before the platform kills the process, so that
# their callers can resume at another router and the process exits by itself.
HAND_OVER_MARGIN_S = 0.4
MIB_BYTES = 1 << 20
# Time for the connections to send what is still buffered.
STOP_DELAY_S = 0.1


class PlatformRouter:
    """A router process on the platform.

    Parameters
    ----------
    reactor : twisted reactor
    settings : PlatformRouterSettings
    lines : LineQueue or None
        Queue of log lines, flushed every ``FLUSH_INTERVAL_S``.
    listen : callable, optional
        Replaces :func:`listen_tcp` in tests.
    sockets_type : type, optional
        Replaces :class:`PeerSockets` in tests.
    """

    def __init__(
        self,
        reactor,
        settings,
        lines=None,
        listen=listen_tcp,
        sockets_type=PeerSockets,
    ):
        self._reactor = reactor
        self._sockets_type = sockets_type
        self._settings = settings
        self._lines = lines
        self.board = Blackboard(RoutingTable())
        self.counters = ForwardCounters()
        self._store = PlatformStore(
            reactor,
            settings.store_address,
            settings.bounds.drain_s * BATCH_DELAY_RATIO,
            settings.bounds.contact_s * MAX_SILENCE_RATIO,
        )
        self._peers = None
        self._outcome_follower = None
        self._quarantine_follower = None
        self._settled_s = reactor.seconds() + SETTLE_S
        self._account = CallerAccount(
            reactor,
            CallerBounds.of_vm(settings.memory_mb * MIB_BYTES, settings.max_fds),
        )
        self._make_forwarding()
        self._make_membership()
        self._ports = PlatformPorts(
            reactor,
            settings,
            self.board,
            self.dispatcher,
            self._metrics,
            self._proxying.make_port(
                self.board, self.dispatcher, listen, self._account
            ),
            listen,
            self._account,
            self._where,
        )
        self._drain = self._make_drain()
        self._loops = self._make_loops()

    def _make_forwarding(self):
        reactor, bounds = self._reactor, self._settings.bounds
        self._metrics = PlatformMetrics(self.counters, self._gauges())
        self._health = HealthTracker(reactor)
        self._loads = LoadTracker(reactor)
        self._statements = LoadStatements(reactor)
        self._held_prompts = HeldPrompts(reactor)
        self.board.endpoints.listen(self._held_prompts.discard_unlisted)
        self.board.endpoints.listen(self._statements.discard_unlisted)
        self._prompts = PromptLocations(reactor)
        endpoint_index = EndpointIndex(self.board, self._health)
        self._endpoint_index = endpoint_index
        self._leaving = LeavingTracker(self.counters)
        self._client = PlatformEndpointClient(reactor)
        self._client.on_answer = self._note_answer
        self.board.endpoints.listen(self._client.discard_unlisted)
        self._budgets = RetryBudgets(
            reactor,
            bounds.retry_ratio,
            bounds.retry_window_s,
            bounds.retry_slack,
            self._view_fleet,
        )
        canary = CanarySettings(bounds.exposure_ratio, bounds.exposure_slack)
        self._rollout_controller = RolloutController(
            self._settings.name,
            self.board,
            PlatformRolloutRegister(self._store),
            canary,
            reactor,
        )
        self._restart_detector = RestartDetector(
            self._client,
            reactor,
            bounds.reuse_after_s,
            self._health_path_of,
            self._handle_restart,
            self._handle_alive,
        )
        self.board.endpoints.listen(self._restart_detector.discard_unlisted)
        rng = random.Random(self._settings.name)
        self._pauses = PauseTracker(reactor, self.counters, rng)
        self._client.is_paused = self._pauses.is_paused
        self._limits = LimitTracker(reactor, self.counters)
        self._permits = PermitRelay(
            self._limits, endpoint_index.find, reactor, self.counters
        )
        self._client.is_limited = self._limits.is_limited
        self._client.permits = self._permits
        self._outages = OutageDetector(
            self._probe, reactor, self._endpoints_to_probe, rng
        )
        self._quarantine = QuarantineController(
            reactor, PlatformQuarantineRegister(self._store), self.counters, rng
        )
        self._make_proxying()
        tools = ForwardTools(
            self._client,
            self._make_chooser(Chooser, rng),
            endpoint_index,
            self._loads,
            self._statements,
            self._health,
            self._prompts,
            self._held_prompts,
            GenerationPace(),
            self._budgets,
            self._rollout_controller,
            self._restart_detector,
            self._outages,
            self._paths,
            self._proxying.proxy,
            self._proxying.admission,
            self._pauses,
            self._limits,
            self._permits,
            self._quarantine,
            UntakenAnswers(reactor),
            reactor,
            rng,
            self.counters,
            self._metrics,
        )
        self.dispatcher = Dispatcher(self.board, tools)
        where_rng = random.Random(f"{self._settings.name} where")
        chooser = self._make_chooser(ObservedChooser, where_rng)
        self._where = WhereFinder(self._settings.name, self.board, tools, chooser)

    def _make_chooser(self, chooser_type, rng):
        return chooser_type(
            self._endpoint_index,
            self._loads,
            self._health,
            self._settings.data_centre,
            self._rollout_controller,
            self._outages,
            self._pauses,
            self._limits,
            self._permits,
            rng,
            self._statements,
            self._held_prompts,
        )

    def _make_proxying(self):
        """Make what serves requests by way of other routers, and theirs here."""
        self._proxying = Proxying(
            self._reactor,
            self._settings,
            self._probe_path,
            self._endpoint_index.serving,
            lambda: self._peers.member_list if self._peers is not None else None,
            lambda: self.dispatcher.in_flight,
            random.Random(f"{self._settings.name} paths"),
        )
        self._paths = self._proxying.paths
        self._paths.on_change = self._handle_path_change

    def _handle_path_change(self, service):
        """Tell the others, and use the endpoints of a service again that is reached."""
        self._proxying.gossip.send()
        if self._paths.is_cut(service):
            self.dispatcher.note_path_lost(service)
            return
        for endpoint in self._endpoint_index.serving(service):
            self._health.note_alive(endpoint.name)
            self._outages.note_alive(endpoint)

    def _is_witness(self, name):
        """Return whether failures of an endpoint are not those of the path to it."""
        endpoint = self._endpoint_index.find(name)
        return endpoint is None or self._paths.is_open(endpoint.service)

    def _health_path_of(self, service):
        spec = self.board.configuration.value.services.get(service)
        return spec.health_path if spec else ""

    def _probe_path_of(self, service):
        """Return the path of a probe; for an engine empty, which asks for a report."""
        spec = self.board.configuration.value.services.get(service)
        is_plain = spec is not None and spec.engine is None
        return spec.health_path if is_plain else ""

    def _probe(self, endpoint, timeout_s):
        """Probe an endpoint without sending a plain service a request to run."""
        health_path = self._probe_path_of(endpoint.service)
        return self._client.probe(endpoint, timeout_s, health_path)

    def _probe_path(self, endpoint, timeout_s):
        """Probe the path to an endpoint in the same way."""
        health_path = self._probe_path_of(endpoint.service)
        return self._client.probe_path(endpoint, timeout_s, health_path)

    def _handle_restart(self, endpoint, name):
        """Use a restarted endpoint under its new name, and notify the other routers."""
        restarted = msgspec.structs.replace(
            endpoint, name=name, born_ms=0, leaving=False
        )
        self._listing.add_unlisted(restarted)
        self._outages.note_alive(restarted)
        if self._peers is not None:
            self._peers.send_to_all(EndpointRestarted(restarted))

    def _handle_alive(self, endpoint):
        """Use a silent endpoint again that answers under its own name."""
        self._health.note_alive(endpoint.name)
        self._outages.note_alive(endpoint)

    def _note_answer(self, endpoint, answer, asked_s):
        """Record what an endpoint said of itself in the answer to a request."""
        self._leaving.note_answer(endpoint, answer)
        self._pauses.note_answer(endpoint, answer)
        self._limits.note_answer(endpoint, answer, asked_s)
        self._statements.note_answer(endpoint, answer)

    def _endpoints_to_probe(self):
        """Return the endpoints that may be probed for whether they can be reached."""
        listed = self.board.endpoints.value
        return {name: each for name, each in listed.items() if not each.leaving}

    def _view_fleet(self):
        if self._peers is None:
            return FleetView(1, frozenset([self._settings.data_centre]))
        members = self._peers.member_list
        return FleetView(members.size, frozenset(members.data_centres))

    def _gauges(self):
        board = self.board
        return {
            "configuration_revision": lambda: board.configuration.value.revision,
            "endpoints": lambda: len(board.endpoints.value),
            "members": lambda: len(board.members.value),
            "is_relay": lambda: int(self._peers is not None and self._peers.is_relay),
            "store_knowledge_age_ms": self._store_age_ms,
            "store_watch_silence_ms": lambda: self._store.watch_silence_s * 1000,
            "limited_endpoints": lambda: self._limits.active_count,
            "quarantined_prompts": lambda: self._quarantine.active_count,
            "withheld_versions": self._count_withheld_versions,
            "services_cut": lambda: len(self._paths.cut_services),
            "in_flight": lambda: self.dispatcher.in_flight,
            "caller_bytes": lambda: self._account.held_bytes,
            "caller_connections": lambda: self._account.connection_count,
            "callers_shed": lambda: self._account.shed_count,
            "store_calls": lambda: self._store.calls,
            "endpoint_connections": lambda: self._client.opened,
            "log_lines_dropped": lambda: self._lines.dropped if self._lines else 0,
        }

    def _count_withheld_versions(self):
        return self._rollout_controller.standing_keeper.standings.withheld_count

    def _store_age_ms(self):
        if self._peers is None:
            return (self._reactor.seconds() - self._store_as_of_s()) * 1000
        return self._peers.knowledge.age_s * 1000

    def _make_membership(self):
        self._listing = EndpointListing(
            self.board,
            self._reactor,
            lambda: self._store.regained_s,
            lambda: self._store.is_reachable,
            self._leaving,
        )
        self._gossip = LoadGossip(
            self._settings.name,
            self._settings.data_centre,
            self._loads,
            self._health,
            self._prompts,
            self._budgets,
            self._reactor,
            self._statements,
            self._held_prompts,
            self._is_witness,
        )
        self._leaving_gossip = LeavingGossip(self._leaving)
        self._limit_gossip = LimitGossip(self._limits, self._reactor)
        self._quarantine_gossip = QuarantineGossip(self._quarantine, self._reactor)
        self._followers = [
            OperatorFollower(
                self._store, self.board, self._rollout_controller, self._reactor
            ),
            ServerFollower(self._store, self._listing, self._reactor),
        ]

    def _make_drain(self):
        grace_s = self._settings.bounds.grace_s
        settings = DrainSettings(
            balancer_grace_s=BALANCER_GRACE_S,
            timeout_s=max(grace_s - HAND_OVER_MARGIN_S, BALANCER_GRACE_S),
        )
        return Drain(
            self.board,
            self._ports,
            settings,
            self._reactor,
            self._ports.close_idle,
            self._stop,
        )

    def _make_loops(self):
        loops = [
            (self._client.sweep, SWEEP_INTERVAL_S),
            (self._update, UPDATE_INTERVAL_S),
            (self._update_rollouts, ROLLOUT_INTERVAL_S),
            (self._flush, FLUSH_INTERVAL_S),
        ]
        return [
            (LoopingCall(Guard(self._reactor, function)), interval_s)
            for function, interval_s in loops
        ]

    # Start, reload and shutdown.

    def start(self, early_socket=None):
        """Listen and start all components.

        Parameters
        ----------
        early_socket : socket.socket or None
            Socket that already listens for callers.

        Returns
        -------
        result.Result[None, Problem]
            ``UNREACHABLE`` if an address cannot be listened on.
        """
        for follower in self._followers:
            follower.start()
        try:
            self._ports.start(early_socket)
        except CannotListenError as error:
            return Err(Problem(ErrorKind.UNREACHABLE, str(error)))
        for loop, interval_s in self._loops:
            loop.clock = self._reactor
            loop.start(interval_s, now=False)
        Deferred.fromCoroutine(self._join_peers()).addErrback(
            lambda failure: logger.error("peer link failed: {}", failure.value)
        )
        # Objects created at startup are never garbage, so collections can skip them.
        gc.freeze()
        logger.info(Lifecycle("started", self._settings.listen))
        return Ok(None)

    async def _join_peers(self):
        while True:
            keys = await obtain_fleet_keys(self._store)
            if keys.is_ok():
                break
            pause = Deferred()
            self._reactor.callLater(KEYS_RETRY_DELAY_S, pause.callback, None)
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
        self._peers.on_keys_changed = self._use_keys
        self._use_keys(self._peers.keys)
        self._peers.follows_store = self._follows_store
        self._peers.knowledge.own_as_of_s = self._store_as_of_s
        for follower in self._followers:
            follower.on_watch = self._announce_if_following
        self._gossip.join(self._peers)
        self._leaving_gossip.join(self._peers)
        self._limit_gossip.join(self._peers)
        self._permits.join(self._peers)
        self._quarantine_gossip.join(self._peers)
        self._proxying.gossip.join(self._peers)
        self._rollout_controller.join(self._peers)
        self._peers.handle(
            EndpointRestarted,
            lambda update: self._listing.add_unlisted(update.endpoint),
        )
        self._peers.start()
        rng = random.Random(self._settings.name)
        keeper = KeyKeeper(self._store, self._peers, self._reactor, rng)
        self._store.on_restored = keeper.note_restored
        keeper.start()
        logger.info(Dependency("peers", "regained", self._settings.peer.listen))

    def _use_keys(self, keys):
        """Have all routers that share these keys give a request the same name."""
        self._quarantine.fingerprints.set_secret(keys.secret_key)
        self._proxying.sealer.set_secret(keys.secret_key)

    def handle_signals(self, load_settings):
        """Shut down on SIGTERM and SIGINT, and reload the settings on SIGHUP.

        Parameters
        ----------
        load_settings : callable
            Returns the ``Result`` of reading the settings.
        """

        def terminate(number, frame):
            self._reactor.callFromThread(self.shut_down)

        def reload(number, frame):
            self._reactor.callFromThread(self.reload, load_settings)

        signal.signal(signal.SIGTERM, terminate)
        signal.signal(signal.SIGINT, terminate)
        signal.signal(signal.SIGHUP, reload)
        # deploy/start.py blocks SIGHUP until here; a pending SIGHUP is handled now.
        signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})

    def shut_down(self):
        """Start the shutdown; later calls have no effect.

        The platform repeats the termination signal, so a second one does not mean that
        generations must be handed over at once.
        """
        if not self.board.drain.value.draining:
            self._drain.shut_down()

    def reload(self, load_settings):
        """Apply changed peer seeds; addresses and bounds change only at a restart.

        Connections stay open. Invalid settings are logged and ignored.
        """
        loaded = load_settings()
        if loaded.is_err():
            fault = loaded.unwrap_err()[0]
            logger.error(Lifecycle("reload_failed", fault.to_text()))
            return
        if self._peers is not None:
            self._peers.seeds = loaded.unwrap().peer.seeds
        logger.info(Lifecycle("reloaded", "seeds"))

    def _stop(self):
        logger.info(Lifecycle("stopped"))
        self._ports.close()
        self._flush()
        self._reactor.callLater(STOP_DELAY_S, self._reactor.stop)

    # Periodic work.

    def _update(self):
        self._loads.drop_silent_peers()
        self._outages.check()
        self.dispatcher.give_up_untaken()
        self._proxying.update()
        self._prompts.drop_expired()
        self._held_prompts.drop_expired()
        self._pauses.drop_expired()
        self._limits.drop_expired(self.board.endpoints.value)
        self._permits.refresh()
        if self._peers is not None:
            self._budgets.discard_unknown(self._peers.member_list.names)
        self._gossip.refresh()
        self._quarantine.refresh()
        self._limit_gossip.refresh()
        self._quarantine_gossip.refresh()
        self._update_followers()

    def _announce_if_following(self):
        if self._follows_store():
            self._peers.announce_state()

    def _update_followers(self):
        """Watch the store, or rely on the other routers of the data centre.

        A router watches the store until it has joined the other routers, and after that
        while ``FleetLink.must_watch_store``.
        """
        must_watch_store = self._peers is None or self._peers.must_watch_store
        if self._peers is not None:
            self._peers.knowledge.check(self._peers.is_relay, must_watch_store)
        has_settled = self._reactor.seconds() >= self._settled_s
        if must_watch_store and has_settled and self._quarantine_follower is None:
            # The other routers learn of the quarantines from the relays.
            self._quarantine_follower = QuarantineFollower(
                self._store, self._quarantine, self._reactor
            )
            self._quarantine_follower.start()
        if self._peers is not None:
            self._store.set_backed_up(self._peers.has_follower_before)
        followers = list(self._followers)
        for each in (self._outcome_follower, self._quarantine_follower):
            if each is not None:
                followers.append(each)
        for follower in followers:
            if must_watch_store:
                follower.resume()
            else:
                follower.pause()
        if not must_watch_store:
            self._schedule_watch()

    def _schedule_watch(self):
        """Update the followers just when the knowledge of the store becomes too old."""
        delay_s = self._peers.knowledge_expires_s - self._reactor.seconds()
        if 0 < delay_s < UPDATE_INTERVAL_S:
            self._reactor.callLater(delay_s, self._update_followers)

    def _follows_store(self):
        is_watching = all(follower.is_watching for follower in self._followers)
        return self._store.is_reachable and is_watching

    def _store_as_of_s(self):
        """Return as of when this router knows the store by its own calls."""
        as_of_s = min(follower.read_s for follower in self._followers)
        if self._follows_store():
            # A change waits this long between two calls of a watch.
            watched_s = self._store.confirmed_s - self._store.batch_delay_s
            as_of_s = max(as_of_s, watched_s)
        return as_of_s

    def _update_rollouts(self):
        controller = self._rollout_controller
        if controller.rollouts and self._outcome_follower is None:
            # The follower starts only with the first rollout, since the platform counts
            # each call to the store.
            self._outcome_follower = OutcomeFollower(
                self._store, self._rollout_controller, self._reactor
            )
            self._outcome_follower.start()
        controller.share_evidence()

    def _flush(self):
        if self._lines is not None:
            self._lines.flush()
