"""What an instance on the platform runs on, and a service for one address."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random
from typing import TextIO

import trio

from walkcart.kernel.clock import Clock
from walkcart.wire.network import Network
from walkcart.wire.peers import PeerTransport
from walkcart.wire.server import HttpServer


@dataclass(frozen=True, slots=True)
class Environment:
    """What an instance runs on."""

    network: Network
    transport: PeerTransport
    clock: Clock
    random: Random
    log: TextIO | None = None


@dataclass(frozen=True, slots=True)
class TenantEnvironment:
    """What the instance runs on.

    Args:
        network: opens and accepts connections.
        transport: carries messages between instances.
        clock: source of time.
        random: source of chance.
        log: where log lines go; standard error when None.
        metrics_port: where the metrics page is served; 0 for nowhere.
    """

    network: Network
    transport: PeerTransport
    clock: Clock
    random: Random
    log: TextIO | None = None
    metrics_port: int = 0


class ListenerService:
    """Serves one address for as long as the instance runs.

    Args:
        listener: takes connections.
        server: serves them.
    """

    def __init__(
        self, listener: trio.abc.Listener[trio.abc.Stream], server: HttpServer
    ) -> None:
        self._listener = listener
        self._server = server

    async def run(self, *, task_status: trio.TaskStatus[None]) -> None:
        """Serve until cancelled."""
        task_status.started()
        await trio.serve_listeners(self._server.serve, [self._listener])
