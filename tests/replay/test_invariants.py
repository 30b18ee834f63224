"""Random fault interleavings never violate a guarantee about a single request."""

import unittest

from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from sesamearch.replay.runner import replay
from sesamearch.replay.trace import TraceFault
from tests.support import call_arrivals, generation_arrivals, make_trace

ROUTERS = ["r1", "r2", "r3"]
BACK_ENDS = ["e1", "e2", "e3", "s1", "s2"]
REQUEST_GUARANTEES = [
    "token_missing_or_repeated",
    "generations_mixed",
    "false_not_run",
    "ran_twice",
    "configuration_reverted",
    "shutdown_cut",
]
TIMES = st.floats(2, 10).map(lambda value: round(value, 2))


def faults_on(targets, kinds):
    return st.builds(
        TraceFault, TIMES, st.sampled_from(kinds), st.sampled_from(targets)
    )


CUTS = st.builds(
    TraceFault,
    TIMES,
    st.sampled_from(["cut", "heal"]),
    st.sampled_from(ROUTERS),
    st.sampled_from(BACK_ENDS),
)
STORE = st.builds(
    TraceFault,
    TIMES,
    st.sampled_from(["outage", "outage-end", "lose-answers", "publish"]),
    st.just("store"),
)
FAULTS = st.lists(
    st.one_of(
        faults_on(BACK_ENDS, ["kill", "vanish", "pause", "return", "refuse", "leave"]),
        faults_on(["s1", "s2"], ["lose-answers"]),
        faults_on(ROUTERS, ["kill", "vanish", "pause", "return", "stop", "start"]),
        CUTS,
        STORE,
    ),
    max_size=8,
)


class InvariantTest(unittest.TestCase):
    @settings(
        derandomize=True,
        max_examples=150,
        deadline=None,
        suppress_health_check=[HealthCheck.too_slow],
    )
    @given(FAULTS, st.integers(0, 100))
    def test_no_interleaving_violates_a_request_guarantee(self, faults, seed):
        events = generation_arrivals(6) + call_arrivals(6, again=True) + faults
        report = replay(make_trace(events, duration_s=45), seed=seed)
        violated = {
            name: getattr(report.violations, name)
            for name in REQUEST_GUARANTEES
            if getattr(report.violations, name)
        }
        self.assertEqual(violated, {}, report.findings)


if __name__ == "__main__":
    unittest.main()
