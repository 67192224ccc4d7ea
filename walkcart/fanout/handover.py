"""Sends the result of a delegated question to the asking instance in several messages.

See Also:
    `walkcart.fanout.delegationserver.DelegationServer`, which makes a `Handover` for
    each question.
    `walkcart.fanout.merginghandover.MergingHandover`, which merges what is handed over.
"""

from __future__ import annotations

from collections.abc import Callable, Collection

from walkcart.fanout.delegationcodec import encode_answer
from walkcart.fanout.lentrepeats import encode_services
from walkcart.fanout.mergedanswer import MergedAnswer
from walkcart.wire.delegations import DelegatedPart
from walkcart.wire.messagebase import Message


class Handover:
    """Hands over the parts that arrived in time, then each late part.

    Args:
        id: id of the delegation.
        services: names of its services.
        send: sends a message to the asking instance.
    """

    def __init__(
        self, id: str, services: tuple[str, ...], send: Callable[[Message], object]
    ) -> None:
        self._id = id
        self._services = services
        self._send = send
        self._confirmed = False
        self._listener: Callable[[], object] = lambda: None
        self.is_settled = False

    def confirm(self) -> None:
        """Record that the asking instance knows that the question was accepted."""
        if not self._confirmed:
            self._confirmed = True
            self._listener()

    def on_confirmed(self, listener: Callable[[], object]) -> None:
        """Call `listener` on the confirmation; at once if it has come already."""
        self._listener = listener
        if self._confirmed:
            listener()

    def settle(self, answer: MergedAnswer, unspent: Collection[str] = ()) -> None:
        """Hand over the parts that have arrived.

        Args:
            answer: the merged parts, and the services that are left to the asker.
            unspent: services whose lent repeats are returned.
        """
        self.is_settled = True
        bits = encode_services(self._services, unspent)
        self._send(encode_answer(self._id, answer, more=True, unspent=bits))

    def add(self, service: str, part: MergedAnswer) -> None:
        """Hand over a late part."""
        self._send(DelegatedPart(self._id, service, part.body, part.proofs))

    def end(self) -> None:
        """Report that no more parts follow."""
        self._send(DelegatedPart(self._id, last=True))
