"""Two machines of a zone are stopped, one after the other, while requests come."""

from __future__ import annotations

import asyncio
import signal
import sys
from dataclasses import dataclass
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from standins import (  # noqa: E402
    CONTACT_MS,
    GRACE_S,
    HOST,
    ZONES,
    CannotRun,
    Deployment,
    Machine,
    Message,
    ask,
    make_route,
    make_service,
    run_case,
)

SERVICE = "bay-monitor"
LEAFS = 12
SLOTS = 4
CONNECTIONS = 100
#: Requests a second of the zone: the site file has 43.3 for it, of all kinds together.
REQUESTS_PER_S = 40.0
#: Seconds that a request takes: its longest is that of `bay-status`.
WORK_S = (0.3, 0.96)
DEADLINE_MS = 6000
#: Seconds between the stops of the two machines (`roll_term`, gap_s = 1.0).
GAP_S = 1.0
#: Times of the first stop in each round, in seconds after the traffic began.
ROUNDS_AT_S = (8.0, 28.0, 48.0)
TRAFFIC_S = 62.0
RESTART_DELAY_S = 0.3
#: Seconds after a SIGTERM up to which a request may be cut at the end of the grace.
LATE_REQUEST_S = 3.0


@dataclass
class Sent:
    """One request: where and when it was sent, and how it ended."""

    id: str
    machine: Machine
    at: float
    answer: Message | None = None
    ended_at: float = 0.0


@dataclass
class Stop:
    """One stop of a machine: when it got SIGTERM, and when its process had ended."""

    machine: Machine
    at: float
    ended_at: float = float("inf")


class Balancer:
    """The platform's balancer for the machines of one zone.

    It asks each machine every second; after two misses a machine gets no new
    connections until it answers 200 again. While fewer than half are in, it uses all.
    """

    def __init__(self, deployment: Deployment) -> None:
        self._deployment = deployment
        self._misses = {machine.name: 0 for machine in deployment.machines}

    async def run(self) -> None:
        """Ask all machines each second."""
        while True:
            asks = [self._ask(machine) for machine in self._deployment.machines]
            await asyncio.gather(*asks, asyncio.sleep(1.0))

    async def _ask(self, machine: Machine) -> None:
        answer = await ask(machine.ready, "GET /api/ready HTTP/1.1", {}, b"", 0.9)
        good = answer is not None and answer.status == 200
        before = self._misses[machine.name]
        self._misses[machine.name] = 0 if good else before + 1
        if before < 2 <= self._misses[machine.name] or (good and before >= 2):
            event = "balancer takes in" if good else "balancer takes out"
            self._deployment.record.write(event, machine=machine.name)

    def choose(self) -> Machine:
        """Return the machine for a new connection."""
        machines = self._deployment.machines
        used = [item for item in machines if self._misses[item.name] < 2]
        if len(used) < len(machines) / 2:
            used = machines
        return self._deployment.random.choice(used)


async def play(deployment: Deployment, trouble: bool) -> list[str]:
    """Send requests through the balancer while machines are stopped and started."""
    random, record = deployment.random, deployment.record
    zone = next(iter(ZONES))
    for number in range(LEAFS):
        place = list(ZONES)[number % 3]
        await deployment.add_leaf(
            SERVICE, place, lambda: random.uniform(*WORK_S), SLOTS, 16
        )
    route = make_route("r-bay", "/bay/", SERVICE, routeType="non_idempotent")
    deployment.configure(7, [route], [make_service(SERVICE, CONNECTIONS)])
    for number in range(3):
        deployment.add_machine(f"front-{zone}-{number + 1}", zone)
    await deployment.start_machines()
    balancer = Balancer(deployment)
    asking = asyncio.create_task(balancer.run())
    await asyncio.sleep(CONTACT_MS / 1000)

    sent: list[Sent] = []
    stops: list[Stop] = []

    async def send(id: str) -> None:
        machine = balancer.choose()
        item = Sent(id, machine, record.now())
        sent.append(item)
        headers = {"Host": HOST, "X-Request-Id": id, "X-Deadline-Ms": str(DEADLINE_MS)}
        record.write("sent", id=id, machine=machine.name)
        item.answer = await ask(
            machine.front, "POST /bay/2f HTTP/1.1", headers, b"b" * 300, 7.0
        )
        item.ended_at = record.now()
        status = item.answer.status if item.answer is not None else 0
        record.write("answered", id=id, machine=machine.name, status=status)

    async def stop(machine: Machine) -> None:
        item = Stop(machine, record.now())
        stops.append(item)
        machine.signal(signal.SIGTERM)
        process = machine.process
        for _ in range(int(GRACE_S / 0.02)):
            if process.poll() is not None:
                break
            await asyncio.sleep(0.02)
        if process.poll() is None:
            machine.signal(signal.SIGKILL)
        record.write("machine ended", machine=machine.name, code=process.wait())
        item.ended_at = record.now()
        await asyncio.sleep(RESTART_DELAY_S)
        machine.start()

    async def stop_two(at: float) -> None:
        await asyncio.sleep(at)
        for machine in deployment.machines[:2]:
            group.create_task(stop(machine))
            await asyncio.sleep(GAP_S)

    async with asyncio.TaskGroup() as group:
        if trouble:
            for at in ROUNDS_AT_S:
                group.create_task(stop_two(at))
        until = record.now() + TRAFFIC_S
        while record.now() < until:
            group.create_task(send(f"{random.getrandbits(64):016x}"))
            await asyncio.sleep(random.expovariate(REQUESTS_PER_S))
    asking.cancel()
    return check(deployment, sent, stops)


def check(deployment: Deployment, sent: list[Sent], stops: list[Stop]) -> list[str]:
    """Return the requests that a stopping machine passed on and never answered.

    Left out is what the rule excludes: requests sent at most 3 s after the SIGTERM, and
    those whose time budget (which is also the route's timeout) was reached.
    """
    runs = {id: leaf.id for leaf in deployment.leafs for id in leaf.ran}
    served = sum(1 for item in sent if item.answer and item.answer.status == 200)
    if served < len(sent) / 2:
        raise CannotRun("less than a half was served")
    broken = []
    for item in sent:
        held = item.ended_at - item.at
        if item.answer or item.id not in runs or held >= DEADLINE_MS / 1000:
            continue
        for stop in stops:
            age = item.at - stop.at
            accepted = LATE_REQUEST_S < age and item.at < stop.ended_at
            planned = item.ended_at <= stop.at + GRACE_S + 1
            if stop.machine is item.machine and accepted and planned:
                broken.append(
                    f"LOST: {item.id} sent to {item.machine.name} {age:.2f} s after "
                    f"its SIGTERM, begun by {runs[item.id]}, closed unanswered after "
                    f"{held:.2f} s"
                )
    return broken


run_case(play, FOLDER)
