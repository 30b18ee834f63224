"""Routing table, placement of requests, and evidence on service versions."""

import lazy_loader

__getattr__, __dir__, __all__ = lazy_loader.attach(
    __name__,
    submod_attrs={
        "canary": ["CanaryPlan", "CanarySettings"],
        "canary_evidence": [
            "Evidence",
            "Measure",
            "RouteEvidence",
            "Sample",
            "Support",
            "TimeCount",
            "Verdict",
            "time_bucket",
        ],
        "evidence": [
            "BadEvent",
            "CellCounts",
            "EvidenceCollector",
            "Outcome",
            "load_level",
        ],
        "placement": ["Placement"],
        "table": [
            "EngineTraits",
            "Organisation",
            "RequestLimits",
            "Route",
            "RouteKind",
            "RoutingTable",
            "ServiceSpec",
            "ServiceWeight",
        ],
        "version_standing": [
            "Standing",
            "VersionStanding",
            "VersionStandings",
            "WithheldVersions",
        ],
    },
)
