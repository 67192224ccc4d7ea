"""Selects the instance that gathers a group, and keeps links open to candidates.

See Also:
    `walkcart.routing.gatherers`, which decides which instances gather.
    `walkcart.fanout.delegationclient.DelegationClient`, which sends questions to them.
"""

from __future__ import annotations

from walkcart.fanout.delegationtools import DelegationTools
from walkcart.fanout.groups import Group
from walkcart.membership.instancerecord import InstanceRecord
from walkcart.routing.gatherers import PART_CPU_TIME
from walkcart.routing.shares import rank_by_weight
from walkcart.wire.delegations import Greeting
from walkcart.wire.messagebase import Message

#: Maximum number of other instances to which an instance keeps links to all of them. In
#: a larger fleet it keeps links to those that gather, so that the number of its links
#: doesn't grow with the fleet.
MAX_FULL_MESH = 100
#: Maximum number of instances of a data centre among which the one for a group is
#: chosen: more than one, as any may be silent.
MAX_CANDIDATES = 3


class PeerSelection:
    """Selects among the other instances.

    Args:
        tools: shared components of delegation.
    """

    def __init__(self, tools: DelegationTools) -> None:
        self._tools = tools
        tools.registration.on_change(self.open_links)
        tools.links.on(Greeting, self._on_greeting)

    def open_links(self) -> None:
        """Open missing links, so that no question has to wait for one."""
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
        """Return the instance for a group, or None when there is none.

        An instance that hasn't sent a message yet may still be starting, and would
        reject the group; one without a connection has likely ended. Instances that
        gather are preferred, and the same few of them for the same services: they keep
        connections to the leaves and know their state.

        Args:
            wanted: the services, and where they are gathered.
            without: names of instances that aren't asked.
        """
        tools = self._tools
        place = wanted.place.data_centre
        usable = self._find_connected(tools.gatherers.in_data_centre(place))
        if not usable:
            # Other instances of the data centre are asked only if none that gathers is
            # connected. Where those are connected but silent, the data centre may be
            # cut off, and all others there would be tried in turn.
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
        # cores for 7 ms (computed): a quarter of the shortest objective.
        cpu_time = len(wanted.services) * PART_CPU_TIME
        work = {name: cpu_time / cores[name] for name in names[:MAX_CANDIDATES]}
        now = tools.clock.monotonic()
        for name in tools.accounts.find_peers_to_greet(names[:MAX_CANDIDATES], now):
            tools.links.reconnect(name)
            tools.links.send(name, Greeting(unheard=True))
        name = tools.accounts.choose(names[:MAX_CANDIDATES], now, work)
        return tools.registration.find(name) if name else None

    def _find_connected(self, names: list[str]) -> list[str]:
        """Return those of `names` that are connected and have sent a message."""
        links, own = self._tools.links, self._tools.registration.own.name
        return [
            name
            for name in names
            if name != own
            and links.has_received_from(name)
            and links.is_connected(name)
        ]
