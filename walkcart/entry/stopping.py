"""The planned stop: no request in progress is cut.

Readiness says no and peers are told first; new work is still taken until the
balancer has had time to see it; then the listener closes, connections close
when idle, requests and claims in progress end, and the process leaves.
"""

from __future__ import annotations

from datetime import timedelta

import trio

from walkcart.entry.app import EntryService
from walkcart.kernel.clock import Clock
from walkcart.kernel.eventlog import EventLog
from walkcart.kernel.events import Events
from walkcart.leaves.forwarding import Forwarder
from walkcart.membership.detector import Detector
from walkcart.membership.view import MembershipView, MemberState
from walkcart.once.owner import BucketOwners

#: Seconds between two looks at what is still in progress.
LOOK_INTERVAL = 0.02
#: Time for the last word to reach the peers.
LAST_GOSSIP_TIME = 0.1
#: Longest wait for claims to settle: a reply kept for a repeat is worth that.
SETTLE_BOUND = 2.0


class PlannedStop:
    """Stops an instance.

    Args:
        entry: takes requests.
        view: tells the peers.
        detector: tells them soon.
        forwarder: has requests of other instances in progress.
        owners: have claims in progress.
        clock: source of time.
        events: where the stop is logged.
        grace: time for which new work is taken still.
        bound: the stop ends after this at the latest.
    """

    def __init__(
        self,
        entry: EntryService,
        view: MembershipView,
        detector: Detector,
        forwarder: Forwarder,
        owners: BucketOwners,
        clock: Clock,
        events: EventLog,
        grace: timedelta,
        bound: timedelta,
    ) -> None:
        self._entry = entry
        self._view = view
        self._detector = detector
        self._forwarder = forwarder
        self._owners = owners
        self._clock = clock
        self._events = events
        self._grace = grace
        self._bound = bound

    async def stop(self) -> bool:
        """Stop; return whether all that was in progress ended."""
        self._events.emit(Events.STOPPING)
        self._entry.ready = False
        self._view.update_own(state=MemberState.LEAVING)
        self._entry.server.announce_stop()
        await self._clock.sleep(self._grace)
        ended = False
        with trio.move_on_after(self._bound.total_seconds()):
            await self._entry.stop_accepting()
            await self._finish()
            ended = True
        event = Events.STOPPED if ended else Events.STOP_BOUND
        self._events.emit(event, in_progress=self._entry.server.in_progress)
        self._view.update_own(state=MemberState.DEAD)
        self._detector.push_soon()
        await trio.sleep(LAST_GOSSIP_TIME)
        return ended

    async def _finish(self) -> None:
        while self._entry.server.connections or self._forwarder.active_count:
            self._entry.server.close_idle(self._grace)
            await trio.sleep(LOOK_INTERVAL)
        with trio.move_on_after(SETTLE_BOUND):
            await self._owners.settled()
