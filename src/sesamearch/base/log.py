"""Logging: one structured line for each change of state."""

import sys

import logbook

__all__ = ["logger", "set_up_logging"]

_FORMAT = "{record.time:%Y-%m-%dT%H:%M:%S.%fZ} {record.level_name} {record.message}"

logger = logbook.Logger("sesamearch")


def set_up_logging(level="INFO"):
    """Send log lines of `level` and above to standard error."""
    logbook.set_datetime_format("utc")
    handler = logbook.StreamHandler(sys.stderr, level=level, format_string=_FORMAT)
    handler.push_application()
