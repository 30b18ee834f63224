"""Execute one run and print its report: ``python -m soak.run --seed N``."""

import argparse
import random
import sys
import tempfile
from pathlib import Path

from sesamearch.base.reactor import install_steady_reactor

# Must precede all imports of ``twisted.internet.reactor``. Times from all processes
# of a run are compared, so each uses the time since the boot.
reactor = install_steady_reactor()

import msgspec  # noqa: E402
from twisted.internet.defer import Deferred  # noqa: E402
from twisted.internet.task import LoopingCall, deferLater  # noqa: E402

from soak.caller import RequestKind  # noqa: E402
from soak.crowd import Crowd  # noqa: E402
from soak.deployment import Deployment  # noqa: E402
from soak.injector import Injector  # noqa: E402
from soak.plan import EVENTS_PER_GENERATION, DeploymentSize, generate_plan  # noqa: E402
from soak.promise import Bounds, Disturbance, History, Violation, find_violations  # noqa: E402
from soak.report import make_report  # noqa: E402
from soak.traffic import PROBE_INTERVAL_S, Traffic  # noqa: E402

START_TIMEOUT_S = 40.0
RECOVERY_TIMEOUT_S = 12.0
RECOVERY_INTERVAL_S = 0.5
# All callers and proxies share one process, so routers are checked in batches.
RECOVERY_BATCH = 20
LAST_RESPONSES_TIMEOUT_S = 14.0
# While the soak process itself lags, routers are not held to time bounds.
LAG_CHECK_INTERVAL_S = 0.1
LAG_THRESHOLD_S = 0.1
REQUEST_RATES_PER_S = {
    RequestKind.POST: 15.0,
    RequestKind.LOOK: 10.0,
    RequestKind.DRAFT: 3.0,
}


class SoakRun:
    """One run of a fault plan.

    Parameters
    ----------
    plan : soak.plan.FaultPlan
    folder : pathlib.Path
    """

    def __init__(self, plan, folder):
        self._plan = plan
        self.history = History(EVENTS_PER_GENERATION)
        self.deployment = Deployment(reactor, plan.size, folder, self.history)
        rng = random.Random(plan.seed)
        self._traffic = Traffic(reactor, self.deployment, rng, REQUEST_RATES_PER_S)
        self._injector = Injector(reactor, self.deployment)
        self._crowd = Crowd(reactor)
        self._probing = LoopingCall(self._traffic.probe)
        self._lag_check = LoopingCall(self._check_own_lag)
        self._lag_due_s = reactor.seconds()
        self.own_lags = 0
        self._run_violations = []

    async def execute(self):
        """Execute the plan and check the promises.

        Returns
        -------
        Report
        """
        try:
            if await self._start():
                await self._inject_faults()
                await self._recover()
                await self._finish()
            else:
                self._run_violations.append(
                    Violation("start", "", "not all routers became ready")
                )
        finally:
            self._end()
        self._write_attempts()
        violations = find_violations(self.history, Bounds()) + self._run_violations
        violations += [
            Violation("own end", "", text) for text in self.deployment.unexpected_exits
        ]
        return make_report(self._plan, self.history, violations, self.own_lags)

    def _write_attempts(self):
        lines = [attempt.to_line() for attempt in self.history.attempts.values()]
        path = self.deployment.folder / "attempts.log"
        path.write_text("\n".join(lines) + "\n")

    async def _start(self):
        await self.deployment.begin()
        self._probing.start(PROBE_INTERVAL_S)
        self._lag_check.start(LAG_CHECK_INTERVAL_S)
        routers = self._plan.size.routers
        until_s = reactor.seconds() + START_TIMEOUT_S
        while self._traffic.ready_count < routers and reactor.seconds() < until_s:
            await deferLater(reactor, PROBE_INTERVAL_S)
        return self._traffic.ready_count == routers

    async def _inject_faults(self):
        self._traffic.start()
        if self._plan.fatal_from_s is not None:
            reactor.callLater(
                self._plan.fatal_from_s,
                setattr,
                self._traffic,
                "has_fatal_prompts",
                True,
            )
        if self._plan.fatal_requests_from_s is not None:
            reactor.callLater(
                self._plan.fatal_requests_from_s,
                setattr,
                self._traffic,
                "has_fatal_requests",
                True,
            )
        if self._plan.odd_entries_from_s is not None:
            reactor.callLater(
                self._plan.odd_entries_from_s, self.deployment.write_odd_entries
            )
        if self._plan.endless_from_s is not None:
            reactor.callLater(
                self._plan.endless_from_s, self.deployment.begin_endless_answers
            )
        if self._plan.crowd_from_s is not None:
            reactor.callLater(
                self._plan.crowd_from_s, self._crowd.begin, self.deployment.routers
            )
        limits = self._plan.limits
        if limits is not None:
            reactor.callLater(limits.from_s, self.deployment.name_limits, limits)
        for fault in self._plan.faults:
            reactor.callLater(fault.at_s, self._injector.inject, fault)
        last_fault_end_s = max(
            (fault.at_s + fault.for_s for fault in self._plan.faults), default=0.0
        )
        await deferLater(reactor, max(self._plan.faults_s, last_fault_end_s))
        self.deployment.end_limits()
        self.deployment.end_endless_answers()
        self._crowd.end()

    async def _recover(self):
        """Wait until each router serves again, for at most ``RECOVERY_TIMEOUT_S``."""
        until_s = reactor.seconds() + RECOVERY_TIMEOUT_S
        waiting = list(self.deployment.routers)
        while waiting and reactor.seconds() < until_s:
            batch, rest = waiting[:RECOVERY_BATCH], waiting[RECOVERY_BATCH:]
            waiting = rest + await self._find_not_serving(batch)
        if waiting:
            detail = f"{len(waiting)} of {self._plan.size.routers} routers do not serve"
            self._run_violations.append(Violation("recovery", "", detail))

    async def _find_not_serving(self, routers):
        """Send requests to routers; return the routers that failed one of them."""
        attempts = [
            self._traffic.send_request(kind, router)
            for router in routers
            for kind in (RequestKind.POST, RequestKind.LOOK)
        ]
        await deferLater(reactor, RECOVERY_INTERVAL_S)
        self.history.checks["recovery"] += 1
        failed = {
            each.router for each in attempts if not each.is_whole or each.status != 200
        }
        return [router for router in routers if router.number in failed]

    def _check_own_lag(self):
        now_s = reactor.seconds()
        due_s, self._lag_due_s = self._lag_due_s, now_s + LAG_CHECK_INTERVAL_S
        if now_s - due_s > LAG_THRESHOLD_S:
            self.own_lags += 1
            self.history.disturbances.append(Disturbance(due_s, now_s))

    async def _finish(self):
        self._traffic.stop()
        until_s = reactor.seconds() + LAST_RESPONSES_TIMEOUT_S
        while self._traffic.in_flight and reactor.seconds() < until_s:
            await deferLater(reactor, RECOVERY_INTERVAL_S)

    def _end(self):
        for loop in (self._probing, self._lag_check):
            if loop.running:
                loop.stop()
        self.deployment.end()


def _parse_arguments(arguments):
    parser = argparse.ArgumentParser(prog="python -m soak.run", description=__doc__)
    parser.add_argument("--seed", type=int, required=True)
    parser.add_argument(
        "--seconds", type=float, default=10.0, help="how long faults are injected"
    )
    parser.add_argument("--routers", type=int, default=DeploymentSize().routers)
    parser.add_argument("--services", type=int, default=DeploymentSize().services)
    parser.add_argument("--engines", type=int, default=DeploymentSize().engines)
    parser.add_argument(
        "--folder", help="directory for settings and logs; temporary by default"
    )
    return parser.parse_args(arguments)


def main(arguments):
    """Run one seed and print its report as JSON."""
    options = _parse_arguments(arguments)
    size = DeploymentSize(options.routers, options.services, options.engines)
    plan = generate_plan(options.seed, size, options.seconds)
    folder = Path(options.folder or tempfile.mkdtemp(prefix="soak-"))
    folder.mkdir(parents=True, exist_ok=True)
    (folder / "plan.json").write_bytes(msgspec.json.format(msgspec.json.encode(plan)))
    reports = []
    run = SoakRun(plan, folder)

    def finished(report):
        reports.append(report)
        reactor.stop()

    def failed(failure):
        failure.printTraceback(sys.stderr)
        reactor.stop()

    reactor.callWhenRunning(
        lambda: Deferred.fromCoroutine(run.execute()).addCallbacks(finished, failed)
    )
    reactor.run()
    if not reports:
        return 2
    sys.stdout.buffer.write(msgspec.json.encode(reports[0]) + b"\n")
    return 1 if reports[0].violations else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
