"""Instances as real processes on loopback, with stand-ins of the platform around them.

Each instance has a machine with a loopback address of its own, so that all of them can
listen on the same ports. Its process is started as `deploy/system.toml` states, and is
started again after it has ended, as on the platform.
"""

from __future__ import annotations

import os
import signal
import subprocess
import sys
from collections.abc import AsyncIterator, Mapping
from contextlib import asynccontextmanager
from pathlib import Path
from typing import Any

import trio

from walkcart.kernel.settings import HostPort
from walkcart.platform.tests.leafstandin import PlatformLeafStandin
from walkcart.platform.tests.platformworld import (
    BODY_LIMIT,
    HOST,
    make_configuration,
)
from walkcart.platform.tests.processmachine import (
    METRICS_PORT,
    Machine,
    make_address,
    make_preparation,
    make_settings_file,
)
from walkcart.platform.tests.storestandin import PlatformStoreStandin
from walkcart.wire.http import ExchangeFailed, HttpConnection, HttpReply, HttpRequest
from walkcart.wire.network import TcpNetwork

#: Seconds until the platform starts a process again that has ended.
RESTART_DELAY = 0.3
#: Maximum time until an instance is ready, in seconds.
START_SECONDS = 20.0
#: Seconds between two looks at a process or an instance.
POLL_INTERVAL = 0.05


class NotReady(Exception):
    """An instance did not become ready in time; the text ends with its log."""


class ProcessWorld:
    """The platform's stand-ins, and instances that run as processes.

    Args:
        nursery: runs the stand-ins.
        folder: folder for settings files and logs.
    """

    def __init__(self, nursery: trio.Nursery, folder: Path) -> None:
        self.nursery = nursery
        self.folder = folder
        self.store = PlatformStoreStandin()
        self.store_address = HostPort("127.0.0.1", 0)
        self.leafs: dict[str, PlatformLeafStandin] = {}
        self.machines: dict[str, Machine] = {}
        self.version = 0
        self._requests = 0

    async def start_store(self) -> None:
        """Start the store."""
        self.store_address = await self.nursery.start(
            self.store.make_server().run, TcpNetwork(), HostPort("127.0.0.1", 0)
        )

    async def start_leaf(
        self, id: str, service: str, data_centre: str = "north-a", **details: Any
    ) -> PlatformLeafStandin:
        """Start a leaf and store its entry."""
        leaf = PlatformLeafStandin(id, **details)
        address = await self.nursery.start(
            leaf.make_server().run, TcpNetwork(), HostPort("127.0.0.1", 0)
        )
        self.leafs[id] = leaf
        self.add_entry(id, service, str(address), data_centre)
        return leaf

    def add_entry(
        self, id: str, service: str, address: str, data_centre: str = "north-a", **more
    ) -> None:
        """Store the entry of a leaf."""
        entry = {
            "backend": service,
            "address": address,
            "zone": data_centre,
            "version": "v1",
            "slots": 2,
            "state": "ready",
            "warmupLeftMs": 0,
            "seq": 1,
        }
        self.store.put(f"servers/{id}", entry | more)

    def configure(self, *routes: dict[str, Any], **limits: int) -> None:
        """Store the next version of the configuration."""
        self.version += 1
        self.store.put(
            "op/config", make_configuration(self.version, list(routes), **limits)
        )

    def add_machine(
        self, name: str = "one", data_centre: str = "north-a", ip: str = ""
    ) -> Machine:
        """Add a machine whose process isn't started yet.

        Args:
            name: name of its instance.
            data_centre: its data centre.
            ip: its address; by default a loopback address that no other one has.
        """
        ip = ip or make_address()
        text = make_settings_file(name, ip, data_centre, self.store_address)
        machine = Machine(name, ip, data_centre, self.folder / f"{name}.log", text)
        self.machines[name] = machine
        return machine

    def start(self, machine: Machine) -> None:
        """Start the process of a machine, and start it again whenever it ends."""
        machine.kept = True
        self._start_process(machine)
        self.nursery.start_soon(self._keep, machine)

    def _start_process(self, machine: Machine) -> None:
        machine.settings_path.write_text(machine.settings, encoding="utf-8")
        variables = {
            name: os.environ[name] for name in ("PATH", "HOME") if name in os.environ
        }
        changes: Mapping[str, str | None] = {
            "WALKCART_NODE_FILE": str(machine.settings_path),
            "WALKCART_METRICS_PORT": str(METRICS_PORT),
            **machine.environment,
        }
        variables |= {name: text for name, text in changes.items() if text is not None}
        with machine.log_path.open("ab") as log:
            machine.process = subprocess.Popen(
                [sys.executable, "-m", "walkcart.daemon.platform"],
                env=variables,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                preexec_fn=make_preparation(machine.limits),
            )
        machine.starts += 1

    def start_once(self, machine: Machine) -> None:
        """Start the process of a machine without starting it again after its end."""
        machine.kept = False
        self._start_process(machine)

    async def _keep(self, machine: Machine) -> None:
        while machine.kept:
            await trio.sleep(POLL_INTERVAL)
            assert machine.process is not None
            code = machine.process.poll()
            if code is None or not machine.kept:
                continue
            machine.ends.append(code)
            await trio.sleep(RESTART_DELAY)
            if machine.kept:
                self._start_process(machine)

    async def end(self, machine: Machine, number: int = signal.SIGTERM) -> int:
        """Send a signal to a process and wait for its end; return its exit code."""
        machine.kept = False
        assert machine.process is not None
        machine.process.send_signal(number)
        while (code := machine.process.poll()) is None:
            await trio.sleep(POLL_INTERVAL)
        return code

    async def wait_end(self, machine: Machine, seconds: float = START_SECONDS) -> int:
        """Wait until a process has ended by itself; return its exit code.

        Raises:
            trio.TooSlowError: it still runs after `seconds`.
        """
        with trio.fail_after(seconds):
            while not machine.ends:
                await trio.sleep(POLL_INTERVAL)
        return machine.ends[0]

    async def wait_ready(
        self, machine: Machine, seconds: float = START_SECONDS
    ) -> None:
        """Wait until an instance is ready.

        Raises:
            NotReady: it isn't after `seconds`.
        """
        with trio.move_on_after(seconds):
            while not await self.is_ready(machine):
                await trio.sleep(POLL_INTERVAL)
            return
        log = machine.read_log()[-2000:]
        raise NotReady(f"{machine.name} ended with {machine.ends}; its log:\n{log}")

    async def is_ready(self, machine: Machine) -> bool:
        """Return whether an instance reports that it is ready, as a balancer asks."""
        reply = await self.exchange(
            machine.readiness, HttpRequest("GET", "/api/ready"), 1.0
        )
        return reply is not None and reply.status == 200

    async def ask(
        self,
        machine: Machine,
        path: str,
        method: str = "GET",
        body: bytes = b"",
        deadline_ms: int = 2000,
        headers: tuple[tuple[bytes, bytes], ...] = (),
    ) -> HttpReply | None:
        """Send a request on a new connection, as a caller does."""
        self._requests += 1
        own = (
            (b"host", HOST.encode()),
            (b"x-request-id", b"request-%d" % self._requests),
            (b"x-deadline-ms", b"%d" % deadline_ms),
        )
        request = HttpRequest(method, path, (*own, *headers), body)
        return await self.exchange(machine.callers, request, deadline_ms / 1000 + 1)

    async def exchange(
        self, address: HostPort, request: HttpRequest, seconds: float
    ) -> HttpReply | None:
        """Send a request on a new connection; None without a reply in time."""
        with trio.move_on_after(seconds):
            try:
                stream = await TcpNetwork().connect(address)
            except OSError:
                return None
            connection = HttpConnection(stream, HOST, BODY_LIMIT)
            try:
                return await connection.exchange(request)
            except ExchangeFailed:
                return None
            finally:
                with trio.CancelScope(shield=True):
                    await connection.close()
        return None

    async def send_bytes(
        self, address: HostPort, data: bytes, seconds: float = 2.0
    ) -> bytes:
        """Send bytes on a new connection; return what comes back until its end."""
        received = b""
        with trio.move_on_after(seconds):
            try:
                stream = await TcpNetwork().connect(address)
                async with stream:
                    await stream.send_all(data)
                    while chunk := await stream.receive_some(65536):
                        received += chunk
            except (OSError, trio.BrokenResourceError):
                return received
        return received

    def close(self) -> None:
        """Kill the processes that this world started."""
        for machine in self.machines.values():
            machine.kept = False
            if machine.process is not None:
                machine.process.kill()
                machine.process.wait()


@asynccontextmanager
async def open_processes(folder: Path) -> AsyncIterator[ProcessWorld]:
    """Open a `ProcessWorld` with a running store."""
    async with trio.open_nursery() as nursery:
        world = ProcessWorld(nursery, folder)
        try:
            await world.start_store()
            yield world
        finally:
            world.close()
        nursery.cancel_scope.cancel()
