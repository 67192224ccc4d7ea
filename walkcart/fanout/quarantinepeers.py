"""Chooses the instances that get news of requests under which leaves crashed.

See Also:
    `walkcart.membership.quarantinegossip.QuarantineGossip`, which sends the messages.
"""

from __future__ import annotations

from collections.abc import Sequence

from walkcart.fanout.gatheringinstances import GatheringInstances
from walkcart.fanout.peerselection import MAX_FULL_MESH
from walkcart.membership.registration import Registration


class QuarantinePeers:
    """Chooses instances to which links are open: all others, or few in a large fleet.

    Args:
        registration: the list of instances.
        gatherers: the instances that gather.
    """

    def __init__(
        self, registration: Registration, gatherers: GatheringInstances
    ) -> None:
        self._registration = registration
        self._gatherers = gatherers

    def find_peers(self) -> Sequence[str]:
        """Return the names of the instances to which this one sends its news.

        In a large fleet these are the ones that gather, which relay the news to the
        others of their data centre.
        """
        others = self._registration.others()
        if not self._is_large():
            return [record.name for record in others]
        names = dict.fromkeys(self._gatherers.all())
        if self._gatherers.is_own():
            place = self._registration.own.data_centre
            names |= dict.fromkeys(
                record.name for record in others if record.data_centre == place
            )
        return list(names)

    def may_relay(self) -> bool:
        """Return whether this instance relays the news of others."""
        return self._is_large() and self._gatherers.is_own()

    def _is_large(self) -> bool:
        return len(self._registration.others()) > MAX_FULL_MESH
