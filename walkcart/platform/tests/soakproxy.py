"""A loopback proxy that delays, resets, silences or refuses what it carries."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum

import trio

from walkcart.kernel.settings import HostPort
from walkcart.wire.network import TcpNetwork

CHUNK = 65536


class Trouble(Enum):
    """What a proxy does to its connections."""

    NONE = "none"
    DELAY = "delay"
    SILENCE = "silence"
    SILENCE_BACK = "silence back"
    RESET = "reset"
    REFUSE = "refuse"


@dataclass(slots=True, eq=False)
class Proxy:
    """Carries connections to one address.

    Args:
        target: where they go.
        delay: seconds that `Trouble.DELAY` adds to each piece.
    """

    target: HostPort
    delay: float = 0.05
    address: HostPort = HostPort("127.0.0.1", 0)
    trouble: Trouble = Trouble.NONE
    _scopes: set[trio.CancelScope] = field(default_factory=set)
    _quiet: trio.Event = field(default_factory=trio.Event)

    async def run(self, *, task_status: trio.TaskStatus[HostPort]) -> None:
        """Carry until cancelled."""
        network = TcpNetwork()
        listener = await network.listen(self.address)
        self.address = HostPort("127.0.0.1", network.port_of(listener))
        async with trio.open_nursery() as nursery:
            task_status.started(self.address)
            await trio.serve_listeners(self._carry, [listener], handler_nursery=nursery)

    def set_trouble(self, trouble: Trouble) -> None:
        """Change what is done; a reset also ends what is open."""
        self.trouble = trouble
        if trouble in (Trouble.RESET, Trouble.REFUSE):
            for scope in tuple(self._scopes):
                scope.cancel()
        self._quiet.set()
        self._quiet = trio.Event()

    async def _carry(self, near: trio.SocketStream) -> None:
        if self.trouble is Trouble.REFUSE:
            await trio.aclose_forcefully(near)
            return
        try:
            far = await TcpNetwork().connect(self.target)
        except OSError:
            await trio.aclose_forcefully(near)
            return
        with trio.CancelScope() as scope:
            self._scopes.add(scope)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._copy, near, far, scope, Trouble.SILENCE)
                nursery.start_soon(self._copy, far, near, scope, Trouble.SILENCE_BACK)
        self._scopes.discard(scope)
        await trio.aclose_forcefully(near)
        await trio.aclose_forcefully(far)

    async def _copy(
        self,
        source: trio.SocketStream,
        sink: trio.SocketStream,
        scope: trio.CancelScope,
        silence: Trouble,
    ) -> None:
        """Copy one direction until it ends; then end both."""
        try:
            while data := await source.receive_some(CHUNK):
                while self.trouble in (Trouble.SILENCE, silence):
                    quiet = self._quiet
                    await quiet.wait()
                if self.trouble is Trouble.DELAY:
                    await trio.sleep(self.delay)
                await sink.send_all(data)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        scope.cancel()
