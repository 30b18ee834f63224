"""The command line: router daemon, stand-ins, operator commands and client."""

import argparse
import os
from importlib.metadata import version

import msgspec
from result import Err, Ok

from sesamearch.base.errors import ErrorKind, Problem
from sesamearch.base.log import set_up_logging
from sesamearch.command.explain import add_explain
from sesamearch.command.operator import (
    add_check,
    add_history,
    add_move,
    add_publish,
    add_status,
)
from sesamearch.command.quarantine import add_quarantine
from sesamearch.command.terminal import (
    EXIT_CODES,
    add_command,
    add_format,
    run_reactor,
    show_faults,
    show_problem,
)
from sesamearch.command.where import add_where
from sesamearch.configuration.settings import load_settings

__all__ = ["main"]


def main(arguments=None):
    """Run the command line and return its exit code."""
    parser = make_parser()
    options = parser.parse_args(arguments)
    return options.run(options)


def make_parser():
    parser = argparse.ArgumentParser(
        prog="sesamearch",
        description="Serve long generations from engines that may fail.",
        epilog=EXIT_CODES,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument("--version", action="version", version=version("sesamearch"))
    commands = parser.add_subparsers(required=True, metavar="COMMAND")
    _add_router(commands)
    _add_standin(commands)
    _add_replay(commands)
    add_check(commands)
    add_publish(commands)
    add_history(commands)
    add_move(commands)
    add_status(commands)
    add_quarantine(commands)
    _add_ask(commands)
    add_explain(commands)
    add_where(commands)
    _add_keys(commands)
    return parser


# Daemon


def _add_router(commands):
    parser = add_command(
        commands,
        "router",
        _run_router,
        "Run a router until SIGTERM.",
        "sesamearch router --settings router.yaml",
    )
    parser.add_argument("--settings", required=True, metavar="FILE")


def _run_router(options):
    loaded = load_settings(options.settings)
    if loaded.is_err():
        return show_faults(loaded.unwrap_err())
    settings = loaded.unwrap()
    set_up_logging(settings.log_level)
    from twisted.internet import reactor

    from sesamearch.configuration.keys import load_peer_keys
    from sesamearch.daemon.router import Router

    peer_keys = load_peer_keys(settings.peer.key_file) if settings.peer else Ok(None)
    if peer_keys.is_err():
        return show_faults(peer_keys.unwrap_err())
    router = Router(reactor, settings, peer_keys.unwrap())
    started = router.start()
    if started.is_err():
        return show_problem(started.unwrap_err())
    reactor.callWhenRunning(router.handle_signals)
    reactor.run(installSignalHandlers=False)
    return 0


# Stand-ins


def _add_standin(commands):
    parser = add_command(
        commands,
        "standin",
        _run_standin,
        "Run a stand-in for an engine, a plain service or the platform's store.",
        "sesamearch standin engine --listen 127.0.0.1:9001 --version-name v1 "
        "--switch die_after_tokens=100",
    )
    parser.add_argument("what", choices=("engine", "service", "store"))
    parser.add_argument("--listen", required=True, metavar="IP:PORT")
    parser.add_argument("--version-name", default="v1", metavar="NAME")
    parser.add_argument("--vms", metavar="FILE", help="list of VMs (store only)")
    parser.add_argument(
        "--switch",
        action="append",
        default=[],
        metavar="NAME=JSON",
        help="fault to simulate, such as stall_after_tokens=50, refuse=true or "
        "load_ratio=0.1; may be repeated",
    )


def _run_standin(options):
    from twisted.internet import reactor

    from sesamearch.standin import process as standin

    try:
        pairs = [switch.split("=", 1) for switch in options.switch]
        switches = {name: msgspec.json.decode(value) for name, value in pairs}
        made = _make_standin(standin, reactor, options, switches)
    except (ValueError, msgspec.DecodeError) as error:
        problem = Problem(ErrorKind.BAD_REQUEST, f"--switch: {error}")
        return show_problem(problem)
    if made.is_err():
        return show_faults(made.unwrap_err())
    standin.listen(reactor, made.unwrap(), options.listen)
    reactor.run()
    return 0


def _make_standin(standin, reactor, options, switches):
    if options.what == "engine":
        return Ok(standin.make_engine(reactor, options.version_name, switches))
    if options.what == "service":
        return Ok(standin.make_service(reactor, options.version_name, switches))
    return standin.make_store(reactor, options.vms)


# Replay


def _add_replay(commands):
    parser = add_command(
        commands,
        "replay",
        _run_replay,
        "Replay a recorded trace through the decision code on a virtual clock. "
        "The exit status is 0 only if no guarantee is violated.",
        "sesamearch replay traces/engine-killed.jsonl --policy naive --format json",
    )
    parser.add_argument("trace", metavar="TRACE")
    parser.add_argument("--policy", choices=("default", "naive"), default="default")
    parser.add_argument("--seed", type=int, default=0)
    add_format(parser)


def _run_replay(options):
    from sesamearch.replay.runner import replay
    from sesamearch.replay.trace import load_trace

    loaded = load_trace(options.trace)
    if loaded.is_err():
        problem = Problem(ErrorKind.BAD_REQUEST, loaded.unwrap_err())
        return show_problem(problem, options.format)
    report = replay(loaded.unwrap(), options.policy, options.seed)
    if options.format == "text":
        for finding in report.findings:
            print(finding)
    print(msgspec.json.encode(report).decode())
    return Problem(ErrorKind.INCOMPLETE_ANSWER).answer.exit_code * (
        report.violations.total > 0
    )


# Client


def _add_ask(commands):
    parser = add_command(
        commands,
        "ask",
        _run_ask,
        "Request a completion as a caller; resumes with the cursor after a failure.",
        'sesamearch ask 127.0.0.1:8101 --model draft "Assess the balance wheel"',
    )
    parser.add_argument("addresses", nargs="+", metavar="IP:PORT")
    parser.add_argument("text", metavar="TEXT")
    parser.add_argument("--model", required=True)
    parser.add_argument("--max-tokens", type=int)
    parser.add_argument("--seed", type=int)
    parser.add_argument(
        "--api-key-file", metavar="FILE", help="default: $SESAMEARCH_API_KEY"
    )
    add_format(parser)


def _run_ask(options):
    key = _read_api_key(options.api_key_file)
    if key.is_err():
        return show_problem(key.unwrap_err(), options.format)

    def print_token(text, answer):
        print(text, end="", flush=True)

    async def work(reactor):
        from sesamearch.callers.client import CompletionClient

        on_token = print_token if options.format == "text" else None
        completion_client = CompletionClient(
            reactor, options.addresses, key.unwrap(), on_token
        )
        messages = [{"role": "user", "content": options.text}]
        return await completion_client.ask(
            options.model, messages, options.max_tokens, options.seed
        )

    result = run_reactor(work)
    if result.is_err():
        return show_problem(result.unwrap_err(), options.format)
    answer = result.unwrap()
    print(msgspec.json.encode(answer).decode() if options.format == "json" else "")
    return 0


def _read_api_key(path):
    if path is None:
        key = os.environ.get("SESAMEARCH_API_KEY")
        missing = Problem(
            ErrorKind.BAD_REQUEST,
            "no API key: set SESAMEARCH_API_KEY or pass --api-key-file",
        )
        return Ok(key) if key else Err(missing)
    try:
        with open(path, encoding="utf-8") as file:
            return Ok(file.read().strip())
    except OSError as error:
        return Err(Problem(ErrorKind.BAD_REQUEST, str(error)))


# Secrets


def _add_keys(commands):
    parser = add_command(
        commands,
        "keys",
        _run_keys,
        "Generate new secrets.",
        "sesamearch keys new peer --out peer-keys.yaml",
    )
    parser.add_argument("action", choices=("new",))
    parser.add_argument("what", choices=("cursor", "peer", "api"))
    parser.add_argument(
        "--out", metavar="FILE", help="output file, required for cursor and peer keys"
    )


def _run_keys(options):
    from sesamearch.configuration import keys

    if options.what == "api":
        key, digest = keys.new_api_key()
        print(f"key: {key}\nkey_sha256: {digest}")
        return 0
    if not options.out:
        return show_problem(Problem(ErrorKind.BAD_REQUEST, "--out is required"))
    make = keys.new_peer_keys if options.what == "peer" else keys.new_cursor_key
    made = make(options.out)
    if made.is_err():
        return show_faults(made.unwrap_err())
    print(f"wrote {options.out}")
    return 0
