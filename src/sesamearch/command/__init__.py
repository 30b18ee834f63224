"""The command-line interface."""

import lazy_loader

__getattr__, __dir__, __all__ = lazy_loader.attach(
    __name__,
    submod_attrs={
        "explain": [
            "Explanation",
            "LogEntry",
            "add_explain",
            "explain_request",
            "read_entries",
        ],
        "platform_router": ["main"],
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
