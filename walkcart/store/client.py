"""The key-value client of the product's own form: get, compare-and-swap and watch.

It speaks HTTP/1.1 to an interface that the stand-in implements:

* ``GET /kv/{key}`` returns 200 with the value and its ``revision`` header, or 404.
* ``GET /kv/{key}?after=N&wait=S`` waits up to S seconds for a revision above N, and
  returns 204 if there is none.
* ``PUT /kv/{key}`` with ``if-revision: N`` (0: the key must be absent) returns 200
  with the new ``revision``, or 409 with the current value and revision.
* ``DELETE /kv/{key}`` takes ``if-revision`` too.

Leases are not used: ownership is only a hint here, and compare-and-swap decides each
write, see ``docs/design/claims.md``.

See Also:
    `walkcart.standins.store`, the stand-in.
"""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from urllib.parse import quote

from walkcart.kernel.numbers import read_number
from walkcart.store.calls import StoreCalls
from walkcart.wire.http import HttpReply, HttpRequest

#: Maximum size of a value that the service accepts, in bytes.
VALUE_LIMIT = 1 << 20


@dataclass(frozen=True, slots=True)
class Entry:
    """A stored value with its revision.

    Args:
        value: the stored bytes.
        revision: above 0; the service raises it at each write.
    """

    value: bytes
    revision: int


@dataclass(frozen=True, slots=True)
class Written:
    """The write took effect; `revision` is the revision of the key after it."""

    revision: int


@dataclass(frozen=True, slots=True)
class Conflict:
    """The write didn't take effect, since the key had another revision.

    Args:
        present: the entry that is stored; None if the key is absent.
    """

    present: Entry | None


class StoreClient:
    """Client of the key-value service, in the product's own form.

    Args:
        calls: exchanges the requests with the service.
    """

    def __init__(self, calls: StoreCalls) -> None:
        self._calls = calls

    @property
    def last_success(self) -> float:
        """Time of the last call that was served, on the kernel's monotonic clock."""
        return self._calls.last_success

    async def get(self, key: str) -> Entry | None:
        """Return the entry at `key`, or None if the key is absent.

        Raises:
            StoreUnavailable: the call had no usable reply.
        """
        reply = await self._call(HttpRequest("GET", f"/kv/{quote(key)}"))
        if reply.status == 404:
            return None
        return self._read_entry(reply)

    async def put(self, key: str, value: bytes, expected: int) -> Written | Conflict:
        """Write `value` if the revision of `key` is `expected` (0: the key is absent).

        Raises:
            StoreUnavailable: the call had no usable reply; ``uncertain`` tells whether
                the write may have taken effect.
        """
        headers = ((b"if-revision", str(expected).encode()),)
        request = HttpRequest("PUT", f"/kv/{quote(key)}", headers, value)
        return self._read_write(await self._call(request), expected)

    async def delete(self, key: str, expected: int) -> Written | Conflict:
        """Remove `key` if its revision is `expected`.

        Raises:
            StoreUnavailable: the call had no usable reply; ``uncertain`` tells whether
                the removal may have taken effect.
        """
        headers = ((b"if-revision", str(expected).encode()),)
        request = HttpRequest("DELETE", f"/kv/{quote(key)}", headers)
        return self._read_write(await self._call(request), expected)

    async def watch(self, key: str, after: int, wait: timedelta) -> Entry | None:
        """Wait up to `wait` for a revision above `after`.

        Returns:
            The entry, or None if there is no such revision within that time.

        Raises:
            StoreUnavailable: the call had no usable reply.
        """
        target = f"/kv/{quote(key)}?after={after}&wait={wait.total_seconds():g}"
        reply = await self._call(HttpRequest("GET", target), wait)
        if reply.status == 204:
            return None
        entry = self._read_entry(reply)
        if entry.revision <= after:
            raise self._calls.reject_reply(
                f"a watch after {after} returned revision {entry.revision}"
            )
        return entry

    async def _call(
        self, request: HttpRequest, wait: timedelta = timedelta()
    ) -> HttpReply:
        started_at = self._calls.read_clock()
        reply = await self._calls.call(request, wait)
        if reply.status >= 500:
            raise self._calls.record_failure(f"status {reply.status}", True)
        self._calls.record_success(started_at, wait)
        return reply

    def _read_entry(self, reply: HttpReply) -> Entry:
        revision = read_number(reply.header(b"revision"))
        if reply.status != 200 or not revision:
            raise self._calls.reject_reply(
                f"status {reply.status}, revision {revision}"
            )
        return Entry(reply.body, revision)

    def _read_write(self, reply: HttpReply, expected: int) -> Written | Conflict:
        if reply.status == 409:
            present = reply.header(b"revision")
            return Conflict(self._read_present(reply) if present else None)
        revision = read_number(reply.header(b"revision"))
        if reply.status != 200 or revision is None or revision <= expected:
            raise self._calls.reject_reply(
                f"status {reply.status}, revision {revision}"
            )
        return Written(revision)

    def _read_present(self, reply: HttpReply) -> Entry:
        return self._read_entry(HttpReply(200, reply.headers, reply.body))
