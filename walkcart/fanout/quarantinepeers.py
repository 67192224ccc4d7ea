"""Which other instances are told of requests under which leafs ended.

See Also:
    `walkcart.membership.quarantinegossip.QuarantineGossip`, which tells them.
"""

from __future__ import annotations

from collections.abc import Sequence

from walkcart.fanout.gatheringinstances import GatheringInstances
from walkcart.fanout.peerselection import MAX_FULL_MESH
from walkcart.membership.registration import Registration


class QuarantinePeers:
    """Chooses by links that stand ready: all others, or in a large fleet few.

    Args:
        registration: knows the instances.
        gatherers: those that gather.
    """

    def __init__(
        self, registration: Registration, gatherers: GatheringInstances
    ) -> None:
        self._registration = registration
        self._gatherers = gatherers

    def find_peers(self) -> Sequence[str]:
        """Return who is told: those that gather, and by them their data centres."""
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
        """Return whether this instance passes on what it is told."""
        return self._is_large() and self._gatherers.is_own()

    def _is_large(self) -> bool:
        return len(self._registration.others()) > MAX_FULL_MESH
