"""Replies of the store that can't be used fail their call and nothing else."""

from __future__ import annotations

from datetime import timedelta

import msgspec
import pytest
import trio
from hypothesis import example, given
from hypothesis import strategies as st

from walkcart.kernel.durations import MAX_DURATION
from walkcart.platform.store import PlatformStore
from walkcart.store.calls import StoreUnavailable
from walkcart.store.items import Lease, Put, Transaction
from walkcart.store.reading import read_prefix
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

    def read_clock(self):
        return 0.0

    def record_success(self, started_at, wait):
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


#: Figures at the bounds of what clocks and codecs hold, and beyond them.
FIGURES = [0, 1, -1, 2**31, 2**53, 2**63 - 1, 2**63, -(2**63), 2**64, 10**19, 10**400]


@pytest.mark.parametrize("figure", FIGURES)
def test_no_time_to_live_of_a_lease_raises_another_error(figure):
    valid = 1 <= figure < 2**63
    assert is_rejected("grant", {"lease": 3, "ttlMs": figure}) == (not valid)
    assert is_rejected("renew", {"ttlMs": figure}) == (not valid)
    if valid:
        lease = call("grant", 200, {"lease": 3, "ttlMs": figure})
        assert timedelta() < lease.time_to_live <= MAX_DURATION


@pytest.mark.parametrize("figure", FIGURES)
def test_revisions_and_leases_that_no_peer_could_be_told_are_rejected(figure):
    is_bad = not 0 <= figure < 2**63
    good = {"tlsKey": "op/a", "revision": 5, "value": "", "lease": 1}
    for changed in ({"revision": figure}, {"lease": figure}):
        item = good | changed
        assert is_rejected("list", {"items": [item], "asOf": 9}) == is_bad
        assert is_rejected("watch", {"events": [item], "asOf": 9}) == is_bad
        assert is_rejected("commit", {"items": [item]}, 412) == is_bad
    assert is_rejected("list", {"items": [], "asOf": figure}) == is_bad
    assert is_rejected("watch", {"events": [], "asOf": figure}) == is_bad
    assert is_rejected("commit", {"revision": figure}) == is_bad


def test_grant_without_a_lease_is_rejected():
    # A key stored with it would never be removed.
    assert is_rejected("grant", {"ttlMs": 15000})


def test_page_that_leads_no_further_is_rejected():
    item = {"tlsKey": "op/a", "revision": 5, "value": ""}
    for items, after, is_bad in [
        ([item], "", False),
        ([item], "op/Z", False),
        ([item], "op/a", True),
        ([item], "op/b", True),
        ([], "", True),
    ]:
        content = {"items": items, "truncated": True, "asOf": 9}
        store = PlatformStore(
            PreparedCalls(HttpReply(200, body=msgspec.json.encode(content)))
        )
        if is_bad:
            with pytest.raises(StoreUnavailable):
                trio.run(store.list_items, "op/", after, True)
        else:
            assert not trio.run(store.list_items, "op/", after, True).last


def test_endless_equal_pages_end_the_read():
    item = {"tlsKey": "op/a", "revision": 5, "value": ""}
    content = {"items": [item], "truncated": True, "asOf": 9}
    body = msgspec.json.encode(content)
    store = PlatformStore(PreparedCalls(HttpReply(200, body=body)))

    async def read():
        with trio.fail_after(5):
            await read_prefix(store, "op/", True)

    with pytest.raises(StoreUnavailable):
        trio.run(read)
