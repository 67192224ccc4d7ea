"""A leaf's entry goes while the store cuts the waiting watches three times."""

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins2.fleet import ZONES, Fleet, route, run_case  # noqa: E402

INSTANCES = 3
LEAFS = {f"bay-{zone[:3]}": ("bay-monitor", zone) for zone in ZONES}
LEAVING = "bay-hob"
#: Number of times that the waiting watches are cut, and the seconds between two of them.
CUTS = 3
CUT_INTERVAL_S = 2.0
#: Seconds from the first cut until the entry goes.
ENTRY_GOES_AT_S = 1.0
#: The rule: `drainMs`, in seconds. The leaf serves on for that and a little longer.
DRAIN_S = 3.0
SERVES_ON_S = DRAIN_S + 1.0
#: Seconds from the leaf's end until the traffic ends.
AFTER_S = 4.0
#: Mean seconds of work of `bay-status`, and seconds between two requests of all
#: requesters together.
WORK_S = 0.183
INTERVAL_S = 1 / 40


async def case(fleet: Fleet) -> bool:
    """Return whether the leaf got no request later than `drainMs` after it was gone."""
    await fleet.start(INSTANCES, LEAFS)
    for leaf in fleet.leafs.values():
        leaf.work_s = WORK_S
    once = {"routeType": "non_idempotent", "timeoutMs": 6000}
    fleet.configure([route("bay-status", "/bays/", backend="bay-monitor", **once)])
    await fleet.run_instances()
    answers: dict[str, int] = {}
    traffic = asyncio.create_task(run_requesters(fleet, answers))
    await asyncio.sleep(5.0)
    cuts = asyncio.create_task(cut_watches(fleet)) if fleet.trouble else None
    await asyncio.sleep(ENTRY_GOES_AT_S)
    leaf = fleet.leafs[LEAVING]
    leaf.leave()
    gone_at = time.monotonic()
    fleet.record(f"store: the entry of {LEAVING} is gone")
    await asyncio.sleep(SERVES_ON_S)
    leaf.crash()
    fleet.record(f"{LEAVING}: ends")
    await asyncio.sleep(AFTER_S)
    traffic.cancel()
    if cuts is not None:
        await cuts
    late = [at - gone_at for at, _ in leaf.arrived if at > gone_at + DRAIN_S]
    span = f", from {late[0]:.1f} to {late[-1]:.1f} s after" if late else ""
    fleet.record(f"requests that reached {LEAVING} over {DRAIN_S} s after it was gone: {len(late)}{span}")
    lost = [id for _, id in leaf.ran if answers.get(id, 200) != 200]
    fleet.record(f"requests, not to be repeated, that it ran and whose answer was lost: {lost}")
    return not late


async def run_requesters(fleet: Fleet, answers: dict[str, int]) -> None:
    """Send the requests of all requesters, each on a connection of its own."""
    instances = list(fleet.instances.values())
    async with asyncio.TaskGroup() as group:
        while True:
            group.create_task(ask(fleet, instances[fleet.requests % len(instances)], answers))
            await asyncio.sleep(INTERVAL_S)


async def ask(fleet: Fleet, instance, answers: dict[str, int]) -> None:
    """Send one request and note the status of its answer, 0 without one."""
    id, answer = await fleet.ask(instance, f"/bays/{fleet.requests}", method="POST", deadline_ms=6000)
    answers[id] = answer.status if answer else 0


async def cut_watches(fleet: Fleet) -> None:
    """Cut all waiting watches a few times."""
    for _ in range(CUTS):
        fleet.store.cut_waiting_watches()
        await asyncio.sleep(CUT_INTERVAL_S)


run_case(FOLDER, case)
