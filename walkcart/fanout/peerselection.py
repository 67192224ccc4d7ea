"""Which other instance gathers a group, and the links that stand ready for it.

See Also:
    `walkcart.routing.gatherers`, which says who gathers.
    `walkcart.fanout.delegationclient.DelegationClient`, which asks.
"""

from __future__ import annotations

from walkcart.fanout.delegationtools import DelegationTools
from walkcart.fanout.groups import Group
from walkcart.membership.instancerecord import InstanceRecord
from walkcart.routing.gatherers import PART_CPU_TIME
from walkcart.routing.shares import rank_by_weight
from walkcart.wire.delegations import Greeting
from walkcart.wire.messagebase import Message

#: Fleets up to this size have links to all others; past it to those that gather, so
#: that the links of an instance don't grow with the fleet.
MAX_FULL_MESH = 100
#: Instances of a data centre among which a group's is chosen: one may be silent.
CANDIDATES = 3


class PeerSelection:
    """Chooses among the other instances.

    Args:
        tools: of the delegates.
    """

    def __init__(self, tools: DelegationTools) -> None:
        self._tools = tools
        tools.registration.on_change(self.open_links)
        tools.links.on(Greeting, self._on_greeting)

    def open_links(self) -> None:
        """Have links ready to others: a question waits for none to come up."""
        names = [record.name for record in self._tools.registration.others()]
        if len(names) > MAX_FULL_MESH:
            names = self._tools.gatherers.all()
        for name in names:
            if not self._tools.links.has_link(name):
                self._tools.links.send(name, Greeting())

    def _on_greeting(self, sender: str, message: Message) -> None:
        assert isinstance(message, Greeting)
        self._tools.accounts.record_greeting(sender)
        if message.unheard:
            # The connection by which this instance answers may have gone silent.
            self._tools.links.reconnect(sender)
        if not message.answers:
            self._tools.links.send(sender, Greeting(answers=True))

    def choose(self, wanted: Group, without: frozenset[str]) -> InstanceRecord | None:
        """Return the instance for a group, among few that get all like it.

        One that wasn't heard of yet may still be starting, and would turn it down; one
        without a connection has likely ended. Those that gather go first, and of them
        the same ones for the same services: they keep connections to the leafs and know
        how they are.

        Args:
            wanted: the services, and where they are gathered.
            without: names of instances that aren't asked.
        """
        tools = self._tools
        place = wanted.place.data_centre
        usable = self._find_connected(tools.gatherers.in_data_centre(place))
        if not usable:
            # Those that are connected and silent are left alone with their data centre:
            # it may be cut off, and all others there would be tried in turn.
            others = [
                record.name
                for record in tools.registration.others()
                if record.data_centre == place
            ]
            usable = self._find_connected(others)
        cores = {
            name: record.cores
            for name in usable
            if name not in without and (record := tools.registration.find(name))
        }
        names = sorted(
            cores,
            key=lambda name: rank_by_weight(wanted.services[0], name, cores[name]),
        )
        # A group of 24 parts keeps a machine of half a core busy for 28 ms, one of 2.15
        # cores for 7 ms (worked out): a quarter of the shortest objective.
        parts = len(wanted.services) * PART_CPU_TIME
        work = {name: parts / cores[name] for name in names[:CANDIDATES]}
        now = tools.clock.monotonic()
        for name in tools.accounts.find_peers_to_greet(names[:CANDIDATES], now):
            tools.links.reconnect(name)
            tools.links.send(name, Greeting(unheard=True))
        name = tools.accounts.choose(names[:CANDIDATES], now, work)
        return tools.registration.find(name) if name else None

    def _find_connected(self, names: list[str]) -> list[str]:
        """Return those of some instances that may be asked."""
        links, own = self._tools.links, self._tools.registration.own.name
        return [
            name
            for name in names
            if name != own
            and links.has_received_from(name)
            and links.is_connected(name)
        ]
