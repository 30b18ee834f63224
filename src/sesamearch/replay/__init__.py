"""Replay of recorded traces on a virtual clock, and a naive baseline for comparison."""

import lazy_loader

__getattr__, __dir__, __all__ = lazy_loader.attach(
    __name__,
    submod_attrs={
        "caller": ["CallCaller", "GenerationCaller"],
        "fake": ["FakeEngine", "FakeEngineClient", "FakePlainClient", "FakeService"],
        "move": ["MoveChecker"],
        "naive": ["NaiveGeneration", "NaiveOperationRunner", "NaivePlacement"],
        "process": ["Links", "Process"],
        "router": ["ReplayRouter"],
        "runner": ["Replay", "replay"],
        "store": ["FakeStore", "StoreFaults"],
        "trace": [
            "CallArrival",
            "Generate",
            "Header",
            "Trace",
            "TraceEndpoint",
            "TraceFault",
            "TraceMove",
            "TraceRouter",
            "load_trace",
        ],
        "results": [
            "MAX_APPLY_DELAY_S",
            "Measures",
            "Report",
            "ResultCollector",
            "Violations",
        ],
    },
)
