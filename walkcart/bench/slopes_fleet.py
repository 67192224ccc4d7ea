"""Slopes of real processes: heartbeats, propagation, connections, leaf requests."""

from __future__ import annotations

import time
from pathlib import Path

import trio

from walkcart.bench.caller import Caller
from walkcart.bench.fitting import Point
from walkcart.bench.fleet import HOST, Fleet, Processes, allocate_ports
from walkcart.bench.world import make_partner, make_service
from walkcart.kernel.settings import HostPort, parse_host_port
from walkcart.wire.http import HttpConnection, HttpRequest
from walkcart.wire.network import TcpNetwork

INSTANCE_COUNTS = (5, 10, 20, 40)
#: Seconds of a measurement.
MEASURING_TIME = 12.0
#: Seconds from a start until a measurement.
SETTLE_TIME = 8.0
#: Further seconds per instance until all instances know of each other.
SETTLE_TIME_PER_INSTANCE = 0.5
#: Number of changes, the slowest of which counts.
CHANGES = 5
LEAF_COUNTS = (40, 100, 200, 400)
SHARD_COUNTS = (5, 20, 50, 100)
#: Number of questions over which the CPU time of one is averaged.
QUESTIONS = 200
QUESTION_RATES = (10, 20, 40, 80)
#: Seconds for which questions are sent at each rate.
RATE_SECONDS = 10.0
TOKEN = "secret"


def measure_fleet(folder: Path) -> dict[str, list[Point]]:
    """Measure the control traffic of fleets of several sizes, without callers."""
    found: dict[str, list[Point]] = {}
    for count in INSTANCE_COUNTS:
        fleet = Fleet(Processes(folder), folder)
        try:
            for quantity, value in _measure_one_fleet(fleet, count).items():
                found.setdefault(quantity, []).append((count, value))
        finally:
            fleet.processes.stop_all()
    return found


def _measure_one_fleet(fleet: Fleet, count: int) -> dict[str, float]:
    fleet.start(count, ("parts:4:2",))
    fleet.wait_healthy()
    text = make_partner("fitters", TOKEN) + make_service("parts", 4)
    fleet.apply(text, "--wait")
    time.sleep(SETTLE_TIME + SETTLE_TIME_PER_INSTANCE * count)
    names = list(fleet.entries)
    before = [_read_daemon(fleet, name) for name in names]
    start = time.monotonic()
    time.sleep(MEASURING_TIME)
    elapsed = time.monotonic() - start
    after = [_read_daemon(fleet, name) for name in names]
    changes = [
        {key: (b[key] - a[key]) / elapsed for key in a}
        for a, b in zip(before, after, strict=True)
    ]
    values = {
        f"{key} for each instance, mean": sum(c[key] for c in changes) / count
        for key in changes[0]
    }
    stores = sum(change["store calls/s"] for change in changes)
    values["store calls/s of the whole fleet"] = stores
    resident = [fleet.processes.resident_mb(name) for name in names]
    values["resident MB, mean"] = sum(resident) / count
    values["seconds until a change is in force everywhere, max of 5"] = max(
        _time_change(fleet, number) for number in range(CHANGES)
    )
    values["seconds until a kill is seen by all"] = _time_kill(fleet, names[-1])
    return values


def _read_daemon(fleet: Fleet, name: str) -> dict[str, float]:
    metrics = fleet.status(name)["metrics"]
    return {
        "CPU s/s": fleet.processes.cpu_seconds(name),
        "messages/s": metrics["peer.sent"] + metrics["peer.received"],
        "bytes/s": metrics["peer.bytes"],
        "store calls/s": metrics["store.calls"],
    }


def _time_change(fleet: Fleet, number: int) -> float:
    """Return the seconds from the acceptance of a change until all daemons have it."""
    text = f'[[routing_intent]]\nname = "i"\nselector = ""\npriority = {number}\n'
    applied = fleet.apply(text)
    start = time.monotonic()
    revision = int(applied.stdout.split()[-1])
    behind = list(fleet.entries)
    while behind:
        behind = [name for name in behind if fleet.status(name)["revision"] < revision]
    return time.monotonic() - start


def _time_kill(fleet: Fleet, victim: str) -> float:
    """Return the seconds until no other instance considers the victim live."""
    fleet.processes.kill(victim)
    start = time.monotonic()
    watching = [name for name in fleet.entries if name != victim]
    while watching:
        watching = [name for name in watching if _sees_live(fleet, name, victim)]
    return time.monotonic() - start


def _sees_live(fleet: Fleet, name: str, victim: str) -> bool:
    members = fleet.status(name)["members"]
    return any(item["name"] == victim and item["state"] == "live" for item in members)


def measure_connections(folder: Path) -> dict[str, list[Point]]:
    """Measure an idle daemon with connections to many leaves."""
    found: dict[str, list[Point]] = {}
    for count in LEAF_COUNTS:
        fleet = Fleet(Processes(folder), folder)
        try:
            shards = count // 2
            fleet.start(1, (f"parts:{shards}:2",))
            fleet.wait_healthy()
            fleet.apply(make_service("parts", shards), "--wait")
            time.sleep(SETTLE_TIME)
            before = fleet.processes.cpu_seconds("daemon-0")
            time.sleep(MEASURING_TIME)
            used = fleet.processes.cpu_seconds("daemon-0") - before
            resident = fleet.processes.resident_mb("daemon-0")
            found.setdefault("CPU s/s", []).append((count, used / MEASURING_TIME))
            found.setdefault("resident MB", []).append((count, resident))
        finally:
            fleet.processes.stop_all()
    return found


def measure_leaf_requests(folder: Path) -> dict[str, list[Point]]:
    """Measure a daemon's CPU time per question and that of a bare h11 client."""
    found: dict[str, list[Point]] = {}
    for shards in SHARD_COUNTS:
        fleet = Fleet(Processes(folder), folder)
        try:
            fleet.start(1, (f"parts:{shards}:2",))
            fleet.wait_healthy()
            text = make_partner("fitters", TOKEN) + make_service("parts", shards)
            intent = '[[routing_intent]]\nname = "i"\nselector = ""\ndeadline = 10.0\n'
            fleet.apply(text + intent, "--wait")
            fleet.wait_ready()
            time.sleep(4)
            address = next(iter(fleet.entries.values()))
            trio.run(_send_questions, address, 20)
            before = fleet.processes.cpu_seconds("daemon-0")
            start = time.monotonic()
            trio.run(_send_questions, address, QUESTIONS)
            elapsed = time.monotonic() - start
            used = fleet.processes.cpu_seconds("daemon-0") - before
        finally:
            fleet.processes.stop_all()
        bare = measure_bare_client(folder)
        each = used / QUESTIONS
        add = _make_point_adder(found, shards)
        add("CPU ms a question", each * 1000)
        add("CPU ms a leaf request", each * 1000 / shards)
        add("bare h11 client, CPU ms a request", bare * 1000)
        add("ratio to the bare client", each / shards / bare)
        add("questions/s of one core", 1 / each)
        add("questions/s seen", QUESTIONS / elapsed)
    return found


def measure_questions(folder: Path) -> dict[str, list[Point]]:
    """Measure a daemon's CPU time and memory by the rate of questions, at 20 shards."""
    found: dict[str, list[Point]] = {}
    fleet = Fleet(Processes(folder), folder)
    try:
        fleet.start(1, ("parts:20:2",))
        fleet.wait_healthy()
        text = make_partner("fitters", TOKEN) + make_service("parts", 20)
        fleet.apply(text, "--wait")
        fleet.wait_ready()
        time.sleep(4)
        address = parse_host_port(next(iter(fleet.entries.values())))
        for rate in QUESTION_RATES:
            before = fleet.processes.cpu_seconds("daemon-0")
            trio.run(_send_at_rate, address, rate)
            used = fleet.processes.cpu_seconds("daemon-0") - before
            add = _make_point_adder(found, rate)
            add("CPU s/s", used / RATE_SECONDS)
            add("resident MB", fleet.processes.resident_mb("daemon-0"))
    finally:
        fleet.processes.stop_all()
    return found


async def _send_at_rate(address: HostPort, rate: int) -> None:
    """Send questions at a fixed rate without waiting for answers."""
    caller = Caller(TcpNetwork(), TOKEN)
    async with trio.open_nursery() as nursery:
        for number in range(int(rate * RATE_SECONDS)):
            nursery.start_soon(caller.query, address, "parts", number)
            await trio.sleep(1 / rate)


def _make_point_adder(found: dict[str, list[Point]], size: float):
    def add(quantity: str, value: float) -> None:
        found.setdefault(quantity, []).append((size, value))

    return add


async def _send_questions(address: str, count: int) -> None:
    """Send `count` questions, at most four at a time."""
    caller = Caller(TcpNetwork(), TOKEN)

    async def send_share() -> None:
        for number in range(count // 4):
            asked = await caller.query(parse_host_port(address), "parts", number)
            assert asked.status == 200, asked.content

    async with trio.open_nursery() as nursery:
        for _ in range(4):
            nursery.start_soon(send_share)


def measure_bare_client(folder: Path, requests: int = 3000) -> float:
    """Return the CPU seconds per leaf request with only h11 and trio."""
    fleet = Fleet(Processes(folder), folder)
    try:
        port = allocate_ports(1)[0]
        spec = f"bare:1:1:{HOST}:{port}"
        module = "walkcart.standins.main"
        fleet.processes.start("bare", module, "leaves", spec, "--median-ms", "0.01")
        time.sleep(1.0)
        return trio.run(_time_bare, HostPort(HOST, port), requests)
    finally:
        fleet.processes.stop_all()


async def _time_bare(address: HostPort, requests: int) -> float:
    """Exchange the same messages with a leaf as a daemon does, and nothing else."""
    stream = await TcpNetwork().connect(address)
    connection = HttpConnection(stream, str(address), 1 << 20)
    request = HttpRequest("POST", "/query", _BARE_HEADERS, b"17")
    start = time.process_time()
    for _ in range(requests):
        reply = await connection.exchange(request)
        assert reply.status == 200
        connection.prepare_next()
    return (time.process_time() - start) / requests


_BARE_HEADERS = (
    (b"walkcart-attempt", b"daemon-0.19ad8f3b1c2.1f"),
    (b"walkcart-shard", b"17"),
    (b"walkcart-pin", b"1:1"),
    (b"walkcart-scope", b"fitters"),
    (b"walkcart-deadline-ms", b"998"),
)
