"""Starts the project's program as processes on loopback, with stand-ins around it.

Every process that is started here is ended here, by its id.
"""

from __future__ import annotations

import asyncio
import ctypes
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from pathlib import Path

from standins2.http1 import Message, read_message, render
from standins2.leaf import Leaf
from standins2.store import Store

REPOSITORY = Path(__file__).resolve().parents[2]
HOST = "search.example"
ZONES = {"hobart-derwent": "hobart", "launceston-tamar": "launceston", "burnie-emu": "burnie"}
#: Exit codes of a case.
HELD, BROKEN, NOT_RUN = 0, 1, 2
#: Seconds in which all instances must be ready.
START_S = 20.0
#: Seconds until the platform starts a process again that has ended.
RESTART_S = 0.5
#: Longest time of a case, in seconds.
CASE_S = 105.0


class CannotRun(Exception):
    """The case could not be set up."""


class Instance:
    """One process of the program and its machine."""

    def __init__(self, name: str, ip: str, zone: str, ports: dict[str, int]) -> None:
        self.name = name
        self.ip = ip
        self.zone = zone
        self.ports = ports
        self.process: subprocess.Popen | None = None
        self.own_ends: list[tuple[float, int]] = []
        self.stopping = False
        self.down = False
        self.store_address = ""


class Fleet:
    """Store, leafs and instances of one case."""

    def __init__(self, folder: Path, trouble: bool) -> None:
        self.trouble = trouble
        self.started = time.monotonic()
        self._record_file = (folder / "record.txt").open("w")
        self._temporary = tempfile.TemporaryDirectory()
        self.folder = Path(self._temporary.name)
        self.store = Store(self.record)
        self.leafs: dict[str, Leaf] = {}
        self.instances: dict[str, Instance] = {}
        self.version = 0
        self.requests = 0
        # An own block of loopback addresses, so that the metrics port of the deploy
        # file is free on each of them.
        rng = random.SystemRandom()
        self.block = f"127.{rng.randrange(20, 250)}.{rng.randrange(250)}"
        self.host = f"{self.block}.1"
        self._watchers: list[asyncio.Task] = []

    def record(self, line: str) -> None:
        """Write a line to record.txt, with the seconds since the start."""
        self._record_file.write(f"{time.monotonic() - self.started:9.3f} {line}\n")
        self._record_file.flush()

    async def start(self, count: int, leafs: dict[str, tuple[str, str]]) -> None:
        """Start the store, leafs (id: service, zone) and `count` instances."""
        self.record(f"trouble: {'yes' if self.trouble else 'no'}")
        for id, (backend, zone) in leafs.items():
            self.leafs[id] = Leaf(id, backend, zone, self.store, self.record)
            await self.leafs[id].start(self.host)
        ports = self._find_ports(count)
        zones = list(ZONES)
        for number in range(count):
            name = f"front-{number + 1}"
            ip = f"{self.block}.{number + 11}"
            instance = Instance(name, ip, zones[number % len(zones)], ports)
            instance.store_address = await self.store.listen_for(self.host, name)
            self.instances[name] = instance

    def _find_ports(self, count: int) -> dict[str, int]:
        """Return ports that are free on the addresses of all instances."""
        ips = [f"{self.block}.{number + 11}" for number in range(count)]
        base = random.SystemRandom().randrange(12000, 30000)
        for start in range(base, base + 400, 40):
            ports = {"front": start, "ready": start + 1, "peers": start + 4}
            wanted = [start, start + 1, *range(start + 4, start + 20), 9109]
            if all(_is_free(ip, port) for ip in ips for port in wanted):
                return ports
        raise CannotRun("no free ports")

    async def run_instances(self) -> None:
        """Start all instances, and wait until they are ready."""
        deploy = tomllib.loads((REPOSITORY / "deploy/system.toml").read_text())
        (self._role,) = deploy["roles"].values()
        if not (REPOSITORY / "target/deps").is_dir():
            raise CannotRun("target/deps is missing: run the build of the deploy file")
        for instance in self.instances.values():
            self._start_process(instance)
            self._watchers.append(asyncio.create_task(self._keep(instance)))
        await self.wait_ready()

    def _start_process(self, instance: Instance) -> None:
        path = self.folder / f"{instance.name}.toml"
        path.write_text(self._settings(instance))
        variables = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        variables |= {"PYTHONPATH": "target/deps", "WALKCART_NODE_FILE": str(path)}
        variables |= self._role.get("env", {})
        log = (self.folder / f"{instance.name}.log").open("ab")
        command = self._role["run"].split()
        command[0] = sys.executable if command[0] == "python3" else command[0]
        instance.process = subprocess.Popen(
            command,
            cwd=REPOSITORY,
            env=variables,
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=log,
            preexec_fn=_end_with_parent,
        )
        log.close()
        self.record(f"{instance.name}: process {instance.process.pid} started")

    async def _keep(self, instance: Instance) -> None:
        """Start the process of a machine again after it has ended, as the platform does."""
        while True:
            await asyncio.sleep(0.05)
            code = instance.process.poll()
            if code is None or instance.stopping or instance.down:
                continue
            instance.own_ends.append((time.monotonic(), code))
            self.record(f"{instance.name}: process ended by itself with {code}")
            await asyncio.sleep(RESTART_S)
            self._start_process(instance)

    def _settings(self, instance: Instance) -> str:
        ports, ip = instance.ports, instance.ip
        zones = "\n".join(f'{zone} = "{region}"' for zone, region in ZONES.items())
        return f"""nodeName = "{instance.name}"
role = "entry"
machineClass = "front"
serves = ["front"]
ip = "{ip}"
zone = "{instance.zone}"
region = "{ZONES[instance.zone]}"
portRange = [{ports["peers"]}, {ports["peers"] + 15}]
seeds = []
bootstrap = {"true" if instance.process is None else "false"}
lossCounts = false
discovery = "platform"
entry = "virtual_ip"
heartbeatMs = 1200
contracts = ["base", "drain", "config", "cost", "retry", "recover", "scatter", "platform"]
[zones]
{zones}
[listen]
front = "{ip}:{ports["front"]}"
ready = "{ip}:{ports["ready"]}"
[limits]
cpuShare = 0.537
cores = 2
memoryMb = 300
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 2
zones = 0
regions = 0
[bounds]
seedLagS = 3
addrReuseS = 2
contactMs = 4000
ackMs = 5000
catchUpS = 4
drainMs = 3000
graceS = 6
lossSlackMs = 200
configApplyMs = 3000
downgradeSlackMs = 250
maxStretchMs = 12000
retryBudgetRatio = 0.2
retryWindowS = 10
budgetSlack = 54
recoverS = 12
[platform]
address = "{instance.store_address}"
form = "kv"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
ttlMinMs = 1000
"""

    def configure(self, routes: list[dict]) -> None:
        """Store the next version of the configuration; this acknowledges it."""
        self.version += 1
        services = sorted({leaf.backend for leaf in self.leafs.values()})
        self.store.put_json(
            "op/config",
            {
                "version": self.version,
                "routes": routes,
                "services": [
                    {"name": name, "maxConns": 100, "healthPath": "/health"} for name in services
                ],
                "limits": {
                    "maxHeaderBytes": 32768,
                    "maxBodyBytes": 262144,
                    "headerTimeoutMs": 10000,
                    "idleTimeoutMs": 60000,
                },
            },
        )
        self.record(f"operator: version {self.version} acknowledged: {[r['name'] for r in routes]}")

    async def is_ready(self, instance: Instance, timeout: float = 1.0) -> bool:
        """Ask an instance as the balancer does."""
        answer = await self.exchange(instance, "GET", "/api/ready", [], port="ready", timeout=timeout)
        return answer is not None and answer.status == 200

    async def ask(self, instance: Instance, path: str, method: str = "GET", deadline_ms: int = 2000):
        """Send one request on a new connection; return its id and the answer, or None."""
        self.requests += 1
        id = f"r{self.requests:06d}"
        headers = [("x-request-id", id), ("x-deadline-ms", str(deadline_ms))]
        answer = await self.exchange(instance, method, path, headers, timeout=deadline_ms / 1000 + 1)
        told = answer.status if answer else "no answer"
        self.record(f"requester: {id} {method} {path} at {instance.name}: {told}")
        return id, answer

    async def exchange(
        self, instance: Instance, method: str, path: str, headers, port: str = "front", timeout: float = 3.0
    ) -> Message | None:
        """Exchange one request on a new connection; None without an answer in time."""
        writer = None
        try:
            async with asyncio.timeout(timeout):
                reader, writer = await asyncio.open_connection(instance.ip, instance.ports[port])
                writer.write(render(f"{method} {path} HTTP/1.1", [("host", HOST), *headers]))
                await writer.drain()
                return await read_message(reader, answer=True)
        except (OSError, asyncio.IncompleteReadError, TimeoutError):
            return None
        finally:
            if writer is not None:
                writer.close()

    async def wait_ready(self) -> None:
        """Wait until all instances are ready.

        Raises:
            CannotRun: that takes too long.
        """
        end = time.monotonic() + START_S
        for instance in self.instances.values():
            while not await self.is_ready(instance):
                if time.monotonic() > end:
                    raise CannotRun(f"{instance.name} did not become ready")
                await asyncio.sleep(0.1)
        self.record("all instances are ready")

    async def kill_all(self, down_s: float) -> None:
        """Kill all processes at once, and start them again, as a final fault does."""
        for instance in self.instances.values():
            instance.down = True
            instance.process.send_signal(signal.SIGKILL)
        self.record("all instances: killed")
        await asyncio.sleep(down_s)
        for instance in self.instances.values():
            instance.process.wait()
            self._start_process(instance)
            instance.down = False

    def log_of(self, instance: Instance) -> str:
        """Return what the processes of an instance wrote."""
        return (self.folder / f"{instance.name}.log").read_text(errors="replace")

    def close(self) -> None:
        """End all processes that were started here."""
        for task in self._watchers:
            task.cancel()
        for instance in self.instances.values():
            instance.stopping = True
            if instance.process is not None and instance.process.poll() is None:
                instance.process.send_signal(signal.SIGKILL)
                instance.process.wait()
        self._temporary.cleanup()


def route(name: str, prefix: str, **more) -> dict:
    """Return a route of the configuration."""
    return {
        "name": name,
        "host": HOST,
        "pathPrefix": prefix,
        "routeType": "idempotent",
        "timeoutMs": 2000,
        "targetLatencyMs": 200,
        "maxAttempts": 2,
        "priority": 1,
        **more,
    }


_LIBC = ctypes.CDLL(None)
#: Option of prctl(2): the signal that the calling process gets when its parent ends.
_PR_SET_PDEATHSIG = 1


def _end_with_parent() -> None:
    """Have this process killed when the script ends, however it ends."""
    _LIBC.prctl(_PR_SET_PDEATHSIG, signal.SIGKILL)


def _is_free(ip: str, port: int) -> bool:
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((ip, port))
        except OSError:
            return False
        return True


def run_case(folder: Path, case) -> None:
    """Run `case(fleet)`, which returns whether the rule held; exit with its code."""
    asyncio.run(_run(folder, case, os.environ.get("TROUBLE", "1") != "0"))


async def _run(folder: Path, case, trouble: bool) -> None:
    fleet = Fleet(folder, trouble)
    code = NOT_RUN
    try:
        async with asyncio.timeout(CASE_S):
            code = HELD if await case(fleet) else BROKEN
        fleet.record("the rule held" if code == HELD else "the rule was broken")
    except Exception as error:  # whatever fails here, the rule wasn't tested
        fleet.record(f"the case could not run: {error!r}")
    finally:
        if keep := os.environ.get("KEEP_LOGS"):
            for instance in fleet.instances.values():
                Path(keep, f"{instance.name}.log").write_text(fleet.log_of(instance))
        fleet.close()
    print({HELD: "held", BROKEN: "broken", NOT_RUN: "could not run"}[code], flush=True)
    # The stand-ins' tasks have nothing left to do.
    os._exit(code)
