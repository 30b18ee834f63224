"""Operator commands: check, publish, history, move and status."""

import getpass
import secrets
import time

import msgspec
from twisted.internet.defer import Deferred, gatherResults

from sesamearch.base.errors import ErrorKind, Problem
from sesamearch.command.terminal import (
    add_command,
    add_format,
    run_reactor,
    show_faults,
    show_problem,
)
from sesamearch.configuration.configuration import collect
from sesamearch.configuration.settings import StoreSettings, load_settings
from sesamearch.platform.deploy import check_deploy
from sesamearch.platform.settings import load_platform_settings

__all__ = ["add_check", "add_history", "add_move", "add_publish", "add_status"]


def add_check(commands):
    """Add the ``check`` command to the sub-parsers `commands`."""
    parser = add_command(
        commands,
        "check",
        _run_check,
        "Validate the service files below a folder, a router's settings file, or the "
        "files from which the platform runs it.",
        "sesamearch check services/",
    )
    parser.add_argument("folder", nargs="?", metavar="DIR")
    parser.add_argument("--settings", metavar="FILE")
    parser.add_argument(
        "--platform-settings", metavar="FILE", help="settings written by the platform"
    )
    parser.add_argument(
        "--deploy", metavar="FILE", help="deployment file, such as deploy/system.toml"
    )
    add_format(parser)


def _run_check(options):
    if options.settings:
        checked = load_settings(options.settings)
    elif options.platform_settings:
        checked = load_platform_settings(options.platform_settings)
    elif options.deploy:
        checked = check_deploy(options.deploy)
    else:
        checked = collect(options.folder or ".")
    if checked.is_err():
        return show_faults(checked.unwrap_err(), options.format)
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


def add_publish(commands):
    """Add the ``publish`` command to the sub-parsers `commands`."""
    parser = add_command(
        commands,
        "publish",
        _run_publish,
        "Publish the service files below a folder as the new configuration.",
        "sesamearch publish services/ --store 127.0.0.1:2379",
    )
    parser.add_argument("folder", metavar="DIR")
    parser.add_argument("--operator", default=getpass.getuser(), metavar="NAME")
    parser.add_argument(
        "--expect",
        type=int,
        metavar="REVISION",
        help="refuse unless this revision is the published one",
    )
    parser.add_argument(
        "--dry-run",
        action="store_true",
        help="print the differences without publishing",
    )
    _add_store(parser)
    add_format(parser)


def _run_publish(options):
    collected = collect(options.folder)
    if collected.is_err():
        return show_faults(collected.unwrap_err(), options.format)
    if options.dry_run:
        return _show_difference(options, collected.unwrap())

    async def work(reactor):
        from sesamearch.configuration.publisher import publish
        from sesamearch.store.etcd import EtcdStore

        store = EtcdStore(reactor, _store_settings(options))
        configuration = collected.unwrap()
        return await publish(store, configuration, options.operator, options.expect)

    result = run_reactor(work)
    if result.is_err():
        return show_problem(result.unwrap_err(), options.format)
    revision = result.unwrap().revision
    is_json = options.format == "json"
    print(f'{{"revision":{revision}}}' if is_json else f"revision {revision} accepted")
    return 0


def _show_difference(options, configuration):
    async def work(reactor):
        from sesamearch.configuration.publisher import read_configuration
        from sesamearch.store.etcd import EtcdStore

        return await read_configuration(EtcdStore(reactor, _store_settings(options)))

    result = run_reactor(work)
    if result.is_err():
        return show_problem(result.unwrap_err(), options.format)
    from sesamearch.configuration.publisher import diff_configurations

    lines = diff_configurations(result.unwrap().configuration, configuration)
    if options.format == "json":
        print(msgspec.json.encode(lines).decode())
    else:
        print("\n".join(lines) or "no differences")
    return 0


def add_history(commands):
    """Add the ``history`` command to the sub-parsers `commands`."""
    parser = add_command(
        commands,
        "history",
        _run_history,
        "List the published revisions and their operators, newest last.",
        "sesamearch history --store 127.0.0.1:2379",
    )
    _add_store(parser)
    add_format(parser)


def _run_history(options):
    async def work(reactor):
        from sesamearch.configuration.publisher import read_history
        from sesamearch.store.etcd import EtcdStore

        return await read_history(EtcdStore(reactor, _store_settings(options)))

    result = run_reactor(work)
    if result.is_err():
        return show_problem(result.unwrap_err(), options.format)
    if options.format == "json":
        print(msgspec.json.encode(result.unwrap()).decode())
        return 0
    for entry in result.unwrap():
        at = time.strftime("%Y-%m-%dT%H:%M:%SZ", time.gmtime(entry.published_s))
        services = " ".join(entry.services)
        print(f"{entry.revision}  {at}  {entry.operator}  {services}")
    return 0


def _store_settings(options):
    return StoreSettings(options.store)


def add_move(commands):
    """Add the ``move`` command to the sub-parsers `commands`."""
    parser = add_command(
        commands,
        "move",
        _run_move,
        "Move a service to another version, show moves, or abort one.",
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
        help="what to do if there is too little evidence at the deadline",
    )
    parser.add_argument("--operator", default=getpass.getuser(), metavar="NAME")
    parser.add_argument(
        "--yes", action="store_true", help="execute; by default only print the plan"
    )
    _add_store(parser)
    add_format(parser)


def _run_move(options):
    missing = _missing_options(options)
    if missing:
        detail = "missing: " + ", ".join(missing)
        return show_problem(Problem(ErrorKind.BAD_REQUEST, detail), options.format)
    if options.action == "status":
        return _access_moves(
            options, lambda move_controller, store: move_controller.read_moves(store)
        )
    run = _start_move if options.action == "start" else _abort_move
    return run(options)


def _missing_options(options):
    needed = {
        "start": ("service", "old_version", "new_version", "deadline_in_s"),
        "abort": ("service",),
        "status": (),
    }
    return [name for name in needed[options.action] if getattr(options, name) is None]


def _start_move(options):
    from sesamearch.rollout.move import plan_lines

    record = _new_move(options)
    if options.yes:
        return _access_moves(
            options,
            lambda move_controller, store: move_controller.start_move(store, record),
        )
    print("\n".join(plan_lines(record)))
    print("nothing was changed; add --yes to start the move")
    return 0


def _abort_move(options):
    if options.yes:
        return _access_moves(
            options,
            lambda move_controller, store: move_controller.abort_move(
                store, options.service, options.operator
            ),
        )
    print(f"all new requests of {options.service} would go back to the old version")
    print("nothing was changed; add --yes to abort the move")
    return 0


def _new_move(options):
    from sesamearch.rollout.move import MoveRecord, MoveState

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


def _access_moves(options, access):
    """Read or change moves of traffic between versions, and print their records.

    Parameters
    ----------
    options : argparse.Namespace
    access : callable
        Called with the module ``move_controller`` and the store; returns an awaitable
        of the ``Result``.
    """

    async def work(reactor):
        from sesamearch.rollout import move_controller
        from sesamearch.store.etcd import EtcdStore

        return await access(
            move_controller, EtcdStore(reactor, _store_settings(options))
        )

    result = run_reactor(work)
    if result.is_err():
        return show_problem(result.unwrap_err(), options.format)
    records = result.unwrap()
    records = records if isinstance(records, list) else [records]
    if options.format == "json":
        print(msgspec.json.encode(records).decode())
    for record in records if options.format == "text" else ():
        print(record.to_text())
    return 0


def add_status(commands):
    """Add the ``status`` command to the sub-parsers `commands`."""
    parser = add_command(
        commands,
        "status",
        _run_status,
        "Show the state of routers and the configuration they have in force.",
        "sesamearch status 127.0.0.1:8201 127.0.0.1:8202",
    )
    parser.add_argument("addresses", nargs="+", metavar="IP:PORT")
    add_format(parser)


class _StatusReport(msgspec.Struct):
    address: str
    reachable: bool
    status: msgspec.Raw = msgspec.Raw(b"null")


def _run_status(options):
    async def work(reactor):
        from sesamearch.base.http import make_http_client

        http = make_http_client(reactor)
        requests = [_get_status(http, address) for address in options.addresses]
        return await gatherResults([Deferred.fromCoroutine(r) for r in requests])

    reports = run_reactor(work)
    if options.format == "json":
        print(msgspec.json.encode(reports).decode())
    else:
        for report in reports:
            print(_status_line(report))
    is_complete = all(report.reachable for report in reports)
    return 0 if is_complete else Problem(ErrorKind.UNREACHABLE).answer.exit_code


async def _get_status(http, address):
    try:
        response = await http.get(f"http://{address}/status", timeout=2)
        return _StatusReport(address, True, msgspec.Raw(await response.content()))
    except Exception:
        # Any exception of the HTTP client means that the router is unreachable.
        return _StatusReport(address, False)


def _status_line(report):
    from sesamearch.daemon.operators_port import RouterStatus

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
