"""Replays each trace: no violations by default, expected ones with naive."""

import unittest
from pathlib import Path

import msgspec

from sesamearch.replay.runner import replay
from sesamearch.replay.trace import TraceFault, load_trace
from tests.support import generation_arrivals, make_trace

TRACES = Path(__file__).parents[2] / "traces"
RESUME_TARGET_S = 1.0
NAIVE_VIOLATIONS = {
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
LONG_TRACES = {"bad-version", "good-version"}


def violated(report):
    counts = msgspec.to_builtins(report.violations)
    return {name for name, count in counts.items() if count}


class RecordedTraceTest(unittest.TestCase):
    def test_every_trace_has_expected_violations(self):
        names = {path.stem for path in TRACES.glob("*.jsonl")}
        self.assertEqual(names, set(NAIVE_VIOLATIONS))

    def test_default_policy_has_no_violations(self):
        for name in NAIVE_VIOLATIONS:
            for seed in range(1 if name in LONG_TRACES else 3):
                with self.subTest(trace=name, seed=seed):
                    trace = load_trace(TRACES / f"{name}.jsonl").unwrap()
                    report = replay(trace, "default", seed)
                    self.assertEqual(report.violations.total, 0, report.findings)

    def test_naive_policy_has_the_expected_violations(self):
        for name, violations in NAIVE_VIOLATIONS.items():
            with self.subTest(trace=name):
                trace = load_trace(TRACES / f"{name}.jsonl").unwrap()
                self.assertLessEqual(violations, violated(replay(trace, "naive")))

    def test_same_arguments_give_the_same_report(self):
        trace = load_trace(TRACES / "router-lost.jsonl").unwrap()
        first, second = replay(trace, seed=5), replay(trace, seed=5)
        self.assertEqual(msgspec.json.encode(first), msgspec.json.encode(second))

    def test_resumes_within_target_after_silent_engine_loss(self):
        events = generation_arrivals(9, tokens=200, outcome="whole")
        events.append(TraceFault(4, "vanish", "e1"))
        measures = replay(make_trace(events)).measures
        self.assertGreater(measures.resumes, 0)
        self.assertLess(measures.resume_latency_p95_s, RESUME_TARGET_S)
