"""Each recorded trace: the default policy keeps every promise, naive breaks some."""

import unittest
from pathlib import Path

import msgspec

from sesamearch.replay.runner import replay
from sesamearch.replay.trace import TraceFault, load_trace
from tests.support import generation_arrivals, make_trace

TRACES = Path(__file__).parents[2] / "traces"
RESUME_TARGET_S = 1.0
NAIVE_BREAKS = {
    "bad-version": {"bad_version_share"},
    "good-version": {"bad_version_share"},
    "booking-answers-lost": {"ran_twice"},
    "booking-router-lost": {"ran_twice"},
    "configuration-stale": {"configuration_reverted"},
    "endpoint-leaves": {"leaving_got_work"},
    "engine-killed": {"token_missing_or_repeated", "generations_mixed"},
    "engine-pauses-and-returns": {"token_missing_or_repeated", "generations_mixed"},
    "link-cut": set(),
    "router-lost": {"token_missing_or_repeated", "generations_mixed"},
    "router-stops": {"shutdown_cut"},
    "store-outage": {"false_not_run", "ran_twice"},
}
LONG = {"bad-version", "good-version"}


def broken(report):
    counts = msgspec.to_builtins(report.violations)
    return {name for name, count in counts.items() if count}


class TraceProofTest(unittest.TestCase):
    def test_every_trace_has_its_proof(self):
        names = {path.stem for path in TRACES.glob("*.jsonl")}
        self.assertEqual(names, set(NAIVE_BREAKS))

    def test_default_policy_keeps_every_promise(self):
        for name in NAIVE_BREAKS:
            for seed in range(1 if name in LONG else 3):
                with self.subTest(trace=name, seed=seed):
                    trace = load_trace(TRACES / f"{name}.jsonl").unwrap()
                    report = replay(trace, "default", seed)
                    self.assertEqual(report.violations.total, 0, report.findings)

    def test_naive_policy_breaks_what_the_trace_is_for(self):
        for name, promises in NAIVE_BREAKS.items():
            with self.subTest(trace=name):
                trace = load_trace(TRACES / f"{name}.jsonl").unwrap()
                self.assertLessEqual(promises, broken(replay(trace, "naive")))

    def test_same_arguments_give_the_same_report(self):
        trace = load_trace(TRACES / "router-lost.jsonl").unwrap()
        first, second = replay(trace, seed=5), replay(trace, seed=5)
        self.assertEqual(msgspec.json.encode(first), msgspec.json.encode(second))

    def test_silent_death_resumes_within_the_target(self):
        events = generation_arrivals(9, tokens=200, outcome="whole")
        events.append(TraceFault(4, "vanish", "e1"))
        measures = replay(make_trace(events)).measures
        self.assertGreater(measures.resumes, 0)
        self.assertLess(measures.resume_latency_p95_s, RESUME_TARGET_S)
