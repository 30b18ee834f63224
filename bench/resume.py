"""Study of resume latency against extra work: ``python -m bench.resume``.

Engines pause for up to 0.9 s at random times, and two of them vanish. The stall floor
is the shortest time without a token that counts as a stall, after which a generation is
resumed. A small floor resumes sooner, but also moves streams whose engine only paused.
"""

import json
import random

import msgspec
from tests.support import DRAFTING, TICKETING, generation_arrivals, make_trace

from sesamearch.configuration.configuration import ResumePolicy
from sesamearch.replay.runner import replay
from sesamearch.replay.trace import TraceEndpoint, TraceFault

FLOORS_S = (0.1, 0.2, 0.4, 0.8, 1.6, 3.2)
SEEDS = range(3)
ENGINES = 12
PAUSES = 60


def make_faults(seed):
    """Return random short pauses of engines, and two engines that vanish."""
    rng = random.Random(seed)
    faults = []
    for _ in range(PAUSES):
        at_s, name = rng.uniform(2, 18), f"e{rng.randrange(2, ENGINES)}"
        faults.append(TraceFault(at_s, "pause", name))
        faults.append(TraceFault(at_s + rng.uniform(0.1, 0.9), "return", name))
    faults += [TraceFault(7, "vanish", "e0"), TraceFault(9, "vanish", "e1")]
    return faults


def run(floor_s, seed):
    """Replay one seed with a stall floor; return the report."""
    policy = ResumePolicy(stall_floor_s=floor_s)
    drafting = msgspec.structs.replace(DRAFTING, resume=policy)
    endpoints = [
        TraceEndpoint(f"e{n}", "ab"[n % 2], "drafting") for n in range(ENGINES)
    ]
    events = generation_arrivals(36, tokens=300, outcome="whole", spacing_s=0.2)
    trace = make_trace(events + make_faults(seed), endpoints=endpoints)
    header = msgspec.structs.replace(trace.header, services=[drafting, TICKETING])
    return replay(msgspec.structs.replace(trace, header=header), seed=seed)


def main():
    for floor_s in FLOORS_S:
        reports = [run(floor_s, seed) for seed in SEEDS]
        measures = [report.measures for report in reports]
        count = len(measures)
        line = {
            "stall_floor_s": floor_s,
            "violations": sum(report.violations.total for report in reports),
            "resumes": sum(m.resumes for m in measures),
            "resume_latency_p50_s": sum(m.resume_latency_p50_s for m in measures)
            / count,
            "resume_latency_p95_s": sum(m.resume_latency_p95_s for m in measures)
            / count,
            "extra_work_ratio": sum(m.extra_work_ratio for m in measures) / count,
        }
        print(json.dumps({k: round(v, 4) for k, v in line.items()}), flush=True)


if __name__ == "__main__":
    main()
