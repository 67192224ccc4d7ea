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
#: Seconds for which the leaf serves on after its entry has gone.
SERVES_ON_S = 10.0
#: The rule: `drainMs`, in seconds.
DRAIN_S = 3.0


async def case(fleet: Fleet) -> bool:
    """Return whether the leaf got no request later than `drainMs` after it was gone."""
    await fleet.start(INSTANCES, LEAFS)
    fleet.configure([route("bay-status", "/bays/", backend="bay-monitor")])
    await fleet.run_instances()
    await asyncio.sleep(5.0)
    cuts = asyncio.create_task(cut_watches(fleet)) if fleet.trouble else None
    await asyncio.sleep(ENTRY_GOES_AT_S)
    leaf = fleet.leafs[LEAVING]
    leaf.leave()
    gone_at = time.monotonic()
    fleet.record(f"store: the entry of {LEAVING} is gone")
    while time.monotonic() < gone_at + SERVES_ON_S:
        for instance in fleet.instances.values():
            await fleet.ask(instance, "/bays/17")
        await asyncio.sleep(0.05)
    if cuts is not None:
        await cuts
    late = [at - gone_at for at, _ in leaf.arrived if at > gone_at + DRAIN_S]
    span = f", from {late[0]:.1f} to {late[-1]:.1f} s after" if late else ""
    fleet.record(f"requests that reached {LEAVING} over {DRAIN_S} s after it was gone: {len(late)}{span}")
    return not late


async def cut_watches(fleet: Fleet) -> None:
    """Cut all waiting watches a few times."""
    for _ in range(CUTS):
        fleet.store.cut_waiting_watches()
        await asyncio.sleep(CUT_INTERVAL_S)


run_case(FOLDER, case)
