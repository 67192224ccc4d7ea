"""The planned stop of an instance that serves routed requests.

Readiness says no first. The balancer needs two questions to see that, so new
connections are taken for a while, with answers that ask callers to close. Then idle
connections close, requests in progress end, and the process leaves.
"""

from __future__ import annotations

from datetime import timedelta

import trio

from walkcart.entry.routedservice import RoutedService
from walkcart.fanout.delegationserver import DelegationServer
from walkcart.kernel.eventlog import EventLog
from walkcart.kernel.events import Events
from walkcart.membership.quotashares import QuotaShares
from walkcart.membership.registration import Registration

#: Until the balancer has asked twice, once a second, and a late connection came up.
BALANCER_TIME = timedelta(seconds=2.6)
#: Kept back from the platform's grace for leaving.
LEAVE_TIME = timedelta(seconds=0.4)
#: Longest wait for the end of the lease.
LEASE_END_TIME = timedelta(seconds=0.2)
LOOK_INTERVAL = 0.02
#: A connection that has been without a request for this long may close.
IDLE_TIME = timedelta(seconds=0.3)


class RoutedStop:
    """Stops an instance.

    Args:
        service: takes the callers' requests.
        carrier: has questions of other instances in progress.
        registration: tells the other instances.
        events: where the stop is logged.
        grace: time until the platform kills the process.
        quota_shares: of rate limits that this instance accounts.
    """

    def __init__(
        self,
        service: RoutedService,
        carrier: DelegationServer,
        registration: Registration,
        events: EventLog,
        grace: timedelta,
        quota_shares: QuotaShares,
    ) -> None:
        self._service = service
        self._carrier = carrier
        self._registration = registration
        self._events = events
        self._grace = grace
        self._quota_shares = quota_shares

    async def stop(self) -> bool:
        """Stop; return whether all that was in progress ended."""
        self._events.emit(Events.STOPPING)
        start = trio.current_time()
        self._service.stopping = True
        self._service.server.announce_stop()
        self._carrier.stop_accepting()
        with trio.move_on_after(LEASE_END_TIME.total_seconds()):
            await self._quota_shares.release_all()
        with trio.move_on_after(LEASE_END_TIME.total_seconds()):
            await self._registration.deregister()
        await trio.sleep_until(start + BALANCER_TIME.total_seconds())
        bound = start + (self._grace - LEAVE_TIME).total_seconds()
        with trio.move_on_at(bound):
            await self._finish()
        ended = not self._service.server.in_progress
        event = Events.STOPPED if ended else Events.STOP_BOUND
        self._events.emit(event, in_progress=self._service.server.in_progress)
        return ended

    async def _finish(self) -> None:
        server = self._service.server
        while server.connections or self._carrier.active_count:
            server.close_idle(IDLE_TIME)
            await trio.sleep(LOOK_INTERVAL)
        await self._service.stop_accepting()
