"""The ``explain`` command: trace one request through the logs of several routers."""

import contextlib
import re
import sys
from pathlib import Path

import msgspec

from sesamearch.base.record import RECORDS
from sesamearch.command.terminal import add_command, add_format

__all__ = ["Explanation", "LogEntry", "add_explain", "read_entries", "explain_request"]

# Changes in a router's state are shown from this long before the first log entry of the
# request.
CONTEXT_S = 10.0
_OBJECT = re.compile(rb"\{.*\}")
EXIT_BAD_INPUT = 2
EXIT_NOT_FOUND = 3


class LogEntry(msgspec.Struct, frozen=True):
    """One log entry.

    Parameters
    ----------
    at : float
        Unix time in seconds on the router's clock.
    node : str
        Name of the router.
    record : one of ``RECORDS``
    """

    at: float
    node: str
    record: object


class _Envelope(msgspec.Struct):
    at: float
    node: str
    record: msgspec.Raw


class Explanation(msgspec.Struct, frozen=True):
    """The log entries of a request, their context and a summary.

    Parameters
    ----------
    request : str
        Request ID.
    lines : list of LogEntry
        Entries of the request itself, in order of time.
    context : list of LogEntry
        Changes of the endpoints that the request was sent to, of the quarantines of
        parts of its prompt, the configuration, dependencies and rollouts, before and
        during the request, and the limits that were in force. Only from the router
        that logged the first entry of the request.
    cause : str
        One sentence about how the request ended and why.
    """

    request: str
    lines: list[LogEntry]
    context: list[LogEntry]
    cause: str


_decode_envelope = msgspec.json.Decoder(_Envelope).decode
_Union = RECORDS[0]
for _kind in RECORDS[1:]:
    _Union = _Union | _kind
_decode_record = msgspec.json.Decoder(_Union).decode


def read_entries(files):
    """Read log entries from files, and skip lines that contain no known record.

    Parameters
    ----------
    files : iterable of binary files
        Lines may have other text around the JSON object.

    Yields
    ------
    LogEntry
    """
    for file in files:
        for raw in file:
            found = _OBJECT.search(raw)
            if found is None:
                continue
            try:
                envelope = _decode_envelope(found.group(0))
                yield LogEntry(
                    envelope.at, envelope.node, _decode_record(envelope.record)
                )
            except msgspec.DecodeError:
                continue


def explain_request(request_id, entries):
    """Collect the log entries of one request and their context.

    Parameters
    ----------
    request_id : str
    entries : iterable of LogEntry

    Returns
    -------
    Explanation or None
        None if no entry contains the request ID.
    """
    entries = sorted(entries, key=lambda entry: entry.at)
    own = [x for x in entries if getattr(x.record, "request", None) == request_id]
    if not own:
        return None
    endpoints = {getattr(entry.record, "endpoint", "") for entry in own} - {""}
    endpoints |= {
        name for entry in own for name in getattr(entry.record, "limited", ())
    }
    parts = {part for entry in own for part in getattr(entry.record, "parts", ())}
    node, begin_s, end_s = own[0].node, own[0].at - CONTEXT_S, own[-1].at
    context = [
        entry
        for entry in entries
        if entry.node == node
        and begin_s <= entry.at <= end_s
        and getattr(entry.record, "request", None) is None
        and _is_about(entry.record, endpoints, parts)
    ]
    limits = _limits_in_force(entries, node, begin_s, endpoints)
    return Explanation(request_id, own, limits + context, _cause(own))


def _limits_in_force(entries, node, at_s, endpoints):
    """Return the entries of limits that some endpoints named before and still had."""
    latest = {}
    for entry in entries:
        is_limit = entry.record.__struct_config__.tag == "endpoint_limited"
        if is_limit and entry.node == node and entry.at < at_s:
            latest[entry.record.endpoint] = entry
    return [
        entry
        for name, entry in sorted(latest.items())
        if name in endpoints and entry.record.state != "ended"
    ]


_ENDPOINT_EVENTS = frozenset(
    (
        "endpoint_changed",
        "endpoint_leaving",
        "endpoint_limited",
        "endpoint_paused",
        "endpoint_suspected",
    )
)


def _is_about(record, endpoints, parts):
    event = record.__struct_config__.tag
    if event == "prompt_quarantine":
        return not parts.isdisjoint(record.parts)
    if event in _ENDPOINT_EVENTS:
        return record.endpoint in endpoints
    return event in ("configuration_in_force", "dependency", "rollout_changed")


def _cause(entries):
    """Return a sentence about the last log entry and the lost tries before it."""
    losses = [x.record for x in entries if x.record.__struct_config__.tag == "try_lost"]
    lost = {(loss.endpoint, loss.number) for loss in losses}
    previous = ", then ".join(
        f"{loss.cause} at {loss.endpoint} after {loss.after_ms} ms" for loss in losses
    )
    last = entries[-1].record
    event = last.__struct_config__.tag
    sent = [x.record for x in entries if x.record.__struct_config__.tag == "try_sent"]
    unanswered = [s.endpoint for s in sent if (s.endpoint, s.number) not in lost]
    kept = _silent_to_the_end(entries, lost)
    silent = _describe_unanswered(unanswered, getattr(last, "try_state", ""))
    if event == "request_refused":
        reason = (
            f"refused with {last.status} ({last.cause}: {last.detail or 'no detail'})"
        )
        if last.host:
            reason += (
                f": {last.host}{last.path} matched none of {last.routes} routes of "
                f"revision {last.revision}, in force for {last.in_force_ms} ms"
            )
        reason += silent
    elif event == "request_unread":
        reason = "it was not read before its connection closed"
    elif event == "request_ended" and last.outcome == "caller_left":
        heard = f"left during the answer {last.status}"
        reason = f"its caller {heard if last.status else 'heard nothing and left'}"
        if last.left_ms is not None:
            reason += f", {last.left_ms} ms before its deadline"
        reason += silent
    elif event == "request_ended":
        reason = f"{last.outcome} by {last.endpoint or 'this router'}, {last.status}"
    else:
        reason = "no final entry in these logs: its router stopped or was unreachable"
    if kept is not None:
        reason += f", {kept.endpoint} {kept.cause} and kept ({kept.obstacle})"
    return f"{reason}; before: {previous}" if previous else reason


def _silent_to_the_end(entries, lost):
    """Return the record of a silent try that was kept and did not answer again."""
    tag = "try_suspected"
    found = [x.record for x in entries if x.record.__struct_config__.tag == tag]
    if not found or found[-1].state != "kept":
        return None
    is_lost = (found[-1].endpoint, found[-1].number) in lost
    return None if is_lost else found[-1]


def _describe_unanswered(endpoints, try_state):
    """Return a clause about the endpoints whose answers did not end, or nothing."""
    if not endpoints:
        return ""
    names = " and ".join(endpoints)
    if try_state == "answering":
        return f", {names} was answering"
    return f", no answer from {names}" + (f" ({try_state})" if try_state else "")


def _format_entry(entry, begin_s):
    fields = msgspec.structs.asdict(entry.record)
    fields.pop("request", None)
    shown = " ".join(f"{name}={value}" for name, value in fields.items())
    event = entry.record.__struct_config__.tag
    return f"{(entry.at - begin_s) * 1000:9.0f} ms  {entry.node}  {event}  {shown}"


def add_explain(commands):
    """Add the ``explain`` command to the sub-parsers `commands`."""
    parser = add_command(
        commands,
        "explain",
        _run_explain,
        "Show the log entries of one request and explain how it ended.",
        "sesamearch explain 9c41d07be2a35f68 router-1.log router-2.log",
    )
    parser.add_argument("request", metavar="ID")
    parser.add_argument(
        "files",
        nargs="*",
        metavar="FILE",
        help="log files of routers; default: standard input",
    )
    add_format(parser)


def _run_explain(options):
    with contextlib.ExitStack() as stack:
        files = []
        for name in options.files:
            try:
                files.append(stack.enter_context(Path(name).open("rb")))
            except OSError as error:
                print(f"sesamearch: cannot read {name}: {error}", file=sys.stderr)
                return EXIT_BAD_INPUT
        entries = read_entries(files or [sys.stdin.buffer])
        explanation = explain_request(options.request, entries)
    if explanation is None:
        print(f"sesamearch: no log entry for {options.request}", file=sys.stderr)
        return EXIT_NOT_FOUND
    if options.format == "json":
        print(msgspec.json.encode(explanation).decode())
        return 0
    begin_s = explanation.lines[0].at
    print(f"request {explanation.request}")
    for entry in sorted(
        [*explanation.lines, *explanation.context], key=lambda each: each.at
    ):
        print(_format_entry(entry, begin_s))
    print(f"cause: {explanation.cause}")
    return 0
