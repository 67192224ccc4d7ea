"""The listener of routed requests and the answer to "are you ready?".

See Also:
    `walkcart.entry.routed.RoutedHandler`, which answers the requests.
"""

from __future__ import annotations

from collections.abc import Callable

import trio

from walkcart.entry.routed import RoutedHandler
from walkcart.intent.routekeeper import RouteKeeper
from walkcart.intent.routes import CallerLimits, RouteTable
from walkcart.kernel.eventlog import EventLog
from walkcart.kernel.events import Events
from walkcart.kernel.taskerrors import log_task_error
from walkcart.leaves.directory import LeafDirectory
from walkcart.wire.http import HttpReply, HttpRequest
from walkcart.wire.server import Fault, HttpServer, ServerLimits

#: Added to the operators' idle time: a request that leaves the caller just before
#: that time must still find the connection open.
IDLE_SLACK = 1.25
#: Time for the whole request beyond the time for its head.
BODY_TIME_FACTOR = 2


class RoutedService:
    """Serves callers and the balancer's question.

    Args:
        listener: where callers come in.
        handler: answers their requests.
        render_fault: makes the answer to bytes that are no request.
        keeper: tells the callers' limits, and whether routes are known.
        directory: tells whether the leafs are known.
        events: where the start and bad requests are logged.
    """

    def __init__(
        self,
        listener: trio.abc.Listener[trio.abc.Stream],
        handler: RoutedHandler,
        render_fault: Callable[[Fault], HttpReply],
        keeper: RouteKeeper,
        directory: LeafDirectory,
        events: EventLog,
    ) -> None:
        self._listener = listener
        self._render_fault = render_fault
        self._keeper = keeper
        self._directory = directory
        self._events = events
        self._accepting = trio.CancelScope()
        self.stopping = False
        self.server = HttpServer(
            handler.handle,
            _make_limits(CallerLimits()),
            self._tell_fault,
            self._note_gone,
            cancel_on_disconnect=True,
            on_error=self._note_error,
        )
        keeper.on_change(self._take_limits)

    @property
    def ready(self) -> bool:
        """Whether new connections are wanted."""
        return not self.stopping and self._keeper.known and self._directory.known

    async def run(self, *, task_status: trio.TaskStatus[None]) -> None:
        """Serve until cancelled."""
        async with trio.open_nursery() as connections:
            self._events.emit(Events.STARTED)
            task_status.started()
            with self._accepting:
                await trio.serve_listeners(
                    self.server.serve, [self._listener], handler_nursery=connections
                )
            await trio.sleep_forever()

    async def stop_accepting(self) -> None:
        """Close the listener; open connections stay."""
        self._accepting.cancel()
        await trio.aclose_forcefully(self._listener)

    async def handle_readiness(self, request: HttpRequest) -> HttpReply:
        """Answer the balancer: 200 when new connections are wanted, else 503."""
        return HttpReply(200 if self.ready else 503)

    def _take_limits(self, table: RouteTable) -> None:
        self.server.limits = _make_limits(table.document.limits)

    def _tell_fault(self, fault: Fault) -> HttpReply:
        self._events.emit(Events.REQUEST_BAD, detail=fault.name)
        return self._render_fault(fault)

    def _note_error(self, error: Exception) -> None:
        log_task_error(self._events, "connection of a caller", error)

    def _note_gone(self) -> None:
        self._events.emit(Events.CALLER_GONE)


def _make_limits(limits: CallerLimits) -> ServerLimits:
    return ServerLimits(
        body=limits.body_bytes,
        read_time=limits.head_time * BODY_TIME_FACTOR,
        idle_time=limits.idle_time * IDLE_SLACK,
        head=limits.header_bytes,
    )
