"""The queue of messages to one peer."""

from __future__ import annotations

from collections import deque
from datetime import timedelta

import trio

from walkcart.wire.messagebase import Message
from walkcart.wire.peers import PeerSender

#: Limit of queued messages per peer; further ones are dropped and counted.
MAX_QUEUED_MESSAGES = 2000
#: Maximum number of messages in one envelope.
MESSAGES_PER_ENVELOPE = 64
#: A link without messages for this long is closed. Opening a new one costs the first
#: question some round trips, which is too long for its latency objective.
IDLE_TIMEOUT = timedelta(minutes=5)


class Outbox:
    """The message queue of a link to one peer.

    Args:
        opened_at: when the link was created, in seconds.

    Attributes:
        sender: the connection that sends the messages; None until it is opened.
    """

    def __init__(self, opened_at: float) -> None:
        self.opened_at = opened_at
        self.ended = False
        self.sender: PeerSender | None = None
        self._messages: deque[tuple[float, Message]] = deque()
        self._wakeup = trio.Event()

    def put(self, message: Message) -> bool:
        """Queue `message`; return False if the queue is full."""
        if len(self._messages) >= MAX_QUEUED_MESSAGES:
            return False
        self._messages.append((trio.current_time(), message))
        self._wakeup.set()
        return True

    def is_queued(self, message: Message) -> bool:
        """Return whether `message` is still queued."""
        return any(queued is message for _, queued in self._messages)

    def withdraw(self, message: Message) -> bool:
        """Remove `message`; return False if it is no longer queued."""
        for place, (_, queued) in enumerate(self._messages):
            if queued is message:
                del self._messages[place]
                return True
        return False

    @property
    def is_connected(self) -> bool:
        """Whether the connection to the peer is open, as far as is known."""
        return self.sender is not None and self.sender.is_connected

    def end(self) -> None:
        """Close the link once the queued messages are sent."""
        self.ended = True
        self._wakeup.set()

    async def wait(self) -> bool:
        """Wait for a message; return False if none came by `IDLE_TIMEOUT` or `end`."""
        if not self._messages and not self.ended:
            self._wakeup = trio.Event()
            with trio.move_on_after(IDLE_TIMEOUT.total_seconds()):
                await self._wakeup.wait()
        return bool(self._messages)

    @property
    def queue_time(self) -> float:
        """Seconds that the oldest message has been queued; 0 if there is none."""
        if not self._messages:
            return 0.0
        return trio.current_time() - self._messages[0][0]

    def __len__(self) -> int:
        return len(self._messages)

    def take_batch(self) -> tuple[Message, ...]:
        """Remove and return the messages for one envelope."""
        count = min(len(self._messages), MESSAGES_PER_ENVELOPE)
        return tuple(self._messages.popleft()[1] for _ in range(count))
