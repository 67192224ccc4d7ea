"""The planned stop of an instance: no request in progress is cut off.

Readiness checks fail and peers are told first. New requests are still served until the
load balancer has had time to notice. Then the listener is closed, connections are
closed once idle, requests and claims in progress end, and the process exits.
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

#: Seconds between two checks for what is still in progress.
POLL_INTERVAL = 0.02
#: Seconds for the last gossip message to reach the peers.
FINAL_GOSSIP_TIME = 0.1
#: Longest wait for claims to be settled, in seconds. A settled claim keeps the reply,
#: so that a repeated request can be answered with it.
SETTLE_TIMEOUT = 2.0


class PlannedStop:
    """Stops an instance.

    Args:
        entry: serves the requests of callers.
        view: state of this instance as gossiped to the peers.
        detector: sends gossip to the peers at once.
        forwarder: serves requests that other instances forward.
        owners: write claims to the store.
        clock: source of time.
        events: log for the stop.
        grace: time for which new requests are still served.
        timeout: longest time after that for requests and claims in progress to end.
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
        timeout: timedelta,
    ) -> None:
        self._entry = entry
        self._view = view
        self._detector = detector
        self._forwarder = forwarder
        self._owners = owners
        self._clock = clock
        self._events = events
        self._grace = grace
        self._timeout = timeout

    async def stop(self) -> bool:
        """Stop; return whether all requests in progress ended in time."""
        self._events.emit(Events.STOPPING)
        self._entry.ready = False
        self._view.update_own(state=MemberState.LEAVING)
        self._entry.server.announce_stop()
        await self._clock.sleep(self._grace)
        ended = False
        with trio.move_on_after(self._timeout.total_seconds()):
            await self._entry.stop_accepting()
            await self._drain()
            ended = True
        event = Events.STOPPED if ended else Events.STOP_BOUND
        self._events.emit(event, in_progress=self._entry.server.in_progress)
        self._view.update_own(state=MemberState.DEAD)
        self._detector.push_soon()
        await trio.sleep(FINAL_GOSSIP_TIME)
        return ended

    async def _drain(self) -> None:
        while self._entry.server.connections or self._forwarder.active_count:
            self._entry.server.close_idle(self._grace)
            await trio.sleep(POLL_INTERVAL)
        with trio.move_on_after(SETTLE_TIMEOUT):
            await self._owners.wait_until_idle()
