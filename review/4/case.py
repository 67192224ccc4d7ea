"""Another writer stores an entry that can't be read under `servers/`."""

import asyncio
import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins2.fleet import ZONES, Fleet, route, run_case  # noqa: E402

INSTANCES = 3
SHARDS = [f"shard-{number}" for number in range(4)]
#: Seconds of traffic before the entry is stored, and after it.
BEFORE_S = 4.0
AFTER_S = 16.0
#: The rule Fault: processes end on their own three times, on a tenth of the machines in
#: use, at least two.
MAX_ENDS = 2
MAX_MACHINES = max(2, INSTANCES // 10) - 1
#: JSON that nests so deep that decoders give up; Python's own json module does as well.
DEPTH = 1500
UNREADABLE = b'{"backend": "shard-0", "notes": ' + b"[" * DEPTH + b"]" * DEPTH + b"}"


async def case(fleet: Fleet) -> bool:
    """Return whether the processes kept running."""
    leafs = {f"{shard}-{zone[:3]}": (shard, zone) for shard in SHARDS for zone in list(ZONES)[:2]}
    await fleet.start(INSTANCES, leafs)
    fleet.configure([route("all", "/all/", fanoutServices=SHARDS, topK=5, minCoverage=0.75)])
    await fleet.run_instances()
    served = await ask_for(fleet, BEFORE_S)
    fleet.record(f"before: served, sent = {served}")
    if fleet.trouble:
        fleet.store.put("servers/other-writer", UNREADABLE)
        fleet.record(f"other writer: servers/other-writer stored, {len(UNREADABLE)} bytes")
    served = await ask_for(fleet, AFTER_S)
    fleet.record(f"after: served, sent = {served}")
    ends = {name: len(instance.own_ends) for name, instance in fleet.instances.items()}
    fleet.record(f"processes that ended on their own: {ends}")
    return sum(count > MAX_ENDS for count in ends.values()) <= MAX_MACHINES


async def ask_for(fleet: Fleet, seconds: float) -> tuple[int, int]:
    """Send a request to each instance in turn; return how many were served, and sent."""
    served = sent = 0
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        for instance in fleet.instances.values():
            _, answer = await fleet.ask(instance, "/all/x", deadline_ms=1000)
            served += answer is not None and answer.status == 200
            sent += 1
        await asyncio.sleep(0.1)
    return served, sent


run_case(FOLDER, case)
