"""Describes conflicts of changes and waits until a change is in force."""

from __future__ import annotations

from dataclasses import replace

import trio

from walkcart.cli.clients import fetch_json
from walkcart.cli.exits import CommandFailed
from walkcart.cli.settings import ToolSettings
from walkcart.intent.applying import ChangeConflict
from walkcart.kernel.settings import parse_host_port

#: Seconds between two checks of the instances.
WAIT_INTERVAL = 0.1
#: Maximum number of instances asked concurrently for their revision.
MAX_CONCURRENT_REQUESTS = 32


def describe_conflict(conflict: ChangeConflict) -> list[str]:
    """Return lines that describe both sides of a conflict."""
    change = conflict.change
    lines = [
        f"conflict: revision {change.revision} by {change.author} at {change.time} "
        "changed the same objects first; nothing was written"
    ]
    for side, found in (("yours", conflict.mine), ("theirs", conflict.theirs)):
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
    """Wait until every live instance has `revision`; return those without it.

    Each instance is asked itself, as one learns of another's revision with a delay.

    Args:
        settings: settings of the tool.
        revision: revision to wait for.
        limit: maximum time to wait, in seconds.
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
    """Return the names of the instances that don't have `revision` yet."""
    behind: list[str] = []
    limit = trio.CapacityLimiter(MAX_CONCURRENT_REQUESTS)

    async def check(member: dict) -> None:
        async with limit:
            asked = replace(settings, instance=parse_host_port(member["address"]))
            try:
                reply = await fetch_json(asked, "/v1/revision")
            except CommandFailed:
                reply = {"revision": -1}
            if reply["revision"] < revision:
                behind.append(member["name"])

    async with trio.open_nursery() as nursery:
        for member in members:
            nursery.start_soon(check, member)
    return sorted(behind)
