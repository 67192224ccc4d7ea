"""Runs instances while envelopes between them are repeated late, garbled or forged.

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

DATA_CENTRES = ("north-a", "south-a", "east-a")
INSTANCES = ("one", "two", "three")
SHARDS = 9
#: Maximum number of leaves of a shard that may run a request, as the route states.
MAX_ATTEMPTS = 2
#: Duration of a run, in seconds.
SECONDS = 6.0
#: Interval of requests, in seconds.
INTERVAL = 0.02
#: Fractions of the envelopes that are delivered twice, garbled, and delivered again
#: under the name of another instance.
DUPLICATED, GARBLED, FORGED = 0.15, 0.05, 0.05
#: Maximum delay of a repeated envelope, in seconds.
MAX_DELAY = 0.5


class FaultInjector:
    """Injects faults into the envelopes of a network.

    Args:
        world: the platform whose network is changed.
        random: decides which envelopes are affected.
    """

    def __init__(self, world: PlatformWorld, random: Random) -> None:
        self._random = random
        self._world = world
        self._deliver = world.network.deliver
        self.fault_count = 0
        world.network.deliver = self.deliver  # type: ignore[method-assign]

    def deliver(self, site: str, address: Any, data: bytes, *left: float) -> None:
        """Deliver an envelope, perhaps garbled, and perhaps a second copy of it."""
        draw = self._random.random()
        if draw < GARBLED:
            self.fault_count += 1
            data = self._garble(data)
        elif draw < GARBLED + DUPLICATED:
            self._repeat(site, address, data)
        elif draw < GARBLED + DUPLICATED + FORGED:
            self._repeat(site, address, self._forge_sender(data))
        self._deliver(site, address, data, *left)

    def _garble(self, data: bytes) -> bytes:
        garbled = bytearray(data)
        for _ in range(self._random.randint(1, 4)):
            garbled[self._random.randrange(len(garbled))] = self._random.randrange(256)
        end = self._random.choice([len(garbled), self._random.randrange(len(garbled))])
        return bytes(garbled[:end])

    def _forge_sender(self, data: bytes) -> bytes:
        name = self._random.choice([*INSTANCES, "nobody"])
        return encode_envelope(
            msgspec.structs.replace(decode_envelope(data), sender=name)
        )

    def _repeat(self, site: str, address: Any, data: bytes) -> None:
        self.fault_count += 1
        delay = self._random.uniform(0.0, MAX_DELAY)

        async def deliver_later() -> None:
            await trio.sleep(delay)
            self._deliver(site, address, data)

        self._world.nursery.start_soon(deliver_later)


def run_garbled_links(seed: int) -> dict[str, int]:
    """Send requests over faulty links; return the counts to check, by name."""
    return run_mocked(_run, seed)


async def _run(seed: int) -> dict[str, int]:
    async with open_platform() as world:
        leafs = CrashingWorld(world)
        names = await leafs.start_shards(SHARDS, places=DATA_CENTRES)
        world.configure(make_sharded_route(names, maxAttempts=MAX_ATTEMPTS))
        for name, place in zip(INSTANCES, DATA_CENTRES, strict=True):
            await world.start_instance(name, place)
            await world.wait_ready(name)
        await trio.sleep(3)
        injector = FaultInjector(world, Random(seed))
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
            for number in range(int(SECONDS / INTERVAL)):
                nursery.start_soon(ask, number)
                await trio.sleep(INTERVAL)
        counts["spoiled"] = injector.fault_count
        counts["over_attempts"] = _count_over_attempts(world, leafs)
        return counts


def _count_over_attempts(world: PlatformWorld, leafs: CrashingWorld) -> int:
    """Return the number of requests that ran on more leaves of a shard than allowed."""
    ran: dict[tuple[str, str], int] = {}
    for item in leafs.arrivals:
        key = (item.request, world.entries[item.leaf]["backend"])
        ran[key] = ran.get(key, 0) + 1
    return sum(1 for count in ran.values() if count > MAX_ATTEMPTS)


def find_violations(counts: dict[str, int]) -> list[str]:
    """Return the counts that should be zero and aren't."""
    return [
        f"{name}: {counts[name]}"
        for name in ("wrong", "unanswered", "over_attempts")
        if counts[name]
    ]


def main() -> None:
    """Run several seeds and print the result of each."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--seeds", type=int, default=10)
    options = parser.parse_args()
    for seed in range(options.seed, options.seed + options.seeds):
        counts = run_garbled_links(seed)
        print(seed, find_violations(counts) or "held", counts, flush=True)


if __name__ == "__main__":
    main()
