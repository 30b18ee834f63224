"""The command line."""

import lazy_loader

__getattr__, __dir__, __all__ = lazy_loader.attach(
    __name__,
    submod_attrs={
        "explain": ["Story", "StoryLine", "add_explain", "read_lines", "tell_story"],
        "front": ["main"],
        "operator": [
            "add_check",
            "add_history",
            "add_move",
            "add_publish",
            "add_status",
        ],
        "terminal": [
            "EXIT_CODES",
            "add_command",
            "add_format",
            "run_reactor",
            "show_faults",
            "show_problem",
        ],
    },
)
