"""The router processes: assembly, ports, metrics and graceful shutdown."""

import lazy_loader

__getattr__, __dir__, __all__ = lazy_loader.attach(
    __name__,
    submod_attrs={
        "drain": ["Drain"],
        "platform_router": ["PlatformRouter"],
        "platform_metrics": ["PlatformMetrics"],
        "platform_ports": ["PlatformPorts"],
        "metrics": ["MetricsExport"],
        "operators_port": ["OperatorsPort", "RouterStatus"],
        "router": ["Router"],
    },
)
