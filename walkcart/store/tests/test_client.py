"""The client of the store: after a bad reply the error tells what is certain."""

from random import Random

import pytest
import trio

from walkcart.bench.harness import run_mocked
from walkcart.bench.world import World
from walkcart.kernel.clock import TrioClock
from walkcart.standins.memory import MemoryNetwork
from walkcart.store.backoff import Backoff
from walkcart.store.budget import CallBudget
from walkcart.store.calls import StoreUnavailable
from walkcart.store.client import Conflict, Entry, Written


def run_with_store(action):
    """Return the result of `action(world, client)`, run with a store."""

    async def run():
        async with trio.open_nursery() as nursery:
            world = World(nursery, 1, MemoryNetwork())
            await world.start_platform()
            result = await action(world, world.make_store_client())
            nursery.cancel_scope.cancel()
        return result

    return run_mocked(run)


def test_get_put_and_conflict():
    async def act(world, client):
        assert await client.get("a") is None
        first = await client.put("a", b"1", 0)
        second = await client.put("a", b"2", 0)
        third = await client.put("a", b"3", first.revision)
        return first, second, third, await client.get("a")

    first, second, third, entry = run_with_store(act)
    assert isinstance(first, Written)
    assert second == Conflict(Entry(b"1", first.revision))
    assert isinstance(third, Written)
    assert entry == Entry(b"3", third.revision)


def test_delete_requires_the_revision():
    async def act(world, client):
        first = await client.put("a", b"1", 0)
        wrong = await client.delete("a", first.revision + 5)
        right = await client.delete("a", first.revision)
        return wrong, right, await client.get("a")

    wrong, right, entry = run_with_store(act)
    assert isinstance(wrong, Conflict)
    assert isinstance(right, Written)
    assert entry is None


def test_watch_returns_on_a_change_and_times_out_without_one():
    from datetime import timedelta

    async def act(world, client):
        first = await client.put("a", b"1", 0)
        quiet = await client.watch("a", first.revision, timedelta(seconds=1))
        async with trio.open_nursery() as nursery:
            nursery.start_soon(client.put, "a", b"2", first.revision)
            woken = await client.watch("a", first.revision, timedelta(seconds=5))
        return quiet, woken

    quiet, woken = run_with_store(act)
    assert quiet is None
    assert woken.value == b"2"


def write_under_faults(**faults):
    """Return whether a failed write is uncertain, and the value stored after it.

    Args:
        **faults: faults of the store during the write.
    """

    async def act(world, client):
        for name, value in faults.items():
            setattr(world.store.faults, name, value)
        with pytest.raises(StoreUnavailable) as raised:
            await client.put("a", b"1", 0)
        return raised.value.uncertain, world.store.peek("a")

    return run_with_store(act)


def test_lost_reply_is_uncertain():
    assert write_under_faults(lose_reply=1.0) == (True, b"1")


def test_late_write_is_uncertain():
    assert write_under_faults(late_write=1.0) == (True, None)


def test_outage_is_uncertain_once_the_call_was_sent():
    assert write_under_faults(down=True) == (True, None)


def test_slow_store_is_uncertain():
    assert write_under_faults(delay=30.0)[0] is True


def test_garbage_reply_is_uncertain():
    assert write_under_faults(garbage=1.0)[0] is True


def test_refused_connection_is_certain():
    async def run():
        async with trio.open_nursery() as nursery:
            world = World(nursery, 1, MemoryNetwork())
            with pytest.raises(StoreUnavailable) as raised:
                await world.make_store_client().put("a", b"1", 0)
            return raised.value.uncertain

    assert run_mocked(run) is False


def test_watch_that_repeats_an_old_revision_is_rejected():
    from datetime import timedelta

    async def act(world, client):
        first = await client.put("a", b"1", 0)
        world.store.faults.repeat_watches = True
        with pytest.raises(StoreUnavailable):
            await client.watch("a", first.revision, timedelta(seconds=1))

    run_with_store(act)


def test_backoff_grows_to_its_limit_with_jitter():
    from datetime import timedelta

    backoff = Backoff(timedelta(seconds=1), timedelta(seconds=8), Random(1))
    waits = [backoff.next_delay().total_seconds() for _ in range(8)]
    assert all(0.5 <= wait <= 8 for wait in waits)
    assert max(waits[:1]) <= 1
    assert min(waits[4:]) >= 4
    backoff.reset()
    assert backoff.next_delay().total_seconds() <= 1


def test_call_budget_limits_the_rate():
    async def run():
        budget = CallBudget(10, 5, TrioClock())
        start = trio.current_time()
        for _ in range(25):
            await budget.acquire()
        return trio.current_time() - start

    assert 1.9 <= run_mocked(run) <= 2.1


@pytest.mark.parametrize("key", ["a\r\nx-other: b", "a b", "\xe9", "a?after=1", "\x00"])
def test_any_key_is_a_key_of_its_own(key):
    async def act(world, client):
        await client.put("a", b"1", 0)
        return await client.get(key)

    assert run_with_store(act) is None
