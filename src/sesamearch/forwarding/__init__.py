"""Requests passed on to endpoints: choice, retries, time limits, streams."""

import lazy_loader

__getattr__, __dir__, __all__ = lazy_loader.attach(
    __name__,
    submod_attrs={
        "budget": ["RetryBudget"],
        "call": ["CallExchange"],
        "choice": ["Chooser", "GenerationNeed"],
        "copies": ["CopyKeeper"],
        "dispatcher": ["Budgets", "Dispatcher", "ForwardCounters"],
        "exchange": ["Exchange", "ForwardTools", "Try", "retry_after_s"],
        "fleet": ["Fleet"],
        "gate": ["OpenGate", "VersionGate"],
        "health": ["EndpointHealth", "HealthBook", "Outcomes", "Suspicion"],
        "load": ["EndpointLoad", "LoadBook", "Work"],
        "meter": ["Meter", "NoMeter"],
        "pace": ["GenerationPace"],
        "prompts": ["PromptPlaces"],
        "request": [
            "CallerRequest",
            "EndpointAnswer",
            "EndpointClient",
            "ForwardListener",
            "LoadReport",
            "MemoryCopy",
            "Passage",
            "PromptPart",
        ],
        "returns": ["ReturnWatch"],
        "silence": [
            "PROBE_INTERVAL_S",
            "RESUME_PROBE_S",
            "EventRhythm",
            "SilenceWatch",
        ],
        "stream": ["StreamExchange"],
    },
)
