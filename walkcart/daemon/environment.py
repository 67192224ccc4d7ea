"""Outside resources of instances, and a service that serves HTTP at one address."""

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
    """Outside resources of an instance, which tests can replace.

    Args:
        network: opens and accepts connections.
        transport: carries messages between instances.
        clock: source of time.
        random: source of random numbers.
        log: stream for log lines; standard error if None.
    """

    network: Network
    transport: PeerTransport
    clock: Clock
    random: Random
    log: TextIO | None = None


@dataclass(frozen=True, slots=True)
class TenantEnvironment:
    """Outside resources of an instance on the platform, which tests can replace.

    Args:
        network: opens and accepts connections.
        transport: carries messages between instances.
        clock: source of time.
        random: source of random numbers.
        log: stream for log lines; standard error if None.
        metrics_port: port of the metrics page; 0 to serve none.
    """

    network: Network
    transport: PeerTransport
    clock: Clock
    random: Random
    log: TextIO | None = None
    metrics_port: int = 0


class ListenerService:
    """Service that serves HTTP at one address while the instance runs.

    Args:
        listener: accepts connections.
        server: serves the connections.
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
