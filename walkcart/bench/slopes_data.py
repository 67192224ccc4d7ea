"""Slopes by data: configuration, leaves, marks, forwarding, claims, admission."""

from __future__ import annotations

import time
import tracemalloc
from collections.abc import Callable
from datetime import UTC, datetime
from pathlib import Path
from random import Random

import trio

from walkcart.bench.fitting import Point
from walkcart.bench.harness import make_caller, open_estate, run_mocked
from walkcart.intent.document import (
    EMPTY_DOCUMENT,
    Change,
    make_document,
    read_document,
)
from walkcart.intent.model import (
    Configuration,
    Layout,
    RoutingIntent,
    Service,
    ShardGroup,
)
from walkcart.kernel.clock import TrioClock
from walkcart.kernel.settings import HostPort
from walkcart.leaves.table import LeafTable
from walkcart.membership.gossip import GossipQueue
from walkcart.membership.listing import ROLE_LEAF, ListedInstance
from walkcart.membership.marks import LeafMarks
from walkcart.membership.view import MembershipView
from walkcart.once.keys import make_key
from walkcart.routing.admission import Admission, Admitted
from walkcart.routing.holders import HolderTable, SharedLeaf
from walkcart.routing.shares import ConnectionShares
from walkcart.wire.codec import decode_envelope, encode_envelope
from walkcart.wire.messages import (
    Envelope,
    ForwardAsk,
    ForwardedAttempt,
    Gossip,
    LeafMark,
    MemberRecord,
)
from walkcart.wire.peers import NngTransport

OBJECT_COUNTS = (100, 500, 1000, 2000, 4000)
#: Sizes of stored values in KB.
VALUE_SIZES = (50, 250, 500, 1000)
#: Approximate stored size of one service in `measure_document`, in bytes.
BYTES_OF_SERVICE = 63
LEAF_COUNTS = (500, 1000, 2000, 4000)
MARK_COUNTS = (0, 8, 16, 32)
BATCH_SIZES = (1, 4, 16, 64)
#: Requests per second.
CLAIM_RATES = (50, 100, 250, 500)
#: Seconds for which requests are sent at each rate.
CLAIM_SECONDS = 4
HELD_LEAVES = 400
FLEET_COUNTS = (10, 50, 100, 200, 400, 620)
WAITING_COUNTS = (0, 16, 64, 256)
#: Number of runs of a measured action, the fastest of which counts.
REPEATS = 5
#: Number of messages over which the time for one is averaged.
ENVELOPES = 400

Measured = dict[str, list[Point]]


def measure_cpu_time(action: Callable[[], object], repeats: int = REPEATS) -> float:
    """Return the minimum CPU time of several runs, in seconds."""
    times = []
    for _ in range(repeats):
        start = time.process_time()
        action()
        times.append(time.process_time() - start)
    return min(times)


def measure_memory(action: Callable[[], object]) -> float:
    """Return the memory that the result of an action uses, in MB."""
    tracemalloc.start()
    kept = action()
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del kept
    return size / 1e6


def make_configuration(count: int) -> Configuration:
    """Return a configuration of `count` services, groups and intents."""
    groups = tuple(
        ShardGroup(f"g{n:05}", (Layout(1, 100, f"group=g{n:05},layout=1"),))
        for n in range(count // 3)
    )
    services = tuple(
        Service(f"s{n:05}", f"g{n:05}", labels={"tier": "search"})
        for n in range(count // 3)
    )
    intents = tuple(
        RoutingIntent(f"i{n:05}", f"service=s{n:05}", 10, prefer="region=north")
        for n in range(count // 3)
    )
    return Configuration(
        shard_groups=groups, services=services, routing_intents=intents
    )


def measure_configuration(folder: Path) -> Measured:
    """Measure stored configurations of several sizes."""
    found: Measured = {}
    change = Change("id", 1, "operator", "2026-01-01T00:00:00", ())
    for count in OBJECT_COUNTS:
        configuration = make_configuration(count)
        document = make_document(EMPTY_DOCUMENT, configuration, change)
        data = document.data
        points = {
            "stored KB": len(data) / 1000,
            "CPU ms to read": 1000
            * measure_cpu_time(lambda data=data: read_document(data)),
            "memory MB": measure_memory(lambda data=data: read_document(data)),
        }
        for quantity, value in points.items():
            found.setdefault(quantity, []).append((count, value))
    return found


def measure_document(folder: Path) -> Measured:
    """Measure stored values up to the size limit, with incompressible labels."""
    found: Measured = {}
    random = Random(1)
    change = Change("id", 1, "operator", "2026-01-01T00:00:00", ())
    for wanted in VALUE_SIZES:
        services = tuple(
            Service(f"s{n:06}", "g", labels={"a": f"{random.getrandbits(400):0100x}"})
            for n in range(int(wanted * 1000 / BYTES_OF_SERVICE))
        )
        document = make_document(
            EMPTY_DOCUMENT, Configuration(services=services), change
        )
        data = document.data
        found.setdefault("CPU ms to read", []).append(
            (
                len(data) / 1000,
                1000 * measure_cpu_time(lambda data=data: read_document(data)),
            )
        )
        found.setdefault("memory MB", []).append(
            (len(data) / 1000, measure_memory(lambda data=data: read_document(data)))
        )
    return found


def measure_leaves_as_data(folder: Path) -> Measured:
    """Measure the table of leaves."""
    found: Measured = {}
    for count in LEAF_COUNTS:
        shards = count // 2
        layout = Layout(1, shards, "group=g,layout=1")
        configuration = Configuration(shard_groups=(ShardGroup("g", (layout,)),))
        change = Change("id", 1, "operator", "", ())
        document = make_document(EMPTY_DOCUMENT, configuration, change)
        rows = tuple(
            ListedInstance(
                f"leaf-{n}",
                ROLE_LEAF,
                f"127.0.{n // 250}.1:{7000 + n % 250}",
                labels={"group": "g", "layout": "1", "shard": str(n // 2)},
            )
            for n in range(count)
        )

        def resolve(rows=rows, document=document) -> LeafTable:
            table = LeafTable()
            table.set_listed(rows)
            table.find_group(document, "g")
            return table

        found.setdefault("CPU ms to resolve", []).append(
            (count, 1000 * measure_cpu_time(resolve))
        )
        found.setdefault("memory MB", []).append((count, measure_memory(resolve)))
    return found


def measure_marks(folder: Path) -> Measured:
    """Measure messages with drain marks."""
    found: Measured = {}
    own = MemberRecord("a", 1, 0, 0, "127.0.0.1:1", "127.0.0.1:2", "dc", "r", 1)
    for count in MARK_COUNTS:
        marks = tuple(LeafMark(f"127.0.0.1:{7000 + n}", n + 1) for n in range(count))

        def send_marks(marks=marks) -> int:
            held = LeafMarks()
            queue = GossipQueue(MembershipView(own), held)
            for mark in marks:
                held.record_leaving(mark.address, mark.incarnation)
                queue.add_mark(mark.address)
            envelope = Envelope("a", 1, "", 0, (Gossip(queue.make_digest()),))
            data = encode_envelope(envelope)
            receiver = GossipQueue(MembershipView(own), LeafMarks())
            receiver.merge_digest(decode_envelope(data).messages[0].digest)
            return len(data)

        found.setdefault("bytes a message", []).append((count, send_marks()))
        found.setdefault("CPU us a message", []).append(
            (count, 1e6 * measure_cpu_time(send_marks, 50))
        )
    return found


def measure_forwarding(folder: Path) -> Measured:
    """Measure one message over nng, one way, by the number of attempts in it."""
    found: Measured = {}
    for size in BATCH_SIZES:
        attempt = ForwardedAttempt(
            "daemon-0.19ad8f3b1c2.1f",
            "127.0.0.1:7000",
            0.3,
            "/query",
            ((b"walkcart-shard", b"17"), (b"walkcart-pin", b"1:1")),
            b"x" * 200,
            True,
        )
        envelope = Envelope("a", 1, "", 0, (ForwardAsk((attempt,) * size),))
        cpu = trio.run(_time_envelopes, envelope)
        found.setdefault("CPU us a message, both ends", []).append((size, cpu * 1e6))
        found.setdefault("CPU us an attempt, both ends", []).append(
            (size, cpu * 1e6 / size)
        )
        found.setdefault("bytes a message", []).append(
            (size, len(encode_envelope(envelope)))
        )
    return found


async def _time_envelopes(envelope: Envelope) -> float:
    """Return the CPU seconds to send and receive one message."""
    transport = NngTransport()
    listener = await transport.listen(HostPort("127.0.0.1", 0))
    sender = await transport.dial(listener.address)
    await sender.send(encode_envelope(envelope))
    await listener.receive()
    start = time.process_time()
    for _ in range(ENVELOPES):
        await sender.send(encode_envelope(envelope))
        decode_envelope(await listener.receive())
    used = time.process_time() - start
    await sender.close()
    await listener.close()
    return used / ENVELOPES


def measure_claims(folder: Path) -> Measured:
    """Measure store writes for non-repeatable requests, with 7 instances."""
    found: Measured = {}
    for rate in CLAIM_RATES:
        for quantity, value in run_mocked(_measure_claims_at, rate).items():
            found.setdefault(quantity, []).append((rate, value))
    return found


async def _measure_claims_at(rate: int) -> dict[str, float]:
    async with open_estate(instances=7) as world:
        for item in world.leaves.values():
            item.leaf.faults.slow = 0.1
        caller = make_caller(world)
        random = Random(1)
        addresses = [item.address for item in world.instances.values()]
        times: list[float] = []

        async def execute(number: int) -> None:
            key = make_key(world.clock.now(), random)
            address = addresses[number % len(addresses)]
            asked = await caller.execute(address, "cards", number, key)
            if asked.status == 200:
                times.append(asked.elapsed)

        before = world.store.calls["write"]
        async with trio.open_nursery() as nursery:
            for number in range(rate * CLAIM_SECONDS):
                nursery.start_soon(execute, number)
                await trio.sleep(1 / rate)
        await trio.sleep(1)
        writes = world.store.calls["write"] - before
    times.sort()
    return {
        "store writes/s": writes / CLAIM_SECONDS,
        "requests a write": len(times) / writes,
        "answered share": len(times) / (rate * CLAIM_SECONDS),
        "p50 ms with the claim": 1000 * times[len(times) // 2],
        "p99 ms with the claim": 1000 * times[int(len(times) * 0.99)],
    }


def measure_holding(folder: Path) -> Measured:
    """Measure the division of the connections to 400 leaves among instances."""
    found: Measured = {}
    leaves = [
        SharedLeaf(f"127.0.0.1:{7000 + n}", "north", ConnectionShares(25))
        for n in range(HELD_LEAVES)
    ]
    for count in FLEET_COUNTS:
        instances = {f"instance-{n}": ("north", "south")[n % 2] for n in range(count)}
        remaining_instances = {name: instances[name] for name in list(instances)[1:]}

        def rank_all(instances=instances) -> HolderTable:
            table = HolderTable()
            table.set_instances(instances)
            table.set_leaves(leaves)
            return table

        def leave_and_rejoin(
            table=rank_all(), remaining=remaining_instances, all=instances
        ) -> None:
            table.set_instances(remaining)
            table.set_instances(all)

        points = {
            "CPU ms to rank all": 1000 * measure_cpu_time(rank_all),
            "CPU ms for one instance to go and come": 1000
            * measure_cpu_time(leave_and_rejoin),
            "memory MB": measure_memory(rank_all),
        }
        for quantity, value in points.items():
            found.setdefault(quantity, []).append((count, value))
    return found


def measure_admission(folder: Path) -> Measured:
    """Measure the admission and release of requests while others wait."""
    points = [
        (count, trio.run(_time_admission, count) * 1e6) for count in WAITING_COUNTS
    ]
    return {"CPU us a request": points}


async def _time_admission(waiting: int) -> float:
    """Return the CPU seconds to release and admit a request while `waiting` wait."""
    admission = Admission(TrioClock(datetime(2026, 1, 1, tzinfo=UTC)))
    async with trio.open_nursery() as nursery:
        admitted = [await admission.admit("a", 1.0, 8, 60.0) for _ in range(8)]
        assert all(isinstance(item, Admitted) for item in admitted)
        admission.release("a", None)
        await admission.admit("a", 1.0, 8, 60.0)
        for number in range(waiting):
            nursery.start_soon(admission.admit, f"p{number % 8}", 1.0, 8, 6000.0)
        await trio.sleep(0.01)
        rounds = max(1, min(waiting, 200))
        start = time.process_time()
        for _ in range(rounds):
            admission.release("a", None)
            await admission.admit("a", 1.0, 9, 0.0)
        used = (time.process_time() - start) / rounds
        nursery.cancel_scope.cancel()
    return used
