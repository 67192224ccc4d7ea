"""Planned stops while requests keep coming until the process has ended.

The load balancer uses all instances of a data centre while fewer than half of them are
ready. Two of three instances got SIGTERM one second apart, so both went on receiving
new connections, and requests that must not be repeated. A stopping instance always had
some in progress, so it served until the end of its grace period, and its exit then
closed the connections of all that it had sent to leaves. Their callers never learned
whether they had run.
"""

from dataclasses import dataclass

import pytest
import trio

from walkcart.bench.harness import run_mocked
from walkcart.kernel.settings import HostPort
from walkcart.platform.tests.platformworld import (
    make_key_headers,
    make_route,
    make_team,
    open_platform,
)
from walkcart.platform.tests.test_delegation import with_two_regions
from walkcart.wire.http import ExchangeFailed

#: Grace period of `make_settings`, in seconds.
GRACE = 6.0
#: Part of it that a stop may keep for the last answers and the exit, in seconds.
RESERVE = 0.5
#: Longest time that a leaf works on a request, in seconds.
MAX_WORK = 0.96


@dataclass(slots=True)
class Sent:
    """A request: when it was sent, in seconds after SIGTERM, and how it ended.

    The status is 0 where the connection was closed without a reply.
    """

    at: float
    id: str
    status: int = 0
    retry_after: float = 0.0
    ended_at: float = 0.0


async def send(world, sent, start, name="one", **fields):
    """Send a request and record how it ended; fields as of `PlatformWorld.ask`."""
    item = Sent(trio.current_time() - start, f"request-{world._requests + 1}")
    sent.append(item)
    try:
        reply = await world.ask("/bay/2f", name, deadline_ms=6000, **fields)
    except (ExchangeFailed, OSError):
        reply = None
    item.ended_at = trio.current_time() - start
    if reply is not None:
        item.status = reply.status
        item.retry_after = float(reply.header(b"retry-after") or 0)


async def stop_instance(world, name="one"):
    """Stop an instance as SIGTERM does; return the seconds that it took."""
    running = world.tenants[name]
    start = trio.current_time()
    with trio.move_on_after(GRACE):
        await running.tenant.stop.stop()
    running.scope.cancel()
    return trio.current_time() - start


def list_run_ids(world):
    """Return the ids of all requests that leaves began to run."""
    return {id for leaf in world.leafs.values() for id in leaf.ran}


def stop_under_load(prepare=None, **route):
    """Stop an instance while requests come at a steady rate, before and after.

    Args:
        prepare: called with the platform just before the stop.
        route: fields of the route of the requests.

    Returns:
        The requests, the ids of those that leaves ran, the seconds that the stop took.
    """

    async def run():
        async with open_platform() as world:
            for number in range(12):
                work = 0.3 + number * (MAX_WORK - 0.3) / 11
                await world.start_leaf(f"i-{number}", "bay", work=work)
            fields = {
                "backend": "bay",
                "routeType": "non_idempotent",
                "timeoutMs": 6000,
                "targetLatencyMs": 673,
                **route,
            }
            world.configure(make_route("bay", "/bay/", **fields))
            for name in ("one", "two"):
                await world.start_instance(name)
                await world.wait_ready(name)
            sent: list[Sent] = []
            ended = trio.Event()
            await trio.sleep(4)
            start = trio.current_time() + 8

            async def send_steadily(nursery):
                while not ended.is_set():
                    nursery.start_soon(send, world, sent, start)
                    await trio.sleep(0.05)

            async with trio.open_nursery() as nursery:
                nursery.start_soon(send_steadily, nursery)
                await trio.sleep_until(start)
                if prepare is not None:
                    prepare(world)
                took = await stop_instance(world)
                ended.set()
            return sent, list_run_ids(world), took

    return run_mocked(run)


def check_answered(sent, ran, took):
    """Check that each request was answered truly, or none of it was accepted."""
    assert took < GRACE
    lost = [item for item in sent if item.status == 0 and item.id in ran]
    assert lost == []
    refused = [item for item in sent if item.status == 503]
    assert not {item.id for item in refused} & ran
    assert all(item.ended_at - item.at < 0.05 for item in refused)
    return refused


@pytest.mark.parametrize("kind", ["non_idempotent", "idempotent"])
def test_stop_loses_no_request_that_it_accepted(kind):
    """Guards against an exit that closes accepted requests without an answer."""
    sent, ran, took = stop_under_load(routeType=kind)
    refused = check_answered(sent, ran, took)
    # What could be served was served.
    last_start = GRACE - RESERVE - MAX_WORK
    assert all(item.status == 200 for item in sent if item.at < last_start - 0.1)
    assert refused
    # Another instance serves, so callers may come back at once.
    assert max(item.retry_after for item in refused) < 0.1


def test_stop_without_the_store_loses_no_request():
    """Guards against a stop that waits for a store that doesn't answer."""

    def cut_store(world):
        world.store.faults.silent = True

    check_answered(*stop_under_load(cut_store))


def test_requests_longer_than_the_stop_are_answered_before_its_end():
    """Guards against closing requests that began before SIGTERM and take too long."""

    async def run():
        async with open_platform() as world:
            await world.start_leaf("i-1", "bay", work=5.9)
            world.configure(
                make_route(
                    "bay",
                    "/bay/",
                    backend="bay",
                    routeType="non_idempotent",
                    timeoutMs=6000,
                )
            )
            await world.start_instance("one")
            await world.wait_ready("one")
            sent: list[Sent] = []
            async with trio.open_nursery() as nursery:
                start = trio.current_time()
                nursery.start_soon(send, world, sent, start)
                await trio.sleep(0.1)
                took = await stop_instance(world)
            return sent[0], took

    item, took = run_mocked(run)
    assert item.status == 504
    assert took < GRACE


def test_request_that_waits_for_its_turn_is_refused_at_the_end_of_the_stop():
    """Guards against closing a request that nothing was sent of."""

    async def run():
        async with open_platform() as world:
            await world.start_leaf("i-1", "bay", work=0.1)
            route = make_route("bay", "/bay/", backend="bay", timeoutMs=9000)
            world.configure(route, teams=[make_team("red", "key-red")])
            await world.start_instance("one")
            await world.wait_ready("one")
            sent: list[Sent] = []

            async def wait_for_turn(question):
                await trio.sleep_forever()

            tools = world.tenants["one"].tenant.kernel
            tools.find("room", object)._enter = wait_for_turn
            async with trio.open_nursery() as nursery:
                start = trio.current_time()
                headers = make_key_headers("key-red")
                nursery.start_soon(lambda: send(world, sent, start, headers=headers))
                await trio.sleep(0.1)
                took = await stop_instance(world)
            return sent[0], list_run_ids(world), took

    item, ran, took = run_mocked(run)
    assert item.status == 503
    assert not ran
    assert took < GRACE
    # No other instance serves, so the caller is to return after a restart.
    assert item.retry_after >= 0.5


def test_stopping_helper_returns_the_parts_that_it_has():
    """Guards against a helper whose exit drops the parts that it gathered."""

    async def act(world):
        for number in range(4):
            slow = 30.0 if number == 0 else 0.0
            for copy in range(2):
                world.leafs[f"i-{number}{copy}"].faults.delay = slow
        replies = []

        async def ask():
            replies.append(await world.ask("/all/x", "asker", deadline_ms=9000))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(ask)
            await trio.sleep(0.2)
            start = trio.current_time()
            await stop_instance(world, "helper")
            took = trio.current_time() - start
        return replies[0], took, world.log.getvalue()

    reply, took, log = with_two_regions(
        act, targetLatencyMs=8500, timeoutMs=8600, minCoverage=0.5
    )
    assert reply.status == 200
    assert len(reply.header(b"x-part-stamps").split(", ")) == 3
    assert took < GRACE
    assert '"delegate_lost"' not in log


def test_port_of_callers_is_closed_before_the_exit():
    """Guards against accepting connections that the exit then cuts off."""

    async def run():
        async with open_platform() as world:
            await world.start_leaf("i-1", "bay", work=5.9)
            world.configure(make_route("bay", "/bay/", backend="bay", timeoutMs=6000))
            await world.start_instance("one")
            await world.wait_ready("one")
            sent: list[Sent] = []
            address = world.tenants["one"].settings.callers
            assert isinstance(address, HostPort)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(send, world, sent, trio.current_time())
                await trio.sleep(0.1)
                stopping = trio.current_time()
                nursery.start_soon(stop_instance, world)
                await trio.sleep_until(stopping + GRACE - RESERVE + 0.03)
                with pytest.raises(OSError):
                    await world.network.at("callers").connect(address)

    run_mocked(run)
