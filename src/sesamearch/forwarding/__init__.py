"""Forwarding of requests: endpoint choice, retries, timeouts, streams."""

import lazy_loader

__getattr__, __dir__, __all__ = lazy_loader.attach(
    __name__,
    submod_attrs={
        "budget": ["FleetView", "RetryBudget", "RetryBudgets", "RetryUse"],
        "call": ["CallExchange"],
        "choice": ["Chooser", "GenerationNeed"],
        "copies": ["CopyManager"],
        "dispatcher": ["Dispatcher", "ForwardCounters"],
        "exchange": ["Exchange", "ForwardTools", "Try", "retry_after_s"],
        "endpoint_index": ["EndpointIndex"],
        "gate": ["OpenGate", "VersionGate"],
        "health": ["EndpointHealth", "HealthTracker", "Outcomes", "Suspicion"],
        "leaving": ["LeavingTracker"],
        "load": ["EndpointLoad", "LoadTracker", "Work"],
        "meter": ["Meter", "NoMeter"],
        "outage": ["OutageDetector"],
        "pace": ["GenerationPace"],
        "pauses": ["PauseTracker"],
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
        "stall": [
            "PROBE_INTERVAL_S",
            "RESUME_PROBE_DELAY_S",
            "EventTiming",
            "StallDetector",
        ],
        "stream": ["StreamExchange"],
    },
)
