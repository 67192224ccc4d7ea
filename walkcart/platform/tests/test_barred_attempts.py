"""Attempts whose leaf becomes ineligible just before they are sent."""

import pytest
import trio

from walkcart.bench.harness import run_mocked
from walkcart.kernel.metrics import Metrics
from walkcart.leaves.access import LeafAccess
from walkcart.leaves.directory import LeafDirectory
from walkcart.platform.tests.platformworld import make_route, open_platform
from walkcart.routing.eligibility import Obstacle

#: Id of the leaf that becomes ineligible.
BARRED = "plain-0"


def send_ten_requests(prepare):
    """Send ten requests while `prepare()` bars one of two leaves at the last moment."""

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


def test_barred_attempt_goes_to_another_leaf_at_once(monkeypatch):
    find = LeafDirectory.find_obstacle

    def bar(directory, leaf, regions):
        if leaf.id == BARRED:
            return Obstacle.EVACUATED
        return find(directory, leaf, regions)

    statuses, elapsed, outstanding, metrics, arrived = send_ten_requests(
        lambda: monkeypatch.setattr(LeafDirectory, "find_obstacle", bar)
    )
    assert statuses == [200] * 10
    assert elapsed < 0.5
    assert outstanding == 0
    assert metrics.read("leaf.barred") > 0
    assert arrived == []


@pytest.mark.parametrize("fault", [KeyError("unknown"), RuntimeError("fault")])
def test_error_while_admitting_an_attempt_fails_only_that_attempt(monkeypatch, fault):
    admit = LeafAccess.admit

    def admit_or_fail(access, leaf, attempt):
        if leaf.id == BARRED:
            raise fault
        return admit(access, leaf, attempt)

    statuses, elapsed, outstanding, _, _ = send_ten_requests(
        lambda: monkeypatch.setattr(LeafAccess, "admit", admit_or_fail)
    )
    assert statuses == [200] * 10
    assert elapsed < 0.5
    assert outstanding == 0
