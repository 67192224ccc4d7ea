"""Clients of a soak test that use their connections until the process is gone."""

from __future__ import annotations

import re
import signal
from dataclasses import dataclass, field
from itertools import count

import trio

from walkcart.kernel.settings import HostPort
from walkcart.platform.tests.platformworld import HOST
from walkcart.platform.tests.soakdaemons import Daemons
from walkcart.platform.tests.soaked import Soaked
from walkcart.platform.tests.soakprocessfaults import check_stop
from walkcart.platform.tests.soakteams import TEAMS, SoakTeams, key_of
from walkcart.wire.http import Headers
from walkcart.wire.network import TcpNetwork

#: Connections of each kind.
CLIENTS = 8
#: Seconds between two requests of a client.
INTERVAL = 0.02
#: Seconds that the ends of connections may take to arrive after that of the process.
END_SECONDS = 2.0
_HEAD = f"GET /one/x HTTP/1.1\r\nHost: {HOST}\r\n".encode()
#: What half-open clients send: nothing, a part of a head, and a part of a body.
HALVES = (
    b"",
    _HEAD,
    b"POST /once/x HTTP/1.1\r\nHost: " + HOST.encode() + b"\r\nX-Request-Id: half\r\n"
    b"Content-Length: 100\r\n\r\nx",
)
_LENGTH = re.compile(rb"(?i)\r\ncontent-length: *(\d+)\r\n")
_numbers = count(1)


@dataclass(slots=True)
class Holders:
    """Clients that use their connections for as long as these are open.

    Args:
        address: where a daemon listens for callers.
        teams: teams whose keys requests need; None if they need no key.
        unanswered: ids of the requests whose connections closed without an answer.
    """

    address: HostPort
    teams: SoakTeams | None
    unanswered: list[str] = field(default_factory=list)

    async def run(self) -> None:
        """Open the connections, and use them until all are closed."""
        async with trio.open_nursery() as nursery:
            for _ in range(CLIENTS):
                nursery.start_soon(self._send_requests)
                for half in HALVES:
                    nursery.start_soon(self._hold, half)

    async def _hold(self, half: bytes) -> None:
        try:
            async with await TcpNetwork().connect(self.address) as stream:
                await stream.send_all(half)
                while await stream.receive_some(65536):
                    pass
        except (OSError, trio.BrokenResourceError):
            return

    async def _send_requests(self) -> None:
        """Send requests on one connection, whatever the answers say about its end."""
        id = ""
        try:
            async with await TcpNetwork().connect(self.address) as stream:
                while True:
                    id = f"held-{next(_numbers)}"
                    await stream.send_all(self._make_request(id))
                    if not await _receive_answer(stream):
                        break
                    id = ""
                    await trio.sleep(INTERVAL)
        except (OSError, trio.BrokenResourceError):
            pass
        if id:
            self.unanswered.append(id)

    def _make_request(self, id: str) -> bytes:
        headers: Headers = ((b"X-Request-Id", id.encode()), (b"X-Deadline-Ms", b"2000"))
        if self.teams is not None:
            headers += self.teams.make_headers(id, key_of(TEAMS[0]))
        lines = b"".join(b"%b: %b\r\n" % header for header in headers)
        return _HEAD + lines + b"\r\n"


async def _receive_answer(stream: trio.abc.ReceiveStream) -> bool:
    """Receive an answer with a length; return False if the connection ends first."""
    data = b""
    while True:
        piece = await stream.receive_some(65536)
        if not piece:
            return False
        data += piece
        head, end, body = data.partition(b"\r\n\r\n")
        length = _LENGTH.search(head + b"\r\n")
        if end and len(body) >= (int(length[1]) if length else 0):
            return True


async def hold_connections(soaked: Soaked, name: str, duration: float) -> None:
    """Stop a daemon whose clients use their connections until it is gone."""
    daemons = soaked.daemons
    process = daemons.running.get(name)
    if process is None or not daemons.has_started(name):
        return
    holders = Holders(daemons.machines[name].callers, soaked.environment.teams)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(holders.run)
        await trio.sleep(duration)
        if daemons.running.get(name) is not process:
            nursery.cancel_scope.cancel()
            return
        code = await daemons.end(name, signal.SIGTERM)
        nursery.cancel_scope.deadline = trio.current_time() + END_SECONDS
    if nursery.cancel_scope.cancelled_caught:
        daemons.broken.append(f"{name} is gone, and connections to it are open")
    check_stop(daemons, name, code, early=False)
    if code == 0:
        _check_answers(daemons, name, holders, soaked)
    daemons.start(name)


def _check_answers(
    daemons: Daemons, name: str, holders: Holders, soaked: Soaked
) -> None:
    """Check that no request was lost that a leaf has got."""
    leaves = soaked.environment.leafs.values()
    arrived = {item.header(b"x-request-id") for leaf in leaves for item in leaf.arrived}
    daemons.broken += [
        f"{id} reached a leaf, and {name} closed its connection unanswered"
        for id in holders.unanswered
        if id in arrived
    ]
