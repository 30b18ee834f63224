"""Results of a replay: violations of each guarantee, and measurements."""

import collections
import statistics

import msgspec

from sesamearch.rollout.move import MoveState

__all__ = ["MAX_APPLY_DELAY_S", "Measures", "Report", "ResultCollector", "Violations"]

# Time in which a ready router has to apply a published configuration.
MAX_APPLY_DELAY_S = 3.0
# Time after an endpoint began to leave in which it may still get work.
LEAVING_GRACE_S = 5.0
_PERCENTILES = (50, 95, 99)


class Violations(msgspec.Struct):
    """Number of violations of each guarantee.

    Parameters
    ----------
    token_missing_or_repeated, generations_mixed : int
        Answers with a wrong token sequence: with tokens missing or repeated, or with
        tokens of several attempts.
    bad_version_share : int
        Times that a bad version got too much traffic, or that a move did not end as
        the trace expects.
    own_whole_answer : int
        Callers without the outcome that the trace expects, or with the response of
        another call.
    false_not_run, ran_twice : int
        Operations that were reported as not run although they ran, and operations
        that ran more than once.
    leaving_got_work : int
        Times that an endpoint got new work more than 5 s after it began to leave.
    shutdown_cut : int
        Requests cut by a graceful shutdown.
    configuration_reverted : int
        Times that a router applied an older revision, or had not applied a new one
        after 3 s.
    """

    token_missing_or_repeated: int = 0
    generations_mixed: int = 0
    bad_version_share: int = 0
    own_whole_answer: int = 0
    false_not_run: int = 0
    ran_twice: int = 0
    leaving_got_work: int = 0
    shutdown_cut: int = 0
    configuration_reverted: int = 0

    @property
    def total(self):
        """Int : number of all violations."""
        return sum(msgspec.structs.astuple(self))


class Measures(msgspec.Struct):
    """Measurements of a replay.

    Parameters
    ----------
    resumes : int
        Number of times that a stream resumed after a failure.
    resume_latency_p50_s, resume_latency_p95_s, resume_latency_p99_s : float or None
        Percentiles of the time from the last token before a failure to the next one.
    extra_work_ratio : float or None
        Extra tokens, generated or prefilled again, for each delivered token.
    good_moves_in_time, bad_moves_taken_back : int or None
        Number of moves to a good version that finished before their deadline, and of
        moves to a bad version that were taken back. None if the trace has no move.
    """

    resumes: int = 0
    resume_latency_p50_s: float | None = None
    resume_latency_p95_s: float | None = None
    resume_latency_p99_s: float | None = None
    extra_work_ratio: float | None = None
    good_moves_in_time: int | None = None
    bad_moves_taken_back: int | None = None


class Report(msgspec.Struct):
    """Outcome of a replay.

    Parameters
    ----------
    trace : str
    requests : int
    faults : dict from str to int
        Number of injected faults by kind.
    violations : Violations
    not_exercised : list of str
        Guarantees that this trace cannot violate.
    measures : Measures
    findings : list of str
        One line for each violation.
    """

    trace: str
    requests: int
    faults: dict[str, int]
    violations: Violations
    not_exercised: list[str]
    measures: Measures
    findings: list[str]

    @classmethod
    def of(cls, name, requests, results):
        """Build the report of a finished replay."""
        return cls(
            name,
            requests,
            dict(results.faults),
            results.violations,
            [] if results.moves else ["bad_version_share"],
            results.measures(),
            results.findings,
        )


class ResultCollector:
    """Collects the observations of a replay, and checks them."""

    def __init__(self):
        self.violations = Violations()
        self.findings = []
        self.faults = collections.Counter()
        self.resume_latency_s = []
        self.delivered_tokens = 0
        self.not_run_keys = set()
        self.answered_keys = collections.defaultdict(set)
        self._work_tokens = 0
        self.moves = self.bad_taken_back = self.good_in_time = 0

    def add_violation(self, guarantee, finding):
        """Count a violation of a guarantee, and add a finding."""
        count = getattr(self.violations, guarantee)
        setattr(self.violations, guarantee, count + 1)
        self.findings.append(f"{guarantee}: {finding}")

    def note_fault(self, kind):
        """Count an injected fault."""
        self.faults[kind] += 1

    def note_revisions(self, revisions):
        """Check that a router's last revision is not older than the one before."""
        if len(revisions) > 1 and revisions[-1] < revisions[-2]:
            self.add_violation("configuration_reverted", f"revisions {revisions[-2:]}")

    def note_in_force(self, in_force, expected):
        """Check the revision in force ``MAX_APPLY_DELAY_S`` after a publication."""
        if in_force < expected:
            self.add_violation(
                "configuration_reverted",
                f"revision {in_force} in force, not {expected}",
            )

    def note_cut(self, in_flight):
        """Count the requests that were in flight when a router exited."""
        for _ in range(in_flight):
            self.add_violation("shutdown_cut", "request in flight at exit")

    def note_leaving(self, leave_s, start_times_s):
        """Check that a leaving endpoint got no work after ``LEAVING_GRACE_S``."""
        for start_s in start_times_s:
            if start_s > leave_s + LEAVING_GRACE_S:
                delay_s = start_s - leave_s
                self.add_violation(
                    "leaving_got_work", f"work {delay_s:.1f} s after the endpoint left"
                )

    def note_answer(self, key, ran):
        """Record what a caller was told about whether an operation ran."""
        self.answered_keys[key].add(ran)

    def note_runs(self, keys):
        """Check the keys of all operations that ran, one list item for each run."""
        counts = collections.Counter(keys)
        for key, count in counts.items():
            if count > 1:
                self.add_violation("ran_twice", f"{key} ran {count} times")
            if self.answered_keys.get(key) == {"not_run"}:
                self.add_violation(
                    "false_not_run", f"{key} was reported as not run, but ran"
                )

    def note_move(self, is_bad, state, is_in_time):
        """Count how a move ended."""
        self.moves += 1
        self.bad_taken_back += is_bad and state is MoveState.TAKEN_BACK
        self.good_in_time += not is_bad and is_in_time

    def note_work(self, tokens):
        """Set the number of tokens that engines generated, or prefilled again."""
        self._work_tokens = tokens

    def measures(self):
        """Return the :class:`Measures`."""
        measures = Measures(resumes=len(self.resume_latency_s))
        if self.resume_latency_s:
            for percent in _PERCENTILES:
                percentile = _percentile(self.resume_latency_s, percent)
                setattr(measures, f"resume_latency_p{percent}_s", round(percentile, 4))
        if self.moves:
            measures.good_moves_in_time = self.good_in_time
            measures.bad_moves_taken_back = self.bad_taken_back
        if self.delivered_tokens:
            extra = self._work_tokens - self.delivered_tokens
            measures.extra_work_ratio = round(extra / self.delivered_tokens, 4)
        return measures


def _percentile(values, percent):
    if len(values) == 1:
        return values[0]
    return statistics.quantiles(values, n=100, method="inclusive")[percent - 1]
