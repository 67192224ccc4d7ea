"""Stand-in of a leaf, with slots, a queue, index versions and injected faults.

Each row of a reply states the leaf, shard, layout, version and scope that it comes
from, so that a check needs the rows only. The leaf records every request that it ran.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

import msgspec
import trio

from walkcart.leaves import protocol
from walkcart.leaves.leaf import BadSnapshot, parse_snapshot
from walkcart.standins.faulty import FaultyStream
from walkcart.standins.leaf_faults import LeafFaults
from walkcart.standins.serving import StandinServer, reply_json
from walkcart.standins.store import apply_control
from walkcart.wire.http import HttpReply, HttpRequest

#: Maximum number of requests that run or wait; further ones are refused.
MAX_LOAD = 64
#: Maximum number of index versions that a leaf holds.
MAX_VERSIONS = 2
#: Seconds that a request takes under the fault `hang`.
HANG_TIME = 10.0


@dataclass(frozen=True, slots=True)
class LeafSpec:
    """The properties of a leaf.

    Args:
        name: its name, which is unique.
        group: its shard group, shown as a label.
        shard: number of its shard.
        layout: epoch of its layout.
        slots: number of requests that it runs at once.
        connections: maximum number of connections; further ones are refused.
        connect_time: seconds that a new connection takes.
        median: median of the service time, in seconds.
        spread: standard deviation of the service time's logarithm.
        labels: its other labels, besides group, shard and layout.
    """

    name: str
    group: str
    shard: int
    layout: int = 1
    slots: int = 2
    connections: int = 25
    connect_time: float = 0.006
    median: float = 0.008
    spread: float = 0.3
    labels: dict[str, str] = field(default_factory=dict)

    def all_labels(self) -> dict[str, str]:
        """Return the labels of the leaf in the instance list."""
        own = {
            "group": self.group,
            "shard": str(self.shard),
            "layout": str(self.layout),
        }
        return {**self.labels, **own}


@dataclass(frozen=True, slots=True)
class Run:
    """One request that the leaf began to run.

    Args:
        attempt: id of the attempt.
        once_key: once-key of a non-repeatable request; empty for others.
        at: when the request began to run, in seconds of trio's clock.
        scope: scope of the request.
        body: body of the request.
    """

    attempt: str
    once_key: str
    at: float
    scope: str
    body: bytes = b""


class LeafStandin:
    """A leaf that serves one shard.

    Args:
        spec: its properties.
        random: source of service times and faults.
        versions: the index versions that it holds.
        incarnation: number of its process incarnation.
    """

    def __init__(
        self,
        spec: LeafSpec,
        random: Random,
        versions: tuple[int, ...] = (1,),
        incarnation: int = 1,
    ) -> None:
        self.spec = spec
        self.faults = LeafFaults()
        #: Called with the body of each request when it begins to run. If the request
        #: crashes the leaf, the function stops the leaf and returns True.
        self.crashes_on: Callable[[bytes], bool] | None = None
        self.versions = versions
        self.incarnation = incarnation
        self.runs: list[Run] = []
        self.refused = 0
        self.requests = 0
        self.connections = 0
        self.peak_connections = 0
        self.connections_refused = 0
        self.once: Counter[str] = Counter()
        self._random = random
        self._slots = trio.CapacityLimiter(spec.slots)
        self._load = 0
        self._running: dict[str, trio.CancelScope] = {}

    def make_server(self) -> StandinServer:
        """Return the server of this leaf."""
        return _LeafServer(self)

    def load_version(self, version: int) -> None:
        """Load a new index version, and drop the oldest if there are too many."""
        if version not in self.versions:
            self.versions = tuple(sorted((*self.versions, version)))[-MAX_VERSIONS:]

    async def handle(self, request: HttpRequest) -> HttpReply:
        """Serve one request."""
        if request.target == "/control":
            return apply_control(self.faults, request)
        if request.target == "/record":
            return self._report_record()
        if request.target == protocol.STATUS_TARGET:
            return HttpReply(200, self._status_headers())
        if request.target.startswith(protocol.CANCEL_TARGET):
            return self._cancel(request.target[len(protocol.CANCEL_TARGET) :])
        if request.target != protocol.QUERY_TARGET:
            return HttpReply(404)
        return await self._query(request)

    def _report_record(self) -> HttpReply:
        """Return the requests that ran, for checks from another process."""
        bodies = sorted({run.body.decode("utf-8", "replace") for run in self.runs})
        return reply_json({"once": dict(self.once), "bodies": bodies})

    def _cancel(self, attempt: str) -> HttpReply:
        scope = self._running.get(attempt)
        if scope is not None:
            scope.cancel()
        return HttpReply(204, self._status_headers())

    async def _query(self, request: HttpRequest) -> HttpReply:
        headers = dict(request.headers)
        attempt = headers.get(protocol.ATTEMPT, b"").decode()
        self.requests += 1
        refusal = self._find_refusal(headers)
        if refusal is not None:
            return self._refuse(refusal, headers)
        self._load += 1
        budget = int(headers.get(protocol.DEADLINE, b"1000")) / 1000
        deadline = trio.current_time() + budget
        status = protocol.STATUS_CANCELLED
        try:
            with trio.CancelScope() as self._running[attempt]:
                status = await self._run(headers, request.body, deadline)
        finally:
            self._load -= 1
            self._running.pop(attempt, None)
        if status == protocol.STATUS_DEADLINE_PASSED:
            return self._refuse(status, headers)
        if status != 200:
            return HttpReply(status, (*self._echo(headers), *self._status_headers()))
        return self._answer(request, headers)

    def _find_refusal(self, headers: dict[bytes, bytes]) -> int | None:
        """Return the status with which the request is refused, or None."""
        faults = self.faults
        if faults.shed or faults.leaving or self._load >= MAX_LOAD:
            return protocol.STATUS_SHED
        try:
            pin = parse_snapshot(headers.get(protocol.PIN, b"0:0").decode())
        except BadSnapshot:
            return 400
        if pin.layout not in (0, self.spec.layout):
            return protocol.STATUS_NOT_HELD
        if pin.version and pin.version not in self.versions and not faults.no_pin:
            return protocol.STATUS_NOT_HELD
        return None

    def _refuse(self, status: int, headers: dict[bytes, bytes]) -> HttpReply:
        self.refused += 1
        ran = (protocol.RAN, b"no")
        return HttpReply(status, (*self._echo(headers), *self._status_headers(), ran))

    async def _run(
        self, headers: dict[bytes, bytes], body: bytes, deadline: float
    ) -> int:
        """Wait for a slot and run the request; return the status of the reply."""
        async with self._slots:
            if trio.current_time() >= deadline:
                return protocol.STATUS_DEADLINE_PASSED
            once_key = headers.get(protocol.ONCE_KEY, b"").decode()
            scope = headers.get(protocol.SCOPE, b"").decode()
            attempt = headers.get(protocol.ATTEMPT, b"").decode()
            now = trio.current_time()
            self.runs.append(Run(attempt, once_key, now, scope, body))
            if once_key:
                self.once[once_key] += 1
            if self.crashes_on is not None and self.crashes_on(body):
                await trio.sleep_forever()
            await trio.sleep(self._service_time())
            if self.faults.hang:
                # Longer than every deadline. The slot is free again afterwards.
                await trio.sleep(HANG_TIME)
        return 200

    def _service_time(self) -> float:
        """Return a random, log-normal service time in seconds."""
        log_factor = self._random.gauss(0.0, self.spec.spread)
        time = self.spec.median * math.exp(log_factor) * self.faults.slow
        if self._random.random() < self.faults.stall_share:
            time += self.faults.stall_time
        return time

    def _answer(self, request: HttpRequest, headers: dict[bytes, bytes]) -> HttpReply:
        version = self._version_for(headers)
        scope = headers.get(protocol.SCOPE, b"").decode()
        row = {
            "leaf": self.spec.name,
            "shard": self.spec.shard,
            "layout": self.spec.layout,
            "version": version,
            "scope": scope,
            "query": msgspec.Raw(request.body or b"null"),
        }
        body = msgspec.json.encode({"rows": [row]})
        if self._draw(self.faults.bad_rows):
            body = body[:-2]
        snapshot = (protocol.SNAPSHOT, b"%d:%d" % (self.spec.layout, version))
        partial = (protocol.PARTIAL, b"yes" if self.faults.partial else b"no")
        echo = self._echo(headers)
        return HttpReply(200, (*echo, *self._status_headers(), snapshot, partial), body)

    def _version_for(self, headers: dict[bytes, bytes]) -> int:
        """Return the index version from which a query is answered."""
        pin = parse_snapshot(headers.get(protocol.PIN, b"0:0").decode())
        if pin.version and not self.faults.no_pin:
            return pin.version
        if self.faults.late_version and len(self.versions) > 1:
            return self.versions[-2]
        return self.versions[-1]

    def _echo(self, headers: dict[bytes, bytes]) -> tuple[tuple[bytes, bytes], ...]:
        attempt = headers.get(protocol.ATTEMPT, b"")
        scope = headers.get(protocol.SCOPE, b"")
        if self._draw(self.faults.wrong_attempt):
            attempt = b"another.1"
        if self._draw(self.faults.wrong_scope):
            scope = b"another"
        return ((protocol.ATTEMPT, attempt), (protocol.SCOPE, scope))

    def _status_headers(self) -> tuple[tuple[bytes, bytes], ...]:
        load = self._load if self.faults.lie_load is None else self.faults.lie_load
        told = self.faults.leaving and not self.faults.mute_leaving
        held = ",".join(str(version) for version in self.versions)
        return (
            (protocol.HELD, held.encode()),
            (protocol.LOAD, b"%d" % load),
            (protocol.INCARNATION, b"%d" % self.incarnation),
            (protocol.STATE, b"leaving" if told else b"live"),
        )

    def _draw(self, share: float) -> bool:
        """Return at random whether a fault with this probability occurs."""
        return share > 0 and self._random.random() < share

    def corrupt(self, data: bytes) -> tuple[bytes, bool]:
        """Return the bytes to send in place of `data`, and whether to close after them.

        Only answers to queries, which have a snapshot header, are corrupted.
        """
        faults = self.faults
        if b"walkcart-snapshot" not in data[:600]:
            return data, False
        if self._draw(faults.drop_reply):
            return b"", True
        if self._draw(faults.garbage):
            return b"\x16\x03\x01 this is no HTTP\r\n\r\n" * 4, True
        if self._draw(faults.cut_body):
            return data[:-7], True
        if self._draw(faults.repeat_reply):
            return data + data, False
        if self._draw(faults.endless):
            return data.replace(b"content-length: ", b"content-length: 99", 1), True
        return data, False


class _LeafServer(StandinServer):
    """Limits and counts the connections of a leaf, and corrupts its replies."""

    def __init__(self, leaf: LeafStandin) -> None:
        super().__init__(leaf.handle)
        self._leaf = leaf

    async def serve(self, stream: trio.abc.Stream) -> None:
        """Serve one connection, or refuse it if the leaf has too many."""
        leaf = self._leaf
        if leaf.connections >= leaf.spec.connections:
            leaf.connections_refused += 1
            await trio.aclose_forcefully(stream)
            return
        leaf.connections += 1
        leaf.peak_connections = max(leaf.peak_connections, leaf.connections)
        try:
            await trio.sleep(leaf.spec.connect_time)
            await self.http.serve(FaultyStream(stream, leaf.corrupt))
        finally:
            leaf.connections -= 1
