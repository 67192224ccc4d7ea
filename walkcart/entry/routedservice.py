"""The HTTP server for routed requests, and the readiness check of the load balancer.

See Also:
    `walkcart.entry.routed.RoutedHandler`, which answers the requests.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

import trio

from walkcart.entry.routed import RoutedHandler
from walkcart.intent.routekeeper import RouteKeeper
from walkcart.intent.routes import CallerLimits, RouteTable
from walkcart.kernel.eventlog import EventLog
from walkcart.kernel.events import Events
from walkcart.kernel.taskerrors import log_task_error
from walkcart.leaves.directory import LeafDirectory
from walkcart.wire.bodies import MemoryBudget
from walkcart.wire.http import MAX_HEADER_BYTES, HttpReply, HttpRequest
from walkcart.wire.listening import is_listening
from walkcart.wire.server import Fault, HttpServer, ServerLimits

#: Factor on the configured idle time: a request that leaves the caller just before
#: that time ends must still find the connection open.
IDLE_TIME_FACTOR = 1.25
#: Time to read a whole request, as a multiple of the time to read its head.
BODY_TIME_FACTOR = 2
#: Part of the memory for requests that one head may take: all other requests wait while
#: it is parsed. A limit that is shorter than the usual one isn't set.
HEAD_DIVISOR = 64
#: Seconds between two log lines about too many connections.
LOG_INTERVAL = 2.0


class RoutedService:
    """Serves callers and the load balancer's readiness check.

    Args:
        listener: accepts connections of callers.
        handler: answers their requests.
        render_fault: renders the reply to input that is not a valid request.
        keeper: holds the routes and the limits on callers' connections.
        directory: holds the leaves; readiness depends on whether they are known.
        events: log for the start, bad requests and failures.
        budget: limits the memory of all requests' bodies together.
        max_connections: largest number of callers' connections.
    """

    def __init__(
        self,
        listener: trio.abc.Listener[trio.abc.Stream],
        handler: RoutedHandler,
        render_fault: Callable[[Fault], HttpReply],
        keeper: RouteKeeper,
        directory: LeafDirectory,
        events: EventLog,
        budget: MemoryBudget | None = None,
        max_connections: int | None = None,
    ) -> None:
        self._listener = listener
        self._render_fault = render_fault
        self._keeper = keeper
        self._directory = directory
        self._events = events
        self._budget = budget
        self._accepting = trio.CancelScope()
        self._logged_full_at = float("-inf")
        self.stopping = False
        self.server = HttpServer(
            handler.handle,
            _make_limits(CallerLimits()),
            self._answer_fault,
            self._log_disconnect,
            cancel_on_disconnect=True,
            on_error=self._log_error,
            budget=budget,
            max_connections=max_connections,
            on_full=self._log_full,
        )
        keeper.on_change(self._update_limits)

    @property
    def ready(self) -> bool:
        """Whether the load balancer may send new connections."""
        return (
            not self.stopping
            and is_listening(self._listener)
            and self._keeper.known
            and self._directory.known
        )

    async def run(self, *, task_status: trio.TaskStatus[None]) -> None:
        """Accept connections and serve them until cancelled."""
        async with trio.open_nursery() as connections:
            self._events.emit(Events.STARTED)
            task_status.started()
            with self._accepting:
                await trio.serve_listeners(
                    self.server.serve, [self._listener], handler_nursery=connections
                )
            await trio.sleep_forever()

    async def stop_accepting(self) -> None:
        """Close the listener; open connections are served further."""
        self._accepting.cancel()
        await trio.aclose_forcefully(self._listener)

    async def handle_readiness(self, request: HttpRequest) -> HttpReply:
        """Answer the load balancer: 200 if it may send new connections, else 503."""
        return HttpReply(200 if self.ready else 503)

    def _update_limits(self, table: RouteTable) -> None:
        stated = table.document.limits
        used = stated if self._budget is None else bound_limits(stated, self._budget)
        if used != stated:
            self._events.emit(
                Events.CALLER_LIMITS_BOUNDED,
                version=table.document.version,
                stated_header_bytes=stated.header_bytes,
                header_bytes=used.header_bytes,
                stated_body_bytes=stated.body_bytes,
                body_bytes=used.body_bytes,
            )
        self.server.limits = _make_limits(used)

    def _answer_fault(self, fault: Fault) -> HttpReply:
        self._events.emit(Events.REQUEST_BAD, detail=fault.name)
        return self._render_fault(fault)

    def _log_full(self) -> None:
        """Log that connections are displaced; at most one line per interval."""
        now = trio.current_time()
        if now >= self._logged_full_at + LOG_INTERVAL:
            self._logged_full_at = now
            connections = self.server.connections
            self._events.emit(
                Events.CONNECTIONS_FULL, purpose="callers", connections=connections
            )

    def _log_error(self, error: Exception) -> None:
        log_task_error(self._events, "connection of a caller", error)

    def _log_disconnect(self) -> None:
        self._events.emit(Events.CALLER_GONE)


def bound_limits(limits: CallerLimits, budget: MemoryBudget) -> CallerLimits:
    """Return limits on requests that fit into the memory for all of them.

    A body or head beyond it can never be read, so a caller is told that it is too long,
    and not to come back when others are done.
    """
    return replace(
        limits,
        header_bytes=min(
            limits.header_bytes, max(MAX_HEADER_BYTES, budget.limit // HEAD_DIVISOR)
        ),
        body_bytes=min(limits.body_bytes, budget.limit),
    )


def _make_limits(limits: CallerLimits) -> ServerLimits:
    return ServerLimits(
        body=limits.body_bytes,
        read_time=limits.head_time * BODY_TIME_FACTOR,
        idle_time=limits.idle_time * IDLE_TIME_FACTOR,
        head=limits.header_bytes,
    )
