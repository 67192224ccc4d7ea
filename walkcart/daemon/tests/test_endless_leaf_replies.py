"""Leaves of the product's own interface whose bytes don't end cost bounded memory."""

import tracemalloc

import pytest
import trio

from walkcart.bench.caller import Caller
from walkcart.bench.harness import TOKENS
from walkcart.bench.world import World, make_partner, make_service
from walkcart.kernel.settings import HostPort
from walkcart.membership.listing import ROLE_LEAF, ListedInstance
from walkcart.platform.tests.rawleafs import HEAD, Endless, answer_endlessly
from walkcart.standins.leaf import LeafSpec
from walkcart.wire.bodies import MemoryPlan
from walkcart.wire.network import TcpNetwork

SHARDS, REPLICAS, CALLERS = 40, 2, 12
#: Memory of the stand-ins and of what isn't a body, in bytes.
OTHER_MEMORY = 40 << 20
CHUNKED = HEAD + b"transfer-encoding: chunked\r\n\r\n"
REPLIES = {
    "head-line": Endless(b"HTTP/1.1 200 ", b"x"),
    "headers": Endless(HEAD, b"x-a: b\r\n"),
    "informational": Endless(b"", b"HTTP/1.1 103 Early Hints\r\n\r\n"),
    "chunks": Endless(CHUNKED, b"10000\r\n" + b"x" * 65536 + b"\r\n"),
    "length": Endless(HEAD + b"content-length: 9000000000000\r\n\r\n", b"x" * 65536),
    "no-length": Endless(HEAD + b"\r\n", b"x" * 65536),
    "trailers": Endless(CHUNKED + b"0\r\n", b"a: b\r\n"),
    "no-http": Endless(b"SSH-2.0-OpenSSH_9.0\r\n", b"\0" * 65536),
}


async def list_endless_leaf(world, nursery, spec, reply):
    """List a leaf that answers each request with bytes that don't end."""
    answer = answer_endlessly(reply)

    async def serve(stream):
        async with stream:
            try:
                await answer(stream, await stream.receive_some(65536))
            except (trio.BrokenResourceError, trio.ClosedResourceError):
                return

    listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
    nursery.start_soon(trio.serve_listeners, serve, listeners)
    address = HostPort("127.0.0.1", listeners[0].socket.getsockname()[1])
    world.listing.put(
        ListedInstance(
            spec.name, ROLE_LEAF, str(address), incarnation=1, labels=spec.all_labels()
        )
    )


async def ask_beside_endless_replies(reply):
    """Return the statuses of sound queries, those of the others, and the peak."""
    labels = {"region": "local", "data-centre": "local"}
    async with trio.open_nursery() as nursery:
        world = World(nursery)
        await world.start_platform()
        await world.start_group("sound", 2, 1, [("local", "local")])
        for number in range(SHARDS * REPLICAS):
            shard = number % SHARDS
            spec = LeafSpec(f"endless-{number}", "endless", shard, 1, labels=labels)
            await list_endless_leaf(world, nursery, spec, reply)
        instance = await world.start_instance("one")
        text = make_partner("red", TOKENS["red"])
        text += make_service("sound", 2) + make_service("endless", SHARDS)
        text += '[[routing_intent]]\nname = "all"\nselector = ""\ndeadline = 2.0\n'
        outcome = await world.apply(text)
        await world.wait_in_force(outcome.revision)
        await trio.sleep(1)
        caller = Caller(TcpNetwork(), TOKENS["red"])
        sound, others = [], []

        async def ask():
            asked = await caller.query(instance.address, "endless", 1)
            others.append(asked.status)

        tracemalloc.start()
        async with trio.open_nursery() as queries:
            for _ in range(CALLERS):
                queries.start_soon(ask)
            for _ in range(5):
                asked = await caller.query(instance.address, "sound", 1)
                sound.append(asked.status)
        _, peak = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        nursery.cancel_scope.cancel()
    return sound, others, peak


@pytest.mark.parametrize("kind", list(REPLIES))
def test_endless_replies_leave_memory_and_time_for_others(kind):
    sound, others, peak = trio.run(ask_beside_endless_replies, REPLIES[kind])
    assert sound == [200] * 5
    assert len(others) == CALLERS
    assert 200 not in others
    assert peak < MemoryPlan().replies + OTHER_MEMORY
