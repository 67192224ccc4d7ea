"""A caller that sends requests, and checks of the rows in its answers.

Leaf stand-ins mark each row with its shard, layout, index version, scope and query.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any

import msgspec
import trio

from walkcart.kernel.settings import HostPort
from walkcart.wire.http import ExchangeFailed, HttpConnection, HttpReply, HttpRequest
from walkcart.wire.network import Network

MAX_BODY_BYTES = 8 << 20


@dataclass(frozen=True, slots=True)
class RequestResult:
    """The outcome of one request for its caller.

    Args:
        status: HTTP status; 0 without a reply.
        elapsed: seconds from sending until the outcome.
        content: the decoded JSON body; None if there is none.
        headers: the headers of the reply.
        sent: whether the request may have reached the instance.
    """

    status: int
    elapsed: float
    content: Any = None
    headers: dict[bytes, bytes] = field(default_factory=dict)
    sent: bool = True

    @property
    def verdict(self) -> str:
        """The verdict in the reply's headers; empty without a reply."""
        return self.headers.get(b"walkcart-verdict", b"").decode()


class Caller:
    """Sends requests with one partner's credential and reuses idle connections.

    Args:
        network: opens connections.
        token: the partner's credential.
    """

    def __init__(self, network: Network, token: str) -> None:
        self._network = network
        self._token = token
        self._idle: dict[HostPort, list[HttpConnection]] = {}

    async def query(
        self,
        address: HostPort,
        service: str,
        query: Any,
        headers: tuple[tuple[bytes, bytes], ...] = (),
    ) -> RequestResult:
        """Send a query to all shards of a service."""
        body = msgspec.json.encode({"query": query})
        target = f"/v1/services/{service}/query"
        return await self.request(address, "POST", target, body, headers)

    async def execute(
        self,
        address: HostPort,
        service: str,
        command: Any,
        key: str,
        headers: tuple[tuple[bytes, bytes], ...] = (),
        routing_key: str = "",
    ) -> RequestResult:
        """Send a non-repeatable request."""
        body = msgspec.json.encode({"command": command, "routing_key": routing_key})
        target = f"/v1/services/{service}/execute"
        extra = ((b"idempotency-key", key.encode()), *headers)
        return await self.request(address, "POST", target, body, extra)

    async def request(
        self,
        address: HostPort,
        method: str,
        target: str,
        body: bytes = b"",
        headers: tuple[tuple[bytes, bytes], ...] = (),
    ) -> RequestResult:
        """Send one request and read its reply."""
        start = trio.current_time()
        own = (
            (b"authorization", f"Bearer {self._token}".encode()),
            (b"content-type", b"application/json"),
        )
        try:
            reply = await self._exchange(
                address, HttpRequest(method, target, (*own, *headers), body)
            )
        except ExchangeFailed as error:
            return RequestResult(0, trio.current_time() - start, sent=error.sent)
        except OSError:
            return RequestResult(0, trio.current_time() - start, sent=False)
        content = msgspec.json.decode(reply.body) if reply.body else None
        elapsed = trio.current_time() - start
        return RequestResult(reply.status, elapsed, content, dict(reply.headers))

    async def _exchange(self, address: HostPort, request: HttpRequest) -> HttpReply:
        idle = self._idle.setdefault(address, [])
        connection = idle.pop() if idle else None
        if connection is None:
            stream = await self._network.connect(address)
            connection = HttpConnection(stream, str(address), MAX_BODY_BYTES)
        try:
            reply = await connection.exchange(request)
        except BaseException:
            with trio.CancelScope(shield=True):
                await connection.close()
            raise
        if connection.prepare_next():
            idle.append(connection)
        else:
            await connection.close()
        return reply

    async def close(self) -> None:
        """Close all connections."""
        for idle in self._idle.values():
            for connection in idle:
                await connection.close()
        self._idle.clear()


def find_violations(asked: RequestResult, scope: str, query: Any) -> list[str]:
    """Return the promises that an answer breaks, judged by the marks in its rows.

    Args:
        asked: the result of the request.
        scope: the scope of the caller.
        query: the query that was sent.
    """
    if asked.status != 200 or "coverage" not in (asked.content or {}):
        return []
    content = asked.content
    rows = content["answer"]["rows"]
    violations = []
    snapshots = {(row["layout"], row["version"]) for row in rows}
    stated = (content["snapshot"]["layout"], content["snapshot"]["version"])
    if snapshots - {stated}:
        violations.append("mixed_versions")
    coverage = content["coverage"]
    claimed = sorted([*coverage["answered"], *coverage["partial"]])
    if sorted(row["shard"] for row in rows) != claimed:
        violations.append("wrong_coverage")
    if any(row["scope"] != scope or row["query"] != query for row in rows):
        violations.append("wrong_caller")
    missing = [item["shard"] for item in coverage["missing"]]
    if sorted([*claimed, *missing]) != list(range(coverage["asked"])):
        violations.append("wrong_coverage")
    return violations
