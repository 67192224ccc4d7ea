"""Attempts that may no longer go to their leaf when it is their turn to be sent."""

import pytest
import trio

from walkcart.bench.harness import run_mocked
from walkcart.kernel.metrics import Metrics
from walkcart.leaves.access import LeafAccess
from walkcart.leaves.directory import LeafDirectory
from walkcart.platform.tests.platformworld import make_route, open_platform
from walkcart.routing.eligibility import Obstacle

BARRED = "plain-0"


def ask_ten(prepare):
    """Ask ten times with one leaf of two barred at the last moment."""

    async def run():
        async with open_platform() as world:
            for number in range(2):
                await world.start_leaf(f"plain-{number}", "plain")
            world.configure(make_route("one", "/one/", backend="plain"))
            await world.start_instance("one")
            await world.wait_ready("one")
            prepare()
            start = trio.current_time()
            statuses = [(await world.ask("/one/x")).status for _ in range(10)]
            elapsed = trio.current_time() - start
            leaf = world.tenants["one"].tenant.kernel.find("directory", LeafDirectory)
            outstanding = leaf.find(BARRED).outstanding
            metrics = world.tenants["one"].tenant.kernel.find("metrics", Metrics)
            return statuses, elapsed, outstanding, metrics, world.leafs[BARRED].arrived

    return run_mocked(run)


def test_an_attempt_that_is_barred_goes_to_another_leaf_at_once(monkeypatch):
    find = LeafDirectory.find_obstacle

    def bar(directory, leaf, regions):
        if leaf.id == BARRED:
            return Obstacle.EVACUATED
        return find(directory, leaf, regions)

    statuses, elapsed, outstanding, metrics, arrived = ask_ten(
        lambda: monkeypatch.setattr(LeafDirectory, "find_obstacle", bar)
    )
    assert statuses == [200] * 10
    assert elapsed < 0.5
    assert outstanding == 0
    assert metrics.read("leaf.barred") > 0
    assert arrived == []


@pytest.mark.parametrize("fault", [KeyError("unknown"), RuntimeError("fault")])
def test_a_fault_while_an_attempt_is_admitted_ends_that_attempt_alone(
    monkeypatch, fault
):
    admit = LeafAccess.admit

    def fail(access, leaf, attempt):
        if leaf.id == BARRED:
            raise fault
        return admit(access, leaf, attempt)

    statuses, elapsed, outstanding, _, _ = ask_ten(
        lambda: monkeypatch.setattr(LeafAccess, "admit", fail)
    )
    assert statuses == [200] * 10
    assert elapsed < 0.5
    assert outstanding == 0
