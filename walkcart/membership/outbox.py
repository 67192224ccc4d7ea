"""Messages that wait to be sent to one peer."""

from __future__ import annotations

from collections import deque
from datetime import timedelta

import trio

from walkcart.wire.messagebase import Message
from walkcart.wire.peers import PeerSender

#: Messages that wait for one peer; more are dropped and counted.
OUTBOX_LIMIT = 2000
MESSAGES_PER_ENVELOPE = 64
#: A link without messages for this long is closed. A new one costs the first question
#: some round trips, which at its objective is too long.
IDLE_TIME = timedelta(minutes=5)


class Outbox:
    """The outbox of one peer.

    Args:
        opened_at: when it was made, in seconds.

    Attributes:
        sender: that takes what is queued; None until it is dialled.
    """

    def __init__(self, opened_at: float) -> None:
        self.opened_at = opened_at
        self.ended = False
        self.sender: PeerSender | None = None
        self._messages: deque[tuple[float, Message]] = deque()
        self._wakeup = trio.Event()

    def put(self, message: Message) -> bool:
        """Queue `message`; False when the outbox is full."""
        if len(self._messages) >= OUTBOX_LIMIT:
            return False
        self._messages.append((trio.current_time(), message))
        self._wakeup.set()
        return True

    def is_queued(self, message: Message) -> bool:
        """Return whether `message` is queued still."""
        return any(queued is message for _, queued in self._messages)

    def withdraw(self, message: Message) -> bool:
        """Take back `message`; False when it isn't queued any longer."""
        for place, (_, queued) in enumerate(self._messages):
            if queued is message:
                del self._messages[place]
                return True
        return False

    @property
    def is_connected(self) -> bool:
        """Whether the peer can be sent to, as far as is known."""
        return self.sender is not None and self.sender.is_connected

    def end(self) -> None:
        """Send what is queued, and nothing more."""
        self.ended = True
        self._wakeup.set()

    async def wait(self) -> bool:
        """Wait for a message; False after a long time without one, or at the end."""
        if not self._messages and not self.ended:
            self._wakeup = trio.Event()
            with trio.move_on_after(IDLE_TIME.total_seconds()):
                await self._wakeup.wait()
        return bool(self._messages)

    @property
    def waited(self) -> float:
        """Seconds that the oldest message has waited; 0 without one."""
        if not self._messages:
            return 0.0
        return trio.current_time() - self._messages[0][0]

    def __len__(self) -> int:
        return len(self._messages)

    def take(self) -> tuple[Message, ...]:
        """Take what fits into one envelope."""
        count = min(len(self._messages), MESSAGES_PER_ENVELOPE)
        return tuple(self._messages.popleft()[1] for _ in range(count))
