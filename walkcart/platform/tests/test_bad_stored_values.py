"""Values in the store that can't be used, and real processes that read them.

Each value costs at most itself: no process ends, the value is logged, later changes are
in force, and requests are answered as before.
"""

from __future__ import annotations

import json
from collections.abc import Mapping
from typing import Any

import msgspec
import trio

from walkcart.platform.tests.platformworld import (
    make_configuration,
    make_route,
    make_team,
)
from walkcart.platform.tests.processmachine import Machine
from walkcart.platform.tests.processworld import (
    POLL_INTERVAL,
    ProcessWorld,
    open_processes,
)

SHARDS = [f"shard-{number}" for number in range(3)]
ROUTE = make_route(
    "all", "/all/", fanoutServices=SHARDS, topK=3, minCoverage=0.7, public=True
)
#: A limit, so that instances divide the limits among them.
TEAMS = [make_team("fitters", "key", ratePerS=1000, burst=50)]
#: Maximum time until an instance has logged what was stored, in seconds.
LOG_SECONDS = 10.0
#: Levels of nesting at which decoders give up.
DEPTH = 1500
DEEP = b'{"notes": ' + b"[" * DEPTH + b"]" * DEPTH + b"}"


def make_entry(**fields: Any) -> bytes:
    """Return the entry of a leaf in the form in which leaves store it."""
    entry = {
        "backend": "shard-0",
        "address": "127.0.0.1:1",
        "zone": "north-a",
        "version": "v1",
        "slots": 2,
        "state": "ready",
        "warmupLeftMs": 0,
        "seq": 1,
    }
    return msgspec.json.encode(entry | fields)


def make_content(version: int = 1000, **fields: Any) -> bytes:
    """Return a configuration with some fields replaced."""
    content = make_configuration(version, [ROUTE]) | {"tenants": TEAMS} | fields
    return msgspec.json.encode(content)


class Fleet:
    """Two instances, and leaves that serve one route."""

    def __init__(self, world: ProcessWorld) -> None:
        self.world = world
        self.machines: list[Machine] = []
        self.markers = 0

    async def start(
        self, stored: Mapping[str, bytes] = {}, configuration: bytes | None = None
    ) -> None:
        """Start leaves and instances once some values are stored.

        Args:
            stored: values by key.
            configuration: a configuration that is stored until the instances read it.
        """
        await self.start_leaves()
        for key, value in stored.items():
            self.world.store.put(key, value)
        if configuration is None:
            self.configure()
        else:
            self.world.store.put("op/config", configuration)
        self.start_processes()
        if configuration is not None:
            await self.wait_logged("routes_bad")
            self.configure()
        await self.wait_ready()

    async def start_leaves(self) -> None:
        """Start one leaf of each shard."""
        for shard in SHARDS:
            await self.world.start_leaf(f"i-{shard}", shard, records=b"r" * 64)

    def start_processes(self) -> None:
        """Start the processes of the instances."""
        for name, data_centre in (("one", "north-a"), ("two", "south-a")):
            machine = self.world.add_machine(name, data_centre)
            self.machines.append(machine)
            self.world.start(machine)

    async def wait_ready(self) -> None:
        """Wait until all instances are ready."""
        for machine in self.machines:
            await self.world.wait_ready(machine)

    def configure(self, **fields: Any) -> int:
        """Store the next version of the configuration; return its number."""
        self.world.version += 1
        version = self.world.version
        self.world.store.put("op/config", make_content(version, **fields))
        return version

    async def check_unharmed(self) -> None:
        """Check that later changes are in force and requests are answered."""
        self.markers += 1
        id = f"marker-{self.markers}"
        self.world.add_entry(id, "nowhere", "127.0.0.1:9")
        version = self.configure()
        await self.wait_logged("leaf_added", f'"leaf": "{id}"')
        await self.wait_logged("routes_in_force", f'"version": {version},')
        await self.check_serving()

    async def check_serving(self, cause: str = "") -> None:
        """Check that no process has ended and requests are answered."""
        for machine in self.machines:
            reply = await self.world.ask(machine, "/all/x")
            log = machine.read_log()[-2000:]
            assert reply is not None and reply.status == 200, (cause, log)
        self.check_no_ends()

    def check_no_ends(self) -> None:
        """Check that no process has ended."""
        for machine in self.machines:
            assert machine.ends == [], machine.read_log()[-2000:]

    async def wait_logged(self, event: str, *details: str, count: int = 1) -> None:
        """Wait until each instance has logged an event with some details."""
        for machine in self.machines:
            with trio.move_on_after(LOG_SECONDS):
                while count_logged(machine, event, details) < count:
                    assert machine.ends == [], machine.read_log()[-2000:]
                    await trio.sleep(POLL_INTERVAL)
            assert count_logged(machine, event, details) >= count, (event, details)

    async def wait_any_logged(self, event: str) -> None:
        """Wait until some instance has logged an event."""
        with trio.move_on_after(LOG_SECONDS):
            while not any(count_logged(item, event, ()) for item in self.machines):
                await trio.sleep(POLL_INTERVAL)
        self.check_no_ends()
        assert any(count_logged(item, event, ()) for item in self.machines), event


def count_logged(machine: Machine, event: str, details: tuple[str, ...]) -> int:
    """Return how many lines of an event an instance has logged."""
    wanted = (f'"event": "{event}"', *details)
    lines = machine.read_log().splitlines()
    return sum(all(part in line for part in wanted) for line in lines)


def with_fleet(folder, action):
    """Run `action(fleet)` with a fleet that isn't started yet."""

    async def run():
        async with open_processes(folder) as world:
            await action(Fleet(world))

    trio.run(run)


#: Entries that name no leaf.
BAD_ENTRIES = {
    "nested": DEEP,
    "with\r\nline-break": make_entry(),
    "with\x00nothing": make_entry(),
    " ": make_entry(),
    "": make_entry(),
    "no-address": make_entry(address="nowhere"),
    "scoped-address": make_entry(address="::1%lo:99"),
    "odd-scope": make_entry(address="::1%\xe9:99"),
    "port-zero": make_entry(address="127.0.0.1:0"),
    "any-address": make_entry(address="0.0.0.0:99"),
    "group-address": make_entry(address="[ff02::1]:99"),
}


def test_unreadable_leaf_entries_end_no_process(tmp_path):
    # Guards against one entry that ends the processes of all instances at once.
    async def action(fleet):
        await fleet.start()
        for name, value in BAD_ENTRIES.items():
            fleet.world.store.put(f"servers/{name}", value)
        for name in BAD_ENTRIES:
            key = json.dumps(f"servers/{name}")
            await fleet.wait_logged("leaf_entry_bad", f'"key": {key}')
        await fleet.check_unharmed()

    with_fleet(tmp_path, action)


def test_unreadable_leaf_entries_stop_no_start(tmp_path):
    # Guards against one entry that ends every new process at its first read.
    async def action(fleet):
        stored = {f"servers/{name}": value for name, value in BAD_ENTRIES.items()}
        await fleet.start(stored)
        await fleet.check_unharmed()

    with_fleet(tmp_path, action)


#: Entries with figures that no clock holds; their leaves are used.
ODD_ENTRIES = {
    "cold-for-ever": make_entry(warmupLeftMs=1e19),
    "warm-for-ever": make_entry(warmupLeftMs=-1e19),
}


def test_leaf_entries_with_extreme_figures_end_no_process(tmp_path):
    # Guards against figures of an entry that no clock holds and that end a process.
    async def action(fleet):
        await fleet.start({f"servers/{id}": ODD_ENTRIES[id] for id in ODD_ENTRIES})
        for id, value in ODD_ENTRIES.items():
            await fleet.wait_logged("leaf_added", f'"leaf": "{id}"')
            fleet.world.store.put(f"servers/{id}-again", value)
            await fleet.wait_logged("leaf_added", f'"leaf": "{id}-again"')
        await fleet.check_unharmed()

    with_fleet(tmp_path, action)


#: Documents that can't be in force; the one before them stays.
BAD_CONFIGURATIONS = {
    "nested": DEEP,
    "negative-timeout": make_content(routes=[ROUTE | {"timeoutMs": -1e19}]),
    "negative-records": make_content(routes=[ROUTE | {"topK": -5}]),
    "too-much-coverage": make_content(routes=[ROUTE | {"minCoverage": 1.5}]),
    "no-idle-time": make_content(limits={"idleTimeoutMs": 0}),
    "huge-version": make_content(version=2**64),
}


def test_unreadable_configurations_end_no_process(tmp_path):
    # Guards against a document that ends the processes in place of being rejected.
    async def action(fleet):
        await fleet.start()
        for number, value in enumerate(BAD_CONFIGURATIONS.values(), 1):
            fleet.world.store.put("op/config", value)
            await fleet.wait_logged("routes_bad", count=number)
        await fleet.check_unharmed()

    with_fleet(tmp_path, action)


def test_unreadable_configuration_stops_no_start(tmp_path):
    # Guards against a document that ends every new process until it is replaced.
    async def action(fleet):
        await fleet.start(configuration=DEEP)
        await fleet.check_unharmed()

    with_fleet(tmp_path, action)


#: Changes of a configuration to figures that no clock holds. It is in force with them.
ODD_CONFIGURATIONS = {
    "time": {"routes": [ROUTE | {"timeoutMs": 1e19, "targetLatencyMs": 1e300}]},
    "idle-time": {"limits": {"idleTimeoutMs": 8e16, "maxBodyBytes": 2**63 - 1}},
    "cold-leaves": {
        "services": [{"name": SHARDS[0], "warmupS": 1e15, "warmupPerS": 1.7e308}]
    },
    "connections": {"services": [{"name": SHARDS[0], "maxConns": 2**63 - 1}] * 2},
    "no-connections": {"services": [{"name": SHARDS[0], "maxConns": -3}]},
    "weights": {
        "routes": [
            ROUTE,
            make_route(
                "split",
                "/split/",
                trafficSplit=[{"backend": name, "weight": 1e15} for name in SHARDS],
                public=True,
            ),
        ]
    },
    "rates": {"tenants": [make_team("fitters", "key", ratePerS=1.7e308, burst=1e308)]},
}


def test_configurations_with_extreme_figures_end_no_process(tmp_path):
    # Guards against figures of a document that end a process once they are used.
    async def action(fleet):
        await fleet.start()
        fleet.world.store.put("servers/cold", make_entry(warmupLeftMs=60_000))
        for fields in ODD_CONFIGURATIONS.values():
            version = fleet.configure(**fields)
            await fleet.wait_logged("routes_in_force", f'"version": {version},')
            await fleet.check_serving()
        await fleet.check_unharmed()

    with_fleet(tmp_path, action)


#: Values of keys that instances share, which describe no instance and no share.
BAD_SHARED = {
    "walkcart/instances/nested": DEEP,
    "walkcart/quota/0": DEEP,
    "walkcart/quarantine/" + "0" * 32: DEEP,
    "walkcart/cold/north-a/0": DEEP,
    "walkcart/other/nested": DEEP,
}
#: Those of them whose readers log them.
LOGGED_SHARED = ("instances", "quota", "quarantine")


def test_unreadable_shared_keys_end_no_process(tmp_path):
    # Guards against keys of the instances that end the process of their reader.
    async def action(fleet):
        await fleet.start(BAD_SHARED)
        for key in BAD_SHARED:
            if key.split("/")[1] in LOGGED_SHARED:
                await fleet.wait_logged("peer_bad_message", f'"key": "{key}"')
        await fleet.check_unharmed()
        for key, value in BAD_SHARED.items():
            fleet.world.store.put(key + "1", value)
        for name in LOGGED_SHARED:
            await fleet.wait_logged("peer_bad_message", f"walkcart/{name}", count=3)
        await fleet.check_unharmed()

    with_fleet(tmp_path, action)


#: Records of instances that have extreme figures, or can't be reached.
ODD_RECORDS = {
    "huge": {"cores": 1e300, "peer_address": "127.0.0.1:1"},
    "tiny": {"cores": -1e300, "peer_address": "127.0.0.1:1"},
    "scoped": {"peer_address": "[::1%\xe9]:1"},
    "nowhere": {"peer_address": "nowhere"},
    "nobody\r\n": {"peer_address": "127.0.0.1:0"},
}


def test_records_of_instances_with_extreme_figures_end_no_process(tmp_path):
    # Guards against records of instances that end the others.
    async def action(fleet):
        records = {
            f"walkcart/instances/{name}": msgspec.json.encode(
                {"name": name, "started": "", "data_centre": "north-a"}
                | {"region": "north"}
                | fields
            )
            for name, fields in ODD_RECORDS.items()
        }
        await fleet.start(records)
        await fleet.wait_logged("instances_changed", "huge")
        await fleet.wait_any_logged("quota_share_taken")
        await fleet.check_unharmed()

    with_fleet(tmp_path, action)
