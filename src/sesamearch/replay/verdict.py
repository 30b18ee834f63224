"""Judging a replay: violations of each promise, and the measures."""

import collections
import statistics

import msgspec

from sesamearch.rollout.move import MoveState

__all__ = ["IN_FORCE_BOUND_S", "Measures", "Report", "Verdict", "Violations"]

IN_FORCE_BOUND_S = 3.0
LEAVING_BOUND_S = 5.0
_PERCENTILES = (50, 95, 99)


class Violations(msgspec.Struct):
    """Number of violations of each promise of the brief.

    Parameters
    ----------
    token_missing_or_repeated, generations_mixed : int
        Answers with a fault in their token sequence.
    bad_version_share : int
        Bad versions that got too much traffic.
    own_whole_answer : int
        Callers without the outcome that the trace states, or with another's.
    false_not_run, ran_twice : int
        Operations refused as not run that ran, and operations that ran twice.
    leaving_got_work : int
        New work given to an endpoint more than 5 s after it began to leave.
    shutdown_cut : int
        Requests cut by a graceful shutdown.
    configuration_reverted : int
        Older revisions put in force, or newer ones not in force in 3 s.
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
        """Int : all violations."""
        return sum(msgspec.structs.astuple(self))


class Measures(msgspec.Struct):
    """What the brief measures.

    Parameters
    ----------
    resumes : int
        Number of times that output went on after a loss.
    resume_latency_p50_s, resume_latency_p95_s, resume_latency_p99_s : float or None
        From the last token before a loss to the next one.
    extra_work_ratio : float or None
        Tokens generated or prefilled again for each token delivered.
    good_moves_in_time, bad_moves_taken_back : int or None
        None if the trace has no move.
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
        What the trace caused, by kind.
    violations : Violations
    not_exercised : list of str
        Promises that nothing in this trace can break.
    measures : Measures
    findings : list of str
        A line for each violation.
    """

    trace: str
    requests: int
    faults: dict[str, int]
    violations: Violations
    not_exercised: list[str]
    measures: Measures
    findings: list[str]

    @classmethod
    def of(cls, name, requests, verdict):
        """Build the report of a finished replay."""
        return cls(
            name,
            requests,
            dict(verdict.faults),
            verdict.violations,
            [] if verdict.moves else ["bad_version_share"],
            verdict.measures(),
            verdict.findings,
        )


class Verdict:
    """Collects what the parts of a replay observe."""

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

    def violate(self, promise, finding):
        """Count a violation of a promise."""
        count = getattr(self.violations, promise)
        setattr(self.violations, promise, count + 1)
        self.findings.append(f"{promise}: {finding}")

    def note_fault(self, what):
        """Count a fault that was caused."""
        self.faults[what] += 1

    def note_revisions(self, revisions):
        """Look at the last two revisions that a router put in force."""
        if len(revisions) > 1 and revisions[-1] < revisions[-2]:
            self.violate("configuration_reverted", f"{revisions[-2:]}")

    def note_in_force(self, in_force, wanted):
        """Look at what a router has in force after the bound."""
        if in_force < wanted:
            self.violate("configuration_reverted", f"{in_force}, not {wanted}")

    def note_cut(self, in_flight):
        """Count requests that were cut when a router ended."""
        for _ in range(in_flight):
            self.violate("shutdown_cut", "a request was running")

    def note_leaving(self, left_s, starts_s):
        """Look at when a leaving endpoint was given work."""
        for start_s in starts_s:
            if start_s > left_s + LEAVING_BOUND_S:
                late_s = start_s - left_s
                self.violate("leaving_got_work", f"{late_s:.1f} s after it left")

    def note_answer(self, key, ran_word):
        """Note what a caller was told of an operation."""
        self.answered_keys[key].add(ran_word)

    def note_runs(self, keys):
        """Look at the keys that ran, with repetitions."""
        counts = collections.Counter(keys)
        for key, count in counts.items():
            if count > 1:
                self.violate("ran_twice", f"{key} ran {count} times")
            if self.answered_keys.get(key) == {"not_run"}:
                self.violate("false_not_run", f"{key} ran")

    def note_move(self, is_bad, state, is_in_time):
        """Note how a move ended."""
        self.moves += 1
        self.bad_taken_back += is_bad and state is MoveState.TAKEN_BACK
        self.good_in_time += not is_bad and is_in_time

    def note_work(self, tokens):
        """Note the tokens that engines generated or prefilled again."""
        self._work_tokens = tokens

    def measures(self):
        """Return the :class:`Measures`."""
        measures = Measures(resumes=len(self.resume_latency_s))
        if self.resume_latency_s:
            for percent in _PERCENTILES:
                value = _percentile(self.resume_latency_s, percent)
                setattr(measures, f"resume_latency_p{percent}_s", round(value, 4))
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
