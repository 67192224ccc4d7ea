"""Client of the platform's key-value store, which all instances share."""

from __future__ import annotations

from datetime import timedelta
from typing import Annotated, TypeVar
from urllib.parse import urlencode

import msgspec

from walkcart.kernel.decoding import BadData, Count, JsonDecoder
from walkcart.kernel.durations import milliseconds_to_duration
from walkcart.store.calls import StoreCalls, StoreUnavailable
from walkcart.store.items import (
    NO_LEASE,
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
#: Statuses for too many calls and for an unavailable store; the call had no effect.
_NOT_EXECUTED = frozenset({429, 503})

_JSON_HEADERS = ((b"content-type", b"application/json"),)


class _Item(msgspec.Struct, rename="camel"):
    # Key of the item, which isn't about TLS: the platform reuses a wire name.
    tls_key: str
    revision: Count
    # Standard base64 on the wire, decoded by msgspec.
    value: bytes = b""
    # Whether the key was removed; set only in replies to watches.
    deleted: bool = False
    # Id of the lease that the item is bound to, or 0.
    lease: Count = 0


class _Page(msgspec.Struct, rename="camel"):
    items: list[_Item]
    # Revision of the whole store at the time of the read.
    as_of: Count
    # Whether more pages follow.
    truncated: bool = False


class _Events(msgspec.Struct, rename="camel"):
    events: list[_Item]
    as_of: Count


class _Condition(msgspec.Struct, rename="camel"):
    tls_key: str
    revision: int


class _Put(msgspec.Struct, rename="camel"):
    tls_key: str
    value: bytes
    lease: int


class _Transaction(msgspec.Struct, rename="camel"):
    # Keys and the revision that each must have.
    expected_revision: list[_Condition]
    puts: list[_Put]
    # Keys to remove.
    remove: list[str]


class _Revision(msgspec.Struct):
    revision: Count


class _Items(msgspec.Struct):
    items: list[_Item]


class _LeaseRequest(msgspec.Struct, rename="camel"):
    ttl_ms: int


class _Lease(msgspec.Struct, rename="camel"):
    # Granted time to live, which may differ from the requested one.
    ttl_ms: Annotated[int, msgspec.Meta(ge=1, le=2**63 - 1)]
    # Absent in the reply to a renewal.
    lease: Count = 0


T = TypeVar("T")

_PAGE = JsonDecoder(_Page)
_EVENTS = JsonDecoder(_Events)
_ITEMS = JsonDecoder(_Items)
_REVISION = JsonDecoder(_Revision)
_LEASE = JsonDecoder(_Lease)


class PlatformStore:
    """Client of the platform's store.

    Args:
        calls: sends the requests and reports failures.
    """

    def __init__(self, calls: StoreCalls) -> None:
        self._calls = calls

    async def list_items(self, prefix: str, after: str, fresh: bool) -> Page:
        """Read one page of the items under a prefix.

        Args:
            prefix: start of the keys to read.
            after: key after which the page begins; empty for the first page.
            fresh: whether the read must not be stale.
        """
        query = {"pathPrefix": prefix}
        if after:
            query["after"] = after
        if not fresh:
            query["serializable"] = "1"
        reply = await self._get(_RANGE, query)
        page = self._decode_success(reply, _PAGE)
        items = tuple(_read_item(item) for item in page.items)
        if page.truncated and (not items or items[-1].key <= after):
            raise self._calls.reject_reply(f"a page after {after!r} leads no further")
        return Page(items, page.as_of, not page.truncated)

    async def watch(
        self, prefix: str, after: int, wait: timedelta
    ) -> Changes | HistoryLost:
        """Wait up to `wait` for changes under `prefix` after the revision `after`."""
        milliseconds = int(wait.total_seconds() * 1000)
        query = {
            "pathPrefix": prefix,
            "after": str(after),
            "waitMs": str(milliseconds),
        }
        reply = await self._get(_WATCH, query, wait)
        if reply.status == _HISTORY_GONE:
            return HistoryLost()
        content = self._decode_success(reply, _EVENTS)
        changes = tuple(_read_change(item) for item in content.events)
        return Changes(changes, content.as_of)

    async def commit(
        self, transaction: Transaction
    ) -> Committed | Rejected | LeaseNotFound:
        """Commit a transaction if its conditions hold."""
        body = _Transaction(
            [_Condition(key, revision) for key, revision in transaction.expected],
            [_Put(put.key, put.value, put.lease) for put in transaction.puts],
            list(transaction.removals),
        )
        reply = await self._post(_TRANSACTION, body)
        if reply.status == _NOT_FOUND:
            return LeaseNotFound()
        if reply.status == _CONDITION_FAILED:
            rows = self._decode(reply, _ITEMS).items
            return Rejected(tuple(_read_item(item) for item in rows))
        return Committed(self._decode_success(reply, _REVISION).revision)

    async def grant_lease(self, time_to_live: timedelta) -> Lease:
        """Request a new lease."""
        body = _LeaseRequest(int(time_to_live.total_seconds() * 1000))
        granted = self._decode_success(await self._post(_GRANT, body), _LEASE)
        if granted.lease == NO_LEASE:
            raise self._calls.reject_reply("the reply names no lease")
        return Lease(granted.lease, milliseconds_to_duration(granted.ttl_ms))

    async def renew_lease(self, lease: Lease) -> Lease | LeaseNotFound:
        """Restart the time to live of a lease."""
        reply = await self._call(HttpRequest("POST", f"{_RENEW}{lease.id}"))
        if reply.status == _NOT_FOUND:
            return LeaseNotFound()
        renewed = self._decode_success(reply, _LEASE)
        return Lease(lease.id, milliseconds_to_duration(renewed.ttl_ms))

    async def end_lease(self, lease: Lease) -> None:
        """End a lease; do nothing if it has ended already."""
        await self._call(HttpRequest("DELETE", f"{_END}{lease.id}"))

    def reject_reply(self, detail: str) -> StoreUnavailable:
        """Log replies that can't be used, and return the error to raise."""
        return self._calls.reject_reply(detail)

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
        started_at = self._calls.read_clock()
        reply = await self._calls.call(request, wait)
        if reply.status in _NOT_EXECUTED:
            raise self._calls.record_failure(f"status {reply.status}", False)
        if reply.status >= 500:
            raise self._calls.record_failure(f"status {reply.status}", True)
        self._calls.record_success(started_at, wait)
        return reply

    def _decode_success(self, reply: HttpReply, decoder: JsonDecoder[T]) -> T:
        """Decode the body of a reply; raise an error for any status but 200."""
        if reply.status != _OK:
            raise self._calls.reject_reply(f"status {reply.status}")
        return self._decode(reply, decoder)

    def _decode(self, reply: HttpReply, decoder: JsonDecoder[T]) -> T:
        try:
            return decoder.decode(reply.body)
        except BadData as error:
            raise self._calls.reject_reply(str(error)[:200]) from error


def _read_change(item: _Item) -> Change:
    if item.deleted:
        return Removal(item.tls_key, item.revision)
    return _read_item(item)


def _read_item(item: _Item) -> Item:
    return Item(item.tls_key, item.value, item.revision, item.lease)


__all__ = ["PlatformStore", "StoreUnavailable"]
