"""Envelopes between instances that come twice, late, garbled, or from strangers.

python -m walkcart.platform.tests.garbledlinks --seed 1 --seeds 50
"""

from __future__ import annotations

import argparse
from random import Random
from typing import Any

import msgspec
import trio

from walkcart.bench.harness import run_mocked
from walkcart.platform.tests.crashingworld import CrashingWorld, make_sharded_route
from walkcart.platform.tests.platformworld import PlatformWorld, open_platform
from walkcart.wire.codec import decode_envelope, encode_envelope
from walkcart.wire.http import ExchangeFailed

PLACES = ("north-a", "south-a", "east-a")
INSTANCES = ("one", "two", "three")
SHARDS = 9
#: Leafs of a shard that may run a question, by the route.
MOST_ATTEMPTS = 2
SECONDS = 6.0
#: Seconds between two questions.
GAP = 0.02
#: Shares of the envelopes that come twice, that are garbled, and that come again under
#: the name of another instance.
TWICE, GARBLED, FOREIGN = 0.15, 0.05, 0.05
#: Longest delay of what comes again, in seconds.
LATEST = 0.5


class Spoiler:
    """Spoils envelopes on their way.

    Args:
        world: whose network carries them.
        random: decides which.
    """

    def __init__(self, world: PlatformWorld, random: Random) -> None:
        self._random = random
        self._world = world
        self._deliver = world.network.deliver
        self.spoiled = 0
        world.network.deliver = self.deliver  # type: ignore[method-assign]

    def deliver(self, site: str, address: Any, data: bytes, *left: float) -> None:
        """Bring an envelope on its way, spoiled or not, and perhaps more of it."""
        drawn = self._random.random()
        if drawn < GARBLED:
            self.spoiled += 1
            data = self._garble(data)
        elif drawn < GARBLED + TWICE:
            self._repeat(site, address, data)
        elif drawn < GARBLED + TWICE + FOREIGN:
            self._repeat(site, address, self._rename(data))
        self._deliver(site, address, data, *left)

    def _garble(self, data: bytes) -> bytes:
        spoiled = bytearray(data)
        for _ in range(self._random.randint(1, 4)):
            spoiled[self._random.randrange(len(spoiled))] = self._random.randrange(256)
        end = self._random.choice([len(spoiled), self._random.randrange(len(spoiled))])
        return bytes(spoiled[:end])

    def _rename(self, data: bytes) -> bytes:
        name = self._random.choice([*INSTANCES, "nobody"])
        return encode_envelope(
            msgspec.structs.replace(decode_envelope(data), sender=name)
        )

    def _repeat(self, site: str, address: Any, data: bytes) -> None:
        self.spoiled += 1
        delay = self._random.uniform(0.0, LATEST)

        async def bring() -> None:
            await trio.sleep(delay)
            self._deliver(site, address, data)

        self._world.nursery.start_soon(bring)


def run_garbled_links(seed: int) -> dict[str, int]:
    """Ask through spoiled links; return what is to be checked, by name."""
    return run_mocked(_play, seed)


async def _play(seed: int) -> dict[str, int]:
    async with open_platform() as world:
        leafs = CrashingWorld(world)
        names = await leafs.start_shards(SHARDS, places=PLACES)
        world.configure(make_sharded_route(names, maxAttempts=MOST_ATTEMPTS))
        for name, place in zip(INSTANCES, PLACES, strict=True):
            await world.start_instance(name, place)
            await world.wait_ready(name)
        await trio.sleep(3)
        spoiler = Spoiler(world, Random(seed))
        counts = {"answered": 0, "failed": 0, "wrong": 0, "unanswered": 0}

        async def ask(number: int) -> None:
            target = f"/all/{number}"
            try:
                reply = await world.ask(target, INSTANCES[number % len(INSTANCES)])
            except (OSError, ExchangeFailed):
                counts["unanswered"] += 1
                return
            if reply.status != 200:
                counts["failed"] += 1
                return
            counts["answered"] += 1
            stamps = (reply.header(b"x-part-stamps") or "").split(", ")
            ids = {stamp.rsplit("-request-", 1)[-1] for stamp in stamps}
            if len(ids) != 1 or len(set(stamps)) != len(stamps):
                counts["wrong"] += 1

        async with trio.open_nursery() as nursery:
            for number in range(int(SECONDS / GAP)):
                nursery.start_soon(ask, number)
                await trio.sleep(GAP)
        counts["spoiled"] = spoiler.spoiled
        counts["over_attempts"] = _count_over_attempts(world, leafs)
        return counts


def _count_over_attempts(world: PlatformWorld, leafs: CrashingWorld) -> int:
    """Return the questions that ran on more leafs of a shard than allowed."""
    ran: dict[tuple[str, str], int] = {}
    for item in leafs.arrivals:
        key = (item.request, world.entries[item.leaf]["backend"])
        ran[key] = ran.get(key, 0) + 1
    return sum(1 for count in ran.values() if count > MOST_ATTEMPTS)


def find_violations(counts: dict[str, int]) -> list[str]:
    """Return what doesn't hold."""
    return [
        f"{name}: {counts[name]}"
        for name in ("wrong", "unanswered", "over_attempts")
        if counts[name]
    ]


def main() -> None:
    """Play several seeds and print what each came to."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=10)
    options = parser.parse_args()
    for seed in range(options.seed, options.seed + options.seeds):
        counts = run_garbled_links(seed)
        print(seed, find_violations(counts) or "held", counts, flush=True)


if __name__ == "__main__":
    main()
