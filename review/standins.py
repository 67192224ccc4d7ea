"""Stand-ins of the users' platform for the scripts of this review.

These are the store, leafs and callers. They use the standard library only, listen on
loopback addresses and free ports, and do what PROTOCOL.md says. Faults are off unless a
script sets them.
"""

from __future__ import annotations

import asyncio
import ctypes
import json
import os
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
from base64 import b64decode, b64encode
from dataclasses import dataclass, field
from pathlib import Path
from random import Random, SystemRandom
from urllib.parse import parse_qs, urlsplit

ROOT = Path(__file__).resolve().parent.parent
#: The command of role `entry` in deploy/system.toml.
COMMAND = ("python3", "-m", "walkcart.daemon.platform")
#: Bounds of the small deployment of the site file swapline-tas.toml.
DRAIN_MS = 3000
CONTACT_MS = 4000
GRACE_S = 6
CONFIG_APPLY_MS = 3000
HEARTBEAT_MS = 1200
#: Items of one page: the value `page` of the site file.
PAGE_ITEMS = 50
STORE_ANSWER_S = 0.004
#: Range of the machines' ports.
PORT_RANGE = (12000, 30000)
#: Ports of one machine, with the one that reserves the others.
PORT_BLOCK = 5
#: Option of prctl(2): the signal that a process gets when its parent ends.
PR_SET_PDEATHSIG = 1
EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 1, 2


class CannotRun(Exception):
    """The case couldn't run; the message says why."""


class Record:
    """Writes what was sent, answered and run, one line of JSON each."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._start = time.monotonic()

    def now(self) -> float:
        """Return the seconds since the start of the script."""
        return time.monotonic() - self._start

    def write(self, event: str, **fields: object) -> None:
        """Write one line."""
        line = {"t": round(self.now(), 4), "event": event, **fields}
        self._file.write(json.dumps(line) + "\n")

    def close(self) -> None:
        """Write the rest of the lines."""
        self._file.close()


@dataclass
class Message:
    """A request or an answer, with header names in lower case."""

    first: str
    headers: dict[str, str]
    body: bytes

    @property
    def status(self) -> int:
        """Status of an answer."""
        return int(self.first.split()[1])


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Read one message that has a length; None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        pairs = (line.partition(":") for line in lines[1:] if line)
        headers = {name.strip().lower(): value.strip() for name, _, value in pairs}
        length = int(headers.get("content-length", 0))
        body = await reader.readexactly(length) if length else b""
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return Message(lines[0], headers, body)


def encode_answer(
    status: int, headers: dict[str, str] | None = None, body: bytes = b""
) -> bytes:
    """Return the bytes of an answer."""
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    lines += [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode("latin-1") + body


@dataclass
class Version:
    """One version of an item; `value` is None where the item was removed."""

    revision: int
    at: float
    value: bytes | None
    created: int = 0
    lease: int = 0


@dataclass
class Store:
    """The platform's store: items, watches, transactions and leases.

    Args:
        draw_age: returns how old, in seconds, the next read with `serializable` is.
    """

    draw_age: object = None
    revision: int = 100
    items: dict[str, list[Version]] = field(default_factory=dict)
    history: list[tuple[str, Version]] = field(default_factory=list)
    leases: dict[int, tuple[float, float]] = field(default_factory=dict)
    next_lease: int = 1000
    changed: asyncio.Event = field(default_factory=asyncio.Event)
    on_page: object = None

    def put(self, key: str, value: bytes, lease: int = 0) -> int:
        """Store a value and return its revision."""
        self.revision += 1
        versions = self.items.setdefault(key, [])
        alive = versions and versions[-1].value is not None
        created = versions[-1].created if alive else self.revision
        version = Version(self.revision, time.monotonic(), value, created, lease)
        versions.append(version)
        del versions[:-60]
        self._add_event(key, version)
        return self.revision

    def remove(self, key: str) -> int:
        """Remove an item and return the revision of the removal."""
        self.revision += 1
        version = Version(self.revision, time.monotonic(), None)
        self.items[key].append(version)
        self._add_event(key, version)
        return self.revision

    def _add_event(self, key: str, version: Version) -> None:
        self.history.append((key, version))
        del self.history[:-40000]
        self.changed.set()
        self.changed = asyncio.Event()

    def find(self, key: str, at: float | None = None) -> Version | None:
        """Return the item as it is now, or as it was at a time."""
        for version in reversed(self.items.get(key, ())):
            if at is None or version.at <= at:
                return version if version.value is not None else None
        return None

    def describe(self, key: str, version: Version) -> dict[str, object]:
        """Return an item as calls return it."""
        if version.value is None:
            return {"tlsKey": key, "revision": version.revision, "deleted": True}
        return {
            "tlsKey": key,
            "value": b64encode(version.value).decode(),
            "revision": version.revision,
            "created": version.created,
            "lease": version.lease,
        }

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serve one connection."""
        try:
            while (request := await read_message(reader)) is not None:
                status, content = await self._answer(request)
                body = json.dumps(content).encode()
                headers = {"Content-Type": "application/json"}
                writer.write(encode_answer(status, headers, body))
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def _answer(self, request: Message) -> tuple[int, dict[str, object]]:
        await asyncio.sleep(STORE_ANSWER_S)
        self._expire_leases()
        method, target, _ = request.first.split(" ")
        parts = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        content = json.loads(request.body) if request.body else {}
        path = parts.path
        if path == "/api/kv-key":
            version = self.find(query["tlsKey"])
            if version is None:
                return 404, {}
            return 200, self.describe(query["tlsKey"], version)
        if path == "/api/kv-range":
            return 200, self._list(query)
        if path == "/api/kv-watch":
            return await self._watch(query)
        if path == "/api/kv-txn":
            return self._transact(content)
        if path == "/api/kv-lease":
            self.next_lease += 1
            seconds = max(1.0, content["ttlMs"] / 1000)
            self.leases[self.next_lease] = (time.monotonic() + seconds, seconds)
            return 200, {"lease": self.next_lease, "ttlMs": int(seconds * 1000)}
        number = int(path.rsplit("/", 1)[1])
        if path.startswith("/api/kv-keep/"):
            if number not in self.leases:
                return 404, {}
            seconds = self.leases[number][1]
            self.leases[number] = (time.monotonic() + seconds, seconds)
            return 200, {"ttlMs": int(seconds * 1000)}
        if path.startswith("/api/kv-lease-end/"):
            self._end_lease(number)
            return 200, {}
        return 404, {}

    def _list(self, query: dict[str, str]) -> dict[str, object]:
        prefix, after = query["pathPrefix"], query.get("after", "")
        at, age, revision = None, 0.0, self.revision
        if query.get("serializable") == "1" and self.draw_age is not None:
            age = self.draw_age()
            at = time.monotonic() - age
            seen = [version.revision for _, version in self.history if version.at <= at]
            revision = max(seen, default=100)
        found = []
        for key in sorted(self.items):
            if key.startswith(prefix) and key > after:
                version = self.find(key, at)
                if version is not None:
                    found.append(self.describe(key, version))
        if self.on_page is not None:
            self.on_page(prefix, after, age, revision, len(found[:PAGE_ITEMS]))
        return {
            "items": found[:PAGE_ITEMS],
            "truncated": len(found) > PAGE_ITEMS,
            "asOf": revision,
        }

    async def _watch(self, query: dict[str, str]) -> tuple[int, dict[str, object]]:
        prefix, after = query["pathPrefix"], int(query["after"])
        until = time.monotonic() + int(query["waitMs"]) / 1000
        while True:
            if self.history and after < self.history[0][1].revision - 1:
                return 410, {}
            events = []
            for key, version in reversed(self.history):
                if version.revision <= after:
                    break
                if key.startswith(prefix):
                    events.append(self.describe(key, version))
            if events:
                events.reverse()
                if len(events) > 400:
                    events = events[:400]
                    return 200, {"events": events, "asOf": events[-1]["revision"]}
                return 200, {"events": events, "asOf": self.revision}
            left = until - time.monotonic()
            if left <= 0:
                return 200, {"events": [], "asOf": self.revision}
            changed = self.changed
            try:
                await asyncio.wait_for(changed.wait(), left)
            except TimeoutError:
                pass

    def _transact(self, content: dict) -> tuple[int, dict[str, object]]:
        expected = content.get("expectedRevision", [])
        for row in expected:
            held = self.find(row["tlsKey"])
            if (held.revision if held else 0) != row["revision"]:
                present = [
                    (row["tlsKey"], self.find(row["tlsKey"])) for row in expected
                ]
                items = [self.describe(key, held) for key, held in present if held]
                return 412, {"items": items}
        for put in content.get("puts", []):
            if put.get("lease") and put["lease"] not in self.leases:
                return 404, {}
        for put in content.get("puts", []):
            self.put(put["tlsKey"], b64decode(put["value"]), put.get("lease", 0))
        for key in content.get("remove", []):
            if self.find(key) is not None:
                self.remove(key)
        return 200, {"revision": self.revision}

    def _expire_leases(self) -> None:
        now = time.monotonic()
        for number in [n for n, (end, _) in self.leases.items() if end < now]:
            self._end_lease(number)

    def _end_lease(self, number: int) -> None:
        self.leases.pop(number, None)
        for key in list(self.items):
            held = self.find(key)
            if held is not None and held.lease == number:
                self.remove(key)


@dataclass
class Leaf:
    """One leaf: runs requests in its slots, and keeps its entry in the store.

    Args:
        id: id of its process.
        service: service that it serves.
        zone: its zone.
        record: where arrivals, runs and answers are written.
        draw_work: returns the seconds that the next request takes.
    """

    id: str
    service: str
    zone: str
    record: Record
    draw_work: object
    slots: int = 2
    queue: int = 12
    state: str = "ready"
    seq: int = 0
    running: int = 0
    waiting: int = 0
    address: str = ""
    ended: bool = False
    #: Ids of the requests that it has begun to work on.
    ran: list[str] = field(default_factory=list)
    #: Time and id of each request that reached it, but for those that got 421.
    arrivals: list[tuple[float, str]] = field(default_factory=list)
    #: Returns whether the next request is refused although there is room.
    draw_refusal: object = None
    #: Returns after how many seconds the next answer is sent again; None for never.
    draw_repeat: object = None
    _server: asyncio.Server | None = None
    _writers: set[asyncio.StreamWriter] = field(default_factory=set)
    _free: asyncio.Condition = field(default_factory=asyncio.Condition)

    async def start(self) -> None:
        """Listen on a free port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()[:2]
        self.address = f"{host}:{port}"

    def make_entry(self) -> bytes:
        """Return its entry for the store; each call counts as one writing."""
        self.seq += 1
        entry = {
            "backend": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "warmupLeftMs": 0,
            "seq": self.seq,
        }
        return json.dumps(entry).encode()

    async def end(self) -> None:
        """End the process: its connections close, and its port refuses new ones."""
        self.ended = True
        self.record.write("leaf ends", leaf=self.id, running=self.running)
        if self._server is not None:
            self._server.close()
        for writer in tuple(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while (request := await read_message(reader)) is not None:
                answer = await self._answer(request)
                writer.write(answer)
                await writer.drain()
                self._repeat(request, answer, writer)
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    def _repeat(
        self, request: Message, answer: bytes, writer: asyncio.StreamWriter
    ) -> None:
        """Send an answer once more, late, where the fault says so."""
        after = self.draw_repeat() if self.draw_repeat is not None else None
        if after is None:
            return
        id = request.headers.get("x-request-id", "")

        def send() -> None:
            if not writer.is_closing():
                status = int(answer.split()[1])
                self.record.write("extra answer", leaf=self.id, id=id, status=status)
                writer.write(answer)

        asyncio.get_running_loop().call_later(after, send)

    async def _answer(self, request: Message) -> bytes:
        id = request.headers.get("x-request-id", "")
        method, path, _ = request.first.split(" ")
        if path == "/health":
            status = 200 if self.state == "ready" else 503
            return encode_answer(status, {"X-Instance-Id": self.id})
        echo = {"X-Request-Id": id}
        self.record.write("arrives", leaf=self.id, id=id)
        if not id:
            return encode_answer(400, {"X-Not-Executed": "1"})
        if request.headers.get("x-expect-instance", self.id) != self.id:
            return encode_answer(421, {**echo, "X-Instance-Id": self.id})
        self.arrivals.append((self.record.now(), id))
        refused = self.draw_refusal is not None and self.draw_refusal()
        if refused or self.waiting >= self.queue:
            self.record.write("refused", leaf=self.id, id=id)
            return encode_answer(503, {**echo, "X-Not-Executed": "1"})
        self.waiting += 1
        try:
            async with self._free:
                await self._free.wait_for(lambda: self.running < self.slots)
                self.running += 1
        finally:
            self.waiting -= 1
        self.ran.append(id)
        self.record.write("runs", leaf=self.id, id=id, method=method, path=path)
        try:
            await asyncio.sleep(self.draw_work())
        finally:
            self.running -= 1
            async with self._free:
                self._free.notify()
        stamp = f"{self.id}.{id}"
        load = f"{self.running},{self.waiting},{self.slots}"
        headers = {**echo, "X-Response-Stamp": stamp, "X-Server-Load": load}
        return encode_answer(200, headers, f"done by {self.id}".encode())


def reserve_ports() -> tuple[socket.socket, list[int]]:
    """Reserve a block of ports of the loopback address for one machine.

    They lie below the ports that the system gives to outgoing connections, so that none
    of them is taken while a machine is down. The first one is bound and stays so, which
    keeps other scripts from using the block; the others are free.
    """
    random = SystemRandom()
    for _ in range(200):
        first = random.randrange(*PORT_RANGE, PORT_BLOCK)
        guard = socket.socket()
        try:
            guard.bind(("127.0.0.1", first))
        except OSError:
            guard.close()
            continue
        ports = list(range(first + 1, first + PORT_BLOCK))
        if all(_is_free(port) for port in ports):
            return guard, ports
        guard.close()
    raise CannotRun("no free ports")


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind(("127.0.0.1", port))
        except OSError:
            return False
        return True


def _end_with_parent() -> None:
    """Have the system kill this process when the script that started it ends."""
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


@dataclass
class Machine:
    """One machine of the deployment, with the process that it runs."""

    name: str
    zone: str
    region: str
    folder: Path
    record: Record
    zones: dict[str, str]
    store: str
    front: int = 0
    ready: int = 0
    process: subprocess.Popen | None = None
    #: Times of its starts and of the signals that it got.
    disturbed_at: list[float] = field(default_factory=list)

    def start(self) -> None:
        """Write the settings file and start the process, as the deploy file says."""
        if not self.front:
            self._guard, ports = reserve_ports()
            self.front, self.ready, *self._ports = ports
        path = self.folder / f"{self.name}.toml"
        path.write_text(self._make_settings(), encoding="utf-8")
        environment = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "LANG": "C.UTF-8",
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "WALKCART_NODE_FILE": str(path),
            "WALKCART_METRICS_PORT": "0",
        }
        with (self.folder / f"{self.name}.log").open("a") as log:
            self.process = subprocess.Popen(
                COMMAND,
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
                preexec_fn=_end_with_parent,
            )
        self.disturbed_at.append(self.record.now())
        self.record.write("machine started", machine=self.name, pid=self.process.pid)

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        assert self.process is not None
        self.record.write("signal", machine=self.name, signal=number)
        self.disturbed_at.append(self.record.now())
        self.process.send_signal(number)

    def end(self) -> None:
        """Kill the process if it runs, and wait for its end."""
        if self.process is not None:
            if self.process.poll() is None:
                self.process.kill()
            self.process.wait()

    def was_in_touch(self, at: float) -> bool:
        """Return whether it ran undisturbed in the `contactMs` before a time."""
        since = at - CONTACT_MS / 1000
        return not any(since <= moment <= at for moment in self.disturbed_at)

    def _make_settings(self) -> str:
        ports = self._ports
        zones = "\n".join(f'{zone} = "{region}"' for zone, region in self.zones.items())
        return f"""nodeName = "{self.name}"
role = "entry"
machineClass = "front"
serves = ["front"]
ip = "127.0.0.1"
zone = "{self.zone}"
region = "{self.region}"
portRange = [{ports[0]},{ports[1]}]
seeds = []
bootstrap = true
lossCounts = false
discovery = "platform"
entry = "virtual_ip"
heartbeatMs = {HEARTBEAT_MS}
contracts = ["base","drain","config","cost","retry","recover","scatter","platform"]
[zones]
{zones}
[listen]
front = "127.0.0.1:{self.front}"
ready = "127.0.0.1:{self.ready}"
[limits]
cpuShare = 0.537
cores = 2
memoryMb = 300
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 2
zones = 0
regions = 0
[bounds]
seedLagS = 3
addrReuseS = 2
contactMs = {CONTACT_MS}
ackMs = 5000
catchUpS = 4
drainMs = {DRAIN_MS}
graceS = {GRACE_S}
lossSlackMs = 200
configApplyMs = {CONFIG_APPLY_MS}
downgradeSlackMs = 250
maxStretchMs = 12000
retryBudgetRatio = 0.2
retryWindowS = 10
budgetSlack = 54
recoverS = 12
[platform]
address = "{self.store}"
form = "kv"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
"""


ZONES = {
    "hobart-derwent": "hobart",
    "launceston-tamar": "launceston",
    "burnie-emu": "burnie",
}
HOST = "pupu76.example"


class Deployment:
    """The store, the leafs and the machines of one run.

    Args:
        folder: folder of the case; the record goes there.
        seed: seed of everything that is drawn.
    """

    def __init__(self, folder: Path, seed: int) -> None:
        self.random = Random(seed)
        self.record = Record(folder / "record.txt")
        self.store = Store()
        self.leafs: list[Leaf] = []
        self.machines: list[Machine] = []
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self._store_address = ""
        self._tasks: list[asyncio.Task] = []

    async def start_store(self) -> None:
        """Start the store and the writing of the leafs' entries."""
        server = await asyncio.start_server(self.store.serve, "127.0.0.1", 0)
        self._server = server
        host, port = server.sockets[0].getsockname()[:2]
        self._store_address = f"{host}:{port}"
        self._tasks.append(asyncio.create_task(self._write_entries()))

    async def add_leaf(
        self,
        service: str,
        zone: str,
        draw_work: object,
        slots: int = 2,
        queue: int = 12,
    ) -> Leaf:
        """Start a leaf and store its entry."""
        id = f"i-{self.random.getrandbits(32):08x}"
        leaf = Leaf(id, service, zone, self.record, draw_work, slots, queue)
        await leaf.start()
        self.leafs.append(leaf)
        self.store.put(f"servers/{leaf.id}", leaf.make_entry())
        return leaf

    async def _write_entries(self) -> None:
        """Rewrite the entry of each leaf every `heartbeatMs`, spread over that time."""
        while True:
            leafs = [leaf for leaf in self.leafs if not leaf.ended]
            pause = HEARTBEAT_MS / 1000 / max(1, len(leafs))
            if not leafs:
                await asyncio.sleep(pause)
            for leaf in leafs:
                await asyncio.sleep(pause)
                key = f"servers/{leaf.id}"
                if not leaf.ended and self.store.find(key) is not None:
                    self.store.put(key, leaf.make_entry())

    def configure(self, version: int, routes: list[dict], services: list[dict]) -> None:
        """Store a configuration, as the operator does."""
        content = {
            "version": version,
            "routes": routes,
            "services": services,
            "limits": {
                "maxHeaderBytes": 16384,
                "maxBodyBytes": 262144,
                "headerTimeoutMs": 3000,
                "idleTimeoutMs": 15000,
            },
        }
        revision = self.store.put("op/config", json.dumps(content).encode())
        self.record.write("configuration stored", version=version, revision=revision)

    def add_machine(self, name: str, zone: str) -> Machine:
        """Add a machine; it isn't started yet."""
        machine = Machine(
            name,
            zone,
            ZONES[zone],
            self.folder,
            self.record,
            ZONES,
            self._store_address,
        )
        self.machines.append(machine)
        return machine

    async def start_machines(self) -> None:
        """Start all machines and wait until each calls itself ready."""
        for machine in self.machines:
            machine.start()
        for machine in self.machines:
            await self.wait_ready(machine)

    async def wait_ready(self, machine: Machine, limit: float = 20.0) -> None:
        """Wait until a machine calls itself ready."""
        until = time.monotonic() + limit
        while time.monotonic() < until:
            answer = await ask(machine.ready, "GET /api/ready HTTP/1.1", {}, b"", 1.0)
            if answer is not None and answer.status == 200:
                return
            if machine.process is None or machine.process.poll() is not None:
                log = (self.folder / f"{machine.name}.log").read_text()[-300:]
                raise CannotRun(f"{machine.name} has ended by itself: {log}")
            await asyncio.sleep(0.1)
        raise CannotRun(f"{machine.name} isn't ready after {limit} s")

    async def close(self) -> None:
        """End all processes that were started, and remove the temporary folder."""
        for task in self._tasks:
            task.cancel()
        for machine in self.machines:
            machine.end()
        self.record.close()
        if os.environ.get("KEEP_LOGS") == "1":
            print(f"logs: {self.folder}", file=sys.stderr)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


async def ask(
    port: int, first: str, headers: dict[str, str], body: bytes, limit: float
) -> Message | None:
    """Send one request on a new connection; None if no whole answer comes."""
    writer = None
    try:
        async with asyncio.timeout(limit):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            lines = [first]
            lines += [f"{name}: {value}" for name, value in headers.items()]
            if "Host" not in headers:
                lines.append("Host: platform")
            if body:
                lines.append(f"Content-Length: {len(body)}")
            writer.write("\r\n".join([*lines, "", ""]).encode("latin-1") + body)
            await writer.drain()
            return await read_message(reader)
    except (OSError, TimeoutError):
        return None
    finally:
        if writer is not None:
            writer.close()


def make_route(name: str, prefix: str, backend: str, **others: object) -> dict:
    """Return a route to one service."""
    return {
        "name": name,
        "host": HOST,
        "pathPrefix": prefix,
        "routeType": "idempotent",
        "timeoutMs": 6000,
        "targetLatencyMs": 673,
        "priority": 2,
        "backend": backend,
        "maxAttempts": 2,
        **others,
    }


def make_service(name: str, connections: int) -> dict:
    """Return a service."""
    return {
        "name": name,
        "healthPath": "/health",
        "maxConns": connections,
        "protocol": "h1",
        "tls": False,
    }


def run_case(play, folder: Path) -> None:
    """Run a case and exit with 0 if the rule held, 1 if it broke, 2 if it couldn't run.

    All processes that it started are ended, also when this one is stopped or killed.

    Args:
        play: plays the case on a deployment; returns the list of what broke the rule.
        folder: folder of the case.
    """
    if not (ROOT / "target" / "deps" / "trio").is_dir():
        print("not run: target/deps is missing; run the build of deploy/system.toml")
        sys.exit(EXIT_NOT_RUN)
    seed = int(os.environ.get("SEED", "1"))
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def main() -> list[str]:
        task = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        deployment = Deployment(folder, seed)
        deployment.record.write("begins", seed=seed, trouble=trouble)
        try:
            async with asyncio.timeout(112):
                await deployment.start_store()
                return await play(deployment, trouble)
        finally:
            await deployment.close()

    try:
        broken = asyncio.run(main())
    except (CannotRun, TimeoutError, OSError, asyncio.CancelledError) as error:
        print(f"not run: {error!r}")
        sys.exit(EXIT_NOT_RUN)
    for line in broken[:20]:
        print(f"broken: {line}")
    print(f"seed {seed}, trouble {int(trouble)}: {len(broken)} broken")
    sys.exit(EXIT_BROKEN if broken else EXIT_HELD)
