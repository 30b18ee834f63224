"""Gradual moves of traffic between versions, and short operator-ordered rollouts."""

import lazy_loader

__getattr__, __dir__, __all__ = lazy_loader.attach(
    __name__,
    submod_attrs={
        "controller": ["RolloutController"],
        "detector": ["Alarm", "Detector"],
        "leadership": ["LEADER_KEY", "Leadership"],
        "move": [
            "MoveDecision",
            "MovePlan",
            "MoveRecord",
            "MoveState",
            "choose_version_by_move",
            "plan_lines",
        ],
        "move_controller": [
            "MOVE_PREFIX",
            "MoveFollower",
            "MoveController",
            "abort_move",
            "read_moves",
            "start_move",
        ],
        "losses": ["LossFilter"],
        "observer": ["ServiceObserver"],
        "order": ["RolloutOrder", "RolloutOutcome", "RolloutState"],
        "order_history": ["OrderHistory", "OrderNews"],
        "progress": ["Rollout", "describe_change"],
        "register": ["RolloutRegister"],
        "standing_keeper": ["StandingKeeper"],
        "version": ["VersionChooser", "choose_version_by_share", "request_hash_ratio"],
    },
)
