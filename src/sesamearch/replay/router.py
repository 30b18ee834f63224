"""Simulated router: the production decision code with fake adapters."""

from sesamearch.callers.gateway import SWEEP_INTERVAL_S
from sesamearch.configuration.blackboard import Blackboard
from sesamearch.configuration.follower import ConfigurationFollower, EndpointFollower
from sesamearch.configuration.settings import DrainSettings
from sesamearch.daemon.drain import Drain
from sesamearch.generation.attempt import GenerationTools
from sesamearch.generation.cursor import CursorSigner
from sesamearch.generation.generation import Generation
from sesamearch.operation.call import CallTools
from sesamearch.operation.claim import ClaimWriter
from sesamearch.operation.operation import OperationRunner, OperationTools
from sesamearch.replay.fake import FakeEngineClient, FakePlainClient
from sesamearch.replay.naive import (
    NaiveGeneration,
    NaiveOperationRunner,
    NaivePlacement,
)
from sesamearch.replay.process import Process
from sesamearch.replay.store import FakeStore
from sesamearch.rollout.leadership import Leadership
from sesamearch.rollout.move_controller import MoveController, MoveFollower
from sesamearch.rollout.version import VersionChooser
from sesamearch.routing.placement import Placement

__all__ = ["ReplayRouter"]

_SECRET = b"replay" * 8
_DRAIN_SETTINGS = DrainSettings(balancer_grace_s=1.5, timeout_s=20.0)


class ReplayPeers:
    """Sends messages from one router to the others over simulated links.

    Parameters
    ----------
    router : ReplayRouter
    """

    def __init__(self, router):
        self._router = router
        self.handlers = {}

    def handle(self, message_type, handler):
        """Register the handler for a type of message."""
        self.handlers[message_type] = handler

    def send_to(self, name, message):
        """Send a message to one router; return whether the router exists."""
        other = self._router.replay.routers.get(name)
        if other is None:
            return False
        handler = other.peers.handlers[type(message)]
        links = self._router.replay.links
        links.send(self._router.process, other.process, handler, message)
        return True

    def send_to_all(self, message):
        """Send a message to all other routers."""
        for name in self._router.replay.routers:
            if name != self._router.name:
                self.send_to(name, message)


class ReplayRouter:
    """A router with fake clients for engines, services, store and peers.

    Parameters
    ----------
    replay : Replay
    name, data_centre : str
    """

    def __init__(self, replay, name, data_centre):
        self.replay = replay
        self.name = name
        self.data_centre = data_centre
        self.process = Process(replay.clock, name)
        self.board = Blackboard()
        self.generations = set()
        self.calls = 0
        self.revisions = []
        self.board.configuration.listen(self._note_revision)
        is_naive = replay.is_naive
        self.placement = (
            NaivePlacement(self.board)
            if is_naive
            else Placement(self.board, data_centre, self.process, replay.seed)
        )
        self.signer = CursorSigner(_SECRET)
        store = FakeStore(self.process, replay.store, replay.header.store_latency_s)
        self.move_follower = MoveFollower(store, self.board, self.process)
        self.peers = ReplayPeers(self)
        self.move_controller = self._make_move_controller(store)
        self.tools = GenerationTools(
            FakeEngineClient(self.process, replay.links, replay.engines),
            self.placement,
            self.signer,
            self.process,
            self.board.counters,
            self.move_controller,
        )
        self.versions = VersionChooser(self.board)
        self.operations = self._make_operations(store)
        self.followers = [
            ConfigurationFollower(store, self.board, self.process),
            EndpointFollower(store, self.board, self.process),
            self.move_follower,
        ]
        self.drain = Drain(
            self.board, self, _DRAIN_SETTINGS, self.process, lambda: None, self._exit
        )

    def _make_move_controller(self, store):
        return MoveController(
            self.name,
            self.board,
            store,
            Leadership(store, self.name, self.process),
            self.move_follower,
            self.peers,
            self.process,
            lambda: not self.replay.is_naive,
        )

    def _make_operations(self, store):
        calls = CallTools(
            FakePlainClient(self.process, self.replay.links, self.replay.services),
            self.placement,
            self.process,
            self.move_controller,
        )
        tools = OperationTools(
            calls,
            ClaimWriter(store, self.process, self.board.counters),
            self.board.counters,
            self.name,
        )
        if self.replay.is_naive:
            return NaiveOperationRunner(tools)
        return OperationRunner(tools, store)

    def start(self):
        """Start to follow the store and to check generations for stalls."""
        for follower in self.followers:
            follower.start()
        self._sweep()
        self.move_controller.start()

    def _sweep(self):
        now_s = self.process.seconds()
        for generation in list(self.generations):
            generation.check(now_s)
        self.process.callLater(SWEEP_INTERVAL_S, self._sweep)

    def _note_revision(self, configuration):
        self.revisions.append(configuration.revision)
        self.replay.results.note_revisions(self.revisions)

    @property
    def is_ready(self):
        """Bool : whether a readiness probe of the load balancer succeeds."""
        process = self.process
        is_running = process.is_alive and not process.is_paused
        has_configuration = self.board.configuration.value.revision > 0
        return is_running and has_configuration and not self.board.drain.value.draining

    @property
    def in_flight(self):
        """Int : number of requests without a final answer."""
        return len(self.generations) + self.calls

    @property
    def unsettled(self):
        """Int : number of claims and outcomes that are not written to the store yet."""
        return getattr(self.operations, "unsettled", 0)

    def hand_over(self):
        """End every generation with a cursor for its caller to resume from."""
        for generation in list(self.generations):
            generation.hand_over()

    def terminate(self):
        """Handle SIGTERM; the naive baseline exits without draining."""
        if self.replay.is_naive:
            self._exit()
        else:
            self.drain.shut_down()

    def _exit(self):
        self.replay.results.note_cut(self.in_flight)
        self.process.kill(silent=False)

    def generate(self, request, sink, position, delivered):
        """Start or resume a generation, and return it."""
        factory = NaiveGeneration if self.replay.is_naive else Generation
        generation = factory(request, self.tools, sink, self._generation_ended)
        self.generations.add(generation)
        if position is None:
            generation.start()
        else:
            generation.resume_from_cursor(position, delivered)
        return generation

    def _generation_ended(self, generation):
        self.generations.discard(generation)
        self.replay.results.resume_latency_s += generation.resume_latency_s

    def run_operation(self, request):
        """Run an operation; return a Deferred of its result."""
        self.calls += 1
        return self.operations.run(request).addBoth(self._operation_ended)

    def _operation_ended(self, outcome):
        self.calls -= 1
        return outcome
