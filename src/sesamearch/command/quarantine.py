"""The ``quarantine`` command: show and lift quarantines."""

import msgspec

from sesamearch.command.terminal import (
    add_command,
    add_format,
    run_reactor,
    show_problem,
)

__all__ = ["add_quarantine"]


def add_quarantine(commands):
    """Add the ``quarantine`` command to the sub-parsers `commands`."""
    parser = add_command(
        commands,
        "quarantine",
        _run_quarantine,
        "Show the requests and parts of prompts that all routers refuse because "
        "endpoints end under them, or lift such a quarantine.",
        "sesamearch quarantine --store 10.200.1.7:8742 --lift 91bd3f06",
    )
    parser.add_argument(
        "--store", required=True, metavar="IP:PORT", help="the platform's store"
    )
    parser.add_argument(
        "--lift", nargs="+", metavar="PART", help="all parts of one quarantine"
    )
    add_format(parser)


def _run_quarantine(options):
    async def work(reactor):
        from sesamearch.platform.quarantine import lift_quarantine, read_quarantines
        from sesamearch.platform.store import PlatformStore

        store = PlatformStore(reactor, options.store)
        if options.lift:
            lifted = await lift_quarantine(store, options.lift)
            return lifted.map(lambda entry: [entry])
        return await read_quarantines(store)

    result = run_reactor(work)
    if result.is_err():
        return show_problem(result.unwrap_err(), options.format)
    entries = result.unwrap()
    if options.format == "json":
        print(msgspec.json.encode([_Row.of(entry) for entry in entries]).decode())
    for entry in entries if options.format == "text" else ():
        state = "active" if entry.is_active else "lifted"
        print(f"{' '.join(entry.parts)}  {state}  trials {entry.trials}")
    return 0


class _Row(msgspec.Struct):
    parts: list[str]
    is_active: bool
    trials: int

    @classmethod
    def of(cls, entry):
        return cls(entry.parts, entry.is_active, entry.trials)
