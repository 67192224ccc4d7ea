"""What follows an applied change: the conflict told, or the wait for its force."""

from __future__ import annotations

from dataclasses import replace

import trio

from walkcart.cli.clients import fetch_json
from walkcart.cli.exits import CommandFailed
from walkcart.cli.settings import ToolSettings
from walkcart.intent.applying import ChangeConflict
from walkcart.kernel.settings import parse_host_port

WAIT_INTERVAL = 0.1
#: Instances that are asked at once for their revision.
ASKED_AT_ONCE = 32


def describe_race(raced: ChangeConflict) -> list[str]:
    """Return lines that show both sides of a conflict."""
    change = raced.change
    lines = [
        f"conflict: revision {change.revision} by {change.author} at {change.time} "
        "changed the same objects first; nothing was written"
    ]
    for side, found in (("yours", raced.mine), ("theirs", raced.theirs)):
        for difference in found:
            fields = "; ".join(
                f"{name}: {old} -> {new}" for name, old, new in difference.fields
            )
            lines.append(
                f"{side}: {difference.object} {difference.kind.value} {fields}"
            )
    return lines


async def wait_in_force(
    settings: ToolSettings, revision: int, limit: float
) -> list[str]:
    """Wait until every live instance has `revision`; return those that haven't.

    Each instance is asked itself: what one hears of another's revision is late.
    """
    behind = ["the instance that was asked"]
    with trio.move_on_after(limit):
        while True:
            status = await fetch_json(settings, "/v1/status")
            live = [item for item in status["members"] if item["state"] == "live"]
            behind = await find_behind(settings, live, revision)
            if not behind:
                return []
            await trio.sleep(WAIT_INTERVAL)
    return behind


async def find_behind(
    settings: ToolSettings, members: list[dict], revision: int
) -> list[str]:
    """Return the names of the members that don't have `revision` yet."""
    behind: list[str] = []
    limit = trio.CapacityLimiter(ASKED_AT_ONCE)

    async def ask(member: dict) -> None:
        async with limit:
            asked = replace(settings, instance=parse_host_port(member["address"]))
            try:
                found = await fetch_json(asked, "/v1/revision")
            except CommandFailed:
                found = {"revision": -1}
            if found["revision"] < revision:
                behind.append(member["name"])

    async with trio.open_nursery() as nursery:
        for member in members:
            nursery.start_soon(ask, member)
    return sorted(behind)
