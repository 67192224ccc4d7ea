"""The platform's list of instances. It lags behind, so it is only a hint.

The list seeds the view of the peers, names the leaves with their labels, and is one of
three sources that report a leaf as leaving. While it can't be read, its last content
stays in use.

Interface: ``GET /instances?after=N`` returns JSON with ``revision``, ``full`` and
``instances``. If ``full`` is false, ``instances`` holds only the changed ones. The
status is 304 if nothing changed.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from datetime import timedelta
from random import Random

import msgspec
import trio

from walkcart.kernel.decoding import BadData, Int64, JsonDecoder
from walkcart.kernel.eventlog import EventLog
from walkcart.kernel.events import Events
from walkcart.kernel.settings import BadValue, HostPort, parse_host_port
from walkcart.membership.marks import LeafMarks
from walkcart.membership.view import MembershipView, MemberState
from walkcart.wire.http import ExchangeFailed, HttpConnection, HttpRequest
from walkcart.wire.messages import MemberRecord
from walkcart.wire.network import Network

ROLE_LEAF = "leaf"
ROLE_INSTANCE = "walkcart"
STATE_LEAVING = "leaving"
STATE_GONE = "gone"
MAX_BODY_BYTES = 8 << 20
READ_TIMEOUT = timedelta(seconds=5)
#: Seconds between two attempts until the list was read once.
INITIAL_INTERVAL = 0.1


@dataclass(frozen=True, slots=True)
class ListedInstance:
    """One row of the list.

    Args:
        name: the unique name of the instance or leaf.
        role: ``leaf`` or ``walkcart``.
        address: ``IP:port`` of its service.
        peer_address: ``IP:port`` for peers; only for walkcart instances.
        state: ``live`` or ``leaving``; ``gone`` in a list of changes.
        incarnation: the number of its process, raised at each restart; 0 if the
            platform doesn't provide one.
        labels: the labels that the platform stores for it.
    """

    name: str
    role: str
    address: str
    peer_address: str = ""
    state: str = "live"
    incarnation: Int64 = 0
    labels: dict[str, str] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class _Page:
    revision: Int64
    full: bool
    instances: tuple[msgspec.Raw, ...]


_PAGE = JsonDecoder(_Page)
_ROW = JsonDecoder(ListedInstance)

#: Called with all listed leaves after each change.
Listener = Callable[[tuple[ListedInstance, ...]], None]


class InstanceList:
    """Polls the list and applies its changes.

    Args:
        address: the address of the list's server.
        network: opens connections.
        view: receives the walkcart instances.
        marks: receives the states of the leaves.
        events: log of failures.
        random: source of jitter.
        interval: time between two reads.
    """

    def __init__(
        self,
        address: HostPort,
        network: Network,
        view: MembershipView,
        marks: LeafMarks,
        events: EventLog,
        random: Random,
        interval: timedelta,
    ) -> None:
        self._address = address
        self._network = network
        self._view = view
        self._marks = marks
        self._events = events
        self._random = random
        self._interval = interval.total_seconds()
        self._revision = 0
        self._rows: dict[str, ListedInstance] = {}
        self._listeners: list[Listener] = []
        self._failing = False
        #: Whether the list was read at least once; before that no leaf is known.
        self.known = False
        self._connection: HttpConnection | None = None

    def on_change(self, listener: Listener) -> None:
        """Call `listener` with all leaves after each change."""
        self._listeners.append(listener)

    def leaves(self) -> tuple[ListedInstance, ...]:
        """Return the listed leaves, sorted by name."""
        rows = (self._rows[name] for name in sorted(self._rows))
        return tuple(row for row in rows if row.role == ROLE_LEAF)

    async def run(self, *, task_status: trio.TaskStatus[None]) -> None:
        """Poll until cancelled; reports as started after the first attempt."""
        await self._read_once()
        task_status.started()
        while True:
            interval = self._interval if self.known else INITIAL_INTERVAL
            await trio.sleep(interval * self._random.uniform(0.8, 1.2))
            await self._read_once()

    async def _read_once(self) -> None:
        with trio.move_on_after(READ_TIMEOUT.total_seconds()):
            try:
                page = await self._fetch()
            except (OSError, ExchangeFailed, ValueError) as error:
                await self._drop_connection()
                self._report_failure(str(error))
                return
            self._failing = False
            self.known = True
            if page is not None:
                self._apply(page)
            return
        await self._drop_connection()
        self._report_failure(f"no reply in time ({READ_TIMEOUT.total_seconds()} s)")

    async def _fetch(self) -> _Page | None:
        if self._connection is None:
            stream = await self._network.connect(self._address)
            self._connection = HttpConnection(
                stream, str(self._address), MAX_BODY_BYTES
            )
        request = HttpRequest("GET", f"/instances?after={self._revision}")
        reply = await self._connection.exchange(request)
        if not self._connection.prepare_next():
            await self._drop_connection()
        if reply.status == 304:
            return None
        if reply.status != 200:
            raise ValueError(f"status {reply.status}, expected 200 or 304")
        return _PAGE.decode(reply.body)

    async def _drop_connection(self) -> None:
        connection, self._connection = self._connection, None
        if connection is not None:
            with trio.CancelScope(shield=True):
                await connection.close()

    def _report_failure(self, detail: str) -> None:
        if not self._failing:
            self._events.emit(Events.LIST_FAILED, detail=detail[:200])
        self._failing = True

    def _apply(self, page: _Page) -> None:
        if page.full:
            self._rows = {}
        self._revision = page.revision
        for row in self._decode_rows(page):
            if row.state == STATE_GONE:
                self._rows.pop(row.name, None)
            else:
                self._rows[row.name] = row
        self._seed_view()
        self._record_states()
        leaves = self.leaves()
        for listener in self._listeners:
            listener(leaves)

    def _decode_rows(self, page: _Page) -> Iterator[ListedInstance]:
        """Yield the rows of a page; log those that can't be read."""
        for data in page.instances:
            try:
                yield _ROW.decode(bytes(data))
            except BadData as error:
                self._events.emit(Events.LIST_FAILED, detail=f"a row: {error}"[:200])

    def _seed_view(self) -> None:
        rows = [row for row in self._rows.values() if row.role == ROLE_INSTANCE]
        live = frozenset(row.name for row in rows if row.state != STATE_LEAVING)
        self._view.set_listed(live)
        for row in rows:
            if self._view.find(row.name) is None:
                self._view.merge(_seed_record(row))
        for record in self._view.records():
            if record.state == MemberState.DEAD and record.name not in live:
                self._view.forget(record.name)

    def _record_states(self) -> None:
        for row in self.leaves():
            try:
                address = str(parse_host_port(row.address))
            except BadValue:
                continue
            if row.state == STATE_LEAVING:
                self._marks.record_leaving(address, row.incarnation)
            else:
                self._marks.record_live(address, row.incarnation)


def _seed_record(row: ListedInstance) -> MemberRecord:
    return MemberRecord(
        name=row.name,
        incarnation=0,
        counter=0,
        state=int(MemberState.LIVE),
        peer_address=row.peer_address,
        address=row.address,
        data_centre=row.labels.get("data-centre", ""),
        region=row.labels.get("region", ""),
        revision=0,
    )
