"""Helpers shared by all commands: parsers, output of results and exit codes."""

import argparse
import sys

import msgspec
from result import Err
from twisted.internet.defer import Deferred

from sesamearch.base.errors import ErrorKind, Problem

__all__ = [
    "EXIT_CODES",
    "add_command",
    "add_format",
    "run_reactor",
    "show_faults",
    "show_problem",
]

EXIT_CODES = """\
exit codes:
  0  done            3  refused           5  try again later
  1  internal error  4  conflict          6  outcome unknown or answer incomplete
  2  bad input
"""


def add_command(commands, name, run, text, example):
    """Add a sub-command and return its parser.

    Parameters
    ----------
    commands : object returned by ``add_subparsers``
    name, text, example : str
        Name, help text, and an example command shown below the help.
    run : callable
        Called with the parsed options; returns the exit code.
    """
    parser = commands.add_parser(
        name,
        help=text,
        description=text,
        epilog=f"example:\n  {example}\n\n{EXIT_CODES}",
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.set_defaults(run=run)
    return parser


def add_format(parser):
    """Add the option ``--format`` for the form of the output."""
    parser.add_argument("--format", choices=("text", "json"), default="text")


def show_faults(faults, form="text"):
    """Print faults, one per line, and return the exit code."""
    if form == "json":
        print(msgspec.json.encode(faults).decode())
    else:
        for fault in faults:
            print(fault.to_text(), file=sys.stderr)
    return 2


def show_problem(problem, form="text"):
    """Print a problem and return its exit code."""
    if form == "json":
        print(problem.to_json().decode())
    else:
        print(f"sesamearch: {problem.to_text()}", file=sys.stderr)
    return problem.answer.exit_code


def run_reactor(work):
    """Run the reactor until the coroutine function `work` ends; return its value.

    Returns ``Err`` if the reactor stops earlier, as on Ctrl-C.
    """
    from twisted.internet import reactor

    outcome = []

    def finish(value):
        outcome.append(value)
        if reactor.running:
            reactor.stop()

    reactor.callWhenRunning(
        lambda: Deferred.fromCoroutine(work(reactor)).addBoth(finish)
    )
    reactor.run()
    if outcome and hasattr(outcome[0], "raiseException"):
        outcome[0].raiseException()
    return outcome[0] if outcome else Err(Problem(ErrorKind.INTERNAL, "interrupted"))
