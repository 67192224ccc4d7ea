"""Machines are killed and started again while leafs leave without announcing it."""

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
    DRAIN_MS,
    HOST,
    ZONES,
    CannotRun,
    Deployment,
    Leaf,
    Machine,
    ask,
    make_route,
    make_service,
    run_case,
)

SERVICE = "bay-monitor"
LEAFS = 7
SLOTS = 4
CONNECTIONS = 100
#: Shards of the small deployment with two leafs each, before and after a reshard. They
#: get no requests here, but their entries fill the pages of the store.
SHARDS = 50
REQUESTS_PER_S = 8.0
#: Seconds that a request takes: about those of `bay-status`.
WORK_S = (0.1, 0.4)
DEADLINE_MS = 6000
#: Greatest age of a read with `serializable` ("may be seconds old"), in seconds.
MAX_READ_AGE_S = 3.0
#: Seconds between two rounds, and from the start of a round to the machines' restart.
ROUND_S = 15.0
ROUNDS = 6
DOWN_S = 1.0
#: Seconds for which a leaf serves on after its entry is gone: `drainMs` and "a little
#: longer" for one leaf of a round, "at times many seconds" for the other.
LEAVING_S = (3.5, 12.0)
#: Seconds that a request may take from the caller to the leaf.
SLACK_S = 0.1


@dataclass
class Departure:
    """A leaf that left, with the time at which the store removed its entry."""

    leaf: Leaf
    at: float


async def play(deployment: Deployment, trouble: bool) -> list[str]:
    """Let leafs leave while machines are restarted, and check which still get work."""
    random, record = deployment.random, deployment.record
    zones = list(ZONES)

    def draw_age() -> float:
        return random.uniform(0.0, MAX_READ_AGE_S)

    def log_page(
        prefix: str, after: str, age: float, revision: int, items: int
    ) -> None:
        record.write(
            "page read", prefix=prefix, after=after, age=round(age, 2), items=items
        )

    def draw_work() -> float:
        return random.uniform(*WORK_S)

    deployment.store.draw_age = draw_age
    deployment.store.on_page = log_page
    for number in range(SHARDS):
        for zone in zones[:2]:
            await deployment.add_leaf(f"shard{number}", zone, draw_work)
    for number in range(LEAFS):
        await deployment.add_leaf(SERVICE, zones[number % 3], draw_work, SLOTS, 16)
    await asyncio.sleep(MAX_READ_AGE_S)
    route = make_route("r-bay", "/bay/", SERVICE, routeType="non_idempotent")
    services = [make_service(f"shard{number}", 26) for number in range(SHARDS)]
    deployment.configure(7, [route], [*services, make_service(SERVICE, CONNECTIONS)])
    for zone in zones:
        deployment.add_machine(f"front-{zone}-1", zone)
    await deployment.start_machines()
    await asyncio.sleep(CONTACT_MS / 1000)

    sent: dict[str, tuple[Machine, float]] = {}
    answered: dict[str, int] = {}
    departures: list[Departure] = []

    async def send(machine: Machine, id: str) -> None:
        sent[id] = (machine, record.now())
        headers = {"Host": HOST, "X-Request-Id": id, "X-Deadline-Ms": str(DEADLINE_MS)}
        record.write("sent", id=id, machine=machine.name)
        first = "POST /bay/2f HTTP/1.1"
        # Requests differ, so that none is taken for one that crashes leafs.
        answer = await ask(machine.front, first, headers, id.encode() * 20, 7.0)
        answered[id] = answer.status if answer is not None else 0
        record.write("answered", id=id, status=answered[id])

    async def leave(leaf: Leaf, serves_on: float) -> None:
        deployment.store.remove(f"servers/{leaf.id}")
        departures.append(Departure(leaf, record.now()))
        record.write("entry removed", leaf=leaf.id)
        await asyncio.sleep(serves_on)
        await leaf.end()

    async def play_round() -> None:
        own = [leaf for leaf in deployment.leafs if leaf.service == SERVICE]
        leaving = random.sample([leaf for leaf in own if not leaf.ended], 2)
        for leaf in leaving:
            await deployment.add_leaf(SERVICE, leaf.zone, draw_work, SLOTS, 16)
        await asyncio.sleep(4.0)
        if trouble:
            for machine in deployment.machines:
                machine.signal(signal.SIGKILL)
        for leaf, serves_on in zip(leaving, LEAVING_S, strict=True):
            group.create_task(leave(leaf, serves_on))
        await asyncio.sleep(DOWN_S)
        if trouble:
            for machine in deployment.machines:
                machine.end()
                machine.start()
            for machine in deployment.machines:
                await deployment.wait_ready(machine)

    async def play_rounds() -> None:
        for _ in range(ROUNDS):
            begun = record.now()
            await play_round()
            await asyncio.sleep(max(0.0, begun + ROUND_S - record.now()))

    async with asyncio.TaskGroup() as group:
        rounds = group.create_task(play_rounds())
        while not rounds.done():
            for machine in deployment.machines:
                if machine.process.poll() is None:
                    id = f"{random.getrandbits(64):016x}"
                    group.create_task(send(machine, id))
            await asyncio.sleep(random.expovariate(REQUESTS_PER_S))
    return check(deployment, sent, answered, departures)


def check(
    deployment: Deployment,
    sent: dict[str, tuple[Machine, float]],
    answered: dict[str, int],
    departures: list[Departure],
) -> list[str]:
    """Return the requests that reached a leaf more than `drainMs` after it had left."""
    served = sum(1 for status in answered.values() if status == 200)
    if served < len(sent) / 2:
        raise CannotRun("less than a half was served")
    broken = []
    for departure in departures:
        for at, id in departure.leaf.arrivals:
            machine, _ = sent[id]
            late = at - departure.at - DRAIN_MS / 1000
            if late > SLACK_S and machine.was_in_touch(at):
                broken.append(
                    f"DRAIN: {id} from {machine.name} reached {departure.leaf.id} "
                    f"{late:.2f} s past drainMs; answered {answered.get(id)}"
                )
    return broken


run_case(play, FOLDER)
