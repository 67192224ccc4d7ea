"""The busy region moves during the day, and operators change one intent to follow.

The run records the load by region over time, and the time from a change until the
load follows it.
"""

from __future__ import annotations

from pathlib import Path
from random import Random

import trio

from walkcart.bench.caller import Caller
from walkcart.bench.experiments import make_estate, start_estate
from walkcart.bench.harness import run_mocked
from walkcart.bench.load import LoadGenerator, LoadPlan
from walkcart.bench.report import load_pyplot
from walkcart.bench.shapes import SWAPLINE_REGIONS
from walkcart.bench.world import World
from walkcart.standins.balancer import BalancerStandin
from walkcart.standins.memory import MemoryNetwork

#: Questions per second.
RATE = 30.0
#: Seconds for which each region is busy.
PHASE_TIME = 8.0
REGIONS = ("hobart", "launceston", "burnie")
#: Fraction of the final share at which the load has followed.
FOLLOWED_FRACTION = 0.9

Sample = tuple[float, dict[str, int]]


def run_sun(folder: str) -> int:
    """Run, print how fast the load followed, and plot it."""
    samples = run_mocked(_run)
    for number, region in enumerate(REGIONS):
        print(f"{region}: {describe_following(samples, number, region)}")
    path = Path(folder)
    path.mkdir(parents=True, exist_ok=True)
    plot_samples(path / "sun.png", samples)
    return 0


def describe_following(samples: list[Sample], number: int, region: str) -> str:
    """Return a region's share at the end of its phase, and when it had 0.9 of that."""
    phase = [
        item
        for item in samples
        if number * PHASE_TIME <= item[0] < (number + 1) * PHASE_TIME
    ]
    shares = [
        (at - number * PHASE_TIME, find_share(counts, region)) for at, counts in phase
    ]
    final = shares[-1][1]
    followed = next(
        (at for at, share in shares if share >= FOLLOWED_FRACTION * final), None
    )
    return f"share {final:.2f}, nine tenths of it after {followed:.1f} s"


def find_share(counts: dict[str, int], region: str) -> float:
    """Return the fraction of the leaf requests that went to a region."""
    total = sum(counts.values())
    return counts.get(region, 0) / total if total else 0.0


async def _run() -> list[Sample]:
    samples: list[Sample] = []
    shape = SWAPLINE_REGIONS
    async with trio.open_nursery() as nursery:
        world = World(nursery, 1, MemoryNetwork(shape.latency))
        await start_estate(world, shape, 'prefer = "region=hobart"\n')
        network = world.network("client")
        balancer = BalancerStandin(
            network, [item.address for item in world.instances.values()]
        )
        await nursery.start(balancer.watch)
        callers = {name: Caller(network, f"{name}-token") for name in shape.partners}
        plan = LoadPlan(
            shape.service, RATE, PHASE_TIME * len(REGIONS), 0.0, shape.partners
        )
        nursery.start_soon(_sample, world, samples)
        nursery.start_soon(_move_preference, world)
        await LoadGenerator(plan, balancer, callers, Random(1)).run()
        nursery.cancel_scope.cancel()
    return samples


async def _move_preference(world: World) -> None:
    for region in REGIONS[1:]:
        await trio.sleep(PHASE_TIME)
        text = make_estate(SWAPLINE_REGIONS, f'prefer = "region={region}"\n')
        await world.apply(text)


async def _sample(world: World, samples: list[Sample]) -> None:
    """Record the number of leaf requests by region twice per second."""
    start = trio.current_time()
    before: dict[str, int] = {}
    while True:
        await trio.sleep(0.5)
        totals: dict[str, int] = {}
        for item in world.leaves.values():
            region = item.leaf.spec.labels["region"]
            totals[region] = totals.get(region, 0) + item.leaf.requests
        counts = {region: totals[region] - before.get(region, 0) for region in totals}
        samples.append((trio.current_time() - start - 0.5, counts))
        before = totals


def plot_samples(path: Path, samples: list[Sample]) -> None:
    """Plot leaf requests by region over time."""
    pyplot = load_pyplot()
    figure, axis = pyplot.subplots(figsize=(9, 3.5))
    for region in REGIONS:
        axis.plot(
            [at for at, _ in samples],
            [counts.get(region, 0) * 2 for _, counts in samples],
            label=region,
        )
    axis.set(xlabel="s", ylabel="leaf requests/s", title="the busy region moves")
    axis.legend()
    figure.tight_layout()
    figure.savefig(path, dpi=80)
    pyplot.close(figure)
