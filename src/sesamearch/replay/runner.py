"""Replay of a recorded trace: the production decision code on a virtual clock."""

import collections
import random

import msgspec
from twisted.internet.task import Clock

from sesamearch.configuration.configuration import Configuration
from sesamearch.configuration.follower import (
    CONFIGURATION_KEY,
    VM_PREFIX,
    VmEntry,
)
from sesamearch.replay.caller import CallCaller, GenerationCaller
from sesamearch.replay.fake import FakeEngine, FakeService
from sesamearch.replay.move import MoveChecker
from sesamearch.replay.process import Links, Process
from sesamearch.replay.results import MAX_APPLY_DELAY_S, Report, ResultCollector
from sesamearch.replay.router import ReplayRouter
from sesamearch.replay.store import StoreFaults
from sesamearch.replay.trace import CallArrival, Generate, TraceMove
from sesamearch.rollout.move import MoveRecord, MoveState
from sesamearch.rollout.move_controller import record_key
from sesamearch.store.store import Put

__all__ = ["Replay", "replay"]

# Interval of the load balancer's readiness probes.
HEALTH_INTERVAL_S = 1.0
NAIVE_SHARE_RATIO = 0.5
# Virtual time at which every trace starts.
START_UNIX_S = 1_800_000_000.0


class Replay:
    """One run of a trace.

    Parameters
    ----------
    trace : Trace
    policy : str
        ``default``, or ``naive`` for the baseline.
    seed : int
        Seed of the random choices of callers, placement and faults.
    """

    def __init__(self, trace, policy="default", seed=0):
        self.header = trace.header
        self.events = list(trace.events)
        self.is_naive = policy == "naive"
        self.seed = seed
        self.random = random.Random(seed)
        self._fault_random = random.Random(seed)
        self.clock = Clock()
        self.clock.rightNow = START_UNIX_S
        self.links = Links(self.clock, self.header.link_latency_s)
        self.store = StoreFaults(self.clock)
        self.results = ResultCollector()
        self.engines, self.services = {}, {}
        self.callers = []
        self.moves = []
        self.attempts = collections.defaultdict(set)
        self.routers = {}
        self.ready = []
        self._router_index = 0
        self._published = []
        self._leave_times_s = {}
        self.configuration = Configuration(services=self.header.services)
        self._add_endpoints()
        self._publish()
        for router in self.header.routers:
            self._start_router(router.name, router.data_centre)

    # Setup

    def _add_endpoints(self):
        engine_services = {s.service for s in self.header.services if _is_engine(s)}
        for endpoint in self.header.endpoints:
            process = Process(self.clock, endpoint.name)
            if endpoint.service in engine_services:
                engine = FakeEngine(
                    process,
                    self.links,
                    endpoint.version,
                    endpoint.token_interval_s,
                    endpoint.prefill_s,
                    self.note_attempt,
                    self._make_fails(endpoint),
                )
                self.engines[endpoint.name] = engine
            else:
                service = FakeService(
                    process,
                    endpoint.version,
                    endpoint.work_s,
                    self._make_fails(endpoint),
                )
                self.services[endpoint.name] = service
            self._list_vm(endpoint, "live")

    def _make_fails(self, endpoint):
        def fails():
            is_bad = self.now_s >= START_UNIX_S + endpoint.bad_from_s
            return is_bad and self._fault_random.random() < endpoint.error_ratio

        return fails

    def _list_vm(self, endpoint, state):
        entry = VmEntry(
            endpoint.name,
            endpoint.name,
            endpoint.data_centre,
            endpoint.service,
            endpoint.version,
            state,
        )
        key = VM_PREFIX + endpoint.name.encode()
        self.store.state.txn([], [Put(key, msgspec.json.encode(entry))])

    def _publish(self):
        revision = len(self._published) + 1
        published = msgspec.structs.replace(self.configuration, revision=revision)
        self._published.append(published)
        self.store.state.txn([], [Put(CONFIGURATION_KEY, published.to_json())])
        self.clock.callLater(MAX_APPLY_DELAY_S, self._check_in_force, revision)

    def _check_in_force(self, revision):
        if self.store.is_unavailable:
            return
        for router in self.routers.values():
            if router.is_ready and router.started_s + MAX_APPLY_DELAY_S <= self.now_s:
                in_force = router.board.configuration.value.revision
                self.results.note_in_force(in_force, revision)

    def _start_router(self, name, data_centre):
        router = ReplayRouter(self, name, data_centre)
        router.started_s = self.now_s
        self.routers[name] = router
        router.start()

    # Running

    @property
    def now_s(self):
        """Float : virtual time, as a Unix time."""
        return self.clock.seconds()

    def run(self):
        """Run the trace and return the :class:`~sesamearch.replay.results.Report`."""
        self._check_health()
        self._run_due_events()
        end_s = START_UNIX_S + self.header.duration_s
        while self.now_s < end_s:
            calls = self.clock.getDelayedCalls()
            next_s = calls[0].getTime() if calls else end_s
            self.clock.advance(max(0.0, min(next_s, end_s) - self.now_s))
        return self._make_report()

    def _run_due_events(self):
        """Apply the events that are due, and schedule the next one.

        Events are scheduled one at a time, because the clock sorts all its pending
        calls at each step.
        """
        while self.events:
            wait_s = START_UNIX_S + self.events[0].at_s - self.now_s
            if wait_s > 0:
                self.clock.callLater(wait_s, self._run_due_events)
                return
            self._apply_event(self.events.pop(0))

    def _check_health(self):
        self.ready = [r for r in self.routers.values() if r.is_ready]
        self.clock.callLater(HEALTH_INTERVAL_S, self._check_health)

    def new_caller_process(self, name):
        """Return a new process for a caller."""
        return Process(self.clock, f"caller-{name}")

    def note_attempt(self, version, engine_request):
        """Record the version and seed of an attempt, which determine its tokens."""
        caller = engine_request.request_id.rpartition("-")[0]
        self.attempts[caller].add((version, engine_request.seed))

    @property
    def start_unix_s(self):
        """Float : Unix time at which the trace starts."""
        return START_UNIX_S

    def start_times_of(self, name):
        """Return the Unix times at which an endpoint was given work."""
        return self._back_end(name).start_times_s

    def pick_router(self, excluded=None):
        """Return the next router of the load balancer, if possible not `excluded`."""
        choices = [r for r in self.ready if r is not excluded] or self.ready
        choices = choices or list(self.routers.values())
        self._router_index += 1
        return choices[self._router_index % len(choices)]

    def _apply_event(self, event):
        if isinstance(event, Generate):
            self.callers.append(GenerationCaller(self, event))
            self.callers[-1].start()
        elif isinstance(event, TraceMove):
            self._start_move(event)
        elif isinstance(event, CallArrival):
            self.callers.append(CallCaller(self, event))
            self.callers[-1].start()
        else:
            self.results.note_fault(event.what)
            getattr(self, "_fault_" + event.what.replace("-", "_"))(event)

    def _start_move(self, event):
        record = MoveRecord(
            f"move-{event.service}-{event.new_version}",
            event.service,
            event.old_version,
            event.new_version,
            "trace",
            MoveState.PROPOSED,
            0.0,
            self.now_s,
            self.now_s + event.deadline_in_s,
        )
        if self.is_naive:
            # A plain proxy splits the traffic once and never changes the share.
            record = msgspec.structs.replace(
                record, state=MoveState.WIDENING, share_ratio=NAIVE_SHARE_RATIO
            )
        self.moves.append(MoveChecker(self, event, record))
        self.moves[-1].watch()
        put = Put(record_key(event.service), record.to_json())
        self.store.state.txn([], [put])

    def _back_end(self, name):
        return self.engines.get(name) or self.services.get(name)

    def _process(self, name):
        if name in self.routers:
            return self.routers[name].process
        return self._back_end(name).process

    # Faults

    def _fault_kill(self, event):
        engine = self.engines.get(event.target)
        if engine is not None:
            engine.reset_connections()
        self._process(event.target).kill(silent=False)

    def _fault_vanish(self, event):
        self._process(event.target).kill(silent=True)

    def _fault_pause(self, event):
        self._process(event.target).pause()

    def _fault_return(self, event):
        self._process(event.target).resume()

    def _fault_cut(self, event):
        self.links.cut(event.target, event.other)

    def _fault_heal(self, event):
        self.links.heal(event.target, event.other)

    def _fault_slow(self, event):
        back_end = self._back_end(event.target)
        if event.target in self.engines:
            back_end.token_interval_s *= event.amount
            back_end.prefill_s *= event.amount
        else:
            back_end.work_s *= event.amount

    def _fault_refuse(self, event):
        self._back_end(event.target).is_refusing = True

    def _fault_leave(self, event):
        self._leave_times_s[event.target] = self.now_s
        entry = next(e for e in self.header.endpoints if e.name == event.target)
        self.clock.callLater(self.header.list_lag_s, self._list_vm, entry, "leaving")

    def _fault_stop(self, event):
        router = self.routers[event.target]
        router.process.run(router.terminate)

    def _fault_start(self, event):
        previous = self.routers[event.target]
        previous.process.kill(silent=False)
        self._start_router(event.target, previous.data_centre)

    def _fault_outage(self, event):
        self.store.set_outage(True)

    def _fault_outage_end(self, event):
        self.store.set_outage(False)

    def _fault_lose_answers(self, event):
        component = (
            self.store if event.target == "store" else self._back_end(event.target)
        )
        component.lost_answers += int(event.amount)

    def _fault_publish(self, event):
        self._publish()

    def _fault_stale(self, event):
        router = self.routers[event.target]
        stale = self._published[int(event.amount) - 1]
        if self.is_naive:
            router.process.run(router.board.configuration.write, stale)
        else:
            items = {CONFIGURATION_KEY: stale.to_json()}
            router.process.run(router.followers[0].apply_snapshot, items)

    # Reporting

    def _make_report(self):
        results = self.results
        for checker in [*self.callers, *self.moves]:
            checker.check_outcome(results)
        for name, left_s in self._leave_times_s.items():
            results.note_leaving(left_s, self._back_end(name).start_times_s)
        runs = [key for service in self.services.values() for key in service.runs]
        results.note_runs(runs)
        generated = sum(engine.generated_tokens for engine in self.engines.values())
        prefilled = sum(engine.prefilled_tokens for engine in self.engines.values())
        results.note_work(generated + prefilled)
        return Report.of(self.header.name, len(self.callers), results)


def _is_engine(service):
    return hasattr(service, "model")


def replay(trace, policy="default", seed=0):
    """Replay a trace.

    Parameters
    ----------
    trace : Trace
    policy : str
        ``default``, or ``naive`` for the baseline.
    seed : int

    Returns
    -------
    Report
        Equal for equal arguments.
    """
    return Replay(trace, policy, seed).run()
