"""A router that was frozen takes a reused address for a restarted worker."""

import asyncio
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from harness import GROWN, configuration, main, route  # noqa: E402

KEY = "k1"
REUSE_AFTER_S = 2.0
# As on the sheet of the grown deployment.
DEADLINE_MS = 3125


async def play(case):
    """Return whether a worker ran a request of another service."""
    await case.start_store()
    case.store.put(
        "op/config",
        configuration(
            3,
            [
                route("booking", "/booking/", "desk", "unsafe", 1, DEADLINE_MS),
                route("archive", "/archive/", "archive"),
            ],
            ["desk", "archive"],
            [KEY],
        ),
    )
    first = await case.start_worker("i-desk-1", "desk")
    second = await case.start_worker("i-desk-2", "desk")
    await case.start_worker("i-archive-1", "archive")
    await case.start_routers(1, bounds=GROWN)
    router = case.routers[0]
    await case.traffic(["/booking/"], KEY, 20, 2.0, "POST")
    first.work_s = second.work_s = 0.2
    pending = [
        asyncio.ensure_future(
            case.ask(router, f"/booking/p{number}", KEY, DEADLINE_MS, "POST")
        )
        for number in range(8)
    ]
    await asyncio.sleep(0.08)
    if case.is_disrupted:
        case.record.write("freeze", router=router.name)
        router.signal(signal.SIGSTOP)
    await asyncio.sleep(0.3)
    if case.is_disrupted:
        first.crash()
    # An ordinary change of the list, while the router stands still.
    await asyncio.sleep(0.4)
    await case.start_worker("i-archive-2", "archive")
    await asyncio.sleep(REUSE_AFTER_S - 0.4 + 0.05)
    port = first.port if case.is_disrupted else None
    await case.start_worker("i-archive-3", "archive", port=port)
    first.work_s = second.work_s = 0.015
    late = [
        asyncio.ensure_future(
            case.ask(router, f"/booking/l{number}", KEY, DEADLINE_MS, "POST")
        )
        for number in range(6)
    ]
    await asyncio.sleep(0.2)
    if case.is_disrupted:
        case.record.write("thaw", router=router.name)
        router.signal(signal.SIGCONT)
    await case.traffic(["/booking/"], KEY, 60, 1.0, "POST")
    if case.is_disrupted:
        # Three heartbeats after its end.
        case.store.remove(f"servers/{first.name}")
    await case.traffic(["/booking/"], KEY, 20, 2.0, "POST")
    await asyncio.gather(*pending, *late)
    # No client asks the archive for anything.
    archive = [each for each in case.servers[1:] if each.service == "archive"]
    foreign = {each.name: len(each.runs) for each in archive if each.runs}
    print(
        f"bookings that workers of the archive ran: {sum(foreign.values())} {foreign}"
    )
    case.record.write("verdict", foreign=foreign)
    return bool(foreign)


if __name__ == "__main__":
    sys.exit(main(play, FOLDER))
