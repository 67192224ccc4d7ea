"""A stand-in of the platform's leafs."""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random

import trio

from walkcart.standins.serving import StandinServer
from walkcart.wire.http import HttpReply, HttpRequest


@dataclass(slots=True)
class PlatformLeafFaults:
    """What goes wrong; all off at first.

    Args:
        delay: seconds added to each request.
        refuse: every request is turned away, not run.
        refuse_tenths: of ten requests so many are turned away, spread evenly.
        status: of every answer, if not 0.
        fail_first: status of every answer, which is given before anything is run.
        drop: every request is run and its connection closed without an answer.
        drop_rate: share of the requests of which that is true, by lots.
        other_id: echoes the id of another request.
        unstamped: answers lack their stamp.
    """

    delay: float = 0.0
    refuse: bool = False
    refuse_tenths: int = 0
    status: int = 0
    fail_first: int = 0
    drop: bool = False
    drop_rate: float = 0.0
    other_id: bool = False
    unstamped: bool = False


@dataclass(slots=True, eq=False)
class PlatformLeafStandin:
    """Runs requests and says what it ran.

    Args:
        id: of its process life.
        work: seconds that a request takes.
        records: body of every answer; 16 bytes a record.
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
        """Draw the same lots in each run."""
        self.random = Random(self.id)

    def make_server(self) -> StandinServer:
        """Return the server of this leaf."""
        server = StandinServer(self.handle)
        server.http.cancel_on_disconnect = True
        return server

    def _is_refused(self) -> bool:
        """Return whether the request that arrived last is one of those turned away."""
        tenths = self.faults.refuse_tenths
        return len(self.arrived) * tenths // 10 > (len(self.arrived) - 1) * tenths // 10

    async def begin(self, id: str, target: str) -> None:
        """Begin to run a request; overridden where that may end the leaf."""

    async def handle(self, request: HttpRequest) -> HttpReply | None:
        """Serve one request."""
        self.arrived.append(request)
        id = request.header(b"x-request-id") or ""
        echo = (b"x-request-id", id.encode())
        if request.header(b"x-expect-instance") != self.id:
            return HttpReply(421, (echo, (b"x-instance-id", self.id.encode())))
        if self.faults.refuse or self._is_refused():
            return HttpReply(503, (echo, (b"x-not-executed", b"1")))
        if self.faults.fail_first:
            stamp = (b"x-response-stamp", f"stamp-{self.id}-{id}".encode())
            return HttpReply(self.faults.fail_first, (echo, stamp))
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
