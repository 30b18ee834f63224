"""The ``where`` command: where a request would go now, without sending it."""

import urllib.parse

import msgspec
from result import Err, Ok

from sesamearch.base.errors import ErrorKind, Problem
from sesamearch.command.terminal import (
    add_command,
    add_format,
    run_reactor,
    show_problem,
)
from sesamearch.forwarding.where import WhereAnswer

__all__ = ["add_where", "where_url"]

TIMEOUT_S = 5.0
WHERE_PATH = "/where"
_decode = msgspec.json.Decoder(WhereAnswer).decode


def add_where(commands):
    """Add the ``where`` command to the sub-parsers `commands`."""
    parser = add_command(
        commands,
        "where",
        _run_where,
        "Show to which endpoint routers on the platform would send a request now, and "
        "why to no other one. Nothing is sent.",
        "sesamearch where 10.1.0.19:7200 --host ficu95.example --path /pufi791/1 "
        "--prompt 5c1e07a2:800,e4402b7d:8000 --output-tokens 140",
    )
    parser.add_argument(
        "routers", nargs="+", metavar="IP:PORT", help="metrics addresses of routers"
    )
    parser.add_argument("--host", required=True)
    parser.add_argument("--path", required=True)
    parser.add_argument("--organisation", default="", metavar="NAME")
    parser.add_argument("--prompt", default="", metavar="ID:TOKENS,...")
    parser.add_argument("--output-tokens", type=int, default=0, metavar="N")
    add_format(parser)


def where_url(router, options):
    """Return the URL at a router that answers for the command's options."""
    fields = {
        "host": options.host,
        "path": options.path,
        "organisation": options.organisation,
        "prompt": options.prompt,
        "output-tokens": options.output_tokens,
    }
    return f"http://{router}{WHERE_PATH}?{urllib.parse.urlencode(fields)}"


def _run_where(options):
    async def work(reactor):
        answers = []
        for router in options.routers:
            answer = await _ask(router, options)
            if answer.is_err():
                return answer
            answers.append(answer.unwrap())
        return Ok(answers)

    result = run_reactor(work)
    if result.is_err():
        return show_problem(result.unwrap_err(), options.format)
    answers = result.unwrap()
    if options.format == "json":
        print(msgspec.json.encode(answers).decode())
    else:
        print("\n\n".join(map(to_text, answers)))
    failed = any(answer.error for answer in answers)
    return Problem(ErrorKind.NO_ENDPOINT).answer.exit_code if failed else 0


async def _ask(router, options):
    import treq

    try:
        response = await treq.get(
            where_url(router, options), timeout=TIMEOUT_S, persistent=False
        )
        return Ok(_decode(await response.content()))
    except msgspec.DecodeError as error:
        detail = f"{router}: not the metrics address of a router: {error}"
        return Err(Problem(ErrorKind.BAD_REQUEST, detail))
    except Exception as error:
        return Err(Problem(ErrorKind.UNREACHABLE, f"{router}: {error!r}"))


def to_text(answer):
    """Return a :class:`WhereAnswer` as a table.

    Returns
    -------
    str
    """
    lines = [
        f"{answer.router}: route {answer.route or '-'}, service "
        f"{answer.service or '-'}, urgency {answer.urgency}, revision "
        f"{answer.revision}, news up to {answer.news_age_ms} ms old"
    ]
    if answer.error:
        lines.append(f"goes nowhere: {answer.error}")
    lines.extend(_row(each) for each in answer.endpoints)
    return "\n".join(lines)


def _row(view):
    cost = "-" if view.cost is None else f"{view.cost:.2f}"
    stated = ""
    if view.pace_ratio is not None:
        stated = f", states {view.occupancy_ratio} a slot at pace {view.pace_ratio}"
    if view.permit_wait_s is not None:
        stated += f", permit in {view.permit_wait_s} s"
    return (
        f"  {view.name} {view.data_centre} {view.version}: cost {cost}, running "
        f"{view.running}, {view.unread_tokens} tokens to read, {view.memory_tokens} in "
        f"memory, {view.saved_tokens} held{stated}: "
        f"{'; '.join(view.why_not) or 'chosen'}"
    )
