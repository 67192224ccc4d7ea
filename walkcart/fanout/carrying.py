"""Parts of questions that this instance gathers for others.

See Also:
    `walkcart.fanout.delegates.Delegates`, the asking side.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from functools import partial

import trio

from walkcart.fanout.delegatedgroup import Outcome
from walkcart.fanout.delegationcodec import (
    decode_question,
    encode_answer,
    encode_outcome,
)
from walkcart.fanout.mergedanswer import MergedAnswer
from walkcart.fanout.routedquestion import RoutedQuestion
from walkcart.kernel.clock import Clock
from walkcart.membership.links import PeerLinks
from walkcart.wire.delegations import (
    DelegatedCancel,
    DelegatedPart,
    DelegatedQuestion,
    DelegatedTaken,
)
from walkcart.wire.messagebase import Message


class Handover:
    """Hands over what was gathered before the late parts, and then each of those.

    Args:
        id: of the question.
        send: sends a message to who asked it.
    """

    def __init__(self, id: str, send: Callable[[Message], object]) -> None:
        self._id = id
        self._send = send
        self.done = False

    def settle(self, answer: MergedAnswer) -> None:
        """Hand over what is in; `answer` says what is left to who asked."""
        self.done = True
        self._send(encode_answer(self._id, answer, more=True))

    def add(self, service: str, part: MergedAnswer) -> None:
        """Hand over a late part."""
        self._send(DelegatedPart(self._id, service, part.body, part.proofs))

    def end(self) -> None:
        """Say that nothing more comes."""
        self._send(DelegatedPart(self._id, last=True))


#: Gathers a question from this instance and merges it to so many records.
Gather = Callable[[RoutedQuestion, int, Handover], Awaitable[Outcome]]


class Carrier:
    """Gathers for other instances.

    Args:
        links: to them.
        clock: source of time.
        gather: gathers one question.
        usual_high: returns a long time for a kind of request at leafs that are near.
    """

    def __init__(
        self,
        links: PeerLinks,
        clock: Clock,
        gather: Gather,
        usual_high: Callable[[str], float],
    ) -> None:
        self._links = links
        self._clock = clock
        self._gather = gather
        self._usual_high = usual_high
        self._carried: dict[str, trio.CancelScope] = {}
        self._nursery: trio.Nursery | None = None
        links.on(DelegatedQuestion, self._on_question)
        links.on(DelegatedCancel, self._on_cancel)

    @property
    def carrying(self) -> int:
        """Questions of other instances that are in progress here."""
        return len(self._carried)

    async def run(self, *, task_status: trio.TaskStatus[None]) -> None:
        """Carry questions until cancelled."""
        async with trio.open_nursery() as self._nursery:
            task_status.started()
            await trio.sleep_forever()

    def _on_question(self, sender: str, message: Message) -> None:
        assert isinstance(message, DelegatedQuestion)
        if self._nursery is None:
            return
        high = self._usual_high(message.kind)
        self._links.send(sender, DelegatedTaken(message.id, high))
        scope = self._carried[message.id] = trio.CancelScope()
        self._nursery.start_soon(self._carry, sender, message, scope)

    def _on_cancel(self, sender: str, message: Message) -> None:
        assert isinstance(message, DelegatedCancel)
        scope = self._carried.get(message.id)
        if scope is not None:
            scope.cancel()
        if message.unheard:
            # The connection by which this instance answers may have gone silent.
            self._links.renew(sender)

    async def _carry(
        self, sender: str, message: DelegatedQuestion, scope: trio.CancelScope
    ) -> None:
        """Gather one question of another instance and send what came of it."""
        try:
            with scope:
                # A cancellation that came with the question is seen here, before
                # anything is sent.
                await trio.lowlevel.checkpoint()
                question = decode_question(message, self._clock.monotonic())
                send = partial(self._links.send, sender)
                handover = Handover(message.id, send)
                outcome = await self._gather(question, message.top, handover)
                if handover.done:
                    handover.end()
                else:
                    send(encode_outcome(message.id, outcome))
        finally:
            del self._carried[message.id]
