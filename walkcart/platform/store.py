"""The platform's key-value store, as the product's shared store."""

from __future__ import annotations

from datetime import timedelta
from typing import TypeVar
from urllib.parse import urlencode

import msgspec

from walkcart.platform.settings import parse_duration_ms
from walkcart.store.calls import StoreCalls, StoreUnavailable
from walkcart.store.items import (
    Change,
    Changes,
    Committed,
    HistoryLost,
    Item,
    Lease,
    LeaseNotFound,
    Page,
    Rejected,
    Removal,
    Transaction,
)
from walkcart.wire.http import HttpReply, HttpRequest

_RANGE = "/api/kv-range"
_WATCH = "/api/kv-watch"
_TRANSACTION = "/api/kv-txn"
_GRANT = "/api/kv-lease"
_RENEW = "/api/kv-keep/"
_END = "/api/kv-lease-end/"

_OK = 200
_NOT_FOUND = 404
_HISTORY_GONE = 410
_CONDITION_FAILED = 412
#: Too many calls, or not served now: in both cases nothing was done.
_NOT_DONE = frozenset({429, 503})

_JSON_HEADERS = ((b"content-type", b"application/json"),)


class _Item(msgspec.Struct, rename="camel"):
    # The key; the name comes from elsewhere on the platform.
    tls_key: str
    revision: int
    # Standard base64 on the wire; decoded by the codec.
    value: bytes = b""
    # Only in a watch: the key was removed.
    deleted: bool = False
    # 0 for none.
    lease: int = 0


class _Page(msgspec.Struct, rename="camel"):
    items: list[_Item]
    # Revision of the whole store when the page was read.
    as_of: int
    # Whether more pages follow.
    truncated: bool = False


class _Events(msgspec.Struct, rename="camel"):
    events: list[_Item]
    as_of: int


class _Condition(msgspec.Struct, rename="camel"):
    tls_key: str
    revision: int


class _Put(msgspec.Struct, rename="camel"):
    tls_key: str
    value: bytes
    lease: int


class _Transaction(msgspec.Struct, rename="camel"):
    # Rows of a key and the revision that it must have.
    expected_revision: list[_Condition]
    puts: list[_Put]
    # Keys to remove.
    remove: list[str]


class _Revision(msgspec.Struct):
    revision: int


class _Items(msgspec.Struct):
    items: list[_Item]


class _LeaseWish(msgspec.Struct, rename="camel"):
    ttl_ms: int


class _Lease(msgspec.Struct, rename="camel"):
    # In force, which may differ from what was asked for.
    ttl_ms: int
    # Missing in the answer to a renewal.
    lease: int = 0


T = TypeVar("T")


class PlatformStore:
    """Calls the platform's store.

    Args:
        calls: exchange the requests.
    """

    def __init__(self, calls: StoreCalls) -> None:
        self._calls = calls

    async def list_items(self, prefix: str, after: str, fresh: bool) -> Page:
        """Return the page of `prefix` that follows the key `after`."""
        query = {"pathPrefix": prefix}
        if after:
            query["after"] = after
        if not fresh:
            query["serializable"] = "1"
        reply = await self._get(_RANGE, query)
        page = self._read(reply, _Page)
        items = tuple(_read_item(row) for row in page.items)
        return Page(items, page.as_of, not page.truncated)

    async def watch(
        self, prefix: str, after: int, wait: timedelta
    ) -> Changes | HistoryLost:
        """Wait up to `wait` for changes of `prefix` after a revision."""
        milliseconds = int(wait.total_seconds() * 1000)
        query = {
            "pathPrefix": prefix,
            "after": str(after),
            "waitMs": str(milliseconds),
        }
        reply = await self._get(_WATCH, query, wait)
        if reply.status == _HISTORY_GONE:
            return HistoryLost()
        found = self._read(reply, _Events)
        changes = tuple(_read_change(row) for row in found.events)
        return Changes(changes, found.as_of)

    async def commit(
        self, transaction: Transaction
    ) -> Committed | Rejected | LeaseNotFound:
        """Make changes that depend on conditions."""
        body = _Transaction(
            [_Condition(key, revision) for key, revision in transaction.expected],
            [_Put(put.key, put.value, put.lease) for put in transaction.puts],
            list(transaction.removals),
        )
        reply = await self._post(_TRANSACTION, body)
        if reply.status == _NOT_FOUND:
            return LeaseNotFound()
        if reply.status == _CONDITION_FAILED:
            rows = self._decode(reply, _Items).items
            return Rejected(tuple(_read_item(row) for row in rows))
        return Committed(self._read(reply, _Revision).revision)

    async def grant_lease(self, time_to_live: timedelta) -> Lease:
        """Return a new lease."""
        wish = _LeaseWish(int(time_to_live.total_seconds() * 1000))
        granted = self._read(await self._post(_GRANT, wish), _Lease)
        return Lease(granted.lease, parse_duration_ms(granted.ttl_ms))

    async def renew_lease(self, lease: Lease) -> Lease | LeaseNotFound:
        """Begin the time of a lease anew."""
        reply = await self._call(HttpRequest("POST", f"{_RENEW}{lease.id}"))
        if reply.status == _NOT_FOUND:
            return LeaseNotFound()
        renewed = self._read(reply, _Lease)
        return Lease(lease.id, parse_duration_ms(renewed.ttl_ms))

    async def end_lease(self, lease: Lease) -> None:
        """End a lease; one that is over already is as good."""
        await self._call(HttpRequest("DELETE", f"{_END}{lease.id}"))

    async def _get(
        self, path: str, query: dict[str, str], wait: timedelta = timedelta()
    ) -> HttpReply:
        return await self._call(HttpRequest("GET", f"{path}?{urlencode(query)}"), wait)

    async def _post(self, path: str, body: msgspec.Struct) -> HttpReply:
        data = msgspec.json.encode(body)
        return await self._call(HttpRequest("POST", path, _JSON_HEADERS, data))

    async def _call(
        self, request: HttpRequest, wait: timedelta = timedelta()
    ) -> HttpReply:
        reply = await self._calls.call(request, wait)
        if reply.status in _NOT_DONE:
            raise self._calls.record_failure(f"status {reply.status}", False)
        if reply.status >= 500:
            raise self._calls.record_failure(f"status {reply.status}", True)
        self._calls.record_success()
        return reply

    def _read(self, reply: HttpReply, kind: type[T]) -> T:
        """Return the body of a reply that must be a success."""
        if reply.status != _OK:
            raise self._calls.reject_reply(f"status {reply.status}")
        return self._decode(reply, kind)

    def _decode(self, reply: HttpReply, kind: type[T]) -> T:
        try:
            return msgspec.json.decode(reply.body, type=kind)
        except msgspec.MsgspecError as error:
            raise self._calls.reject_reply(str(error)[:200]) from error


def _read_change(row: _Item) -> Change:
    if row.deleted:
        return Removal(row.tls_key, row.revision)
    return _read_item(row)


def _read_item(row: _Item) -> Item:
    return Item(row.tls_key, row.value, row.revision, row.lease)


__all__ = ["PlatformStore", "StoreUnavailable"]
