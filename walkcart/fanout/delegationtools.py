"""Shared components of the delegation of questions to other instances."""

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

#: Maximum number of pending messages that are received before an instance counts as
#: silent: one in each turn of the event loop, and a busy loop has several pending.
MAX_PENDING_MESSAGES = 4


@dataclass(frozen=True, slots=True)
class DelegationTools:
    """The components that delegation uses.

    Args:
        links: links to the other instances.
        registration: the list of instances.
        accounts: statistics of each instance, such as round trip and load.
        ids: source of ids of delegations.
        clock: source of time.
        random: breaks ties.
        events: log of lost questions.
        gatherers: the instances that gather, which are asked first.
    """

    links: PeerLinks
    registration: Registration
    accounts: PeerStats
    ids: IdSource
    clock: Clock
    random: Random
    events: EventLog
    gatherers: GatheringInstances


async def receive_pending_messages() -> None:
    """Let the links' task receive what has arrived while the event loop was busy."""
    for _ in range(MAX_PENDING_MESSAGES):
        await trio.lowlevel.checkpoint()
