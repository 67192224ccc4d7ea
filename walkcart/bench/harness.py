"""Test helpers shared by several subpackages: a small deployment, a mocked clock."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from contextlib import asynccontextmanager
from typing import Any

import trio
from trio.testing import MockClock

from walkcart.bench.caller import Caller
from walkcart.bench.world import World, make_partner, make_service
from walkcart.standins.memory import MemoryNetwork

ONE_SITE = [("north", "north-a")]
TOKENS = {"red": "red-token", "blue": "blue-token"}


class ManualClock:
    """A monotonic clock whose time, in seconds, is set by the test."""

    def __init__(self) -> None:
        self.time = 100.0

    def monotonic(self) -> float:
        """Return the time that the test has set."""
        return self.time


def run_mocked(action: Callable[..., Awaitable[Any]], *args: Any) -> Any:
    """Run an async function deterministically on a mocked clock."""
    trio._core._run._ALLOW_DETERMINISTIC_SCHEDULING = True
    trio._core._run._r.seed(0)
    return trio.run(action, *args, clock=MockClock(autojump_threshold=0))


@asynccontextmanager
async def open_estate(
    shards: int = 4,
    instances: int = 3,
    sites: list[tuple[str, str]] | None = None,
    intent: str = "deadline = 1.0\n",
    seed: int = 1,
    changes: dict[str, Any] | None = None,
    **details: Any,
):
    """Run a deployment with the services ``parts`` (sharded) and ``cards`` (writes)."""
    places = sites or ONE_SITE
    async with trio.open_nursery() as nursery:
        world = World(nursery, seed, MemoryNetwork(), changes)
        await world.start_platform()
        await world.start_group("parts", shards, 2, places, **details)
        await world.start_group("cards", 1, 3, places, slots=4)
        for number in range(instances):
            region, site = places[number % len(places)]
            await world.start_instance(f"instance-{number}", region, site)
        outcome = await world.apply(make_estate(shards, intent))
        await world.wait_in_force(outcome.revision)
        await trio.sleep(3)
        yield world
        nursery.cancel_scope.cancel()


def make_estate(shards: int, intent: str) -> str:
    """Return the configuration of the deployment as TOML."""
    text = "".join(make_partner(name, token) for name, token in TOKENS.items())
    text += make_service("parts", shards) + make_service("cards", 1, True)
    return f'{text}[[routing_intent]]\nname = "all"\nselector = ""\n{intent}'


def make_caller(world: World, partner: str = "red") -> Caller:
    """Return a caller with the credential of `partner`."""
    return Caller(world.network("client"), TOKENS[partner])
