"""What has questions gathered by other instances works with."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

import trio

from walkcart.fanout.gatheringinstances import GatheringInstances
from walkcart.fanout.ids import IdSource
from walkcart.kernel.clock import Clock
from walkcart.kernel.eventlog import EventLog
from walkcart.membership.links import PeerLinks
from walkcart.membership.registration import Registration
from walkcart.routing.peerchoice import PeerStats

#: Messages that are taken in before an instance counts as silent: one each turn of the
#: event loop, of which a busy one has some waiting.
WAITING_MESSAGES = 4


@dataclass(frozen=True, slots=True)
class DelegationTools:
    """What the delegates work with.

    Args:
        links: to the other instances.
        registration: knows them.
        accounts: of how they did.
        ids: names questions.
        clock: source of time.
        random: breaks ties.
        events: where lost questions are logged.
        gatherers: those of them that are asked first.
    """

    links: PeerLinks
    registration: Registration
    accounts: PeerStats
    ids: IdSource
    clock: Clock
    random: Random
    events: EventLog
    gatherers: GatheringInstances


async def take_in_messages() -> None:
    """Let the links' task take in what has come while the event loop was busy."""
    for _ in range(WAITING_MESSAGES):
        await trio.lowlevel.checkpoint()
