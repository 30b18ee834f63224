"""Replay of a recorded trace: the real decision code on a virtual clock."""

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
from sesamearch.replay.move import MoveJudge
from sesamearch.replay.process import Links, Process
from sesamearch.replay.router import ReplayRouter
from sesamearch.replay.store import StoreFaults
from sesamearch.replay.trace import CallArrival, Generate, TraceMove
from sesamearch.replay.verdict import IN_FORCE_BOUND_S, Report, Verdict
from sesamearch.rollout.move import MoveRecord, MoveState
from sesamearch.rollout.move_controller import record_key
from sesamearch.store.store import Put

__all__ = ["Replay", "replay"]

HEALTH_INTERVAL_S = 1.0
NAIVE_SHARE_RATIO = 0.5
START_UNIX_S = 1_800_000_000.0


class Replay:
    """One run of a trace.

    Parameters
    ----------
    trace : Trace
    policy : str
        ``default`` or ``naive``.
    seed : int
        Seeds the callers' choices.
    """

    def __init__(self, trace, policy="default", seed=0):
        self.header = trace.header
        self.events = list(trace.events)
        self.is_naive = policy == "naive"
        self.seed = seed
        self.random = random.Random(seed)
        self._faults = random.Random(seed)
        self.clock = Clock()
        self.clock.rightNow = START_UNIX_S
        self.links = Links(self.clock, self.header.link_latency_s)
        self.store = StoreFaults(self.clock)
        self.verdict = Verdict()
        self.engines, self.services = {}, {}
        self.callers = []
        self.moves = []
        self.attempts = collections.defaultdict(set)
        self.routers = {}
        self.ready = []
        self._turn = 0
        self._published = []
        self._left_s = {}
        self.configuration = Configuration(services=self.header.services)
        self._add_endpoints()
        self._publish()
        for router in self.header.routers:
            self._start_router(router.name, router.data_centre)

    # Setting up

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
            return is_bad and self._faults.random() < endpoint.error_ratio

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
        self.clock.callLater(IN_FORCE_BOUND_S, self._check_in_force, revision)

    def _check_in_force(self, revision):
        if self.store.is_unavailable:
            return
        for router in self.routers.values():
            if router.is_ready and router.started_s + IN_FORCE_BOUND_S <= self.now_s:
                in_force = router.board.configuration.value.revision
                self.verdict.note_in_force(in_force, revision)

    def _start_router(self, name, data_centre):
        router = ReplayRouter(self, name, data_centre)
        router.started_s = self.now_s
        self.routers[name] = router
        router.start()

    # Running

    @property
    def now_s(self):
        """Float : virtual time, a Unix time."""
        return self.clock.seconds()

    def run(self):
        """Run to the end and return the :class:`~sesamearch.replay.verdict.Report`."""
        self._check_health()
        self._take_due()
        end_s = START_UNIX_S + self.header.duration_s
        while self.now_s < end_s:
            calls = self.clock.getDelayedCalls()
            next_s = calls[0].getTime() if calls else end_s
            self.clock.advance(max(0.0, min(next_s, end_s) - self.now_s))
        return self._report()

    def _take_due(self):
        """Take the events that are due, and come back for the next.

        The clock sorts all its calls at each step, so they are not given to it
        all at once.
        """
        while self.events:
            wait_s = START_UNIX_S + self.events[0].at_s - self.now_s
            if wait_s > 0:
                self.clock.callLater(wait_s, self._take_due)
                return
            self._take(self.events.pop(0))

    def _check_health(self):
        self.ready = [r for r in self.routers.values() if r.is_ready]
        self.clock.callLater(HEALTH_INTERVAL_S, self._check_health)

    def new_caller_process(self, name):
        """Return the process of a caller."""
        return Process(self.clock, f"caller-{name}")

    def note_attempt(self, version, engine_request):
        """Note which answers an engine may have given to a request."""
        caller = engine_request.request_id.rpartition("-")[0]
        self.attempts[caller].add((version, engine_request.seed))

    @property
    def begun_s(self):
        """Float : Unix time of the trace's beginning."""
        return START_UNIX_S

    def starts_of(self, name):
        """Return when an endpoint was given work, a list of Unix times."""
        return self._back_end(name).starts_s

    def pick_router(self, excluded=None):
        """Return the balancer's next router, another than `excluded` if it can."""
        choices = [r for r in self.ready if r is not excluded] or self.ready
        choices = choices or list(self.routers.values())
        self._turn += 1
        return choices[self._turn % len(choices)]

    def _take(self, event):
        if isinstance(event, Generate):
            self.callers.append(GenerationCaller(self, event))
            self.callers[-1].start()
        elif isinstance(event, TraceMove):
            self._start_move(event)
        elif isinstance(event, CallArrival):
            self.callers.append(CallCaller(self, event))
            self.callers[-1].start()
        else:
            self.verdict.note_fault(event.what)
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
            # A plain proxy is told to split the traffic and leaves it at that.
            record = msgspec.structs.replace(
                record, state=MoveState.WIDENING, share_ratio=NAIVE_SHARE_RATIO
            )
        self.moves.append(MoveJudge(self, event, record))
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
        self._left_s[event.target] = self.now_s
        entry = next(e for e in self.header.endpoints if e.name == event.target)
        self.clock.callLater(self.header.list_lag_s, self._list_vm, entry, "leaving")

    def _fault_stop(self, event):
        router = self.routers[event.target]
        router.process.run(router.ask_to_stop)

    def _fault_start(self, event):
        old = self.routers[event.target]
        old.process.kill(silent=False)
        self._start_router(event.target, old.data_centre)

    def _fault_outage(self, event):
        self.store.set_outage(True)

    def _fault_outage_end(self, event):
        self.store.set_outage(False)

    def _fault_lose_answers(self, event):
        holder = self.store if event.target == "store" else self._back_end(event.target)
        holder.lost_answers += int(event.amount)

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

    def _report(self):
        verdict = self.verdict
        for judge in [*self.callers, *self.moves]:
            judge.judge(verdict)
        for name, left_s in self._left_s.items():
            verdict.note_leaving(left_s, self._back_end(name).starts_s)
        runs = [key for service in self.services.values() for key in service.runs]
        verdict.note_runs(runs)
        generated = sum(engine.generated_tokens for engine in self.engines.values())
        prefilled = sum(engine.prefilled_tokens for engine in self.engines.values())
        verdict.note_work(generated + prefilled)
        return Report.of(self.header.name, len(self.callers), verdict)


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
        The same for the same arguments.
    """
    return Replay(trace, policy, seed).run()
