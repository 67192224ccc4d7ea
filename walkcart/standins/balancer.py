"""The balancer's stand-in: passes connections on to instances that are ready.

It looks at ``/readyz`` of each instance at intervals, so it learns of a stop
late, as the platform's does.
"""

from __future__ import annotations

import trio

from walkcart.kernel.settings import HostPort
from walkcart.wire.http import ExchangeFailed, HttpConnection, HttpRequest
from walkcart.wire.network import Network

CHECK_TIME = 1.0
BODY_LIMIT = 65536


class BalancerStandin:
    """Knows which instances are ready and gives connections by turns.

    Args:
        network: opens connections.
        instances: addresses of the instances.
        interval: seconds between two looks.
    """

    def __init__(
        self, network: Network, instances: list[HostPort], interval: float = 0.5
    ) -> None:
        self._network = network
        self.instances = instances
        self._interval = interval
        self._ready: list[HostPort] = []
        self._turn = 0

    def choose(self) -> HostPort | None:
        """Return the next ready instance, or None."""
        if not self._ready:
            return None
        self._turn += 1
        return self._ready[self._turn % len(self._ready)]

    async def watch(
        self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Look at the instances until cancelled."""
        await self._look()
        task_status.started()
        while True:
            await trio.sleep(self._interval)
            await self._look()

    async def _look(self) -> None:
        found: dict[HostPort, bool] = {}
        async with trio.open_nursery() as nursery:
            for address in list(self.instances):
                nursery.start_soon(self._check, address, found)
        self._ready = [address for address in self.instances if found.get(address)]

    async def _check(self, address: HostPort, found: dict[HostPort, bool]) -> None:
        with trio.move_on_after(CHECK_TIME):
            try:
                stream = await self._network.connect(address)
                connection = HttpConnection(stream, str(address), BODY_LIMIT)
                try:
                    reply = await connection.exchange(HttpRequest("GET", "/readyz"))
                finally:
                    await connection.close()
            except (OSError, ExchangeFailed):
                return
            found[address] = reply.status == 200

    async def forward(self, client: trio.abc.Stream) -> None:
        """Pass one connection on."""
        address = self.choose()
        if address is None:
            await trio.aclose_forcefully(client)
            return
        try:
            server = await self._network.connect(address)
        except OSError:
            await trio.aclose_forcefully(client)
            return
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_pump, client, server, nursery.cancel_scope)
            nursery.start_soon(_pump, server, client, nursery.cancel_scope)
        await trio.aclose_forcefully(client)
        await trio.aclose_forcefully(server)


async def _pump(
    source: trio.abc.Stream, target: trio.abc.Stream, scope: trio.CancelScope
) -> None:
    try:
        while data := await source.receive_some(65536):
            await target.send_all(data)
    except (trio.BrokenResourceError, trio.ClosedResourceError):
        pass
    scope.cancel()
