"""Replies of the store that can't be used fail their call and nothing else."""

from __future__ import annotations

from datetime import timedelta

import msgspec
import pytest
import trio
from hypothesis import example, given
from hypothesis import strategies as st

from walkcart.platform.store import PlatformStore
from walkcart.store.calls import StoreUnavailable
from walkcart.store.items import Lease, Put, Transaction
from walkcart.wire.http import HttpReply

DEEP = b'{"notes": ' + b"[" * 1500 + b"]" * 1500 + b"}"
TTL = timedelta(seconds=15)
#: One call of each kind.
CALLS = {
    "list": lambda store: store.list_items("op/", "", True),
    "watch": lambda store: store.watch("op/", 4, TTL),
    "commit": lambda store: store.commit(Transaction(puts=(Put("a", b"", 1),))),
    "grant": lambda store: store.grant_lease(TTL),
    "renew": lambda store: store.renew_lease(Lease(7, TTL)),
    "end": lambda store: store.end_lease(Lease(7, TTL)),
}


class PreparedCalls:
    """Answers each call with the same reply."""

    def __init__(self, reply: HttpReply) -> None:
        self.reply = reply

    async def call(self, request, wait=timedelta()):
        await trio.lowlevel.checkpoint()
        return self.reply

    def reject_reply(self, detail):
        return StoreUnavailable(True, detail)

    def record_failure(self, detail, uncertain):
        return StoreUnavailable(uncertain, detail)

    def record_success(self):
        pass


def call(name, status, content):
    """Return what a call returns for a reply."""
    body = content if isinstance(content, bytes) else msgspec.json.encode(content)
    store = PlatformStore(PreparedCalls(HttpReply(status, body=body)))
    return trio.run(CALLS[name], store)


def is_rejected(name, content, status=200):
    try:
        call(name, status, content)
    except StoreUnavailable:
        return True
    return False


@pytest.mark.parametrize("name", ["list", "watch", "commit", "grant", "renew"])
def test_reply_that_nests_deeply_is_rejected(name):
    assert is_rejected(name, DEEP)


@given(st.sampled_from(sorted(CALLS)), st.integers(100, 999), st.binary())
@example("commit", 412, DEEP)
@example("list", 302, b"")
@example("end", 999, b"")
def test_any_reply_is_a_result_or_a_failed_call(name, status, body):
    is_rejected(name, body, status)
