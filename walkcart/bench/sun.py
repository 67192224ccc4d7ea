"""The sun moves: operators point one intent at the busy region through the day.

Load by region is recorded over time, and so is how long a change takes until
the load follows.
"""

from __future__ import annotations

from pathlib import Path
from random import Random

import trio

from walkcart.bench.caller import Caller
from walkcart.bench.experiments import make_estate, start_estate
from walkcart.bench.harness import run_mocked
from walkcart.bench.load import Load, Plan
from walkcart.bench.report import load_pyplot
from walkcart.bench.shapes import SWAPLINE_REGIONS
from walkcart.bench.world import World
from walkcart.standins.balancer import BalancerStandin
from walkcart.standins.memory import MemoryNetwork

RATE = 30.0
PHASE = 8.0
REGIONS = ("hobart", "launceston", "burnie")
FOLLOWED = 0.9

Sample = tuple[float, dict[str, int]]


def run_sun(folder: str) -> int:
    """Run, print how fast the load followed, draw it."""
    samples = run_mocked(_run)
    for number, region in enumerate(REGIONS):
        print(f"{region}: {describe_following(samples, number, region)}")
    path = Path(folder)
    path.mkdir(parents=True, exist_ok=True)
    plot_samples(path / "sun.png", samples)
    return 0


def describe_following(samples: list[Sample], number: int, region: str) -> str:
    """Return when the load of a phase followed its region, and its share there."""
    phase = [
        item for item in samples if number * PHASE <= item[0] < (number + 1) * PHASE
    ]
    shares = [(at - number * PHASE, share_of(counts, region)) for at, counts in phase]
    final = shares[-1][1]
    followed = next((at for at, share in shares if share >= FOLLOWED * final), None)
    return f"share {final:.2f}, nine tenths of it after {followed:.1f} s"


def share_of(counts: dict[str, int], region: str) -> float:
    """Return the share of the leaf requests that went to a region."""
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
        plan = Plan(shape.service, RATE, PHASE * len(REGIONS), 0.0, shape.partners)
        nursery.start_soon(_sample, world, samples)
        nursery.start_soon(_move, world)
        await Load(plan, balancer, callers, Random(1)).run()
        nursery.cancel_scope.cancel()
    return samples


async def _move(world: World) -> None:
    for region in REGIONS[1:]:
        await trio.sleep(PHASE)
        text = make_estate(SWAPLINE_REGIONS, f'prefer = "region={region}"\n')
        await world.apply(text)


async def _sample(world: World, samples: list[Sample]) -> None:
    """Count the leaf requests by region, twice a second."""
    start = trio.current_time()
    before: dict[str, int] = {}
    while True:
        await trio.sleep(0.5)
        now: dict[str, int] = {}
        for item in world.leaves.values():
            region = item.leaf.spec.labels["region"]
            now[region] = now.get(region, 0) + item.leaf.requests
        counts = {region: now[region] - before.get(region, 0) for region in now}
        samples.append((trio.current_time() - start - 0.5, counts))
        before = now


def plot_samples(path: Path, samples: list[Sample]) -> None:
    """Draw leaf requests by region over time."""
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
