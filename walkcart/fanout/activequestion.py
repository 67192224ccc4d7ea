"""A question of another instance while its parts are gathered here.

See Also:
    `walkcart.fanout.delegationserver.DelegationServer`, which keeps them.
"""

from __future__ import annotations

from dataclasses import dataclass

import trio

from walkcart.fanout.delegationtools import receive_pending_messages
from walkcart.fanout.handover import Handover
from walkcart.kernel.clock import Clock

#: Seconds without a renewal after which a question is abandoned: more than three
#: renewal intervals, and less than the half second for which leaves may go on working
#: for a caller that has left.
RENEWAL_TIMEOUT = 0.4


@dataclass(slots=True)
class ActiveQuestion:
    """A question in progress.

    Args:
        scope: ends the question.
        handover: sends its parts to the asking instance.
        clock: source of time.
        wanted_until: until when the asking instance is known to want the answer, in
            seconds.
        cancelled: whether the asking instance cancelled it.
    """

    scope: trio.CancelScope
    handover: Handover
    clock: Clock
    wanted_until: float
    cancelled: bool = False

    def renew(self, age: float) -> None:
        """Record a renewal of the asking instance.

        Args:
            age: seconds since it was sent; infinite if unknown, which is so just after
                one of the two instances has started.
        """
        self.scope.deadline = trio.current_time() + RENEWAL_TIMEOUT
        sent_at = self.clock.monotonic() - (0.0 if age == float("inf") else age)
        self.wanted_until = max(self.wanted_until, sent_at + RENEWAL_TIMEOUT)
        self.handover.confirm()

    async def is_wanted(self) -> bool:
        """Return whether the asking instance still wants the answer.

        A busy event loop may have renewals to receive, and may not have noticed yet
        that they ceased.
        """
        if self.clock.monotonic() >= self.wanted_until:
            await receive_pending_messages()
        return not self.cancelled and self.clock.monotonic() < self.wanted_until
