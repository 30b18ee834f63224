"""Serving of long generations from engines that fail."""

from sesamearch.blackboard import Blackboard
from sesamearch.client import Answer, Asker
from sesamearch.configuration import Configuration, collect
from sesamearch.errors import ErrorKind, Problem
from sesamearch.settings import RouterSettings, load_settings

__all__ = [
    "Answer",
    "Asker",
    "Blackboard",
    "Configuration",
    "ErrorKind",
    "Problem",
    "RouterSettings",
    "collect",
    "load_settings",
]
