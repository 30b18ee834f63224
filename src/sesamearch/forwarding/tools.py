"""The components that all exchanges of a router share."""

import msgspec

__all__ = ["ForwardTools"]


class ForwardTools(msgspec.Struct):
    """Components that all exchanges share.

    Parameters
    ----------
    client : EndpointClient
    chooser : Chooser
    endpoint_index : EndpointIndex
    loads : LoadTracker
    statements : LoadStatements
    health : HealthTracker
    prompts : PromptLocations
    held_prompts : HeldPrompts
    pace : GenerationPace
    budgets : RetryBudgets
    gate : VersionGate
    restarts : RestartDetector
    outages : OutageDetector
    paths : PathTracker
    proxy : PeerProxy
    proxy_admission : ProxyAdmission
        Admits requests that come from other routers.
    pauses : PauseTracker
    limits : LimitTracker
    permits : PermitSource
    quarantine : QuarantineController
    untaken : UntakenAnswers
    clock : twisted.internet.interfaces.IReactorTime
    rng : random.Random
    counters : ForwardCounters
    meter : Meter
    """

    client: object
    chooser: object
    endpoint_index: object
    loads: object
    statements: object
    health: object
    prompts: object
    held_prompts: object
    pace: object
    budgets: object
    gate: object
    restarts: object
    outages: object
    paths: object
    proxy: object
    proxy_admission: object
    pauses: object
    limits: object
    permits: object
    quarantine: object
    untaken: object
    clock: object
    rng: object
    counters: object
    meter: object
