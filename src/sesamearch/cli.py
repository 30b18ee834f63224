"""The command line: daemon, stand-ins and the operators' client."""

import argparse
import getpass
import os
import secrets
import sys
import time
from importlib.metadata import version

import msgspec
from result import Err, Ok
from twisted.internet.defer import Deferred, gatherResults

from sesamearch.configuration import collect
from sesamearch.errors import ErrorKind, Problem
from sesamearch.log import set_up_logging
from sesamearch.settings import StoreSettings, load_settings

__all__ = ["main"]

_EXIT_CODES = """\
exit codes:
  0  done            3  refused           5  try again later
  1  internal error  4  conflict          6  outcome unknown or answer not whole
  2  bad input
"""


def main(arguments=None):
    """Run the command line and return its exit code."""
    parser = _make_parser()
    options = parser.parse_args(arguments)
    return options.run(options)


def _make_parser():
    parser = argparse.ArgumentParser(
        prog="sesamearch",
        description="Serve long generations from engines that fail.",
        epilog=_EXIT_CODES,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument("--version", action="version", version=version("sesamearch"))
    commands = parser.add_subparsers(required=True, metavar="COMMAND")
    _add_router(commands)
    _add_standin(commands)
    _add_replay(commands)
    _add_check(commands)
    _add_publish(commands)
    _add_move(commands)
    _add_status(commands)
    _add_ask(commands)
    _add_keys(commands)
    return parser


def _add(commands, name, run, text, example):
    parser = commands.add_parser(
        name,
        help=text,
        description=text,
        epilog=f"example:\n  {example}\n\n{_EXIT_CODES}",
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.set_defaults(run=run)
    return parser


def _add_format(parser):
    parser.add_argument("--format", choices=("text", "json"), default="text")


# Showing results


def _show_faults(faults, form="text"):
    if form == "json":
        print(msgspec.json.encode(faults).decode())
    else:
        for fault in faults:
            print(fault.show(), file=sys.stderr)
    return 2


def _show_problem(problem, form="text"):
    if form == "json":
        print(problem.to_json().decode())
    else:
        print(f"sesamearch: {problem.show()}", file=sys.stderr)
    return problem.answer.exit_code


def _run(work):
    """Run the reactor until the coroutine `work` returns; give its value."""
    from twisted.internet import reactor

    outcome = []

    def keep(value):
        outcome.append(value)
        if reactor.running:
            reactor.stop()

    reactor.callWhenRunning(lambda: Deferred.fromCoroutine(work(reactor)).addBoth(keep))
    reactor.run()
    if outcome and hasattr(outcome[0], "raiseException"):
        outcome[0].raiseException()
    return outcome[0] if outcome else Err(Problem(ErrorKind.INTERNAL, "interrupted"))


# Daemon


def _add_router(commands):
    parser = _add(
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
        return _show_faults(loaded.unwrap_err())
    settings = loaded.unwrap()
    set_up_logging(settings.log_level)
    from twisted.internet import reactor

    from sesamearch.keys import load_peer_keys
    from sesamearch.router import Router

    peer_keys = load_peer_keys(settings.peer.key_file) if settings.peer else Ok(None)
    if peer_keys.is_err():
        return _show_faults(peer_keys.unwrap_err())
    router = Router(reactor, settings, peer_keys.unwrap())
    started = router.start()
    if started.is_err():
        return _show_problem(started.unwrap_err())
    reactor.callWhenRunning(router.handle_signals)
    reactor.run(installSignalHandlers=False)
    return 0


# Stand-ins


def _add_standin(commands):
    parser = _add(
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
        help="a fault, such as stall_after_tokens=50, refuse=true, load_ratio=0.1",
    )


def _run_standin(options):
    from twisted.internet import reactor

    from sesamearch import standin

    try:
        pairs = [switch.split("=", 1) for switch in options.switch]
        switches = {name: msgspec.json.decode(value) for name, value in pairs}
        made = _make_standin(standin, reactor, options, switches)
    except (ValueError, msgspec.DecodeError) as error:
        problem = Problem(ErrorKind.BAD_REQUEST, f"--switch: {error}")
        return _show_problem(problem)
    if made.is_err():
        return _show_faults(made.unwrap_err())
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
    parser = _add(
        commands,
        "replay",
        _run_replay,
        "Replay a recorded trace through the decision code on a virtual clock. "
        "Exit status 0 only without violations.",
        "sesamearch replay traces/engine-killed.jsonl --policy naive --format json",
    )
    parser.add_argument("trace", metavar="TRACE")
    parser.add_argument("--policy", choices=("default", "naive"), default="default")
    parser.add_argument("--seed", type=int, default=0)
    _add_format(parser)


def _run_replay(options):
    from sesamearch.replay import replay
    from sesamearch.trace import load_trace

    loaded = load_trace(options.trace)
    if loaded.is_err():
        problem = Problem(ErrorKind.BAD_REQUEST, loaded.unwrap_err())
        return _show_problem(problem, options.format)
    report = replay(loaded.unwrap(), options.policy, options.seed)
    if options.format == "text":
        for finding in report.findings:
            print(finding)
    print(msgspec.json.encode(report).decode())
    return Problem(ErrorKind.INCOMPLETE_ANSWER).answer.exit_code * (
        report.violations.total > 0
    )


# Operators


def _add_check(commands):
    parser = _add(
        commands,
        "check",
        _run_check,
        "Check the service files below a folder, or a router's settings.",
        "sesamearch check services/",
    )
    parser.add_argument("folder", nargs="?", metavar="DIR")
    parser.add_argument("--settings", metavar="FILE")
    _add_format(parser)


def _run_check(options):
    if options.settings:
        checked = load_settings(options.settings)
    else:
        checked = collect(options.folder or ".")
    if checked.is_err():
        return _show_faults(checked.unwrap_err(), options.format)
    print("[]" if options.format == "json" else "valid")
    return 0


def _add_store(parser):
    parser.add_argument(
        "--store",
        action="append",
        required=True,
        metavar="IP:PORT",
        help="address of the platform's store; may be repeated",
    )


def _add_publish(commands):
    parser = _add(
        commands,
        "publish",
        _run_publish,
        "Collect the service files below a folder and put them in force.",
        "sesamearch publish services/ --store 127.0.0.1:2379",
    )
    parser.add_argument("folder", metavar="DIR")
    parser.add_argument("--operator", default=getpass.getuser(), metavar="NAME")
    parser.add_argument(
        "--expect",
        type=int,
        metavar="REVISION",
        help="refuse if another revision is published",
    )
    _add_store(parser)
    _add_format(parser)


def _run_publish(options):
    collected = collect(options.folder)
    if collected.is_err():
        return _show_faults(collected.unwrap_err(), options.format)

    async def work(reactor):
        from sesamearch.etcd import EtcdStore
        from sesamearch.publisher import publish

        store = EtcdStore(reactor, StoreSettings(options.store))
        configuration = collected.unwrap()
        return await publish(store, configuration, options.operator, options.expect)

    result = _run(work)
    if result.is_err():
        return _show_problem(result.unwrap_err(), options.format)
    revision = result.unwrap().revision
    is_json = options.format == "json"
    print(f'{{"revision":{revision}}}' if is_json else f"revision {revision} accepted")
    return 0


def _add_move(commands):
    parser = _add(
        commands,
        "move",
        _run_move,
        "Move a service to another version, look at moves, or take one back.",
        "sesamearch move start drafting --from v1 --to v2 --deadline-in-s 3600 "
        "--store 127.0.0.1:2379",
    )
    parser.add_argument("action", choices=("start", "status", "abort"))
    parser.add_argument("service", nargs="?", metavar="SERVICE")
    parser.add_argument("--from", dest="old_version", metavar="VERSION")
    parser.add_argument("--to", dest="new_version", metavar="VERSION")
    parser.add_argument("--deadline-in-s", type=float, metavar="SECONDS")
    parser.add_argument(
        "--if-thin",
        choices=("finish", "take_back"),
        default="take_back",
        help="what to do with too little evidence at the deadline",
    )
    parser.add_argument("--operator", default=getpass.getuser(), metavar="NAME")
    parser.add_argument("--yes", action="store_true", help="do it; else only say it")
    _add_store(parser)
    _add_format(parser)


def _run_move(options):
    from sesamearch.move import plan_lines

    wanted = {"start": ("old_version", "new_version", "deadline_in_s"), "abort": ()}
    missing = [
        name
        for name in ("service", *wanted.get(options.action, ()))
        if options.action != "status" and getattr(options, name) is None
    ]
    if missing:
        detail = "missing: " + ", ".join(missing)
        return _show_problem(Problem(ErrorKind.BAD_REQUEST, detail), options.format)
    if options.action == "start":
        record = _new_move(options)
        if not options.yes:
            print("\n".join(plan_lines(record)))
            print("nothing was done; add --yes to start")
            return 0
        return _finish_move(
            options, lambda mover, store: mover.start_move(store, record)
        )
    if options.action == "abort" and not options.yes:
        print(f"all new requests of {options.service} go back to the old version")
        print("nothing was done; add --yes to take it back")
        return 0
    if options.action == "abort":
        return _finish_move(
            options,
            lambda mover, store: mover.abort_move(
                store, options.service, options.operator
            ),
        )
    return _finish_move(options, lambda mover, store: mover.read_moves(store))


def _new_move(options):
    from sesamearch.move import MoveRecord, MoveState

    now_s = time.time()
    return MoveRecord(
        secrets.token_hex(6),
        options.service,
        options.old_version,
        options.new_version,
        options.operator,
        MoveState.PROPOSED,
        0.0,
        now_s,
        now_s + options.deadline_in_s,
        options.if_thin,
    )


def _finish_move(options, act):
    async def work(reactor):
        from sesamearch import mover
        from sesamearch.etcd import EtcdStore

        return await act(mover, EtcdStore(reactor, StoreSettings(options.store)))

    result = _run(work)
    if result.is_err():
        return _show_problem(result.unwrap_err(), options.format)
    records = result.unwrap()
    records = records if isinstance(records, list) else [records]
    if options.format == "json":
        print(msgspec.json.encode(records).decode())
    for record in records if options.format == "text" else ():
        print(record.show())
    return 0


def _add_status(commands):
    parser = _add(
        commands,
        "status",
        _run_status,
        "Show what routers have in force and how they are.",
        "sesamearch status 127.0.0.1:8201 127.0.0.1:8202",
    )
    parser.add_argument("addresses", nargs="+", metavar="IP:PORT")
    _add_format(parser)


class _StatusReport(msgspec.Struct):
    address: str
    reachable: bool
    status: msgspec.Raw = msgspec.Raw(b"null")


def _run_status(options):
    async def work(reactor):
        from sesamearch.http import make_http_client

        http = make_http_client(reactor)
        asked = [_ask_status(http, address) for address in options.addresses]
        return await gatherResults([Deferred.fromCoroutine(one) for one in asked])

    reports = _run(work)
    if options.format == "json":
        print(msgspec.json.encode(reports).decode())
    else:
        for report in reports:
            print(_status_line(report))
    is_complete = all(report.reachable for report in reports)
    return 0 if is_complete else Problem(ErrorKind.UNREACHABLE).answer.exit_code


async def _ask_status(http, address):
    try:
        response = await http.get(f"http://{address}/status", timeout=2)
        return _StatusReport(address, True, msgspec.Raw(await response.content()))
    except Exception:
        # Whatever the transport raises, the router cannot be reached.
        return _StatusReport(address, False)


def _status_line(report):
    from sesamearch.operators_port import RouterStatus

    if not report.reachable:
        return f"{report.address}  unreachable"
    status = msgspec.json.decode(report.status, type=RouterStatus)
    state = "draining" if status.draining else "serving"
    store = "current" if status.store_is_current else "unreachable"
    return (
        f"{report.address}  {status.name}  {status.data_centre}  {state}"
        f"  revision {status.configuration_revision}  store {store}"
        f"  in flight {status.in_flight}  endpoints {status.endpoints_live}"
        f" live, {status.endpoints_leaving} leaving  members {len(status.members)}"
    )


def _add_ask(commands):
    parser = _add(
        commands,
        "ask",
        _run_ask,
        "Ask for an answer as a caller; goes on by cursor after a loss.",
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
    _add_format(parser)


def _run_ask(options):
    key = _read_api_key(options.api_key_file)
    if key.is_err():
        return _show_problem(key.unwrap_err(), options.format)

    def show(text, answer):
        print(text, end="", flush=True)

    async def work(reactor):
        from sesamearch.client import Asker

        on_token = show if options.format == "text" else None
        asker = Asker(reactor, options.addresses, key.unwrap(), on_token)
        messages = [{"role": "user", "content": options.text}]
        return await asker.ask(
            options.model, messages, options.max_tokens, options.seed
        )

    result = _run(work)
    if result.is_err():
        return _show_problem(result.unwrap_err(), options.format)
    answer = result.unwrap()
    print(msgspec.json.encode(answer).decode() if options.format == "json" else "")
    return 0


def _read_api_key(path):

    if path is None:
        key = os.environ.get("SESAMEARCH_API_KEY")
        missing = Problem(ErrorKind.BAD_REQUEST, "set SESAMEARCH_API_KEY")
        return Ok(key) if key else Err(missing)
    try:
        with open(path, encoding="utf-8") as file:
            return Ok(file.read().strip())
    except OSError as error:
        return Err(Problem(ErrorKind.BAD_REQUEST, str(error)))


def _add_keys(commands):
    parser = _add(
        commands,
        "keys",
        _run_keys,
        "Make new secrets.",
        "sesamearch keys new peer --out peer-keys.yaml",
    )
    parser.add_argument("action", choices=("new",))
    parser.add_argument("what", choices=("cursor", "peer", "api"))
    parser.add_argument("--out", metavar="FILE", help="for cursor and peer keys")


def _run_keys(options):
    from sesamearch import keys

    if options.what == "api":
        key, digest = keys.new_api_key()
        print(f"key: {key}\nkey_sha256: {digest}")
        return 0
    if not options.out:
        return _show_problem(Problem(ErrorKind.BAD_REQUEST, "--out is required"))
    make = keys.new_peer_keys if options.what == "peer" else keys.new_cursor_key
    made = make(options.out)
    if made.is_err():
        return _show_faults(made.unwrap_err())
    print(f"wrote {options.out}")
    return 0
