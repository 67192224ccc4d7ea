"""Stand-in of the load balancer: forwards connections to instances that are ready.

It polls ``/readyz`` of each instance, so it notices a stop late, as the platform's load
balancer does.
"""

from __future__ import annotations

import trio

from walkcart.kernel.settings import HostPort
from walkcart.wire.http import ExchangeFailed, HttpConnection, HttpRequest
from walkcart.wire.network import Network

#: Timeout of one readiness check, in seconds.
CHECK_TIMEOUT = 1.0
#: Maximum size of the body of the reply to a check, in bytes.
BODY_LIMIT = 65536


class BalancerStandin:
    """Distributes connections to the ready instances, round-robin.

    Args:
        network: opens connections.
        instances: addresses of the instances.
        interval: seconds between two rounds of readiness checks.
    """

    def __init__(
        self, network: Network, instances: list[HostPort], interval: float = 0.5
    ) -> None:
        self._network = network
        self.instances = instances
        self._interval = interval
        self._ready: list[HostPort] = []
        self._choices = 0

    def choose(self) -> HostPort | None:
        """Return the address of the next ready instance, or None if none is ready."""
        if not self._ready:
            return None
        self._choices += 1
        return self._ready[self._choices % len(self._ready)]

    async def watch(
        self, *, task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED
    ) -> None:
        """Check the readiness of the instances until cancelled."""
        await self._check_all()
        task_status.started()
        while True:
            await trio.sleep(self._interval)
            await self._check_all()

    async def _check_all(self) -> None:
        ready: dict[HostPort, bool] = {}
        async with trio.open_nursery() as nursery:
            for address in list(self.instances):
                nursery.start_soon(self._check, address, ready)
        self._ready = [address for address in self.instances if ready.get(address)]

    async def _check(self, address: HostPort, ready: dict[HostPort, bool]) -> None:
        """Store in `ready` whether an instance is ready, if it replies at all."""
        with trio.move_on_after(CHECK_TIMEOUT):
            try:
                stream = await self._network.connect(address)
                connection = HttpConnection(stream, str(address), BODY_LIMIT)
                try:
                    reply = await connection.exchange(HttpRequest("GET", "/readyz"))
                finally:
                    await connection.close()
            except (OSError, ExchangeFailed):
                return
            ready[address] = reply.status == 200

    async def forward(self, client: trio.abc.Stream) -> None:
        """Forward one connection to a ready instance, or close it if none is ready."""
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
            nursery.start_soon(_copy_bytes, client, server, nursery.cancel_scope)
            nursery.start_soon(_copy_bytes, server, client, nursery.cancel_scope)
        await trio.aclose_forcefully(client)
        await trio.aclose_forcefully(server)


async def _copy_bytes(
    source: trio.abc.Stream, target: trio.abc.Stream, scope: trio.CancelScope
) -> None:
    try:
        while data := await source.receive_some(65536):
            await target.send_all(data)
    except (trio.BrokenResourceError, trio.ClosedResourceError):
        pass
    scope.cancel()
