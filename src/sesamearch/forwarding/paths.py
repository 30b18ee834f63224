"""Paths of this router to the endpoints of each service: whether it has any."""

from typing import Protocol

from automat import TypeMachineBuilder

from sesamearch.base.log import logger
from sesamearch.base.record import ServicePathChanged

__all__ = ["PathTracker"]

# A service is probed after so many of its endpoints failed with none of them connected
# to in between, or after the first one if nothing was heard of the service for a time.
MIN_FAILED = 2
MAX_UNHEARD_S = 0.3
EVIDENCE_TIMEOUT_S = 3.0
# Endpoints that fail now and then are no reason to probe all the time.
SUSPICION_INTERVAL_S = 1.0
PROBES = 3
PROBE_TIMEOUT_S = 0.15
# Where connections are refused, the endpoints may have ended: so many more are probed
# at a time, and so many in all.
MORE_PROBES = 6
MAX_PROBES = 15
# By this time the other routers have reported if they do not reach the service either.
SETTLE_S = 1.0
PROBE_INTERVAL_S = 0.5
# While no router reaches the service, one request at a time finds out whether this one
# does again.
TRIAL_INTERVAL_S = 0.25
# A path that was lost again so soon must answer one probe more before it is used.
FLAP_WINDOW_S = 10.0
MAX_ANSWERS_TO_OPEN = 4


class _Inputs(Protocol):
    def failed(self) -> None:
        """Handle endpoints that cannot be reached."""

    def confirmed(self) -> None:
        """Handle probes without an answer."""

    def answered(self) -> None:
        """Handle an answer on a new connection."""


class _Core(Protocol):
    def begin_probing(self) -> None:
        """Begin to probe."""

    def close(self) -> None:
        """Note that no endpoint can be reached."""

    def open(self) -> None:
        """Note that endpoints can be reached."""


def _build_machine():
    builder = TypeMachineBuilder(_Inputs, _Core)
    is_open = builder.state("open")
    suspected = builder.state("suspected")
    cut = builder.state("cut")
    is_open.upon(_Inputs.answered).loop().returns(None)
    is_open.upon(_Inputs.confirmed).loop().returns(None)
    suspected.upon(_Inputs.failed).loop().returns(None)
    cut.upon(_Inputs.failed).loop().returns(None)
    cut.upon(_Inputs.confirmed).loop().returns(None)

    @is_open.upon(_Inputs.failed).to(suspected)
    def begin_probing(inputs, core):
        core.begin_probing()

    @suspected.upon(_Inputs.confirmed).to(cut)
    def close(inputs, core):
        core.close()

    for state in (suspected, cut):

        @state.upon(_Inputs.answered).to(is_open)
        def open_again(inputs, core):
            core.open()

    return builder.build()


_machine = _build_machine()


class _ServicePath:
    """The path to the endpoints of one service.

    ::

        open --failed--> suspected --confirmed--> cut
        suspected, cut --answered--> open
    """

    def __init__(self, tracker, service):
        self._tracker = tracker
        self.service = service
        self.machine = _machine(self)
        self.state = "open"
        self.failed_s = {}
        self.heard_s = float("-inf")
        self.next_probe_s = float("inf")
        self.next_trial_s = float("-inf")
        self.next_suspicion_s = float("-inf")
        self.unsettled = []
        self._cut_s = float("-inf")
        self._answers_to_open = 1
        self._answers = 0

    def begin_probing(self):
        """Begin to probe, before requests are sent by way of another router."""
        self.state = "suspected"
        self._tracker.probe(self)

    def close(self):
        """Note that no endpoint can be reached."""
        self.state = "cut"
        now_s = self._tracker.now_s
        has_flapped = now_s - self._cut_s < FLAP_WINDOW_S
        more = self._answers_to_open + 1 if has_flapped else 1
        self._answers_to_open = min(more, MAX_ANSWERS_TO_OPEN)
        self._answers = 0
        self._cut_s = now_s
        self.next_probe_s = now_s + PROBE_INTERVAL_S
        self._tracker.settle_later(self)
        self._tracker.changed(self)

    def open(self):
        """Note that endpoints can be reached, and report what was held back."""
        was_cut = self.state == "cut"
        self.state = "open"
        self.next_suspicion_s = self._tracker.now_s + SUSPICION_INTERVAL_S
        self.failed_s.clear()
        self.next_probe_s = float("inf")
        if was_cut:
            self._cut_s = self._tracker.now_s
            self._tracker.changed(self)
        self.report_unsettled()

    def report_unsettled(self):
        """Report what was held back until the path was known."""
        unsettled, self.unsettled = self.unsettled, []
        for action in unsettled:
            action()

    def note_answer(self):
        """Record an answer on a new connection."""
        if self.state == "cut":
            self._answers += 1
            if self._answers < self._answers_to_open:
                return
        self.failed_s.clear()
        self.machine.answered()

    def note_no_answer(self):
        """Record that a round of probes was not answered."""
        self._answers = 0
        self.machine.confirmed()


class PathTracker:
    """Finds services that this router has no path to, and when it has one again.

    Only an answer on a new connection shows a path: while a path is being lost, old
    connections may live on although no new one can be made. Whether the endpoints or
    this router are the cause is for its peers to say: they serve its requests if they
    reach the service.

    Parameters
    ----------
    probe : callable
        Called with an endpoint and a timeout; returns a Deferred of whether it answers
        on a new connection, None if it was not asked.
    clock : twisted.internet.interfaces.IReactorTime
    serving : callable
        Returns the endpoints of a service.
    rng : random.Random

    Attributes
    ----------
    on_change : callable
        Called with the name of a service that became cut off or reachable.
    is_reached_elsewhere : callable
        Returns whether another router may reach a service.
    """

    __slots__ = (
        "_clock",
        "_paths",
        "_probe_endpoint",
        "_random",
        "_serving",
        "is_reached_elsewhere",
        "on_change",
    )

    def __init__(self, probe, clock, serving, rng):
        self._probe_endpoint = probe
        self._clock = clock
        self._serving = serving
        self._random = rng
        self._paths = {}
        self.on_change = lambda service: None
        self.is_reached_elsewhere = lambda service: False

    @property
    def now_s(self):
        """Float : current time on this process's clock."""
        return self._clock.seconds()

    def _path(self, service):
        path = self._paths.get(service)
        if path is None:
            path = self._paths[service] = _ServicePath(self, service)
        return path

    # What requests met.

    def note_heard(self, endpoint):
        """Record that bytes of an endpoint arrived, on whatever connection."""
        self._path(endpoint.service).heard_s = self.now_s

    def note_connected(self, endpoint):
        """Record an answer of an endpoint on a new connection."""
        path = self._paths.get(endpoint.service)
        if path is not None and (path.failed_s or path.state != "open"):
            path.note_answer()

    def note_failed(self, endpoint):
        """Record an endpoint that can't be connected to, fell silent or broke off."""
        path, now_s = self._path(endpoint.service), self.now_s
        path.failed_s[endpoint.name] = now_s
        if path.state != "open":
            return
        oldest_s = now_s - EVIDENCE_TIMEOUT_S
        recent = sum(at_s >= oldest_s for at_s in path.failed_s.values())
        is_due = recent >= MIN_FAILED and now_s >= path.next_suspicion_s
        if is_due or now_s - path.heard_s >= MAX_UNHEARD_S:
            path.machine.failed()

    def note_silent(self, endpoint):
        """Record an endpoint that takes long to answer.

        It is a slow one, unless nothing is heard of the others either.
        """
        if self.now_s - self._path(endpoint.service).heard_s >= MAX_UNHEARD_S:
            self.note_failed(endpoint)

    def settle(self, service, action):
        """Call `action` unless this router turns out to have lost the path meanwhile.

        What a router sees of endpoints that it has lost the path to says nothing of
        them. But if no router reaches them, they are the cause.
        """
        path = self._paths.get(service)
        if path is None or path.state == "open":
            action()
        else:
            path.unsettled.append(action)

    def settle_later(self, path):
        """Drop or report what was held back, once the other routers have reported."""
        self._clock.callLater(SETTLE_S, self._settle_cut, path)

    def _settle_cut(self, path):
        if path.state != "cut":
            return
        if self.is_reached_elsewhere(path.service):
            path.unsettled.clear()
        else:
            path.report_unsettled()
        self.settle_later(path)

    # What follows from it.

    def is_cut(self, service):
        """Return whether this router reaches no endpoint of a service."""
        path = self._paths.get(service)
        return path is not None and path.state == "cut"

    def is_open(self, service):
        """Return whether nothing speaks against the path to a service."""
        path = self._paths.get(service)
        return path is None or path.state == "open"

    @property
    def cut_services(self):
        """List of str : names of the services that this router has no path to."""
        return sorted(p.service for p in self._paths.values() if p.state == "cut")

    def is_in_vain(self, service):
        """Return whether a request to a service would reach no endpoint from here.

        All of them failed lately. One request in a while is to find out whether they
        still do.
        """
        path, now_s = self._paths.get(service), self.now_s
        if path is None or path.state != "cut" or not self._have_all_failed(path):
            return False
        if now_s < path.next_trial_s:
            return True
        path.next_trial_s = now_s + TRIAL_INTERVAL_S
        return False

    def _have_all_failed(self, path):
        oldest_s = self.now_s - EVIDENCE_TIMEOUT_S
        return all(
            path.failed_s.get(each.name, float("-inf")) >= oldest_s
            for each in self._serving(path.service)
        )

    # Probes.

    def note_reached_elsewhere(self, service):
        """Probe a service at once that another router reaches again."""
        path = self._paths.get(service)
        if path is not None and path.state == "cut":
            path.next_probe_s = self.now_s
            self.check()

    def check(self):
        """Probe the services that are due; called at intervals."""
        for path in self._paths.values():
            is_due = self.now_s >= path.next_probe_s
            if path.state == "suspected" and is_due:
                self.probe(path)
            elif path.state == "cut" and is_due:
                if self.is_reached_elsewhere(path.service):
                    self.probe(path)

    def probe(self, path):
        """Probe some endpoints of a service, those that did not fail first."""
        path.next_probe_s = self.now_s + PROBE_INTERVAL_S
        endpoints = self._probe_order(path)
        self._probe_some(path, endpoints[:PROBES], endpoints[PROBES:MAX_PROBES])

    def _probe_some(self, path, endpoints, rest):
        """Probe endpoints, and some of the `rest` if connections are refused."""
        if not endpoints:
            path.note_no_answer()
            return
        sent_s = self.now_s
        results = []

        def collect(is_alive):
            results.append(is_alive)
            if is_alive:
                path.note_answer()
            elif len(results) == len(endpoints) and not any(results):
                was_refused = self.now_s - sent_s < PROBE_TIMEOUT_S
                if False not in results:
                    # None could be asked, so nothing is known.
                    return
                if was_refused and rest:
                    more, later = rest[:MORE_PROBES], rest[MORE_PROBES:]
                    self._probe_some(path, more, later)
                else:
                    path.note_no_answer()

        for endpoint in endpoints:
            self._probe_endpoint(endpoint, PROBE_TIMEOUT_S).addCallback(collect)

    def _probe_order(self, path):
        """Return the endpoints of a service in the order in which they are probed.

        The first ones are sound, and of as many data centres as there are, since those
        of one data centre may have ended together.
        """
        endpoints = list(self._serving(path.service))
        self._random.shuffle(endpoints)
        endpoints.sort(key=lambda each: each.name in path.failed_s)
        first, rest, seen = [], [], set()
        for endpoint in endpoints:
            is_new = endpoint.data_centre not in seen
            seen.add(endpoint.data_centre)
            (first if is_new else rest).append(endpoint)
        return [*first, *rest]

    def changed(self, path):
        """Log a change of a path and pass it on."""
        logger.info(ServicePathChanged(path.service, path.state, len(path.failed_s)))
        self.on_change(path.service)
