"""Entries with contents that can't be used, and with extreme ones that can."""

from datetime import timedelta
from io import StringIO

import h11
import msgspec
import pytest
import trio
from hypothesis import example, given
from hypothesis import strategies as st

from walkcart.bench.harness import run_mocked
from walkcart.kernel.clock import TrioClock
from walkcart.kernel.durations import MAX_DURATION
from walkcart.kernel.eventlog import EventLog
from walkcart.kernel.settings import parse_peer_address
from walkcart.leaves.directory import LeafDirectory
from walkcart.platform.leafentries import LeafEntries, leaf_entry_differs
from walkcart.platform.tests.test_documents import ENTRY, make_entry
from walkcart.routing.leaflimiter import estimate_queue_delay
from walkcart.store.items import Item


@pytest.mark.parametrize(
    ("key", "address"),
    [
        ("servers/", "10.0.0.1:1"),
        ("servers/ a", "10.0.0.1:1"),
        ("servers/a\r\nx-other: b", "10.0.0.1:1"),
        ("servers/a\x7f", "10.0.0.1:1"),
        ("servers/b", ""),
        ("servers/b", "nowhere"),
        ("servers/b", "10.0.0.1"),
        ("servers/b", "10.0.0.1:65536"),
        ("servers/b", "10.0.0.1:0"),
        ("servers/b", "0.0.0.0:1"),
        ("servers/b", "[::]:1"),
        ("servers/b", "224.0.0.1:1"),
        ("servers/b", "[ff02::1]:1"),
        ("servers/b", "[fe80::1%eth0]:1"),
        ("servers/b", "[::1%\xe9]:1"),
    ],
)
def test_leaf_that_no_request_can_be_sent_to_is_skipped(key, address):
    log = StringIO()

    async def run():
        entries = LeafEntries({}, EventLog("one", TrioClock(), log))
        await trio.lowlevel.checkpoint()
        items = {"servers/a": make_entry(), key: make_entry(address=address)}
        return [entry.id for entry in entries.read(items, items)]

    assert run_mocked(run) == ["a"]
    assert log.getvalue().count("leaf_entry_bad") == 1


@pytest.mark.parametrize("id", ["a", "i-7f3a91c2", "a b", "\u00e9", "a/b", "x" * 190])
def test_any_id_that_fits_into_a_header_is_read(id):
    async def run():
        entries = LeafEntries({}, EventLog("one", TrioClock(), StringIO()))
        await trio.lowlevel.checkpoint()
        items = {f"servers/{id}": make_entry(address="[fd00::1]:1")}
        return [entry.id for entry in entries.read(items, items)]

    assert run_mocked(run) == [id]


JSON_VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats(allow_nan=False, allow_infinity=False)
    | st.text(max_size=9)
    | st.sampled_from(["ready", "10.0.0.1:1", "[::1]:70000", "s"]),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(), inner),
    max_leaves=5,
)


@given(
    st.text(max_size=20),
    st.dictionaries(st.sampled_from([*ENTRY, "born", "other"]), JSON_VALUES),
)
@example("a", {"slots": 2**63 - 1, "warmupLeftMs": 1e300, "born": -(2**63)})
@example("a", {"slots": 2**63})
@example("\ud7ff\x00", {})
def test_any_entry_names_a_usable_leaf_or_none(id, fields):
    value = msgspec.json.encode({**ENTRY, **fields})

    async def run():
        await trio.lowlevel.checkpoint()
        clock = TrioClock()
        events = EventLog("one", clock, StringIO())
        directory = LeafDirectory(clock, events, lambda: -100.0)
        items = {f"servers/{id}": Item(f"servers/{id}", value, 1)}
        found = list(LeafEntries({}, events).read(items, items))
        directory.set_entries(found)
        for entry in found:
            parse_peer_address(entry.address)
            leaf = directory.find(entry.id)
            estimate_queue_delay(3, leaf.slots, 0.1)
            h11.Request(
                method="GET",
                target="/",
                headers=[("host", "x"), ("x-expect-instance", entry.id.encode())],
            )
            msgspec.msgpack.encode((entry.id, entry.incarnation, entry.slots))

    run_mocked(run)
    leaf_entry_differs(value, make_entry().value)


@pytest.mark.parametrize(
    ("warmup", "cold_time"),
    [
        (3000, timedelta(seconds=3)),
        (-1, timedelta()),
        (-1e19, timedelta()),
        (1e19, MAX_DURATION),
        (1e308, MAX_DURATION),
        (2**64, MAX_DURATION),
    ],
)
def test_any_cold_time_of_a_leaf_is_read(warmup, cold_time):
    async def run():
        entries = LeafEntries({}, EventLog("one", TrioClock(), StringIO()))
        await trio.lowlevel.checkpoint()
        items = {"servers/x": make_entry(warmupLeftMs=warmup)}
        return [entry.cold_time for entry in entries.read(items, items)]

    assert run_mocked(run) == [cold_time]
