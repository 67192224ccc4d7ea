"""Stand-in of the key-value service: compare-and-swap and watches, with faults."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from random import Random
from urllib.parse import parse_qs, urlsplit

import trio

from walkcart.standins.serving import StandinServer
from walkcart.wire.http import HttpReply, HttpRequest

#: Maximum size of a value, in bytes.
VALUE_LIMIT = 1 << 20
#: Start of the paths of all keys.
PREFIX = "/kv/"


@dataclass(slots=True)
class StoreFaults:
    """Faults of the store, all off by default.

    Args:
        down: whether every call fails without effect.
        delay: seconds added to each call.
        lose_reply: share of writes whose reply is lost after they took effect.
        late_write: share of writes that fail now and take effect later.
        late_by: seconds until a late write takes effect.
        stale_read: share of reads that return the value before the current one.
        garbage: share of replies whose revision and value are meaningless.
        mute_watches: whether watches never see a change.
        repeat_watches: whether a watch may return an entry that it returned before.
    """

    down: bool = False
    delay: float = 0.0
    lose_reply: float = 0.0
    late_write: float = 0.0
    late_by: float = 1.0
    stale_read: float = 0.0
    garbage: float = 0.0
    mute_watches: bool = False
    repeat_watches: bool = False


@dataclass(slots=True)
class _Slot:
    """The current value of a key, and the value before it."""

    value: bytes
    revision: int
    before: tuple[bytes, int] | None = None


@dataclass(slots=True, eq=False)
class StoreStandin:
    """A key-value service in memory.

    Args:
        random: source of the faults.
        faults: its faults.
        call_time: seconds that a call takes.
        calls: number of calls so far, by kind.
        waiting_watches: number of watches that wait now.
        largest_value: size of the largest value that was stored, in bytes.
        history: key and revision of each write, in order.
    """

    random: Random
    faults: StoreFaults = field(default_factory=StoreFaults)
    call_time: float = 0.002
    calls: Counter[str] = field(default_factory=Counter)
    waiting_watches: int = 0
    largest_value: int = 0
    history: list[tuple[str, int]] = field(default_factory=list)
    _slots: dict[str, _Slot] = field(default_factory=dict)
    _revision: int = 0
    _changed: trio.Event = field(default_factory=trio.Event)
    _late_writes: list[tuple[float, str, bytes, int]] = field(default_factory=list)

    def make_server(self) -> StandinServer:
        """Return the server of this store."""
        return StandinServer(self.handle)

    def peek(self, key: str) -> bytes | None:
        """Return a value without a call, for checks."""
        self._apply_late()
        slot = self._slots.get(key)
        return slot.value if slot else None

    async def handle(self, request: HttpRequest) -> HttpReply:
        """Serve one call."""
        if request.target == "/control":
            return self._control(request)
        parts = urlsplit(request.target)
        if not parts.path.startswith(PREFIX):
            return HttpReply(404)
        await trio.sleep(self.call_time + self.faults.delay)
        if self.faults.down:
            raise trio.BrokenResourceError("the store is down")
        if self.faults.garbage and self.random.random() < self.faults.garbage:
            return HttpReply(200, ((b"revision", b"rubbish"),), b"\x00\xff rubbish")
        self._apply_late()
        key = parts.path[len(PREFIX) :]
        match request.method:
            case "GET" if parts.query:
                return await self._watch(key, parse_qs(parts.query))
            case "GET":
                return self._get(key)
            case "PUT":
                return self._put(key, request)
            case "DELETE":
                return self._delete(key, request)
            case _:
                return HttpReply(405)

    def _get(self, key: str) -> HttpReply:
        self.calls["read"] += 1
        slot = self._slots.get(key)
        if slot is None:
            return HttpReply(404)
        if slot.before and self.random.random() < self.faults.stale_read:
            value, revision = slot.before
            return _reply(200, value, revision)
        return _reply(200, slot.value, slot.revision)

    async def _watch(self, key: str, query: dict[str, list[str]]) -> HttpReply:
        self.calls["watch"] += 1
        after = int(query["after"][0])
        deadline = trio.current_time() + float(query["wait"][0])
        self.waiting_watches += 1
        try:
            while trio.current_time() < deadline:
                slot = self._slots.get(key)
                newest = slot.revision if slot else 0
                if newest > after and not self.faults.mute_watches:
                    assert slot is not None
                    return _reply(200, slot.value, slot.revision)
                if self.faults.repeat_watches and slot is not None and after:
                    return _reply(200, slot.value, slot.revision)
                if self.faults.down:
                    raise trio.BrokenResourceError("the store is down")
                # Wakes once a second, so that an outage ends the watch.
                with trio.move_on_at(min(deadline, trio.current_time() + 1)):
                    await self._changed.wait()
        finally:
            self.waiting_watches -= 1
        return HttpReply(204)

    def _put(self, key: str, request: HttpRequest) -> HttpReply:
        self.calls["write"] += 1
        expected = int(request.header(b"if-revision") or "0")
        if len(request.body) > VALUE_LIMIT:
            return HttpReply(413)
        draw = self.random.random()
        if draw < self.faults.late_write:
            due = trio.current_time() + self.faults.late_by
            self._late_writes.append((due, key, request.body, expected))
            raise trio.BrokenResourceError("the write is under way")
        slot = self._slots.get(key)
        if (slot.revision if slot else 0) != expected:
            self.calls["conflict"] += 1
            return _reply(409, slot.value, slot.revision) if slot else HttpReply(409)
        self._set(key, request.body)
        if draw < self.faults.late_write + self.faults.lose_reply:
            raise trio.BrokenResourceError("the reply is lost")
        return _reply(200, b"", self._revision)

    def _delete(self, key: str, request: HttpRequest) -> HttpReply:
        self.calls["write"] += 1
        expected = int(request.header(b"if-revision") or "0")
        slot = self._slots.get(key)
        if slot is None or slot.revision != expected:
            return _reply(409, slot.value, slot.revision) if slot else HttpReply(409)
        del self._slots[key]
        self._revision += 1
        return _reply(200, b"", self._revision)

    def _set(self, key: str, value: bytes) -> None:
        old = self._slots.get(key)
        before = (old.value, old.revision) if old else None
        self._revision += 1
        self._slots[key] = _Slot(value, self._revision, before)
        self.largest_value = max(self.largest_value, len(value))
        self.history.append((key, self._revision))
        self._changed.set()
        self._changed = trio.Event()

    def _apply_late(self) -> None:
        """Apply late writes that are due, if their expected revision still holds."""
        now = trio.current_time()
        due = [item for item in self._late_writes if item[0] <= now]
        self._late_writes = [item for item in self._late_writes if item[0] > now]
        for _, key, value, expected in due:
            slot = self._slots.get(key)
            if (slot.revision if slot else 0) == expected:
                self._set(key, value)

    def _control(self, request: HttpRequest) -> HttpReply:
        """Set faults from a JSON object of their fields and values."""
        return apply_control(self.faults, request)


def _reply(status: int, value: bytes, revision: int) -> HttpReply:
    return HttpReply(status, ((b"revision", b"%d" % revision),), value)


def apply_control(faults: object, request: HttpRequest) -> HttpReply:
    """Set fields of `faults` from a JSON object; reply 400 if a field is unknown."""
    import msgspec

    try:
        changes = msgspec.json.decode(request.body, type=dict)
    except msgspec.MsgspecError:
        return HttpReply(400)
    if any(not hasattr(faults, name) for name in changes):
        return HttpReply(400, body=b"unknown fault")
    for name, value in changes.items():
        setattr(faults, name, value)
    return HttpReply(204)
