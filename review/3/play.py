"""A version that was reverted gets requests again with the next order."""

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from harness import CannotRunError, configuration, main, route  # noqa: E402

KEY = "k1"
PER_S = 160
DURATION_S = 20
ROLLBACK_S = 5.0
BAD_ANSWERS = 50
EXPOSURE_SHARE = 0.1
EXPOSURE_SLACK = 50
# The workers of a reverted version drain so long after it, and then serve for
# `drain-ms` and a little longer.
DRAINS_AFTER_S = 7.0
DRAIN_S = 2.5
SOUND_S = 0.015
SLOW_S = 0.09
PATHS = ["/booking/"]


async def state_of(case, service, wanted, for_s):
    """Wait until the system has written a state; return whether it has."""
    until_s = time.monotonic() + for_s
    while time.monotonic() < until_s:
        status = case.store.value(f"status/rollout/{service}")
        if status and status["state"] == wanted:
            return True
        await asyncio.sleep(0.02)
    return False


async def take_away(case, workers):
    """Drain the workers of a reverted version, as the platform does."""
    await asyncio.sleep(DRAINS_AFTER_S)
    for worker in workers:
        worker.drain()
    case.record.write("drain-reverted")
    await asyncio.sleep(DRAIN_S)
    for worker in workers:
        case.store.remove(f"servers/{worker.name}")
        worker.crash()


def requests_too_late(case, bad, answers):
    """Return the requests that the bad version got after the rollback's time."""
    sent_s = {each.attempt: each.sent_s for each in answers}
    runs = sorted((r["at"], r["attempt"]) for w in bad for r in w.runs)
    if len(runs) < BAD_ANSWERS:
        return []
    limit_s = runs[BAD_ANSWERS - 1][0] + SLOW_S + ROLLBACK_S
    return [at for at, attempt in runs if sent_s[attempt] > limit_s]


async def play(case):
    """Return whether the bad version got more than the rule allows."""
    await case.start_store()
    routes = [route("booking", "/booking/", "desk", "unsafe", 1)]
    case.store.put("op/config", configuration(3, routes, ["desk"], [KEY]))
    for number in (1, 2, 3):
        await case.start_worker(f"i-v1-{number}", "desk", version="v1")
    await case.start_routers(2)
    await asyncio.sleep(1.5)
    traffic = asyncio.ensure_future(case.traffic(PATHS, KEY, PER_S, 40.0, "POST"))
    await asyncio.sleep(3.0)
    bad = [
        await case.start_worker(f"i-v2-{n}", "desk", version="v2") for n in (1, 2, 3)
    ]
    for worker in bad:
        worker.work_s = SLOW_S
    await asyncio.sleep(1.0)
    ordered_s = case.record.now_s
    order = {"service": "desk", "target": "v2", "duration-s": DURATION_S}
    case.store.put("op/rollout/desk", order)
    if not await state_of(case, "desk", "reverted", DURATION_S + 2.0):
        raise CannotRunError("the bad version was not reverted")
    case.record.write("reverted")
    reverted_runs = sum(len(worker.runs) for worker in bad)
    taking = asyncio.ensure_future(take_away(case, bad))
    third = [
        await case.start_worker(f"i-v3-{n}", "desk", version="v3") for n in (1, 2, 3)
    ]
    await asyncio.sleep(0.5)
    if case.is_disrupted:
        order = {"service": "desk", "target": "v3", "duration-s": DURATION_S}
        case.store.put("op/rollout/desk", order)
    answers = await traffic
    await taking
    until_s = ordered_s + DURATION_S
    in_window = [each for each in answers if ordered_s <= each.sent_s <= until_s]
    names = {each.attempt for each in in_window}
    to_bad = sum(r["attempt"] in names for w in bad for r in w.runs)
    allowed = EXPOSURE_SHARE * len(in_window) + EXPOSURE_SLACK
    late = requests_too_late(case, bad, answers)
    all_bad = sum(len(worker.runs) for worker in bad)
    print(
        f"v2: {reverted_runs} requests until it was reverted, {all_bad} in all; "
        f"{to_bad} of {len(in_window)} from its order to its deadline, allowed are "
        f"{allowed:.0f}; {len(late)} sent too late after its {BAD_ANSWERS}th bad answer"
    )
    print(
        "v3:", sum(len(w.runs) for w in third), case.store.value("status/rollout/desk")
    )
    case.record.write(
        "verdict", to_bad=to_bad, allowed=allowed, late=len(late), all_bad=all_bad
    )
    return to_bad > allowed or bool(late)


if __name__ == "__main__":
    sys.exit(main(play, FOLDER))
