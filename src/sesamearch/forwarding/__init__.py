"""Forwarding of requests: endpoint choice, retries, timeouts, streams."""

import lazy_loader

__getattr__, __dir__, __all__ = lazy_loader.attach(
    __name__,
    submod_attrs={
        "allowance": ["SendAllowance", "patience_s"],
        "attempt": ["Try"],
        "budget": ["FleetView", "RetryBudget", "RetryBudgets", "RetryUse"],
        "call": ["CallExchange"],
        "choice": ["Chooser", "GenerationNeed"],
        "copies": ["CopyManager"],
        "deadline": ["Deadlines", "answer_margin_s", "deadlines_of"],
        "dispatcher": ["Dispatcher", "ForwardCounters"],
        "exchange": ["Exchange", "ForwardTools", "retry_after_s"],
        "endpoint_index": ["EndpointIndex"],
        "gate": ["OpenGate", "TryObserver", "VersionGate"],
        "health": ["EndpointHealth", "HealthTracker", "Outcomes", "Suspicion"],
        "lifecycle": ["GenerationInputs", "make_lifecycle"],
        "load": ["EndpointLoad", "LoadTracker", "Work"],
        "meter": ["Meter", "NoMeter"],
        "outage": ["OutageDetector"],
        "pace": ["GenerationPace"],
        "prompts": ["PromptLocations"],
        "request": [
            "CallerRequest",
            "EndpointAnswer",
            "EndpointClient",
            "ForwardListener",
            "ForwardOptions",
            "LoadReport",
            "MemoryCopy",
            "PromptPart",
        ],
        "restarts": ["RestartDetector"],
        "runs": ["GenerationRuns"],
        "search": ["EngineSearch"],
        "stall": [
            "PROBE_INTERVAL_S",
            "RESUME_PROBE_DELAY_S",
            "EventTiming",
            "StallDetector",
        ],
        "stream": ["StreamExchange"],
        "suspicion": ["Obstacle", "TrySuspicion"],
    },
)
