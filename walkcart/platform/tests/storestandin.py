"""A stand-in for the platform's store: items, watches, transactions, leases."""

from __future__ import annotations

from base64 import b64decode, b64encode
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qs, urlsplit

import msgspec
import trio

from walkcart.standins.serving import StandinServer, reply_json
from walkcart.wire.http import HttpReply, HttpRequest

#: Maximum number of items of a page; small, so that tests read several pages.
PAGE_SIZE = 50
#: Maximum size of the encoded values of a page, in bytes, but for its first one.
MAX_PAGE_BYTES = 1 << 20
#: Maximum size of the encoded values that one watch returns, in bytes; the next watch
#: returns the rest. The platform's store does so too: a watch from an old revision
#: doesn't return the newest changes.
MAX_WATCH_BYTES = 1 << 20
#: Maximum number of changes that one watch returns, as on the platform.
MAX_WATCH_EVENTS = 500
#: Watches up to this wait, in milliseconds, are short.
SHORT_WAIT_MS = 100


@dataclass(slots=True)
class PlatformStoreFaults:
    """Faults of the store; all are off by default.

    Args:
        latency: seconds from a call's arrival until it is served.
        silent: never reply to any call.
        refusal: status of the reply to every call, if not 0.
        lose_writes: let transactions take effect, but never reply to them.
        lose_watches: number of replies with changes to watches that are lost next;
            their connections stay open.
        lose_long_watches: prefixes of which every reply with changes to a watch of over
            `SHORT_WAIT_MS` is lost, likewise.
        lose_checks: number of replies to shorter watches that are lost next, likewise.
        stale_by: number of revisions by which reads that may be stale lag behind.
        draw_lag: returns by how many revisions the next page that may be stale lags
            behind; such a page also shows what was removed since.
    """

    latency: float = 0.004
    silent: bool = False
    refusal: int = 0
    lose_writes: bool = False
    lose_watches: int = 0
    lose_long_watches: frozenset[str] = frozenset()
    lose_checks: int = 0
    stale_by: int = 0
    draw_lag: Callable[[], int] | None = None


@dataclass(slots=True)
class _Row:
    value: bytes
    revision: int
    lease: int


@dataclass(slots=True, eq=False)
class PlatformStoreStandin:
    """Holds items in memory and serves the calls of the store's interface.

    Args:
        faults: faults to inject.
        calls: method and path of each call.
        targets: method and target of each call, with the query.
        rows: stored items by key.
        revision: revision of the whole store.
    """

    faults: PlatformStoreFaults = field(default_factory=PlatformStoreFaults)
    calls: list[str] = field(default_factory=list)
    targets: list[str] = field(default_factory=list)
    rows: dict[str, _Row] = field(default_factory=dict)
    revision: int = 0
    _history: list[dict[str, Any]] = field(default_factory=list)
    _compacted: int = 0
    _leases: dict[int, tuple[float, float]] = field(default_factory=dict)
    _next_lease: int = 100
    _changed: trio.Event = field(default_factory=trio.Event)

    def make_server(self) -> StandinServer:
        """Return a server for this store."""
        return StandinServer(self.handle)

    def put(self, key: str, content: Any, lease: int = 0) -> None:
        """Store a value, as JSON unless it is bytes, as an operator or a leaf does."""
        value = content if isinstance(content, bytes) else msgspec.json.encode(content)
        self.revision += 1
        self.rows[key] = _Row(value, self.revision, lease)
        self._append_history(key)

    def remove(self, key: str) -> None:
        """Remove a key."""
        self.revision += 1
        del self.rows[key]
        self._history.append(
            {"tlsKey": key, "revision": self.revision, "deleted": True}
        )
        self._wake_watches()

    def compact(self) -> None:
        """Drop the history; waiting watches end with status 410."""
        self._history.clear()
        self._compacted = self.revision
        self._wake_watches()

    async def handle(self, request: HttpRequest) -> HttpReply:
        """Serve one call."""
        parts = urlsplit(request.target)
        self.calls.append(f"{request.method} {parts.path}")
        self.targets.append(f"{request.method} {request.target}")
        await trio.sleep(self.faults.latency)
        if self.faults.silent:
            await trio.sleep_forever()
        if self.faults.refusal:
            return HttpReply(self.faults.refusal)
        self._expire_leases()
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        content = msgspec.json.decode(request.body) if request.body else {}
        name = parts.path.removeprefix("/api/kv-")
        match name.split("/"):
            case ["range"]:
                return self._range(query)
            case ["watch"]:
                return await self._watch(query)
            case ["txn"]:
                reply = self._transact(content)
                if self.faults.lose_writes:
                    await trio.sleep_forever()
                return reply
            case ["lease"]:
                return self._grant(content)
            case ["keep", number]:
                return self._renew(int(number))
            case ["lease-end", number]:
                self._end(int(number))
                return HttpReply(200)
            case _:
                return HttpReply(404)

    def _range(self, query: dict[str, str]) -> HttpReply:
        stale = "serializable" in query
        limit = self.revision - (self.faults.stale_by if stale else 0)
        prefix, after = query["pathPrefix"], query.get("after", "")
        if stale and self.faults.draw_lag is not None:
            return self._range_at(self.revision - self.faults.draw_lag(), prefix, after)
        keys = sorted(
            key
            for key, row in self.rows.items()
            if key.startswith(prefix) and key > after and row.revision <= limit
        )
        items = [self._describe(key) for key in keys[:PAGE_SIZE]]
        size = 0
        for number, item in enumerate(items):
            size += len(item["value"])
            if number and size > MAX_PAGE_BYTES:
                items = items[:number]
                break
        return reply_json(
            {"items": items, "truncated": len(keys) > len(items), "asOf": self.revision}
        )

    def _range_at(self, revision: int, prefix: str, after: str) -> HttpReply:
        """Return a page as it was at a revision, from the history."""
        rows = {key: self._describe(key) for key in self.rows}
        for event in reversed(self._history):
            if event["revision"] > revision:
                rows.pop(event["tlsKey"], None)
        for event in self._history:
            if event["revision"] > revision:
                break
            if "deleted" in event:
                rows.pop(event["tlsKey"], None)
            else:
                rows[event["tlsKey"]] = event
        keys = sorted(key for key in rows if key.startswith(prefix) and key > after)
        items = [rows[key] for key in keys[:PAGE_SIZE]]
        return reply_json(
            {"items": items, "truncated": len(keys) > PAGE_SIZE, "asOf": self.revision}
        )

    async def _watch(self, query: dict[str, str]) -> HttpReply:
        prefix, after = query["pathPrefix"], int(query["after"])
        wait_ms = int(query["waitMs"])
        if wait_ms <= SHORT_WAIT_MS and self.faults.lose_checks:
            self.faults.lose_checks -= 1
            await trio.sleep_forever()
        with trio.move_on_after(wait_ms / 1000) as scope:
            while True:
                if after < self._compacted:
                    return HttpReply(410)
                events = [
                    event
                    for event in self._history
                    if event["revision"] > after and event["tlsKey"].startswith(prefix)
                ]
                if events:
                    if self.faults.lose_watches:
                        self.faults.lose_watches -= 1
                        scope.deadline = float("inf")
                        await trio.sleep_forever()
                    if wait_ms > SHORT_WAIT_MS and (
                        prefix in self.faults.lose_long_watches
                    ):
                        scope.deadline = float("inf")
                        await trio.sleep_forever()
                    return reply_json(self._limit_events(events))
                changed = self._changed
                await changed.wait()
        return reply_json({"events": [], "asOf": self.revision})

    def _limit_events(self, events: list[dict[str, Any]]) -> dict[str, Any]:
        size = 0
        for number, event in enumerate(events):
            size += len(event.get("value", ""))
            if number == MAX_WATCH_EVENTS or (number and size > MAX_WATCH_BYTES):
                return {
                    "events": events[:number],
                    "asOf": events[number - 1]["revision"],
                }
        return {"events": events, "asOf": self.revision}

    def _transact(self, content: dict[str, Any]) -> HttpReply:
        for row in content["expectedRevision"]:
            held = self.rows.get(row["tlsKey"])
            if (held.revision if held else 0) != row["revision"]:
                keys = [row["tlsKey"] for row in content["expectedRevision"]]
                items = [self._describe(key) for key in keys if key in self.rows]
                return reply_json({"items": items}, 412)
        for put in content["puts"]:
            if put["lease"] and put["lease"] not in self._leases:
                return HttpReply(404)
            self.put(put["tlsKey"], b64decode(put["value"]), put["lease"])
        for key in content["remove"]:
            if key in self.rows:
                self.remove(key)
        return reply_json({"revision": self.revision})

    def _grant(self, content: dict[str, Any]) -> HttpReply:
        self._next_lease += 1
        seconds = content["ttlMs"] / 1000
        self._leases[self._next_lease] = (trio.current_time() + seconds, seconds)
        return reply_json({"lease": self._next_lease, "ttlMs": content["ttlMs"]})

    def _renew(self, number: int) -> HttpReply:
        if number not in self._leases:
            return HttpReply(404)
        _, seconds = self._leases[number]
        self._leases[number] = (trio.current_time() + seconds, seconds)
        return reply_json({"ttlMs": int(seconds * 1000)})

    def _end(self, number: int) -> None:
        self._leases.pop(number, None)
        for key in [key for key, row in self.rows.items() if row.lease == number]:
            self.remove(key)

    def _expire_leases(self) -> None:
        now = trio.current_time()
        for number in [n for n, (end, _) in self._leases.items() if end < now]:
            self._end(number)

    def _describe(self, key: str) -> dict[str, Any]:
        row = self.rows[key]
        return {
            "tlsKey": key,
            "value": b64encode(row.value).decode(),
            "revision": row.revision,
            "created": row.revision,
            "lease": row.lease,
        }

    def _append_history(self, key: str) -> None:
        self._history.append(self._describe(key))
        self._wake_watches()

    def _wake_watches(self) -> None:
        self._changed.set()
        self._changed = trio.Event()
