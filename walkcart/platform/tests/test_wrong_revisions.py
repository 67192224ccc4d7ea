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
from walkcart.store.follower import WATCH_WAIT
from walkcart.wire.http import HttpReply

HIGHEST = 2**63 - 1
#: More changes than the test makes.
SOME_CHANGES = 50
#: Seconds in which a change is in force, with a watch that has to be repeated.
CHANGE_SECONDS = 5


def raise_revision(content: dict[str, Any]) -> bool:
    """Set the revision of the store in a reply."""
    content["asOf"] = HIGHEST
    return True


def raise_revision_a_little(content: dict[str, Any]) -> bool:
    """Set a revision that the store reaches after some more changes."""
    content["asOf"] += SOME_CHANGES
    return True


def raise_item_a_little(content: dict[str, Any]) -> bool:
    """Set a revision of an item that the store reaches after some more changes."""
    rows = content.get("events") or content.get("items") or []
    for row in rows[:1]:
        row["revision"] += SOME_CHANGES
    return bool(rows)


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
def test_changes_come_again_after_a_revision_that_is_a_little_too_high(
    monkeypatch, call
):
    """Until the store reached that revision, no change came."""
    spoiled = spoil_one_reply(monkeypatch, call, raise_revision_a_little)

    async def run():
        async with open_platform() as world:
            await world.start_leaf("a1", "a")
            world.configure(make_route("r", "/r/", backend="a"))
            await world.start_instance()
            await world.wait_ready()
            await trio.sleep(5)
            world.configure(make_route("r", "/r1/", backend="a"))
            await trio.sleep(WATCH_WAIT.total_seconds() + CHANGE_SECONDS)
            assert len(spoiled) == 1
            assert (await world.ask("/r1/1")).status == 200
            calls = len(world.store.calls)
            world.configure(make_route("r", "/r2/", backend="a"))
            await trio.sleep(CHANGE_SECONDS)
            assert (await world.ask("/r2/1")).status == 200
            assert len(world.store.calls) < calls + 10 * CHANGE_SECONDS
            assert "store_bad_reply" in world.log.getvalue()

    run_mocked(run)


@pytest.mark.parametrize("call", ["kv-range", "kv-watch"])
@pytest.mark.parametrize("change", [raise_revision, raise_item, raise_item_a_little])
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
