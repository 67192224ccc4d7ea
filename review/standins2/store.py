"""A stand-in of the platform's metadata store, as PROTOCOL.md describes it."""

from __future__ import annotations

import asyncio
import json
import time
from base64 import b64decode, b64encode
from dataclasses import dataclass
from urllib.parse import parse_qs, urlsplit

from standins2.http1 import read_message, render

ANSWER_S = 0.004
PAGE_ITEMS = 500


@dataclass
class Row:
    """A stored item."""

    value: bytes
    revision: int
    created: int
    lease: int


class Store:
    """Items, watches, transactions and leases in memory.

    Every machine calls it at a port of its own, by which the store knows the machine.
    `lose_watch_answers` holds pairs of a machine and a prefix: the next answer with
    changes that a watch of these would get is lost, and that connection says nothing
    further.
    """

    def __init__(self, record) -> None:
        self.record = record
        self.rows: dict[str, Row] = {}
        self.revision = 1
        self.history: list[dict] = []
        self.leases: dict[int, tuple[float, float]] = {}
        self.next_lease = 100
        self.changed = asyncio.Event()
        self.lose_watch_answers: set[tuple[str, str]] = set()
        self.lost: list[tuple[str, str]] = []
        self._cuts = 0

    async def listen_for(self, host: str, machine: str) -> str:
        """Listen on a free port for the calls of one machine; return the address."""

        async def serve(reader, writer) -> None:
            await self._serve(reader, writer, machine)

        server = await asyncio.start_server(serve, host, 0)
        return "%s:%d" % server.sockets[0].getsockname()[:2]

    def put(self, key: str, value: bytes, lease: int = 0) -> int:
        """Store a value; return the revision, which is the acknowledgement."""
        self.revision += 1
        held = self.rows.get(key)
        created = held.created if held else self.revision
        self.rows[key] = Row(value, self.revision, created, lease)
        self._note(self._describe(key))
        return self.revision

    def put_json(self, key: str, content) -> int:
        """Store a value as JSON."""
        return self.put(key, json.dumps(content).encode())

    def remove(self, key: str) -> None:
        """Remove a key."""
        self.revision += 1
        del self.rows[key]
        self._note({"tlsKey": key, "revision": self.revision, "deleted": True})

    def cut_waiting_watches(self) -> None:
        """Cut all waiting watches: their connections close without an answer."""
        self._cuts += 1
        self.record("store: the waiting watches are cut")
        self.changed.set()
        self.changed = asyncio.Event()

    def _note(self, event: dict) -> None:
        self.history.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    def _describe(self, key: str) -> dict:
        row = self.rows[key]
        return {
            "tlsKey": key,
            "value": b64encode(row.value).decode(),
            "revision": row.revision,
            "created": row.created,
            "lease": row.lease,
        }

    def _expire(self) -> None:
        now = time.monotonic()
        for number in [n for n, (end, _) in self.leases.items() if end < now]:
            self._end_lease(number)

    def _end_lease(self, number: int) -> None:
        self.leases.pop(number, None)
        for key in [key for key, row in self.rows.items() if row.lease == number]:
            self.remove(key)

    async def _serve(self, reader, writer, machine: str) -> None:
        try:
            while (call := await read_message(reader)) is not None:
                await asyncio.sleep(ANSWER_S)
                self._expire()
                status, content = await self._answer(call, machine)
                if status == 0:
                    # The answer is lost: the connection stays open and silent.
                    await asyncio.sleep(3600)
                body = b"" if content is None else json.dumps(content).encode()
                headers = [("content-type", "application/json")]
                writer.write(render(f"HTTP/1.1 {status} x", headers, body))
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _answer(self, call, machine: str):
        method, target, _ = call.start.split(" ")
        parts = urlsplit(target)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        content = json.loads(call.body) if call.body else {}
        name = parts.path.removeprefix("/api/kv-")
        if name == "key":
            if query["tlsKey"] not in self.rows:
                return 404, None
            return 200, {**self._describe(query["tlsKey"]), "asOf": self.revision}
        if name == "range":
            prefix, after = query["pathPrefix"], query.get("after", "")
            keys = sorted(k for k in self.rows if k.startswith(prefix) and k > after)
            items = [self._describe(key) for key in keys[:PAGE_ITEMS]]
            cut = len(keys) > PAGE_ITEMS
            return 200, {"items": items, "truncated": cut, "asOf": self.revision}
        if name == "watch":
            return await self._watch(query, machine)
        if name == "txn":
            return self._transact(content)
        if name == "lease":
            self.next_lease += 1
            seconds = content["ttlMs"] / 1000
            self.leases[self.next_lease] = (time.monotonic() + seconds, seconds)
            return 200, {"lease": self.next_lease, "ttlMs": content["ttlMs"]}
        if name.startswith("keep/"):
            number = int(name.removeprefix("keep/"))
            if number not in self.leases:
                return 404, None
            seconds = self.leases[number][1]
            self.leases[number] = (time.monotonic() + seconds, seconds)
            return 200, {"ttlMs": int(seconds * 1000)}
        if name.startswith("lease-end/") and method == "DELETE":
            self._end_lease(int(name.removeprefix("lease-end/")))
            return 200, {}
        return 404, None

    async def _watch(self, query, machine: str):
        prefix, after = query["pathPrefix"], int(query["after"])
        end = time.monotonic() + int(query["waitMs"]) / 1000
        cuts = self._cuts
        while True:
            events = [
                event
                for event in self.history
                if event["revision"] > after and event["tlsKey"].startswith(prefix)
            ]
            if events:
                if (machine, prefix) in self.lose_watch_answers:
                    self.lose_watch_answers.discard((machine, prefix))
                    self.lost.append((machine, prefix))
                    self.record(f"store: an answer to a watch of {prefix} by {machine} is lost")
                    return 0, None
                cut = len(events) > PAGE_ITEMS
                events = events[:PAGE_ITEMS]
                as_of = events[-1]["revision"] if cut else self.revision
                return 200, {"events": events, "asOf": as_of}
            left = end - time.monotonic()
            if left <= 0:
                return 200, {"events": [], "asOf": self.revision}
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass
            if cuts != self._cuts:
                # The connection of this watch is closed without an answer.
                raise ConnectionResetError

    def _transact(self, content):
        for row in content["expectedRevision"]:
            held = self.rows.get(row["tlsKey"])
            if (held.revision if held else 0) != row["revision"]:
                keys = [row["tlsKey"] for row in content["expectedRevision"]]
                return 412, {"items": [self._describe(k) for k in keys if k in self.rows]}
        puts = content["puts"]
        if any(put["lease"] and put["lease"] not in self.leases for put in puts):
            return 404, None
        for put in puts:
            self.put(put["tlsKey"], b64decode(put["value"]), put["lease"])
        for key in content["remove"]:
            if key in self.rows:
                self.remove(key)
        return 200, {"revision": self.revision}
