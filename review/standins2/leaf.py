"""A stand-in of a leaf, as PROTOCOL.md describes it."""

from __future__ import annotations

import asyncio
import os
import time

from standins2.http1 import read_message, render

HEARTBEAT_S = 1.2
SLOTS = 4
#: Requests that wait for a slot; more are turned away.
QUEUE = 16
#: Seconds between two looks whether the caller has closed its connection.
LOOK_S = 0.01


class Leaf:
    """Serves requests and records which of them ran; registers itself in the store."""

    def __init__(self, id: str, backend: str, zone: str, store, record, work_s: float = 0.01):
        self.id = id
        self.backend = backend
        self.zone = zone
        self.store = store
        self.record = record
        self.work_s = work_s
        self.seq = 0
        self.state = "ready"
        self.slots = asyncio.Semaphore(SLOTS)
        self.running = 0
        self.waiting = 0
        self.arrived: list[tuple[float, str]] = []
        self.ran: list[tuple[float, str]] = []
        self.records = b"".join(os.urandom(16) for _ in range(6))
        self.address = ""
        self.leaving = False
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self, host: str) -> None:
        """Listen on a free port, and store the entry again at each heartbeat."""
        self._server = await asyncio.start_server(self._serve, host, 0)
        self.address = "%s:%d" % self._server.sockets[0].getsockname()[:2]
        self.write_entry()
        self._beats = asyncio.create_task(self._beat())

    def crash(self) -> None:
        """End as a killed process does: its port and its connections reset."""
        self._beats.cancel()
        self._server.close()
        for writer in tuple(self._writers):
            writer.transport.abort()

    def leave(self) -> None:
        """Begin to leave without setting `draining`: the entry goes, serving goes on."""
        self.leaving = True
        self._beats.cancel()
        self.store.remove(f"servers/{self.id}")

    def write_entry(self) -> None:
        """Store the leaf's entry."""
        self.seq += 1
        self.store.put_json(
            f"servers/{self.id}",
            {
                "backend": self.backend,
                "address": self.address,
                "zone": self.zone,
                "version": "v1",
                "slots": SLOTS,
                "state": self.state,
                "warmupLeftMs": 0,
                "seq": self.seq,
            },
        )

    async def _beat(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            self.write_entry()

    async def _serve(self, reader, writer) -> None:
        self._writers.add(writer)
        try:
            while (request := await read_message(reader)) is not None:
                answer = await self._answer(request, reader)
                if answer is None:
                    return
                writer.write(answer)
                await writer.drain()
                if self.leaving:
                    return
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _answer(self, request, reader) -> bytes | None:
        """Answer a request; None if its connection was closed and it was dropped."""
        method, target, _ = request.start.split(" ")
        if target == "/health":
            status = "503 Leaving" if self.leaving else "200 OK"
            return render(f"HTTP/1.1 {status}", [("x-instance-id", self.id), self._load()])
        id = request.get("x-request-id")
        if not id:
            return render("HTTP/1.1 400 Bad Request", [("x-not-executed", "1")])
        echo = ("x-request-id", id)
        refused = [echo, ("x-not-executed", "1")]
        if request.get("x-expect-instance") not in ("", self.id):
            return render("HTTP/1.1 421 Misdirected", refused)
        self.arrived.append((time.monotonic(), id))
        ends_at = time.monotonic() + int(request.get("x-deadline-ms") or 60_000) / 1000
        if self.waiting >= QUEUE:
            return render("HTTP/1.1 503 Full", refused)
        self.waiting += 1
        async with self.slots:
            self.waiting -= 1
            if time.monotonic() >= ends_at:
                return render("HTTP/1.1 503 Too late", refused)
            self.running += 1
            try:
                self.ran.append((time.monotonic(), id))
                self.record(f"leaf {self.id}: runs {id} ({method} {target})")
                done_at = time.monotonic() + self.work_s
                while (left := min(done_at, ends_at) - time.monotonic()) > 0:
                    await asyncio.sleep(min(left, LOOK_S))
                    if reader.at_eof():
                        return None
            finally:
                self.running -= 1
        headers = [echo, ("x-response-stamp", f"{self.id}.{id}"), self._load()]
        if done_at > ends_at:
            return render("HTTP/1.1 504 Time budget", headers)
        if self.leaving:
            headers.append(("connection", "close"))
        return render("HTTP/1.1 200 OK", headers, self.records)

    def _load(self) -> tuple[str, str]:
        return ("x-server-load", f"{self.running},{self.waiting},{SLOTS}")
