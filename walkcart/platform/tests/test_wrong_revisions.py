"""One wrong revision in a reply of the store doesn't end the updates of a copy."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec
import pytest
import trio

from walkcart.bench.harness import run_mocked
from walkcart.platform.tests.platformworld import make_route, open_platform
from walkcart.platform.tests.storestandin import PlatformStoreStandin
from walkcart.wire.http import HttpReply

HIGHEST = 2**63 - 1
#: Seconds in which a change is in force, with a watch that has to be repeated.
CHANGE_SECONDS = 5


def raise_revision(content: dict[str, Any]) -> bool:
    """Set the revision of the store in a reply."""
    content["asOf"] = HIGHEST
    return True


def raise_item(content: dict[str, Any]) -> bool:
    """Set the revision of the first item in a reply; return whether there is one."""
    rows = content.get("events") or content.get("items") or []
    for row in rows[:1]:
        row["revision"] = HIGHEST
    return bool(rows)


def spoil_one_reply(
    monkeypatch: pytest.MonkeyPatch, call: str, change: Callable[[dict], bool]
) -> list[str]:
    """Change one reply about the configuration; return the targets it was sent to."""
    spoiled: list[str] = []
    handle = PlatformStoreStandin.handle

    async def spoil(store, request):
        reply = await handle(store, request)
        if spoiled or f"{call}?" not in request.target or "op%2F" not in request.target:
            return reply
        content = msgspec.json.decode(reply.body)
        if change(content):
            spoiled.append(request.target)
        return HttpReply(reply.status, reply.headers, msgspec.json.encode(content))

    monkeypatch.setattr(PlatformStoreStandin, "handle", spoil)
    return spoiled


@pytest.mark.parametrize("call", ["kv-range", "kv-watch"])
@pytest.mark.parametrize("change", [raise_revision, raise_item])
def test_one_wrong_revision_does_not_end_the_updates_of_a_copy(
    monkeypatch, call, change
):
    """The copy went on from the highest revision, after which nothing ever came."""
    spoiled = spoil_one_reply(monkeypatch, call, change)

    async def run():
        async with open_platform() as world:
            await world.start_leaf("a1", "a")
            world.configure(make_route("r", "/r/", backend="a"))
            await world.start_instance()
            await world.wait_ready()
            await trio.sleep(5)
            for number in range(3):
                world.configure(make_route("r", f"/r{number}/", backend="a"))
                await trio.sleep(CHANGE_SECONDS)
            assert len(spoiled) == 1
            assert (await world.ask("/r2/1")).status == 200
            assert "store_bad_reply" in world.log.getvalue()

    run_mocked(run)
