"""The planned stop of an instance that serves routed requests.

Readiness checks fail first. The load balancer needs two of them to notice, so new
connections are accepted for a while, with replies that ask callers to close theirs.
Then idle connections are closed, requests in progress end, and the process exits.

The load balancer may go on sending new connections: it uses all instances of a data
centre while fewer than half of them are ready. So from the beginning of the stop a
request is only accepted if it can end in time, and the others are rejected at once. All
that were accepted are answered by a deadline shortly before the process must exit, and
so are those that aren't complete by then.
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
from walkcart.routing.shutdown import ShutdownDeadline

#: Time for the load balancer to check readiness twice, once a second, and for a late
#: connection to be opened.
BALANCER_NOTICE_TIME = timedelta(seconds=2.6)
#: Part of the platform's grace period that is kept for the exit of the process.
EXIT_RESERVE = timedelta(seconds=0.4)
#: Time to send the last answers, to callers and to other instances, before that.
ANSWER_RESERVE = timedelta(seconds=0.1)
#: Longest wait for each of the two leases to end.
LEASE_END_TIMEOUT = timedelta(seconds=0.2)
#: Seconds between two checks for what is still in progress.
POLL_INTERVAL = 0.02
#: A connection is closed once it has been idle for this long.
MIN_IDLE_TIME = timedelta(seconds=0.3)


class RoutedStop:
    """Stops an instance that serves routed requests.

    Args:
        service: serves the requests of callers.
        carrier: serves questions of other instances.
        registration: registers this instance with the others.
        events: log for the stop.
        grace: time until the platform kills the process.
        quota_shares: shares of rate limits that this instance accounts.
        deadline: by when requests in progress must be answered.
    """

    def __init__(
        self,
        service: RoutedService,
        carrier: DelegationServer,
        registration: Registration,
        events: EventLog,
        grace: timedelta,
        quota_shares: QuotaShares,
        deadline: ShutdownDeadline,
    ) -> None:
        self._service = service
        self._delegation_server = carrier
        self._registration = registration
        self._events = events
        self._grace = grace
        self._quota_shares = quota_shares
        self._deadline = deadline

    async def stop(self) -> bool:
        """Stop; return whether all requests in progress ended in time."""
        self._events.emit(Events.STOPPING)
        start = trio.current_time()
        drain_deadline = start + (self._grace - EXIT_RESERVE).total_seconds()
        self._deadline.set(drain_deadline - ANSWER_RESERVE.total_seconds())
        self._service.stopping = True
        self._service.server.announce_stop(self._deadline.at)
        self._delegation_server.stop_accepting()
        with trio.move_on_after(LEASE_END_TIMEOUT.total_seconds()):
            await self._quota_shares.release_all()
        with trio.move_on_after(LEASE_END_TIMEOUT.total_seconds()):
            await self._registration.deregister()
        noticed_at = start + BALANCER_NOTICE_TIME.total_seconds()
        await trio.sleep_until(min(noticed_at, self._deadline.at))
        with trio.move_on_at(drain_deadline):
            await self._drain()
        ended = not self._service.server.in_progress
        if ended:
            self._events.emit(Events.STOPPED, in_progress=0)
        else:
            self._report_unfinished(start)
        return ended

    def _report_unfinished(self, start: float) -> None:
        """Log the requests that the end of the process closes without an answer.

        Whether they were read before or after the stop began tells whether the instance
        had too little time for old requests or went on taking new ones.
        """
        server = self._service.server
        read_times = server.list_read_times()
        after = [time - start for time in read_times if time >= start]
        self._events.emit(
            Events.STOP_BOUND,
            in_progress=server.in_progress,
            read_after_stop=len(after),
            first_read_ms=round(min(after) * 1000) if after else None,
            last_read_ms=round(max(after) * 1000) if after else None,
            delegated=self._delegation_server.active_count,
        )

    async def _drain(self) -> None:
        await self._end_connections()
        await self._service.stop_accepting()
        # A connection may have been accepted while the listener was being closed.
        await trio.sleep(POLL_INTERVAL)
        await self._end_connections()

    async def _end_connections(self) -> None:
        server = self._service.server
        while server.connections or self._delegation_server.active_count:
            if trio.current_time() >= self._deadline.at:
                # Further callers are to be refused a connection, not accepted and
                # then cut off by the exit.
                await self._service.stop_accepting()
            server.close_idle(MIN_IDLE_TIME)
            await trio.sleep(POLL_INTERVAL)
