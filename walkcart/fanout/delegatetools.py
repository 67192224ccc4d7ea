"""What has questions gathered by other instances works with."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from walkcart.fanout.ids import IdSource
from walkcart.kernel.clock import Clock
from walkcart.kernel.eventlog import EventLog
from walkcart.membership.links import PeerLinks
from walkcart.membership.registration import Registration
from walkcart.routing.peerchoice import PeerAccounts


@dataclass(frozen=True, slots=True)
class DelegateTools:
    """What the delegates work with.

    Args:
        links: to the other instances.
        registration: knows them.
        accounts: of how they did.
        ids: names questions.
        clock: source of time.
        random: breaks ties.
        events: where lost questions are logged.
    """

    links: PeerLinks
    registration: Registration
    accounts: PeerAccounts
    ids: IdSource
    clock: Clock
    random: Random
    events: EventLog
