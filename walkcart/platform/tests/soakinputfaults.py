"""Faults of a soak test that send bad input to the daemons.

Each function undoes what it did, also when it is cancelled.
"""

from __future__ import annotations

import trio

from walkcart.kernel.settings import HostPort
from walkcart.membership.instancerecord import INSTANCE_PREFIX
from walkcart.platform.tests.processmachine import METRICS_PORT
from walkcart.platform.tests.soaked import Soaked
from walkcart.platform.tests.soakenvironment import LONE_SERVICE, SHARDS, make_entry
from walkcart.platform.tests.soakinput import (
    BAD_DOCUMENTS,
    BAD_ENTRIES,
    BAD_PEER_BYTES,
    BAD_REPLIES,
    BAD_REQUESTS,
    BAD_SHARED_VALUES,
    ENTRY_KEYS,
    PEER_HANDSHAKE,
    SHARED_PREFIXES,
    UNREADABLE,
    USELESS_REPLIES,
    frame,
    send_bytes,
    send_endless,
    serve_bad_replies,
    serve_closing_peer,
)
from walkcart.wire.network import TcpNetwork

#: Instances that are listed at an address that closes each connection.
CLOSING_PEERS = 10


async def store_bad_entries(soaked: Soaked, name: str, duration: float) -> None:
    """Store entries of leaves that can't be read."""
    values = (UNREADABLE, *soaked.random.sample(BAD_ENTRIES, 3))
    keys = [f"servers/{soaked.random.choice(ENTRY_KEYS)}{n}" for n in range(4)]
    with soaked.environment.store_values(dict(zip(keys, values, strict=True))):
        await trio.sleep(duration)


async def store_bad_document(soaked: Soaked, name: str, duration: float) -> None:
    """Replace the configuration by one that can't be read, and store a good one."""
    try:
        for value in (UNREADABLE, *soaked.random.sample(BAD_DOCUMENTS, 2)):
            soaked.environment.store.put("op/config", value)
            await trio.sleep(duration / 3)
    finally:
        soaked.environment.change_routes()


async def store_bad_shared(soaked: Soaked, name: str, duration: float) -> None:
    """Store keys between those of the instances that none of them wrote."""
    values = {
        f"{prefix}bad{soaked.random.randrange(10)}": soaked.random.choice(
            BAD_SHARED_VALUES
        )
        for prefix in SHARED_PREFIXES
    }
    values[f"{INSTANCE_PREFIX}unreadable"] = UNREADABLE
    with soaked.environment.store_values(values):
        await trio.sleep(duration)


async def list_closing_peers(soaked: Soaked, name: str, duration: float) -> None:
    """Store keys of instances whose address closes each connection that comes up."""
    async with trio.open_nursery() as nursery:
        address = await nursery.start(serve_closing_peer)
        records = {
            f"{INSTANCE_PREFIX}closing-{number}": {
                "name": f"closing-{number}",
                "started": "1",
                "data_centre": "north-a",
                "region": "north",
                "peer_address": str(address),
            }
            for number in range(CLOSING_PEERS)
        }
        with soaked.environment.store_values(records):
            await trio.sleep(duration)
        nursery.cancel_scope.cancel()


async def add_bad_leaf(soaked: Soaked, name: str, duration: float) -> None:
    """Add leaves that send bytes without end, or no HTTP."""
    await _add_leaf(soaked, duration, BAD_REPLIES)


async def add_useless_leaf(soaked: Soaked, name: str, duration: float) -> None:
    """Add leaves that are silent, or whose replies answer nothing."""
    await _add_leaf(soaked, duration, USELESS_REPLIES)


async def _add_leaf(
    soaked: Soaked, duration: float, replies: tuple[tuple[bytes, bytes], ...]
) -> None:
    # On a busy machine a sound leaf of the same service answers before a bad reply has
    # reached its bound, so that nobody learns that it is bad.
    services = (soaked.random.choice(("plain", f"shard-{SHARDS - 1}")), LONE_SERVICE)
    async with trio.open_nursery() as nursery:
        entries = {}
        for number, service in enumerate(services):
            address = await nursery.start(serve_bad_replies, soaked.random, replies)
            entry = make_entry(service, str(address), "north-a")
            entries[f"servers/bad-leaf-{number}"] = entry
        with soaked.environment.store_values(entries):
            await trio.sleep(duration)
        nursery.cancel_scope.cancel()


async def send_bad_requests(soaked: Soaked, name: str, duration: float) -> None:
    """Send what is no request to the ports of a daemon that speak HTTP."""
    machine = soaked.daemons.machines[name]
    ports = (machine.callers, machine.readiness, HostPort(machine.ip, METRICS_PORT))
    async with trio.open_nursery() as nursery:
        nursery.start_soon(send_bytes, machine.callers, UNREADABLE * 50, duration)
        for data in soaked.random.sample(BAD_REQUESTS, 6):
            address = soaked.random.choice(ports)
            nursery.start_soon(send_bytes, address, data, duration)
        head = b"GET /one/x HTTP/1.1\r\n"
        nursery.start_soon(send_endless, machine.callers, head, b"X: " + b"y" * 4000)


async def send_peer_bytes(soaked: Soaked, name: str, duration: float) -> None:
    """Send what is no message of a peer to the port for peers."""
    address = await find_peer_port(soaked, name)
    if address is None:
        return
    async with trio.open_nursery() as nursery:
        unreadable = PEER_HANDSHAKE + frame(UNREADABLE)
        nursery.start_soon(send_bytes, address, unreadable, duration)
        for data in soaked.random.sample(BAD_PEER_BYTES, 5):
            nursery.start_soon(send_bytes, address, data, duration)
        chunk = frame(b"x" * 60_000)
        nursery.start_soon(send_endless, address, PEER_HANDSHAKE, chunk)


async def find_peer_port(soaked: Soaked, name: str) -> HostPort | None:
    """Return the port on which a daemon listens for peers; None if it doesn't."""
    for address in soaked.daemons.machines[name].peers:
        try:
            stream = await TcpNetwork().connect(address)
        except OSError:
            continue
        await trio.aclose_forcefully(stream)
        return address
    return None
