"""The store loses its answer to one watch, and that connection says nothing further."""

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins2.fleet import ZONES, CannotRun, Fleet, route, run_case  # noqa: E402

INSTANCES = 3
LEAFS = {f"bay-{zone[:3]}": ("bay-monitor", zone) for zone in ZONES}
#: Seconds until a machine counts as in touch again (`contactMs`), and then until a version
#: must be in force (`configApplyMs`), as if it had been acknowledged only then. The rest
#: is for the measurement.
CONTACT_S = 4.0
APPLY_S = 3.0
MARGIN_S = 0.5
#: Seconds in which requests that test the configuration are sent.
MEASURED_S = 10.0
INTERVAL_S = 0.25
#: A version may be late for one or two requests through the stand-ins' own slowness.
MAX_LATE = 2


async def case(fleet: Fleet) -> bool:
    """Return whether the version was in force in time."""
    await fleet.start(INSTANCES, LEAFS)
    first = route("bay-status", "/bays/", backend="bay-monitor")
    fleet.configure([first])
    await fleet.run_instances()
    await asyncio.sleep(5.0)
    if fleet.trouble:
        fleet.store.lose_watch_answers.add(("front-1", "op/"))
    fleet.configure([first, route("added", "/added/", backend="bay-monitor")])
    acknowledged_at = time.monotonic()
    await asyncio.sleep(CONTACT_S + APPLY_S + MARGIN_S)
    if fleet.trouble and not fleet.store.lost:
        raise CannotRun("no watch of front-1 was waiting")
    late = dict.fromkeys(fleet.instances, 0)
    end = acknowledged_at + CONTACT_S + APPLY_S + MARGIN_S + MEASURED_S
    while time.monotonic() < end:
        for name, instance in fleet.instances.items():
            _, answer = await fleet.ask(instance, "/added/x")
            late[name] += answer is not None and answer.status == 404
        await asyncio.sleep(INTERVAL_S)
    fleet.record(f"refused with 404 though the route is there: {late}")
    return max(late.values()) <= MAX_LATE


run_case(FOLDER, case)
