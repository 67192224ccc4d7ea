"""Reading of valid and invalid settings, configurations and leaf entries."""

from datetime import timedelta
from io import StringIO

import msgspec
import pytest
import trio
from hypothesis import given
from hypothesis import strategies as st

from walkcart.bench.harness import run_mocked
from walkcart.intent.routes import ToService, ToShards, ToSplit
from walkcart.kernel.clock import TrioClock
from walkcart.kernel.decoding import BadData
from walkcart.kernel.eventlog import EventLog
from walkcart.platform.documents import read_configuration
from walkcart.platform.leafentries import LeafEntries, leaf_entry_differs
from walkcart.platform.records import RECORD_SIZE, merge_records
from walkcart.platform.settings import BadSettings, read_settings
from walkcart.store.items import Item

SETTINGS = """
nodeName = "entry-7"
ip = "10.0.0.7"
zone = "south-b"
region = "south"
portRange = [7000, 7010]
unknown = 5
[zones]
south-b = "south"
north-a = "north"
[listen]
front = "10.0.0.7:8000"
ready = "10.0.0.7:8001"
[limits]
cpuShare = 0.7
cores = 3
[bounds]
retryBudgetRatio = 0.3
retryWindowS = 12
budgetSlack = 40
graceS = 8
[platform]
address = "10.9.0.1:9000"
writesPerS = 300
readsPerS = 900
"""


def test_settings_are_read_and_unknown_ones_ignored(tmp_path):
    path = tmp_path / "settings.toml"
    path.write_text(SETTINGS, encoding="utf-8")
    settings = read_settings(path)
    assert settings.instance == "entry-7"
    assert str(settings.callers) == "10.0.0.7:8000"
    assert settings.peer_ports == (7000, 7010)
    assert settings.regions["north-a"] == "north"
    assert settings.repeat_ratio == 0.3
    assert settings.repeat_window == timedelta(seconds=12)
    assert settings.grace == timedelta(seconds=8)
    assert settings.cores == pytest.approx(2.1)


@pytest.mark.parametrize(
    ("old", "new"),
    [
        ('nodeName = "entry-7"', ""),
        ('"10.0.0.7:8000"', '"nowhere"'),
        ("portRange = [7000, 7010]", 'portRange = "7000"'),
        ("[listen]", "[listen"),
    ],
)
def test_invalid_settings_are_reported(tmp_path, old, new):
    path = tmp_path / "settings.toml"
    path.write_text(SETTINGS.replace(old, new), encoding="utf-8")
    with pytest.raises(BadSettings, match="wrong"):
        read_settings(path)


def test_missing_settings_file_is_reported(tmp_path):
    with pytest.raises(BadSettings, match="read"):
        read_settings(tmp_path / "none.toml")


def make_configuration(**route):
    return msgspec.json.encode(
        {
            "version": 9,
            "routes": [
                {
                    "name": "r",
                    "host": "Shop.Example",
                    "pathPrefix": "/a/",
                    "routeType": "non_idempotent",
                    "timeoutMs": 1500,
                    **route,
                }
            ],
            "services": [{"name": "s", "maxConns": 26}],
        }
    )


def test_each_kind_of_target_is_read():
    single = read_configuration(make_configuration(backend="s")).routes[0]
    assert single.target == ToService("s")
    assert (single.host, single.idempotent) == ("shop.example", False)
    assert single.timeout == timedelta(seconds=1.5)
    parts = [{"backend": "a", "weight": 2}, {"backend": "b", "weight": 0}]
    split = read_configuration(make_configuration(trafficSplit=parts)).routes[0]
    assert isinstance(split.target, ToSplit)
    assert [part.service for part in split.target.parts] == ["a"]
    shards = read_configuration(
        make_configuration(fanoutServices=["x", "y", "x"], topK=4, minCoverage=0.5)
    ).routes[0]
    assert shards.target == ToShards(("x", "y"), 4, 0.5)


def test_unreadable_configuration_is_an_error():
    deep = b'{"version": 9, "notes": ' + b"[" * 1500 + b"]" * 1500 + b"}"
    for value in (b'{"version": "nine"}', b"[" * 5000, deep):
        with pytest.raises(BadData):
            read_configuration(value)


def test_unreadable_entry_is_logged_and_the_others_are_read():
    log = StringIO()

    async def run():
        events = EventLog("one", TrioClock(), log)
        items = {
            "servers/a": make_entry(zone="north-a"),
            "servers/b": Item("servers/b", b"rubbish", 2),
        }
        await trio.lowlevel.checkpoint()
        return list(LeafEntries({"north-a": "north"}, events).read(items, items))

    entries = run_mocked(run)
    assert [(entry.id, entry.region) for entry in entries] == [("a", "north")]
    assert "leaf_entry_bad" in log.getvalue()


def test_only_changed_entries_are_read_again():
    async def run():
        entries = LeafEntries({}, EventLog("one", TrioClock(), StringIO()))
        await trio.lowlevel.checkpoint()
        items = {f"servers/{name}": make_entry() for name in "abc"}
        first = {entry.id: entry for entry in entries.read(items, items)}
        items["servers/b"] = make_entry(state="draining")
        del items["servers/c"]
        changed = ["servers/b", "servers/c"]
        return first, {entry.id: entry for entry in entries.read(items, changed)}

    first, second = run_mocked(run)
    assert sorted(first) == ["a", "b", "c"]
    assert sorted(second) == ["a", "b"]
    assert second["a"] is first["a"]
    assert second["b"].leaving


def make_entry(**fields):
    content = {**ENTRY, **fields}
    return Item("servers/x", msgspec.json.encode(content), 1)


ENTRY = {
    "backend": "s",
    "address": "10.0.0.1:1",
    "zone": "z",
    "version": "v1",
    "slots": 2,
    "state": "ready",
    "warmupLeftMs": 0,
    "seq": 1,
}
#: Entries of other writers, which don't describe a leaf.
FOREIGN_ENTRIES = {
    "no-json": b"rubbish",
    "no-text": b"\xff\xfe\x00",
    "nothing": b"",
    "a-list": b"[1, 2]",
    "a-number": b"7",
    "deep": b"[" * 5000,
    "deep-field": b'{"backend": "s", "notes": ' + b"[" * 1500 + b"]" * 1500 + b"}",
    "cut-off": msgspec.json.encode(ENTRY)[:-5],
    "other-state": msgspec.json.encode({**ENTRY, "state": "resting"}),
    "state-number": msgspec.json.encode({**ENTRY, "state": 1}),
    "slots-text": msgspec.json.encode({**ENTRY, "slots": "2"}),
    "address-list": msgspec.json.encode({**ENTRY, "address": ["10.0.0.1", 1]}),
    "born-fraction": msgspec.json.encode({**ENTRY, "born": 1.5}),
    "born-text": msgspec.json.encode({**ENTRY, "born": "now"}),
    **{
        f"without-{name}": msgspec.json.encode(
            {key: value for key, value in ENTRY.items() if key != name}
        )
        for name in ENTRY
    },
}


@pytest.mark.parametrize("name", FOREIGN_ENTRIES)
def test_foreign_entry_is_skipped_and_the_others_are_read(name):
    log = StringIO()

    async def run():
        entries = LeafEntries({}, EventLog("one", TrioClock(), log))
        await trio.lowlevel.checkpoint()
        foreign = Item(f"servers/{name}", FOREIGN_ENTRIES[name], 2)
        items = {"servers/a": make_entry(), foreign.key: foreign}
        return [entry.id for entry in entries.read(items, items)]

    assert run_mocked(run) == ["a"]
    assert log.getvalue().count("leaf_entry_bad") == 1


def test_rewritten_unreadable_entry_is_no_change():
    assert not leaf_entry_differs(b"rubbish 1", b"rubbish 2")
    assert not leaf_entry_differs(b"rubbish 1", FOREIGN_ENTRIES["deep-field"])


def test_restart_of_a_leaf_under_the_same_id_is_a_change():
    old = make_entry(born=1_700_000_000_000, seq=9).value
    new = make_entry(born=1_700_000_005_000, seq=1).value
    assert leaf_entry_differs(old, new)


def test_entry_that_only_renews_seq_and_warmup_is_no_change():
    old = make_entry(seq=1, warmupLeftMs=3000).value
    assert not leaf_entry_differs(old, make_entry(seq=2, warmupLeftMs=1800).value)
    assert leaf_entry_differs(old, make_entry(seq=2, state="draining").value)
    assert leaf_entry_differs(old, make_entry(seq=2, address="10.0.0.2:1").value)
    assert leaf_entry_differs(old, b"rubbish")


@given(st.lists(st.binary(max_size=200), max_size=6), st.integers(1, 12))
def test_merging_equals_sorting_all_records(bodies, top):
    records = []
    for body in bodies:
        whole = len(body) // RECORD_SIZE * RECORD_SIZE
        records += [body[n : n + RECORD_SIZE] for n in range(0, whole, RECORD_SIZE)]
    assert merge_records(bodies, top) == b"".join(sorted(records, reverse=True)[:top])


@given(st.lists(st.lists(st.binary(min_size=16, max_size=16), max_size=9), max_size=5))
def test_merging_merged_parts_gives_the_same_result(parts):
    bodies = [b"".join(part) for part in parts]
    once = merge_records(bodies, 4)
    assert merge_records([merge_records(bodies[:2], 4), *bodies[2:]], 4) == once
