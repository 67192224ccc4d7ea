"""Calls to the key-value service: connections, timeouts, rate limit, reachability.

The clients decide what a call contains; see `walkcart.store.client` for the product's
own form.
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

#: Maximum size of a reply, in bytes: a page of many values.
REPLY_LIMIT = 4 << 20
#: Timeout of a call, on top of the time that the service may hold it.
CALL_TIMEOUT = timedelta(seconds=2)
#: Maximum number of idle connections that are kept for later calls.
MAX_IDLE_CONNECTIONS = 2
#: Interval of the probes of a connection. While a watch waits its connection is quiet,
#: and it may go silent for good while others work: this is detected after three
#: intervals, 3 s.
PROBE_INTERVAL = timedelta(seconds=1)


class StoreUnavailable(Exception):
    """A call had no usable reply.

    Args:
        uncertain: whether a write may have taken effect, or may still do so.
        detail: what went wrong.
    """

    def __init__(self, uncertain: bool, detail: str) -> None:
        super().__init__(detail)
        self.uncertain = uncertain
        self.detail = detail


class StoreCalls:
    """Exchanges requests with the key-value service.

    Args:
        address: address of the service.
        network: opens the connections.
        clock: source of time.
        budget: limits the rate of this instance's calls.
        events: log of outages and bad replies.
        metrics: counts the calls.
        tracer: starts a span for each call.
        call_time: timeout of a call, on top of the time that the service may hold it.
        min_outage: shortest time without a served call, in seconds, that counts as an
            outage in `find_return_time`.
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
        call_time: timedelta = CALL_TIMEOUT,
        min_outage: float = 0.0,
    ) -> None:
        self._address = address
        self._network = network
        self._clock = clock
        self._budget = budget
        self._events = events
        self._metrics = metrics
        self._tracer = tracer
        self._call_time = call_time
        self._min_outage = min_outage
        self._idle: list[HttpConnection] = []
        #: Whether the last call was served; true before the first one.
        self.reachable = True
        #: Time at which a call was last served; at first the start.
        self.last_success = clock.monotonic()
        #: Time up to which the latest reply shows what the service holds: later changes
        #: may still have been on their way when it arrived.
        self.last_shown = self.last_success
        #: Seconds that the latest call took which the service couldn't hold.
        self._round_trip = 0.0
        self._returned_at = self.last_success
        self._unreachable_since = self.last_success
        self._recovery_listeners: list[Callable[[], None]] = []
        self._outage_listeners: list[Callable[[], None]] = []
        self._recovered = trio.Event()
        self._recovered.set()

    @property
    def address(self) -> HostPort:
        """Address at which the service is called."""
        return self._address

    def on_recovered(self, listener: Callable[[], None]) -> None:
        """Call `listener` whenever calls succeed again after a failure."""
        self._recovery_listeners.append(listener)

    def on_unreachable(self, listener: Callable[[], None]) -> None:
        """Call `listener` whenever a call fails after calls had succeeded."""
        self._outage_listeners.append(listener)

    def find_outage_time(self) -> float:
        """Return the seconds since calls began to fail, or 0 while they succeed."""
        if self.reachable:
            return 0.0
        return self._clock.monotonic() - self._unreachable_since

    def find_return_time(self) -> float:
        """Return when the service returned from its last outage; at first the start.

        During an outage this is the present. A failed call is no outage while others
        are served: a waiting watch may be cut at any time.
        """
        now = self._clock.monotonic()
        if self.reachable or now - self.last_success < self._min_outage:
            return self._returned_at
        return now

    async def wait_reachable(self) -> None:
        """Wait until the service is reachable, as far as this instance knows."""
        await self._recovered.wait()

    def set_address(self, address: HostPort) -> None:
        """Call the service at `address` from now on."""
        if address != self._address:
            self._address = address
            self._idle.clear()

    async def call(
        self, request: HttpRequest, wait: timedelta = timedelta()
    ) -> HttpReply:
        """Send one request and return its reply.

        Args:
            request: the request.
            wait: time that the service may hold the call, on top of the usual timeout.

        Raises:
            StoreUnavailable: the service sent no reply, or not in time.
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
        """Exchange the request on a connection that no other call uses meanwhile.

        The connection is kept for later calls if it can be used again.
        """
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
        if connection.prepare_next() and len(self._idle) < MAX_IDLE_CONNECTIONS:
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
            stream = await self._network.connect(self._address, PROBE_INTERVAL)
        except OSError as error:
            raise self.record_failure(str(error), False) from None
        return HttpConnection(stream, str(self._address), REPLY_LIMIT)

    def reject_reply(self, detail: str) -> StoreUnavailable:
        """Log a reply that can't be understood, and return the error to raise."""
        self._events.emit(Events.STORE_BAD_REPLY, detail=detail)
        return StoreUnavailable(True, detail)

    def record_failure(self, detail: str, uncertain: bool) -> StoreUnavailable:
        """Record that the service didn't serve a call; return the error to raise."""
        self._metrics.count("store.failed")
        if self.reachable:
            self._events.emit(Events.STORE_FAILED, detail=detail)
            self.reachable = False
            self._unreachable_since = self._clock.monotonic()
            self._recovered = trio.Event()
            for listener in self._outage_listeners:
                listener()
        return StoreUnavailable(uncertain, detail)

    def read_clock(self) -> float:
        """Return the present time, in seconds."""
        return self._clock.monotonic()

    def record_success(self, started_at: float, wait: timedelta) -> None:
        """Record that the service served a call.

        Args:
            started_at: time at which the call was started.
            wait: time that the service could hold the call.
        """
        now = self._clock.monotonic()
        if not wait:
            self._round_trip = now - started_at
        shown_at = max(started_at, now - self._round_trip)
        self.last_shown = max(self.last_shown, shown_at)
        previous, self.last_success = self.last_success, now
        if not self.reachable:
            self._events.emit(Events.STORE_BACK)
            self.reachable = True
            if now - previous >= self._min_outage:
                self._returned_at = now
            self._recovered.set()
            for listener in self._recovery_listeners:
                listener()
