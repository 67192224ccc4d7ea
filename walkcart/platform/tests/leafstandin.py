"""A stand-in for the platform's leaves."""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random

import trio

from walkcart.standins.serving import StandinServer
from walkcart.wire.http import HttpReply, HttpRequest


@dataclass(slots=True)
class PlatformLeafFaults:
    """Faults of a leaf; all are off by default.

    Args:
        delay: seconds added to the time of each request.
        refuse: refuse every request without running it.
        refuse_tenths: number of requests in ten to refuse, spread evenly.
        status: status of every reply, if not 0.
        fail_before_run: status of every reply, if not 0; no request is run then.
        drop: run every request, then close the connection without a reply.
        drop_rate: fraction of the requests, chosen at random, to drop in this way.
        other_id: echo the id of another request.
        unstamped: omit the stamp of replies.
    """

    delay: float = 0.0
    refuse: bool = False
    refuse_tenths: int = 0
    status: int = 0
    fail_before_run: int = 0
    drop: bool = False
    drop_rate: float = 0.0
    other_id: bool = False
    unstamped: bool = False


@dataclass(slots=True, eq=False)
class PlatformLeafStandin:
    """Serves requests and records which of them arrived, ran and finished.

    Args:
        id: id of the leaf process.
        work: time that a request takes, in seconds.
        records: body of every reply; 16 bytes per record.
        faults: faults to inject.
        arrived: all requests that arrived.
        ran: ids of the requests that began to run.
        finished: ids of the requests that ran to the end.
        running: number of requests that are running.
        random: random numbers for the faults, seeded with the id.
    """

    id: str
    work: float = 0.01
    records: bytes = b""
    faults: PlatformLeafFaults = field(default_factory=PlatformLeafFaults)
    arrived: list[HttpRequest] = field(default_factory=list)
    ran: list[str] = field(default_factory=list)
    finished: list[str] = field(default_factory=list)
    running: int = 0
    random: Random = field(init=False)

    def __post_init__(self) -> None:
        """Seed the random numbers, so that each test run has the same faults."""
        self.random = Random(self.id)

    def make_server(self) -> StandinServer:
        """Return a server for this leaf."""
        server = StandinServer(self.handle)
        server.http.cancel_on_disconnect = True
        return server

    def _is_refused(self) -> bool:
        """Return whether the request that arrived last is to be refused."""
        tenths = self.faults.refuse_tenths
        return len(self.arrived) * tenths // 10 > (len(self.arrived) - 1) * tenths // 10

    async def begin(self, id: str, target: str) -> None:
        """Begin to run a request; overridden by leaves that crash here."""

    async def handle(self, request: HttpRequest) -> HttpReply | None:
        """Serve one request."""
        self.arrived.append(request)
        id = request.header(b"x-request-id") or ""
        echo = (b"x-request-id", id.encode())
        if request.header(b"x-expect-instance") != self.id:
            return HttpReply(421, (echo, (b"x-instance-id", self.id.encode())))
        if self.faults.refuse or self._is_refused():
            return HttpReply(503, (echo, (b"x-not-executed", b"1")))
        if self.faults.fail_before_run:
            stamp = (b"x-response-stamp", f"stamp-{self.id}-{id}".encode())
            return HttpReply(self.faults.fail_before_run, (echo, stamp))
        self.ran.append(id)
        self.running += 1
        try:
            await self.begin(id, request.target)
            await trio.sleep(self.work + self.faults.delay)
        finally:
            self.running -= 1
        self.finished.append(id)
        if self.faults.drop or self.random.random() < self.faults.drop_rate:
            # The server closes the connection when there is no reply.
            return None
        if self.faults.other_id:
            echo = (b"x-request-id", b"another")
        headers = [echo, (b"x-server-load", b"%d,0,2" % self.running)]
        if not self.faults.unstamped:
            headers.append((b"x-response-stamp", f"stamp-{self.id}-{id}".encode()))
        return HttpReply(self.faults.status or 200, tuple(headers), self.records)
