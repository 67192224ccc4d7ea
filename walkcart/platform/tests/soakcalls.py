"""The callers of a soak, and what they check of each answer."""

from __future__ import annotations

from collections import Counter
from random import Random

import trio

from walkcart.kernel.settings import HostPort
from walkcart.platform.records import merge_records
from walkcart.platform.tests.platformworld import HOST
from walkcart.platform.tests.soakestate import (
    LEAST_COVERAGE,
    SHARDS,
    TOP,
    SoakEstate,
)
from walkcart.platform.tests.soakteams import TEAMS, key_of
from walkcart.wire.http import (
    ExchangeFailed,
    Headers,
    HttpConnection,
    HttpReply,
    HttpRequest,
)
from walkcart.wire.network import TcpNetwork

CALLERS = 6
GAP = 0.03
BODY_LIMIT = 1 << 20
PATIENCE_MS = 2000
#: Seconds past its patience after which a caller gives up: a paused daemon.
GIVE_UP = 6.0
#: Statuses that promise that the request did not run.
PROMISES = frozenset({408, 421, 429, 503})


class SoakCallers:
    """Ask the daemons all the time, over connections that they keep.

    Args:
        estate: knows daemons and leafs.
        random: chooses what is asked of whom.
    """

    def __init__(self, estate: SoakEstate, random: Random) -> None:
        self._estate = estate
        self._random = random
        self._number = 0
        self.seen: Counter[str] = Counter()
        self.broken: list[str] = []
        self.told_not_run: set[str] = set()

    async def run(self) -> None:
        """Ask until cancelled."""
        async with trio.open_nursery() as nursery:
            for _ in range(CALLERS):
                nursery.start_soon(self._call)

    async def is_ready(self, name: str) -> bool:
        """Return whether a daemon wants connections."""
        address = HostPort("127.0.0.1", self._estate.ports_of(name) + 1)
        reply = await self._exchange_once(address, HttpRequest("GET", "/api/ready"))
        return reply is not None and reply.status == 200

    async def ask_status(self, name: str, path: str, key: str = "") -> int:
        """Return the status of one request; 0 without an answer.

        Args:
            name: of the daemon.
            path: to ask for.
            key: to show where there are teams; by default one that stays.
        """
        address = HostPort("127.0.0.1", self._estate.ports_of(name))
        request = self._make_request("one", path, key or key_of(TEAMS[0]))
        reply = await self._exchange_once(address, request)
        return reply.status if reply else 0

    async def _exchange_once(
        self, address: HostPort, request: HttpRequest
    ) -> HttpReply | None:
        with trio.move_on_after(GIVE_UP):
            try:
                stream = await TcpNetwork().connect(address)
                connection = HttpConnection(stream, HOST, BODY_LIMIT)
                try:
                    return await connection.exchange(request)
                finally:
                    with trio.CancelScope(shield=True):
                        await connection.close()
            except (OSError, ExchangeFailed):
                return None
        return None

    def _make_request(self, kind: str, path: str, key: str = "") -> HttpRequest:
        self._number += 1
        id = f"{kind}-{self._number}"
        headers: Headers = (
            (b"host", HOST.encode()),
            (b"x-request-id", id.encode()),
            (b"x-deadline-ms", b"%d" % PATIENCE_MS),
        )
        teams = self._estate.teams
        if teams is not None:
            headers += teams.show(id, key) if key else teams.choose_key(id)
        method = "POST" if kind == "once" else "GET"
        return HttpRequest(method, path, headers)

    async def _call(self) -> None:
        """Ask one daemon over one connection until it ends, then another."""
        while True:
            name = self._random.choice(sorted(self._estate.store_proxies))
            address = HostPort("127.0.0.1", self._estate.ports_of(name))
            try:
                stream = await TcpNetwork().connect(address)
            except OSError:
                self.seen["no connection"] += 1
                await trio.sleep(GAP * 5)
                continue
            connection = HttpConnection(stream, HOST, BODY_LIMIT)
            try:
                while await self._ask(connection) and connection.prepare_next():
                    await trio.sleep(GAP)
            finally:
                with trio.CancelScope(shield=True):
                    await connection.close()

    async def _ask(self, connection: HttpConnection) -> bool:
        """Ask once; return whether an answer came."""
        kind = self._random.choice(["all", "all", "one", "once", "home"])
        request = self._make_request(kind, f"/{kind}/x")
        with trio.move_on_after(GIVE_UP):
            try:
                reply = await connection.exchange(request)
            except ExchangeFailed:
                self.seen[f"{kind} cut"] += 1
                return False
            self.seen[f"{kind} {reply.status}"] += 1
            self._check(kind, request.header(b"x-request-id") or "", reply)
            return True
        self.seen[f"{kind} given up"] += 1
        return False

    def _check(self, kind: str, id: str, reply: HttpReply) -> None:
        if kind == "once" and reply.status in PROMISES:
            self.told_not_run.add(id)
        if reply.status != 200:
            return
        if self._estate.teams is not None and self._estate.teams.is_stranger(id):
            self.broken.append(f"{id}: answered without a key that anybody has")
        if kind == "all":
            self._check_merged(id, reply)
            return
        stamp = reply.header(b"x-response-stamp") or ""
        leaf = self._find_leaf(stamp, id)
        if leaf is None or reply.body != self._estate.leafs[leaf].records:
            self.broken.append(f"{id}: not the answer of a leaf: {stamp}")

    def _check_merged(self, id: str, reply: HttpReply) -> None:
        stamps = (reply.header(b"x-part-stamps") or "").split(", ")
        missing = int(reply.header(b"x-missing-parts") or 0)
        found = [self._find_leaf(stamp, id) for stamp in stamps]
        leaves = [leaf for leaf in found if leaf is not None]
        shards = {leaf.split("-")[0] for leaf in leaves}
        if len(leaves) != len(stamps) or len(shards) != len(stamps):
            self.broken.append(f"{id}: stamps of others, or two of one shard: {stamps}")
        elif len(shards) + missing != SHARDS or len(shards) < LEAST_COVERAGE * SHARDS:
            self.broken.append(f"{id}: {len(shards)} parts and {missing} missing")
        else:
            bodies = [self._estate.leafs[leaf].records for leaf in leaves]
            if reply.body != merge_records(bodies, TOP):
                self.broken.append(f"{id}: not the greatest records of its parts")

    def _find_leaf(self, stamp: str, id: str) -> str | None:
        """Return the leaf that gave this stamp to this request, or None."""
        for name in self._estate.leafs:
            if stamp == f"stamp-{name}-{id}":
                return name
        return None
