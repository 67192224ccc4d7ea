"""What an instance that gathers sends in pieces to the one that asked.

See Also:
    `walkcart.fanout.delegationserver.DelegationServer`, which makes one for each question.
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
    """Hands over what was gathered before the late parts, and then each of those.

    Args:
        id: of the question.
        services: that it goes to.
        send: sends a message to who asked it.
    """

    def __init__(
        self, id: str, services: tuple[str, ...], send: Callable[[Message], object]
    ) -> None:
        self._id = id
        self._services = services
        self._send = send
        self._confirmed = False
        self._listener: Callable[[], object] = lambda: None
        self.done = False

    def confirm(self) -> None:
        """Note that who asked knows that the question was taken."""
        if not self._confirmed:
            self._confirmed = True
            self._listener()

    def on_confirmed(self, listener: Callable[[], object]) -> None:
        """Call `listener` once that is so, which may be at once."""
        self._listener = listener
        if self._confirmed:
            listener()

    def settle(self, answer: MergedAnswer, unspent: Collection[str] = ()) -> None:
        """Hand over what is in.

        Args:
            answer: says what is left to who asked.
            unspent: services whose lent repeats are returned.
        """
        self.done = True
        bits = encode_services(self._services, unspent)
        self._send(encode_answer(self._id, answer, more=True, unspent=bits))

    def add(self, service: str, part: MergedAnswer) -> None:
        """Hand over a late part."""
        self._send(DelegatedPart(self._id, service, part.body, part.proofs))

    def end(self) -> None:
        """Say that nothing more comes."""
        self._send(DelegatedPart(self._id, last=True))
