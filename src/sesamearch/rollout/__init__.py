"""Moves between versions: evidence test, leader, plan; short rollouts."""

import lazy_loader

__getattr__, __dir__, __all__ = lazy_loader.attach(
    __name__,
    submod_attrs={
        "conductor": ["Rollout", "RolloutConductor", "RolloutRegister"],
        "detector": ["Call", "Detector"],
        "leadership": ["LEADER_KEY", "Leadership"],
        "move": [
            "MoveDecision",
            "MovePlan",
            "MoveRecord",
            "MoveState",
            "choose_by_move",
            "plan_lines",
        ],
        "mover": [
            "MOVE_PREFIX",
            "MoveFollower",
            "Mover",
            "abort_move",
            "read_moves",
            "start_move",
        ],
        "order": ["RolloutOrder", "RolloutOutcome", "RolloutState"],
        "version": ["VersionChooser", "choose_by_share", "request_point"],
    },
)
