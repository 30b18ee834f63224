"""Stand-ins for external systems, as processes and in memory."""

import lazy_loader

__getattr__, __dir__, __all__ = lazy_loader.attach(
    __name__,
    submod_attrs={
        "engine": [
            "EngineSwitches",
            "StandinEngine",
            "expected_token",
            "prompt_digest",
        ],
        "network": [
            "HostNetwork",
            "MemoryNetwork",
            "MemoryTransport",
            "PathFault",
        ],
        "platform_store": ["PlatformStoreStandin"],
        "platform_worker": [
            "PlatformEngineStandin",
            "PlatformServiceStandin",
            "WorkerArrival",
            "WorkerRun",
        ],
        "process": ["listen", "make_engine", "make_service", "make_store"],
        "service": ["ServiceSwitches", "StandinService"],
        "store": ["StandinStore"],
    },
)
