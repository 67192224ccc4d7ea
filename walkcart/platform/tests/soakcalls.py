"""The callers of a soak test and their checks of each reply."""

from __future__ import annotations

from collections import Counter
from random import Random

import trio

from walkcart.kernel.settings import HostPort
from walkcart.platform.records import merge_records
from walkcart.platform.tests.platformworld import HOST
from walkcart.platform.tests.soakenvironment import (
    MIN_COVERAGE,
    SHARDS,
    TOP,
    SoakEnvironment,
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

#: Number of callers.
CALLERS = 6
#: Time between two requests of a caller, in seconds.
INTERVAL = 0.03
#: Maximum size of the body of a reply, in bytes.
BODY_LIMIT = 1 << 20
#: Deadline of each request, in milliseconds.
DEADLINE_MS = 2000
#: Time after which a caller gives up, in seconds. It is longer than the deadline, as a
#: daemon may be paused.
CALL_TIMEOUT = 6.0
#: Statuses that promise the caller that its request has not run.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})


class SoakCallers:
    """Callers that send requests to the daemons all the time, over open connections.

    Args:
        environment: knows the daemons and leaves.
        random: chooses requests and daemons.
    """

    def __init__(self, environment: SoakEnvironment, random: Random) -> None:
        self._environment = environment
        self._random = random
        self._number = 0
        self.seen: Counter[str] = Counter()
        self.broken: list[str] = []
        self.reported_not_run: set[str] = set()

    async def run(self) -> None:
        """Send requests until cancelled."""
        async with trio.open_nursery() as nursery:
            for _ in range(CALLERS):
                nursery.start_soon(self._run_caller)

    async def is_ready(self, name: str) -> bool:
        """Return whether a daemon reports that it is ready."""
        address = self._environment.machines[name].readiness
        reply = await self._exchange_once(address, HttpRequest("GET", "/api/ready"))
        return reply is not None and reply.status == 200

    async def ask_status(self, name: str, path: str, key: str = "") -> int:
        """Return the status of the reply to one request, or 0 without a reply.

        Args:
            name: name of the daemon.
            path: path of the request.
            key: key to send if there are teams; by default one that is always valid.
        """
        address = self._environment.machines[name].callers
        request = self._make_request("one", path, key or key_of(TEAMS[0]))
        reply = await self._exchange_once(address, request)
        return reply.status if reply else 0

    async def _exchange_once(
        self, address: HostPort, request: HttpRequest
    ) -> HttpReply | None:
        with trio.move_on_after(CALL_TIMEOUT):
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
            (b"x-deadline-ms", b"%d" % DEADLINE_MS),
        )
        teams = self._environment.teams
        if teams is not None:
            headers += teams.make_headers(id, key) if key else teams.choose_headers(id)
        method = "POST" if kind == "once" else "GET"
        return HttpRequest(method, path, headers)

    async def _run_caller(self) -> None:
        """Send requests to one daemon until the connection ends, then to another."""
        while True:
            name = self._random.choice(sorted(self._environment.store_proxies))
            address = self._environment.machines[name].callers
            try:
                stream = await TcpNetwork().connect(address)
            except OSError:
                self.seen["no connection"] += 1
                await trio.sleep(INTERVAL * 5)
                continue
            connection = HttpConnection(stream, HOST, BODY_LIMIT)
            try:
                while await self._send_one(connection) and connection.prepare_next():
                    await trio.sleep(INTERVAL)
            finally:
                with trio.CancelScope(shield=True):
                    await connection.close()

    async def _send_one(self, connection: HttpConnection) -> bool:
        """Send one request; return whether a reply arrived."""
        kind = self._random.choice(["all", "all", "one", "once", "home"])
        request = self._make_request(kind, f"/{kind}/x")
        with trio.move_on_after(CALL_TIMEOUT):
            try:
                reply = await connection.exchange(request)
            except ExchangeFailed:
                self.seen[f"{kind} cut"] += 1
                return False
            self.seen[f"{kind} {reply.status}"] += 1
            self._check_reply(kind, request.header(b"x-request-id") or "", reply)
            return True
        self.seen[f"{kind} given up"] += 1
        return False

    def _check_reply(self, kind: str, id: str, reply: HttpReply) -> None:
        if kind == "once" and reply.status in NOT_RUN_STATUSES:
            self.reported_not_run.add(id)
        if reply.status != 200:
            return
        if (
            self._environment.teams is not None
            and self._environment.teams.has_unknown_key(id)
        ):
            self.broken.append(f"{id}: answered without a key that anybody has")
        if kind == "all":
            self._check_merged_reply(id, reply)
            return
        stamp = reply.header(b"x-response-stamp") or ""
        leaf = self._find_leaf(stamp, id)
        if leaf is None or reply.body != self._environment.leafs[leaf].records:
            self.broken.append(f"{id}: not the answer of a leaf: {stamp}")

    def _check_merged_reply(self, id: str, reply: HttpReply) -> None:
        stamps = (reply.header(b"x-part-stamps") or "").split(", ")
        missing = int(reply.header(b"x-missing-parts") or 0)
        found = [self._find_leaf(stamp, id) for stamp in stamps]
        leaves = [leaf for leaf in found if leaf is not None]
        shards = {leaf.split("-")[0] for leaf in leaves}
        if len(leaves) != len(stamps) or len(shards) != len(stamps):
            self.broken.append(f"{id}: stamps of others, or two of one shard: {stamps}")
        elif len(shards) + missing != SHARDS or len(shards) < MIN_COVERAGE * SHARDS:
            self.broken.append(f"{id}: {len(shards)} parts and {missing} missing")
        else:
            bodies = [self._environment.leafs[leaf].records for leaf in leaves]
            if reply.body != merge_records(bodies, TOP):
                self.broken.append(f"{id}: not the greatest records of its parts")

    def _find_leaf(self, stamp: str, id: str) -> str | None:
        """Return the id of the leaf that stamped the reply to this request, or None."""
        for name in self._environment.leafs:
            if stamp == f"stamp-{name}-{id}":
                return name
        return None
