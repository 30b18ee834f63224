"""Requests passed on to endpoints: choice, retries, time limits, streams."""

import lazy_loader

__getattr__, __dir__, __all__ = lazy_loader.attach(
    __name__,
    submod_attrs={
        "budget": ["RetryBudget"],
        "call": ["CallExchange"],
        "choice": ["Chooser", "GenerationNeed"],
        "copies": ["CopyManager"],
        "dispatcher": ["RetryBudgets", "Dispatcher", "ForwardCounters"],
        "exchange": ["Exchange", "ForwardTools", "Try", "retry_after_s"],
        "fleet": ["Fleet"],
        "gate": ["OpenGate", "VersionGate"],
        "health": ["EndpointHealth", "HealthTracker", "Outcomes", "Suspicion"],
        "load": ["EndpointLoad", "LoadTracker", "Work"],
        "meter": ["Meter", "NoMeter"],
        "pace": ["GenerationPace"],
        "prompts": ["PromptLocations"],
        "request": [
            "CallerRequest",
            "EndpointAnswer",
            "EndpointClient",
            "ForwardListener",
            "LoadReport",
            "MemoryCopy",
            "ForwardOptions",
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
