"""Get, compare-and-swap and watch, over HTTP/1.1.

The service's interface, as the stand-in offers it:

* ``GET /kv/{key}`` gives 200 with the value and its ``revision`` header, or 404.
* ``GET /kv/{key}?after=N&wait=S`` waits up to S seconds for a revision above N;
  204 when there was none.
* ``PUT /kv/{key}`` with ``if-revision: N`` (0: the key must be absent) gives 200
  with the new ``revision``, or 409 with the present value and revision.
* ``DELETE /kv/{key}`` with ``if-revision``.

Leases are not used: ownership is a hint here and each write is decided by
compare-and-swap, see ``docs/design/claims.md``.

See Also:
    `walkcart.standins.store`, the stand-in.
"""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta

import trio

from walkcart.kernel.clock import Clock
from walkcart.kernel.eventlog import EventLog
from walkcart.kernel.events import Events
from walkcart.kernel.metrics import Metrics
from walkcart.kernel.numbers import read_number
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

#: Longest value that the service takes, in bytes.
VALUE_LIMIT = 1 << 20
CALL_TIME = timedelta(seconds=2)
IDLE_CONNECTIONS = 2


@dataclass(frozen=True, slots=True)
class Entry:
    """A stored value.

    Args:
        value: its bytes.
        revision: raised by the service at each write; above 0.
    """

    value: bytes
    revision: int


@dataclass(frozen=True, slots=True)
class Written:
    """The write took effect and gave this revision."""

    revision: int


@dataclass(frozen=True, slots=True)
class Conflict:
    """The write didn't take effect; `present` is what is there instead."""

    present: Entry | None


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


class StoreClient:
    """Calls the key-value service.

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

    async def get(self, key: str) -> Entry | None:
        """Return the entry at `key`, or None.

        Raises:
            StoreUnavailable: no usable reply.
        """
        reply = await self._call(HttpRequest("GET", f"/kv/{key}"), self._call_time)
        if reply.status == 404:
            return None
        return self._read_entry(reply)

    async def put(self, key: str, value: bytes, expected: int) -> Written | Conflict:
        """Write `value` if the revision at `key` is `expected` (0: absent).

        Raises:
            StoreUnavailable: no usable reply; look at ``uncertain``.
        """
        headers = ((b"if-revision", str(expected).encode()),)
        request = HttpRequest("PUT", f"/kv/{key}", headers, value)
        return self._read_write(await self._call(request, self._call_time), expected)

    async def delete(self, key: str, expected: int) -> Written | Conflict:
        """Remove `key` if its revision is `expected`.

        Raises:
            StoreUnavailable: no usable reply; look at ``uncertain``.
        """
        headers = ((b"if-revision", str(expected).encode()),)
        request = HttpRequest("DELETE", f"/kv/{key}", headers)
        return self._read_write(await self._call(request, self._call_time), expected)

    async def watch(self, key: str, after: int, wait: timedelta) -> Entry | None:
        """Wait up to `wait` for a revision above `after`; None when none came.

        Raises:
            StoreUnavailable: no usable reply.
        """
        target = f"/kv/{key}?after={after}&wait={wait.total_seconds():g}"
        reply = await self._call(HttpRequest("GET", target), wait + self._call_time)
        if reply.status == 204:
            return None
        entry = self._read_entry(reply)
        if entry.revision <= after:
            raise self._rejection(f"a watch after {after} gave {entry.revision}")
        return entry

    async def _call(self, request: HttpRequest, limit: timedelta) -> HttpReply:
        await self._budget.take()
        self._metrics.count("store.calls")
        span = self._tracer.start("store.call", None, method=request.method)
        with self._tracer.hold(span):
            with trio.move_on_after(limit.total_seconds()):
                reply = await self._exchange(request)
                self._note_success()
                return reply
        raise self._failure("no reply in time", True)

    async def _exchange(self, request: HttpRequest) -> HttpReply:
        """Send on a connection of this call's own; keep it when it is clean."""
        connection = self._idle.pop() if self._idle else None
        if connection is None:
            connection = await self._connect()
        try:
            reply = await connection.exchange(request)
        except ExchangeFailed as error:
            await connection.close()
            raise self._failure(str(error), error.sent) from None
        except BaseException:
            await connection.close()
            raise
        if connection.renew() and len(self._idle) < IDLE_CONNECTIONS:
            self._idle.append(connection)
        else:
            await connection.close()
        if reply.status >= 500:
            raise self._failure(f"status {reply.status}", True)
        return reply

    async def _connect(self) -> HttpConnection:
        try:
            stream = await self._network.connect(self._address)
        except OSError as error:
            raise self._failure(str(error), False) from None
        return HttpConnection(stream, str(self._address), VALUE_LIMIT)

    def _read_entry(self, reply: HttpReply) -> Entry:
        revision = read_number(reply.header(b"revision"))
        if reply.status != 200 or not revision:
            raise self._rejection(f"status {reply.status}, revision {revision}")
        return Entry(reply.body, revision)

    def _read_write(self, reply: HttpReply, expected: int) -> Written | Conflict:
        if reply.status == 409:
            present = reply.header(b"revision")
            return Conflict(self._read_present(reply) if present else None)
        revision = read_number(reply.header(b"revision"))
        if reply.status != 200 or revision is None or revision <= expected:
            raise self._rejection(f"status {reply.status}, revision {revision}")
        return Written(revision)

    def _read_present(self, reply: HttpReply) -> Entry:
        return self._read_entry(HttpReply(200, reply.headers, reply.body))

    def _rejection(self, detail: str) -> StoreUnavailable:
        self._events.emit(Events.STORE_BAD_REPLY, detail=detail)
        return StoreUnavailable(True, detail)

    def _failure(self, detail: str, uncertain: bool) -> StoreUnavailable:
        self._metrics.count("store.failed")
        if self.reachable:
            self._events.emit(Events.STORE_FAILED, detail=detail)
        self.reachable = False
        return StoreUnavailable(uncertain, detail)

    def _note_success(self) -> None:
        if not self.reachable:
            self._events.emit(Events.STORE_BACK)
        self.reachable = True
        self.last_success = self._clock.monotonic()
