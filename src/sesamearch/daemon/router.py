"""The router daemon: assembles its components and runs them."""

import resource
import signal
from pathlib import Path

from result import Err, Ok
from twisted.internet.address import IPv4Address
from twisted.internet.defer import gatherResults, maybeDeferred
from twisted.internet.error import CannotListenError
from twisted.internet.task import LoopingCall

from sesamearch.base.errors import ErrorKind, Problem
from sesamearch.base.listener import listen_tcp
from sesamearch.base.log import logger
from sesamearch.callers.gateway import SWEEP_INTERVAL_S, Gateway
from sesamearch.callers.site import ResourceFactory
from sesamearch.configuration.blackboard import Blackboard
from sesamearch.configuration.directory import ServiceDirectory
from sesamearch.configuration.follower import ConfigurationFollower, EndpointFollower
from sesamearch.daemon.drain import Drain
from sesamearch.daemon.metrics import MetricsExport
from sesamearch.daemon.operators_port import OperatorsPort
from sesamearch.generation.attempt import GenerationTools
from sesamearch.generation.cursor import CursorSigner
from sesamearch.generation.http_engine import HttpEngineClient
from sesamearch.membership.claim_relay import ClaimRelay, choose_writer
from sesamearch.membership.peer import PeerLink
from sesamearch.operation.call import CallRunner, CallTools
from sesamearch.operation.claim import ClaimWriter
from sesamearch.operation.http_plain import HttpPlainClient
from sesamearch.operation.operation import OperationRunner, OperationTools
from sesamearch.rollout.leadership import Leadership
from sesamearch.rollout.move_controller import MoveController, MoveFollower
from sesamearch.routing.placement import Placement
from sesamearch.store.etcd import EtcdStore
from sesamearch.wire.account import CallerAccount, CallerBounds

__all__ = ["Router"]

# Time for the connections to send responses that are still buffered.
STOP_DELAY_S = 0.3
MIB_BYTES = 1 << 20


class Router:
    """A router process.

    Parameters
    ----------
    reactor : twisted reactor
    settings : RouterSettings
    peer_keys : PeerKeys or None
        Keys of the link to the other routers, None without a link.
    """

    def __init__(self, reactor, settings, peer_keys):
        self._reactor = reactor
        self._settings = settings
        self.board = Blackboard()
        self._store = EtcdStore(reactor, settings.store)
        placement = Placement(self.board, settings.data_centre, reactor)
        self._peers = self._make_peers(peer_keys)
        self._move_controller = self._make_move_controller()
        secret = Path(settings.cursor_key_file).read_bytes().strip()
        tools = GenerationTools(
            HttpEngineClient(reactor),
            placement,
            CursorSigner(secret),
            reactor,
            self.board.counters,
            self._move_controller,
        )
        calls = CallTools(
            HttpPlainClient(reactor), placement, reactor, self._move_controller
        )
        operation_tools = OperationTools(
            calls,
            self._make_claims(),
            self.board.counters,
            settings.name,
        )
        self.gateway = Gateway(
            self.board,
            ServiceDirectory(self.board),
            tools,
            CallRunner(calls),
            OperationRunner(operation_tools, self._store),
            settings.limits,
        )
        self._followers = [
            ConfigurationFollower(self._store, self.board, reactor),
            EndpointFollower(self._store, self.board, reactor),
            self._move_follower,
        ]
        self._metrics = MetricsExport(self.board, settings.metrics)
        self._drain = Drain(
            self.board,
            self.gateway,
            settings.drain,
            reactor,
            self._stop_listening,
            self._stop,
        )
        self._account = CallerAccount(reactor, _bounds_of(settings.limits))
        self._listeners = []
        self._operators = []
        self._sweeper = LoopingCall(self.gateway.sweep)

    def _make_peers(self, keys):
        if keys is None:
            return None
        return PeerLink(self._reactor, self._settings, keys, self.board)

    def _make_move_controller(self):
        name, data_centre = self._settings.name, self._settings.data_centre
        self._move_follower = MoveFollower(self._store, self.board, self._reactor)

        def is_candidate():
            members = self.board.members.value.values()
            is_leaving = self.board.drain.value.draining
            return not is_leaving and choose_writer(name, data_centre, members) == name

        return MoveController(
            name,
            self.board,
            self._store,
            Leadership(self._store, name, self._reactor),
            self._move_follower,
            self._peers,
            self._reactor,
            is_candidate,
        )

    def _make_claims(self):
        writer = ClaimWriter(self._store, self._reactor, self.board.counters)
        if self._peers is None:
            return writer
        return ClaimRelay(
            self._settings, self.board, writer, self._peers, self._reactor
        )

    def start(self):
        """Listen and start all components.

        Returns
        -------
        result.Result[None, Problem]
            ``UNREACHABLE`` if an address cannot be listened on.
        """
        if self._peers is not None:
            self._peers.start()
        try:
            self._listen_for_operators()
            self._listen_for_callers()
        except CannotListenError as error:
            return Err(Problem(ErrorKind.UNREACHABLE, str(error)))
        for follower in self._followers:
            follower.start()
        self._sweeper.start(SWEEP_INTERVAL_S)
        self._move_controller.start()
        logger.info(
            "router started name={} listen={}",
            self._settings.name,
            self._settings.listen,
        )
        return Ok(None)

    def _listen_for_operators(self):
        port = OperatorsPort(
            self._settings,
            self.board,
            self.gateway,
            self._followers[0],
            self._metrics,
            self._reactor,
        )
        address = self._settings.operators_listen
        factory = self._make_factory(port.app, address)
        self._operators.append(listen_tcp(self._reactor, address, factory))

    def _listen_for_callers(self):
        address, tls = self._settings.listen, self._settings.tls
        factory = self._make_factory(self.gateway.app, address, tls is not None)
        if tls is not None:
            factory = _encrypt(factory, tls)
        self._listeners.append(listen_tcp(self._reactor, address, factory))

    def _make_factory(self, app, address, is_secure=False):
        host, _, port = address.rpartition(":")
        return ResourceFactory(
            app.resource(),
            self._settings.limits,
            self._reactor,
            self._account,
            IPv4Address("TCP", host, int(port)),
            is_secure,
        )

    def handle_signals(self):
        """Shut down on SIGTERM or SIGINT; hand generations over on a second signal."""

        def terminate(number, frame):
            self._reactor.callFromThread(self._drain.shut_down)

        signal.signal(signal.SIGTERM, terminate)
        signal.signal(signal.SIGINT, terminate)

    def _stop_listening(self):
        listeners, self._listeners = self._listeners, []
        return gatherResults(
            [maybeDeferred(listener.stopListening) for listener in listeners]
        )

    def close(self):
        """Stop at once; return a Deferred that fires when all ports are closed."""
        for follower in self._followers:
            follower.stop()
        if self._sweeper.running:
            self._sweeper.stop()
        self._move_controller.stop()
        if self._peers is not None:
            self._peers.stop()
        self._metrics.stop()
        operators, self._operators = self._operators, []
        self._listeners += operators
        return gatherResults([self._stop_listening(), self._store.close()])

    def _stop(self):
        self.close()
        # The transports may still have to send completed responses.
        self._reactor.callLater(STOP_DELAY_S, self._reactor.stop)


def _bounds_of(limits):
    """Return the :class:`CallerBounds` for the callers of a process."""
    descriptors = limits.descriptors
    if descriptors is None:
        descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    return CallerBounds.of_vm(limits.memory_mb * MIB_BYTES, descriptors)


def _encrypt(factory, tls):
    """Return a factory whose connections are encrypted with a certificate."""
    # Imported only if used, since TLS takes additional memory.
    from twisted.internet import ssl
    from twisted.protocols.tls import TLSMemoryBIOFactory

    context = ssl.DefaultOpenSSLContextFactory(
        tls.private_key_file, tls.certificate_file
    )
    return TLSMemoryBIOFactory(context, False, factory)
