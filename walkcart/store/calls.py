"""Calls to the key-value service: connections, time limits, budget, reachability.

What a call says on the wire is its client's matter; see `walkcart.store.client`
for the product's own form.
"""

from __future__ import annotations

from collections.abc import Callable
from datetime import timedelta

import trio

from walkcart.kernel.clock import Clock
from walkcart.kernel.eventlog import EventLog
from walkcart.kernel.events import Events
from walkcart.kernel.metrics import Metrics
from walkcart.kernel.settings import HostPort
from walkcart.kernel.spans import Tracer
from walkcart.store.budget import CallBudget
from walkcart.wire.http import (
    ExchangeFailed,
    HttpConnection,
    HttpReply,
    HttpRequest,
)
from walkcart.wire.network import Network

#: Longest reply that is read, in bytes: a page of many values.
REPLY_LIMIT = 4 << 20
CALL_TIME = timedelta(seconds=2)
IDLE_CONNECTIONS = 2
#: A waiting watch is quiet for long, and its connection may go silent for good while
#: others work: found after three times this, 3 s.
PROBE = timedelta(seconds=1)


class StoreUnavailable(Exception):
    """A call has no usable reply.

    Args:
        uncertain: whether a write may have taken effect, or may do so yet.
        detail: what happened.
    """

    def __init__(self, uncertain: bool, detail: str) -> None:
        super().__init__(detail)
        self.uncertain = uncertain
        self.detail = detail


class StoreCalls:
    """Exchanges requests with the key-value service.

    Args:
        address: where it listens.
        network: opens connections.
        clock: source of time.
        budget: holds the calls of this instance under a rate.
        events: where failures are logged.
        metrics: where calls are counted.
        tracer: makes a span for each call.
        call_time: a call without a reply after this has failed.
    """

    def __init__(
        self,
        address: HostPort,
        network: Network,
        clock: Clock,
        budget: CallBudget,
        events: EventLog,
        metrics: Metrics,
        tracer: Tracer,
        call_time: timedelta = CALL_TIME,
    ) -> None:
        self._address = address
        self._network = network
        self._clock = clock
        self._budget = budget
        self._events = events
        self._metrics = metrics
        self._tracer = tracer
        self._call_time = call_time
        self._idle: list[HttpConnection] = []
        self.reachable = True
        self.last_success = clock.monotonic()
        #: When calls began to succeed again after a failure, or since the start.
        self.reachable_since = self.last_success
        self._unreachable_since = self.last_success
        self._on_back: list[Callable[[], None]] = []
        self._on_success: list[Callable[[], None]] = []
        self._on_away: list[Callable[[], None]] = []
        self._back = trio.Event()
        self._back.set()

    @property
    def address(self) -> HostPort:
        """Where the service is called."""
        return self._address

    def on_recovered(self, listener: Callable[[], None]) -> None:
        """Call `listener` when calls succeed again after a failure."""
        self._on_back.append(listener)

    def on_unreachable(self, listener: Callable[[], None]) -> None:
        """Call `listener` when a call failed after others had succeeded."""
        self._on_away.append(listener)

    def on_success(self, listener: Callable[[], None]) -> None:
        """Call `listener` after each call that the service served."""
        self._on_success.append(listener)

    def find_outage_time(self) -> float:
        """Return the seconds since calls began to fail; 0 while they succeed."""
        if self.reachable:
            return 0.0
        return self._clock.monotonic() - self._unreachable_since

    async def wait_reachable(self) -> None:
        """Wait until the service serves this instance, as far as it is known."""
        await self._back.wait()

    def set_address(self, address: HostPort) -> None:
        """Call the service at another address from now on."""
        if address != self._address:
            self._address = address
            self._idle.clear()

    async def call(
        self, request: HttpRequest, wait: timedelta = timedelta()
    ) -> HttpReply:
        """Exchange one call.

        Args:
            request: what to send.
            wait: how long the service may hold the call on top of the usual time.

        Raises:
            StoreUnavailable: no reply.
        """
        await self._budget.acquire()
        self._metrics.count("store.calls")
        limit = wait + self._call_time
        span = self._tracer.start("store.call", None, method=request.method)
        with self._tracer.end_on_exit(span):
            with trio.move_on_after(limit.total_seconds()):
                return await self._exchange(request)
        raise self.record_failure("no reply in time", True)

    async def _exchange(self, request: HttpRequest) -> HttpReply:
        """Send on a connection of this call's own; keep it when it is clean."""
        connection = await self._take_idle()
        if connection is None:
            connection = await self._connect()
        try:
            reply = await connection.exchange(request)
        except ExchangeFailed as error:
            await connection.close()
            raise self.record_failure(str(error), error.sent) from None
        except BaseException:
            await connection.close()
            raise
        if connection.prepare_next() and len(self._idle) < IDLE_CONNECTIONS:
            self._idle.append(connection)
        else:
            await connection.close()
        return reply

    async def _take_idle(self) -> HttpConnection | None:
        while self._idle:
            connection = self._idle.pop()
            if connection.is_quiet():
                return connection
            await connection.close()
        return None

    async def _connect(self) -> HttpConnection:
        try:
            stream = await self._network.connect(self._address, PROBE)
        except OSError as error:
            raise self.record_failure(str(error), False) from None
        return HttpConnection(stream, str(self._address), REPLY_LIMIT)

    def reject_reply(self, detail: str) -> StoreUnavailable:
        """Return the error for a reply that can't be understood."""
        self._events.emit(Events.STORE_BAD_REPLY, detail=detail)
        return StoreUnavailable(True, detail)

    def record_failure(self, detail: str, uncertain: bool) -> StoreUnavailable:
        """Note that the service didn't serve a call, and return the error."""
        self._metrics.count("store.failed")
        if self.reachable:
            self._events.emit(Events.STORE_FAILED, detail=detail)
            self.reachable = False
            self._unreachable_since = self._clock.monotonic()
            self._back = trio.Event()
            for listener in self._on_away:
                listener()
        return StoreUnavailable(uncertain, detail)

    def record_success(self) -> None:
        """Note that the service served a call."""
        self.last_success = self._clock.monotonic()
        if not self.reachable:
            self._events.emit(Events.STORE_BACK)
            self.reachable = True
            self.reachable_since = self.last_success
            self._back.set()
            for listener in self._on_back:
                listener()
        for listener in self._on_success:
            listener()
